#!/usr/bin/env python3
"""A scheduler daemon whose callers hold many unfinished or far too large
bodies. Guards against a daemon that runs out of memory or descriptors, or that
no longer answers other callers."""
import itertools
import sys

import flood
from harness import call, pack
from proc_jobs import HOST, Fleet, all_done


PAGE_BYTES = 262144
MAX_BYTES = 1024 * 1024


class SmallFleet(Fleet):
    n_hosts = 1


def answers(fleet):
    """Returns a function that submits a new job and returns true if it was
    accepted and done."""
    numbers = itertools.count(1)

    def ordinary():
        try:
            job, status = fleet.submit("host-0", next(numbers), count=1,
                                       steps=1)
            if status == 200:
                all_done(fleet, "host-0", [job], 10)
        except AttributeError:  # no response
            return False
        return status == 200
    return ordinary


def size_limits(fleet):
    """Returns what is wrong with bodies of the size that the users' pages
    allow, and of one over the limit, announced or in chunks. Guards against
    the latter being read as a job without the parts that did not fit."""
    job = pack({"spec": "s", "steps": [
        {"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 300}]})
    wrong = []
    cases = [(PAGE_BYTES, b"", 200), (MAX_BYTES + 1, job, 413)]
    for n, (size, first, status) in enumerate(cases):
        fill = {"spec": "s", "fill": "", "steps": [
            {"count": 1, "cpu": 500, "memMb": 10, "estimateMs": 300}]}
        fill["fill"] = "x" * (size - len(pack(fill)))
        body = (first + b"x" * (size - len(first)) if first else pack(fill))
        assert len(body) == size
        for k, sent in enumerate((body, flood.pieces(body))):
            path = f"/q/{0xf000 + 2 * n + k:016x}"
            answer = call(fleet.fronts["host-0"], "POST", path, sent,
                          {"Host": HOST})
            got = answer and answer.status
            if got != status:
                wrong.append(f"{size} bytes, chunked {k}: {got}")
            shown = call(fleet.fronts["host-0"], "GET", path,
                         headers={"Host": HOST})
            if (shown.status == 200) != (status == 200):
                wrong.append(f"{size} bytes, chunked {k}: job {shown.status}")
    return wrong


def main(build):
    SmallFleet.more_conf = flood.settings(build, "gvschedd")
    fleet = SmallFleet(build)
    wrong = []
    try:
        front = fleet.fronts["host-0"]
        proc = fleet.procs.procs["host-0"]
        ordinary = answers(fleet)
        head = (b"POST /q/00000000000000ff HTTP/1.1\r\nHost: %s\r\n"
                % HOST.encode())

        assert ordinary(), "no answer in calm"
        wrong += size_limits(fleet)
        for kind in flood.KINDS:
            wrong += flood.play(proc, front, kind, head, ordinary)
    finally:
        fleet.close()
    print("\n".join(wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
