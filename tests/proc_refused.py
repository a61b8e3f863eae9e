#!/usr/bin/env python3
"""Submissions while the store goes down, with real processes: appends that are
in progress then take effect, their connections are closed, and later calls get
503. Guards against a job that runs although each attempt of its caller was
refused as not run.

Usage: proc_refused.py BUILD [SEED ...], the seeds of the outages in series."""
import random
import sys
import threading
import time

from harness import call, pack, wait_until
from proc_jobs import HOST, Fleet, run_scenarios

CLIENTS = 12
TRIES = 4
DOWN_S = 2.0


class Client(threading.Thread):
    """Submits job n up to TRIES times, each time at another host, until it is
    accepted. Notes the status of each attempt; None: no response."""

    def __init__(self, fleet, n, deadline_ms=1000):
        super().__init__()
        self.fronts = [fleet.fronts[name] for name in sorted(fleet.fronts)]
        self.job, self.n, self.statuses = f"{n:016x}", n, []
        self.deadline_ms = deadline_ms

    def run(self):
        body = pack({"spec": "s", "steps": [
            {"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 300}]})
        for k in range(TRIES):
            front = self.fronts[(self.n + k) % len(self.fronts)]
            try:
                status = call(front, "POST", f"/q/{self.job}", body,
                              {"Host": HOST, "Deadline-Ms":
                               str(self.deadline_ms)}).status
            except OSError:
                status = None
            self.statuses.append(status)
            if status == 200:
                return
            time.sleep(0.2)


def started_jobs(fleet):
    return {task.split(".")[0] for _, what, _, task, _ in list(fleet.history)
            if what == "start"}


def check_clients(fleet, clients):
    """Waits for the clients, then checks that each accepted job starts, and
    none of those that were only refused."""
    for client in clients:
        client.join()
    wait_until(lambda: started_jobs(fleet) >= {
        c.job for c in clients if 200 in c.statuses}, 20, "accepted jobs start")
    time.sleep(3)
    started = started_jobs(fleet)
    false = {c.job: c.statuses for c in clients if c.job in started
             and all(status in (429, 503) for status in c.statuses)}
    assert not false, f"refused, but started: {false}"
    fleet.check()


def outage_during_appends(fleet):
    """The store goes down while appends of every host are in progress."""
    for n in range(3):  # each host keeps a connection to the store
        assert fleet.submit(f"host-{n}", 10 + n, count=1, steps=1)[1] == 200
    fleet.store.append_s = 0.2
    clients = [Client(fleet, 100 + n) for n in range(CLIENTS)]
    for client in clients:
        client.start()
    wait_until(lambda: fleet.store.appending >= 3, 5, "appends in progress")
    fleet.store.mode = "busy"
    time.sleep(DOWN_S)
    fleet.store.append_s = 0
    fleet.store.mode = "up"
    check_clients(fleet, clients)
    # The outage hit submissions: some job ran whose first attempt failed.
    started = started_jobs(fleet)
    assert any(c.statuses[0] != 200 and c.job in started for c in clients)


def outages_in_series(seed):
    """Returns a scenario: the store refuses, loses responses, is silent and
    slow in a random order, while jobs are submitted."""
    def outages(fleet):
        rnd = random.Random(seed)
        clients = []
        for n in range(30):
            if rnd.random() < 0.4:
                fleet.store.mode = rnd.choice(("up", "busy", "lost", "silent"))
                fleet.store.append_s = rnd.choice((0, 0.05, 0.3))
            for k in range(rnd.randrange(1, 5)):
                client = Client(fleet, 1000 * seed + 10 * n + k,
                                rnd.choice((400, 1000, 2000)))
                clients.append(client)
                client.start()
            time.sleep(rnd.uniform(0.02, 0.4))
        fleet.store.append_s = 0
        fleet.store.mode = "up"
        check_clients(fleet, clients)

    outages.__name__ = f"outages_in_series_{seed}"
    return outages


def main():
    seeds = [int(seed) for seed in sys.argv[2:]] or [1]
    return run_scenarios(Fleet(sys.argv[1]), (
        outage_during_appends,
        *(outages_in_series(seed) for seed in seeds)))


if __name__ == "__main__":
    sys.exit(main())
