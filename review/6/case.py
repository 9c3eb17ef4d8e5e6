"""One job of many small work items: the leader gets nothing done any more."""

import asyncio
import time
from pathlib import Path

from review.rig import Job, Record, Rig, has_trouble, job_id, main, step

# The work of the large job is the same with and without the disruption.
ITEMS, ITEM_CPU = 8000, 10
CONTROL_ITEMS, CONTROL_CPU = 80, 1000
LARGE_JOB = job_id(0xB16)
SMALL_JOBS = 12


async def case(rig: Rig, record: Record) -> str:
    """Submit the large job, and small ones just after it; ask what runs at the end."""
    if has_trouble():
        large = await rig.submit(LARGE_JOB, step(ITEMS, 1000, ITEM_CPU, 5))
    else:
        large = await rig.submit(LARGE_JOB, step(CONTROL_ITEMS, 1000, CONTROL_CPU, 500))
    if large is None:
        raise RuntimeError("the large job was not accepted")
    submits = [
        rig.submit(job_id(number), step(1, 300, 1000, 100))
        for number in range(1, SMALL_JOBS + 1)
    ]
    accepted: list[Job] = [job for job in await asyncio.gather(*submits) if job]
    found = await rig.check_lost([large, *accepted], time.monotonic())
    ended = {run.job for run in record.runs if run.how == "done"}
    starts = sum(run.job == LARGE_JOB for run in record.runs)
    record.write(
        f"starts of the large job: {starts}; small jobs accepted: {len(accepted)}, "
        f"of them ended: {sum(job.job in ended for job in accepted)}"
    )
    rig.note_events("E2001", "E2002")
    return found


main(str(Path(__file__).parent), case)
