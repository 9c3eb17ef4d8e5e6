"""Checks of the soak: the oracle's on acknowledged ends, and of stored progress.

Guards against a check that does not fail: finished tasks that started again, and
acknowledged ends that no record holds, were not noticed by earlier versions.
"""

import asyncio
import random
from types import SimpleNamespace

import msgspec
import pytest

from ebonyhub.ids import JobId, RackId, ServiceName, TaskId, WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    StepProgress,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.scheduling.model import RunOutcome
from soak.callers import Callers, ReportedOutcome
from soak.checks import unexpected_runs
from soak.finished_jobs import RECENT_JOBS, store_finished_jobs
from soak.stored_progress import StoredProgressCheck
from soak.workload import JobKind, draw_job
from standins.fake_worker import FakeWorker
from standins.job_cluster import CALLER_PORT
from standins.job_platform import FAILING_TEXT, FLAKY_TEXT, run_outcome
from standins.memory_store import StoreCore
from standins.network import claim_network
from standins.oracle import GuaranteeViolation, Oracle

JOB = JobId("00000000000000aa")
TASK = TaskId(JOB, 0, 0, 0)
MAX_ATTEMPTS = 3


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def oracle(clock):
    oracle = Oracle(clock, MAX_ATTEMPTS)
    oracle.record_submission(JOB, JobSpec("50", (StepSpec(1, Resources(100)),)))
    return oracle


def new_worker(name):
    return FakeWorker(
        worker=WorkerId(name), service=ServiceName("plans"),
        capacity=Resources(8000, 32000, 0), rack=RackId("r1"), born_ms=1,
    )  # fmt: skip


def run_task(oracle, worker, number, outcome=RunOutcome.DONE):
    oracle.check_start(worker, TASK, number)
    worker.sequence += 1
    oracle.record_end(worker, TASK, number, outcome)


def test_start_long_after_an_acknowledged_end_is_a_violation(oracle, clock):
    worker = new_worker("w1")
    run_task(oracle, worker, 1)
    assert oracle.record_acknowledgement(worker, 1) == [TASK]
    clock.now += 60.0
    with pytest.raises(GuaranteeViolation, match="TWICE"):
        oracle.check_start(new_worker("w2"), TASK, 2)


def test_start_before_the_acknowledgement_of_an_end_is_a_violation(oracle):
    worker = new_worker("w1")
    run_task(oracle, worker, 1)
    oracle.check_start(new_worker("w2"), TASK, 2)
    with pytest.raises(GuaranteeViolation, match="TWICE"):
        oracle.record_acknowledgement(worker, 1)


@pytest.mark.parametrize("lost", ["record_lease_expiry", "record_crash"])
def test_start_after_an_end_that_no_leader_knows_is_allowed(oracle, lost):
    worker = new_worker("w1")
    run_task(oracle, worker, 1)
    getattr(oracle, lost)(worker)
    oracle.check_start(new_worker("w2"), TASK, 2)
    assert oracle.record_acknowledgement(worker, 1) == []


def test_start_after_the_job_was_shown_as_completed_is_a_violation(oracle, clock):
    worker = new_worker("w1")
    run_task(oracle, worker, 1)
    oracle.record_shown_completed(JOB)
    oracle.record_lease_expiry(worker)
    clock.now += 1.1
    with pytest.raises(GuaranteeViolation, match="TWICE"):
        oracle.check_start(new_worker("w2"), TASK, 2)


def test_job_shown_as_completed_before_its_tasks_end_is_a_violation(oracle):
    oracle.check_start(new_worker("w1"), TASK, 1)
    with pytest.raises(GuaranteeViolation, match="MIXED"):
        oracle.record_shown_completed(JOB)


def test_acknowledged_failures_use_up_the_attempts(oracle):
    worker = new_worker("w1")
    for number in range(1, MAX_ATTEMPTS + 1):
        run_task(oracle, worker, number, RunOutcome.FAILED)
        oracle.record_acknowledgement(worker, worker.sequence)
    oracle.record_crash(worker)
    with pytest.raises(GuaranteeViolation, match="BUDGET"):
        oracle.check_start(worker, TASK, MAX_ATTEMPTS + 1)


def test_failure_that_no_leader_knows_uses_up_no_attempt(oracle):
    worker = new_worker("w1")
    for number in range(1, MAX_ATTEMPTS + 1):
        run_task(oracle, worker, number, RunOutcome.FAILED)
    oracle.record_crash(worker)
    oracle.check_start(worker, TASK, MAX_ATTEMPTS + 1)


@pytest.fixture
def check(oracle):
    core = StoreCore(lambda: 0.0)
    core.put(accepted_key(JOB), b"accepted")
    return StoredProgressCheck(core, oracle)


