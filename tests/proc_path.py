#!/usr/bin/env python3
"""Requests end to end with real processes: two entry hosts, two targets and a
platform. Guards against wrong outcomes, responses to the wrong caller and work
that starts when it must not, at deadlines, full queues, cancels, failures of
targets, an outage of the platform, and starts and stops of an entry host."""
import json
import signal
import socket
import struct
import sys
import time

import harness
from harness import call, pack, unpack, wait_until
from relay import Relay

SERVICE = """kind: service
service: routing
pool: routing
availability: {objective_percent: 99.9, min_hosts: 0}
deadline: {default_ms: 3000, max_ms: 20000}
idempotent: {methods: [GET, PUT], paths: [/quote]}
run_time: {short_ms: 5000, long_share_percent: 100}
queue: {max_requests: 20}
retry: {percent: 100}
"""
POOL = "kind: pool\npool: routing\nmax_out: 1\n"
MAX_BODY = 1024 * 1024


def counters(addr):
    """Returns metric name without its prefix -> value."""
    lines = call(addr, "GET", "/metrics").text.splitlines()
    return {name.removeprefix("gypsumvalve_"): int(value)
            for name, value in (line.split() for line in lines
                                if not line.startswith("#"))}


class Path(harness.ProcessTest):
    """One data centre with two entry hosts and two targets of `slots` slots
    each."""
    slots = 2

    def setUp(self):
        super().setUp()
        self.sequence = 0
        self.platform = harness.free_addr()
        self.procs.spawn("platform", "standin-platform", "--listen",
                         self.platform, addr=self.platform)
        self.targets = {f"t{i}": harness.free_addr() for i in (1, 2)}
        self.procs.spawn(
            "targets", "standin-target", "--slots", self.slots,
            *(f"--target={n}={a}" for n, a in self.targets.items()),
            addr=self.targets["t2"])
        self.entries = {name: ("k1", harness.free_addr(), harness.free_addr())
                        for name in ("e1", "e2")}
        self.addCleanup(self.stop_entries)
        for name in self.entries:
            self.start_entry(name)
        self.publish()
        self.e1, self.e2 = (http for _, http, _ in self.entries.values())
        for http in (self.e1, self.e2):
            wait_until(lambda a=http: self.usable(a) == self.slots, 15,
                       f"{http} has its share of the slots")

    def stop_entries(self):
        """Stops the entry hosts. This comes before the platform is stopped, so
        that they can append `leave`."""
        for name in self.entries:
            if name in self.procs.procs:
                self.assertEqual(self.procs.stop(name), 0)

    def start_entry(self, name):
        path = f"{self.procs.dir.name}/{name}.yaml"
        harness.write_node(path, name, self.entries, self.platform, 8)
        self.procs.spawn(name, "gventryd", "--config", path,
                         addr=self.entries[name][1])

    def append(self, kind, payload):
        """Appends a record to the log."""
        self.sequence += 1
        now = int(time.time() * 1000)
        record = pack([1, kind, "test", 1, self.sequence, now, now + 60000,
                       payload])
        self.assertEqual(call(self.platform, "POST", "/log/append",
                              pack([record])).status, 200)

    def publish(self):
        """Appends the settings and the targets to the log."""
        self.append("settings", [0, [["s.yaml", SERVICE], ["p.yaml", POOL]]])
        for name, addr in self.targets.items():
            self.append("host", [name, "k1", f"r-{name}", addr, self.slots,
                                 "routing", f"{name}-0", 0])

    def status(self, addr):
        return json.loads(call(addr, "GET", "/v1/status").text)

    def usable(self, addr):
        """Returns the number of slots that an entry host may use, 0 before it
        has joined and has settings."""
        status = self.status(addr)
        return sum(t["usable"] for t in status["targets"]) \
            if status["joined"] and status["services"] else 0

    def runs(self):
        """Returns the lines of all targets' histories for starts of runs."""
        return [line for addr in self.targets.values()
                for line in call(addr, "GET", "/history").text.splitlines()
                if line.startswith("start")]

    def fault(self, query):
        """Sets faults of all targets."""
        for addr in self.targets.values():
            self.assertEqual(call(addr, "POST",
                                  f"/control/fault?{query}").status, 200)

    def outcome(self, answer):
        return answer.status, answer.headers["Gv-Outcome"]

    def begin(self, run_ms, body=b""):
        """Sends a request through e1 that runs for run_ms and waits until it
        has started; returns the result of background()."""
        made = self.background(
            self.e1, "POST", f"/svc/routing/a?run_ms={run_ms}", body,
            {"Gv-Deadline-Ms": "10000"})
        wait_until(self.runs, 5, "request has started")
        return made

    def fill(self, addr, run_ms=1500):
        """Occupies every slot of the entry host by runs of run_ms; returns the
        results of background()."""
        before = len(self.runs())
        calls = [self.background(addr, "POST",
                                 f"/svc/routing/f?run_ms={run_ms}")
                 for _ in range(self.slots)]
        wait_until(lambda: len(self.runs()) == before + self.slots, 5,
                   "slots are taken")
        return calls

    def fill_all(self):
        self.fill(self.e1)
        self.fill(self.e2)


