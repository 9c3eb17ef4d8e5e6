"""A start without an answer is carried out after its work item has ended done."""

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

from review.standins3.platform import Platform, configuration, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/puxa400/"
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
# When the unanswered start is carried out, and how long the minion is cut off.
LATE_S = 6.0
CUT_S = 5.5
# From the beginning of the cut to the crash behind it, and until the next life.
CRASH_AFTER_S, AWAY_S = 1.0, 1.0


async def cut_and_restart(platform: Platform, name: str) -> None:
    """Cut a minion off; behind the cut it crashes and starts under its id again."""
    machine = platform.machines[name]
    minion = machine.minion
    assert minion is not None and machine.server is not None
    platform.note("TROUBLE: minion is cut off", minion=minion.ident, seconds=CUT_S)
    minion.cut = True
    await asyncio.sleep(CRASH_AFTER_S)
    platform.note("TROUBLE: it crashes behind the cut", minion=minion.ident)
    minion.crash()
    machine.state = "down"
    await asyncio.sleep(AWAY_S)
    machine.server.stop()
    reborn = await platform.boot(machine, minion.ident)
    reborn.clock_at_start_ms = 1_000
    reborn.cut = True
    platform.note("it is back under its id", minion=reborn.ident, born=reborn.born)
    await asyncio.sleep(CUT_S - CRASH_AFTER_S - AWAY_S)
    reborn.cut = False
    platform.note("the cut has healed", minion=reborn.ident)


async def play(platform: Platform) -> int:
    """Play the case; return the exit code."""
    noted: list[float] = []
    starts: list[float] = []
    held: list[tuple[str, float, dict[str, Any]]] = []

    def observe(what: str, now: float, **details: Any) -> None:
        if details.get("task") != TASK:
            return
        if what == "minion: end taken note of" and details["how"] == "done":
            noted.append(now)
        if what == "minion: start":
            starts.append(now)

    platform.observers.append(observe)
    routes = [route("r-old", PREFIX, "quotes")]
    await platform.start(configuration(1, routes, ["quotes"]))
    if not await platform.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    for machine in platform.machines.values():
        assert machine.minion is not None

        def hold(body: dict[str, Any], name: str = machine.name) -> bool:
            if not TROUBLE or held:
                return False
            held.append((name, time.monotonic(), body))
            return True

        machine.minion.hold_start = hold
    step = {"Count": 1, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 300}
    body = {"Spec": "ms=300", "Steps": [step]}
    answer = await platform.request(platform.nodes[0], "POST", PREFIX + JOB, body)
    if answer is None or answer[0] != 200:
        return 2
    await asyncio.sleep(2.0)
    if not noted or (TROUBLE and not held):
        return 2
    await platform.request(platform.nodes[0], "GET", PREFIX + JOB)
    if TROUBLE:
        name, sent_at, start = held[0]
        cut = asyncio.create_task(cut_and_restart(platform, name))
        await asyncio.sleep(max(0.0, sent_at + LATE_S - time.monotonic()))
        minion = platform.machines[name].minion
        if minion is None:
            return 2
        minion.start_late(start)
        await cut
    await asyncio.sleep(3.0)
    again = [at for at in starts if at > noted[0]]
    platform.note("RESULT", starts=len(starts), starts_after_noted_end=len(again))
    return 1 if again else 0


async def main() -> int:
    """Run the case."""
    platform = Platform(Path(__file__).parent, {"quotes": 6}, 3)
    try:
        return await play(platform)
    finally:
        await platform.stop()


if __name__ == "__main__":
    sys.exit(run_case(main))
