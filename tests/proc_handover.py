#!/usr/bin/env python3
"""Hand-overs of leadership between real processes, in front of targets and a
host interface that do not check fences. Guards against orders of a former
leader that arrive after those of the next one: when it was paused, when the
store turned only it away, when the network held its orders up, and at a
planned stop."""
import signal
import sys
import time

from harness import pack, unpack, wait_until
from jobs_platform import HostApi
from proc_jobs import Fleet, all_done, run_scenarios
from relay import HoldingRelay, Relay

WAVE_HOSTS = 3


class UnfencedFleet(Fleet):
    """A fleet with a relay between each daemon and the store, and one between
    the daemons and each target."""

    def __init__(self, build):
        self.relays = {}
        self.entries = {}
        super().__init__(build, targets=WAVE_HOSTS)

    def store_addr(self, name):
        if not self.more_conf:
            self.api = HostApi(self.store, self.targets)
            self.more_conf = f"hosts_api: {self.api.addr}\n"
            for target in self.targets:
                target.checks_fence = False
                relay = HoldingRelay(target.addr)
                self.entries[target.name] = relay
                self.store.put("keyed.servers", target.name,
                               target.entry("s", relay.addr))
        return self.relays.setdefault(name, Relay(self.store.addr)).addr

    def other(self, name):
        return next(n for n in self.fronts if n != name)

    def await_other_leader(self, old):
        wait_until(lambda: self.leader() not in (old, None), 15,
                   "another leader")

    def check_order(self):
        """Fails if a target got a start or a stop with a lower fence after one
        with a higher fence, or its host did."""
        for target in list(self.api.targets.values()) + self.targets:
            highest = 0
            for path, fence in target.orders:
                if path == "/api/hold":
                    continue
                assert fence >= highest, \
                    f"{target.name} {path} fence {fence} after {highest}"
                highest = fence
        highest = {}
        for host, fence in self.api.maintained:
            assert fence >= highest.get(host, 0), f"{host} fence {fence}"
            highest[host] = fence


def keep_submitting(fleet, through, first, seconds):
    """Submits a job each 50 ms through a daemon. Returns the accepted ones."""
    jobs, end = [], time.monotonic() + seconds
    while time.monotonic() < end:
        job, status = fleet.submit(through, first + len(jobs), count=1,
                                   steps=1)
        if status == 200:
            jobs.append(job)
        time.sleep(0.05)
    return jobs


def paused_leader(fleet):
    """A leader that was paused acts on what it had received before."""
    jobs = []
    for n in range(4):
        old = wait_until(fleet.leader, 10, "a leader")
        through = fleet.other(old)
        jobs += keep_submitting(fleet, through, 0x1000 * (n + 1), 0.5)
        fleet.procs.signal(old, signal.SIGSTOP)
        jobs += keep_submitting(fleet, through, 0x1800 * (n + 1), 0.5)
        fleet.await_other_leader(old)
        time.sleep(0.3)
        fleet.procs.signal(old, signal.SIGCONT)
        time.sleep(0.5)
    all_done(fleet, "host-0", jobs, 30)
    fleet.check_order()


def refused_leader(fleet):
    """A leader goes on after the store has turned only it away."""
    old = wait_until(fleet.leader, 10, "a leader")
    through = fleet.other(old)
    jobs = keep_submitting(fleet, through, 0x10000, 0.5)
    fleet.relays[old].cut = True
    jobs += keep_submitting(fleet, through, 0x11000, 5)
    fleet.await_other_leader(old)
    fleet.relays[old].cut = False
    all_done(fleet, through, jobs, 30)
    fleet.check_order()


def held_orders(fleet):
    """Orders that the network has held up arrive after their leader was
    replaced: one that gave up on them, and one that was killed."""
    for kill in (False, True):
        old = wait_until(fleet.leader, 10, "a leader")
        through = fleet.other(old)
        relay = fleet.entries[fleet.targets[0].name]
        relay.held = True
        jobs = keep_submitting(fleet, through, 0x20000 + 0x1000 * kill, 1)
        if kill:
            fleet.procs.kill(old)
        else:
            fleet.relays[old].cut = True
        fleet.await_other_leader(old)
        time.sleep(3)
        relay.held = False
        time.sleep(0.5)
        late = [d[:60] for d in relay.late]
        assert not late, f"delivered after the connection ended: {late}"
        fleet.relays[old].cut = False
        if kill:
            fleet.start(old)
        all_done(fleet, through, jobs, 30)
        fleet.check_order()


def planned_stop(fleet):
    """A leader resigns while its orders are on their way."""
    for n in range(3):
        old = wait_until(fleet.leader, 10, "a leader")
        through = fleet.other(old)
        jobs = keep_submitting(fleet, through, 0x30000 + 0x1000 * n, 0.5)
        assert fleet.procs.stop(old, 10) == 0
        jobs += keep_submitting(fleet, through, 0x30800 + 0x1000 * n, 0.5)
        fleet.await_other_leader(old)
        all_done(fleet, through, jobs, 30)
        fleet.start(old)
    fleet.check_order()


def wave(fleet):
    """A wave that loses its leaders maintains a host twice, or is never
    reported as done."""
    hosts = list(fleet.api.targets)
    fleet.store.put("keyed.op", "wave/1", pack(
        {"wave": 1, "machines": hosts, "durationS": 30, "cap": 1}))
    wait_until(lambda: fleet.api.maintained, 20, "first host")
    fleet.procs.kill(fleet.leader())

    def state():
        for key, value in reversed(fleet.store.parts["keyed.status", 0]):
            if key == "wave/1":
                return unpack(value)["state"]
        return None
    wait_until(lambda: state() == "done", 40, "wave done")
    assert sorted(host for host, _ in fleet.api.maintained) == sorted(hosts), \
        fleet.api.maintained
    fleet.check_order()


def main():
    return run_scenarios(UnfencedFleet(sys.argv[1]), (
        paused_leader, refused_leader, held_orders, planned_stop, wave))


if __name__ == "__main__":
    sys.exit(main())
