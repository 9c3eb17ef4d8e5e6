"""A start without an answer is carried out late, beside a later run of its item."""

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
    running: set[tuple[str, int]] = set()
    together: list[float] = []
    held: list[tuple[str, float, dict[str, Any]]] = []

    def observe(what: str, now: float, **details: Any) -> None:
        if details.get("task") != TASK:
            return
        run = (str(details["minion"]), int(details["run"]))
        if what == "minion: start":
            running.add(run)
            if len(running) > 1:
                together.append(now)
                platform.note("two runs at the same time", runs=sorted(running))
        if what in ("minion: end", "minion: lost"):
            running.discard(run)

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
    step = {
        "Count": 1, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 900, "LongRunning": True
    }  # fmt: skip
    body = {"Spec": "lasts", "Steps": [step]}
    answer = await platform.request(platform.nodes[0], "POST", PREFIX + JOB, body)
    if answer is None or answer[0] != 200:
        return 2
    await asyncio.sleep(2.0)
    if not running or (TROUBLE and not held):
        return 2
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
    platform.note("RESULT", times_that_two_ran=len(together))
    return 1 if together else 0


async def main() -> int:
    """Run the case."""
    platform = Platform(Path(__file__).parent, {"quotes": 6}, 3)
    try:
        return await play(platform)
    finally:
        await platform.stop()


if __name__ == "__main__":
    sys.exit(run_case(main))
