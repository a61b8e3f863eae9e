"""Stand-in for the users' platform, for tests of the job scheduler: its
store, its targets and its list of hosts, served by threads of the test
process. A test sets faults through attributes (Store.mode, Store.refused,
Target.silent)."""
import base64
import collections
import http.server
import itertools
import math
import os
import socket
import socketserver
import struct
import threading
import time
import urllib.parse

from harness import free_addr, pack, unpack


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    max_open = None  # further connections are closed at once

    def __init__(self, *args):
        self.open = set()
        super().__init__(*args)

    def verify_request(self, request, client_address):
        return self.max_open is None or len(self.open) < self.max_open

    def process_request_thread(self, request, client_address):
        self.open.add(client_address)
        super().process_request_thread(request, client_address)
        self.open.discard(client_address)

    def handle_error(self, request, client_address):
        """Prints nothing: tests break connections on purpose."""


RESET = object()


def serve(handle):
    """Starts an HTTP server on a free port; returns it and its address. It
    answers by handle(method, path, query, headers, body), which returns
    (status, bytes), None to close the connection without a response, or RESET
    to reset it."""
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def respond(self):
            n = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(n)
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query,
                                                errors="surrogateescape"))
            answer = handle(self.command, url.path, query, self.headers, body)
            if answer is None or answer is RESET:
                self.close_connection = True
                if answer is RESET:
                    self.connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
                    os.close(self.connection.detach())
                return
            self.send_response(answer[0])
            self.send_header("Content-Length", str(len(answer[1])))
            self.end_headers()
            self.wfile.write(answer[1])

        do_GET = do_POST = do_DELETE = respond

        def log_message(self, *args):
            pass

    host, port = free_addr().split(":")
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, f"{host}:{port}"


def key_bytes(key):
    return key.encode(errors="surrogateescape")


class Store:
    """The platform's log; each record has a key. An append with a producer's
    epoch and sequence number takes effect once."""

    def __init__(self):
        self.lock = threading.Condition()
        self.parts = collections.defaultdict(list)  # (topic, part) -> records
        self.producers = {}  # (topic, part, producer) -> [epoch, seq, answers]
        # Reads of topics whose names end with this text get a 503.
        self.refused = ""
        self.read_s = 0  # time that a read takes beside its wait
        self.append_s = 0  # time that an append takes
        self.appending = 0  # appends in progress
        # up; busy: every request gets a 503; silent: nothing is done and the
        # connection is closed after 3 s; lost: appends take effect, but the
        # connection is closed without a response.
        self.mode = "up"
        self.page = 500  # items of a page of the newest records
        self.first = collections.Counter()  # (topic, part) -> first offset kept
        # How the newest records of the targets are listed: whole, repeat (each
        # page is the first one) or empty (pages have no items).
        self.target_pages = "whole"
        self.server, self.addr = serve(self.handle)

    def put(self, topic, key, value):
        with self.lock:
            self.parts[topic, 0].append((key, value))
            self.lock.notify_all()

    def drop_history(self, topic):
        """Deletes all records but the newest of each key, with one that no
        reader has seen."""
        with self.lock:
            self.parts[topic, 0].append(("dropped", b""))
            self.first[topic, 0] = len(self.parts[topic, 0])
            self.lock.notify_all()

    def handle(self, method, path, query, headers, body):
        if self.mode == "busy":
            return 503, b""
        if self.mode == "silent":
            time.sleep(3)
            return None
        log_id = (query.get("topic"), int(query.get("part", 0)))
        if path == "/api/log-append":
            answer = self.append(log_id, query, body)
            with self.lock:
                self.appending += 1
            time.sleep(self.append_s)
            with self.lock:
                self.appending -= 1
            # One that is in progress when the store goes down takes effect.
            return None if self.mode in ("lost", "busy") else answer
        if self.refused and log_id[0].endswith(self.refused):
            return 503, b""
        if path == "/api/log-read":
            time.sleep(self.read_s)
            return self.read(log_id, query)
        if path == "/api/log-newest":
            return self.newest(log_id, query)
        return 404, b""

    @staticmethod
    def records(body):
        """Yields (key, value) of each record in the body of an append."""
        at = 0
        while at < len(body):
            n = struct.unpack_from(">I", body, at)[0]
            record = body[at + 4:at + 4 + n]
            at += 4 + n
            yield (record[1:1 + record[0]].decode(errors="surrogateescape"),
                   record[1 + record[0]:])

    def append(self, log_id, query, body):
        with self.lock:
            log = self.parts[log_id]
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
            log.extend(self.records(body))
            answer = 200, pack({"offset": first, "end": len(log)})
            if known is not None:
                known[0], known[1] = epoch, seq
                known[2][epoch, seq] = answer
            self.lock.notify_all()
            return answer

    def read(self, log_id, query):
        start = int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.lock:
            while len(self.parts[log_id]) <= start:
                left = end - time.monotonic()
                if left <= 0 or not self.lock.wait(left):
                    break
            log = self.parts[log_id]
            if start < self.first[log_id]:
                return 410, pack({"first": self.first[log_id]})
            out = struct.pack(">QQ", len(log), self.first[log_id])
            most = int(query.get("maxKb", 1024)) * 1024
            for key, value in log[start:]:
                raw = key_bytes(key)
                record = bytes([len(raw)]) + raw + value
                if len(out) > 16 and len(out) + len(record) > most:
                    break
                out += struct.pack(">I", len(record)) + record
            return 200, out

    def newest(self, log_id, query):
        """Returns a page of the newest records of each key, without deleted
        ones."""
        after = key_bytes(query.get("dependsOn", ""))
        cut = self.target_pages if log_id[0] == "keyed.servers" else "whole"
        after = b"" if cut == "repeat" else after
        with self.lock:
            newest = {key_bytes(key): (i, value)
                      for i, (key, value) in enumerate(self.parts[log_id])}
            items = [{"key": key, "value": base64.b64encode(value).decode(),
                      "offset": i}
                     for key, (i, value) in sorted(newest.items())
                     if value and key > after]
            if cut == "empty":
                return 200, pack({"hasMore": True,
                                  "end": len(self.parts[log_id])})
            return 200, pack({"items": items[:self.page],
                              "hasMore": len(items) > self.page,
                              "end": len(self.parts[log_id])})


