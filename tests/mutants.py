#!/usr/bin/env python3
"""Mutation tests: shows that a test fails when the code it covers is broken.

For each mutant of tests/mutants.txt this copies the tree, replaces one or more
pieces of code, builds, and runs the named test, which must fail. Usage:
tests/mutants.py [NAME...]; `make mutants` runs all of them, each in about half
a minute. With --check, which `make lint` uses, it only checks that each piece
of code to replace occurs exactly once.
"""
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / "build" / "mutants"


def load():
    """Reads tests/mutants.txt. A block has the fields "name", "file" and
    "test", then the old code between "<<<" and "===" and the new code up to
    ">>>". A block without a name is a further replacement of the mutant before
    it, for mechanisms of which each alone would still pass the test."""
    out = []
    for block in (ROOT / "tests" / "mutants.txt").read_text().split(">>>\n"):
        if "<<<\n" not in block:
            continue
        head, code = block.split("<<<\n")
        fields = dict(line.split(": ", 1) for line in head.strip().split("\n")
                      if ": " in line and not line.startswith("#"))
        old, new = code.split("===\n")
        edit = (fields["file"], old.rstrip("\n"), new.rstrip("\n"))
        if "name" in fields:
            out.append({**fields, "edits": [edit]})
        else:
            out[-1]["edits"].append(edit)
    return out


def reason(text):
    """Returns the line of a failed test's output that best says why it
    failed, to show mutants that are caught for an unrelated reason."""
    lines = [line.strip() for line in text.split("\n") if line.strip()]
    # The last line of unittest, "FAILED (failures=1)", gives no reason.
    lines = [line for line in lines if not line.startswith("FAILED (")]
    for mark in ("FAILED", "Error:", "ERROR:", "+", "-", "FAIL"):
        for line in lines:
            if (line.startswith(mark) and line[:3] not in ("+++", "---")) or (
                    mark.endswith(":") and mark in line):
                return line[:160]
    return lines[-1][:160] if lines else "no output"


def replacement_error(m):
    """Returns an error if code to replace doesn't occur exactly once, or
    ""."""
    for name, old, _ in m["edits"]:
        count = (ROOT / name).read_text().count(old)
        if count != 1:
            return f"code found {count} times in {name}"
    return ""


def run_mutant(m):
    """Returns "caught (REASON)" if the test failed or timed out, "MISSED" if
    it passed, or why the mutant could not be built."""
    if replacement_error(m):
        return replacement_error(m)
    tree = WORK / m["name"]
    shutil.rmtree(tree, ignore_errors=True)
    shutil.copytree(ROOT, tree, ignore=shutil.ignore_patterns(
        "build", ".git", "__pycache__", ".hypothesis"))
    for name, old, new in m["edits"]:
        text = (tree / name).read_text()
        (tree / name).write_text(text.replace(old, new))
    built = subprocess.run(
        ["make", "-s", "-j4", "all", "tests", "WARN="], cwd=tree,
        capture_output=True, text=True, check=False)
    if built.returncode != 0:
        return "does not build: " + built.stderr[-400:]
    name, *args = m["test"].split()
    if args:
        cmd = ["/usr/bin/python3", f"tests/{name}.py", "build", *args]
    else:
        cmd = ["/usr/bin/python3", "tests/run.py", "--build", "build", name]
    try:
        done = subprocess.run(cmd, cwd=tree, capture_output=True, text=True,
                              timeout=300, check=False)
    except subprocess.TimeoutExpired:
        return "caught (hangs)"
    shutil.rmtree(tree, ignore_errors=True)
    if done.returncode == 0:
        return "MISSED"
    return f"caught ({reason(done.stdout + done.stderr)})"


def main():
    if sys.argv[1:] == ["--check"]:
        found = [f"{m['name']}: {replacement_error(m)}" for m in load()
                 if replacement_error(m)]
        print("\n".join(found), end="\n" if found else "")
        return 1 if found else 0
    missed = 0
    for m in load():
        if sys.argv[1:] and m["name"] not in sys.argv[1:]:
            continue
        result = run_mutant(m)
        missed += not result.startswith("caught")
        print(f"{m['name']}: by {m['test']}: {result}", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
