"""A start whose stop was confirmed is carried out late by the minion's next life."""

import asyncio
import time
from pathlib import Path

from review.rig import Record, Rig, has_trouble, job_id, main, step

ITEM = job_id(0x7)
# Leaves the first minion as the fullest one, then makes another one the fullest.
BESIDE, LARGE = job_id(0x71), job_id(0x72)
# From the start order on: the cut, the crash behind it, and the late start.
CUT_AFTER_SECONDS = 1.0
CUT_SECONDS = 5.5
CRASH_AFTER_SECONDS = 0.2
DOWN_SECONDS = 1.0
LATE_SECONDS = 4.0
WATCH_SECONDS = 12.0


async def case(rig: Rig, record: Record) -> str:
    """Leave a start unanswered, cut its minion off and crash it behind the cut."""
    await rig.submit(BESIDE, step(1, 60_000, 12_000, 1000))
    while not record.runs:
        await asyncio.sleep(0.02)
    name = record.runs[0].minion
    minion = next(minion for minion in rig.minions if minion.name == name)
    if has_trouble():
        minion.late_seconds = LATE_SECONDS
    await rig.submit(ITEM, step(1, 25_000, 1000, 1000))
    ordered = time.monotonic()
    await rig.submit(LARGE, step(1, 60_000, 19_500, 1000))
    if has_trouble():
        await asyncio.sleep(CUT_AFTER_SECONDS)
        minion.cut()
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        crash = asyncio.create_task(minion.crash_behind_cut(DOWN_SECONDS))
        await asyncio.sleep(CUT_SECONDS - CRASH_AFTER_SECONDS)
        minion.heal()
        await crash
    while time.monotonic() < ordered + WATCH_SECONDS:
        await asyncio.sleep(0.05)
    rig.note_events("E2204", "E2205", "E2206", "E2208", "E2304")
    found = ""
    for first, second, seconds in record.overlaps(ITEM):
        found = (
            f"TWICE: {first.task} ran {seconds:.2f} s on {first.minion} (run "
            f"{first.number}) and {second.minion} (run {second.number}) together"
        )
        record.write(found)
    return found


main(str(Path(__file__).parent), case)
