#!/usr/bin/env python3
"""Jobs with real processes: scheduler daemons (gvschedd) and a stand-in for
the users' platform. Guards against jobs that are lost, run twice at the same
time or again after their end, or reported wrongly, when a leader is killed or
stopped, the store fails or a target stops responding."""
import functools
import json
import sys
import time

from harness import (Processes, call, free_addr, is_ok, pack, unpack,
                     wait_until)
from jobs_platform import Store, Target

HOST = "jobs.example"
HOSTS = 3
JOBS = 12


class Fleet:
    """A store, targets and scheduler daemons."""

    more_conf = ""  # lines of every daemon's settings
    n_hosts = HOSTS
    parts = 2  # of the accepted jobs

    def __init__(self, build, run_s=0.3, targets=3, store=None):
        self.store = store or Store()
        self.history = []
        self.targets = [Target(f"i-{n}", run_s, self.history)
                        for n in range(targets)]
        self.settings = {
            "version": 3,
            "routes": [{"name": "q", "host": HOST, "prefix": "/q/",
                        "service": "s", "attempts": 2, "sloMs": 600,
                        "stretch": 1.6}],
            "services": [{"name": "s"}]}
        self.store.put("keyed.op", "config", pack(self.settings))
        for target in self.targets:
            self.store.put("keyed.servers", target.name, target.entry("s"))
        # Readers must skip a record that they can't parse.
        self.store.put("keyed.servers", "i-bad", b"\xc1garbage")
        self.procs = Processes(build)
        self.fronts = {}
        self.start_all()

    def start_all(self):
        for n in range(self.n_hosts):
            self.start(f"host-{n}")

    def store_addr(self, name):
        """Returns the address at which a daemon reaches the store."""
        return self.store.addr

    def start(self, name):
        """Starts a daemon and waits until it is ready."""
        ready = self.spawn(name)
        # A daemon binds this address after that of its front.
        wait_until(lambda: is_ok(call(ready, "GET", "/api/readyz")), 10,
                   f"{name} ready")

    def spawn(self, name):
        """Starts a daemon; returns the address of its readiness checks."""
        front, ready = free_addr(), free_addr()
        conf = f"{self.procs.dir.name}/{name}.yaml"
        with open(conf, "w", encoding="utf-8") as out:
            out.write(f"name: {name}\ndata_centre: a\ncpu_share: 0.5\n"
                      f"front: {front}\n"
                      f"ready: {ready}\nstore: {self.store_addr(name)}\n"
                      f"{self.more_conf}"
                      f"store_parts: {self.parts}\nmax_lease_ms: 6000\n"
                      "lease_wait_ms: 3000\n"
                      "maintenance_s: 2\nmove_s: 1.5\nshow_ended_s: 120\n")
        self.procs.spawn(name, "gvschedd", "--config", conf, addr=front)
        self.fronts[name] = front
        return ready

    def submit(self, name, n, count=2, steps=2, spec="s"):
        """Submits job n through a daemon: steps of count tasks each, one after
        the other. Returns the job's id and the response's status."""
        job = f"{n:016x}"
        body = pack({"spec": spec, "steps": [
            {"count": count, "cpu": 500, "memMb": 10, "estimateMs": 300,
             **({"dependsOn": [k - 1]} if k else {})}
            for k in range(steps)]})
        answer = call(self.fronts[name], "POST", f"/q/{job}", body,
                      {"Host": HOST})
        return job, answer.status

    def submit_accepted(self, name, n):
        """Submits job n of one step, again while it is refused."""
        wait_until(lambda: self.submit(name, n, steps=1)[1] == 200, 10,
                   f"job {n} accepted")
        return self.submit(name, n, steps=1)[0]

    def state(self, name, job):
        """Returns a job's state, or the status of a response other than
        200."""
        answer = call(self.fronts[name], "GET", f"/q/{job}",
                      headers={"Host": HOST})
        if answer.status != 200:
            return answer.status
        return unpack(answer.body)["state"]

    def leader(self):
        """Returns the host that wrote the newest lease, or None."""
        for key, value in reversed(self.store.parts[
                "keyed.gypsumvalve-progress", 0]):
            if key == "L":
                return unpack(value)[1]
        return None

    def check(self):
        """Fails if a task ran twice at the same time, or started again after
        it was done and the scheduler had acknowledged that end while the
        target's lease was valid."""
        live, done = {}, set()
        acknowledged = {(task, run)
                        for _, what, _, task, run in self.history
                        if what == "acknowledged"}
        for _, what, target, task, run in sorted(self.history):
            if what == "acknowledged":
                continue
            if what == "start":
                assert task not in live, f"{task} runs twice"
                assert task not in done, f"{task} starts after it was done"
                live[task] = (target, run)
            else:
                assert live.pop(task, None) == (target, run), task
                if what == "done" and (task, run) in acknowledged:
                    done.add(task)

    def close(self):
        self.procs.kill_all()


