"""Tests the history checker. Guards against a kind of violation that it does
not find, so that the fault tests would pass in spite of it, and against a
violation reported for a correct history."""
import sys

from history import Call, check, parse_history, unlisted

START = "start {0} POST /plan {1} 5\n"


def call(outcome="run", answer="ok b", idempotent=False, status=200):
    return Call("t1", idempotent, "b", outcome, status, answer)


def main():
    once = parse_history(START.format("a1", "t1") + "finish a1\n")
    twice = parse_history(START.format("a1", "t1") + START.format("a2", "t1")
                          + "finish a1\nfinish a2\n")
    crossed = parse_history(START.format("a1", "t1") + START.format("a1", "t1")
                            + "finish a1\n")
    cut = parse_history(START.format("a1", "t1") + "cut a1\n")
    cases = [  # name, calls, runs, true for a violation
        ("clean", [call()], once, False),
        ("twice", [call()], twice, True),
        ("same attempt twice", [call()], crossed, True),
        ("idempotent twice", [call(idempotent=True)], twice, False),
        ("false not-run", [call("not-run", "", True, 503)], once, True),
        ("not-run, then run", [call("not-run", "", status=503), call()], once,
         False),
        ("false run", [call()], [], True),
        ("another's answer", [call(answer="ok c")], once, True),
        ("cut answer", [call(answer="ok")], once, True),
        ("cut off", [call("unknown", "", status=504)], cut, True),
        ("open set", [call("perhaps", "")], [], True)]
    found = [(name, check(calls, runs), want)
             for name, calls, runs, want in cases]
    found.append(("nobody sent it", unlisted([], once), True))
    wrong = [case for case in found if bool(case[1]) != case[2]]
    for name, bad, want in wrong:
        print(f"{name}: found {bad}, expected violation: {want}")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
