"""A gang fails once, on a worker that fails all that it starts. The job is
shown as failed, though its queue allows three attempts."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (BROKEN, HELD, NOT_RUN, TROUBLE, Fleet, main,  # noqa: E402
                        record)

JOB = "7a00000000000001"
SIZE = 4
ATTEMPTS = 3  # of the queue, see Fleet
GREY_S = 4.0


class Grey(Fleet):
    grey = None  # name of the worker that fails all that it starts
    grey_until = 0.0

    def behave(self, worker, task, run):
        if worker.name == self.grey and time.monotonic() < self.grey_until:
            return 0.2, "failed"
        return 1.5, "done"


def case():
    fleet = Grey({"routing": 8})
    if TROUBLE:
        # The worker that gets the first runs of a service without load.
        fleet.submit("edge-0", "routing", "7b00000000000001",
                     [{"count": 1, "cpu": 100, "memMb": 10}])
        end = time.monotonic() + 10
        while fleet.grey is None and time.monotonic() < end:
            fleet.grey = next((w.name for w in fleet.workers() if w.running),
                              None)
            time.sleep(0.01)
        time.sleep(2.5)
        fleet.grey_until = time.monotonic() + GREY_S
        record("grey", worker=fleet.grey, seconds=GREY_S)
    fleet.submit("edge-0", "routing", JOB,
                 [{"count": SIZE, "cpu": 880, "memMb": 2500,
                   "estimateMs": 1500, "gang": True}])
    end = time.monotonic() + 30
    while time.monotonic() < end:
        state = fleet.state("edge-1", "routing", JOB)
        record("state", job=JOB, state=state)
        runs = {int(line.split(" run=")[1].split()[0])
                for line in record.lines
                if " start " in line and f"task={JOB}" in line}
        if state == "failed":
            if len(runs) < ATTEMPTS:
                return BROKEN, f"shown as failed after {len(runs)} runs of " \
                    f"the gang; the queue allows {ATTEMPTS} attempts"
            return HELD, f"failed after {len(runs)} runs of the gang"
        if state == "done":
            return HELD, f"done in run {max(runs)} of the gang"
        time.sleep(0.1)
    return NOT_RUN, "the job is neither done nor failed"


main(case, FOLDER)
