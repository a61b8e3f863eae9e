#!/usr/bin/env python3
"""A scheduler daemon whose callers keep all its connections: they send
requests without end, do not read the responses, or submit with deadlines of an
hour in an outage. Guards against other callers who never get a connection, and
against calls to the store that grow with the number of such requests."""
import itertools
import sys

import crowd
from harness import call, is_ok, pack
from proc_flood_sched import SmallFleet, answers
from proc_jobs import HOST

UNKNOWN = f"GET /none HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
LOOKUP = f"GET /q/00000000000000fe HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
CHECK = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n"
HOUR = "submissions with deadlines of an hour in an outage"
CASES = {  # what a connection sends, and whether it reads
    "jobs that nobody knows": (LOOKUP, True),
    "responses that are not read": (UNKNOWN, False),
    "requests without end": (UNKNOWN, True),
    "readiness checks without end": (CHECK, True),
}


class ManyParts(SmallFleet):
    parts = 8
    more_conf = crowd.settings(crowd.PLACES_MB, crowd.PLACES_FDS)
    ready = None

    def spawn(self, name):
        self.ready = super().spawn(name)
        return self.ready


def play(build, callers, addr_of, ordinary_of):
    """Lets a crowd act on a daemon. Returns what is wrong. callers(addr)
    returns the crowd; addr_of and ordinary_of have the fleet as argument."""
    fleet = ManyParts(build)
    try:
        addr = addr_of(fleet)
        return crowd.play(fleet.procs.procs["host-0"], addr,
                          lambda: callers(addr), ordinary_of(fleet),
                          (crowd.PLACES_MB,
                           crowd.PLACES_FDS - crowd.FILE_FDS))
    finally:
        fleet.close()


def ready_checks(fleet):
    """Returns a function that returns true if a readiness check succeeds."""
    return lambda: is_ok(call(fleet.ready, "GET", "/api/readyz"))


def begin_outage(fleet):
    """Makes the store silent after a job was done. Returns a function that
    returns true if a request that needs no store gets a response."""
    assert crowd.is_answered(answers(fleet)), "no answer in calm"
    fleet.store.mode = "silent"
    return lambda: call(fleet.fronts["host-0"], "GET", "/none",
                        headers={"Host": HOST}) is not None


def submissions():
    """Returns a function for Crowd: each connection submits a job."""
    body = pack({"spec": "s", "steps": [
        {"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 300}]})
    head = ("POST /q/%016x HTTP/1.1\r\nHost: " + HOST +
            "\r\nDeadline-Ms: 3600000\r\n" +
            f"Content-Length: {len(body)}\r\n\r\n")
    ids = itertools.count(0xb000)
    return lambda: iter([(head % next(ids)).encode() + body])


def main(build, only=None):
    wrong = []
    for name, (request, read) in CASES.items():
        if only in (None, name):
            print(name)
            checks = request is CHECK
            wrong += [f"{name}: {what}" for what in play(
                build,
                lambda addr, r=request, again=read: crowd.Crowd(
                    addr, crowd.PLACES_CROWD,
                    crowd.repeat(r, crowd.ENDLESS), again, again),
                lambda f, c=checks: f.ready if c else f.fronts["host-0"],
                ready_checks if checks else answers)]
    if only in (None, HOUR):
        print(HOUR)
        wrong += [f"{HOUR}: {what}" for what in play(
            build,
            lambda addr: crowd.Crowd(addr, crowd.PLACES_CROWD, submissions(),
                                     True, True),
            lambda fleet: fleet.fronts["host-0"], begin_outage)]
    print("\n".join(wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(*(sys.argv[1:] or ["build"])))
