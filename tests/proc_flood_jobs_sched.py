#!/usr/bin/env python3
"""A scheduler daemon whose callers submit many complete jobs that cost it more
than their bodies: of many tasks, or with long texts. Guards against a daemon
that keeps them until its memory ends, and against an ordinary job that is
refused beside them."""
import sys

import crowd
import flood
from harness import call, pack
from proc_flood_sched import SmallFleet, answers
from proc_jobs import HOST

JOBS = 400
STEP = {"cpu": 1000000, "memMb": 10, "estimateMs": 300}  # fits no target
CASES = {
    "jobs of many tasks": {"count": 4096, **STEP},
    "jobs with long texts": {"count": 1, "image": "x" * 200000, **STEP},
}


def submit(fleet, n, step):
    answer = call(fleet.fronts["host-0"], "POST", f"/q/{0xa000 + n:016x}",
                  pack({"spec": "s", "steps": [step]}), {"Host": HOST})
    return answer.status if answer else None


def main(build):
    SmallFleet.more_conf = crowd.settings(crowd.MEMORY_MB, crowd.MEMORY_FDS)
    wrong = []
    for name, step in CASES.items():
        fleet = SmallFleet(build)
        try:
            proc = fleet.procs.procs["host-0"]
            flood.reset_peak(proc.pid)
            told = [submit(fleet, n, step) for n in range(JOBS)]
            answered = crowd.is_answered(answers(fleet))
            lives = proc.poll() is None
            mb = flood.peak_mb(proc.pid) if lives else 0
            print(f"{name}: {mb} MB, {told.count(200)} of {JOBS} accepted, "
                  f"answered {answered}")
            if not lives or not answered or (mb > crowd.MEMORY_MB and
                                             flood.is_plain(proc)):
                wrong.append(f"{name}: lives {lives}, {mb} MB, bound "
                             f"{crowd.MEMORY_MB}, answered {answered}")
            if set(told) - {200, 503}:
                wrong.append(f"{name}: {set(told)}")
        finally:
            fleet.close()
    print("\n".join(wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
