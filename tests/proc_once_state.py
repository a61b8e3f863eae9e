#!/usr/bin/python3
"""Property test: random operations on the at-most-once table are compared with
a simple model.

Guards against a ticket or key that is started twice although the earlier run
did not end as not-run, a refusal as not run (expired, invalid, full) after a
run, a stored outcome that changes, and waiters that are lost or get two
responses. The table runs in build/tests/script, which reads a command a line.
"""
import subprocess
import sys

from hypothesis import settings, strategies as st
from hypothesis.stateful import (RuleBasedStateMachine, initialize,
                                 precondition, rule, run_state_machine_as_test)

GRACE_MS = 60_000
TABLE = subprocess.Popen([sys.argv[1] + "/tests/script"], text=True,
                         stdin=subprocess.PIPE, stdout=subprocess.PIPE)


class Run:
    """The model of one ticket or of one claim of a key. begin: the command
    that submits it; ident: the ticket or key; expires: expiry in ms."""

    def __init__(self, begin, ident, expires, incarnation):
        self.begin, self.ident, self.expires = begin, ident, expires
        self.incarnation = incarnation
        self.running = False
        self.done = None  # run or unknown once it has ended so
        self.forgotten = False
        self.waiters = []


class Once(RuleBasedStateMachine):
    @initialize()
    def setup(self):
        self.incarnation = 1
        self.now = self.latest = 1_000_000
        self.sequence = self.waiter = 0
        self.runs, self.claims = [], {}
        self.restart()

    def command(self, line, silent=False):
        """Sends a command to the table and returns the line that it prints.
        silent: the command prints none."""
        TABLE.stdin.write(line + "\n")
        TABLE.stdin.flush()
        return None if silent else TABLE.stdout.readline().strip()

    @rule()
    def restart(self):
        self.incarnation += 1
        self.latest = 0
        for r in self.runs:
            r.running, r.waiters = False, []
        self.command(f"once e1 {self.incarnation}", silent=True)

    @rule(ms=st.sampled_from([1, 900, 5_000, GRACE_MS, 70_000, -20_000]))
    def pass_time(self, ms):
        self.now += ms

    @rule(ttl=st.sampled_from([1, 1_000, 30_000]))
    def issue(self, ttl):
        self.sequence += 1
        text = self.command(f"once-issue {self.sequence} {self.now} {ttl}")
        self.latest = max(self.latest, self.now)
        expires = self.latest + ttl
        assert text == f"e1.{self.incarnation:x}.{self.sequence}.{expires}"
        self.runs.append(Run("once-ticket " + text, text, expires,
                             self.incarnation))

    @rule(key=st.sampled_from(["svc/a", "svc/b"]))
    def submit_key(self, key):
        """The ledger renews a claim of a key after its expiry. A renewed claim
        continues the run of the old one unless a sweep has removed it."""
        r = self.claims.get(key)
        if r is None or r.incarnation != self.incarnation:
            r = self.claims[key] = Run(key, key, 0, self.incarnation)
            self.runs.append(r)
        if max(self.now, self.latest) > r.expires:
            r.expires = max(self.now, self.latest) + 30_000
            r.begin = f"once-key {key} {r.expires}"
            if r.forgotten:
                r.done, r.forgotten = None, False
        self.submit(r)

    @precondition(lambda self: self.runs)
    @rule(data=st.data())
    def submit_again(self, data):
        r = data.draw(st.sampled_from(self.runs))
        # Keys of an earlier incarnation are refused before they reach the
        # table.
        if r.ident not in self.claims or r.incarnation == self.incarnation:
            self.submit(r)

    def submit(self, r):
        """Submits r and checks the table's result against the model."""
        self.waiter += 1
        got = self.command(f"{r.begin} {self.now} {self.waiter}").split()
        self.latest = max(self.latest, self.now)
        current = r.incarnation == self.incarnation
        if got[0] == "start":
            assert current and not r.running and r.done is None
            assert self.latest <= r.expires
            r.running = True
        elif got[0] == "wait":
            assert r.running
            r.waiters.append(self.waiter)
        elif got[0] == "answer":
            assert r.done == got[1]
        elif got[0] == "unknown":
            assert not current or self.latest > r.expires
        else:
            assert got[0] in ("expired", "invalid")
            assert current and not r.running and r.done is None
            assert self.latest > r.expires
        if current and r.running:
            assert got[0] in ("start", "wait")
        elif current and r.done and not r.forgotten:
            assert got[0] == "answer"
        elif current and not r.done and self.latest <= r.expires:
            assert got[0] == "start"

    @precondition(lambda self: any(r.running for r in self.runs))
    @rule(data=st.data(),
          outcome=st.sampled_from(["run", "not-run", "unknown"]))
    def finish(self, data, outcome):
        r = data.draw(st.sampled_from([r for r in self.runs if r.running]))
        got = self.command(f"once-finish {r.ident} {outcome} 200 3 {self.now}")
        self.latest = max(self.latest, self.now)
        want = [str(w) for w in r.waiters]
        assert got.split() == [str(len(want)), "waiters:"] + want
        r.running, r.waiters = False, []
        r.done = None if outcome == "not-run" else outcome

    @precondition(lambda self: any(r.waiters for r in self.runs))
    @rule(data=st.data())
    def leave(self, data):
        r = data.draw(st.sampled_from([r for r in self.runs if r.waiters]))
        w = data.draw(st.sampled_from(r.waiters))
        assert self.command(f"once-leave {r.ident} {w}") == "left"
        r.waiters.remove(w)

    @rule()
    def sweep(self):
        self.command(f"once-sweep {self.now}")
        self.latest = max(self.latest, self.now)
        for r in self.runs:
            r.forgotten |= not r.running and \
                r.expires + GRACE_MS < self.latest


run_state_machine_as_test(Once, settings=settings(
    derandomize=True, database=None, deadline=None, max_examples=150,
    stateful_step_count=40))
TABLE.stdin.close()
sys.exit(TABLE.wait())
