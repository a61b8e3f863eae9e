"""The history checker must find each kind of violation, or a run that breaks
a promise would pass unnoticed."""
import sys

from history import Call, check, parse_history, unlisted

START = "start {0} POST /plan {1} 5\n"


def expect(name, found, want):
    if bool(found) != want:
        print(f"{name}: found {found}, expected violation: {want}")
        return 1
    return 0


def main():
    once = parse_history(START.format("a1", "t1") + "finish a1\n")
    twice = parse_history(START.format("a1", "t1") + START.format("a2", "t1")
                          + "finish a1\nfinish a2\n")
    crossed = parse_history(START.format("a1", "t1") + START.format("a1", "t1")
                            + "finish a1\n")
    cut = parse_history(START.format("a1", "t1") + "cut a1\n")
    run = Call("t1", False, "b", "run", 200, "ok b")
    bad = 0
    bad += expect("clean", check([run], once), False)
    bad += expect("twice", check([run], twice), True)
    bad += expect("same attempt twice", check([run], crossed), True)
    bad += expect("idempotent twice", check(
        [Call("t1", True, "b", "run", 200, "ok b")], twice), False)
    bad += expect("false not-run", check(
        [Call("t1", True, "b", "not-run", 503)], once), True)
    bad += expect("not-run, then run", check(
        [Call("t1", False, "b", "not-run", 503), run], once), False)
    bad += expect("false run", check([run], []), True)
    bad += expect("another's answer", check(
        [Call("t1", False, "b", "run", 200, "ok c")], once), True)
    bad += expect("cut answer", check(
        [Call("t1", False, "b", "run", 200, "ok")], once), True)
    bad += expect("cut off", check(
        [Call("t1", False, "b", "unknown", 504)], cut), True)
    bad += expect("open set", check(
        [Call("t1", False, "b", "perhaps", 200)], []), True)
    bad += expect("nobody sent it", unlisted([], once), True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