def all_done(fleet, name, jobs, seconds):
    wait_until(lambda: all(fleet.state(name, job) == "done" for job in jobs),
               seconds, "jobs done")
    fleet.check()


def accepts_and_runs(fleet):
    """Guards against jobs that are lost, run twice or not shown as done by
    every host, and against a second job for a repeated submission."""
    jobs = []
    for n in range(JOBS):
        job, status = fleet.submit(f"host-{n % HOSTS}", n + 1)
        assert status == 200, status
        jobs.append(job)
    assert fleet.submit("host-0", 1)[1] == 200
    for n in range(HOSTS):
        all_done(fleet, f"host-{n}", jobs, 20)
    assert fleet.state("host-1", "f" * 16) == 410
    answer = call(fleet.fronts["host-0"], "GET", "/nowhere/1",
                  headers={"Host": HOST})
    assert answer.status == 404, answer.status


def survives_leader(fleet):
    """Guards against jobs that stop, or run twice, when the leader
    is killed."""
    jobs = [fleet.submit("host-0", 100 + n)[0] for n in range(6)]
    leader = wait_until(fleet.leader, 10, "a leader")
    time.sleep(0.2)
    fleet.procs.kill(leader)
    rest = next(name for name in fleet.fronts if name != leader)
    jobs += [fleet.submit(rest, 200 + n)[0] for n in range(6)]
    all_done(fleet, rest, jobs, 30)
    assert fleet.leader() != leader
    fleet.start(leader)


def refusals_match_store(fleet):
    """Guards against a refused job that runs, and against an accepted job
    that is not stored, while the store refuses or its responses are lost."""
    fleet.store.mode = "busy"
    job, status = fleet.submit("host-1", 300)
    assert status == 503, status
    fleet.store.mode = "lost"
    late, status = fleet.submit("host-1", 301)
    assert status in (503, 504), status
    fleet.store.mode = "up"
    wait_until(lambda: fleet.state("host-1", job) == 410, 10, "not known")
    refused = [job]
    if status == 504:
        all_done(fleet, "host-1", [late], 20)
    else:
        refused.append(late)
        time.sleep(2)
        assert fleet.state("host-1", late) == 410, "refused, but stored"
    for _, _, _, task, _ in fleet.history:
        assert not task.startswith(tuple(refused)), f"{task} was refused"


def silent_target(fleet):
    """Guards against a task that is started elsewhere while it may still run
    on a target that no longer responds."""
    jobs = [fleet.submit_accepted("host-2", 400 + n) for n in range(4)]
    target = fleet.targets[0]
    target.silent = True
    time.sleep(0.3)
    jobs += [fleet.submit_accepted("host-2", 410 + n) for n in range(4)]
    all_done(fleet, "host-2", jobs, 30)
    target.silent = False


def answered_after_start(fleet):
    """Guards against a task that starts elsewhere while it runs on a target
    that has carried its start out and answers with a server error."""
    left = [6]

    def start(target, rq):
        answer = type(target).start(target, rq)
        if answer[0] == 200 and left[0] > 0:
            left[0] -= 1
            return 500, b""
        return answer

    for target in fleet.targets:
        target.start = functools.partial(start, target)
    jobs = [fleet.submit("host-2", 450 + n, steps=1)[0] for n in range(4)]
    all_done(fleet, "host-2", jobs, 30)
    assert left[0] == 0


