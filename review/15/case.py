"""Tasks that last are not started again for over ten seconds after their worker
has crashed, although the workers are nearly idle."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3 as s3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WIDE = "00000000000000aa"
JOB = "5c0e7a21d94b36f8"
COUNT = 8
DOWN_S = 4.5
CALM_S = 4.0   # before the span, and the span itself
SPAN_S = 3.0
BACK_S = 6.0   # from the last run to the begin of the span


async def replace(w, worker):
    """The machine of a crashed worker is back, with a new worker."""
    await w.store.put("keyed.servers", worker.id, b"")
    del w.workers[worker.id]
    new = s3.Worker(w, worker.id + "n", worker.machine)
    w.workers[new.id] = new
    await new.start()
    w.record("worker", new.id, "follows on machine", new.machine)


async def case(w):
    await w.open(workers=8, nodes=3)
    step = {"cpu": 2700, "memMb": 4000, "serviceJob": True}
    wide = [{"count": 8, "maxPerServer": 1, **step}]
    if await w.submit(WIDE, wide, {}) != 200:
        raise RuntimeError("not accepted")
    if not await w.wait(lambda: len(w.starts(WIDE)) == 8, 10):
        raise RuntimeError("the wide job does not run")
    await asyncio.sleep(4)
    if await w.submit(JOB, [{"count": COUNT, **step}], {}) != 200:
        raise RuntimeError("not accepted")
    if not await w.wait(lambda: len(w.starts(JOB)) == COUNT, 10):
        raise RuntimeError("the tasks do not run")
    await asyncio.sleep(0.1)
    worker = w.workers[w.starts(JOB)[0][2]]
    lost = w.record.now()
    if TROUBLE:
        w.record("worker", worker.id, "crashes")
        worker.crash()
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        await replace(w, worker)
    calm = w.record.now()
    least = 1 << 30
    while w.record.now() < calm + 25:
        await asyncio.sleep(0.1)
        least = min(least, sum(x.cpu - sum(w.need(t)[0] for t in x.running)
                               for x in w.workers.values()))
    gone = {h[3] for h in w.history if h[1] == "gone" and h[3][:16] == JOB}
    begin = max(lost + BACK_S, calm + CALM_S)
    w.record("the span that counts: %.1f to %.1f" % (begin, begin + SPAN_S))
    over = 0
    for task in sorted(gone):
        again = [h[0] for h in w.history
                 if h[1] == "start" and h[3] == task and h[0] > lost]
        at = again[0] if again else w.record.now()
        w.record("task", task, "had no run for %.1f s, until %.1f" % (
            at - lost, at))
        over += at > begin + SPAN_S
    w.record("%d of %d tasks had no run during the span; at least %d of %d "
             "cpu were free all the time" % (
                 over, len(gone), least, sum(x.cpu for x in
                                             w.workers.values())))
    if TROUBLE and not gone:
        raise RuntimeError("the crash hit no task of the job")
    return not over


s3.main(case, HERE, TROUBLE)
