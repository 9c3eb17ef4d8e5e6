"""Store channels of one node go silent just before a configuration is acknowledged."""

import asyncio
import os
import sys
import time
from pathlib import Path

from review.standins3.platform import Platform, configuration, route, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S, CONFIG_APPLY_S = 3.0, 2.0
MARGIN_S = 0.05
SURGE = 12
WATCHED_S = 12.0
OLD = "/puxa400/"
NEW = "/tije37/"
DROPPED = "/kafi706/"


def job() -> dict[str, object]:
    """Return a small job."""
    step = {"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 300}
    return {"Spec": "ms=300", "Steps": [step]}


async def surge(platform: Platform) -> None:
    """Hand in jobs at all nodes at the same time, as at the onset of a surge."""
    calls = []
    for number, node in enumerate(platform.nodes):
        for index in range(SURGE):
            ident = f"{number:08x}{index:08x}"
            calls.append(platform.request(node, "POST", OLD + ident, job()))
    answers = await asyncio.gather(*calls)
    accepted = sum(answer is not None and answer[0] == 200 for answer in answers)
    platform.note("surge accepted", jobs=accepted)


async def play(platform: Platform) -> int:
    """Play the case; return the exit code."""
    routes = [route("r-old", OLD, "quotes"), route("r-gone", DROPPED, "quotes")]
    await platform.start(configuration(1, routes, ["quotes"]), proxied=True)
    if not await platform.wait_ready():
        return 2
    await asyncio.sleep(3.0)
    await surge(platform)
    await asyncio.sleep(1.0)
    leader = platform.leader()
    followers = [node for node in platform.nodes if node.name != leader]
    if not leader or len(followers) != len(platform.nodes) - 1:
        return 2
    node = followers[0]
    assert node.proxy is not None
    silenced_at = time.monotonic()
    if TROUBLE:
        channels = node.proxy.silence()
        platform.note(
            "TROUBLE: open channels to the store go silent", node=node.name,
            channels=channels, leader=leader,
        )  # fmt: skip
    await asyncio.sleep(1.0)
    routes = [route("r-old", OLD, "quotes"), route("r-new", NEW, "quotes")]
    platform.configure(configuration(2, routes, ["quotes"]))
    acknowledged_at = time.monotonic()
    judged_from = MARGIN_S + max(
        silenced_at + CONTACT_S, acknowledged_at + CONFIG_APPLY_S
    )
    late, last, seen, dropped_run = 0, 0.0, 0, False
    while time.monotonic() < silenced_at + WATCHED_S:
        sent_at = time.monotonic()
        answer = await platform.request(node, "GET", NEW)
        seen += answer is not None
        if answer is not None and answer[0] == 404 and sent_at > judged_from:
            late += 1
            last = sent_at - acknowledged_at
        if sent_at > judged_from + 0.5 and not dropped_run:
            path = f"{DROPPED}{int(sent_at * 1000):016x}"
            answer = await platform.request(node, "POST", path, job())
            dropped_run = answer is not None and answer[0] == 200
            if answer is not None and answer[0] == 404:
                break
        await asyncio.sleep(0.1)
    if not seen:
        return 2
    await asyncio.sleep(2.0)
    platform.note(
        "RESULT", answers_404_too_late=late, last_after_ack=f"{last:.2f}",
        accepted_on_dropped_route=dropped_run,
    )  # fmt: skip
    return 1 if late or dropped_run else 0


async def main() -> int:
    """Run the case."""
    platform = Platform(Path(__file__).parent, {"quotes": 6}, 3)
    try:
        return await play(platform)
    finally:
        await platform.stop()


if __name__ == "__main__":
    sys.exit(run_case(main))
