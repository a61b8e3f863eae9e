"""A job runs although its cancelling was acknowledged."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3 as s3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
LATE_S = 6.0


async def traffic(w):
    """Small jobs of other clients, six a second."""
    one = [{"count": 1, "cpu": 2300, "memMb": 100, "estimateMs": 300}]
    n = 0
    while True:
        n += 1
        asyncio.ensure_future(w.submit("%016x" % n, one, {"ms": 300}, n,
                                       quiet=True))
        await asyncio.sleep(1 / 6)


async def case(w):
    await w.open(workers=8, nodes=3)
    w.quiet = True
    others = asyncio.ensure_future(traffic(w))
    await asyncio.sleep(1)
    lossy = TROUBLE
    executed = 0.0

    def lose(log_id, records):
        nonlocal executed
        if lossy and any(k == "J" + JOB for k, _ in records):
            executed = w.record.now() + LATE_S
            return LATE_S
        return None

    w.store.lose = lose
    first = w.store.appends
    steps = [{"count": 8, "cpu": 5000, "memMb": 8000, "estimateMs": 1800,
              **({"dependsOn": [i - 1]} if i else {})} for i in range(5)]
    status = await w.submit(JOB, steps, {"ms": 1800})
    lossy = False
    w.record("%d of %d appends in that time lost their response" % (
        w.store.lost, w.store.appends - first))
    cancelled = await w.cancel(JOB)
    acked = w.record.now()
    if cancelled not in (200, 410):
        raise RuntimeError("not acknowledged")
    calm = executed + s3.CONTACT_S
    await asyncio.sleep(15)
    others.cancel()
    await w.state(JOB)
    for h in w.starts(JOB):
        w.record("start at %.3f of %s run %d on %s" % (h[0], h[3], h[4], h[2]))
    late = [h for h in w.starts(JOB) if h[0] > acked + s3.CANCEL_S]
    in_touch = [h for h in late if h[0] > calm]
    w.record("POST answered %s, DELETE answered %s at %.3f; %d starts more "
             "than %.0f s later, %d of them also %.0f s after the last late "
             "append was executed" % (status, cancelled, acked, len(late),
                                      s3.CANCEL_S, len(in_touch),
                                      s3.CONTACT_S))
    return not in_touch


s3.main(case, HERE, TROUBLE)
