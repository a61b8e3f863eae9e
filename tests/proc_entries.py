#!/usr/bin/env python3
"""Odd entries of another writer among those of the targets. Guards against
entry hosts that end or stop following the list, runs that end and calls to
addresses that are none because of such an entry."""
import sys
import time

from harness import call, pack, unpack, wait_until
from jobs_platform import HostApi, Target, serve
from proc_jobs import HOST, Fleet, all_done, run_scenarios

LONGEST_KEY = 255  # bytes


def odd_keys(fleet):
    """Yields (key, entry) for keys that can't name a target."""
    entry = fleet.targets[0].entry("s", fleet.trap)
    for key in (b"", b"a\0b", b"b\r\nA: b", b"\x01" * LONGEST_KEY,
                b"\xff" * LONGEST_KEY, b"i-0\0b"):
        yield key.decode(errors="surrogateescape"), entry


def odd_entries(fleet):
    """Yields (key, entry) for entries that name no target. From the second
    round on they claim the host of a target in turn, and a later start."""
    n = fleet.rounds
    valid = {**unpack(fleet.targets[n % 3].entry("s", fleet.trap)),
             "born": int(time.time() * 1000) + 60000}
    if n == 0:
        valid["machine"] = "m-none"
    odd = {
        f"service-{n}": {"service": "other"},
        "port": {"addr": fleet.trap.split(":")[0] + ":65536"},
        "port-0": {"addr": fleet.trap.split(":")[0] + ":0"},
        "name": {"addr": "target.example:80"},
        "line": {"addr": fleet.trap + "\r\nA: b"},
        "state": {"state": "asleep"},
        "state-type": {"state": 1},
        "cpu": {"capacity": {"cpu": 1 << 63, "memMb": 4000}},
        "memory": {"capacity": {"cpu": 4000, "memMb": -1 << 63}},
        "room-type": {"capacity": [4000, 4000]},
        "no-service": {"service": ""},
        "labels": {"labels": {"a": "r1-1"}},
        "born": {"born": (1 << 63) - 1},
        "born-type": {"born": "later"},
        "host": {"machine": valid["machine"] + "\0x"},
    }
    for name, fields in odd.items():
        yield f"odd-{name}", pack({**valid, **fields})
    for missing in ("zone", "version", "slots", "seq", "warmupLeftMs", "labels",
                    "capacity"):
        yield f"odd-no-{missing}", pack({name: value for name, value in
                                         valid.items() if name != missing})
    for head in (b"\x91", b"\x81\xa1k"):
        yield f"odd-nested-{len(head)}", head * 50000 + b"\xc0"
    yield "odd-size", b"\xdd\xff\xff\xff\xff"
    yield "odd-cut", pack(valid)[:-3]
    yield "odd-list", pack([valid])


class OddFleet(Fleet):
    """A fleet whose store has odd entries from the start and returns the
    newest records one at a time. Nobody may call the address in them."""

    def __init__(self, build):
        self.trap, self.calls, self.rounds = None, [], 0
        super().__init__(build, run_s=1.0)

    def trapped(self, *call):
        self.calls.append(call[:2])
        return 404, b""

    def store_addr(self, name):
        if self.trap is None:
            self.trap = serve(self.trapped)[1]
            self.api = HostApi(self.store, self.targets)
            self.more_conf = f"hosts_api: {self.api.addr}\n"
            self.store.page = 1
            self.put_all()
        return self.store.addr

    def put_all(self):
        for key, entry in odd_keys(self):
            self.store.put("keyed.servers", key, entry)
        for key, entry in odd_entries(self):
            self.store.put("keyed.servers", key, entry)
        self.rounds += 1

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


def service_named_later(fleet):
    """Guards against an entry that is lost because its service was named
    only after the entry had been read."""
    target = Target("i-later", 0.2, fleet.history)
    fleet.store.put("keyed.servers", target.name, target.entry("later"))
    time.sleep(1)
    assert not target.orders, target.orders
    fleet.settings["version"] += 1
    fleet.settings["services"].append({"name": "later"})
    fleet.settings["routes"].append({
        **fleet.settings["routes"][0], "name": "later", "prefix": "/later/",
        "service": "later"})
    fleet.store.put("keyed.op", "config", pack(fleet.settings))
    wait_until(lambda: call(
        fleet.fronts["host-0"], "POST", "/later/" + "a" * 16,
        pack({"spec": "s", "steps": [{"count": 2, "cpu": 500, "memMb": 10}]}),
        {"Host": HOST}).status == 200, 10, "the new queue")
    wait_until(lambda: sum(what == "done" and name == target.name for
                           _, what, name, *_ in list(fleet.history)) == 2,
               10, "tasks of the new service done")


def odd_host_lists(fleet):
    """Guards against hosts that are taken to have left the fleet because a
    list of them can't be read."""
    wait_until(lambda: fleet.api.lists > 0, 10, "a list")
    for odd in (pack([]), pack({}), pack({"machines": 5}), b"\x91" * 100000, b""):
        seen = fleet.api.lists
        fleet.api.odd_list = odd
        wait_until(lambda: fleet.api.lists > seen + 1, 20, "two more lists")
    fleet.api.odd_list = None
    left = [line for text in fleet.procs.logs().values()
            for line in text.split("\n") if "left the fleet" in line]
    assert not left, left


def cut_list(fleet):
    """Guards against targets that are taken to be gone because a list of the
    newest entries has ended before theirs: they would get no tasks."""
    for n, pages in enumerate(("repeat", "empty")):
        fleet.store.target_pages = pages
        ends = "newest records of keyed.servers/0: pages repeat"
        seen = sum(text.count(ends) for text in fleet.procs.logs().values())
        fleet.store.drop_history("keyed.servers")
        wait_until(lambda: sum(text.count(ends) for text in
                               fleet.procs.logs().values()) > seen,
                   10, "a list that was cut")
        jobs = [fleet.submit(f"host-{k % 3}", 300 + 10 * n + k)[0]
                for k in range(6)]
        all_done(fleet, "host-0", jobs, 20)
        fleet.store.target_pages = "whole"


def main():
    return run_scenarios(OddFleet(sys.argv[1]),
                         (odd_from_start, odd_for_next_leader,
                          service_named_later, odd_host_lists, cut_list))


if __name__ == "__main__":
    sys.exit(main())
