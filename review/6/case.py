"""Jobs whose retention is over are deleted while the store discards its history."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import platform_2 as platform  # noqa: E402

# The state of an ended job is told for this long. The sheets have 120 s, which with the 60 s that the program adds is longer
# than a script may take.
STATUS_S = 10
POSTS_S = 25
POSTS_PER_S = 40
RETENTION_S = STATUS_S + 60
DISCARD_EVERY_S = 2.5
# A job's `spec` may have 4,000 bytes; the site's requests have up to 9,600.
PADDING_BYTES = 3_500


async def case(folder, trouble):
    site = platform.Site(folder, {"status_s": STATUS_S})
    try:
        await site.start()
        record = site.record
        await asyncio.sleep(1)
        begin = record.now()
        posts = []

        async def traffic():
            while True:
                posts.append(asyncio.ensure_future(site.post(200, padding=PADDING_BYTES)))
                await asyncio.sleep(random.expovariate(POSTS_PER_S))

        running = asyncio.ensure_future(traffic())
        await asyncio.sleep(POSTS_S)
        jobs = [it for it in await asyncio.gather(*posts) if it]
        record.note(f"{len(jobs)} jobs accepted")
        completed = 0
        for job in jobs:
            for _ in range(20):
                status, answer = await site.client("GET", job)
                if status == 200 and answer["state"] == "completed":
                    completed += 1
                    break
                await asyncio.sleep(0.2)
        record.note(f"{completed} of them shown as completed; traffic goes on")
        if completed < len(jobs) or not jobs:
            raise platform.CannotRun("not all jobs were completed before the disruption")
        until = begin + POSTS_S + RETENTION_S + 4
        next_discard = begin + RETENTION_S + 2
        while record.now() < until:
            if trouble and record.now() >= next_discard:
                next_discard += DISCARD_EVERY_S
                await site.store.forget_history()
            await asyncio.sleep(0.05)
        running.cancel()
        return site.runs.broken
    finally:
        site.stop()


platform.run(FOLDER, case)