class Answers(Path):
    def test_own_answers(self):
        """Guards against responses that get to another caller."""
        errors = []

        def caller(own):
            addr, n = own
            for i in range(20):
                body = f"{n}-{i}"
                a = call(addr, "POST", "/svc/routing/a?run_ms=3", body)
                if a and self.outcome(a) == (503, "not-run"):
                    continue
                if not a or self.outcome(a) != (200, "run") or \
                        a.text != f"ok {body}":
                    errors.append((body, a and (a.status, a.text)))
        harness.run_threads(caller, [(a, f"{a}{n}") for n in range(4)
                                     for a in (self.e1, self.e2)])
        self.assertEqual(errors, [])
        self.assertGreater(len(self.runs()), 80)

    def test_refusals(self):
        """Guards against an invalid request that gets to a target, and against
        a body above the limit without a 413."""
        cases = [("/svc/nothing/a", {}, b"", 404),
                 ("/svc/bad%20name/a", {}, b"", 400),
                 ("/svc/routing/a", {"Gv-Deadline-Ms": "x"}, b"", 400),
                 ("/svc/routing/a", {"Gv-Class": "slow"}, b"", 400),
                 ("/svc/routing/a", {}, b"x" * (MAX_BODY + 1), 413),
                 ("/nothing", {}, b"", 404)]
        for path, headers, body, status in cases:
            a = call(self.e1, "POST", path, body, headers)
            self.assertEqual(self.outcome(a), (status, "not-run"), path)
            self.assertTrue(a.text.strip(), path)
        self.assertEqual(self.runs(), [])
        a = call(self.e1, "POST", "/svc/routing/a", b"x" * MAX_BODY)
        self.assertEqual(a.status, 502)  # the response is 3 bytes too large
        a = call(self.e1, "POST", "/svc/routing/a", b"x" * (MAX_BODY - 3))
        self.assertEqual(self.outcome(a), (200, "run"))

    def test_metrics(self):
        """Guards against counters that do not match the requests."""
        call(self.e1, "GET", "/svc/routing/a")
        got = counters(self.e1)
        self.assertEqual(got["requests_received_total"], 1)
        self.assertEqual(got["requests_run_total"], 1)
        self.assertEqual(got["requests_in_progress"], 0)
        burn = json.loads(call(self.e1, "GET", "/v1/burn").text)
        self.assertEqual(burn["services"][0]["windows"][0]["good"], 1)


