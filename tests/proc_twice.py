#!/usr/bin/env python3
"""Real processes in front of targets whose answers are reset or late, which
refuse connections or drain, and whose queue moves to another service. Guards
against a task that runs on two live targets at once, and against one that
starts again after its end was acknowledged."""
import concurrent.futures
import itertools
import subprocess
import sys
import threading
import time

from harness import pack, wait_until
from jobs_platform import RESET, MachineApi
from proc_jobs import HOSTS, Fleet

TARGETS = 6
RUN_S = 0.8
SLOTS_CPU = 2000  # room for four tasks


class MachineFleet(Fleet):
    """A fleet with an interface to the hosts and steady load. other: how many
    of its hosts are in the pool of a second service."""

    def __init__(self, build, other=0, away_s=0.4):
        self.api, self.other, self.away_s = None, other, away_s
        self.jobs, self.stopping = [], False
        self.numbers = itertools.count(1)
        super().__init__(build, run_s=RUN_S, targets=TARGETS)

    def store_addr(self, name):
        if self.api is None:
            pools = {}
            for n, target in enumerate(self.targets):
                target.checks_room = False
                target.rooms = [(0.0, SLOTS_CPU)]
                pools["m-" + target.name] = "t" if n < self.other else "s"
            self.configure(3)
            self.api = MachineApi(self.store, self.targets, pools,
                                  self.away_s)
            for host in pools:
                self.api.put_entry(host)
            self.more_conf = f"hosts_api: {self.api.addr}\n"
        return self.store.addr

    def configure(self, version, service="s"):
        """Stores settings in which the queue belongs to that service."""
        self.settings["version"] = version
        self.settings["services"] = [{"name": name} for name in
                                     ("st" if self.other else "s")]
        self.settings["routes"][0]["service"] = service
        self.store.put("keyed.op", "config", pack(self.settings))

    def live(self):
        return [t for t in self.api.targets.values() if not t.crashed]

    def submit_steadily(self, seconds, period_s=0.15, repeat=False):
        """Submits a job of three tasks at each period, through one daemon
        after the other. repeat: every third one again through another."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            n = next(self.numbers)
            for k in range(2 if repeat and n % 3 == 0 else 1):
                name = f"host-{(n + k) % HOSTS}"
                try:
                    job, status = self.submit(name, n, count=3, steps=1)
                except AttributeError:  # no response
                    continue
                if status == 200 and job not in self.jobs:
                    self.jobs.append(job)
            time.sleep(period_s)

    def load(self, seconds, period_s=0.15, repeat=False):
        """Like submit_steadily, on a thread of its own, which is returned."""
        thread = threading.Thread(
            target=self.submit_steadily, args=(seconds, period_s, repeat),
            daemon=True)
        thread.start()
        return thread

    def order_wave(self, number, hosts, cap):
        self.store.put("keyed.op", f"wave/{number}", pack(
            {"wave": number, "machines": hosts, "durationS": 20, "cap": cap}))

    def restart_leader(self):
        leader = wait_until(self.leader, 10, "a leader")
        self.procs.kill(leader)
        self.start(leader)
        return leader

    def finish(self):
        """Waits until the accepted jobs are done, then checks the runs."""
        def left():
            self.jobs = [job for job in self.jobs
                         if self.state_or_none(job) != "done"]
            return not self.jobs
        try:
            wait_until(left, 20, "jobs done")
        except AssertionError as late:
            raise AssertionError(f"{late}\n{self.describe_job(self.jobs[0])}"
                                 ) from late
        finally:
            self.check_runs()

    def describe_job(self, job):
        """Returns the state of a job, the runs of its tasks and what the
        daemons logged about them."""
        lines = [f"job {job}: {self.state_or_none(job)}"]
        lines += [f"  {at:.3f} {what} {target} {task} run {run}"
                  for at, what, target, task, run in sorted(self.history)
                  if task.startswith(job)]
        for name, text in self.procs.logs().items():
            lines += [f"  {name}: {row}" for row in text.split("\n")
                      if job in row or "ev=lead" in row][-40:]
        return "\n".join(lines)

    def state_or_none(self, job):
        try:
            return self.state("host-0", job)
        except AttributeError:  # no response
            return None

    def check_runs(self):
        """Fails with a description of the first start of a task that is live
        elsewhere, or whose end as done was acknowledged before or later."""
        live, done, found = {}, {}, []
        history = sorted(self.history)
        acknowledged = {(target, task, run) for _, what, target, task, run
                        in history if what == "acknowledged"}
        for at, what, target, task, run in history:
            if what == "start":
                for kind, before in (("two runs at once", live.get(task)),
                                     ("run after its end", done.get(task))):
                    if before:
                        found.append((kind, before, (at, target, task, run)))
                live[task] = (at, target, task, run)
            elif what != "acknowledged":
                if task in live and live[task][1::2] == (target, run):
                    del live[task]
                if what == "done" and (target, task, run) in acknowledged:
                    done[task] = (at, target, task, run)
        if found:
            raise AssertionError(self.describe(history, found))

    def describe(self, history, found):
        kind, a, b = found[0]
        lines = [f"{len(found)} pairs, the first: {kind}: {a[2]}"]
        lines += [f"  {at - a[0]:+.3f} {what} {target} run {run}"
                  for at, what, target, task, run in history if task == a[2]]
        for name, text in self.procs.logs().items():
            rows = text.split("\n")
            own = [i for i, row in enumerate(rows) if f"task={a[2]} " in row]
            if own:
                words = (f"task={a[2]} ", f"target={a[1]} ", "host=",
                         "ev=lead")
                lines += [f"  {name}: {row}" for row in
                          rows[max(own[0] - 60, 0):own[-1] + 30]
                          if any(word in row for word in words)][-40:]
        return "\n".join(lines)


def some(n):
    """Returns the first n hosts."""
    return [f"m-i-{k}" for k in range(n)]


def start_reset(fleet):
    """Starts are carried out and their connections reset before the response.
    The next orders to the target are refused in one of four ways."""
    modes = itertools.cycle(("503", "429", "room", "refused", "none"))
    numbers = itertools.count(1)
    until = {}  # target -> (time in s, mode)

    def wrap(target, path, do):
        end, mode = until.get(target.name, (0, "none"))
        if time.monotonic() < end:
            if mode in ("503", "429"):
                return target.answer(int(mode))
            if mode == "room" and path == "/api/run-start":
                return target.answer(409, reason="room")
        answer = do()
        if (path == "/api/run-start" and answer and answer[0] == 200
                and next(numbers) % 6 == 0):
            mode = next(modes)
            until[target.name] = time.monotonic() + 0.25, mode
            if mode == "refused":
                target.refuse(0.25)
            return RESET
        return answer
    for target in fleet.live():
        target.wrap = wrap
    load = fleet.load(7)
    time.sleep(4)
    fleet.restart_leader()
    load.join()
    fleet.finish()


def slow_answers(fleet):
    """Some orders are carried out at once and answered late, after later ones
    or after their time-out; the leader is restarted meanwhile."""
    numbers = itertools.count(1)
    delays = itertools.cycle((0.05, 0.4, 0.9, 1.6))

    def wrap(target, path, do):
        answer = do()
        if next(numbers) % 5 == 0:
            time.sleep(next(delays))
        return answer
    for target in fleet.live():
        target.wrap = wrap
    load = fleet.load(6)
    time.sleep(3)
    fleet.restart_leader()
    load.join()
    fleet.finish()


def queue_moves(fleet):
    """A queue moves to another service and back while its tasks run; the
    leader is restarted in between."""
    load = fleet.load(5)
    for n, service in enumerate("tsts"):
        time.sleep(1)
        fleet.configure(4 + n, service)
        if n == 1:
            fleet.restart_leader()
    load.join()
    fleet.finish()


def history_and_drains(fleet):
    """The store drops its history, targets drain, and jobs are submitted
    again through other daemons."""
    load = fleet.load(6, repeat=True)
    for n, host in enumerate(some(4)):
        time.sleep(1)
        fleet.store.drop_history("keyed.servers")
        fleet.api.drain(host, 0.6)
        if n == 2:
            fleet.store.drop_history("keyed.gypsumvalve-progress")
            fleet.restart_leader()
    load.join()
    fleet.finish()


def few_connections(fleet):
    """Targets close connections beyond their limit at once."""
    for target in fleet.live():
        target.server.max_open = 4
    load = fleet.load(5)
    time.sleep(3)
    fleet.restart_leader()
    load.join()
    fleet.finish()


SCENARIOS = {  # with the options of their fleets
    start_reset: {}, slow_answers: {}, queue_moves: {"other": 3},
    history_and_drains: {}, few_connections: {},
}
AT_ONCE = 3


def run_one(build, scenario, options, verbose):
    """Runs a scenario on a fleet of its own. Returns the exit status."""
    begun = time.monotonic()
    fleet = MachineFleet(build, **options)
    try:
        scenario(fleet)
        print(f"  {scenario.__name__}: {time.monotonic() - begun:.1f} s")
        return 0
    except Exception as wrong:  # also a call without a response
        print(f"FAILED {scenario.__name__}: {wrong}")
        return 1
    finally:
        if verbose:
            print("\n".join(fleet.procs.logs().values()))
        fleet.close()


def main(scenarios):
    """Runs the scenarios, each in a process of its own. Arguments: BUILD
    [SCENARIO [-v]]."""
    build, chosen = sys.argv[1], sys.argv[2:3]
    by_name = {s.__name__: (s, options) for s, options in scenarios.items()}
    if chosen:
        return run_one(build, *by_name[chosen[0]], "-v" in sys.argv)

    def run(name):
        return subprocess.run([sys.executable, sys.argv[0], build, name],
                              capture_output=True, text=True, check=False)
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        results = list(pool.map(run, by_name))
    failed = 0
    for result in results:
        failed += result.returncode != 0
        print(result.stdout + result.stderr, end="")
    for name, result in zip(by_name, results):  # last: long output is cut
        if result.returncode:
            print(f"FAILED {name}", *result.stdout.split("\n")[:1])
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(SCENARIOS))
