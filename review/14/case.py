"""A gang that can never be done is started again and again once it has waited
for room."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3 as s3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GANG = "5c0e7a21d94b36f8"
ATTEMPTS = 2


async def case(w):
    await w.open(workers=8, nodes=3, attempts=ATTEMPTS)
    # Seven tasks that take three quarters of a worker each for 9 s.
    if TROUBLE:
        full = [{"count": 7, "cpu": 24000, "memMb": 1000, "estimateMs": 9000}]
        if await w.submit("00000000000000aa", full, {"ms": 9000}) != 200:
            raise RuntimeError("not accepted")
        await w.wait(lambda: len(w.starts("00000000000000aa")) == 7, 10)
    gang = [{"count": 8, "cpu": 16000, "memMb": 1000, "estimateMs": 900,
             "gang": True}]
    spec = {"gang": 8, "ms": 300, "fail": True}
    if await w.submit(GANG, gang, spec) != 200:
        raise RuntimeError("not accepted")
    state = await w.wait_state(GANG, ("failed",), 30)
    await asyncio.sleep(1)
    failed = [h for h in w.history if h[1] == "failed"]
    over = []
    for h in w.starts(GANG):
        ended = {f[4] for f in failed
                 if f[0] < h[0] and (f[3], f[4]) in w.noted}
        if len(ended) >= ATTEMPTS:
            over.append(h)
    w.record("shown as", state, "with", len(failed), "failed runs of the gang,",
             len(over), "starts after", ATTEMPTS,
             "of them had failed and were taken note of")
    if state != "failed" and len(failed) < ATTEMPTS:
        raise RuntimeError("the gang did not run often enough")
    return not over


s3.main(case, HERE, TROUBLE)
