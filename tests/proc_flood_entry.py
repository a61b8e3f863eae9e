#!/usr/bin/env python3
"""An entry daemon whose callers hold many unfinished or far too large bodies.
Guards against a daemon that runs out of memory or descriptors, or that no
longer answers other callers."""
import sys

import flood
import harness
import proc_path
from harness import call


class SmallPath(proc_path.Path):
    """Entry hosts with the settings lines more_conf."""
    more_conf = ""

    def start_entry(self, name):
        path = f"{self.procs.dir.name}/{name}.yaml"
        harness.write_node(path, name, self.entries, self.platform, 8)
        with open(path, "a", encoding="utf-8") as out:
            out.write(self.more_conf)
        self.procs.spawn(name, "gventryd", "--config", path,
                         addr=self.entries[name][1])

    def ordinary(self):
        a = call(self.e1, "POST", "/svc/routing/a", b"small")
        return a is not None and a.status == 200


class Flood(SmallPath):
    def setUp(self):
        self.more_conf = flood.settings(self.build, "gventryd")
        super().setUp()

    def test_flood(self):
        """Guards against memory and descriptors that grow with the number of
        unfinished bodies, and against callers who get no answer then."""
        self.assertTrue(self.ordinary())
        wrong = []
        for kind in flood.KINDS:
            wrong += flood.play(self.procs.procs["e1"], self.e1, kind,
                                b"POST /svc/routing/a HTTP/1.1\r\n"
                                b"Host: routing\r\n", self.ordinary)
        self.assertEqual(wrong, [])


if __name__ == "__main__":
    harness.main("__main__", sys.argv)
