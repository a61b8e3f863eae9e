#!/usr/bin/env python3
"""Maintenance with real processes: hosts from the platform's list, a wave that
drains and reboots hosts and returns them to service, failure reports, moves
between pools, and removals."""
import sys
import time

import harness
from harness import call, wait_until
from proc_path import Path, POOL, SERVICE


class Maintain(Path):
    """Like Path, but the targets are in the platform's host list, and each
    pool must keep one host in service."""
    slots = 4
    services = ("routing",)

    def publish(self):
        for name, addr in self.targets.items():
            self.list_host(name, addr)
        docs = []
        for name in self.services:
            text = SERVICE.replace("min_hosts: 0", "min_hosts: 1")
            docs += [[f"{name}.yaml", text.replace("routing", name)],
                     [f"{name}-pool.yaml", POOL.replace("routing", name)]]
        self.append("settings", [0, docs])

    def list_host(self, name, addr, state="live", slots=4, pool="routing"):
        self.assertEqual(call(
            self.platform, "POST",
            f"/hosts/set?host={name}&dc=k1&rack=r-{name}"
            f"&addr={addr}&slots={slots}&pool={pool}&state={state}").status,
            200)

    def boots(self):
        """Returns host -> boot identifier, as e1 reports them."""
        return {t["host"]: t["boot"] for t in
                self.status(self.e1)["targets"]}

    def row(self, host):
        """Returns a target's row in the status of e1."""
        return next(t for t in self.status(self.e1)["targets"]
                    if t["host"] == host)

    def done(self, before, entry=None):
        """Returns true if every host has rebooted and is in service again.
        before: the earlier result of boots(); entry: e2 if not given."""
        return all(r["boot"] != before[r["host"]] and not r["closed"]
                   for r in self.status(entry or self.e2)["targets"])


class Waves(Maintain):
    def test_wave(self):
        """Guards against a wave that interrupts a run, makes requests fail,
        closes both hosts at once, or does not end."""
        before = self.boots()
        run, out = self.begin(2500, b"long")
        self.append("wave", ["w1", "routing", 2, 0])
        bad = []

        def finished():
            a = call(self.e2, "POST", "/svc/routing/b", b"")
            if a.status != 200:
                bad.append((a.status, a.text))
            rows = self.status(self.e1)["targets"]
            self.assertLessEqual(sum(r["closed"] for r in rows), 1)
            return self.done(before)
        wait_until(finished, 60, "both hosts have been maintained")
        run.join()
        self.assertEqual((out[0].status, out[0].text), (200, "ok long"))
        self.assertEqual(bad, [])
        cuts = [x for a in self.targets.values()
                for x in call(a, "GET", "/history").text.splitlines()
                if x.startswith("cut")]
        self.assertEqual(cuts, [])

    def test_takeover(self):
        """Guards against a wave that does not end because the holder of a
        claim was stopped."""
        before = self.boots()
        run, _ = self.begin(3000)
        self.append("wave", ["w1", "routing", 1, 0])
        holder = wait_until(lambda: [
            c["holder"] for c in self.status(self.e2)["claims"]], 20,
            "a claim is held")[0]
        self.assertEqual(self.procs.stop(holder), 0)
        run.join()
        rest = self.e2 if holder == "e1" else self.e1
        wait_until(lambda: self.done(before, rest), 60, "the wave ends")


class Moves(Maintain):
    services = ("routing", "spare")

    def test_move(self):
        """Guards against a host that is in two pools at once, or that never
        gets into its new one."""
        run, out = self.begin(1500, b"x")
        busy = next(t["host"] for t in self.status(self.e1)["targets"]
                    if t["busy"] == 1)
        self.append("claim", [busy, 1, "", "spare", "test", 1])
        wait_until(lambda: self.row(busy)["closed"], 5, "host is closed")
        self.assertEqual(self.row(busy)["pool"], "routing")
        self.assertEqual(out, [])
        run.join()
        wait_until(lambda: (self.row(busy)["pool"], self.row(busy)["closed"])
                   == ("spare", False), 10, "host has moved")
        a = call(self.e2, "POST", "/svc/spare/b", b"y")
        self.assertEqual((a.status, a.text), (200, "ok y"))


class Hosts(Maintain):
    def test_failed_and_up(self):
        """Guards against a failed host that stays in service or never
        returns."""
        t1 = self.targets["t1"]
        call(t1, "POST", "/control/fault?freeze=1")
        wait_until(lambda: self.row("t1")["closed"], 30, "t1 is failed")
        a = call(self.e1, "POST", "/svc/routing/a", b"")
        self.assertEqual(self.outcome(a), (200, "run"))
        call(t1, "POST", "/control/fault?reset=1")
        wait_until(lambda: not self.row("t1")["closed"], 30, "t1 is up")

    def test_gone(self):
        """Guards against a host or an entry host that stays in the status
        after the platform lists it as gone."""
        self.list_host("t2", self.targets["t2"], "gone")
        wait_until(lambda: [t["host"] for t in
                            self.status(self.e1)["targets"]] == ["t1"], 20,
                   "t2 is dropped")
        self.procs.kill("e2")
        self.list_host("e2", self.entries["e2"][1], "gone", 0, "")
        wait_until(lambda: [m["name"] for m in
                            self.status(self.e1)["members"]] == ["e1"], 20,
                   "e2 is removed")
        time.sleep(0.2)
        a = call(self.e1, "POST", "/svc/routing/a", b"")
        self.assertEqual(self.outcome(a), (200, "run"))


if __name__ == "__main__":
    harness.main(__name__, sys.argv)
