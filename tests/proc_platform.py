#!/usr/bin/env python3
"""Tests of the platform and target stand-ins as real processes. Guards against
faults that do not behave as the other tests assume when they set them."""
import sys
import threading
import time

import harness
from harness import call, pack, unpack


class Platform(harness.ProcessTest):
    def start(self, *args):
        self.addr = harness.free_addr()
        self.procs.spawn("platform", "standin-platform", "--listen",
                         self.addr, *args, addr=self.addr)

    def append(self, *records):
        return call(self.addr, "POST", "/log/append", pack(list(records)))

    def read(self, start=0, query=""):
        res = call(self.addr, "GET", f"/log/read?from={start}{query}")
        return unpack(res.body) if res and res.status == 200 else res

    def records(self, start=0):
        return [r[2] for r in self.read(start)[3]]

    def faults(self, query, status=200):
        """Sets faults; the response must have that status."""
        self.assertEqual(
            call(self.addr, "POST", f"/faults?{query}").status, status)

    def set_host(self, query):
        return call(self.addr, "POST", f"/hosts/set?{query}").status

    def hosts(self):
        return unpack(call(self.addr, "GET", "/hosts").body)

    def host_op(self, verb, host, fence):
        """Calls a host operation with a fencing token; returns the status."""
        return call(self.addr, "POST",
                    f"/hosts/{verb}?host={host}&fence={fence}").status


class Log(Platform):
    def test_append_and_read(self):
        """Guards against offsets with gaps and wrong limits of a read."""
        self.start()
        self.assertEqual(unpack(self.append(b"a", b"b").body), [0, 2])
        self.assertEqual(unpack(self.append(b"c").body), [2, 1])
        first, after, retention, items = self.read(1, "&max=1")
        self.assertEqual((first, after, retention), (0, 3, 0))
        self.assertEqual([(i[0], i[2]) for i in items], [(1, b"b")])
        self.assertEqual(self.read(9)[3], [])

    def test_long_poll(self):
        """Guards against reads that return early or miss an append."""
        self.start()
        begin = time.monotonic()
        self.assertEqual(self.read(0, "&wait_ms=300")[3], [])
        self.assertGreaterEqual(time.monotonic() - begin, 0.28)
        timer = threading.Timer(0.2, self.append, [b"late"])
        timer.start()
        begin = time.monotonic()
        items = self.read(0, "&wait_ms=8000")[3]
        self.assertLess(time.monotonic() - begin, 4)
        self.assertEqual(items[0][2], b"late")
        timer.join()

    def test_lost_append(self):
        """Guards against a lost response that also loses the append."""
        self.start()
        self.faults("lose_append=1")
        self.assertIsNone(self.append(b"x"))
        self.assertEqual(self.records(), [b"x"])
        self.assertEqual(unpack(self.append(b"y").body), [1, 1])

    def test_duplicated_append(self):
        """Guards against a duplicate that differs from the original."""
        self.start()
        self.faults("duplicate_append=1")
        self.assertEqual(unpack(self.append(b"x", b"y").body), [0, 2])
        self.append(b"z")
        self.assertEqual(self.records(), [b"x", b"y", b"x", b"y", b"z"])

    def test_retention_by_count(self):
        """Guards against offsets that change when old records are dropped."""
        self.start("--retention-records", 3)
        for i in range(5):
            self.append(b"%d" % i)
        first, after, _, items = self.read(2)
        self.assertEqual((first, after), (2, 5))
        self.assertEqual([i[2] for i in items], [b"2", b"3", b"4"])
        self.assertEqual(self.read(1)[0], 2)
        self.assertEqual(self.read(1)[3], [])

    def test_retention_by_time(self):
        """Guards against records that never expire when nothing is
        appended."""
        self.start("--retention-ms", 300)
        self.append(b"old")
        self.assertEqual(self.read()[2], 300)
        harness.wait_until(lambda: self.read()[0] == 1, 5, "record expires")
        self.append(b"new")
        self.assertEqual(self.records(1), [b"new"])

    def test_outages(self):
        """Guards against outages that a reset does not end, or that block the
        control address."""
        control = harness.free_addr()
        self.start("--control", control)
        self.faults("outage=503")
        self.assertEqual(self.append(b"x").status, 503)
        self.assertEqual(self.read().status, 503)
        self.faults("outage=refuse")
        self.assertIsNone(self.append(b"x"))
        with self.assertRaises(AssertionError):
            harness.wait_port(self.addr, 0.2)
        self.assertEqual(call(control, "POST", "/faults?reset=1").status, 200)
        harness.wait_port(self.addr)
        self.assertEqual(self.read()[3], [])
        self.faults("slow_ms=300")
        begin = time.monotonic()
        self.append(b"x")
        self.assertGreaterEqual(time.monotonic() - begin, 0.28)

    def test_bad_input(self):
        """Guards against bad input that changes the log or ends the
        process."""
        self.start()
        for body in (b"", b"\xc1", b"junk", pack([]), pack(["text"]),
                     pack([b""]), pack([[]]), pack([b"x"] * 65),
                     pack([b"x"]) + b"\0", pack([b"x"])[:-1]):
            res = call(self.addr, "POST", "/log/append", body)
            self.assertEqual(res.status, 400, body[:20])
        self.assertEqual(self.append(b"x" * (1 << 20) + b"x").status, 413)
        self.assertEqual(call(self.addr, "POST", "/log/append",
                              b"x" * (5 << 20)).status, 413)
        for query in ("", "?from=", "?from=-1", "?from=x", "?from=0&max=x",
                      "?from=0&wait_ms=60001", "?from=" + "9" * 30):
            res = call(self.addr, "GET", "/log/read" + query)
            self.assertEqual(res.status, 400, query)
        for query in ("nothing=1", "outage=x", "slow_ms=-1", "lose_append=",
                      "slow_ms=5&list_lag_ms=x"):
            self.faults(query, 400)
        self.assertEqual(call(self.addr, "GET", "/none").status, 404)
        self.assertEqual(call(self.addr, "GET", "/log/append").status, 405)
        begin = time.monotonic()
        self.assertEqual(self.read()[:2], [0, 0])
        self.assertLess(time.monotonic() - begin, 1)


