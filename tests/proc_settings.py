#!/usr/bin/env python3
"""Settings on an entry host whose path to the store fails, with real
processes. Guards against a host that goes on with old settings after the
store serves it again, or beside kept connections that have become silent."""
import sys
import time

from harness import call, pack, wait_until
from proc_jobs import Fleet, HOST, run_scenarios
from relay import Relay

# The users' shortest bound from a change of the settings to its effect.
APPLY_S = 2
# The users' shortest time after which a host that the store serves again is
# held to its bounds.
CONTACT_S = 3
SETTINGS_READ = b"GET /api/log-read?topic=keyed.op&"


class RelayedFleet(Fleet):
    """A fleet with a relay between each daemon and the store. Each change of
    the settings adds a queue."""

    def __init__(self, build):
        self.relays = {}
        self.version = 3
        super().__init__(build)

    def store_addr(self, name):
        return self.relays.setdefault(name, Relay(self.store.addr)).addr

    def change_settings(self, filler=b""):
        """Adds a queue and returns the path of its number of jobs. The filler
        makes the settings larger."""
        self.version += 1
        queues = ["q"] + [f"q{n}" for n in range(4, self.version + 1)]
        self.store.put("keyed.op", "config", pack({
            "version": self.version,
            "routes": [{"name": q, "host": HOST, "prefix": f"/{q}/",
                        "service": "s", "attempts": 2, "sloMs": 600,
                        "stretch": 1.6} for q in queues],
            "services": [{"name": "s"}], "filler": filler}))
        return f"/{queues[-1]}/"

    def status(self, name, path):
        return call(self.fronts[name], "GET", path,
                    headers={"Host": HOST}).status

    def check_applied(self, name, path, bound_s=APPLY_S):
        begun = time.monotonic()
        wait_until(lambda: self.status(name, path) == 200, 10, "new queue")
        took = time.monotonic() - begun
        assert took < bound_s, f"settings applied after {took:.2f} s"
        print(f"    applied after {took:.2f} s")


def silent_store(fleet):
    """The store answers no read of one host for seconds. The host still waits
    for the last of these when the store serves it again."""
    relay = fleet.relays["host-1"]
    relay.silence(b"GET /api/log-read")
    time.sleep(5)
    dropped = len(relay.dropped)
    wait_until(lambda: any(r.startswith(SETTINGS_READ)
                           for r in relay.dropped[dropped:]), 10,
               "an unanswered read of the settings")
    relay.silence(None)
    fleet.check_applied("host-1", fleet.change_settings())


def silent_connections(fleet):
    """Reads were slow for a time, and later all connections that the host has
    kept become silent."""
    relay = fleet.relays["host-2"]
    fleet.store.read_s = 0.8
    wait_until(lambda: fleet.state("host-2", "f" * 16) == 410, 20,
               "a slow read")
    fleet.store.read_s = 0
    time.sleep(2)
    for _ in range(2):
        relay.silence_open()
        fleet.check_applied("host-2", fleet.change_settings())


def unknown_queue(fleet):
    """A host that cannot read the settings says that a queue does not exist,
    though it may have been added since."""
    relay = fleet.relays["host-0"]
    assert fleet.status("host-0", "/nowhere/") == 404
    relay.silence(SETTINGS_READ)
    wait_until(lambda: fleet.status("host-0", "/nowhere/") == 503, 6,
               "a host without newer settings does not say 404")
    path = fleet.change_settings()
    for _ in range(20):
        assert fleet.status("host-0", path) == 503
        time.sleep(0.05)
    assert fleet.status("host-0", "/q/") == 200
    relay.silence(None)
    fleet.check_applied("host-0", path)
    assert fleet.status("host-0", "/nowhere/") == 404


def large_versions(fleet):
    """A host has missed four large versions, and reads them over a slow link.
    They take longer than the time-out of one read."""
    relay = fleet.relays["host-0"]
    relay.silence(SETTINGS_READ)
    time.sleep(2)
    for _ in range(4):
        path = fleet.change_settings(b"x" * 250000)
    time.sleep(2)
    relay.bytes_per_s = 800000
    relay.silence(None)
    fleet.check_applied("host-0", path, CONTACT_S)
    relay.bytes_per_s = None


def main():
    return run_scenarios(RelayedFleet(sys.argv[1]),
                         (silent_store, silent_connections, unknown_queue,
                          large_versions))


if __name__ == "__main__":
    sys.exit(main())
