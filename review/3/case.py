"""Tasks that have ended `done` run again: while the store is down, more than
500 ends gather on a worker, which returns 500 at a time, and runs whose ends
are in the rest of the list count as vanished."""
import collections
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(HERE.parent))
# An import that fails is not a broken rule.
sys.excepthook = lambda *e: (sys.__excepthook__(*e), os._exit(2))

from standins import main, wait_until  # noqa: E402

JOBS = 16
TASKS = 40  # of each job
RUN_S = 5
DOWN_S = 4.5


def test(fleet, trouble):
    for n in range(4):
        fleet.add_worker(f"m-{n}")
    fleet.start_all()
    wait_until(fleet.leader, 10, "leader")
    jobs = [f"{n:016x}" for n in range(0xd000, 0xd000 + JOBS)]
    begin = time.monotonic()
    for n, job in enumerate(jobs):
        status = fleet.submit(fleet.names[n % 3], job, count=TASKS,
                              spec=f"cpu=20 run={RUN_S}")
        assert status == 200, status
        time.sleep(0.12)

    def started():
        return sum(h[4] == "start" for h in list(fleet.history))

    wait_until(lambda: started() >= JOBS * TASKS, 4, "all tasks started")
    time.sleep(max(begin + RUN_S - 0.5 - time.monotonic(), 0))
    if trouble:
        fleet.record.note("test", "the store is down")
        fleet.store.mode = "busy"
        time.sleep(DOWN_S)
        fleet.store.mode = "up"
        fleet.record.note("test", "the store is up")
    time.sleep(RUN_S + 8)
    states = collections.Counter(fleet.state(fleet.names[0], j) for j in jobs)
    # An end counts if it is noted then or later, and no lease lapsed.
    noted = {(h[1], h[2], h[3]) for h in fleet.history if h[4] == "noted done"}
    lapsed = [h for h in fleet.history if h[4] == "lapsed"]
    done, again = {}, []
    for at, worker, task, run, what in sorted(fleet.history):
        if what == "done" and (worker, task, run) in noted:
            done[task] = (at, run)
        if what == "start" and task in done:
            again.append((task, run, done[task]))
    fleet.record.note("test", f"states: {dict(states)}; lapsed: {len(lapsed)};"
                      f" tasks started again after `done`: {len(again)}, "
                      f"such as {again[:3]}")
    assert trouble or states["done"] == JOBS, states
    return not again


main(test, HERE, TROUBLE)
