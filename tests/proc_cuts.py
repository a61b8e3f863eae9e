"""Data centres that are cut off, with real processes. There is one scenario
for each row of the table "When something fails" in docs/OPERATORS.md that
proc_faults.py does not cover."""
import json
import signal
import sys
import threading
import time

from cluster import Callers, Cluster
from cuts import Cuts
from harness import is_ok, run_threads, wait_until

FORCE_S = 13  # bound until accepted settings are in force everywhere
LEAVE_S = 5  # after this time a leaving target must get no new work


def status(c, entry):
    """Returns an entry host's status, or None if it does not respond."""
    answer = c.entry(entry, "GET", "/v1/status")
    return json.loads(answer.text) if is_ok(answer) else None


def version(c, entry):
    """Returns an entry host's settings version, -1 without a status."""
    return (status(c, entry) or {"settings_version": -1})["settings_version"]


def metric(c, entry, name):
    text = c.entry(entry, "GET", "/metrics").text
    return next(float(line.split()[-1]) for line in text.splitlines()
                if line.startswith(f"gypsumvalve_{name} "))


def starts(c, tag):
    """Counts the starts of requests whose tags begin with tag, by data
    centre."""
    found = dict.fromkeys(c.dcs, 0)
    for host, (dc, _, _) in c.hosts.items():
        for line in c.target(host, "GET", "/history").text.splitlines():
            word = line.split()
            found[dc] += word[0] == "start" and word[4].startswith(tag)
    return found


def post(c, entry, tag, run_ms=1, **headers):
    """Submits one non-idempotent request. Returns its outcome, "broken" if
    the connection broke."""
    headers = {k.replace("_", "-"): v for k, v in headers.items()}
    answer = c.entry(entry, "POST", f"/svc/plan/x?tag={tag}&run_ms={run_ms}",
                     {"Gv-Deadline-Ms": "8000", **headers}, "b", timeout=12)
    return answer.headers.get("Gv-Outcome") if answer else "broken"


def flood(c, entry, tag, count, run_ms=700):
    """Submits requests at the same time; returns their outcomes."""
    out = []
    run_threads(lambda i: out.append(
        post(c, entry, f"{tag}-{i}.", run_ms)), range(count))
    return out


def rows(c, entry, kind):
    """Returns a list of an entry host's status, empty without a status."""
    return (status(c, entry) or {kind: []})[kind]


def alive(c, entry):
    """Counts the other entry hosts from which this one gets heartbeats."""
    return sum(m["alive"] for m in rows(c, entry, "members")
               if m["name"] != entry)


def wave(c, entry):
    """Returns the state of the first wave, "" if there is none."""
    return next((w["state"] for w in rows(c, entry, "waves")), "")


def rebooted(c, dc):
    """Returns how many plan hosts of the data centre have rebooted."""
    boots = [c.target(h, "GET", "/health") for h, (at, pool, _) in
             c.hosts.items() if at == dc and pool == "plan"]
    return sum(bool(b) and b.status == 200 and "-0 " not in b.text
               for b in boots)


def short_work(c):
    """Sets a limit for short work above the run times used here: long work
    may not use all slots. Waits until this is in force everywhere."""
    c.publish(c.settings().replace("short_ms: 300", "short_ms: 8000"))
    for entry in c.entries:
        wait_until(lambda e=entry: version(c, e) == version(c, "e1"),
                   FORCE_S, "settings in force")


def spill(build):
    """Guards against a full pool that does not spill to other data centres,
    against a request that is spilled a second time, and against outcomes that
    contradict the runs when the pool is full during a cut."""
    with Cuts(build, dcs=3, entries=1, hosts=1, services=("plan",),
              min_hosts=0) as cuts:
        c = cuts.cluster
        short_work(c)
        for n in range(4):
            # This fills slots and queue of dc2, usually before its next
            # heartbeat reports that to dc1. All these requests have a place
            # in dc2, so that it has no reason to spill one.
            own = threading.Thread(target=flood, args=(c, "e2", f"own{n}", 16))
            own.start()
            wait_until(lambda: (status(c, "e2") or {"in_progress": 0})
                       ["in_progress"] == 16, 10, "dc2 is full")
            flood(c, "e1", f"far{n}", 26)
            own.join()
        far = starts(c, "far")
        assert far["dc2"] + far["dc3"], f"no spill: {far}"
        assert sum(far.values()) <= 4 * 26, f"a request ran twice: {far}"
        assert metric(c, "e2", "spilled_total") == 0, "spilled a second time"
        cuts.cut("dc1", platform=False)
        wait_until(lambda: alive(c, "e1") == 0, 10, "dc1 sees the cut")
        outcomes = flood(c, "e1", "cut", 26)
        cut = starts(c, "cut")
        assert cut["dc2"] + cut["dc3"] == 0, f"{cut} across the cut"
        assert 8 <= outcomes.count("run") <= cut["dc1"] <= \
            26 - outcomes.count("not-run"), f"{cut}, told {outcomes}"
        cuts.heal()
        wait_until(lambda: alive(c, "e1") == 2, 15, "dc1 sees its peers")
        flood(c, "e1", "back", 26)
        assert starts(c, "back")["dc1"] < 26, "no spill after the cut"


