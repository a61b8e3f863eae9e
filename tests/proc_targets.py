#!/usr/bin/env python3
"""Real processes in front of targets that crash and change their size. Guards
against a task that crashes target after target, against jobs that fail because
they ran beside it, and against starts that bring a target which does not check
its room over it."""
import sys
import time

from harness import wait_until
from jobs_platform import HostApi
from proc_jobs import Fleet, all_done, run_scenarios

TARGETS = 6
STARTS_MAX = 5  # of a task that crashes each target that starts it


class CrashingFleet(Fleet):
    """A fleet with an interface to the hosts, and targets that do not check
    their room."""

    def __init__(self, build):
        self.api = None
        super().__init__(build, targets=TARGETS)

    def store_addr(self, name):
        if self.api is None:
            self.api = HostApi(self.store, self.targets, away_s=1.5)
            self.more_conf = f"hosts_api: {self.api.addr}\n"
            for target in self.targets:
                target.checks_room = False
        return self.store.addr

    def starts(self, job):
        return [task for _, what, _, task, _ in list(self.history)
                if what == "start" and task.startswith(job)]


def deadly_task(fleet):
    """One task crashes each target that starts it; the leader is killed in
    between."""
    jobs, deadly = [], []
    for n in range(3):
        leader = wait_until(fleet.leader, 10, "a leader")
        rest = next(name for name in fleet.fronts if name != leader)
        jobs += [fleet.submit(rest, 100 * n + k + 1)[0] for k in range(6)]
        deadly.append(fleet.submit(rest, 100 * n + 90, count=1, steps=1,
                                   spec="deadly")[0])
        jobs += [fleet.submit(rest, 100 * n + k + 7)[0] for k in range(6)]
        wait_until(lambda: len(fleet.starts(deadly[-1])) > 0, 10, "a start")
        if n == 1:
            fleet.procs.kill(leader)
            fleet.start(leader)
        wait_until(lambda: fleet.state(rest, deadly[-1]) == "failed", 30,
                   "the job with the deadly task failed")
        all_done(fleet, rest, jobs, 30)
    time.sleep(2)  # no start follows
    for job in deadly:
        assert 2 <= len(fleet.starts(job)) <= STARTS_MAX, fleet.starts(job)


def shrinking_room(fleet):
    """Targets shrink, first with their records read, then without, and grow
    again."""
    targets = list(fleet.api.targets.values())
    jobs = []

    def report():
        for host, target in fleet.api.targets.items():
            fleet.store.put("keyed.servers", target.name, target.entry("s"))

    for n, unread in enumerate((False, True)):
        fleet.store.refused = "keyed.servers" if unread else ""
        time.sleep(0.5)
        for target in targets[1:]:
            target.checks_room = False
            target.resize(500)
        report()
        end = time.monotonic() + 7
        while time.monotonic() < end:
            jobs.append(fleet.submit("host-0", 1000 * (n + 1) + len(jobs),
                                     steps=1)[0])
            time.sleep(0.05)
        fleet.store.refused = ""
        for target in targets:
            target.resize(4000)
        report()
        all_done(fleet, "host-0", jobs, 30)
    over = [text for target in targets for text in target.over]
    assert not over, over[:5]


def main():
    return run_scenarios(CrashingFleet(sys.argv[1]),
                         (deadly_task, shrinking_room))


if __name__ == "__main__":
    sys.exit(main())
