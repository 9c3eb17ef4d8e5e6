"""Stores progress records in batches, provided that this entry still leads."""

import asyncio
import hashlib
from collections.abc import Callable, Iterable, Mapping

import msgspec

from ..clock import Clock
from ..cluster.leadership import LEADER_KEY, Term
from ..cluster.metadata_store import (
    ABSENT,
    MAX_TRANSACTION_OPERATIONS,
    Item,
    MetadataStore,
    StoreFailure,
    Transaction,
    Write,
)
from ..decoding import describe
from ..events import Event, log_event
from ..ids import JobId, Revision
from ..jobs.records import progress_key
from ..metrics import Metrics
from .runs import Job
from .scheduler import Scheduler

# Each job takes two operations of a transaction, a condition and a write; one more is
# the condition on the leader's key.
MAX_JOBS_PER_COMMIT = (MAX_TRANSACTION_OPERATIONS - 1) // 2
# Seconds to wait after a change, so that a burst of changes shares a commit.
BATCH_DELAY_SECONDS = 0.003
# Concurrent commits; a slow store takes up to a quarter of a second for each.
MAX_CONCURRENT_COMMITS = 4
# Seconds to wait after a failed commit.
RETRY_DELAY_SECONDS = 0.15


class Committer:
    """Writes the scheduler's dirty jobs to the store while this entry leads.

    It keeps the revision of each progress record; ``on_stored`` receives the items of
    each successful commit.
    """

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
        # Digests of the records that were sent without an answer since the last known
        # revision; one of them may have been stored.
        self.unanswered: dict[JobId, set[bytes]] = {}
        # Jobs with a record that cannot be encoded.
        self.unencodable: set[JobId] = set()
        self.in_flight: set[JobId] = set()
        self.work_available = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        # Whether the last commit succeeded; nothing is planned while it is False.
        self.healthy = True

    async def run(self) -> None:
        """Store dirty jobs until cancelled."""
        try:
            while True:
                await self.work_available.wait()
                self.work_available.clear()
                await asyncio.sleep(BATCH_DELAY_SECONDS)
                while not self.term.ended and len(self.tasks) < MAX_CONCURRENT_COMMITS:
                    batch = self._next_batch()
                    if not batch:
                        break
                    task = asyncio.create_task(self._store_batch(batch))
                    self.tasks.add(task)
                    task.add_done_callback(self._task_done)
        finally:
            for task in self.tasks:
                task.cancel()

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.work_available.set()
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED,
                task="commit",
                error=repr(task.exception()),
            )

    def _next_batch(self) -> list[Job]:
        batch: list[Job] = []
        for job_id, job in self.scheduler.dirty.items():
            if job_id in self.in_flight or job_id in self.unencodable:
                continue
            batch.append(job)
            if len(batch) == MAX_JOBS_PER_COMMIT:
                break
        # Marked here rather than in the commit's task, which starts later: the next
        # batch would otherwise contain the same jobs.
        self.in_flight |= {job.job_id for job in batch}
        return batch

    async def _store_batch(self, batch: list[Job]) -> None:
        try:
            await self._commit(batch)
        finally:
            self.in_flight -= {job.job_id for job in batch}

    async def _commit(self, batch: list[Job]) -> None:
        versions = {job.job_id: job.version for job in batch}
        values = {job.job_id: value for job in batch if (value := self._encode(job))}
        if not values:
            return
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        for job_id in values:
            conditions[progress_key(job_id)] = self.revisions.get(job_id, ABSENT)
        writes = [Write(progress_key(job_id), v) for job_id, v in values.items()]
        started = self.clock.monotonic()
        result = await self.store.commit(Transaction(conditions, tuple(writes)))
        self.metrics.commit_seconds.observe(self.clock.monotonic() - started)
        if result.is_ok():
            stored = [job for job in batch if job.job_id in values]
            self._handle_success(stored, versions, writes, result.ok)
            return
        failure = result.error
        if failure.kind is StoreFailure.CONFLICT:
            self._resolve_conflict(values, failure.current)
            return
        if failure.kind is StoreFailure.UNKNOWN:
            for job_id, value in values.items():
                self.unanswered.setdefault(job_id, set()).add(_digest(value))
        if self.healthy:
            self.healthy = False
            log_event(
                Event.STORE_UNREACHABLE, operation="commit", jobs=len(batch),
                reason=failure.kind.value,
            )  # fmt: skip
        await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _encode(self, job: Job) -> bytes | None:
        """Encode a job's record; one that cannot be encoded holds up no other job."""
        try:
            return msgspec.msgpack.encode(job.progress)
        except (msgspec.MsgspecError, OverflowError, TypeError, ValueError) as error:
            self.unencodable.add(job.job_id)
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="commit", job=job.job_id,
                error=describe(error),
            )  # fmt: skip
            return None

    def _handle_success(
        self,
        batch: list[Job],
        versions: dict[JobId, int],
        writes: list[Write],
        revision: Revision,
    ) -> None:
        if not self.healthy:
            self.healthy = True
            log_event(Event.STORE_RECOVERED, operation="commit")
        for job in batch:
            self.revisions[job.job_id] = revision
            self.unanswered.pop(job.job_id, None)
            self.scheduler.mark_stored(job, versions[job.job_id])
        self.on_stored([Item(w.key, w.value, revision) for w in writes])

    def _resolve_conflict(
        self, job_ids: Iterable[JobId], current: Mapping[str, Item]
    ) -> None:
        """Adopt the revisions of own commits whose answers were lost.

        If the leader's key is gone or has another revision, this term has ended. So
        has it if a record is not one that this term wrote: replacing a record that
        was not read would start tasks again that it says are done.
        """
        leader = current.get(LEADER_KEY)
        if leader is None or int(leader.revision) != int(self.term.token):
            self._end_term("commit")
            return
        for job_id in job_ids:
            expected = self.revisions.get(job_id, ABSENT)
            item = current.get(progress_key(job_id))
            found = item.revision if item else ABSENT
            if found == expected:
                continue
            value = item.value if item and item.value else b""
            own = _digest(value) in self.unanswered.get(job_id, ())
            log_event(
                Event.PROGRESS_CONFLICT, job=job_id, expected=expected, found=found,
                own=own, token=self.term.token,
            )  # fmt: skip
            if not own:
                self._end_term("record")
                return
            self.revisions[job_id] = found

    def _end_term(self, cause: str) -> None:
        if not self.term.ended:
            log_event(Event.LEADERSHIP_LOST, cause=cause, token=self.term.token)
        self.term.ended = True


def _digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=16).digest()