# A target that has shrunk may take starts for its former room for so long: the
# time of contact and one beat.
SHRUNK_S = 4.5


class Target:
    """One target. A task runs for run_s seconds. history gets a tuple (time in
    s, event, target, task, run id) for each start, end and acknowledged end;
    an end's event is done, stopped, lapsed (the lease expired) or gone (the
    target crashed). A task with the spec "deadly" crashes its target."""

    def __init__(self, name, run_s, history):
        self.name, self.run_s, self.history = name, run_s, history
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.running, self.ended = {}, []
        self.highest = collections.Counter()
        self.fence = self.ends = 0
        self.lease = 0.0
        self.silent = False
        self.checks_fence = True
        self.checks_room = True
        self.crashed = False
        self.on_crash = lambda: None
        self.rooms = [(0.0, 4000)]  # (time in s, cpu), oldest first
        self.over = []  # starts that exceeded the room
        # (path, fence) of the orders received, in their order.
        self.orders = []
        # Numbers of the ends that the scheduler had not acknowledged when the
        # lease expired; a later acknowledgement of them does not count.
        self.expired_ends = set()
        # wrap(target, path, do) answers an order in place of do(), which
        # carries it out and returns its answer.
        self.wrap = None
        self.server, self.addr = serve(self.receive)
        threading.Thread(target=self.work, daemon=True).start()

    @staticmethod
    def clock():
        """Returns the target's clock in ms; it is not the test's clock."""
        return int(time.monotonic() * 1000) + 7000

    def answer(self, status, **fields):
        return status, pack({"clockMs": self.clock(), "born": self.born,
                             **fields})

    def end(self, task, how):
        """Ends a running task as done, stopped or lapsed."""
        run, _ = self.running.pop(task)
        self.ends += 1
        self.ended.append([self.ends, task, run, how, ""])
        self.highest[task] = max(self.highest[task], run)
        self.history.append((time.monotonic(), how, self.name, task, run))
        self.lock.notify_all()

    def lose_runs(self):
        """Ends the target and everything that runs on it."""
        with self.lock:
            self.crashed = True
            for task, (run, _) in self.running.items():
                self.history.append((time.monotonic(), "gone", self.name,
                                     task, run))
            self.running = {}
            self.lock.notify_all()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def crash(self):
        """Loses all runs and connections."""
        self.lose_runs()
        self.on_crash()
        self.close()

    def resize(self, cpu):
        """Changes the target's room; its runs go on."""
        with self.lock:
            self.rooms.append((time.monotonic(), cpu))

    def count_room(self, task):
        """Notes a start that exceeds every room of the last SHRUNK_S seconds;
        every task needs 500."""
        since = time.monotonic() - SHRUNK_S
        largest = max([cpu for (at, cpu), after in zip(
            self.rooms, self.rooms[1:]) if after[0] > since]
            + [self.rooms[-1][1]])
        if 500 * len(self.running) > largest:
            self.over.append(f"{task} on {self.name}, over {largest}")

    def work(self):
        """Ends tasks whose run time is over or whose lease has expired."""
        while True:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                if self.clock() > self.lease:
                    self.expired_ends.update(e[0] for e in self.ended)
                for task, (_, until) in list(self.running.items()):
                    if self.clock() > self.lease:
                        self.end(task, "lapsed")
                    elif now >= until:
                        self.end(task, "done")

    def refuse(self, seconds):
        """Refuses new connections for some time; open ones go on."""
        listener = self.server.socket
        listener.shutdown(socket.SHUT_RDWR)
        threading.Timer(seconds, listener.listen, (16,)).start()

    def receive(self, method, path, query, headers, body):
        def do():
            return self.handle(method, path, query, headers, body)
        return do() if self.wrap is None else self.wrap(self, path, do)

    def handle(self, method, path, query, headers, body):
        if self.silent:
            time.sleep(3)
            return None
        if self.crashed:
            return None
        if headers.get("Expect-Instance") != self.name:
            return self.answer(421)
        rq = unpack(body)
        with self.lock:
            if self.crashed:
                return None
            self.orders.append((path, rq.get("fence", 0)))
            if self.checks_fence and rq.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = max(self.fence, rq.get("fence", 0))
            if rq.get("deadlineMs"):
                self.lease = max(self.lease, rq["deadlineMs"])
            if path == "/api/run-start":
                return self.start(rq)
            if path == "/api/run-stop":
                task = rq["task"]
                if task in self.running:
                    self.end(task, "stopped")
                self.highest[task] = max(self.highest[task], rq["runId"])
                return self.answer(200)
            return self.hold(rq)

    def start(self, rq):
        task, run = rq["task"], rq["runId"]
        if task in self.running and self.running[task][0] == run:
            return self.answer(200)
        if run <= self.highest[task]:
            return self.answer(409, reason="old")
        if self.checks_room and len(self.running) >= 4:
            return self.answer(409, reason="room")
        self.running[task] = (run, time.monotonic() + self.run_s)
        self.history.append((time.monotonic(), "start", self.name, task, run))
        self.count_room(task)
        if rq["spec"] == "deadly":
            threading.Timer(0.01, self.crash).start()
        return self.answer(200)

    def hold(self, rq):
        """Long poll: drops the ends that the request acknowledges and returns
        the others, waiting up to waitMs for one."""
        for number, task, run, _, _ in self.ended:
            if (number <= rq.get("lastSeen", 0)
                    and number not in self.expired_ends):
                self.history.append((time.monotonic(), "acknowledged",
                                     self.name, task, run))
        self.ended = [e for e in self.ended if e[0] > rq.get("lastSeen", 0)]
        end = time.monotonic() + rq.get("waitMs", 0) / 1000
        while not self.ended:
            left = end - time.monotonic()
            if left <= 0 or self.crashed or not self.lock.wait(left):
                break
        if self.crashed:
            return None
        return self.answer(
            200, finished=self.ended,
            running=[[t, r, "", 100] for t, (r, _) in self.running.items()])

    def entry(self, service, addr=None):
        """Returns the target's record in the list of hosts, packed. addr: of a
        relay in front of it."""
        return pack({"service": service, "addr": addr or self.addr, "zone": "a",
                     "version": "v1", "slots": 8, "warmupLeftMs": 0,
                     "state": "ready", "seq": 1, "born": self.born,
                     "machine": "m-" + self.name, "labels": ["a", "r1-1"],
                     "capacity": {"cpu": self.rooms[-1][1], "memMb": 4000,
                                  "gpu": 0}})


