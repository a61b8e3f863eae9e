#!/usr/bin/env python3
"""A scheduler daemon whose callers send what it does not read. Guards against
bytes in the receive buffers that add up to more than the memory of the host:
DEPLOY counts them as memory."""
import sys

import crowd
from proc_flood_sched import SmallFleet, answers
from proc_jobs import HOST

HEAD = f"POST /q/00000000000000ff HTTP/1.1\r\nHost: {HOST}\r\n".encode()
LOOKUP = f"GET /q/00000000000000fe HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ANNOUNCED = b"Content-Length: %d\r\n\r\n" % (2 * crowd.SEND_BYTES)
CASES = {
    "a trailer without end": (
        crowd.first_then(HEAD + CHUNKED + b"0\r\nX-Trailer: ", b"x",
                         crowd.SEND_BYTES), False),
    "bodies while the process is paused": (
        crowd.first_then(HEAD + ANNOUNCED, b"x", crowd.SEND_BYTES), True),
    "requests behind one that is open": (
        crowd.repeat(LOOKUP, crowd.SEND_BYTES), False),
}


def main(build):
    SmallFleet.more_conf = crowd.settings(crowd.MEMORY_MB, crowd.MEMORY_FDS)
    wrong = []
    for name, (sends, pause) in CASES.items():
        fleet = SmallFleet(build)
        try:
            front = fleet.fronts["host-0"]
            print(name)
            wrong += [f"{name}: {what}" for what in crowd.play(
                fleet.procs.procs["host-0"], front,
                lambda s=sends, f=front: crowd.Crowd(f, crowd.MEMORY_CROWD, s),
                answers(fleet), (crowd.MEMORY_MB, crowd.MEMORY_FDS -
                                 crowd.FILE_FDS), pause)]
        finally:
            fleet.close()
    print("\n".join(wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
