#!/usr/bin/env python3
"""Shows that each proof fails when its mechanism is switched off.

Each mutant copies the tree, replaces one piece of code, builds, and runs the
named tests, which must fail. Usage: tests/mutants.py [NAME...]; `make
mutants` runs all of them. Takes about half a minute for each.
"""
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORK = ROOT / "build" / "mutants"


def load():
    """Reads tests/mutants.txt: blocks of "name", "file", "test" and the code
    between "<<<", "===" and ">>>". A block without a name belongs to the one
    before it, for mechanisms that back each other up."""
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
    """Returns the line of a failed test's output that tells why, so that a
    mutant caught for another reason than its own is seen."""
    marks = ("FAILED", "Error:", "ERROR:", "not ok", "FAIL", "-", "+")
    # unittest's closing "FAILED (failures=1)" tells no reason.
    lines = [line for line in text.split("\n")
             if line.strip() and not line.startswith("FAILED (")]
    for mark in marks:
        for line in lines:
            if line.strip().startswith(mark) or (
                    mark.endswith(":") and mark in line):
                return line.strip()[:160]
    return lines[-1][:160] if lines else "no output"


def run_mutant(m):
    """Returns "caught" and why, "MISSED", or why the mutant could not be
    tried."""
    tree = WORK / m["name"]
    shutil.rmtree(tree, ignore_errors=True)
    shutil.copytree(ROOT, tree, ignore=shutil.ignore_patterns(
        "build", ".git", "__pycache__", ".hypothesis"))
    for name, old, new in m["edits"]:
        text = (tree / name).read_text()
        if text.count(old) != 1:
            return f"code found {text.count(old)} times in {name}"
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