class HostApi:
    """The interface to the hosts of the targets. Maintenance or a crash
    replaces the target of a host by a new one after away_s seconds."""

    def __init__(self, store, targets, away_s=0.5):
        self.store, self.away_s = store, away_s
        self.lock = threading.Lock()
        self.targets = {"m-" + t.name: t for t in targets}
        self.states = {host: "up" for host in self.targets}
        self.done = set()  # (host, wave)
        self.maintained = []  # (host, fence), in the order of the calls
        self.odd_list = None  # body of all lists instead of the hosts
        self.lists = 0
        for host, target in self.targets.items():
            target.on_crash = lambda h=host: self.crash(h)
        self.server, self.addr = serve(self.handle)

    def handle(self, method, path, query, headers, body):
        with self.lock:
            if path == "/api/machines":
                self.lists += 1
                if self.odd_list is not None:
                    return 200, self.odd_list
                return 200, pack({"machines": [
                    {"machine": host, "pool": "s", "state": state,
                     "id": self.targets[host].name if state == "up" else "",
                     "capacity": {"cpu": 4000, "memMb": 4000, "gpu": 0}}
                    for host, state in self.states.items()]})
            if path != "/api/machine-upkeep":
                return 400, b""
            host = unpack(body)["machine"]
            wave = unpack(body)["wave"]
            if (host, wave) in self.done:
                return 200, b""  # it does nothing a second time
            if self.states[host] != "up":
                return 409, pack({"reason": "busy"})
            self.done.add((host, wave))
            self.maintained.append((host, int(headers["Fencing-Token"])))
            self.states[host] = "upkeep"
            self.store.put("keyed.servers", self.targets[host].name, b"")
            threading.Timer(self.away_s, self.finish, (host,)).start()
            return 200, b""

    def crash(self, host):
        """The target of a host has crashed."""
        with self.lock:
            self.states[host] = "down"
            threading.Timer(self.away_s, self.finish, (host,)).start()

    def finish(self, host):
        with self.lock:
            old = self.targets[host]
            old.silent = not old.crashed
            if old.crashed:
                self.store.put("keyed.servers", old.name, b"")
            new = Target(old.name + "n", old.run_s, old.history)
            new.checks_fence = old.checks_fence
            new.on_crash = lambda: self.crash(host)
            self.targets[host] = new
            self.states[host] = "up"
            entry = unpack(new.entry("s"))
            entry["machine"] = host
            self.store.put("keyed.servers", new.name, pack(entry))


