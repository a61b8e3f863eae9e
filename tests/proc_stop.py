#!/usr/bin/env python3
"""Planned stops of an entry host while the platform, a peer or the targets do
not respond. Guards against a stop that takes longer than GV_STOP_MS after the
last request, or that ends with an exit status other than 0."""
import signal
import socket
import sys
import threading
import time

import harness
from harness import call, wait_until
from proc_path import MAX_BODY, Path

STOP_S = harness.limit_s("GV_STOP_MS")


class Stops(Path):
    def freeze(self, name):
        """Pauses a process: its connections stay open and become silent."""
        self.procs.signal(name, signal.SIGSTOP)
        self.addCleanup(self.procs.signal, name, signal.SIGCONT)

    def stop_in_time(self, name):
        """Stops a process; fails if this takes longer than STOP_S."""
        begin = time.monotonic()
        self.assertEqual(self.procs.stop(name, STOP_S), 0)
        print(f"stopped in {time.monotonic() - begin:.1f} s")

    def test_platform_silent(self):
        """Guards against a stop that waits for the platform calls of the
        threads one after another while the platform is silent, or that
        interrupts a run meanwhile."""
        run, out = self.background(self.e1, "POST",
                                   "/svc/routing/a?run_ms=1000", b"x")
        wait_until(self.runs, 5, "request has started")
        self.freeze("platform")
        self.procs.signal("e1", signal.SIGTERM)
        run.join()
        self.assertEqual((out[0].status, out[0].text), (200, "ok x"))
        self.stop_in_time("e1")

    def test_platform_gone(self):
        """Guards against a stop that waits for its `leave`, which can't be
        appended without the platform."""
        self.procs.kill("platform")
        self.stop_in_time("e1")
        self.stop_in_time("e2")

    def test_peer_silent(self):
        """Guards against a stop that waits for a peer's result beyond the
        caller's deadline."""
        ticket = call(self.e2, "POST", "/v1/tickets").text.strip()
        self.freeze("e2")
        run, out = self.background(self.e1, "POST", "/svc/routing/a", b"x", {
            "Gv-Ticket": ticket, "Gv-Deadline-Ms": "2000"})
        wait_until(lambda: self.status(self.e1)["in_progress"] == 1, 5,
                   "request is at the peer")
        self.procs.signal("e1", signal.SIGTERM)
        run.join()
        self.assertEqual(out[0].headers["Gv-Outcome"], "unknown")
        self.stop_in_time("e1")

    def stall_targets(self):
        """Moves all targets to an address that accepts connections and reads
        only their first bytes. Returns a list to which the bytes of each
        connection are appended."""
        server = socket.create_server(("127.0.0.1", 0))
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        # With the segment size of loopback the kernel would buffer a whole
        # body.
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.addCleanup(server.close)
        seen = []

        def accept():
            while True:
                try:
                    conn = server.accept()[0]
                except OSError:
                    return
                self.addCleanup(conn.close)
                seen.append(conn.recv(9))
        threading.Thread(target=accept, daemon=True).start()
        addr = f"127.0.0.1:{server.getsockname()[1]}"
        for name in self.targets:
            self.append("host", [name, "k1", f"r-{name}", addr, self.slots,
                                 "routing", f"{name}-0", 0])
        wait_until(lambda: seen, 10, "the new address is probed")
        return seen

    def test_target_unread(self):
        """Guards against a stop that waits for a write to a target that never
        reads, and against not-run for such a request."""
        seen = self.stall_targets()
        run, out = self.background(
            self.e1, "POST", "/svc/routing/a", b"x" * MAX_BODY,
            {"Gv-Deadline-Ms": "2000"})
        wait_until(lambda: b"POST /a H" in seen, 5, "request is at the target")
        self.procs.signal("e1", signal.SIGTERM)
        run.join()
        self.assertEqual(self.outcome(out[0]), (504, "unknown"))
        self.stop_in_time("e1")

    def test_all_silent(self):
        """Guards against a stop that waits for a log reader which, without the
        platform, reads from a silent peer."""
        self.freeze("platform")
        self.freeze("e2")
        wait_until(lambda: "platform_ok" not in self.status(self.e1) or
                   not self.status(self.e1)["platform_ok"], 15,
                   "the platform's silence is noticed")
        self.stop_in_time("e1")


if __name__ == "__main__":
    harness.main(__name__, sys.argv)
