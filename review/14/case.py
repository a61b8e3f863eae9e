"""A task that lasts is not started again for over ten seconds after its worker
was lost for good, with room on every other worker."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3 as s3  # noqa: E402

WIDE = "00000000000000aa"
JOB = "5c0e7a21d94b36f8"
BACK_S = 6.0     # a task that lasts has to run again
STRETCH_S = 3.0  # and the rule's span


async def case(w):
    await w.open(workers=8, nodes=3)
    wide = [{"count": 8, "cpu": 18000, "memMb": 4000, "serviceJob": True,
             "maxPerServer": 1}]
    if await w.submit(WIDE, wide, {}) != 200:
        raise RuntimeError("not accepted")
    if not await w.wait(lambda: len(w.starts(WIDE)) == 8, 10):
        raise RuntimeError("the wide job does not run")
    await asyncio.sleep(4)
    one = [{"count": 1, "cpu": 2700, "memMb": 4000, "serviceJob": True}]
    if await w.submit(JOB, one, {}) != 200:
        raise RuntimeError("not accepted")
    if not await w.wait(lambda: w.starts(JOB), 10):
        raise RuntimeError("the task does not run")
    await asyncio.sleep(0.1)
    worker = w.workers[w.starts(JOB)[0][2]]
    if s3.trouble():
        w.record("worker", worker.id, "is lost for good")
        worker.crash()
    lost = w.record.now()
    await asyncio.sleep(0.3)

    async def lapse():
        await asyncio.sleep(3 * s3.HEARTBEAT_S)
        await w.store.put("keyed.servers", worker.id, b"")

    if s3.trouble():
        asyncio.ensure_future(lapse())
        await w.wait(lambda: len(w.starts(JOB)) > 1, 25)
        again = [h[0] for h in w.starts(JOB)[1:]]
        gap = (again[0] if again else w.record.now()) - lost
        free = min(x.cpu - sum(w.need(t)[0] for t in x.running)
                   for x in w.workers.values() if x.up)
        w.record("not at work for %.1f s; least free cpu of the other "
                 "workers: %d" % (gap, free))
        for line in w.log_lines(r"ev=(suspect|lost|waiting) ")[:12]:
            w.record("log:", line)
        return gap < BACK_S + STRETCH_S
    await asyncio.sleep(15)
    ended = [h for h in w.history if h[3].startswith(JOB) and h[1] != "start"]
    return not ended


s3.main(case, HERE)
