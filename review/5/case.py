"""A queue with an advisor loses its route, the leader restarts; jobs stand still."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import FINISH_S, TROUBLE, World, route, run_case

ADVISOR = {"DecisionMs": 20, "PerItemMs": 2, "ValidityMs": 5000}
STEPS: list[dict[str, Any]] = [
    {"Count": 2, "Cpu": 500, "EstimatedMs": 6000},
    {"Count": 2, "Cpu": 500, "EstimatedMs": 6000, "After": [0]},
]


async def play(world: World) -> bool:
    """Remove a route, restart the leader; return whether a job stands still."""
    for _ in range(3):
        world.add_minion("plans", needs_ticket=True)
    other = route("drafts", "/drafts/", PlacementAdvisor=ADVISOR)
    world.configure(1, [route(PlacementAdvisor=ADVISOR), other], ["plans"])
    await world.open()
    for name in world.names:
        world.start_entry(name)
    await world.wait_ready()
    jobs = [f"{number:016x}" for number in range(1, 4)]
    body = {"Spec": "6000", "Steps": STEPS}
    for job in jobs:
        await world.submit(job, body, "/drafts/")
    await asyncio.sleep(2)
    world.configure(2, [route(PlacementAdvisor=ADVISOR)], ["plans"])
    await asyncio.sleep(1)
    if TROUBLE:
        # roll_term: one machine at a time gets SIGTERM and starts again.
        name = world.leader()
        world.processes[name].send_signal(signal.SIGTERM)
        world.record.write(f"entry {name}: gets SIGTERM")
        while world.processes[name].poll() is None:
            await asyncio.sleep(0.1)
        world.record.write(f"entry {name}: has ended")
        world.start_entry(name)
    await asyncio.sleep(12 + FINISH_S)
    ended = {r.task for r in world.intervals if r.how == "done"}
    missing = [
        f"{job}.0.{step}.{index}"
        for job in jobs
        for step in range(2)
        for index in range(2)
        if f"{job}.0.{step}.{index}" not in ended
    ]
    world.record.write(f"work items that have not ended done: {missing}")
    return bool(missing)


if __name__ == "__main__":
    run_case(play, with_cloud=True, with_advisor=True)