class Deadlines(Path):
    def test_deadline_while_running(self):
        """Guards against a response after the deadline, and against not-run
        for a request that an unresponsive target may have run."""
        self.fault("freeze=1")
        begin = time.monotonic()
        a = call(self.e1, "POST", "/svc/routing/a", b"",
                 {"Gv-Deadline-Ms": "500"})
        took = time.monotonic() - begin
        self.assertEqual(self.outcome(a), (504, "unknown"))
        self.assertTrue(0.45 < took < 0.9, took)
        busy = sum(t["busy"] for t in self.status(self.e1)["targets"])
        self.assertEqual(busy, 1)  # abandoned, but still in progress
        self.fault("reset=1")
        wait_until(lambda: sum(
            t["busy"] for t in self.status(self.e1)["targets"]) == 0, 5,
            "the abandoned exchange ends")

    def test_deadline_while_queued(self):
        """Guards against a queued request that ends as unknown or runs after
        its deadline."""
        self.fill_all()
        before = len(self.runs())
        a = call(self.e1, "POST", "/svc/routing/late", b"",
                 {"Gv-Deadline-Ms": "300"})
        self.assertEqual(a.headers["Gv-Outcome"], "not-run")
        time.sleep(1.5)
        self.assertEqual(len(self.runs()), before)

    def test_full_queue(self):
        """Guards against a queue without a limit, and against a refusal due to
        load without Retry-After."""
        self.fill_all()
        calls = [self.background(self.e1, "POST", "/svc/routing/q", b"",
                                 {"Gv-Deadline-Ms": "15000"})
                 for _ in range(30)]
        for thread, _ in calls:
            thread.join()
        got = [self.outcome(out[0]) for _, out in calls]
        refused = [out[0] for _, out in calls
                   if self.outcome(out[0]) == (503, "not-run")]
        self.assertEqual(len(refused) + got.count((200, "run")), 30, got)
        self.assertGreaterEqual(len(refused), 10)
        for a in refused:
            self.assertGreaterEqual(int(a.headers["Retry-After"]), 1)


class Cancels(Path):
    def test_cancel_queued_and_running(self):
        """Guards against a cancelled request that still starts, and against
        not-run for one that has started."""
        calls = self.fill(self.e1, 2000)
        self.fill(self.e2, 2000)
        ids = {r["id"]: r for r in self.status(self.e1)["requests"]}
        _, out = self.background(self.e1, "POST", "/svc/routing/c", b"")
        queued = wait_until(
            lambda: [r for r in self.status(self.e1)["requests"]
                     if r["id"] not in ids], 5, "request is queued")[0]["id"]
        for rid, want in ((queued, "not-run"), (next(iter(ids)), "unknown")):
            a = call(self.e1, "DELETE", f"/v1/requests/{rid}")
            self.assertEqual(a.status, 200)
            self.assertEqual(
                call(self.e1, "DELETE", f"/v1/requests/{rid}").status, 404)
            if want == "not-run":
                wait_until(lambda: out, 2, "queued request has ended")
                self.assertEqual(out[0].headers["Gv-Outcome"], want)
        wait_until(lambda: [o for _, o in calls if o], 2, "a run has ended")
        ended = [o[0].headers["Gv-Outcome"] for _, o in calls if o]
        self.assertIn("unknown", ended)
        time.sleep(2)
        self.assertFalse([r for r in self.runs() if " /c" in r])

    def test_cancel_ticket_queued(self):
        """Guards against a ticket that is cancelled in the queue, by the id of
        the submission or of its run, and then gets unknown or runs later."""
        self.fill(self.e1, 2500)
        self.fill(self.e2, 2500)

        def ids():
            return {r["id"] for r in self.status(self.e1)["requests"]}
        for i in range(2):
            known = ids()
            ticket = call(self.e1, "POST", "/v1/tickets").text.strip()
            args = ("POST", "/svc/routing/c", b"", {"Gv-Ticket": ticket})
            thread, out = self.background(self.e1, *args)
            wait_until(lambda k=known: len(ids() - k) == 2, 5,
                       "the run is queued")
            rid = sorted(ids() - known)[i]
            call(self.e1, "DELETE", f"/v1/requests/{rid}")
            thread.join()
            repeats = [call(addr, *args) for addr in (self.e1, self.e2)]
            self.assertEqual([self.outcome(a) for a in out + repeats],
                             [(409, "not-run")] * 3)

    def test_caller_gone_while_queued(self):
        """Guards against a queued request that starts after its caller has
        closed the connection."""
        self.fill_all()
        host, port = self.e1.split(":")
        with socket.create_connection((host, int(port))) as s:
            s.sendall(b"POST /svc/routing/gone HTTP/1.1\r\nHost: x\r\n"
                      b"Content-Length: 0\r\n\r\n")
            wait_until(lambda: self.status(self.e1)["in_progress"] ==
                       self.slots + 1, 5, "request is queued")
        wait_until(lambda: counters(self.e1)["callers_left_total"] == 1, 2,
                   "the caller's absence is noticed")
        time.sleep(1.6)
        self.assertFalse([r for r in self.runs() if " /gone" in r])