class MachineApi(HostApi):
    """A host interface whose orders end everything on a host at once, and
    whose list of hosts may differ from the entries of the targets. Each live
    target writes its entry every BEAT_S. pools: pool of each host."""

    BEAT_S = 0.4

    def __init__(self, store, targets, pools, away_s):
        self.pools = pools
        self.list_lag_s = 0  # age of the hosts' states in a list
        self.on_list = lambda: None  # called before the response with a list
        self.former_ids = False  # only the targets' ids in a list are old
        self.hide_ids = False  # the list names no targets
        self.hide_entries = set()  # hosts whose targets have no entries
        # Time after which a crashed target is back under its identifier;
        # infinite: when the test calls finish(). None: another one follows.
        self.restart_s = None
        self.draining = set()  # hosts
        # (delay in s, whether the response is lost) of the next orders.
        self.faults = collections.deque()
        self.repeated = 0  # orders that had been carried out before
        self.made = itertools.count(len(targets))
        self.snapshots = []  # (time in s, {host: (state, pool, id)})
        super().__init__(store, targets, away_s)
        with self.lock:
            self.note()
        threading.Thread(target=self.beat, daemon=True).start()

    def note(self):
        """Remembers the present hosts for later lists."""
        self.snapshots.append((time.monotonic(), {
            host: (state, self.pools[host],
                   self.targets[host].name if state == "up" else "")
            for host, state in self.states.items()}))

    def put_entry(self, host):
        target = self.targets[host]
        entry = unpack(target.entry(self.pools[host]))
        entry["machine"] = host
        entry["state"] = "draining" if host in self.draining else "ready"
        self.store.put("keyed.servers", target.name, pack(entry))

    def beat(self):
        while True:
            time.sleep(self.BEAT_S)
            with self.lock:
                for host, target in self.targets.items():
                    if not target.crashed and host not in self.hide_entries:
                        self.put_entry(host)

    def list(self):
        until = time.monotonic() - self.list_lag_s
        hosts = dict(next((hosts for at, hosts in reversed(self.snapshots)
                           if at <= until), self.snapshots[0][1]))
        if self.former_ids:
            former = {}
            for at, then in self.snapshots:
                if at <= until:
                    former.update({h: t[2] for h, t in then.items() if t[2]})
            hosts = {host: (state, pool, former.get(host, name))
                     for host, (state, pool, name)
                     in self.snapshots[-1][1].items()}
        return 200, pack({"machines": [
            {"machine": host, "pool": pool, "state": state,
             "id": "" if self.hide_ids else name,
             "capacity": {"cpu": self.targets[host].rooms[-1][1],
                          "memMb": 4000, "gpu": 0}}
            for host, (state, pool, name) in hosts.items()]})

    def order(self, path, rq):
        """Carries out a move or maintenance."""
        host, pool = rq["machine"], rq.get("pool")
        if (pool == self.pools[host] if pool
                else (host, rq["wave"]) in self.done):
            self.repeated += 1
            return 200, b""
        if self.states[host] != "up":
            return 409, pack({"reason": "busy"})
        if pool:
            self.pools[host] = pool
        else:
            self.done.add((host, rq["wave"]))
        self.maintained.append((host, path))
        self.take_down(host, "moving" if pool else "upkeep")
        return 200, b""

    def take_down(self, host, state):
        """Ends the target of a host; a new one follows."""
        self.states[host] = state
        self.draining.discard(host)
        self.note()
        target = self.targets[host]
        target.lose_runs()
        threading.Thread(target=target.close, daemon=True).start()
        self.store.put("keyed.servers", target.name, b"")
        threading.Timer(self.away_s, self.finish, (host,)).start()

    def handle(self, method, path, query, headers, body):
        if path == "/api/machines":
            with self.lock:
                answer = self.list()
            self.on_list()
            return answer
        with self.lock:
            answer = self.order(path, unpack(body))
            delay_s, lost = (self.faults.popleft() if self.faults
                             else (0, False))
        time.sleep(delay_s)
        return None if lost else answer

    def crash(self, host):
        with self.lock:
            self.states[host] = "down"
            self.note()
        if self.restart_s != math.inf:
            threading.Timer(self.restart_s or self.away_s, self.finish,
                            (host,)).start()

    def drain(self, host, seconds):
        """The target of a host drains and leaves after so many seconds."""
        def leave():
            with self.lock:
                self.take_down(host, "down")
        with self.lock:
            self.draining.add(host)
            self.put_entry(host)
        threading.Timer(seconds, leave).start()

    def finish(self, host):
        with self.lock:
            old = self.targets[host]
            name = old.name if self.restart_s else f"i-{next(self.made)}"
            if name != old.name:
                self.store.put("keyed.servers", old.name, b"")
            new = type(old)(name, old.run_s, old.history)
            new.checks_fence, new.checks_room = (old.checks_fence,
                                                 old.checks_room)
            new.rooms = old.rooms[-1:]
            new.wrap = old.wrap
            new.server.max_open = old.server.max_open
            new.on_crash = lambda: self.crash(host)
            self.targets[host] = new
            self.states[host] = "up"
            self.note()
            self.put_entry(host)
