"""A job is cancelled, the answer is 410, and then the job runs for good."""

import asyncio
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import CANCEL_S, CONTACT_S, STOP_S, TROUBLE, World, route, run_case

STEP = {"Count": 2, "Cpu": 100, "EstimatedMs": 900, "LongRunning": True}
BODY = {"Spec": "lasts", "Steps": [STEP]}
# platform_lost, how late: 0.35 of the writes, for 4.5 s, each done 1 to 6 s later.
SHARE, WINDOW_S, DELAYS_S, CALM_S = 0.35, 4.5, (2.0, 6.0), 15.0


async def play(world: World) -> bool:
    """Cancel the jobs whose hand-in gave 504; return whether one runs on for good."""
    for _ in range(3):
        world.add_minion("plans")
    world.configure(1, [route()], ["plans"])
    await world.open()
    for name in world.names:
        world.start_entry(name)
    await world.wait_ready()
    rng = random.Random(7)
    window: list[float] = []

    def lose(data: dict[str, Any]) -> float | None:
        del data
        inside = window and window[0] <= world.record.now() < window[0] + WINDOW_S
        if TROUBLE and inside and rng.random() < SHARE:
            return rng.uniform(*DELAYS_S)
        return None

    world.store.lose = lose
    cancelled: dict[str, float] = {}
    pending: set[asyncio.Task[None]] = set()

    async def requester(number: int) -> None:
        job = f"{number:016x}"
        entry = number % len(world.names)
        sent = await world.call(world.names[entry], "POST", job, BODY)
        if sent.status == 200:
            return
        # The requester leaves before its time budget and cancels the job.
        for attempt in range(1, 5):
            name = world.names[(entry + attempt) % len(world.names)]
            gone = await world.call(name, "DELETE", job)
            if gone.status in (200, 410):
                cancelled[job] = gone.answered
                return
            await asyncio.sleep(0.3)

    window.append(world.record.now() + 0.5)
    for number in range(1, 81):
        task = asyncio.create_task(requester(number))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(0.05)
    while pending:
        await asyncio.wait(pending)
    await asyncio.sleep(CALM_S)
    now = world.record.now()
    world.record.write(f"the store has answered all calls for {now - window[0] - 4.5}")
    broken = False
    for run in world.intervals:
        acked = cancelled.get(run.task.split(".")[0])
        if acked is None or run.ended is not None:
            continue
        since = max(acked, window[0] + WINDOW_S + CONTACT_S, run.began)
        if now > since + CANCEL_S + STOP_S:
            broken = True
            world.record.write(
                f"UNASKED: {run.task} has run since {run.began:.3f}; the cancelling "
                f"of its job was acknowledged at {acked:.3f}"
            )
    return broken


if __name__ == "__main__":
    run_case(play, with_cloud=True)
