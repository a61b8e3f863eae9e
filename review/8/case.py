"""A job whose task never ends as failed is shown as failed, because the
workers on which it ran have crashed four or five times."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (BROKEN, HELD, NOT_RUN, TROUBLE, Fleet, main,  # noqa: E402
                        record)

JOB = "6a00000000000001"
WORK_S = 6.0  # of the task; at most 9 s in the site file
CRASHES = 5
DOWN_S = 4.5


class Crashes(Fleet):
    def behave(self, worker, task, run):
        return (WORK_S, "done") if task.startswith(JOB) else (0.8, "done")


def running_on(fleet):
    """Returns the worker that has worked on the task for over a second, or
    None."""
    for worker in fleet.workers():
        for task, (_, begun, _, _) in list(worker.running.items()):
            if task.startswith(JOB) and time.monotonic() - begun > 1.0:
                return worker
    return None


def case():
    fleet = Crashes({"routing": 8})
    fleet.submit("edge-0", "routing", JOB,
                 [{"count": 1, "cpu": 880, "memMb": 2500, "estimateMs": 6000}])
    crashed = 0
    end = time.monotonic() + 75
    n = 0
    down_until = 0.0
    while time.monotonic() < end:
        if n < 60:  # ordinary jobs beside it
            n += 1
            fleet.submit("edge-1", "routing", f"6b{n:014x}",
                         [{"count": 4, "cpu": 880, "memMb": 2500,
                           "estimateMs": 800}])
        state = fleet.state("edge-2", "routing", JOB)
        record("state", job=JOB, state=state)
        if state == "failed":
            return BROKEN, f"shown as failed after {crashed} worker crashes " \
                "and no end 'failed'"
        if state == "done":
            return HELD, f"done after {crashed} worker crashes"
        worker = running_on(fleet)
        if (TROUBLE and worker is not None and crashed < CRASHES
                and time.monotonic() > down_until):
            crashed += 1
            down_until = time.monotonic() + DOWN_S  # one worker at a time
            fleet.crash(worker.machine, DOWN_S)
        time.sleep(0.25)
    return NOT_RUN, "the job is neither done nor failed"


main(case, FOLDER)
