"""One minion is dark for 7 s while the leading node is killed four times."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.standins3.platform import Node, Platform, configuration, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/puxa400/"
JOB = "5c0e7a21d94b36f8"
DARK_S = 7.0
FIRST_KILL_S, KILLS, GAP_S = 0.5, 4, 1.5
RESTART_S = 0.7
FINAL = ("completed", "failed", "cancelled")


async def kill_leader(platform: Platform) -> None:
    """Kill the leading node and start it again after a short delay."""
    name = platform.leader()
    node = next((node for node in platform.nodes if node.name == name), None)
    if node is None or node.process is None or node.process.poll() is not None:
        platform.note("no leader to kill", key=name)
        return
    platform.note("TROUBLE: leading node is killed", node=name)
    node.process.kill()
    platform.tasks.append(asyncio.create_task(restart(platform, node)))


async def restart(platform: Platform, node: Node) -> None:
    """Start a killed node again."""
    await asyncio.sleep(RESTART_S)
    assert node.process is not None
    node.process.wait()
    platform.start_node(node)


async def state_of_job(platform: Platform) -> str:
    """Return the state that a requester gets, empty without one."""
    for node in platform.nodes:
        answer = await platform.request(node, "GET", PREFIX + JOB)
        if answer is not None and answer[0] == 200:
            return str(answer[1]["State"])
    return ""


async def disturb(platform: Platform) -> None:
    """Make the minion that runs the job dark, and kill the leader four times."""
    machine = next(
        m for m in platform.machines.values() if m.minion and m.minion.runs
    )  # fmt: skip
    began = time.monotonic()
    platform.go_dark(machine, DARK_S)
    for number in range(KILLS):
        due = began + FIRST_KILL_S + number * GAP_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        await kill_leader(platform)
    await asyncio.sleep(max(0.0, began + DARK_S + 1.0 - time.monotonic()))


async def play(platform: Platform) -> int:
    """Play the case; return the exit code."""
    failed_runs = []

    def observe(what: str, _: float, **details: object) -> None:
        if what == "minion: end" and details.get("how") == "failed":
            failed_runs.append(details)

    platform.observers.append(observe)
    routes = [route("r-old", PREFIX, "quotes")]
    await platform.start(configuration(1, routes, ["quotes"]))
    if not await platform.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    step = {"Count": 4, "Cpu": 1000, "MemMb": 512, "EstimatedMs": 3000}
    body = {"Spec": "ms=3000", "Steps": [step]}
    answer = await platform.request(platform.nodes[0], "POST", PREFIX + JOB, body)
    if answer is None or answer[0] != 200:
        return 2
    await asyncio.sleep(1.0)
    if TROUBLE:
        await disturb(platform)
    end = time.monotonic() + 40.0
    state = ""
    while time.monotonic() < end and state not in FINAL:
        state = await state_of_job(platform)
        await asyncio.sleep(0.5)
    platform.note("RESULT", state=state, runs_that_ended_failed=len(failed_runs))
    if failed_runs or state not in FINAL:
        return 2
    return 1 if state == "failed" else 0


async def main() -> int:
    """Run the case."""
    platform = Platform(Path(__file__).parent, {"quotes": 6}, 5)
    try:
        return await play(platform)
    finally:
        await platform.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
