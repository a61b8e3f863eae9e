"""Stand-ins and checks shared by cases 6 to 10: workers, the machine list and
a fleet of entry daemons. The store is that of tests/jobs_platform.py. All
addresses are loopback addresses and all times are those of the real clock."""
import atexit
import collections
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from harness import call, free_addr, is_ok, pack, unpack, wait_until  # noqa: E402
from jobs_platform import Store, serve  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "jobs.example"
BEGUN = time.monotonic()

# Bounds of the settings of a small deployment (kladeftis-ops).
BOUNDS = {"holdMaxMs": 6000, "leaseMs": 3000, "maintenanceS": 2,
          "migrateS": 1.5, "status_s": 120}
HEARTBEAT_S = 1.5
GANG_WAIT_S = 3.0
STOP_S = 0.1  # of at most stopMs = 200 ms
CHECKPOINT_S = 2.0


class Record:
    """What was sent, answered and run, in order; written to record.txt."""

    def __init__(self):
        self.lock = threading.Lock()
        self.lines = []

    def __call__(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            self.lines.append(f"{time.monotonic() - BEGUN:8.3f} {what} {text}")

    def write(self, folder):
        with self.lock:
            (pathlib.Path(folder) / "record.txt").write_text(
                "\n".join(self.lines) + "\n")


record = Record()


class Gangs:
    """The members of each run of a gang, by task name without its index."""

    def __init__(self):
        self.lock = threading.RLock()
        self.sizes = {}  # (job, step) -> tasks
        self.members = collections.defaultdict(dict)  # key -> task -> worker

    def key(self, task, run):
        job, occurrence, step, _ = task.split(".")
        size = self.sizes.get((job, int(step)))
        return None if size is None else (job, occurrence, step, run, size)


class Worker:
    """One life of a worker. behave(worker, task, run) returns (seconds of
    work, how the run ends); seconds None: it works until it is ended."""

    def __init__(self, fleet, name, service, machine, labels=("a", "r1-1"),
                 cpu=16000, memory=65536):
        self.fleet, self.name, self.service = fleet, name, service
        self.machine, self.labels = machine, list(labels)
        self.cpu, self.memory = cpu, memory
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.running = {}  # task -> [run, begun, behaviour, need]
        self.ended = []
        self.highest = collections.Counter()
        self.fence = self.ends = 0
        self.lease = 0
        self.alive = True
        self.state = "ready"
        self.seq = 0
        self.server, self.addr = serve(self.receive)
        record("worker-up", worker=name, machine=machine, born=self.born,
               labels=",".join(self.labels))
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    def entry(self):
        self.seq += 1
        return pack({"service": self.service, "addr": self.addr, "zone": "a",
                     "version": "1", "slots": 8, "state": self.state,
                     "warmupLeftMs": 0, "seq": self.seq, "born": self.born,
                     "machine": self.machine, "labels": self.labels,
                     "capacity": {"cpu": self.cpu, "memMb": self.memory,
                                  "gpu": 0}})

    def register(self):
        if self.alive:
            self.fleet.store.put("keyed.servers", self.name, self.entry())

    def beat(self):
        while self.alive:
            self.register()
            time.sleep(HEARTBEAT_S)

    def crash(self):
        """The process ends: it sends nothing more, and its connections
        break."""
        with self.lock:
            self.alive = False
            for task, (run, *_) in self.running.items():
                record("gone", worker=self.name, task=task, run=run)
            self.running = {}
            self.lock.notify_all()
        record("worker-crash", worker=self.name)
        threading.Thread(target=self.close, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def answer(self, status, **fields):
        return status, pack({"clockMs": self.clock(), "born": self.born,
                             **fields})

    def end(self, task, how):
        run = self.running.pop(task)[0]
        self.ends += 1
        self.ended.append([self.ends, task, run, how, ""])
        self.highest[task] = max(self.highest[task], run)
        record("end", worker=self.name, task=task, run=run, how=how)
        self.lock.notify_all()

    def work(self):
        while self.alive:
            time.sleep(0.01)
            with self.fleet.gangs.lock, self.lock:
                if not self.alive:
                    return
                if self.clock() > self.lease:
                    for task in list(self.running):
                        self.end_member(task, "lapsed")
                for task in list(self.running):
                    if task in self.running:
                        self.step(task, time.monotonic())

    def step(self, task, now):
        run, begun, (seconds, how), _ = self.running[task]
        key = self.fleet.gangs.key(task, run)
        if key is not None:
            members = self.fleet.gangs.members[key]
            if len(members) < key[4]:
                if now - begun > GANG_WAIT_S:
                    self.end_member(task, "alone")
                return
            begun = max(m[1] for m in members.values())
        if seconds is not None and now - begun >= seconds:
            self.end_member(task, how)

    def end_member(self, task, how):
        """Ends a run; the other members of its gang end with it, each of them
        in its next step of the same moment if it fails as well."""
        run = self.running[task][0]
        key = self.fleet.gangs.key(task, run)
        self.end(task, how)
        if key is not None and how not in ("alone",):
            self.fleet.end_gang(key, task, how)

    def receive(self, method, path, query, headers, body):
        if not self.alive:
            return None
        if headers.get("Expect-Instance") != self.name:
            return self.answer(421)
        rq = unpack(body)
        with self.fleet.gangs.lock, self.lock:
            if not self.alive:
                return None
            if rq.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = max(self.fence, rq.get("fence", 0))
            if rq.get("deadlineMs"):
                self.lease = max(self.lease, min(
                    rq["deadlineMs"], self.clock() + BOUNDS["holdMaxMs"]))
            if path == "/api/run-start":
                return self.start(rq)
            if path == "/api/run-stop":
                task = rq["task"]
                self.highest[task] = max(self.highest[task], rq["runId"])
                record("stop", worker=self.name, task=task, run=rq["runId"])
                if task in self.running:
                    self.end_member(task, "stopped")
                return self.answer(200)
        with self.lock:
            return self.hold(rq)

    def start(self, rq):
        task, run = rq["task"], rq["runId"]
        if task in self.running and self.running[task][0] == run:
            return self.answer(200)
        if run <= self.highest[task]:
            return self.answer(409, reason="old")
        if rq["deadlineMs"] <= self.clock():
            return self.answer(409, reason="late")
        need = self.fleet.need_of(task)
        used = [sum(r[3][k] for r in self.running.values()) for k in (0, 1)]
        if used[0] + need[0] > self.cpu or used[1] + need[1] > self.memory:
            return self.answer(409, reason="room")
        behaviour = self.fleet.behave(self, task, run)
        self.running[task] = [run, time.monotonic(), behaviour, need]
        record("start", worker=self.name, task=task, run=run,
               labels=",".join(self.labels), saved=rq.get("savedState", ""))
        key = self.fleet.gangs.key(task, run)
        if key is not None:
            self.fleet.gangs.members[key][task] = (self, time.monotonic())
        return self.answer(200)

    def hold(self, rq):
        for number, task, run, how, _ in self.ended:
            if number <= rq.get("lastSeen", 0):
                record("noted", worker=self.name, task=task, run=run, how=how)
        self.ended = [e for e in self.ended if e[0] > rq.get("lastSeen", 0)]
        end = time.monotonic() + min(rq.get("waitMs", 0), 2000) / 1000
        while not self.ended:
            left = end - time.monotonic()
            if left <= 0 or not self.alive or not self.lock.wait(left):
                break
        if not self.alive:
            return None
        now = time.monotonic()
        return self.answer(
            200, finished=self.ended[:500],
            running=[[t, r[0], "", self.percent(r, now), 0]
                     for t, r in self.running.items()])

    @staticmethod
    def percent(run, now):
        seconds = run[2][0]
        if seconds is None:
            return 100 if now - run[1] > 0.5 else 50
        return min(int(100 * (now - run[1]) / seconds), 99)


class Fleet:
    """A store, workers, the machine list and entry daemons."""

    def __init__(self, services, routes=None, n_hosts=3, parts=8):
        self.gangs = Gangs()
        self.needs = {}  # (job, step) -> (cpu, memory)
        self.store = Store()
        self.lock = threading.Lock()
        self.machines = {}  # machine -> {"pool", "state", "worker"}
        self.cloud, self.cloud_addr = serve(self.cloud_call)
        self.made = 0
        self.n_parts = parts
        self.config = {
            "version": 3, "limits": {},
            "routes": routes or [
                {"name": f"q-{s}", "host": HOST, "prefix": f"/{s}/",
                 "service": s, "attempts": 3, "priority": 0, "sloMs": 600,
                 "stretch": 1.6} for s in services],
            "services": [{"name": s, "enforcesCapacity": True}
                         for s in services]}
        self.store.put("keyed.op", "config", pack(self.config))
        for service, count in services.items():
            for n in range(count):
                machine = f"m-{service}-{n}"
                self.machines[machine] = {"pool": service, "state": "up",
                                          "worker": None, "rack": n // 4}
                self.boot(machine)
        self.dir = tempfile.TemporaryDirectory(prefix="gv-review-")
        self.procs = {}
        self.fronts = {}
        atexit.register(self.close)
        for n in range(n_hosts):
            self.start_entry(f"edge-{n}")

    # What a test replaces.
    def behave(self, worker, task, run):
        return 0.3, "done"

    def need_of(self, task):
        job, _, step, _ = task.split(".")
        return self.needs.get((job, int(step)), (500, 10))

    # Workers and machines
    def boot(self, machine, name=None, labels=None):
        """Starts a worker on a machine, under a new id or a former one."""
        m = self.machines[machine]
        if name is None:
            self.made += 1
            name = f"i-{0x7f3a9000 + self.made:x}"
        if labels is None:
            labels = ("a", f"r1-{m['rack']}")
        worker = Worker(self, name, m["pool"], machine, labels)
        with self.lock:
            m["worker"] = worker
            m["state"] = "up"
        return worker

    def crash(self, machine, seconds):
        """The worker of a machine crashes; another life follows, under a new
        id. The entry goes after three heartbeats of silence."""
        m = self.machines[machine]
        old = m["worker"]
        with self.lock:
            m["state"] = "down"
        old.crash()

        def lapse():
            self.store.put("keyed.servers", old.name, b"")
        threading.Timer(3 * HEARTBEAT_S, lapse).start()
        threading.Timer(seconds, self.boot, (machine,)).start()

    def crash_for_good(self, machine):
        """The worker of a machine crashes, and the machine stays down."""
        m = self.machines[machine]
        with self.lock:
            m["state"] = "down"
        m["worker"].crash()
        threading.Timer(3 * HEARTBEAT_S, self.store.put,
                        ("keyed.servers", m["worker"].name, b"")).start()

    def workers(self, service=None):
        with self.lock:
            return [m["worker"] for m in self.machines.values()
                    if m["state"] == "up" and m["worker"].alive
                    and service in (None, m["pool"])]

    def end_gang(self, key, task, how):
        members = self.gangs.members[key]
        for other, (worker, _) in members.items():
            with worker.lock:
                run = worker.running.get(other)
                if other != task and run is not None and run[0] == key[3]:
                    # One that fails in the same moment ends as failed too.
                    fails = how == "failed" and run[2][1] == "failed"
                    worker.end(other, "done" if how == "done" else
                               "failed" if fails else "broken")

    def cloud_call(self, method, path, query, headers, body):
        if path == "/api/machines":
            with self.lock:
                rows = [{"machine": name, "pool": m["pool"],
                         "state": m["state"], "zone": "a",
                         "labels": ["a", f"r1-{m['rack']}"],
                         "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
                         "id": m["worker"].name if m["state"] == "up" else ""}
                        for name, m in self.machines.items()]
            return 200, pack({"machines": rows, "nextToken": ""})
        record("cloud", path=path, body=unpack(body))
        return 429, b""

    # Entry daemons
    def render(self, name, front, ready):
        """Fills deploy/gvschedd.yaml as the platform does."""
        values = {"nodeName": name, "zone": "a", "ip": "127.0.0.1",
                  "limits": {"cpuShare": 0.25},
                  "listen": {"front": front, "ready": ready},
                  "platform": {"addr": self.store.addr, "parts": self.n_parts},
                  "cloudApi": {"addr": self.cloud_addr}, "bounds": BOUNDS}
        values.update(self.more_values())

        def get(path):
            at = values
            for part in path.split("."):
                at = at.get(part) if isinstance(at, dict) else None
            return at

        text = (ROOT / "deploy" / "gvschedd.yaml").read_text()
        text = text.replace('metrics: "{{ip}}:9464"',
                            f'metrics: "{free_addr()}"')
        text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n",
                      lambda m: m[2] if get(m[1]) else "", text, flags=re.S)
        return re.sub(
            r"\{\{([\w.]+)(\|json)?\}\}",
            lambda m: json.dumps(get(m[1])) if m[2] else str(get(m[1])), text)

    def more_values(self):
        return {}

    def start_entry(self, name):
        front, ready = free_addr(), free_addr()
        conf = f"{self.dir.name}/{name}.yaml"
        pathlib.Path(conf).write_text(self.render(name, front, ready))
        with open(f"{self.dir.name}/{name}.log", "ab") as log:
            self.procs[name] = subprocess.Popen(
                ["target/gvschedd"], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "GYPSUMVALVE_CONFIG": conf})
        self.fronts[name] = front
        wait_until(lambda: is_ok(call(ready, "GET", "/api/readyz")), 15,
                   f"{name} ready")

    def leader(self):
        for key, value in reversed(
                self.store.parts["keyed.gypsumvalve-progress", 0]):
            if key == "L":
                lease = unpack(value)
                return None if lease[2] else lease[1]
        return None

    def close(self):
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.kill()
                proc.wait()
        self.procs = {}

    # Clients
    def submit(self, entry, queue, job, steps, spec="text", **fields):
        """Submits a job until it is accepted. Returns the time of that."""
        for i, s in enumerate(steps):
            self.needs[job, i] = (s.get("cpu", 0), s.get("memMb", 0))
            if s.get("gang"):
                self.gangs.sizes[job, i] = s["count"]
        body = pack({"spec": spec, "steps": steps, **fields})
        for _ in range(20):
            answer = call(self.fronts[entry], "POST", f"/{queue}/{job}", body,
                          {"Host": HOST, "Deadline-Ms": "3000",
                           "Content-Type": "application/msgpack"})
            record("submit", entry=entry, job=job,
                   status=answer and answer.status)
            if is_ok(answer):
                return time.monotonic()
            time.sleep(0.3)
        raise AssertionError(f"job {job} is not accepted")

    def state(self, entry, queue, job):
        """Returns a job's state, or the status of a response other than
        200."""
        answer = call(self.fronts[entry], "GET", f"/{queue}/{job}",
                      headers={"Host": HOST, "Deadline-Ms": "3000"})
        if answer is None:
            return None
        if answer.status != 200:
            return answer.status
        return unpack(answer.body)["state"]

    def cancel(self, entry, queue, job):
        answer = call(self.fronts[entry], "DELETE", f"/{queue}/{job}",
                      headers={"Host": HOST, "Deadline-Ms": "3000"})
        record("cancel", entry=entry, job=job, status=answer and answer.status)
        return answer and answer.status


def main(case, folder):
    """Runs case() and ends with the exit status of a script: its result, or
    NOT_RUN if it could not run or was stopped by a signal."""
    if not (ROOT / "target" / "gvschedd").exists():
        print("target/gvschedd is missing")
        os._exit(NOT_RUN)

    def stop(number, frame):
        atexit._run_exitfuncs()
        os._exit(NOT_RUN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    try:
        result, why = case()
    except Exception:
        result, why = NOT_RUN, traceback.format_exc()
    record("result", status=result, why=why)
    record.write(folder)
    print(f"{('held', 'BROKEN', 'not run')[result]}: {why}")
    sys.stdout.flush()
    atexit._run_exitfuncs()
    os._exit(result)
