"""Stores progress records in batches, provided that this entry still leads."""

import asyncio
import hashlib
from collections.abc import Callable, Coroutine, Mapping
from itertools import islice
from typing import Any

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
from ..jobs.progress_parts import parse_progress_key
from ..jobs.records import PROGRESS_PREFIX
from ..metrics import Metrics
from .record_writes import JobWrites, StoredParts, encode_writes
from .runs import Job
from .scheduler import Scheduler

# Each job takes two operations of a transaction, a condition and a write; one more is
# the condition on the leader's key.
MAX_JOBS_PER_COMMIT = (MAX_TRANSACTION_OPERATIONS - 1) // 2
# A removal takes one operation.
MAX_REMOVALS_PER_COMMIT = MAX_TRANSACTION_OPERATIONS - 1
# Bytes of values after which no further job is added to a commit.
MAX_COMMIT_BYTES = 262_144
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
        self.parts = StoredParts()
        # Digests of the values that were sent without an answer since the last known
        # revision of their keys; one of them may have been stored.
        self.unanswered: dict[str, set[bytes]] = {}
        # When the next commit of a job with a long record may begin.
        self.paced_until: dict[JobId, float] = {}
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
                    if batch:
                        self._track(self._store_batch(batch))
                    elif self.parts.outdated:
                        self._track(self._remove_outdated())
                    else:
                        break
        finally:
            for task in self.tasks:
                task.cancel()

    def _track(self, commit: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(commit)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.work_available.set()
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED,
                task="commit",
                error=repr(task.exception()),
            )

    def _next_batch(self) -> list[JobWrites]:
        """Encode the next changes, as many as one transaction takes."""
        batch: list[JobWrites] = []
        left, size = MAX_JOBS_PER_COMMIT, 0
        now = self.clock.monotonic()
        for job_id, job in self.scheduler.dirty.items():
            if job_id in self.in_flight or job_id in self.unencodable:
                continue
            if now < self.paced_until.get(job_id, now):
                continue
            writes = self._encode(job, left)
            if writes is None:
                continue
            batch.append(writes)
            left -= len(writes.values)
            size += sum(map(len, writes.values.values()))
            if left <= 0 or size > MAX_COMMIT_BYTES:
                break
        # Marked here rather than in the commit's task, which starts later: the next
        # batch would otherwise contain the same jobs.
        self.in_flight |= {writes.job.job_id for writes in batch}
        return batch

    async def _store_batch(self, batch: list[JobWrites]) -> None:
        stored = False
        try:
            stored = await self._commit(batch)
        finally:
            for writes in batch:
                if not stored:
                    writes.withdraw()
                self.in_flight.discard(writes.job.job_id)

    async def _commit(self, batch: list[JobWrites]) -> bool:
        """Store a batch; return whether that has succeeded."""
        values = {key: v for writes in batch for key, v in writes.values.items()}
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        conditions |= {key: self._revision(key) for key in values}
        items = [Write(key, value) for key, value in values.items()]
        started = self.clock.monotonic()
        result = await self.store.commit(Transaction(conditions, tuple(items)))
        self.metrics.commit_seconds.observe(self.clock.monotonic() - started)
        if result.is_ok():
            self._handle_success(batch, items, result.ok)
            return True
        failure = result.error
        if failure.kind is StoreFailure.CONFLICT:
            self._resolve_conflict(values, failure.current)
            return False
        if failure.kind is StoreFailure.UNKNOWN:
            for key, value in values.items():
                self.unanswered.setdefault(key, set()).add(_digest(value))
        if self.healthy:
            self.healthy = False
            log_event(
                Event.STORE_UNREACHABLE, operation="commit", jobs=len(batch),
                reason=failure.kind.value,
            )  # fmt: skip
        await asyncio.sleep(RETRY_DELAY_SECONDS)
        return False

    def _revision(self, key: str) -> Revision:
        """Return the known revision of a key of a progress record."""
        job_id, part = parse_progress_key(key.removeprefix(PROGRESS_PREFIX))
        if part is None:
            return self.revisions.get(job_id, ABSENT)
        return self.parts.revisions(job_id).get(part, ABSENT)

    def _set_revision(self, key: str, revision: Revision) -> None:
        job_id, part = parse_progress_key(key.removeprefix(PROGRESS_PREFIX))
        if part is None:
            self.revisions[job_id] = revision
        else:
            self.parts.add(job_id, part, revision)

    def _encode(self, job: Job, most: int) -> JobWrites | None:
        """Encode a job's record; one that cannot be encoded holds up no other job."""
        try:
            return encode_writes(job, most)
        except (msgspec.MsgspecError, OverflowError, TypeError, ValueError) as error:
            self.unencodable.add(job.job_id)
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="commit", job=job.job_id,
                error=describe(error),
            )  # fmt: skip
            return None

    def _handle_success(
        self, batch: list[JobWrites], items: list[Write], revision: Revision
    ) -> None:
        if not self.healthy:
            self.healthy = True
            log_event(Event.STORE_RECOVERED, operation="commit")
        for item in items:
            self._set_revision(item.key, revision)
            self.unanswered.pop(item.key, None)
        now = self.clock.monotonic()
        for writes in batch:
            job, delay = writes.job, writes.seconds_until_next
            if delay:
                self.paced_until[job.job_id] = now + delay
                asyncio.get_running_loop().call_later(delay, self.work_available.set)
            else:
                self.paced_until.pop(job.job_id, None)
            self.scheduler.mark_stored(job, writes.version)
            if job.layout.is_split and writes.version >= job.version:
                self.parts.drop_outdated(job)
        self.on_stored([Item(w.key, w.value, revision) for w in items])

    async def _remove_outdated(self) -> None:
        """Remove parts of records that are not needed any more."""
        keys = list(islice(self.parts.outdated, MAX_REMOVALS_PER_COMMIT))
        for key in keys:
            del self.parts.outdated[key]
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        removed = await self.store.commit(Transaction(conditions, removals=keys))
        if removed.is_error():
            self.parts.outdated.update(dict.fromkeys(keys))
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        self.on_stored([Item(key, None, removed.ok) for key in keys])

    def _resolve_conflict(
        self, values: Mapping[str, bytes], current: Mapping[str, Item]
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
        for key in values:
            expected = self._revision(key)
            item = current.get(key)
            found = item.revision if item else ABSENT
            if found == expected:
                continue
            value = item.value if item and item.value else b""
            own = _digest(value) in self.unanswered.get(key, ())
            log_event(
                Event.PROGRESS_CONFLICT, job=key.removeprefix(PROGRESS_PREFIX),
                expected=expected, found=found, own=own, token=self.term.token,
            )  # fmt: skip
            if not own:
                self._end_term("record")
                return
            self._set_revision(key, found)

    def _end_term(self, cause: str) -> None:
        if not self.term.ended:
            log_event(Event.LEADERSHIP_LOST, cause=cause, token=self.term.token)
        self.term.ended = True


def _digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=16).digest()
