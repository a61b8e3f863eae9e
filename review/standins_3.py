"""Stand-ins for the cases of REPORT-3.md, on loopback addresses: the
platform's store, its list of machines, and workers; and the entry daemons as
separate processes. Only what PROTOCOL.md allows is done here; what a case
makes them do beyond a sound platform stands in the script of that case."""
import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Bounds of the site derwent-wick.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.2
HOLD_MAX_S = 10.0
GANG_WAIT_S = 3.0
HEARTBEAT_S = 1.5
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152


# msgpack, as far as the platform uses it

def pack(o):
    out = bytearray()
    _pack(o, out)
    return bytes(out)


def _pack_head(n, out, fix, fix_max, wide):
    if fix is not None and n <= fix_max:
        out.append(fix | n)
        return
    for code, fmt, most in wide:
        if n <= most:
            out.append(code)
            out += struct.pack(fmt, n)
            return


def _pack(o, out):
    if o is None:
        out.append(0xc0)
    elif o is True or o is False:
        out.append(0xc3 if o else 0xc2)
    elif isinstance(o, int):
        if 0 <= o < 128:
            out.append(o)
        elif o >= 0:
            out.append(0xcf)
            out += struct.pack(">Q", o)
        else:
            out.append(0xd3)
            out += struct.pack(">q", o)
    elif isinstance(o, float):
        out.append(0xcb)
        out += struct.pack(">d", o)
    elif isinstance(o, bytes):
        _pack_head(len(o), out, None, 0, ((0xc4, ">B", 0xff),
                                          (0xc5, ">H", 0xffff),
                                          (0xc6, ">I", 0xffffffff)))
        out += o
    elif isinstance(o, str):
        raw = o.encode()
        _pack_head(len(raw), out, 0xa0, 31, ((0xd9, ">B", 0xff),
                                             (0xda, ">H", 0xffff),
                                             (0xdb, ">I", 0xffffffff)))
        out += raw
    elif isinstance(o, (list, tuple)):
        _pack_head(len(o), out, 0x90, 15, ((0xdc, ">H", 0xffff),
                                           (0xdd, ">I", 0xffffffff)))
        for x in o:
            _pack(x, out)
    else:
        _pack_head(len(o), out, 0x80, 15, ((0xde, ">H", 0xffff),
                                           (0xdf, ">I", 0xffffffff)))
        for k, v in o.items():
            _pack(k, out)
            _pack(v, out)


def unpack(data):
    return _unpack(memoryview(data), 0)[0]


_FIXED = {0xca: ">f", 0xcb: ">d", 0xcc: ">B", 0xcd: ">H", 0xce: ">I",
          0xcf: ">Q", 0xd0: ">b", 0xd1: ">h", 0xd2: ">i", 0xd3: ">q"}
_SIZED = {0xc4: (">B", 1, bytes), 0xc5: (">H", 2, bytes),
          0xc6: (">I", 4, bytes), 0xd9: (">B", 1, str), 0xda: (">H", 2, str),
          0xdb: (">I", 4, str), 0xdc: (">H", 2, list), 0xdd: (">I", 4, list),
          0xde: (">H", 2, dict), 0xdf: (">I", 4, dict)}


def _unpack(d, at):
    c = d[at]
    at += 1
    if c < 0x80:
        return c, at
    if c >= 0xe0:
        return c - 256, at
    if c in (0xc0, 0xc2, 0xc3):
        return {0xc0: None, 0xc2: False, 0xc3: True}[c], at
    if c in _FIXED:
        fmt = _FIXED[c]
        return (struct.unpack_from(fmt, d, at)[0],
                at + struct.calcsize(fmt))
    if c in _SIZED:
        fmt, width, kind = _SIZED[c]
        n = struct.unpack_from(fmt, d, at)[0]
        at += width
    elif c >= 0xa0:
        n, kind = c & 0x1f, str
    elif c >= 0x90:
        n, kind = c & 0x0f, list
    else:
        n, kind = c & 0x0f, dict
    if kind is bytes:
        return bytes(d[at:at + n]), at + n
    if kind is str:
        return bytes(d[at:at + n]).decode(errors="replace"), at + n
    if kind is list:
        out = []
        for _ in range(n):
            v, at = _unpack(d, at)
            out.append(v)
        return out, at
    out = {}
    for _ in range(n):
        k, at = _unpack(d, at)
        out[k], at = _unpack(d, at)
    return out, at