HOST = "host=h1&dc=k1&rack=r1&pool=routing&slots=8&addr="


class Hosts(Platform):
    def start_target(self, *args):
        self.target = harness.free_addr()
        self.procs.spawn("target", "standin-target", "--target",
                         f"h1={self.target}", *args, addr=self.target)

    def test_versions_lag_and_repeat(self):
        """Guards against a list whose version does not match its content."""
        self.start()
        self.assertEqual(self.set_host(HOST + "127.0.0.1:1"), 200)
        version, hosts = self.hosts()
        self.assertEqual(hosts, [["h1", "k1", "r1", "127.0.0.1:1", 8,
                                  "routing", "live", "h1-0"]])
        self.assertEqual(self.hosts()[0], version)
        for known, status in ((version, 204), (version - 1, 200),
                              (version + 1, 200), ("x", 400)):
            res = call(self.addr, "GET", f"/hosts?known={known}")
            self.assertEqual(res.status, status)
        self.faults("list_lag_ms=1000")
        harness.wait_until(lambda: self.hosts() == [version, hosts], 10,
                           "the first list is old enough")
        self.set_host(HOST + "127.0.0.1:1&state=leaving")
        self.assertEqual(self.hosts(), [version, hosts])
        harness.wait_until(lambda: self.hosts()[1][0][6] == "leaving", 10,
                           "the lag passes")
        self.assertEqual(self.hosts()[0], version + 1)
        self.faults("reset=1&list_repeat=1")
        self.assertEqual(self.hosts(), [version, hosts])
        self.faults("reset=1")
        self.assertEqual(self.hosts()[0], version + 1)

    def test_fencing(self):
        """Guards against host operations with an older fencing token than the
        last one."""
        self.start()
        self.start_target()
        self.set_host(HOST + self.target)
        self.assertEqual(self.host_op("drain", "h1", 7), 200)
        self.assertEqual(self.hosts()[1][0][6], "leaving")
        self.assertIn("state=leaving", call(self.target, "GET",
                                            "/health").text)
        for verb in ("drain", "reboot", "ready"):
            self.assertEqual(self.host_op(verb, "h1", 6), 409)
        self.assertEqual(self.hosts()[1][0][6], "leaving")
        self.assertEqual(self.host_op("ready", "h1", 7), 200)
        self.assertEqual(self.hosts()[1][0][6], "live")

    def test_reboot(self):
        """Guards against a new boot identifier before the host is back, and
        against interrupted requests that look finished."""
        self.start()
        self.start_target("--reboot-ms", 500)
        self.set_host(HOST + self.target)
        boot = self.hosts()[1][0][7]
        self.assertIn(f"boot={boot} ", call(self.target, "GET",
                                            "/health").text)
        runner, answers = self.background(
            self.target, "POST", "/x?run_ms=9000", b"",
            {"Gv-Attempt-Id": "a1", "X-Tag": "t"})
        harness.wait_until(lambda: "start a1" in call(
            self.target, "GET", "/history").text, 5, "request starts")
        self.assertEqual(self.host_op("reboot", "h1", 1), 200)
        runner.join()
        self.assertEqual(answers, [None])
        self.assertEqual(self.hosts()[1][0][6:], ["leaving", boot])
        self.assertEqual(call(self.target, "GET", "/x").status, 503)
        harness.wait_until(lambda: self.hosts()[1][0][6] == "live", 10,
                           "host is back")
        self.assertNotEqual(self.hosts()[1][0][7], boot)
        history = call(self.target, "GET", "/history").text
        self.assertRegex(history,
                         r"^start a1 POST /x t \d+\ncut a1 \d+\n$")

    def test_unreachable_reboot(self):
        """Guards against success reported for a reboot of a host that can't be
        reached."""
        self.start()
        self.set_host(HOST + harness.free_addr())
        self.assertEqual(self.host_op("reboot", "h1", 1), 503)
        self.assertEqual(self.host_op("reboot", "h1", 1), 503)

    def test_bad_input(self):
        """Guards against hosts registered from bad parameters."""
        self.start()
        good = "host=h&dc=k&addr=127.0.0.1:1"
        for query in ("", "host=h", "host=a.b&dc=k&addr=1:1",
                      good + "&slots=x", good + "&slots=1025",
                      good + "&state=odd", good + "&pool=a%20b",
                      "host=h&dc=k&addr=none"):
            self.assertEqual(self.set_host(query), 400, query)
        self.assertEqual(self.hosts()[1], [])
        self.assertEqual(self.host_op("drain", "none", 1), 404)
        self.set_host(good)
        self.assertEqual(self.host_op("drain", "h", ""), 400)
        self.assertEqual(self.host_op("drain", "h", "x"), 400)


