"""Job ids that were cancelled before any job was known under them.

An id is withdrawn in one scope, so that it refuses no submission in another one.

A submission may still be under way to the store when its job is cancelled. One key of
the store holds the ids of such cancels, and each submission is stored on condition that
this key has the revision that its entry knows. Writing the key therefore defeats every
submission that was sent before, whichever entry sent it; a submission that is sent
later is checked against the ids.
"""

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable
from enum import Enum
from itertools import islice
from math import inf
from typing import Annotated, NamedTuple

import msgspec

from ..clock import Clock
from ..cluster.metadata_store import (
    ABSENT,
    MAX_TRANSACTION_OPERATIONS,
    CommitFailure,
    Item,
    MetadataStore,
    StoreFailure,
    Transaction,
    Write,
)
from ..decoding import Count, try_decode
from ..events import Event, log_event
from ..ids import JobId, Revision
from ..jobs.model import JobScope
from ..jobs.records import accepted_key
from ..rejections import InputSource, Rejections

WITHDRAWALS_KEY = "eb/withdrawn"
# For this long submissions under a withdrawn id are refused. Callers repeat a
# submission for some seconds.
WITHDRAWAL_SECONDS = 30.0
# Limit on the withdrawn ids, which are read again after each change of the key.
MAX_IDS = 4096
# One condition for each id, one more and a write for the key.
MAX_IDS_PER_COMMIT = MAX_TRANSACTION_OPERATIONS - 2
MAX_ATTEMPTS = 8
MAX_UNANSWERED_ATTEMPTS = 2
# Pause between two commits of one entry, so that a wave of cancels shares commits.
COMMIT_INTERVAL_SECONDS = 0.05
# Longest pause after another entry has changed the key at the same time.
FIRST_CONFLICT_PAUSE_SECONDS = 0.01
MAX_CONFLICT_PAUSE_SECONDS = 0.3
LOAD_RETRY_SECONDS = 1.0
CLEANUP_INTERVAL_SECONDS = 5.0
MAX_LOGGED_IDS = 4
DIGEST_BYTES = 8


class Withdrawal(Enum):
    """Outcome of the withdrawal of an id."""

    # No submission that was sent before will be stored.
    DONE = "done"
    # A job has been accepted under the id.
    JOB_EXISTS = "job_exists"
    # Nothing was done: the store calls fail, or too many ids are withdrawn.
    NOT_STORED = "not_stored"
    TOO_MANY = "too_many"
    UNKNOWN = "unknown"


class WithdrawalBatch(msgspec.Struct, array_like=True, frozen=True):
    """Ids that were withdrawn together, as concatenated digests.

    The number tells batches with the same ids apart.
    """

    number: Count
    digests: Annotated[bytes, msgspec.Meta(max_length=MAX_IDS * DIGEST_BYTES)]


class WithdrawalRecord(msgspec.Struct, array_like=True, frozen=True):
    """Value of the key."""

    next_number: Count = 0
    batches: Annotated[
        tuple[WithdrawalBatch, ...], msgspec.Meta(max_length=MAX_IDS)
    ] = ()


_decode_record = msgspec.msgpack.Decoder(WithdrawalRecord).decode


class ScopedId(NamedTuple):
    """A job id in the scope in which it is or may be withdrawn."""

    job: JobId
    scope: JobScope


def _digest(scoped: ScopedId) -> bytes:
    # Encoded as an array, since names may contain any separator.
    parts = msgspec.msgpack.encode((*scoped.scope, scoped.job))
    return hashlib.blake2b(parts, digest_size=DIGEST_BYTES).digest()