# HTTP

def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    try:
        for s in socks:
            s.bind(("127.0.0.1", 0))
        return [s.getsockname()[1] for s in socks]
    finally:
        for s in socks:
            s.close()


class HttpServer:
    """Serves handle(method, path, query, headers, body), a coroutine that
    returns (status, body), or None for a response that is lost: the connection
    then returns nothing further."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.addr = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, backlog=512)
        self.addr = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        k, v = line.split(":", 1)
                        headers[k.strip().lower()] = v.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handle(method, url.path, query, headers,
                                           body)
                if answer is None:
                    await reader.read()  # until the caller gives up
                    break
                status, out = answer
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: "
                             b"application/msgpack\r\nContent-Length: %d"
                             b"\r\n\r\n" % (status, len(out)) + out)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    def close(self):
        """Refuses new connections and resets the open ones."""
        self.server.close()
        for w in list(self.writers):
            with contextlib.suppress(Exception):
                w.transport.abort()


async def call(addr, method, path, body=b"", headers=None, timeout=5.0):
    """Returns (status, body), or None without a whole answer."""
    async def talk():
        host, port = addr.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = "%s %s HTTP/1.1\r\nContent-Length: %d\r\n" % (
                method, path, len(body))
            for k, v in (headers or {}).items():
                head += "%s: %s\r\n" % (k, v)
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            m = re.search(r"(?i)content-length: *(\d+)", raw)
            n = int(m.group(1)) if m else 0
            return int(raw.split(" ", 2)[1]), await reader.readexactly(n)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None


# The record of a run

class Record:
    def __init__(self, folder):
        self.begun = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, *words):
        line = "%8.3f %s" % (self.now(), " ".join(str(w) for w in words))
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# The platform's store

class Store:
    """Topics of records with keys. lose(log_id, records), set by a case, says
    how an append loses its response: None for not at all, else the time in s
    after which it is executed."""

    APPEND_S = 0.004

    def __init__(self, record):
        self.record = record
        self.logs = collections.defaultdict(list)
        self.producers = {}
        self.changed = collections.defaultdict(asyncio.Condition)
        self.busy = collections.defaultdict(asyncio.Lock)
        self.lose = lambda log_id, records: None
        self.appends = 0
        self.lost = 0
        self.refused_bytes = collections.Counter()
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        log_id = (query.get("topic", ""), int(query.get("part", 0)))
        if path == "/api/log-append":
            return await self.append(log_id, query, body)
        if path == "/api/log-read":
            return await self.read(log_id, query)
        if path == "/api/log-newest":
            return self.newest(log_id, query)
        return 404, b""

    @staticmethod
    def records(body):
        at, out = 0, []
        while at < len(body):
            n = struct.unpack_from(">I", body, at)[0]
            rec = body[at + 4:at + 4 + n]
            at += 4 + n
            out.append((rec[1:1 + rec[0]].decode(), rec[1 + rec[0]:]))
        return out

    async def append(self, log_id, query, body):
        records = self.records(body)
        largest = max((len(k) + len(v) + 1 for k, v in records), default=0)
        self.appends += 1
        if len(body) > REQUEST_BYTES or largest > RECORD_BYTES:
            self.refused_bytes[log_id[0]] += 1
            if self.refused_bytes[log_id[0]] <= 5:
                self.record("store: append to", log_id[0], "rejected:",
                            len(body), "bytes in", len(records),
                            "records, largest", largest)
            return 413, pack({"reason": "size"})
        delay = self.lose(log_id, records)
        if delay is not None:
            self.lost += 1
            self.record("store: response to an append lost, executed %.1f s"
                        % delay, "later:", *[k for k, _ in records])
            asyncio.get_running_loop().call_later(
                delay, lambda: asyncio.ensure_future(
                    self.execute(log_id, query, records)))
            return None
        return await self.execute(log_id, query, records)

    async def execute(self, log_id, query, records):
        async with self.busy[log_id]:
            await asyncio.sleep(self.APPEND_S)
            log = self.logs[log_id]
            known = None
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                known = self.producers.setdefault(
                    (log_id, query["producer"]), [0, None, {}])
                if (epoch, seq) in known[2]:
                    return known[2][epoch, seq]
                if epoch < known[0]:
                    return 409, pack({"reason": "fenced"})
                if epoch == known[0] and seq != known[1] + 1:
                    return 409, pack({"reason": "seq", "seq": known[1] + 1})
            if "at" in query and int(query["at"]) != len(log):
                return 412, pack({"end": len(log)})
            first = len(log)
            log.extend(records)
            answer = 200, pack({"offset": first, "end": len(log)})
            if known is not None:
                if epoch > known[0]:
                    known[2].clear()
                known[0], known[1] = epoch, seq
                known[2][epoch, seq] = answer
            async with self.changed[log_id]:
                self.changed[log_id].notify_all()
            return answer

    async def put(self, topic, key, value):
        self.logs[topic, 0].append((key, value))
        async with self.changed[topic, 0]:
            self.changed[topic, 0].notify_all()

    async def read(self, log_id, query):
        start = int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        log = self.logs[log_id]
        while len(log) <= start and time.monotonic() < end:
            async with self.changed[log_id]:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed[log_id].wait(),
                                           end - time.monotonic())
        out = bytearray(struct.pack(">QQ", len(log), 0))
        most = int(query.get("maxKb", 1024)) * 1024
        for key, value in log[start:]:
            raw = key.encode()
            n = 1 + len(raw) + len(value)
            if len(out) > 16 and len(out) + n > most:
                break
            out += struct.pack(">IB", n, len(raw)) + raw + value
        return 200, bytes(out)

    def newest(self, log_id, query):
        after = query.get("dependsOn", "")
        newest = {}
        for i, (key, value) in enumerate(self.logs[log_id]):
            newest[key] = (i, value)
        items, size, more = [], 0, False
        for key, (i, value) in sorted(newest.items()):
            if not value or key <= after:
                continue
            size += len(value)
            if len(items) == 500 or (items and size > 1 << 20):
                more = True
                break
            items.append({"key": key, "offset": i,
                          "value": base64.b64encode(value).decode()})
        return 200, pack({"items": items, "hasMore": more,
                          "end": len(self.logs[log_id])})


# Workers

class Worker:
    """One life of a worker. The spec of a task, as JSON, says what it does:
    ms, how long it runs; fail, true if its runs end `failed`; gang, the number
    of members that must be present. Tasks whose spec has no ms last."""

    def __init__(self, world, wid, machine, kind="a", cpu=32000):
        self.world, self.id, self.machine, self.kind = (world, wid, machine,
                                                        kind)
        self.cpu, self.mem = cpu, 131072
        self.guards = True
        self.http = HttpServer(self.handle)
        self.up = False
        self.begin()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.steady = time.monotonic()
        self.running = {}   # task -> run
        self.ends = []
        self.n_ends = 0
        self.highest = collections.Counter()
        self.fence = 0
        self.lease = 0.0
        self.changed = asyncio.Condition()
        self.seq = 0

    def clock(self):
        return int((time.monotonic() - self.steady) * 1000) + 1000

    def entry(self):
        self.seq += 1
        return pack({
            "service": self.world.service, "addr": self.http.addr,
            "zone": "hobart-a", "version": "v1", "slots": 8,
            "state": "ready", "warmupLeftMs": 0, "seq": self.seq,
            "born": self.born, "machine": self.machine,
            "labels": [self.kind, "r1-1"], "clockMs": self.clock(),
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0}})

    async def start(self, port=0, register=True):
        await self.http.open(port)
        self.up = True
        if register:
            await self.register()
        self.tasks = [asyncio.ensure_future(self.beat()),
                      asyncio.ensure_future(self.expire())]

    async def register(self):
        await self.world.store.put("keyed.servers", self.id, self.entry())

    async def beat(self):
        while self.up:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                await self.register()

    async def expire(self):
        while self.up:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease:
                for task in list(self.running):
                    await self.end(task, "lapsed")

    def crash(self):
        """The process ends: all that runs there ends with it."""
        self.up = False
        for task, run in self.running.items():
            self.world.note("gone", self, task, run["n"])
        self.running = {}
        self.http.close()
        for t in self.tasks:
            t.cancel()

    async def handle(self, method, path, query, headers, body):
        if path == "/healthz":
            return 200, b""
        rq = unpack(body)
        if headers.get("expect-instance", self.id) != self.id:
            return 421, pack({"clockMs": self.clock()})
        hook = self.world.hook
        if hook is not None:
            answer = await hook(self, path, rq)
            if answer is not None:
                return answer
        return await self.obey(path, rq)

    async def obey(self, path, rq):
        fence = rq.get("fence", 0)
        if fence < self.fence:
            return self.say(409, reason="fence")
        self.fence = fence
        if rq.get("deadlineMs"):
            most = self.clock() + HOLD_MAX_S * 1000
            self.lease = max(self.lease, min(rq["deadlineMs"], most))
        if path == "/api/run-start":
            return await self.run_start(rq)
        if path == "/api/run-stop":
            return await self.run_stop(rq)
        if path == "/api/hold":
            return await self.hold(rq)
        return 400, b""

    def say(self, status, **fields):
        return status, pack({"clockMs": self.clock(), "born": self.born,
                             **fields})

    async def run_start(self, rq):
        task, n = rq["task"], rq["runId"]
        if task in self.running and self.running[task]["n"] == n:
            return self.say(200)
        if n <= self.highest[task]:
            return self.say(409, reason="old")
        if rq["deadlineMs"] < self.clock():
            return self.say(409, reason="late")
        need = self.world.need(task)
        used = [self.world.need(t) for t in self.running]
        if self.guards and (sum(u[0] for u in used) + need[0] > self.cpu or
                            sum(u[1] for u in used) + need[1] > self.mem):
            return self.say(409, reason="room")
        spec = json.loads(rq["spec"])
        self.running[task] = {"n": n, "spec": spec, "at": time.monotonic()}
        self.highest[task] = max(self.highest[task], n)
        self.world.note("start", self, task, n, fence=rq.get("fence", 0))
        if spec.get("gang"):
            self.world.gang_member(self, task, n, spec)
        elif "ms" in spec:
            asyncio.get_running_loop().call_later(
                spec["ms"] / 1000, lambda: asyncio.ensure_future(
                    self.end(task, "failed" if spec.get("fail") else "done",
                             n)))
        return self.say(200)

    async def end(self, task, how, n=None):
        run = self.running.get(task)
        if not self.up or run is None or (n is not None and run["n"] != n):
            return
        del self.running[task]
        self.n_ends += 1
        self.ends.append([self.n_ends, task, run["n"], how, ""])
        self.world.note(how, self, task, run["n"])
        async with self.changed:
            self.changed.notify_all()

    async def run_stop(self, rq):
        task, n = rq["task"], rq["runId"]
        self.highest[task] = max(self.highest[task], n)
        if task in self.running and self.running[task]["n"] <= n:
            await self.end(task, "stopped")
        return self.say(200)

    async def hold(self, rq):
        seen = rq.get("lastSeen", 0)
        for e in self.ends:
            if e[0] <= seen:
                self.world.seen(self, e)
        self.ends = [e for e in self.ends if e[0] > seen]
        end = time.monotonic() + rq.get("waitMs", 0) / 1000
        while not self.ends and time.monotonic() < end and self.up:
            async with self.changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(),
                                           max(end - time.monotonic(), 0))
        if not self.up:
            return None
        rows = [[t, r["n"], "",
                 100 if time.monotonic() - r["at"] > 0.3 else 50, 0]
                for t, r in self.running.items()]
        return self.say(200, running=rows, finished=self.ends[:500])


# The whole

class World:
    """Store, machines, workers of one service and entry daemons."""

    service = "parish"
    host = "desk.example"

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(folder)
        self.store = Store(self.record)
        self.cloud = HttpServer(self.machines)
        self.workers = {}
        self.hook = None
        self.quiet = False  # no line of the record for each run
        self.history = []   # (time, what, worker, task, run)
        self.noted = set()  # (task, run) of ends that are taken note of
        self.jobs = {}      # id -> steps
        self.gangs = collections.defaultdict(list)
        self.nodes = {}
        self.dir = tempfile.mkdtemp()

    def note(self, what, worker, task, n, fence=None):
        self.history.append((self.record.now(), what, worker.id, task, n))
        if not self.quiet:
            self.record("worker", worker.id, what, task, "run", n,
                        "" if fence is None else "fence %d" % fence)

    def seen(self, worker, end):
        self.noted.add((end[1], end[2]))
        if not self.quiet:
            self.record("worker", worker.id, "end taken note of:", end[1],
                        "run", end[2], end[3])

    def need(self, task):
        job, _, step, _ = task.split(".")
        s = self.jobs[job][int(step)]
        return s.get("cpu", 0), s.get("memMb", 0)

    def gang_member(self, worker, task, n, spec):
        key = (task.rsplit(".", 1)[0], n)
        members = self.gangs[key]
        members.append((worker, task))
        loop = asyncio.get_running_loop()
        if len(members) < spec["gang"]:
            def wait_over():
                if len(self.gangs[key]) < spec["gang"]:
                    asyncio.ensure_future(worker.end(task, "alone", n))
            loop.call_later(GANG_WAIT_S, wait_over)
            return

        def finish():
            for i, (w, t) in enumerate(members):
                how = ("failed" if i == 0 else "broken") \
                    if spec.get("fail") else "done"
                asyncio.ensure_future(w.end(t, how, n))
        loop.call_later(spec["ms"] / 1000, finish)

    async def machines(self, method, path, query, headers, body):
        if path != "/api/machines":
            return 409, pack({"reason": "busy"})
        return 200, pack({"machines": [
            {"machine": w.machine, "pool": self.service,
             "state": "up" if w.up else "down", "zone": "hobart-a",
             "labels": [w.kind, "r1-1"], "id": w.id if w.up else "",
             "capacity": {"cpu": w.cpu, "memMb": w.mem, "gpu": 0}}
            for w in self.workers.values()], "nextToken": None})

    async def open(self, workers=8, nodes=3, attempts=2, kinds=None):
        await self.store.http.open()
        await self.cloud.open()
        await self.store.put("keyed.op", "config", pack({
            "version": 7, "limits": {"maxBodyBytes": 262144},
            "routes": [{"name": "r-q", "host": self.host, "prefix": "/q/",
                        "kind": "mutating", "timeoutMs": 3000, "sloMs": 600,
                        "priority": 1, "service": self.service,
                        "attempts": attempts, "stretch": 1.6}],
            "services": [{"name": self.service, "healthPath": "/healthz",
                          "maxConns": 64, "proto": "h1", "tls": False,
                          "enforcesCapacity": True, "standby": False}]}))
        for i in range(workers):
            w = Worker(self, "i-%010x" % (0xe1cc19d000 + i), "m-%05x" % i,
                       kinds[i] if kinds else "a")
            self.workers[w.id] = w
            await w.start()
        for i in range(nodes):
            self.spawn("edge-hobart-a-%d" % (i + 1))
        for name in self.nodes:
            await self.ready(name)
        self.record("ready:", nodes, "entry hosts,", workers, "workers")

    def spawn(self, name):
        """Starts an entry daemon with the command of the deploy file and the
        settings of its template."""
        front, ready, metrics = free_ports(3)
        conf = pathlib.Path(self.dir) / (name + ".yaml")
        conf.write_text(
            'name: "%s"\ndata_centre: "hobart-a"\ncpu_share: 0.25\n'
            "memory_mb: 260\nmax_fds: 4100\n"
            'front: "127.0.0.1:%d"\nready: "127.0.0.1:%d"\n'
            'metrics: "127.0.0.1:%d"\nstore: "%s"\nstore_parts: 8\n'
            'hosts_api: "%s"\nmax_lease_ms: 10000\nlease_wait_ms: 3000\n'
            "maintenance_s: 2\nmove_s: 1.5\nshow_ended_s: 120\n" % (
                name, front, ready, metrics, self.store.http.addr,
                self.cloud.addr))
        log = open(pathlib.Path(self.dir) / (name + ".log"), "wb")
        proc = subprocess.Popen(
            ["target/gvschedd"], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"],
                 "GYPSUMVALVE_CONFIG": str(conf)})
        self.nodes[name] = {"proc": proc, "front": "127.0.0.1:%d" % front,
                            "ready": "127.0.0.1:%d" % ready}

    async def ready(self, name):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            a = await call(self.nodes[name]["ready"], "GET", "/api/readyz",
                           timeout=1)
            if a is not None and a[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(name + " is not ready")

    def front(self, i=0):
        return list(self.nodes.values())[i % len(self.nodes)]["front"]

    def headers(self):
        return {"Host": self.host, "Content-Type": "application/msgpack",
                "Deadline-Ms": "3000"}

    async def submit(self, job, steps, spec, node=0, quiet=False):
        self.jobs[job] = steps
        a = await call(self.front(node), "POST", "/q/" + job,
                       pack({"spec": json.dumps(spec), "steps": steps}),
                       self.headers())
        status = a[0] if a else None
        if not quiet:
            self.record("client: POST", job, "->", status)
        return status

    async def state(self, job, node=0, quiet=False):
        a = await call(self.front(node), "GET", "/q/" + job, b"",
                       self.headers())
        out = None if a is None else (
            unpack(a[1])["state"] if a[0] == 200 else a[0])
        if not quiet:
            self.record("client: GET", job, "->", out)
        return out

    async def cancel(self, job, node=0):
        a = await call(self.front(node), "DELETE", "/q/" + job, b"",
                       self.headers())
        self.record("client: DELETE", job, "->", a[0] if a else None)
        return a[0] if a else None

    async def wait(self, check, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if check():
                return True
            await asyncio.sleep(0.02)
        return False

    async def wait_state(self, job, states, seconds, node=0):
        end = time.monotonic() + seconds
        last = None
        while time.monotonic() < end:
            now = await self.state(job, node, quiet=True)
            if now != last:
                self.record("client: GET", job, "->", now)
                last = now
            if now in states:
                return now
            await asyncio.sleep(0.1)
        return last

    def starts(self, job):
        return [h for h in self.history
                if h[1] == "start" and h[3].startswith(job)]

    def log_lines(self, pattern):
        """Returns lines of the daemons' logs, for the record only."""
        out = []
        for name in self.nodes:
            text = (pathlib.Path(self.dir) / (name + ".log")).read_text(
                errors="replace")
            out += [l for l in text.splitlines() if re.search(pattern, l)]
        return out

    def kill(self, name):
        self.nodes[name]["proc"].send_signal(signal.SIGKILL)

    def close(self):
        for n in self.nodes.values():
            if n["proc"].poll() is None:
                n["proc"].kill()
            n["proc"].wait()
        if os.environ.get("KEEP"):
            print("logs in", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def main(case, folder, trouble):
    """Runs case(world), a coroutine that returns true if the rule held.
    Exits with 0 if it did, 1 if it was broken, 2 if the case could not
    run."""
    async def run():
        world = World(folder)
        world.record("trouble:", int(trouble))
        loop = asyncio.get_running_loop()
        for sig in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(sig, asyncio.current_task().cancel)
        try:
            held = await asyncio.wait_for(case(world), 112)
            world.record("the rule held" if held else "the rule was BROKEN")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as wrong:
            world.record("could not run:", repr(wrong))
            return 2
        finally:
            world.close()
    async def end():
        code = await run()
        sys.stdout.flush()
        os._exit(code)  # leaves the open connections to the kernel

    asyncio.run(end())