class Failures(Path):
    def test_target_full(self):
        """Guards against passing a target's refusal before the start on to the
        caller while another target has a free slot."""
        t1 = self.targets["t1"]
        for _ in range(self.slots):
            self.background(t1, "POST", "/direct?run_ms=1500")
        wait_until(lambda: len(self.runs()) == self.slots, 5, "t1 is full")
        for i in range(10):
            a = call(self.e1, "POST", "/svc/routing/a", f"{i}")
            self.assertEqual(self.outcome(a), (200, "run"), a.text)

    def test_failing_target(self):
        """Guards against a second run of a non-idempotent request, and
        against a missing retry of an idempotent one."""
        t1 = self.targets["t1"]
        call(t1, "POST", "/control/fault?fail_all=1")
        got = set()
        for _ in range(10):
            a = call(self.e1, "GET", "/svc/routing/a")
            self.assertEqual(self.outcome(a), (200, "run"))
            before = len(self.runs())
            a = call(self.e1, "POST", "/svc/routing/a", b"")
            self.assertEqual(len(self.runs()), before + 1)
            got.add(self.outcome(a))
            a = call(self.e1, "POST", "/svc/routing/quote", b"")
            self.assertEqual(self.outcome(a), (200, "run"))
        self.assertLessEqual(got, {(200, "run"), (500, "run")})
        self.assertGreater(counters(self.e1)["retries_total"], 0)

    def test_cut_after_start(self):
        """Guards against a run that is interrupted after its start and then
        reported as not-run or repeated."""
        cut, out = self.begin(1000)
        for addr in self.targets.values():
            call(addr, "POST", "/control/reboot")
        cut.join()
        self.assertEqual(out[0].headers["Gv-Outcome"], "unknown")
        self.assertEqual(len(self.runs()), 1)

    def test_silent_connection(self):
        """Guards against an idempotent request that waits on a silent
        connection until its deadline although its target responds on new
        connections."""
        for addr in self.targets.values():
            call(addr, "GET", "/svc/warm")
        call(self.e1, "GET", "/svc/routing/a")
        self.fault("silent=1")
        begin = time.monotonic()
        a = call(self.e1, "GET", "/svc/routing/a", None,
                 {"Gv-Deadline-Ms": "12000"}, timeout=15)
        self.assertEqual(self.outcome(a), (200, "run"))
        self.assertLess(time.monotonic() - begin, 6)


class WrongAnswers(Path):
    def edit_answers(self, edit):
        """Puts relays that edit responses between entry hosts and targets."""
        addrs = set()
        for name, addr in self.targets.items():
            relay = Relay(addr, edit=edit)
            self.addCleanup(relay.stop)
            addrs.add(relay.addr)
            self.append("host", [name, "k1", f"r-{name}", relay.addr,
                                 self.slots, "routing", f"{name}-0", 0])
        wait_until(lambda: addrs == {t["addr"] for t in
                                     self.status(self.e1)["targets"]}, 5,
                   "the new addresses are in force")

    def test_earlier_answer(self):
        """Guards against a target that repeats its response to an earlier
        request, so that the caller of a later one gets it."""
        first = []

        def repeat(data):
            if b"Gv-Attempt-Id" in data:
                first.append(data)
            return first[0] if b"Gv-Attempt-Id" in data else data
        self.edit_answers(repeat)
        a = call(self.e1, "POST", "/svc/routing/a", b"one")
        self.assertEqual((self.outcome(a), a.text), ((200, "run"), "ok one"))
        a = call(self.e1, "POST", "/svc/routing/a", b"two")
        self.assertNotIn("one", a.text)
        self.assertEqual(self.outcome(a), (502, "unknown"))
        self.assertEqual(counters(self.e1)["responses_mismatched_total"], 1)


