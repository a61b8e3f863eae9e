#!/usr/bin/env python3
"""An entry daemon whose callers send what it does not read. Guards against
bytes in the receive buffers that add up to more than the memory of the host,
and against callers who get no answer then."""
import sys

import crowd
import harness
from proc_flood_entry import SmallPath

HEAD = b"POST /svc/routing/a HTTP/1.1\r\nHost: routing\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ANNOUNCED = b"Content-Length: %d\r\n\r\n" % (2 * crowd.SEND_BYTES)
REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"


class Unread(SmallPath):
    more_conf = crowd.settings(crowd.MEMORY_MB, crowd.MEMORY_FDS)

    def play(self, sends, pause=False):
        wrong = crowd.play(
            self.procs.procs["e1"], self.e1,
            lambda: crowd.Crowd(self.e1, crowd.MEMORY_CROWD, sends),
            self.ordinary,
            (crowd.MEMORY_MB, crowd.MEMORY_FDS - crowd.FILE_FDS), pause)
        self.assertEqual(wrong, [])

    def test_trailer_without_end(self):
        self.play(crowd.first_then(HEAD + CHUNKED + b"0\r\nX-Trailer: ", b"x",
                                   crowd.SEND_BYTES))

    def test_bodies_while_paused(self):
        self.play(crowd.first_then(HEAD + ANNOUNCED, b"x", crowd.SEND_BYTES),
                  pause=True)

    def test_requests_behind_one_that_is_open(self):
        self.play(crowd.repeat(REQUEST, crowd.SEND_BYTES))


if __name__ == "__main__":
    harness.main("__main__", sys.argv)
