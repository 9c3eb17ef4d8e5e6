"""A machine is added and due for upkeep at once; its wave is said to be completed."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import TROUBLE, World, route, run_case

WAVES, PAUSE_S, SETTLE_S, WATCHED_S = 4, 3.3, 5.0, 12.0


async def play(world: World) -> bool:
    """Add machines and request their upkeep; return whether a wave is dropped."""
    for _ in range(4):
        world.add_minion("plans")
    world.configure(1, [route()], ["plans"])
    await world.open()
    for name in world.names:
        world.start_entry(name)
    await world.wait_ready()
    await asyncio.sleep(5)
    waves: dict[int, str] = {}
    told: dict[int, float] = {}

    def look() -> None:
        for wave, machine in waves.items():
            status = json.loads(world.store.value(f"status/wave/{wave}") or b"{}")
            if status.get("State") == "completed" and wave not in told:
                told[wave] = world.record.now()
                world.record.write(
                    f"status/wave/{wave}: completed; upkeep of {machine} has begun: "
                    f"{(wave, machine) in world.upkeeps}"
                )

    async def watch(seconds: float) -> None:
        end = world.record.now() + seconds
        while world.record.now() < end:
            look()
            await asyncio.sleep(0.05)

    for wave in range(1, WAVES + 1):
        minion = world.add_minion("plans")
        await minion.start()
        await watch(0.2 if TROUBLE else SETTLE_S)
        document = {
            "Wave": wave,
            "Machines": [minion.machine],
            "DurationS": 20,
            "Maximum": 1,
        }
        world.store.put(f"op/wave/{wave}", json.dumps(document).encode())
        world.record.write(f"operator: op/wave/{wave} = {document}")
        waves[wave] = minion.machine
        await watch(PAUSE_S)
    await watch(WATCHED_S)
    broken = [w for w in told if (w, waves[w]) not in world.upkeeps]
    world.record.write(f"said to be completed: {told}; upkeeps begun: {world.upkeeps}")
    for wave in broken:
        world.record.write(
            f"MIXED: wave {wave} is said to be completed, without upkeep"
        )
    return bool(broken)


if __name__ == "__main__":
    run_case(play, with_cloud=True)