def store_record(check, record):
    check.core.put(progress_key(JOB), msgspec.msgpack.encode(record))
    check.check_records()


def record_with_done(*positions):
    return ProgressRecord(JobState.RUNNING, {0: [StepProgress(done=set(positions))]})


def test_acknowledged_end_without_a_stored_record_is_a_violation(check):
    assert len(check.check_acknowledged([TASK])) == 1
    store_record(check, record_with_done())
    assert len(check.check_acknowledged([TASK])) == 1


@pytest.mark.parametrize(
    "record",
    [
        record_with_done(0),
        ProgressRecord(JobState.RUNNING, {0: []}),
        ProgressRecord(JobState.RUNNING, {}, next_occurrence=1),
        ProgressRecord(JobState.COMPLETED),
    ],
)
def test_acknowledged_end_is_found_in_each_form_of_the_record(check, record):
    store_record(check, record)
    assert check.check_acknowledged([TASK]) == []


def test_ends_of_cancelled_jobs_need_no_record(check):
    check.core.put(cancelled_key(JOB), b"")
    assert check.check_acknowledged([TASK]) == []


def test_record_that_loses_a_done_task_is_a_violation(check):
    store_record(check, record_with_done(0, 1))
    store_record(check, record_with_done(0, 1))
    assert check.problems == []
    store_record(check, record_with_done(1))
    assert len(check.problems) == 1


def test_record_that_leaves_a_final_state_is_a_violation(check):
    store_record(check, ProgressRecord(JobState.COMPLETED))
    store_record(check, record_with_done(0))
    assert len(check.problems) == 1


def test_finished_jobs_are_stored_and_must_not_start_again(clock):
    core, oracle = StoreCore(lambda: 0.0), Oracle(clock, MAX_ATTEMPTS)
    jobs = store_finished_jobs(core, oracle, random.Random(1))
    assert len(jobs) == RECENT_JOBS
    with pytest.raises(GuaranteeViolation, match="TWICE"):
        oracle.check_start(new_worker("w1"), TaskId(jobs[0], 0, 0, 0), 1)


def test_jobs_of_every_kind_are_drawn():
    rng = random.Random(1)
    jobs = [draw_job(rng) for _ in range(500)]
    assert {job.kind for job in jobs} == set(JobKind)
    assert max(len(job.body["Steps"]) for job in jobs) > 2
    assert any(job.cancel_after is not None for job in jobs)


def test_tasks_fail_as_their_text_says():
    assert run_outcome(FAILING_TEXT, 2) is RunOutcome.FAILED
    assert run_outcome(FLAKY_TEXT, 1) is RunOutcome.FAILED
    assert run_outcome(FLAKY_TEXT, 2) is RunOutcome.DONE
    assert run_outcome("300", 1) is RunOutcome.DONE


async def test_caller_keeps_using_its_connection_until_the_entry_closes_it(oracle):
    """Earlier callers opened a connection for each call, so none was ever cut off."""
    network = claim_network()
    calls_by_connection = []

    async def answer(reader, writer):
        calls_by_connection.append(0)
        while await reader.readuntil(b"\r\n\r\n"):
            calls_by_connection[-1] += 1
            closing = calls_by_connection[-1] == 3
            head = b"Connection: close\r\n" if closing else b""
            writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"Content-Length: 0\r\n\r\n")
            if closing:
                break
        writer.close()

    async def is_ready(entry):
        return True

    address = network.address(1, 1)
    server = await asyncio.start_server(answer, address, CALLER_PORT)
    cluster = SimpleNamespace(
        ip=lambda entry: address, is_ready=is_ready, processes={"entry-1": None}
    )
    callers = Callers(cluster, oracle, random.Random(1))
    calling = asyncio.create_task(callers.use_persistent_connection("entry-1", 0.01))
    while callers.answered_calls < 6:
        await asyncio.sleep(0.01)
    calling.cancel()
    server.close()
    network.close()
    assert calls_by_connection[:2] == [3, 3]
    assert callers.problems == []


@pytest.mark.parametrize(
    ("outcome", "is_problem"),
    [
        (ReportedOutcome.REFUSED, True),
        (ReportedOutcome.WITHDRAWN, True),
        (ReportedOutcome.UNKNOWN, False),
        (ReportedOutcome.ACCEPTED, False),
        (ReportedOutcome.CANCELLED, False),
    ],
)
def test_run_of_a_job_that_callers_were_told_does_not_exist(outcome, is_problem):
    callers = SimpleNamespace(reported_outcomes={JOB: outcome})
    oracle = SimpleNamespace(tasks={TASK: None})
    cluster = SimpleNamespace(platform=SimpleNamespace(workers=[]))
    assert bool(unexpected_runs(callers, oracle, cluster)) is is_problem
