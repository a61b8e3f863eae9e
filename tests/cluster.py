"""A small cluster of real processes for the fault tests: one platform
stand-in, one target stand-in for each data centre, and entry hosts."""
import collections
import os
import pathlib
import random
import subprocess
import threading
import time

import history
from harness import (Processes, call, free_ports, is_ok, wait_until,
                     write_node)

SERVICE = """kind: service
service: {0}
pool: {0}
availability: {{objective_percent: 99.9, min_hosts: {1}}}
deadline: {{default_ms: 3000, max_ms: 8000}}
teams:
  - {{name: crews, quota: 60}}
  - {{name: office, quota: 40}}
urgent: {{max_share_percent: 50}}
idempotent: {{methods: [GET, PUT], paths: [/quote]}}
run_time: {{short_ms: 300, long_share_percent: 50}}
queue: {{max_requests: 200}}
retry: {{percent: 20}}
---
kind: pool
pool: {0}
max_out: {2}
"""


class Cluster(Processes):
    """Data centres dc1, dc2...; `entries` entry hosts in each, numbered e1,
    e2... through all of them; `hosts` targets for each service in each data
    centre, named SERVICE-DC-N, with rack_hosts of them in a rack. Kills all
    of its processes on exit."""

    def __init__(self, build, dcs=1, entries=2, services=("plan", "spare"),
                 hosts=4, min_hosts=1, max_out=2, reboot_ms=300,
                 rack_hosts=4, platform_args=(), regions=1):
        super().__init__(build)
        self.dcs = [f"dc{i + 1}" for i in range(dcs)]
        self.regions = {dc: f"r{i % regions + 1}"
                        for i, dc in enumerate(self.dcs)}
        self.services = services
        self.min_hosts, self.max_out = min_hosts, max_out
        ports = iter(free_ports(
            2 + dcs * (2 * entries + hosts * len(services))))

        def addr():
            return f"127.0.0.1:{next(ports)}"

        self.platform, self.control = addr(), addr()
        self.entries = {}
        for dc in self.dcs:
            for _ in range(entries):
                name = f"e{len(self.entries) + 1}"
                self.entries[name] = (dc, addr(), addr())
        self.hosts = {}
        for dc in self.dcs:
            for n in range(hosts):
                for service in services:
                    name = f"{service}-{dc}-{n + 1}"
                    self.hosts[name] = (dc, service, addr())
        self.reboot_ms, self.rack_hosts = reboot_ms, rack_hosts
        self.platform_args = platform_args
        # Addresses at which entry hosts reach the platform (by entry host)
        # and their peers (by entry host and peer) instead of the real ones.
        # A test that puts a relay in between sets them before start().
        self.platform_via = {}
        self.peer_via = {}

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    def __exit__(self, kind, value, trace):
        if kind is not None:
            print(f"{kind.__name__}: {value}")
            for name, text in self.logs().items():
                print(f"--- {name}\n{text[-1500:]}")
        self.kill_all()

    def start(self):
        self.spawn("platform", "standin-platform", "--listen", self.platform,
                   "--control", self.control, *self.platform_args)
        wait_until(lambda: call(self.platform, "GET", "/hosts"), 10,
                   "platform answers")
        racks = {}
        for name, (dc, pool, addr) in self.hosts.items():
            rack = racks.setdefault(dc, [])
            rack.append(name)
            number = (len(rack) - 1) // self.rack_hosts
            self.set_host(name, rack=f"{dc}-r{number}")
        for dc in self.dcs:
            args = ["--reboot-ms", self.reboot_ms]
            for name, (at, _, addr) in self.hosts.items():
                if at == dc:
                    args += ["--target", f"{name}={addr}"]
            self.spawn(f"targets-{dc}", "standin-target", *args)
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_entry(name)
        self.publish()
        for name in self.entries:
            self.wait_serving(name)

    def set_host(self, name, state="live", rack=""):
        """Enters a target into the platform's host list, or changes it."""
        dc, pool, addr = self.hosts[name]
        query = f"host={name}&dc={dc}&addr={addr}&slots=8&pool={pool}" \
                f"&state={state}" + (f"&rack={rack}" if rack else "")
        assert is_ok(call(self.platform, "POST", f"/hosts/set?{query}"))

    def start_entry(self, name):
        path = pathlib.Path(self.dir.name) / f"{name}.yaml"
        write_node(path, name, self.entries,
                   self.platform_via.get(name, self.platform), 32,
                   self.peer_via, self.regions)
        self.spawn(name, "gventryd", "--config", path)

    def wait_entry(self, name):
        wait_until(lambda: is_ok(self.entry(name, "GET", "/healthz")), 15,
                   f"{name} healthy")

    def wait_serving(self, name):
        for service in self.services:
            wait_until(lambda s=service: is_ok(self.entry(
                name, "GET", f"/svc/{s}/ping?tag=ping")), 20,
                f"{name} serves {service}")

    def settings(self):
        return "---\n".join(
            SERVICE.format(s, self.min_hosts, self.max_out)
            for s in self.services)

    def publish(self, text=None):
        """Publishes settings, by default those of settings()."""
        root = pathlib.Path(self.dir.name) / "settings"
        root.mkdir(exist_ok=True)
        (root / "gypsumvalve.yaml").write_text(text or self.settings())
        self.operate("publish", str(root))

    def operator(self, *args, timeout=30):
        """Runs an operator command; returns the completed process."""
        env = dict(os.environ, GYPSUMVALVE_PLATFORM=self.platform,
                   GYPSUMVALVE_ENTRY=self.entries["e1"][1])
        return subprocess.run([str(self.build / "gypsumvalve"), *args],
                              env=env, capture_output=True, text=True,
                              timeout=timeout, check=False)

    def operate(self, *args):
        """Runs an operator command that must succeed."""
        done = self.operator(*args)
        assert done.returncode == 0, done.stdout + done.stderr

    def entry(self, name, method, path, headers=None, body=None, timeout=5.0):
        return call(self.entries[name][1], method, path, body, headers,
                    timeout)

    def fault(self, **values):
        """Sets faults of the platform stand-in, by name and value."""
        query = "&".join(f"{k}={v}" for k, v in values.items())
        assert is_ok(call(self.control, "POST", f"/faults?{query}"))

    def target(self, host, method, path):
        return call(self.hosts[host][2], method, path, timeout=5.0)

    def runs(self):
        """Returns the runs in all targets' histories, without those of
        wait_serving()."""
        out = []
        for host in self.hosts:
            answer = self.target(host, "GET", "/history")
            assert answer, f"no history from {host}"
            out += history.parse_history(answer.text)
        return [run for run in out if run.tag != "ping"]


