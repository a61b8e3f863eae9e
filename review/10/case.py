"""A task of a step that lasts ends as done. It is not started again, and its
job, which nobody cancelled, is shown as done."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (BROKEN, HELD, NOT_RUN, TROUBLE, Fleet, main,  # noqa: E402
                        record)

JOB = "8a00000000000001"
TASKS = 3
# A task that lasts is owed from 6 s after its last run, after 4 calm seconds,
# and counts as lost after 3 s more.
ALLOWED_S = 6 + 4 + 3


class Lasting(Fleet):
    ended = None

    def behave(self, worker, task, run):
        if (TROUBLE and self.ended is None and task == f"{JOB}.0.0.0"):
            self.ended = time.monotonic() + 4
            return 4.0, "done"
        return None, None


def case():
    fleet = Lasting({"routing": 8})
    fleet.submit("edge-0", "routing", JOB,
                 [{"count": TASKS, "cpu": 1300, "memMb": 4800,
                   "estimateMs": 900, "serviceJob": True}])
    begun = time.monotonic()
    end = begun + 6 + ALLOWED_S
    while time.monotonic() < end:
        state = fleet.state("edge-1", "routing", JOB)
        live = sum(t.startswith(JOB) for w in fleet.workers()
                   for t in w.running)
        record("state", job=JOB, state=state, running=live)
        time.sleep(0.5)
    if live < TASKS:
        return BROKEN, f"{live} of {TASKS} tasks run {end - fleet.ended:.1f} " \
            f"s after one has ended as done; the job is shown as {state}"
    if state != "running":
        return BROKEN, f"the job is shown as {state}, and nobody cancelled it"
    return HELD, f"{live} of {TASKS} tasks run"


main(case, FOLDER)
