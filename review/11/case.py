"""After a planned stop of the leader, tasks of a worker that was lost just
before are not started again for over ten seconds."""
import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3 as s3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
COUNT = 5
BACK_S = 6.0   # from the last run to the begin of the span
CALM_S = 4.0   # before the span
SPAN_S = 3.0


def leader(w):
    lease = [v for k, v in w.store.logs["keyed.gypsumvalve-progress", 0]
             if k == "L"][-1]
    return s3.unpack(lease)[1]


async def case(w):
    await w.open(workers=8, nodes=7)
    step = {"count": COUNT, "cpu": 2700, "memMb": 18000, "serviceJob": True}
    if await w.submit(JOB, [step], {}) != 200:
        raise RuntimeError("not accepted")
    if not await w.wait(lambda: len(w.starts(JOB)) == COUNT, 10):
        raise RuntimeError("the tasks do not run")
    await asyncio.sleep(5)
    lost = w.record.now()
    if TROUBLE:
        worker = w.workers.pop(w.starts(JOB)[0][2])
        w.record("worker", worker.id, "is lost for good")
        worker.crash()

        async def lapse():  # the entry, after three heartbeats of silence
            await asyncio.sleep(3 * s3.HEARTBEAT_S)
            await w.store.put("keyed.servers", worker.id, b"")
        asyncio.ensure_future(lapse())
        await asyncio.sleep(2)
    name = leader(w)
    proc = w.nodes[name]["proc"]
    w.record("SIGTERM to", name, "which leads")
    proc.send_signal(signal.SIGTERM)
    while proc.poll() is None:
        await asyncio.sleep(0.05)
    w.record(name, "has ended with status", proc.returncode)
    w.spawn(name)
    await w.ready(name)
    back = w.record.now()
    w.record(name, "is ready again; now leads:", leader(w))
    begin = max(lost + BACK_S, back + CALM_S)
    await asyncio.sleep(22)
    over = 0
    for i in range(COUNT):
        task = "%s.0.0.%d" % (JOB, i)
        ends = [h[0] for h in w.history if h[3] == task and h[1] != "start"]
        again = [h[0] for h in w.history if h[3] == task and
                 h[1] == "start" and h[0] > lost]
        if not ends:
            continue
        at = again[0] if again else w.record.now()
        w.record("task", task, "had no run for %.1f s, until %.1f" % (
            at - ends[0], at))
        over += at > begin + SPAN_S
    free = sum(x.cpu - sum(w.need(t)[0] for t in x.running)
               for x in w.workers.values())
    w.record("the span that counts: %.1f to %.1f; %d of %d tasks had no run; "
             "%d of %d cpu are free" % (begin, begin + SPAN_S, over, COUNT,
                                        free, sum(x.cpu for x in
                                                  w.workers.values())))
    for line in w.log_lines(r"ev=(lead (became|lost|seen)|lost )")[-12:]:
        w.record("log:", line[:200])
    return not over


s3.main(case, HERE, TROUBLE)