class Callers:
    """Caller threads that send a seeded mix of requests. Every submission is
    recorded for the history checker. A submission whose outcome is unknown or
    not-run, or whose connection breaks, is repeated at an entry host chosen
    at random with the same ticket or key, up to three submissions in all."""

    def __init__(self, cluster, seed, threads=6, service="plan", run_ms=40,
                 keys=False):
        self.cluster, self.seed, self.service = cluster, seed, service
        self.run_ms, self.keys = run_ms, keys
        self.calls = []
        self.lock = threading.Lock()
        self.halt = threading.Event()
        self.threads = [threading.Thread(target=self.loop, args=(i,))
                        for i in range(threads)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        self.halt.set()
        for thread in self.threads:
            thread.join()

    def loop(self, index):
        rng = random.Random(f"{self.seed}-{index}")
        count = 0
        while not self.halt.is_set() and count < 2000:
            count += 1
            self.request(rng, f"{self.seed}-{index}-{count}")
            time.sleep(rng.uniform(0, 0.02))

    def request(self, rng, tag):
        """Submits one request until it has run, at most three times."""
        entries = sorted(self.cluster.entries)
        headers = {"Gv-Deadline-Ms": "2000",
                   "Gv-Team": rng.choice(["crews", "office"])}
        idempotent = rng.random() < 0.4
        method = "GET" if idempotent else "POST"
        if not idempotent:
            if self.keys and rng.random() < 0.5:
                headers["Idempotency-Key"] = tag
            else:
                ticket = self.cluster.entry(rng.choice(entries), "POST",
                                            "/v1/tickets", timeout=2)
                if not is_ok(ticket):
                    return
                headers["Gv-Ticket"] = ticket.text.strip()
        path = f"/svc/{self.service}/work?tag={tag}" \
               f"&run_ms={rng.randint(1, 2 * self.run_ms)}"
        body = "" if idempotent else f"body of {tag}"
        for attempt in range(3):
            answer = self.cluster.entry(rng.choice(entries), method, path,
                                        headers, body, timeout=4)
            submission = history.Call(tag, idempotent, body, "")
            if answer:
                submission.status = answer.status
                submission.answer = answer.text
                submission.outcome = answer.headers.get("Gv-Outcome",
                                                        "missing")
            with self.lock:
                self.calls.append(submission)
            if submission.outcome == "run" or self.halt.is_set():
                return
            time.sleep(0.05 * (attempt + 1))

    def verdict(self, least_run):
        """Stops the callers and runs the history checker. Fails also if fewer
        than least_run submissions have run, so that a cluster that refuses
        everything does not pass. Callers that have not been stopped continue
        until that many have run (at most 30 s), so that the verdict does not
        depend on the machine's speed."""
        if not self.halt.is_set():
            wait_until(lambda: sum(submission.outcome == "run"
                                   for submission in list(self.calls))
                       >= least_run, 30,
                       f"{least_run} requests ran")
        self.__exit__()
        bad = history.check(self.calls, self.cluster.runs())
        counts = collections.Counter(submission.outcome or "broken"
                                     for submission in self.calls)
        print(f"  seed {self.seed}: {dict(counts)}")
        assert not bad, "\n".join(bad[:10])
        assert counts["run"] >= least_run, "too few requests ran"
