#!/usr/bin/env python3
"""Odd entries of another writer among those of the targets. Guards against
entry hosts that end or stop following the list, runs that end and calls to
addresses that are none because of such an entry."""
import sys
import time

from harness import wait_until
from jobs_platform import serve
from proc_jobs import Fleet, all_done, run_scenarios

LONGEST_KEY = 255  # bytes


def odd_keys(fleet):
    """Yields (key, entry) for keys that can't name a target."""
    entry = fleet.targets[0].entry("s", fleet.trap)
    for key in (b"", b"a\0b", b"b\r\nA: b", b"\x01" * LONGEST_KEY,
                b"\xff" * LONGEST_KEY, b"i-0\0b"):
        yield key.decode(errors="surrogateescape"), entry


class OddFleet(Fleet):
    """A fleet whose store has odd entries from the start and returns the
    newest records one at a time. Nobody may call the address in them."""

    def __init__(self, build):
        self.trap, self.calls = None, []
        super().__init__(build, run_s=1.0)

    def trapped(self, *call):
        self.calls.append(call[:2])
        return 404, b""

    def store_addr(self, name):
        if self.trap is None:
            self.trap = serve(self.trapped)[1]
            self.store.page = 1
            self.put_all()
        return self.store.addr

    def put_all(self):
        for key, entry in odd_keys(self):
            self.store.put("keyed.servers", key, entry)

    def check(self):
        super().check()
        assert not self.calls, self.calls
        ends = {what for _, what, *_ in list(self.history)}
        assert ends <= {"start", "done", "acknowledged"}, ends
        ended = {name: proc.returncode
                 for name, proc in self.procs.procs.items()
                 if proc.poll() is not None}
        assert not ended, f"ended: {ended}"


def run_jobs(fleet, first):
    """Runs jobs while the odd entries are written once more."""
    jobs = [fleet.submit(f"host-{n % 3}", first + n)[0] for n in range(6)]
    for _ in range(4):
        time.sleep(0.3)
        fleet.put_all()
    for name in fleet.fronts:
        all_done(fleet, name, jobs, 20)


def odd_from_start(fleet):
    """The first leader finds the odd entries when it loads the list."""
    run_jobs(fleet, 100)


def odd_for_next_leader(fleet):
    """Another leader loads the list."""
    leader = wait_until(fleet.leader, 10, "a leader")
    fleet.procs.kill(leader)
    del fleet.fronts[leader]
    wait_until(lambda: fleet.leader() != leader, 10, "another leader")
    fleet.start(leader)
    run_jobs(fleet, 200)


def main():
    return run_scenarios(OddFleet(sys.argv[1]),
                         (odd_from_start, odd_for_next_leader))


if __name__ == "__main__":
    sys.exit(main())
