"""A submission is refused with 503, but its job runs: the append of its record
took effect, its connection was reset, and the store refused the hidden
repetition of the call."""
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(HERE.parent))
# An import that fails is not a broken rule.
sys.excepthook = lambda *e: (sys.__excepthook__(*e), os._exit(2))

from standins import RESET, main, wait_until  # noqa: E402

DOWN_S = 4.0
LOST = "00000000000000b2"


def test(fleet, trouble):
    for n in range(4):
        fleet.add_worker(f"m-{n}")
    fleet.start_all()
    leader = wait_until(fleet.leader, 10, "leader")
    name = [n for n in fleet.names if n != leader][0]
    for n in range(3):  # keeps a connection to the store open
        status = fleet.submit(name, f"00000000000000a{n}")
        assert status == 200, status
    store = fleet.stores[name]
    until = []

    def turn_away(method, path, query, body):
        """From the first append on, for DOWN_S, the store rejects this
        machine: the connection in use is reset, later calls get 503."""
        if until and time.monotonic() < until[0]:
            return 503, b""
        if (not until and path == "/api/log-append"
                and LOST.encode() in body):
            until.append(time.monotonic() + DOWN_S)
            got = fleet.store.handle(method, path, query, {}, body)
            fleet.record.note("store", f"append of {LOST} from {name} stored "
                              f"({got[0]}), connection reset")
            return RESET
        return None

    if trouble:
        store.answer = turn_away
    status = fleet.submit(name, LOST)
    time.sleep(DOWN_S + 3)
    started = [h for h in fleet.history
               if h[2].startswith(LOST) and h[4] == "start"]
    fleet.record.note("test", f"the only attempt was answered {status}; "
                      f"starts: {started}")
    if not trouble:
        assert status == 200 and started, (status, started)
    return not (status in (429, 503) and started)


main(test, HERE, TROUBLE)
