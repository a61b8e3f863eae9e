"""Entries of another writer, with fields missing, name machines of workers.
Upkeep then ends tasks that last on these machines, more of a step at once
than it allows."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (BROKEN, HELD, NOT_RUN, TROUBLE, Fleet, call,  # noqa: E402
                        free_addr, main, pack, record, unpack)

JOB = "ba00000000000001"
TASKS = 5
MAX_UNAVAILABLE = 1
CAP = 3
WAVE_S = 26
UPKEEP_S = 2.0


class Upkeep(Fleet):
    def __init__(self, *args, **kwargs):
        self.broken = []
        self.done = set()
        super().__init__(*args, **kwargs)

    def behave(self, worker, task, run):
        return None, None

    def at_work(self):
        """Returns the tasks of the job that are at work (percent 100)."""
        now = time.monotonic()
        return {t for w in self.workers() for t, run in list(w.running.items())
                if t.startswith(JOB) and w.percent(run, now) == 100}

    def cloud_call(self, method, path, query, headers, body):
        if path != "/api/machine-upkeep":
            return super().cloud_call(method, path, query, headers, body)
        rq = unpack(body)
        name = rq["machine"]
        m = self.machines[name]
        with self.lock:
            if (name, rq["wave"]) in self.done:
                return 200, b""
            if m["state"] != "up":
                return 409, pack({"reason": "busy"})
            self.done.add((name, rq["wave"]))
        before = self.at_work()
        worker = m["worker"]
        ended = {t for t in worker.running if t in before}
        away = TASKS - len(before)
        record("upkeep", machine=name, worker=worker.name,
               at_work=len(before), ends=len(ended))
        if ended and away + len(ended) > MAX_UNAVAILABLE:
            self.broken.append(
                f"upkeep of {name} ends {len(ended)} task(s) at work while "
                f"{away} of {TASKS} are away")
        with self.lock:
            m["state"] = "upkeep"
        worker.crash()
        self.store.put("keyed.servers", worker.name, b"")
        threading.Timer(UPKEEP_S, self.boot, (name,)).start()
        return 200, b""


def case():
    fleet = Upkeep({"routing": 8})
    fleet.submit("edge-0", "routing", JOB,
                 [{"count": TASKS, "cpu": 1300, "memMb": 4800,
                   "maxPerServer": 1, "maxUnavailable": MAX_UNAVAILABLE,
                   "estimateMs": 900, "serviceJob": True}])
    end = time.monotonic() + 15
    while len(fleet.at_work()) < TASKS:
        if time.monotonic() > end:
            return NOT_RUN, "the tasks do not start"
        time.sleep(0.1)
    time.sleep(4)
    fleet.store.put("keyed.op", "wave/1", pack(
        {"wave": 1, "machines": sorted(fleet.machines), "durationS": WAVE_S,
         "cap": CAP}))
    record("wave", machines=8, cap=CAP)
    if TROUBLE:
        time.sleep(0.3)
        for n, (name, m) in enumerate(sorted(fleet.machines.items())):
            if m["state"] != "up":
                continue
            # No zone, labels, version, slots, seq and warmupLeftMs.
            entry = {"service": "routing", "addr": free_addr(),
                     "state": "ready", "machine": name,
                     "born": m["worker"].born,
                     "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0}}
            fleet.store.put("keyed.servers", f"agent-{n}", pack(entry))
            record("entry", key=f"agent-{n}", machine=name)
    end = time.monotonic() + WAVE_S + 4
    while time.monotonic() < end and len(fleet.done) < 8:
        time.sleep(0.2)
    why = f"{len(fleet.done)} of 8 machines had their upkeep"
    if fleet.broken:
        return BROKEN, f"{len(fleet.broken)} times, first: {fleet.broken[0]}"
    return (HELD if len(fleet.done) == 8 else NOT_RUN), why


main(case, FOLDER)