class Target(harness.ProcessTest):
    def start(self, *args):
        self.addr, self.other = (f"127.0.0.1:{p}"
                                 for p in harness.free_ports(2))
        self.procs.spawn("target", "standin-target", "--target",
                         f"a={self.addr}", "--target", f"b={self.other}",
                         *args, addr=self.addr)
        harness.wait_port(self.other)

    def run_once(self, query="", headers=None, timeout=5.0):
        return call(self.addr, "POST", "/x" + query, b"body", headers,
                    timeout)

    def fault(self, query):
        return call(self.other, "POST",
                    f"/control/fault?target=a&{query}").status

    def test_run(self):
        """Guards against responses that can't be matched to the attempt, and
        against wrong statuses."""
        self.start()
        res = self.run_once("?run_ms=20", {"Gv-Attempt-Id": "n.1"})
        self.assertEqual((res.status, res.text), (200, "ok body"))
        self.assertEqual(res.headers["Gv-Target"], "a")
        self.assertEqual(res.headers["Gv-Attempt-Id"], "n.1")
        res = self.run_once("?run_ms=5000", {"Gv-Deadline-Ms": "100"})
        self.assertEqual(res.status, 504)
        self.assertIsNone(res.headers["Gv-Not-Started"])
        for query, headers in (("?run_ms=x", {}), ("", {"X-Run-Ms": "-1"}),
                               ("", {"Gv-Deadline-Ms": "soon"})):
            self.assertEqual(self.run_once(query, headers).status, 400)

    def test_refusals(self):
        """Guards against a refused request that has started or starts
        later."""
        self.start("--slots", 1)
        busy = threading.Thread(target=self.run_once, args=["?run_ms=700"])
        busy.start()
        harness.wait_until(lambda: "running=1" in call(
            self.addr, "GET", "/health").text, 5, "request runs")
        full = self.run_once()
        busy.join()
        call(self.addr, "POST", "/control/leave")
        leaving = self.run_once("", {"Gv-Attempt-Id": "n.2"})
        self.assertEqual(leaving.headers["Gv-Attempt-Id"], "n.2")
        for res in (full, leaving):
            self.assertEqual(res.status, 503)
            self.assertEqual(res.headers["Gv-Not-Started"], "true")
        call(self.addr, "POST", "/control/live")
        self.assertEqual(self.run_once().status, 200)
        history = call(self.addr, "GET", "/history").text
        self.assertEqual(history.count("start "), 2)
        self.assertEqual(history.count("finish "), 2)

    def test_faults(self):
        """Guards against a fault that does not have the effect of its name."""
        self.start()
        self.assertEqual(self.fault("fail_all=1"), 200)
        self.assertEqual(self.run_once().status, 500)
        self.fault("reset=1&freeze=1")
        self.assertIsNone(self.run_once(timeout=0.5))
        self.fault("reset=1&refuse=1")
        with self.assertRaises(AssertionError):
            harness.wait_port(self.addr, 0.2)
        self.fault("reset=1&late_ms=400")
        begin = time.monotonic()
        self.assertEqual(self.run_once().status, 200)
        self.assertGreaterEqual(time.monotonic() - begin, 0.38)
        self.assertEqual(self.fault("reset=1&what=1"), 400)
        self.assertEqual(call(self.addr, "GET", "/control/leave").status, 405)

    def test_refuse(self):
        """Guards against connections that are still accepted just after the
        refuse fault is set."""
        self.start()
        for _ in range(100):
            self.fault("refuse=1")
            with self.assertRaises(AssertionError):
                harness.wait_port(self.addr, 0)
            self.fault("reset=1")

    def test_silent(self):
        """Guards against new connections that are also silent: only those open
        when the fault is set may be."""
        self.start()
        conn = harness.http.client.HTTPConnection(self.addr, timeout=0.5)
        conn.request("GET", "/health")
        conn.getresponse().read()
        self.fault("silent=1")
        conn.request("GET", "/health")
        with self.assertRaises(TimeoutError):
            conn.getresponse()
        conn.close()
        self.assertEqual(self.run_once().status, 200)


if __name__ == "__main__":
    harness.main("__main__", sys.argv)
