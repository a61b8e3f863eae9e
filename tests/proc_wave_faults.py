"""Maintenance waves and moves with real processes under faults: holders of
claims that are killed or paused, targets that fail, operators whose commands
conflict, and load that moves in a spare host. Scenarios with callers check the
history of every request."""
import contextlib
import json
import signal
import sys
import threading
import time

from cluster import Callers, Cluster
from harness import is_ok, wait_until
from relay import Relay


def status(c, entry):
    """Returns an entry host's status, or None if it does not respond."""
    answer = c.entry(entry, "GET", "/v1/status")
    return json.loads(answer.text) if is_ok(answer) else None


def claim(c, entry, phase=None):
    """Returns the first maintenance claim, in that phase if one is given."""
    for row in (status(c, entry) or {"claims": []})["claims"]:
        if row["kind"] == "maintenance" and phase in (None, row["phase"]):
            return row
    return None


def wave(c, entry, name="w1"):
    """Returns a wave's row, one with an empty state if it is unknown."""
    rows = (status(c, entry) or {"waves": []})["waves"]
    return next((w for w in rows if w["name"] == name), {"state": ""})


def boot(c, host):
    """Returns a target's boot identifier, "" if it does not respond."""
    answer = c.target(host, "GET", "/health")
    if not is_ok(answer):
        return ""
    return dict(f.split("=") for f in answer.text.split())["boot"]


def start(c, name="w1", width=2):
    """Starts a wave on pool plan."""
    done = c.operator("wave", "start", name, "--pool", "plan", "--width",
                      str(width))
    assert done.returncode == 0, done.stdout + done.stderr


def in_service(c, entry):
    """Counts the hosts of pool plan that are not closed."""
    rows = status(c, entry)["targets"]
    return sum(r["pool"] == "plan" and not r["closed"] for r in rows)


def wait_in_service(c, check, seconds, what):
    """Like wait_until, but fails also if fewer than min_hosts hosts are in
    service meanwhile."""
    def checked():
        serving = in_service(c, "e1")
        assert serving >= c.min_hosts, f"only {serving} hosts in service"
        return check()
    return wait_until(checked, seconds, what)


def race(c, *commands):
    """Runs two conflicting commands at the same time; one must succeed and the
    other must be rejected."""
    done = []
    threads = [threading.Thread(
        target=lambda a=a: done.append(c.operator(*a))) for a in commands]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    codes = sorted(d.returncode for d in done)
    assert codes == [0, 4], [d.stdout + d.stderr for d in done]


def holder_killed(build):
    """Guards against a wave that never ends after the holder of a claim is
    killed, and against a stop of a target that interrupts a run which the
    killed holder had sent there."""
    with Cluster(build, hosts=2) as c, Callers(c, seed=21,
                                               run_ms=500) as callers:
        time.sleep(1)
        start(c)
        held = wait_until(lambda: claim(c, "e1"), 10, "a claim")
        c.kill(held["holder"])
        c.start_entry(held["holder"])
        wait_until(lambda: wave(c, "e2")["state"] == "done", 30, "wave ends")
        callers.verdict(least_run=50)


def holder_paused(build):
    """Guards against a second reboot of a host by a holder that is paused
    after `act`, removed by an operator although it still exists, replaced, and
    then resumes."""
    with contextlib.ExitStack() as stack:
        c = Cluster(build, entries=3, hosts=2)
        relays = {name: Relay(c.platform) for name in c.entries}
        for name, relay in relays.items():
            stack.callback(relay.stop)
            c.platform_via[name] = relay.addr
        stack.enter_context(c)
        old = {h: boot(c, h) for h in c.hosts}
        # Runs that were sent to the targets directly delay the reboot.
        for host in ("plan-dc1-1", "plan-dc1-2"):
            threading.Thread(target=c.target, args=(
                host, "POST", "/svc/plan/x?tag=direct&run_ms=4500")).start()
        start(c, width=1)
        held = wait_until(lambda: claim(c, "e1", "stopping"), 4, "act")
        host, holder = held["host"], held["holder"]
        c.signal(holder, signal.SIGSTOP)
        assert boot(c, host) == old[host], "paused too late"
        # The holder must resume with its old ledger: its reads of the log,
        # including the open one, get no response, and its peers, from which
        # it could get records, are paused. Its other calls get through.
        relays[holder].silence(b"GET /log/read")
        c.operate("entry", "remove", holder)
        other = next(e for e in c.entries if e != holder)
        wait_until(lambda: boot(c, host) not in ("", old[host]) and all(
            r["host"] != host for r in status(c, other)["claims"]), 15,
            "host is back in service")
        back = boot(c, host)
        with Callers(c, seed=22, run_ms=500) as callers:
            time.sleep(0.5)
            peers = [e for e in c.entries if e != holder]
            for peer in peers:
                c.signal(peer, signal.SIGSTOP)
            c.signal(holder, signal.SIGCONT)
            end = time.monotonic() + 4
            while time.monotonic() < end:
                assert boot(c, host) == back, "rebooted again"
                time.sleep(0.05)
            for peer in peers:
                c.signal(peer, signal.SIGCONT)
            # When it reads its removal in the log it must exit; only a new
            # incarnation may serve.
            relays[holder].silence(None)
            c.await_end(holder, 1, 20)
            c.start_entry(holder)
            c.wait_entry(holder)
            wait_until(lambda: wave(c, other)["state"] == "done", 15,
                       "wave ends")
            assert boot(c, host) == back, "rebooted again"
            callers.verdict(least_run=30)


