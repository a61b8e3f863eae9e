#!/usr/bin/env python3
"""An entry daemon whose callers keep all its connections: they send requests
without end, or do not read the responses. Guards against other callers who
never get a connection, and against responses that take its memory."""
import itertools
import sys

import crowd
import harness
from proc_flood_entry import SmallPath

UNKNOWN = b"GET /none HTTP/1.1\r\nHost: routing\r\n\r\n"
LARGE = (b"GET /svc/routing/a?reply_bytes=524288 HTTP/1.1\r\n"
         b"Host: routing\r\n\r\n")


class Places(SmallPath):
    # The smaller memory is for the responses.
    more_conf = crowd.settings(crowd.MEMORY_MB, crowd.PLACES_FDS)

    def play(self, sends, read):
        wrong = crowd.play(
            self.procs.procs["e1"], self.e1,
            lambda: crowd.Crowd(self.e1, crowd.PLACES_CROWD, sends, read,
                                read),
            self.ordinary,
            (crowd.MEMORY_MB, crowd.PLACES_FDS - crowd.FILE_FDS))
        self.assertEqual(wrong, [])

    def test_responses_not_read(self):
        self.play(crowd.repeat(UNKNOWN, crowd.ENDLESS), read=False)

    def test_large_responses_not_read(self):
        self.play(lambda: itertools.repeat(LARGE, 64), read=False)

    def test_requests_without_end(self):
        self.play(crowd.repeat(UNKNOWN, crowd.ENDLESS), read=True)


if __name__ == "__main__":
    harness.main("__main__", sys.argv)
