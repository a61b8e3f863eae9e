"""Stand-ins for the scripts of the review: workers, the interface to their
machines, per-machine addresses of the store, and the daemons of the deploy
file. The log of the store itself is that of tests/jobs_platform.py."""
import os
import pathlib
import re
import signal
import socket
import socketserver
import http.server
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tests"))

from harness import call, free_addr, pack, unpack, wait_until  # noqa: E402
from jobs_platform import Store  # noqa: E402

HOST = "jobs.example"
RESET = "reset"  # an answer: the connection is reset instead
HOLD_MAX_MS = 6000
STOP_S = 0.05
HEARTBEAT_S = 1.5
LIMIT_S = 110


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.out = open(path, "w", encoding="utf-8")

    def note(self, who, text):
        with self.lock:
            at = time.monotonic() - self.begin
            self.out.write(f"{at:8.3f} {who}: {text}\n")
            self.out.flush()

    def now(self):
        return time.monotonic() - self.begin


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, *args):
        self.open = set()
        super().__init__(*args)

    def handle_error(self, request, client_address):
        """Prints nothing: connections break on purpose."""

    def reset_all(self):
        """Closes the listener and resets every open connection."""
        self.shutdown()
        self.server_close()
        for sock in list(self.open):
            reset(sock)


def reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)
        sock.close()
    except OSError:
        pass


def serve(handle, addr=None):
    """Starts an HTTP server. handle(method, path, query, headers, body)
    returns (status, bytes), RESET, or None to close without a response."""
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def setup(self):
            super().setup()
            self.server.open.add(self.connection)

        def finish(self):
            self.server.open.discard(self.connection)
            super().finish()

        def respond(self):
            n = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(n)
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query,
                                                errors="surrogateescape"))
            answer = handle(self.command, url.path, query, self.headers, body)
            if answer is None or answer == RESET:
                self.close_connection = True
                if answer == RESET:
                    self.connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
                    self.connection.close()
                return
            # One write: the head and the body in one packet.
            self.wfile.write(
                f"HTTP/1.1 {answer[0]} X\r\nContent-Length: "
                f"{len(answer[1])}\r\n\r\n".encode() + answer[1])

        do_GET = do_POST = do_DELETE = respond

        def log_message(self, *args):
            pass

    host, port = (addr or free_addr()).split(":")
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, args=(0.02,),
                     daemon=True).start()
    return server, f"{host}:{port}"


class StoreAddress:
    """One machine's address of the store. `answer`: None, or a function
    (method, path, query, body) -> answer or None, asked before the store.
    `compact`: a topic whose records are deleted, but for the newest of each
    key, before the next read that has not read all of them yet."""

    def __init__(self, store):
        self.store = store
        self.answer = None
        self.compact = None
        self.first = {}  # topic -> first offset that is kept
        self.server, self.addr = serve(self.handle)

    def compacted(self, path, query):
        """Returns 410 to a read of deleted records, else None."""
        topic = query.get("topic")
        if path != "/api/log-read":
            return None
        start = int(query["from"])
        end = len(self.store.parts[topic, int(query["part"])])
        if topic == self.compact and start < end:
            self.first[topic] = end
            self.compact = None
        if start < self.first.get(topic, 0):
            return 410, pack({"first": self.first[topic]})
        return None

    def handle(self, method, path, query, headers, body):
        got = self.compacted(path, query)
        if got is not None:
            return got
        if self.answer is not None:
            got = self.answer(method, path, query, body)
            if got is not None:
                return got
        return self.store.handle(method, path, query, headers, body)