def target_lost(build):
    """Guards against a wave that goes on although a target has not come back
    from its reboot, that can't be resumed then, or that takes the pool below
    min_hosts. Each host has a rack of its own, so that the rule for racks
    doesn't limit the wave."""
    with Cluster(build, hosts=3, min_hosts=2, reboot_ms=2500,
                 rack_hosts=1) as c:
        start(c)
        host = wait_until(lambda: claim(c, "e1", "stopping"), 10,
                          "act")["host"]
        wait_in_service(c, lambda: not boot(c, host), 10, "host reboots")
        c.target(host, "POST", "/control/fault?freeze=1")
        end = time.monotonic() + 4
        wait_in_service(c, lambda: time.monotonic() > end, 5,
                        "reboot time is over")
        assert len(status(c, "e1")["claims"]) == 1, "the wave went on"
        c.set_host(host, state="gone")
        wait_in_service(c, lambda: wave(c, "e1")["state"] == "halted", 10,
                        "halt")
        c.target(host, "POST", "/control/fault?reset=1")
        c.set_host(host, rack="dc1-r9")
        wait_in_service(c, lambda: in_service(c, "e1") == 3, 10,
                        "host is back")
        assert c.operator("wave", "resume", "w1").returncode == 0
        wait_in_service(c, lambda: wave(c, "e1")["state"] == "done", 30,
                        "wave ends")


def target_fails(build):
    """Guards against a wave that goes on after a target with a claim has
    failed, or that takes the pool below min_hosts."""
    with Cluster(build, hosts=3, min_hosts=2) as c:
        c.publish(c.settings().replace("max_ms: 8000", "max_ms: 20000"))
        # Runs on all hosts, so that the claim is confirmed only after the
        # failure is reported.
        threads = [threading.Thread(target=c.entry, args=(
            f"e{i % 2 + 1}", "GET", "/svc/plan/x?tag=long&run_ms=13000",
            {"Gv-Deadline-Ms": "15000"}, None, 20)) for i in range(12)]
        for t in threads:
            t.start()
        time.sleep(0.5)
        start(c)
        host = wait_until(lambda: claim(c, "e1", "granted"), 5,
                          "claim")["host"]
        c.target(host, "POST", "/control/fault?freeze=1")
        wait_in_service(c, lambda: wave(c, "e1")["state"] == "halted", 12,
                        "halt")
        wait_in_service(c, lambda: not claim(c, "e1"), 5, "claim is cancelled")
        c.target(host, "POST", "/control/fault?reset=1")
        for t in threads:
            t.join()
        assert c.operator("wave", "resume", "w1").returncode == 0
        wait_in_service(c, lambda: wave(c, "e1")["state"] == "done", 20,
                        "wave ends")
        assert not any(run.cut for run in c.runs()), "a request was cut"


def target_frozen(build):
    """Guards against a reboot of a target that stopped responding before
    `act`: the wave must halt instead."""
    with Cluster(build, hosts=2) as c:
        c.signal("e2", signal.SIGSTOP)
        start(c)
        held = wait_until(lambda: claim(c, "e1"), 10, "a claim")
        old = boot(c, held["host"])
        c.target(held["host"], "POST", "/control/fault?freeze=1")
        c.signal("e2", signal.SIGCONT)
        wait_until(lambda: wave(c, "e1")["state"] == "halted", 15, "halt")
        wait_until(lambda: not claim(c, "e1"), 5, "claim is cancelled")
        c.target(held["host"], "POST", "/control/fault?reset=1")
        assert boot(c, held["host"]) == old, "stopped a failed target"


def waves_race(build):
    """Guards against two waves on one pool, and against success reported to
    both of two operators whose changes of a wave conflict."""
    with Cluster(build) as c:
        race(c, ["wave", "start", "w1", "--pool", "plan", "--width", "1"],
             ["wave", "start", "w2", "--pool", "plan", "--width", "1"])
        name = status(c, "e1")["waves"][0]["name"]
        race(c, ["wave", "stop", name], ["wave", "resume", name])
        assert wave(c, "e1", name)["state"] == "done"
        start(c, "w3")
        race(c, ["wave", "stop", "w3"], ["wave", "stop", "w3"])


def spare_moves(build):
    """Guards against high load that doesn't move a spare host in, and against
    a move that interrupts a request."""
    with Cluster(build, hosts=3) as c:
        docs = c.settings().split("---\n")
        docs[1] += "spare: spare\n"
        docs[3] += "is_spare: true\n"
        c.publish("---\n".join(docs))
        with Callers(c, seed=24, threads=40, run_ms=250) as callers:
            wait_until(lambda: in_service(c, "e1") > 3, 15, "a host moves in")
            time.sleep(1)
        callers.verdict(least_run=100)


SCENARIOS = [holder_killed, holder_paused, target_lost, target_fails,
             target_frozen, waves_race, spare_moves]


def main():
    build, only = sys.argv[1], sys.argv[2:]
    failed = 0
    for scenario in SCENARIOS:
        if only and scenario.__name__ not in only:
            continue
        began = time.monotonic()
        try:
            scenario(build)
        except AssertionError as wrong:
            failed += 1
            print(f"FAILED {scenario.__name__}: {wrong}", flush=True)
        print(f"{scenario.__name__}: {time.monotonic() - began:.1f} s",
              flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