class Withdrawals:
    """Withdraws ids, and tells which ones are withdrawn as far as this entry knows.

    Times are measured from when this entry first saw a batch, so that clocks of
    different machines need not agree. ``on_records`` receives submission records that
    are found in the store.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        rng: random.Random,
        on_records: Callable[[list[Item]], None],
        rejections: Rejections | None = None,
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.on_records = on_records
        self.rejections = rejections or Rejections()
        self.revision = ABSENT
        self.record = WithdrawalRecord()
        # When this entry first saw each batch of the record.
        self.first_seen: dict[WithdrawalBatch, float] = {}
        # When each id stops being withdrawn, by digest.
        self.expiry: dict[bytes, float] = {}
        # When this entry itself withdrew ids, by digest.
        self.withdrawn_at: dict[bytes, float] = {}
        self.pending: dict[ScopedId, asyncio.Future[Withdrawal]] = {}
        self.storing: asyncio.Task[None] | None = None
        # When this entry removes the expired ids, unless another one has done so.
        self.cleanup_at = inf

    def remaining_seconds(self, job_id: JobId, scope: JobScope) -> float:
        """Return how long submissions under an id are refused, 0 if they are not."""
        if not self.expiry:
            return 0.0
        expires_at = self.expiry.get(_digest(ScopedId(job_id, scope)), -inf)
        return max(0.0, expires_at - self.clock.monotonic())

    async def withdraw(self, job_id: JobId, scope: JobScope) -> Withdrawal:
        """Make sure that no submission in a scope is stored that was sent before."""
        scoped = ScopedId(job_id, scope)
        if self._has_just_withdrawn(scoped):
            return Withdrawal.DONE
        if scoped not in self.pending:
            self.pending[scoped] = asyncio.get_running_loop().create_future()
        outcome = self.pending[scoped]
        if self.storing is None:
            self.storing = asyncio.create_task(self._store_pending())
        # The caller may leave; the others that wait for the same id go on.
        return await asyncio.shield(outcome)

    def _has_just_withdrawn(self, scoped: ScopedId) -> bool:
        """Return whether this entry withdrew an id so lately that all others know it.

        Another entry's batch may be about to expire there, although it is new here.
        """
        withdrawn_at = self.withdrawn_at.get(_digest(scoped), -inf)
        return withdrawn_at > self.clock.monotonic() - WITHDRAWAL_SECONDS / 2

    def observe(self, item: Item | None) -> None:
        """Apply the present value of the key, None if it does not exist."""
        revision = item.revision if item is not None else ABSENT
        if revision == self.revision:
            return
        record = WithdrawalRecord()
        if item is not None and item.value is not None:
            decoded = try_decode(_decode_record, item.value)
            if decoded.is_ok():
                record = decoded.ok
            else:
                self.rejections.add(
                    InputSource.STORE, item.key, item.value, decoded.error
                )
        self._apply(record, revision)

    def _apply(self, record: WithdrawalRecord, revision: Revision) -> None:
        if ABSENT < revision < self.revision:
            # Answers may overtake each other.
            return
        now = self.clock.monotonic()
        self.record, self.revision = record, revision
        self.first_seen = {
            batch: self.first_seen.get(batch, now) for batch in record.batches
        }
        self.expiry = {
            digest: first_seen + WITHDRAWAL_SECONDS
            for batch, first_seen in self.first_seen.items()
            for digest in _split(batch.digests)
        }
        self.withdrawn_at = {
            digest: withdrawn_at
            for digest, withdrawn_at in self.withdrawn_at.items()
            if digest in self.expiry
        }

    # Storing

    async def _store_pending(self) -> None:
        try:
            while self.pending:
                batch = dict(islice(self.pending.items(), MAX_IDS_PER_COMMIT))
                for scoped in batch:
                    del self.pending[scoped]
                try:
                    await self._store_batch(batch)
                finally:
                    _resolve(batch.values(), Withdrawal.UNKNOWN)
                if self.pending:
                    await asyncio.sleep(COMMIT_INTERVAL_SECONDS)
        except Exception as error:
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="withdrawals", error=repr(error)
            )
        finally:
            self.storing = None
            _resolve(self.pending.values(), Withdrawal.UNKNOWN)
            self.pending.clear()

    async def _store_batch(
        self, batch: dict[ScopedId, asyncio.Future[Withdrawal]]
    ) -> None:
        """Store the ids and resolve their futures."""
        # Commits of this call without an answer; one of them may have been applied.
        unanswered: list[WithdrawalBatch] = []
        for attempt in range(MAX_ATTEMPTS):
            ids = [scoped for scoped, outcome in batch.items() if not outcome.done()]
            if not ids:
                return
            record = self._record_with(ids)
            if record is None:
                _resolve(batch.values(), Withdrawal.TOO_MANY)
                return
            written = record.batches[-1]
            failure = await self._commit(
                record, {accepted_key(scoped.job): ABSENT for scoped in ids}
            )
            if failure is None or any(b in self.first_seen for b in unanswered):
                self._finish(ids, attempt + 1)
                _resolve(batch.values(), Withdrawal.DONE)
                return
            if failure.kind is StoreFailure.CONFLICT:
                found = [i for i in ids if accepted_key(i.job) in failure.current]
                _resolve([batch[scoped] for scoped in found], Withdrawal.JOB_EXISTS)
                await self._pause_after_conflict(attempt)
                continue
            if failure.kind is not StoreFailure.UNKNOWN:
                break
            unanswered.append(written)
            if len(unanswered) >= MAX_UNANSWERED_ATTEMPTS:
                break
        outcome = Withdrawal.UNKNOWN if unanswered else Withdrawal.NOT_STORED
        _resolve(batch.values(), outcome)

    def _finish(self, ids: list[ScopedId], attempts: int) -> None:
        self.cleanup_at = self._next_cleanup()
        now = self.clock.monotonic()
        self.withdrawn_at.update((_digest(scoped), now) for scoped in ids)
        log_event(
            Event.JOB_IDS_WITHDRAWN,
            ids=",".join(scoped.job for scoped in ids[:MAX_LOGGED_IDS]),
            count=len(ids), attempts=attempts, revision=self.revision,
        )  # fmt: skip

    def _record_with(self, ids: list[ScopedId]) -> WithdrawalRecord | None:
        """Return the present record without expired ids and with new ones.

        None if it would hold too many ids.
        """
        live = self._live_batches()
        count = sum(len(batch.digests) // DIGEST_BYTES for batch in live)
        if count + len(ids) > MAX_IDS:
            return None
        number = self.record.next_number
        digests = b"".join(_digest(scoped) for scoped in ids)
        return WithdrawalRecord(number + 1, (*live, WithdrawalBatch(number, digests)))

    def _live_batches(self) -> tuple[WithdrawalBatch, ...]:
        limit = self.clock.monotonic() - WITHDRAWAL_SECONDS
        return tuple(
            batch for batch in self.record.batches if self.first_seen[batch] > limit
        )

    async def _commit(
        self, record: WithdrawalRecord, conditions: dict[str, Revision]
    ) -> CommitFailure | None:
        """Replace the record; after a conflict apply what the store holds."""
        write = Write(WITHDRAWALS_KEY, msgspec.msgpack.encode(record))
        result = await self.store.commit(
            Transaction({WITHDRAWALS_KEY: self.revision, **conditions}, (write,))
        )
        if result.is_ok():
            self._apply(record, result.ok)
            return None
        failure = result.error
        if failure.kind is StoreFailure.CONFLICT:
            submitted = [i for key, i in failure.current.items() if key in conditions]
            if submitted:
                self.on_records(submitted)
            self.observe(failure.current.get(WITHDRAWALS_KEY))
        return failure

    async def _pause_after_conflict(self, attempt: int) -> None:
        longest = FIRST_CONFLICT_PAUSE_SECONDS * 2**attempt
        await asyncio.sleep(
            self.rng.uniform(0.0, min(longest, MAX_CONFLICT_PAUSE_SECONDS))
        )

    # Start and cleanup

    async def run(self) -> None:
        """Load the key, then remove expired ids until cancelled."""
        while not await self._load():
            await asyncio.sleep(LOAD_RETRY_SECONDS)
        if self.record.batches:
            self.cleanup_at = self._next_cleanup()
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
            await self._remove_expired()

    async def _load(self) -> bool:
        """Read the key, or create it, so that no cancel adds a key to the store."""
        found = await self.store.get(WITHDRAWALS_KEY)
        if found.is_error():
            return False
        if found.ok is not None:
            self.observe(found.ok)
            return True
        failure = await self._commit(WithdrawalRecord(), {})
        return failure is None or failure.kind is StoreFailure.CONFLICT

    def _next_cleanup(self) -> float:
        # Entries that saw the same batches clean up at different times.
        pause = WITHDRAWAL_SECONDS * self.rng.uniform(1.0, 2.0)
        return self.clock.monotonic() + pause

    async def _remove_expired(self) -> None:
        if self.clock.monotonic() < self.cleanup_at or self.storing is not None:
            return
        live = self._live_batches()
        if live:
            self.cleanup_at = self._next_cleanup()
            return
        if self.record.batches:
            record = WithdrawalRecord(self.record.next_number)
            if await self._commit(record, {}) is not None:
                return
        self.cleanup_at = inf


def _split(digests: bytes) -> Iterable[bytes]:
    return (
        digests[start : start + DIGEST_BYTES]
        for start in range(0, len(digests), DIGEST_BYTES)
    )


def _resolve(
    outcomes: Iterable[asyncio.Future[Withdrawal]], outcome: Withdrawal
) -> None:
    for pending in outcomes:
        if not pending.done():
            pending.set_result(outcome)