class Worker:
    """A worker. The spec of a job says how a task behaves: "run=SECONDS",
    "cpu=N" (thousandths of a core, checked against the room) and, for a task
    that lasts, "lasts"."""

    def __init__(self, fleet, name, machine, service, clock_ms=None):
        self.fleet, self.name = fleet, name
        self.machine, self.service = machine, service
        self.lock = threading.Condition()
        self.addr = free_addr()
        self.up = False
        self.hang = False      # orders get no answer
        self.cut = False       # nothing arrives and nothing leaves
        self.silent_store = False  # it writes no entry
        self.room = 16000
        self.begin(clock_ms)

    # Life

    def begin(self, clock_ms=None):
        """Begins an incarnation: it holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic() - (clock_ms or 0) / 1000
        self.running, self.ended = {}, []
        self.highest = {}
        self.ends = self.fence = self.seq = 0
        self.lease = 0
        # Ends that were listed when the lease lapsed: they don't count as
        # noted any more.
        self.expired = set()
        self.life = object()
        self.up = True
        self.server, _ = serve(self.handle, self.addr)
        threading.Thread(target=self.work, args=(self.life,),
                         daemon=True).start()
        threading.Thread(target=self.beat, args=(self.life,),
                         daemon=True).start()
        self.fleet.record.note(self.name, f"begins, born={self.born}")

    def crash(self):
        """All runs and connections are gone at once; it says nothing."""
        with self.lock:
            self.life = None
            self.up = False
            for task, r in self.running.items():
                self.fleet.ran(self, task, r["run"], "gone")
            self.running = {}
            self.lock.notify_all()
        self.server.reset_all()

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000)

    def beat(self, life):
        while self.life is life:
            if not self.silent_store and not self.cut:
                self.seq += 1
                self.fleet.store.put("keyed.servers", self.name, self.entry())
                self.fleet.beats[self.name] = time.monotonic()
            time.sleep(HEARTBEAT_S)

    def entry(self, state="ready"):
        return pack({"service": self.service, "addr": self.addr, "zone": "a",
                     "state": state, "seq": self.seq, "born": self.born,
                     "version": "1", "slots": 8, "warmupLeftMs": 0,
                     "machine": self.machine, "labels": ["a", "r1-1"],
                     "capacity": {"cpu": self.room, "memMb": 65536,
                                  "gpu": 0}})

    # Tasks

    def end(self, task, how):
        r = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, r["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), r["run"])
        self.fleet.ran(self, task, r["run"], how)
        self.lock.notify_all()

    def work(self, life):
        while True:
            time.sleep(0.005)
            with self.lock:
                if self.life is not life:
                    return
                now = time.monotonic()
                if self.clock() > self.lease and self.ended:
                    self.expired.update(e[0] for e in self.ended)
                for task, r in list(self.running.items()):
                    if self.clock() > self.lease:
                        self.end(task, "lapsed")
                    elif r["stop"] is not None and now >= r["stop"]:
                        self.end(task, "stopped")
                    elif r["until"] is not None and now >= r["until"]:
                        self.end(task, "done")

    # Orders

    def answer(self, status, **fields):
        return status, pack({"clockMs": self.clock(), "born": self.born,
                             **fields})

    def handle(self, method, path, query, headers, body):
        life = self.life
        if self.hang or self.cut:
            # Never carried out: the sender has given up by then.
            while self.hang or self.cut:
                time.sleep(0.01)
            return RESET
        if headers.get("Expect-Instance") not in (None, self.name):
            return self.answer(421)
        rq = unpack(body)
        if path != "/api/hold":
            self.fleet.record.note(
                self.name, f"{path} {rq['task']} run={rq['runId']} "
                f"fence={rq.get('fence', 0)}"
                + (f" deadlineMs={rq['deadlineMs']} clockMs={self.clock()}"
                   if "deadlineMs" in rq else ""))
        with self.lock:
            if self.life is not life:
                return RESET
            if rq.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = rq.get("fence", 0)
            if rq.get("deadlineMs"):
                self.lease = max(self.lease, min(rq["deadlineMs"],
                                                 self.clock() + self.fleet.hold_max_ms))
            if path == "/api/run-start":
                got = self.start(rq)
            elif path == "/api/run-stop":
                got = self.stop(rq)
            else:
                got = self.hold(rq, life)
        if self.life is not life:
            return RESET
        if self.cut or self.hang:  # the answer does not leave
            while self.cut or self.hang:
                time.sleep(0.01)
            return RESET
        if path != "/api/hold":
            self.fleet.record.note(self.name, f"answers {got[0]} "
                                   f"{unpack(got[1]).get('reason', '')}")
        return got

    def start(self, rq):
        task, run = rq["task"], rq["runId"]
        if task in self.running and self.running[task]["run"] == run:
            return self.answer(200)
        if run <= self.highest.get(task, 0) or task in self.running:
            return self.answer(409, reason="old")
        if rq["deadlineMs"] <= self.clock():
            return self.answer(409, reason="late")
        cpu = int(re.search(r"cpu=(\d+)", rq["spec"]).group(1))
        if sum(r["cpu"] for r in self.running.values()) + cpu > self.room:
            return self.answer(409, reason="room")
        now = time.monotonic()
        run_s = re.search(r"run=([0-9.]+)", rq["spec"])
        self.running[task] = {
            "run": run, "cpu": cpu, "since": now, "stop": None,
            "until": now + float(run_s.group(1)) if run_s else None}
        self.fleet.ran(self, task, run, "start")
        return self.answer(200)

    def stop(self, rq):
        task, run = rq["task"], rq["runId"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        r = self.running.get(task)
        if r is not None and r["run"] <= run and r["stop"] is None:
            r["stop"] = time.monotonic() + STOP_S
        return self.answer(200)

    def hold(self, rq, life):
        seen = rq.get("lastSeen", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen:
                self.fleet.ran(self, task, run, f"noted {how}" + (
                    " after a lapse" if number in self.expired else ""))
        self.ended = [e for e in self.ended if e[0] > seen]
        end = time.monotonic() + rq.get("waitMs", 0) / 1000
        while not self.ended and self.life is life and not self.cut:
            left = end - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(min(left, 0.05))
        now = time.monotonic()
        return self.answer(
            200, finished=self.ended[:500],
            running=[[t, r["run"], "",
                      100 if now - r["since"] > 0.3 else 50, 0]
                     for t, r in self.running.items()])


class Machines:
    """The interface to the machines: lists and upkeep."""

    def __init__(self, fleet, upkeep_s=2.0):
        self.fleet, self.upkeep_s = fleet, upkeep_s
        self.lock = threading.RLock()
        self.states = {}   # machine -> up, upkeep or down
        self.fences = {}   # machine -> highest fencing token
        self.done = set()  # (machine, wave)
        self.down = []     # machines in upkeep
        self.most_down = {}
        self.late_s = None  # function(machine, token) -> seconds, or None
        self.began = []    # (time, machine, wave, token, machines down before)
        self.server, self.addr = serve(self.handle)

    def handle(self, method, path, query, headers, body):
        if path == "/api/machines":
            return 200, pack({"machines": self.rows()})
        if path == "/api/machine-move":
            return 409, pack({"reason": "busy"})
        if path != "/api/machine-upkeep":
            return 404, b""
        rq = unpack(body)
        token = int(headers["Fencing-Token"])
        self.fleet.record.note(
            "machines", f"upkeep of {rq['machine']} wave={rq['wave']} "
            f"holder={headers['Lease-Holder']} token={token}")
        late = self.late_s and self.late_s(rq["machine"], token)
        if late:
            self.fleet.record.note(
                "machines", f"no answer; carried out in {late} s")
            threading.Timer(late, self.upkeep, (rq["machine"], rq["wave"],
                                                token)).start()
            time.sleep(late + 1)
            return RESET
        got = self.upkeep(rq["machine"], rq["wave"], token)
        self.fleet.record.note("machines", f"answers {got}")
        return got

    def rows(self):
        with self.lock:
            return [{"machine": m, "pool": self.fleet.workers[m].service,
                     "state": state, "zone": "a", "labels": ["a", "r1-1"],
                     "id": self.fleet.workers[m].name if state == "up" else "",
                     "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0}}
                    for m, state in self.states.items()]

    def upkeep(self, machine, wave, token):
        with self.lock:
            if token < self.fences.get(machine, 0):
                self.fleet.record.note("machines", f"{machine} token={token} "
                                       "refused: fence")
                return 409, pack({"reason": "fence"})
            self.fences[machine] = token
            if (machine, wave) in self.done:
                return 200, b""
            if self.states[machine] != "up":
                return 409, pack({"reason": "busy"})
            self.done.add((machine, wave))
            self.began.append((self.fleet.record.now(), machine, wave, token,
                               list(self.down)))
            self.fleet.record.note(
                "machines", f"upkeep of {machine} begins, token={token}, "
                f"down before: {self.down}")
            self.down.append(machine)
            self.states[machine] = "upkeep"
            worker = self.fleet.workers[machine]
            worker.crash()
            # The entry is removed after three heartbeat intervals of silence.
            threading.Timer(3 * HEARTBEAT_S, self.fleet.store.put, (
                "keyed.servers", worker.name, b"")).start()
            threading.Timer(self.upkeep_s, self.finish, (machine,)).start()
            return 200, b""

    def finish(self, machine):
        with self.lock:
            self.down.remove(machine)
            old = self.fleet.workers[machine]
            self.fleet.record.note("machines", f"{machine} is up again")
            self.fleet.add_worker(machine, old.service, old.name + "n")


class Fleet:
    """A small deployment: the store, workers on machines, and daemons."""

    def __init__(self, folder, daemons=4, services=("s",), attempts=2):
        self.hold_max_ms = HOLD_MAX_MS
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.history = []  # (seconds, worker, task, run, what)
        self.beats = {}
        self.store = Store()
        self.workers = {}  # machine -> Worker
        self.machines = Machines(self)
        self.dir = tempfile.TemporaryDirectory(prefix="gv-review-")
        self.procs, self.fronts, self.stores = {}, {}, {}
        self.names = [f"edge-a-{n}" for n in range(1, daemons + 1)]
        self.store.put("keyed.op", "config", pack({
            "version": 3,
            "routes": [{"name": f"q-{s}", "host": HOST, "prefix": f"/{s}/",
                        "service": s, "attempts": attempts, "priority": 0,
                        "sloMs": 600, "stretch": 1.6} for s in services],
            "services": [{"name": s, "enforcesCapacity": True}
                         for s in services],
            "limits": {}}))

    def add_worker(self, machine, service="s", name=None, clock_ms=480000):
        self.workers[machine] = Worker(self, name or "i-" + machine, machine,
                                       service, clock_ms)
        self.machines.states[machine] = "up"
        return self.workers[machine]

    def ran(self, worker, task, run, what):
        self.history.append((self.record.now(), worker.name, task, run, what))
        self.record.note(worker.name, f"{task} run={run} {what}")

    # Daemons

    def start(self, name):
        """Starts a daemon with the command and the template's settings of the
        deploy file."""
        front, ready = free_addr(), free_addr()
        store = self.stores.setdefault(name, StoreAddress(self.store))
        conf = pathlib.Path(self.dir.name) / f"{name}.yaml"
        conf.write_text(
            f'name: "{name}"\ndata_centre: "a"\ncpu_share: 0.25\n'
            f'front: "{front}"\nready: "{ready}"\n'
            f'metrics: "{free_addr()}"\nstore: "{store.addr}"\n'
            f'store_parts: 8\nhosts_api: "{self.machines.addr}"\n'
            f'max_lease_ms: {self.hold_max_ms}\nlease_wait_ms: 3000\n'
            'maintenance_s: 2\nmove_s: 1.5\nshow_ended_s: 120\n')
        env = {"PATH": os.environ["PATH"], "HOME": self.dir.name,
               "LANG": "C.UTF-8", "GYPSUMVALVE_CONFIG": str(conf)}
        with open(f"{self.dir.name}/{name}.log", "ab") as log:
            self.procs[name] = subprocess.Popen(
                ["target/gvschedd"], cwd=ROOT, env=env, stdout=log,
                stderr=log)
        self.fronts[name] = front
        self.record.note("test", f"starts {name}")
        wait_until(lambda: getattr(call(ready, "GET", "/api/readyz",
                                        timeout=1), "status", 0) == 200,
                   15, f"{name} is ready")

    def start_all(self):
        for name in self.names:
            self.start(name)

    def kill(self, name):
        self.record.note("test", f"kills {name}")
        proc = self.procs.pop(name)
        proc.send_signal(signal.SIGKILL)
        proc.wait()

    def leader(self):
        """Returns the daemon that stored the newest lease."""
        for key, value in reversed(self.store.parts[
                "keyed.gypsumvalve-progress", 0]):
            if key == "L":
                return unpack(value)[1]
        return None

    def log(self, name):
        return pathlib.Path(self.dir.name, f"{name}.log").read_text(
            errors="replace")

    def close(self):
        for name in list(self.procs):
            proc = self.procs.pop(name)
            proc.kill()
            proc.wait()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for name in self.names:
                pathlib.Path(keep, name + ".log").write_text(self.log(name))
        self.dir.cleanup()

    # Clients

    def ask(self, name, method, path, body=None, timeout=4.0):
        """Sends a client's request; returns the status and the decoded
        body."""
        self.record.note("client", f"{method} {path} to {name}")
        got = call(self.fronts[name], method, path, body,
                   {"Host": HOST, "Deadline-Ms": "3000"}, timeout)
        status = None if got is None else got.status
        fields = unpack(got.body) if got is not None and got.body else {}
        self.record.note("client", f"{method} {path} answered {status} "
                         f"{fields or ''}")
        return status, fields

    def submit(self, name, job, service="s", spec="cpu=500 run=1", count=1,
               **step):
        cpu = int(re.search(r"cpu=(\d+)", spec).group(1))
        body = pack({"spec": spec, "steps": [
            {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": 1000,
             **step}]})
        return self.ask(name, "POST", f"/{service}/{job}", body)[0]

    def state(self, name, job, service="s"):
        status, fields = self.ask(name, "GET", f"/{service}/{job}")
        return fields.get("state", status)


def main(test, folder, trouble):
    """Runs test(fleet, trouble), which returns whether the rule held. Exit
    status: 0 it held, 1 it was broken, 2 the case could not run. A SIGTERM, or
    LIMIT_S, ends the case and its processes with 2."""
    def interrupt(*_):
        raise RuntimeError("interrupted")

    signal.signal(signal.SIGTERM, interrupt)
    signal.signal(signal.SIGALRM, interrupt)
    signal.alarm(LIMIT_S)
    code, fleet = 2, None
    try:
        fleet = Fleet(folder)
        fleet.record.note("test", f"disruption: {trouble}")
        held = test(fleet, trouble)
        fleet.record.note("test", "the rule held" if held
                          else "the rule was broken")
        code = 0 if held else 1
    except Exception as e:  # the case could not run
        if fleet is not None:
            fleet.record.note("test", f"could not run: {e!r}")
        print(repr(e), file=sys.stderr)
    finally:
        signal.alarm(0)
        if fleet is not None:
            fleet.close()
    sys.stdout.flush()
    os._exit(code)
