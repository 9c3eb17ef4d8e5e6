"""Batched commits of progress records.

Guards against a job in two concurrent commits, which conflict forever, against a leader
that keeps writing after its term, and against replacing a record that it has not read.
"""

import asyncio
import contextlib

import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import LeaderElection, LeaderRecord
from ebonyhub.ids import EntryId, JobId, QueueName, ServiceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import progress_key
from ebonyhub.metrics import Metrics
from ebonyhub.scheduling.committer import MAX_JOBS_PER_COMMIT, Committer
from ebonyhub.scheduling.scheduler import Scheduler
from standins.memory_store import MemoryStore, StoreCore

SPEC = JobSpec("text", (StepSpec(1, Resources(100, 1)),))


class CountingStore(MemoryStore):
    """Records transactions, and yields to other tasks before executing each."""

    def __init__(self, core):
        super().__init__(core)
        self.commits = []

    async def commit(self, transaction):
        self.commits.append(transaction)
        await asyncio.sleep(0.01)
        return await super().commit(transaction)


async def started_committer(jobs):
    # The store's time stands still, so that the term does not end with its lease.
    core = StoreCore(lambda: 0.0)
    store = CountingStore(core)
    record = LeaderRecord(EntryId("e"), "a:1", 1)
    term = (await LeaderElection(store, SystemClock(), record).acquire()).ok
    scheduler = Scheduler()
    scheduler.records_loaded = True
    for number in range(jobs):
        accepted = AcceptedJob(
            JobId(f"{number:016x}"), QueueName("q"), ServiceName("s"), 3, 0, SPEC
        )
        scheduler.load_job(accepted, None, False, 0.0, 1)
        job = scheduler.jobs[accepted.job]
        job.version = 1
        scheduler.dirty[accepted.job] = job
    committer = Committer(
        store, scheduler, term, SystemClock(), Metrics(CollectorRegistry()),
        lambda items: None,
    )  # fmt: skip
    store.commits.clear()
    return core, store, scheduler, committer


async def run_until(committer, condition):
    task = asyncio.create_task(committer.run())
    committer.work_available.set()
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.005)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def test_each_job_is_in_only_one_commit():
    _, store, scheduler, committer = await started_committer(40)
    await run_until(committer, lambda: not scheduler.dirty)
    keys = [write.key for commit in store.commits for write in commit.writes]
    assert len(keys) == len(set(keys)) == 40
    assert max(len(commit.writes) for commit in store.commits) == MAX_JOBS_PER_COMMIT
    assert max(commit.operation_count for commit in store.commits) <= 32


@pytest.mark.parametrize("lost_answers", [1, 3])
async def test_own_commit_whose_answer_was_lost_is_overwritten(lost_answers):
    core, store, scheduler, committer = await started_committer(1)
    job = next(iter(scheduler.jobs.values()))
    store.answers_to_lose = lost_answers
    await run_until(committer, lambda: not scheduler.dirty)
    assert not committer.term.ended
    assert core.items[progress_key(job.job_id)].revision == core.revision


@pytest.mark.parametrize("removed", [False, True])
async def test_record_that_the_leader_has_not_read_is_not_overwritten(removed):
    """Replacing it would start tasks again that it says are done."""
    core, _, scheduler, committer = await started_committer(1)
    job = next(iter(scheduler.jobs.values()))
    key = progress_key(job.job_id)
    core.put(key, b"unread")
    if removed:
        committer.revisions[job.job_id] = core.items[key].revision
        core.delete(key)
    await run_until(committer, lambda: committer.term.ended)
    assert (core.items[key].value if key in core.items else None) == (
        None if removed else b"unread"
    )


async def test_record_that_cannot_be_encoded_holds_up_no_other_job():
    core, _, scheduler, committer = await started_committer(3)
    broken, *others = scheduler.jobs.values()
    broken.progress.finished_ms = 2**70
    await run_until(committer, lambda: len(scheduler.dirty) == 1)
    assert broken.job_id in scheduler.dirty
    assert all(progress_key(job.job_id) in core.items for job in others)


async def test_lost_leadership_ends_the_term():
    core, _, scheduler, committer = await started_committer(1)
    core.put("eb/n/leader", b"another")
    await run_until(committer, lambda: committer.term.ended)
    job = next(iter(scheduler.jobs.values()))
    assert progress_key(job.job_id) not in core.items