def foreign_ticket(build):
    """Guards against a ticket that runs twice, or gets not-run after it ran,
    when it is submitted on both sides of a cut, with and without the
    platform."""
    with Cuts(build, dcs=2, entries=1, hosts=1) as cuts:
        c = cuts.cluster
        for platform in (False, True):
            tickets = {tag: c.entry("e1", "POST", "/v1/tickets").text.strip()
                       for tag in (f"used-{platform}", f"fresh-{platform}")}
            used, fresh = tickets
            cuts.cut("dc1", platform=platform)
            assert post(c, "e1", used, Gv_Ticket=tickets[used]) == "run"
            for tag, ticket in tickets.items():
                outcome = post(c, "e2", tag, Gv_Ticket=ticket)
                assert outcome == "unknown", f"{tag}: {outcome}"
            assert sum(starts(c, fresh).values()) == 0, f"{fresh} ran"
            cuts.heal()
            for tag, ticket in tickets.items():
                wait_until(lambda t=ticket, g=tag: post(
                    c, "e2", g, Gv_Ticket=t) == "run", 15, f"{tag} is run")
                assert starts(c, tag) == {"dc1": 1, "dc2": 0}, tag


def outage(build):
    """Guards against keys that run without a claim while the log is down,
    against an operator command that reports success then, and against an entry
    host that sends to targets before its own join is applied."""
    with Cluster(build) as c:
        assert post(c, "e1", "old", Idempotency_Key="old") == "run"
        before = version(c, "e1")
        c.fault(outage="refuse")
        # A claim that never reached the log leaves open whether an earlier
        # submission ran, so "unknown" is the answer, not "not-run".
        assert post(c, "e1", "new", Idempotency_Key="new") == "unknown"
        assert sum(starts(c, "new").values()) == 0, "ran without a claim"
        assert post(c, "e2", "old", Idempotency_Key="old") == "run"
        for command in (("drain", "plan-dc1-1"),
                        ("move", "plan-dc1-1", "--to", "spare"),
                        ("wave", "start", "w1", "--pool", "plan", "--width",
                         "1"), ("publish", f"{c.dir.name}/settings")):
            done = c.operator(*command, "--timeout", "1")
            assert done.returncode in (5, 6), f"{command}: {done}"
        assert c.operator("status").returncode == 0, "status of an entry host"
        c.kill("e2")
        c.start_entry("e2")
        c.wait_serving("e2")
        assert post(c, "e2", "joining") == "run"
        assert metric(c, "e2", "attempts_total") == 0, \
            "sent to targets before its join was applied"
        c.fault(reset=1)
        wait_until(lambda: post(c, "e1", "new", Idempotency_Key="new") ==
                   "run", 15, "the key runs after the outage")
        for tag in ("old", "new", "joining"):
            assert starts(c, tag) == {"dc1": 1}, tag
        assert version(c, "e1") == before and not rows(c, "e1", "claims")
        c.operate("drain", "plan-dc1-1")


def cut_off_site(build):
    """Guards against new work for a leaving target in a data centre that is
    cut off from platform and peers, and against settings published during the
    cut that are late or lost after it."""
    with Cuts(build, dcs=2, hosts=3) as cuts, \
            Callers(cuts.cluster, seed=35) as callers:
        c = cuts.cluster
        cuts.cut("dc1")
        old = version(c, "e1")
        c.publish(c.settings().replace("max_requests: 200",
                                       "max_requests: 201"))
        wait_until(lambda: version(c, "e3") > old, FORCE_S, "in force in dc2")
        c.target("plan-dc1-1", "POST", "/control/leave")
        time.sleep(LEAVE_S)

        def offered():
            """Counts the requests that the target has started or refused."""
            text = c.target("plan-dc1-1", "GET", "/history").text
            return text.count("start ") + text.count("refuse ")

        before = offered()
        others = callers_run(callers)
        wait_until(lambda: callers_run(callers) > others + 50, 30,
                   "requests run during the cut")
        assert offered() == before, "work is offered to a leaving target"
        assert version(c, "e1") == version(c, "e2") == old
        cuts.heal()
        new = version(c, "e3")
        wait_until(lambda: all(version(c, e) == new for e in c.entries),
                   FORCE_S, "settings in force after the cut")
        callers.verdict(least_run=100)


def callers_run(callers):
    """Counts the submissions that have run so far."""
    return sum(submission.outcome == "run"
               for submission in list(callers.calls))


