#!/usr/bin/env python3
"""Entry hosts that together read the store more often than it allows. Guards
against reads that are refused for ever, so that after the loss of all hosts
none of them becomes the leader."""
import sys
import threading
import time

import jobs_platform
from proc_jobs import Fleet, all_done, run_scenarios

HOSTS = 10
READS_PER_S = 66  # 300 hosts at 2,000 reads a second
WINDOW_S = 0.1
RECOVER_S = 12  # bound of the users' pages

# All daemons connect at the same time.
jobs_platform.Server.request_queue_size = 256


class LimitedStore(jobs_platform.Store):
    """A store that refuses the reads of a window of time beyond its limit."""

    def __init__(self):
        self.window, self.left = 0, 0.0
        self.carried_out = self.refused_reads = 0
        self.counting = threading.Lock()
        super().__init__()

    def handle(self, method, path, query, headers, body):
        if path in ("/api/log-read", "/api/log-newest"):
            with self.counting:
                window = int(time.monotonic() / WINDOW_S)
                if window != self.window:
                    self.window = window
                    self.left = min(self.left, 0) + READS_PER_S * WINDOW_S
                if self.left <= 0:
                    self.refused_reads += 1
                    return 429, b""
                self.left -= 1
                self.carried_out += 1
        return super().handle(method, path, query, headers, body)


class LimitedFleet(Fleet):
    """A fleet whose daemons start together."""

    n_hosts = HOSTS
    parts = 8

    def start(self, name):
        self.spawn(name)


def run_one(fleet, first, seconds):
    """Submits jobs through the daemons until one is accepted; fails unless it
    is done within that time."""
    end = time.monotonic() + seconds
    for n in range(first, first + 1000):
        name = f"host-{n % HOSTS}"
        job, status = fleet.submit(name, n, count=1, steps=1)
        if status == 200:
            all_done(fleet, name, [job], end - time.monotonic())
            return
        time.sleep(0.05)
        assert time.monotonic() < end, "no job accepted"


def all_killed(fleet):
    """After the loss of all hosts none of them becomes the leader, or one does
    and runs no jobs for many seconds."""
    for n in range(3):
        run_one(fleet, 0x1000 * (n + 1), RECOVER_S)
        time.sleep(3)
        for host in list(fleet.fronts):
            fleet.procs.kill(host)
        fleet.start_all()
    run_one(fleet, 0x8000, RECOVER_S)


def few_refused(fleet):
    """Most reads are refused as long as the hosts run."""
    time.sleep(6)
    store = fleet.store
    before = store.carried_out, store.refused_reads
    time.sleep(5)
    reads = store.carried_out - before[0]
    refused = store.refused_reads - before[1]
    assert refused * 3 < reads, f"{refused} of {reads + refused} refused"


if __name__ == "__main__":
    sys.exit(run_scenarios(LimitedFleet(sys.argv[1], store=LimitedStore()),
                           [all_killed, few_refused]))