def unread_jobs(fleet):
    """Guards against a task that runs again after a change of the leader. The
    new leader can't read the accepted jobs yet when targets report the ends
    of their tasks; it must not drop these ends as those of forgotten jobs."""
    leader = wait_until(fleet.leader, 10, "a leader")
    fleet.store.refused = "-accepted"
    jobs = [fleet.submit(leader, 600 + n, steps=1)[0] for n in range(4)]
    wait_until(lambda: sum(what == "start" and task.startswith(tuple(jobs))
                           for _, what, _, task, _ in fleet.history) == 8,
               5, "tasks start")
    fleet.procs.kill(leader)
    rest = next(name for name in fleet.fronts if name != leader)
    wait_until(lambda: fleet.leader() != leader, 10, "another leader")
    time.sleep(1.5)  # the leader gets the ends from the targets
    fleet.store.refused = ""
    wait_until(lambda: all(fleet.state(rest, job) == "done" for job in jobs),
               20, "jobs done")
    fleet.start(leader)
    starts = [task for _, what, _, task, _ in fleet.history
              if what == "start" and task.startswith(tuple(jobs))]
    assert len(starts) == len(set(starts)), "a task ran again"


def outdated_count(fleet):
    """Guards against an outdated count of waiting jobs from a host that can't
    read the store: it must respond 503."""
    count = lambda: call(fleet.fronts["host-1"], "GET", "/q/",
                         headers={"Host": HOST}).status
    assert count() == 200
    fleet.store.refused = "-accepted"
    time.sleep(4)  # the open read ends; the count is outdated 2 s later
    assert count() == 503, "an old count is told"
    fleet.store.refused = ""
    wait_until(lambda: count() == 200, 5, "counted again")


def graceful_stop(fleet):
    """Guards against a planned stop that loses jobs or exits with an
    error."""
    leader = fleet.leader()
    jobs = [fleet.submit(leader, 500 + n)[0] for n in range(4)]
    code = fleet.procs.stop(leader, 10)
    assert code == 0, code
    rest = next(name for name in fleet.fronts if name != leader)
    all_done(fleet, rest, jobs, 20)


def run_scenarios(fleet, scenarios):
    """Runs each scenario on the fleet and closes that. Returns the exit
    status."""
    failed = []
    try:
        for scenario in scenarios:
            try:
                begun = time.monotonic()
                scenario(fleet)
                print(f"  {scenario.__name__}: "
                      f"{time.monotonic() - begun:.1f} s")
            except Exception as wrong:  # also a call without a response
                failed.append(f"FAILED {scenario.__name__}: {wrong!r}")
                print(failed[-1])
                print(json.dumps({name: text[-3000:] for name, text in
                                  fleet.procs.logs().items()}, indent=1)
                      .replace("\\n", "\n"))
    finally:
        fleet.close()
    print("\n".join(failed))  # last, as long output is shown by its end
    return 1 if failed else 0


def malformed_submission(fleet):
    """Guards against a job that is accepted without its list of dependencies,
    which is too long to be kept, so that a step starts too early."""
    job = "e" * 16
    body = pack({"spec": "s", "steps": [
        {"count": 1, "cpu": 500, "memMb": 10},
        {"count": 1, "cpu": 500, "memMb": 10, "dependsOn": [0] * 300}]})
    answer = call(fleet.fronts["host-0"], "POST", f"/q/{job}", body,
                  {"Host": HOST})
    assert answer.status == 400, answer.status
    assert fleet.state("host-0", job) == 410


def main():
    return run_scenarios(Fleet(sys.argv[1]), (
        accepts_and_runs, malformed_submission, survives_leader, refusals_match_store,
        silent_target, answered_after_start, unread_jobs, outdated_count, graceful_stop))


if __name__ == "__main__":
    sys.exit(main())