class Outage(Path):
    def test_start_without_platform(self):
        """Guards against an entry host that sends to targets, or refuses
        work, when it starts while the log cannot be read."""
        call(self.platform, "POST", "/faults?outage=503")
        e3 = harness.free_addr()
        self.entries["e3"] = ("k1", e3, harness.free_addr())
        self.start_entry("e3")
        status = wait_until(lambda: [s for s in [self.status(e3)]
                                     if s["services"]], 10, "ledger of a peer")
        self.assertFalse(status[0]["joined"])
        a = wait_until(lambda: [a for a in [call(
            e3, "POST", "/svc/routing/a", b"x")] if a.status == 200], 10,
            "work is handed to a member")[0]
        self.assertEqual(a.text, "ok x")
        self.assertFalse([r for r in self.runs() if r.split()[1]
                          .startswith("e3-")])
        call(self.platform, "POST", "/faults?reset=1")
        wait_until(lambda: self.status(e3)["joined"], 20, "e3 joins")


class Starting(harness.ProcessTest):
    """An entry host that has no log and no peer's ledger yet. The test uses
    the protocol between entry hosts to connect to it as e2."""

    def frame(self, kind, number, body):
        """Sends a frame of that kind for exchange `number`."""
        data = pack([1, kind, number, 5000, body])
        self.peer.sendall(struct.pack(">I", len(data)) + data)

    def result(self):
        """Reads frames up to the next RESULT; returns its exchange number and
        its outcome."""
        while True:
            head = self.input.read(4)
            self.assertEqual(len(head), 4, "the link ended without a RESULT")
            size, = struct.unpack(">I", head)
            _, kind, number, _, body = unpack(self.input.read(size))
            if kind == 4:
                return number, body[0]

    def test_execute(self):
        """Guards against a request from another entry host that gets no result
        while this one is still starting."""
        entries = {"e1": ("k1", harness.free_addr(), harness.free_addr())}
        path = f"{self.procs.dir.name}/e1.yaml"
        harness.write_node(path, "e1", entries, harness.free_addr(), 2)
        self.procs.spawn("e1", "gventryd", "--config", path,
                         addr=entries["e1"][2])
        host, port = entries["e1"][2].split(":")
        self.peer = socket.create_connection((host, int(port)), 8)
        self.addCleanup(self.peer.close)
        self.input = self.peer.makefile("rb")
        self.addCleanup(self.input.close)
        self.frame(1, 0, ["e2", "k1", "r1", 7])
        # A ticket may have run in an earlier incarnation.
        for number, ticket, outcome in ((8, "", 0), (9, "e1.1.1.1", 2)):
            self.frame(3, number, ["routing", "POST", "/a", "", "", "", False,
                                   ticket != "", ticket, "", b""])
            self.assertEqual(self.result(), (number, outcome))


class Stops(Path):
    def test_graceful_stop(self):
        """Guards against a planned stop that interrupts a run, accepts new
        work, or ends without appending `leave`."""
        # Longer than a stop waits for responses that are being sent.
        run, out = self.begin(3500, b"body")
        self.procs.signal("e1", signal.SIGTERM)
        wait_until(lambda: call(self.e1, "GET", "/healthz").status == 503, 2,
                   "health turns 503")
        a = call(self.e1, "POST", "/svc/routing/new", b"")
        self.assertEqual(self.outcome(a), (503, "not-run"))
        run.join()
        self.assertTrue(harness.is_ok(out[0]), "the run was cut off")
        self.assertEqual(out[0].text, "ok body")
        self.assertEqual(self.procs.stop("e1"), 0)
        wait_until(lambda: [m["name"] for m in
                            self.status(self.e2)["members"]] == ["e2"], 5,
                   "leave is applied")
        self.assertEqual(self.usable(self.e2), 2 * self.slots)

    def test_reload(self):
        """Guards against an invalid configuration file that ends the daemon or
        replaces the configuration in use at a reload."""
        path = f"{self.procs.dir.name}/e1.yaml"
        with open(path, encoding="utf-8") as f:
            good = f.read()
        for text in ("name: [", good.replace("data_centre: k1", "", 1),
                     good.replace("name: e1", "name: e9")):
            with open(path, "w", encoding="utf-8") as f:
                f.write(text)
            self.procs.signal("e1", signal.SIGHUP)
            time.sleep(0.3)
            self.assertEqual(self.status(self.e1)["name"], "e1")
        a = call(self.e1, "GET", "/svc/routing/a")
        self.assertEqual(self.outcome(a), (200, "run"))


if __name__ == "__main__":
    harness.main(__name__, sys.argv)
