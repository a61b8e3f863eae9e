#!/usr/bin/env python3
"""An entry daemon to whose peer address strangers connect: they send nothing,
half a frame that announces much, or a greeting and then such a frame. Guards
against memory that grows with their number, and against callers or peers who
get no answer then."""
import itertools
import struct
import sys

import crowd
import harness
from proc_flood_entry import SmallPath

HALF_FRAME = struct.pack(">I", 2 * 1024 * 1024) + b"x" * (1024 * 1024)


class Peers(SmallPath):
    more_conf = crowd.settings(crowd.PLACES_MB, crowd.PLACES_FDS)

    def play(self, sent):
        wrong = crowd.play(
            self.procs.procs["e1"], self.entries["e1"][2],
            lambda: crowd.Crowd(self.entries["e1"][2], crowd.PEER_CROWD,
                                lambda: itertools.repeat(sent, 1), True, True),
            self.ordinary,
            (crowd.PLACES_MB, crowd.PLACES_FDS - crowd.FILE_FDS))
        self.assertEqual(wrong, [])

    def test_silent_peers(self):
        self.play(b"\0")

    def test_half_frames(self):
        self.play(HALF_FRAME)


if __name__ == "__main__":
    harness.main("__main__", sys.argv)
