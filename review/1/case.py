"""A foreign entry in the store, after which no leader schedules any more."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import FINISH_S, TROUBLE, World, route, run_case

BODY = {"Spec": "400", "Steps": [{"Count": 2, "Cpu": 1000, "EstimatedMs": 400}]}


async def play(world: World) -> bool:
    """Hand jobs in before and after the entry; return whether one is lost."""
    for _ in range(3):
        world.add_minion("plans")
    world.configure(1, [route()], ["plans"])
    await world.open()
    for name in world.names:
        world.start_entry(name)
    await world.wait_ready()
    keeper = asyncio.create_task(world.keep_entries())
    jobs = [f"{number:016x}" for number in range(1, 7)]
    accepted = [job for job in jobs[:3] if await world.submit(job, BODY)]
    await asyncio.sleep(3)
    if TROUBLE:
        entry = json.loads(world.store.value("servers/s1") or b"{}")
        entry.update({"Service": ["plans"], "Machine": "other", "Sequence": 1})
        entry["Address"] = f"{world.address(3, 1)}:9000"
        world.store.put("servers/other-1", json.dumps(entry).encode())
        world.record.write(f"another writer: servers/other-1 = {entry}")
    await asyncio.sleep(2)
    accepted += [job for job in jobs[3:] if await world.submit(job, BODY)]
    await asyncio.sleep(FINISH_S)
    lost = []
    for job in accepted:
        sent = await world.call(world.names[0], "GET", job)
        if sent.state != "completed":
            lost.append(job)
    keeper.cancel()
    world.record.write(f"accepted {accepted}; not completed: {lost}")
    world.record.write(f"entries that ended by themselves: {world.restarts}")
    return bool(lost) or len(accepted) < len(jobs)


if __name__ == "__main__":
    run_case(play)
