"""A task runs on two workers at the same time: an order with a deadline on the
former clock of a restarted worker makes its lease longer than the scheduler
takes it to be, so that the scheduler starts the task elsewhere too early when
the worker is cut off."""
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(HERE.parent))
# An import that fails is not a broken rule.
sys.excepthook = lambda *e: (sys.__excepthook__(*e), os._exit(2))

from standins import main, wait_until  # noqa: E402

FIRST, JOB = "00000000000000e0", "00000000000000e1"
RUN_S = 12
DOWN_S = 0.5      # from the crash until the worker is back
ENTRY_S = 0.5     # from then until it writes its entry again
CUT_AFTER_S = 1.0
CUT_S = 5.5
GONE_S = 4.5      # three heartbeat intervals


def test(fleet, trouble):
    fleet.hold_max_ms = 10000
    for n in range(8):
        fleet.add_worker(f"m-{n}")
    fleet.start_all()
    wait_until(fleet.leader, 10, "leader")
    # A short job first: it shows which worker the next one gets, and the
    # scheduler has read that worker's clock.
    assert fleet.submit(fleet.names[0], FIRST, spec="cpu=500 run=0.5") == 200
    wait_until(lambda: fleet.state(fleet.names[0], FIRST) == "done", 5, FIRST)
    name = next(h[1] for h in fleet.history if h[4] == "start")
    worker = next(w for w in fleet.workers.values() if w.name == name)
    time.sleep(0.5)
    if trouble:
        fleet.record.note("test", f"{name} crashes")
        worker.crash()
        time.sleep(DOWN_S)
        worker.silent_store = True
        worker.begin()
        threading.Timer(ENTRY_S, setattr,
                        (worker, "silent_store", False)).start()
        time.sleep(0.1)
    assert fleet.submit(fleet.names[0], JOB, spec=f"cpu=500 run={RUN_S}") \
        == 200
    time.sleep(CUT_AFTER_S)
    if trouble:
        fleet.record.note("test", f"{name} is cut off")
        worker.cut = True
        threading.Timer(GONE_S, fleet.store.put,
                        ("keyed.servers", name, b"")).start()
        time.sleep(CUT_S)
        fleet.record.note("test", f"{name} is back")
        worker.cut = False
    time.sleep(RUN_S + 4)
    live, twice = {}, []
    for at, on, task, run, what in sorted(fleet.history):
        if what == "start":
            if live.get(task):
                twice.append((round(at, 3), task, run, on,
                              dict(live[task])))
            live.setdefault(task, {})[run] = on
        elif not what.startswith("noted"):
            live.get(task, {}).pop(run, None)
    state = fleet.state(fleet.names[0], JOB)
    fleet.record.note("test", f"state: {state}; started while another run was "
                      f"at work: {twice}")
    assert trouble or state == "done", state
    return not twice


main(test, HERE, TROUBLE)
