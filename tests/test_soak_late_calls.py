"""Calls to a stand-in worker that are carried out after its restart.

Guards against a soak whose late calls never arrive, or arrive at once.
"""

import asyncio
import random

from ebonyhub.ids import LeaderToken, RackId, ServiceName, TaskId, WorkerId
from ebonyhub.jobs.model import Resources
from ebonyhub.scheduling.model import RunOutcome, StartOrder
from standins import late_calls
from standins.fake_worker import FakeWorker
from standins.late_calls import LateCalls

TASK = TaskId("0123456789abcdef", 0, 0, 0)


def fake_worker() -> FakeWorker:
    return FakeWorker(
        worker=WorkerId("w1"),
        service=ServiceName("plans"),
        capacity=Resources(8000, 8000, 0),
        rack=RackId("r1"),
        born_ms=1,
    )


def test_clock_of_the_next_process_is_behind_or_ahead_and_positive():
    worker = fake_worker()
    worker.clock_rng = random.Random(1)
    changes = []
    for born_ms in range(2, 200):
        before = worker.clock_offset_ms
        worker.restart(born_ms)
        assert worker.clock_offset_ms >= 0
        changes.append(worker.clock_offset_ms - before)
    assert 0.3 < sum(change < 0 for change in changes) / len(changes) < 0.7
    assert max(map(abs, changes)) > 3_600_000
    assert min(map(abs, changes)) < 10_000


def test_late_poll_forgets_the_ends_that_are_there_and_no_later_ones():
    worker = fake_worker()
    token = LeaderToken(1)
    for number in (1, 2):
        deadline_ms = worker.clock_ms(0.0) + 5000
        order = StartOrder(TASK, number, "", deadline_ms, token)
        assert worker.start(order, 0.0, 0, RunOutcome.DONE) is None
        worker.advance(0.1)
        if number == 1:
            assert worker.poll(token, 57, None, 0.1).ended == ()
    assert [end.sequence for end in worker.poll(token, 0, None, 0.2).ended] == [2]
    assert worker.forgotten_sequence == 1


async def test_held_call_is_carried_out_later_and_not_after_the_end(monkeypatch):
    monkeypatch.setattr(late_calls, "LATE_CALL_SECONDS", (0.05, 0.06))
    calls = LateCalls()
    carried_out = []

    async def call():
        carried_out.append(1)

    calls.hold("POST /hold", {}, call)
    await asyncio.sleep(0)
    assert carried_out == []
    await asyncio.sleep(0.2)
    assert carried_out == [1]
    calls.hold("POST /hold", {}, call)
    calls.close()
    await asyncio.sleep(0.2)
    assert carried_out == [1]