def two_cuts(build):
    """Guards against data centres that stop serving, or run work twice, when
    two are cut off from all others and the platform at once."""
    with Cuts(build, dcs=3, entries=1, hosts=2) as cuts, \
            Callers(cuts.cluster, seed=37) as callers:
        c = cuts.cluster
        for dc in ("dc1", "dc2"):
            cuts.cut(dc)
        c.publish(c.settings().replace("max_requests: 200",
                                       "max_requests: 202"))
        for n, entry in enumerate(c.entries):
            wait_until(lambda e=entry: post(c, e, "ping") == "run", 10,
                       f"{entry} serves")
        time.sleep(4)  # longer than GV_PEER_DEAD_MS
        for entry in c.entries:
            assert post(c, entry, "ping") == "run", f"{entry} cut off"
        cuts.cut("dc1", off=False)
        cuts.cut("dc2")
        wait_until(lambda: version(c, "e1") == version(c, "e3"), FORCE_S,
                   "settings in force in dc1")
        assert version(c, "e2") < version(c, "e3")
        cuts.heal()
        wait_until(lambda: version(c, "e2") == version(c, "e3"), FORCE_S,
                   "settings in force in dc2")
        callers.verdict(least_run=100)


def without_log(build):
    """Guards against a data centre that is cut off from the platform only and
    then doesn't get new settings from its peers, or stops serving."""
    with Cuts(build, dcs=2, entries=1, hosts=1) as cuts:
        c = cuts.cluster
        cuts.cut("dc1", peers=False)
        assert post(c, "e1", "key", Idempotency_Key="key") == "unknown"
        assert sum(starts(c, "key").values()) == 0, "ran without a claim"
        old = version(c, "e1")
        c.publish(c.settings().replace("max_requests: 200",
                                       "max_requests: 203"))
        wait_until(lambda: version(c, "e1") > old, FORCE_S,
                   "settings in force by way of dc2")
        assert post(c, "e1", "plain") == "run"


def wave_goes_on(build):
    """Guards against a wave that makes no progress while the first data
    centre is cut off, and against claims in two data centres at once."""
    with Cuts(build, dcs=2, hosts=2, services=("plan",)) as cuts, \
            Callers(cuts.cluster, seed=39, threads=3) as callers:
        c = cuts.cluster
        cuts.cut("dc1")
        c.operate("wave", "start", "w1", "--pool", "plan", "--width", "2")
        wait_until(lambda: rebooted(c, "dc2") == 2, 40, "dc2 is maintained")
        assert rebooted(c, "dc1") == 0
        cuts.heal()

        def done():
            at = {r["host"].split("-")[1] for r in rows(c, "e3", "claims")}
            assert len(at) < 2, "claims in two data centres"
            return wave(c, "e3") == "done"

        wait_until(done, 40, "wave ends after the cut")
        assert rebooted(c, "dc1") == rebooted(c, "dc2") == 2
        callers.verdict(least_run=50)


def wave_waits(build):
    """Guards against a wave that goes on to a second data centre while the
    first one is cut off with a claim and may be rebooting the host."""
    with Cuts(build, dcs=2, hosts=4, services=("plan",)) as cuts:
        c = cuts.cluster
        c.operate("wave", "start", "w1", "--pool", "plan", "--width", "2")
        # A wave has only one claim until its first host is back.
        wait_until(lambda: rows(c, "e3", "waves")[0]["healthy"], 15,
                   "the first host is back")
        c.signal("e2", signal.SIGSTOP)  # it confirms no further claim
        time.sleep(1)  # until records that it has sent are applied
        wait_until(lambda: [r for r in rows(c, "e3", "claims")
                            if r["waiting"] or r["holder"] == "e2"], 15,
                   "a claim that needs e2")
        cuts.cut("dc1")
        before = [r["host"] for r in rows(c, "e3", "claims")]
        assert {h.split("-")[1] for h in before} == {"dc1"}, \
            f"claims on {before}"
        c.signal("e2", signal.SIGCONT)
        end = time.monotonic() + 9  # longer than GV_WAVE_TURN_MS
        while time.monotonic() < end:
            held = [r["host"] for r in rows(c, "e3", "claims")]
            assert held == before, f"claims on {held}, before: {before}"
            time.sleep(0.1)
        cuts.heal()
        wait_until(lambda: wave(c, "e3") == "done", 40, "wave ends")
        assert rebooted(c, "dc1") == rebooted(c, "dc2") == 4


def lost_site(build):
    """Guards against a wave that can't continue after a data centre is lost
    for good, its entry hosts are removed and its hosts are listed as gone."""
    with Cuts(build, dcs=2, hosts=2, services=("plan",)) as cuts:
        c = cuts.cluster
        c.signal("e2", signal.SIGSTOP)  # it confirms no claim
        c.operate("wave", "start", "w1", "--pool", "plan", "--width", "1")
        wait_until(lambda: [r for r in rows(c, "e3", "claims")
                            if r["host"].startswith("plan-dc1")], 15,
                   "a claim in dc1")
        for name in ("e1", "e2", "targets-dc1"):
            c.kill(name)
        for name in ("e1", "e2"):
            c.operate("entry", "remove", name)
        for host, (dc, _, _) in c.hosts.items():
            if dc == "dc1":
                c.set_host(host, state="gone")
        wait_until(lambda: wave(c, "e3") == "halted", 15, "claim has ended")
        c.operate("wave", "resume", "w1")
        wait_until(lambda: wave(c, "e3") == "done", 40, "wave ends")
        assert rebooted(c, "dc2") == 2


SCENARIOS = [spill, foreign_ticket, outage, cut_off_site, two_cuts,
             without_log, wave_goes_on, wave_waits, lost_site]


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
