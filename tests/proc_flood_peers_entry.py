#!/usr/bin/env python3
"""An entry daemon to whose peer address strangers connect: they send nothing,
half a frame that announces much, or a HELLO and then such a frame. Guards
against memory that grows with their number, and against callers or peers who
get no answer then."""
import itertools
import struct
import sys

import crowd
import harness
from harness import pack
from proc_flood_entry import SmallPath

numbers = itertools.count()
HALF_FRAME = struct.pack(">I", 2 * 1024 * 1024) + b"x" * (1024 * 1024)


HELLO = 1  # kind of message


def greeting():
    """Returns a HELLO of a peer that is not configured, in a frame."""
    hello = pack([1, HELLO, 0, 0, [f"stranger-{next(numbers)}", "k1", "r1",
                                   1]])
    return struct.pack(">I", len(hello)) + hello


class Peers(SmallPath):
    more_conf = crowd.settings(crowd.PLACES_MB, crowd.PLACES_FDS)

    def play(self, sent, first=lambda: b""):
        wrong = crowd.play(
            self.procs.procs["e1"], self.entries["e1"][2],
            lambda: crowd.Crowd(self.entries["e1"][2], crowd.PEER_CROWD,
                                lambda: iter([first() + sent]), True, True),
            self.ordinary,
            (crowd.PLACES_MB, crowd.PLACES_FDS - crowd.FILE_FDS))
        self.assertEqual(wrong, [])

    def test_silent_peers(self):
        self.play(b"\0")

    def test_half_frames(self):
        self.play(HALF_FRAME)

    def test_half_frames_after_hello(self):
        self.play(HALF_FRAME, greeting)


if __name__ == "__main__":
    harness.main("__main__", sys.argv)
