"""History checker: compares the responses to callers with the runs at targets.

A Call is one submission by a caller. A target event is a line of the target
stand-in's /history: "start ATTEMPT METHOD PATH TAG MS", "finish ATTEMPT MS",
"cut ATTEMPT MS" (stopped before its end). The stand-in takes the tag from the
query string (tag=...), which every hop passes on; all submissions of one
request have the same tag.
"""
import dataclasses


@dataclasses.dataclass
class Call:
    """One submission by a caller, with the response to it."""
    tag: str
    idempotent: bool
    body: str
    outcome: str  # "run", "not-run", "unknown"; "" when the connection broke
    status: int = 0
    answer: str = ""


@dataclasses.dataclass
class Run:
    """One start of a request at a target."""
    attempt: str
    tag: str
    finished: bool = False
    cut: bool = False


def parse_history(text):
    """Returns the runs in a target's history, in order."""
    runs = {}
    for line in text.splitlines():
        word = line.split(" ")
        if word[0] == "start":
            # An attempt id occurs twice only if a hop sent a request twice.
            runs.setdefault(word[1], []).append(Run(word[1], word[4]))
        elif word[0] == "finish" and word[1] in runs:
            runs[word[1]][-1].finished = True
        elif word[0] == "cut" and word[1] in runs:
            runs[word[1]][-1].cut = True
    return [run for per_attempt in runs.values() for run in per_attempt]


def check(calls, runs):
    """Returns a description of each violation; empty if there is none."""
    bad = []
    started = {}
    for run in runs:
        started.setdefault(run.tag, []).append(run)
        if run.cut:
            bad.append(f"planned stop cut off {run.tag} ({run.attempt})")
    by_tag = {}
    for call in calls:
        by_tag.setdefault(call.tag, []).append(call)
    for tag, group in by_tag.items():
        own = started.get(tag, [])
        if not group[0].idempotent and len(own) > 1:
            bad.append(f"non-idempotent {tag} started {len(own)} times")
        if own and all(c.outcome == "not-run" for c in group):
            bad.append(f"{tag} was told not-run but started")
        for call in group:
            bad.extend(check_answer(call, own))
    return bad


def check_answer(call, own):
    """Checks one response against the runs of its tag (own)."""
    if call.outcome not in ("run", "not-run", "unknown", ""):
        return [f"{call.tag}: outcome {call.outcome!r} is not in the set"]
    if call.outcome != "run":
        return []
    if not any(run.finished for run in own):
        return [f"{call.tag} was told run but no target finished it"]
    if call.status == 200 and call.answer != "ok " + call.body:
        return [f"{call.tag} got an answer that is not its own or not whole: "
                f"{call.answer[:60]!r}"]
    return []


def unlisted(calls, runs):
    """Returns the tags of runs that no caller submitted, sorted."""
    sent = {call.tag for call in calls}
    return sorted({run.tag for run in runs} - sent)

