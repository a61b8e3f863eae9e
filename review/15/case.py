"""Jobs with many small tasks come at once: the leaders are busy for seconds,
lose the lease one after the other, and other jobs do not run."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3 as s3  # noqa: E402

JOBS = 24
COUNT = 4096
SMALL = "00000000000000aa"
FINISH_S = 14  # after the end of the traffic
SPAN_S = 3


async def case(w):
    await w.open(workers=9, nodes=3)
    w.quiet = True
    steps = [{"count": COUNT if s3.trouble() else 8, "cpu": 1, "memMb": 1,
              "estimateMs": 850}]
    ids = ["%016x" % (0x5c0e7a21d94b0000 + i) for i in range(JOBS)]
    states = await asyncio.gather(*[w.submit(j, steps, {"ms": 60000}, i,
                                             quiet=True)
                                    for i, j in enumerate(ids)])
    w.record("client: POST of", JOBS, "jobs of", steps[0]["count"],
             "tasks ->", sorted(set(states), key=str))
    await asyncio.sleep(1)
    small = [{"count": 2, "cpu": 100, "memMb": 10, "estimateMs": 300}]
    for i in range(8):  # the client asks again, at another host
        status = await w.submit(SMALL, small, {"ms": 300}, i)
        if status == 200:
            break
        await asyncio.sleep(0 if status is None else 1)
    if status != 200:
        raise RuntimeError("the small job was not accepted")
    accepted = w.record.now()
    await w.wait_state(SMALL, ("done",), FINISH_S + SPAN_S + 3)
    ended = w.record.now()
    ran = [h for h in w.history if h[3].startswith(SMALL)]
    used = max(sum(w.need(t)[0] for t in x.running) / x.cpu
               for x in w.workers.values())
    w.record("small job: %d starts and ends within %.1f s of its acceptance; "
             "%d starts of all jobs; at most %.0f%% of a worker's cpu in use"
             % (len(ran), ended - accepted,
                len([h for h in w.history if h[1] == "start"]), 100 * used))
    for line in w.log_lines(r"ev=(lead|slow) ")[:60]:
        w.record("log:", line[:160])
    first = ran[0][0] if ran else ended
    return first - accepted < FINISH_S + SPAN_S


s3.main(case, HERE)
