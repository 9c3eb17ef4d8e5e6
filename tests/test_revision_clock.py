"""Age of store items, judged by the revisions that calls returned.

Guards against a new leader that takes entries which are as old as an outage for recent
ones, and starts tasks by capacities that have shrunk since.
"""

import asyncio
import json
import random
from math import inf

import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import LEADER_KEY, Term
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.revision_clock import RevisionClock
from ebonyhub.ids import LeaderToken, Revision, StoreLease, WorkerId
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.controller import Controller
from standins.memory_store import MemoryStore, StoreCore

WORKER = WorkerId("w")
ENTRY = json.dumps(
    {
        "Service": "s", "Address": "127.0.0.1:9", "Zone": "a", "State": "ready",
        "Capacity": {"Cpu": 8000}, "Labels": ["k", "r"], "born": 5, "Machine": "m",
    }
).encode()  # fmt: skip


@pytest.mark.parametrize(
    ("answers", "revision", "expected"),
    [
        # Revisions of answers with the times at which the calls were sent.
        #
        # A process that has just started may list items from before an outage that it
        # did not see, so it must not take its own start for their time.
        ([], 5, -inf),
        ([(7, 51.0)], 5, -inf),
        ([(7, 51.0)], 7, -inf),
        ([(7, 51.0)], 8, 51.0),
        ([(7, 51.0), (9, 52.0)], 9, 51.0),
        ([(7, 51.0), (9, 52.0)], 10, 52.0),
        # The store is at the same revision later.
        ([(7, 51.0), (7, 55.0)], 8, 55.0),
        ([(7, 51.0), (7, 55.0)], 7, -inf),
        # Answers that overtook each other say nothing new.
        ([(9, 52.0), (7, 53.0)], 9, -inf),
        ([(9, 52.0), (11, 51.0)], 12, 52.0),
    ],
)
def test_item_was_written_after_the_latest_call_that_did_not_see_it(
    answers, revision, expected
):
    clock = RevisionClock()
    for observed, sent_at in answers:
        clock.record(Revision(observed), sent_at)
    assert clock.written_after(Revision(revision)) == expected


async def test_leader_that_has_just_started_waits_for_the_next_heartbeat():
    """It took a listed capacity for fresh, though the entry was as old as an outage."""
    clock = SystemClock()
    core = StoreCore(clock.monotonic)
    core.put(f"servers/{WORKER}", ENTRY)
    core.put(LEADER_KEY, b"x")
    term = Term(LeaderToken(core.revision), StoreLease(1), clock.monotonic() + 99)
    controller = Controller(
        term, MemoryStore(core), JobMirror(), None, clock, random.Random(1),
        Metrics(CollectorRegistry()), None, 120.0, 4.0, lambda: None,
    )  # fmt: skip
    # The listing of the keys of the cluster precedes a term.
    controller.workers.revision_clock.record(Revision(core.revision), clock.monotonic())
    scheduler = controller.scheduler
    running = asyncio.create_task(controller.run())
    async with asyncio.timeout(10):
        while WORKER not in controller.workers.links:
            await asyncio.sleep(0.01)
        worker = scheduler.workers[WORKER]
        worker.last_response_at = clock.monotonic()
        worker.process.read_clock(1, clock.monotonic(), clock.monotonic())
        assert not scheduler.is_eligible(worker, clock.monotonic())
        core.put(f"servers/{WORKER}", ENTRY)
        while not scheduler.is_eligible(worker, clock.monotonic()):
            worker.last_response_at = clock.monotonic()
            await asyncio.sleep(0.01)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


def test_observations_of_a_busy_leader_span_more_than_the_age_of_an_entry():
    """A large fleet writes hundreds of entries a second."""
    clock = RevisionClock()
    for number in range(3000):
        clock.record(Revision(number), number * 0.005)
    assert 0.0 < clock.written_after(Revision(3000 - 1000)) <= 10.0
    assert clock.written_after(Revision(3000)) == 2999 * 0.005
