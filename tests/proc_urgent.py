#!/usr/bin/env python3
"""Urgent requests with real processes, while long work of one team occupies
all slots of a pool and ordinary work of two teams is queued."""
import json
import sys
import threading
import time

from cluster import SERVICE, Cluster
from harness import is_ok, wait_until

URGENT_START_MS = 2900  # longest wait of urgent work; docs/design.md, 1.6
LONG_MS, SHORT_MS = 1500, 500
SLOTS, ORDINARY, URGENT = 16, 160, 8
# Of the first COUNTED starts of ordinary work, during which both teams have
# queued requests, CREWS are the share of crews (60 percent of the quota), give
# or take SPREAD.
COUNTED, CREWS, SPREAD = 80, 48, 8


def starts(c):
    """Returns (start in ms of the monotonic clock, tag) by time."""
    lines = [line.split(" ") for host in c.hosts
             for line in c.target(host, "GET", "/history").text.splitlines()]
    return sorted((int(word[5]), word[4]) for word in lines
                  if word[0] == "start")


def queued(c):
    """Counts the requests queued at the entry hosts."""
    return sum(json.loads(c.entry(name, "GET", "/v1/status").text)
               ["services"][0]["queued"] for name in c.entries)


def urgent_first(c):
    """Guards against urgent work that waits for ordinary work queued before
    it, and against shares of the teams that then differ from their quotas."""
    calls, answers, sent = [], [], {}

    def send(kind, n, run_ms, **headers):
        tag = f"{kind}-{n}"
        sent[tag] = time.monotonic() * 1000

        def submit():
            answers.append(c.entry(
                f"e{n % 2 + 1}", "POST",
                f"/svc/plan/work?tag={tag}&run_ms={run_ms}",
                {"Gv-Deadline-Ms": "30000", "Gv-Work": kind, **headers},
                timeout=40))
        calls.append(threading.Thread(target=submit))
        calls[-1].start()

    def running():
        return [tag for _, tag in starts(c) if tag.startswith("long")]

    for n in range(SLOTS):
        send("long", n, LONG_MS, **{"Gv-Team": "crews"})
    wait_until(lambda: len(running()) == SLOTS, 10, "the targets are full")
    for n in range(ORDINARY):
        team = "crews" if n % 4 < 2 else "office"
        send(team, n, SHORT_MS, **{"Gv-Team": team})
    wait_until(lambda: queued(c) > ORDINARY / 2, 10, "ordinary work waits")
    for n in range(URGENT):
        send("urgent", n, SHORT_MS,
             **{"Gv-Team": "office", "Gv-Class": "urgent"})
    for thread in calls:
        thread.join()
    assert all(map(is_ok, answers)), "a request was not served"
    begun = starts(c)
    worst = max(at - sent[tag] for at, tag in begun
                if tag.startswith("urgent"))
    teams = [tag.split("-")[0] for _, tag in begun]
    counted = [t for t in teams if t in ("crews", "office")][:COUNTED]
    crews = counted.count("crews")
    print(f"  urgent start {worst:.0f} ms at worst; {crews} of {COUNTED} "
          "starts for crews")
    assert worst <= URGENT_START_MS, \
        f"an urgent request started after {worst:.0f} ms"
    assert abs(crews - CREWS) <= SPREAD, \
        f"crews got {crews} of {COUNTED} starts with 60 percent of the quota"


def main():
    text = SERVICE.format("plan", 1, 1).replace(
        "max_ms: 8000", "max_ms: 60000").replace(
        "short_ms: 300", "short_ms: 1000")
    try:
        with Cluster(sys.argv[1], hosts=2, services=("plan",)) as c:
            c.publish(text)
            urgent_first(c)
    except AssertionError as wrong:
        print(f"FAILED urgent_first: {wrong}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
