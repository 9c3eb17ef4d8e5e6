"""Stores the progress of jobs in groups, on condition that the leader still leads."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec

from ..clock import Clock
from ..cluster.leadership import LEADER_KEY, Term
from ..cluster.metadata_store import (
    MAX_TRANSACTION_OPERATIONS,
    Item,
    MetadataStore,
    StoreFailure,
    Transaction,
    Write,
)
from ..events import Event, log_event
from ..ids import JobId, Revision
from ..jobs.records import progress_key
from ..metrics import Metrics
from .runs import Job
from .scheduler import Scheduler

# Each job takes a condition and a write; one row is the leader's own condition.
JOBS_PER_COMMIT = (MAX_TRANSACTION_OPERATIONS - 1) // 2
# Seconds to let the records of one burst of events share a commit.
BATCH_DELAY_SECONDS = 0.003
# Commits under way at once; a slow store answers in a quarter of a second.
PARALLEL_COMMITS = 4
# Seconds between attempts while the store fails.
RETRY_SECONDS = 0.15


class Committer:
    """Owns the revisions of the progress records while this entry leads."""

    def __init__(
        self,
        store: MetadataStore,
        scheduler: Scheduler,
        term: Term,
        clock: Clock,
        metrics: Metrics,
        on_stored: Callable[[list[Item]], None],
    ) -> None:
        self.store = store
        self.scheduler = scheduler
        self.term = term
        self.clock = clock
        self.metrics = metrics
        self.on_stored = on_stored
        self.revisions: dict[JobId, Revision] = {}
        self.in_flight: set[JobId] = set()
        self.work = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        # False while the last commit failed.
        self.healthy = True

    async def run(self) -> None:
        """Store dirty jobs until cancelled."""
        try:
            while True:
                await self.work.wait()
                self.work.clear()
                await asyncio.sleep(BATCH_DELAY_SECONDS)
                while len(self.tasks) < PARALLEL_COMMITS:
                    group = self._next_group()
                    if not group:
                        break
                    task = asyncio.create_task(self._store_group(group))
                    self.tasks.add(task)
                    task.add_done_callback(self._task_done)
        finally:
            for task in self.tasks:
                task.cancel()

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.work.set()
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED,
                task="commit",
                error=repr(task.exception()),
            )

    def _next_group(self) -> list[Job]:
        group: list[Job] = []
        for job_id, job in self.scheduler.dirty.items():
            if job_id in self.in_flight:
                continue
            group.append(job)
            if len(group) == JOBS_PER_COMMIT:
                break
        # Marked before the commit's task first runs, or the next group would hold the
        # same jobs.
        self.in_flight |= {job.job_id for job in group}
        return group

    async def _store_group(self, group: list[Job]) -> None:
        try:
            await self._commit(group)
        finally:
            self.in_flight -= {job.job_id for job in group}

    async def _commit(self, group: list[Job]) -> None:
        versions = {job.job_id: job.version for job in group}
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        writes: list[Write] = []
        for job in group:
            key = progress_key(job.job_id)
            conditions[key] = self.revisions.get(job.job_id, Revision(0))
            writes.append(Write(key, msgspec.msgpack.encode(job.progress)))
        started = self.clock.monotonic()
        result = await self.store.commit(Transaction(conditions, tuple(writes)))
        self.metrics.commit_seconds.observe(self.clock.monotonic() - started)
        if result.is_ok():
            self._note_success(group, versions, writes, result.ok)
            return
        failure = result.error
        if failure.kind is StoreFailure.CONFLICT:
            self._resolve_conflict(group, failure.current)
            return
        if self.healthy:
            self.healthy = False
            log_event(
                Event.STORE_UNREACHABLE, operation="commit", jobs=len(group),
                reason=failure.kind.value,
            )  # fmt: skip
        await asyncio.sleep(RETRY_SECONDS)

    def _note_success(
        self,
        group: list[Job],
        versions: dict[JobId, int],
        writes: list[Write],
        revision: Revision,
    ) -> None:
        if not self.healthy:
            self.healthy = True
            log_event(Event.STORE_RECOVERED, operation="commit")
        for job in group:
            self.revisions[job.job_id] = revision
            self.scheduler.mark_stored(job, versions[job.job_id])
        self.on_stored([Item(w.key, w.value, revision) for w in writes])

    def _resolve_conflict(self, group: list[Job], current: Mapping[str, Item]) -> None:
        """Adopt the revisions of earlier commits that were carried out late.

        Without the leader's key, or with another revision of it, this term is over.
        """
        leader = current.get(LEADER_KEY)
        if leader is None or int(leader.revision) != int(self.term.token):
            log_event(Event.LEADERSHIP_LOST, cause="commit", token=self.term.token)
            self.term.ended = True
            return
        for job in group:
            item = current.get(progress_key(job.job_id))
            if item is not None:
                self.revisions[job.job_id] = item.revision
