"""Callers' operations: submit, read and cancel a job, and count a queue's waiting jobs.

A submission is accepted once its record is stored. A cancel of an unknown job withdraws
its id first, so that no submission that is still under way is accepted afterwards. An
entry whose store calls fail forwards the call to a peer.
"""

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..clock import Clock
from ..cluster.metadata_store import (
    ABSENT,
    CommitFailure,
    Item,
    MetadataStore,
    StoreFailure,
    Transaction,
    Write,
)
from ..cluster.mirror import JobMirror
from ..cluster.peers import PeerFailure
from ..configuration import Queue
from ..decoding import DECODE_ERRORS, Name, try_convert, try_decode
from ..errors import ErrorKind
from ..events import Event, log_event
from ..ids import JobId, QueueName, Revision, WorkspaceName
from ..jobs.model import AcceptedJob, JobSpec
from ..jobs.records import JobState, accepted_key, cancelled_key, progress_key
from ..jobs.validation import accepted_problem, is_job_id
from ..metrics import Metrics
from ..scheduling.overload import Admission, retry_after_seconds
from .withdrawals import WITHDRAWALS_KEY, Withdrawal, Withdrawals

# If neither the watch nor the leader has updated the mirror for this long, reads of
# unfinished jobs go to the store, or to a peer if store calls fail.
MAX_STALENESS_SECONDS = 2.5

# Attempts to store a submission, of which a few may get no answer. Others fail since
# the withdrawn ids have changed.
MAX_SUBMISSION_ATTEMPTS = 8
MAX_UNANSWERED_ATTEMPTS = 2
# A submission is not attempted again after this time, in which the process may have
# been suspended. Must be well below the time for which an id stays withdrawn.
MAX_SUBMISSION_SECONDS = 10.0

# The callers' path does not tell workspaces yet.
NO_WORKSPACE = WorkspaceName("")

_decode_accepted = msgspec.msgpack.Decoder(AcceptedJob).decode

PeerCall = Callable[[str, Any], Awaitable[Result[tuple[int, Any], PeerFailure]]]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to a caller: the state of the job, or an error."""

    state: JobState | None = None
    error: ErrorKind | None = None
    # Seconds after which a refused caller should retry; None for the error's default.
    retry_after: int | None = None


ACCEPTED = JobAnswer(JobState.QUEUED)
NOT_FOUND = JobAnswer(error=ErrorKind.UNKNOWN_JOB)
NOT_STORED = JobAnswer(error=ErrorKind.STORE_UNAVAILABLE)
# The records of the job cannot be used; another entry would read the same ones.
UNREADABLE = JobAnswer(error=ErrorKind.STORE_UNAVAILABLE)
OUTCOME_UNKNOWN = JobAnswer(error=ErrorKind.STORE_OUTCOME_UNKNOWN)
TOO_MANY_WITHDRAWALS = JobAnswer(error=ErrorKind.STORE_UNAVAILABLE)

_WITHDRAWAL_ANSWERS = {
    Withdrawal.DONE: NOT_FOUND,
    Withdrawal.NOT_STORED: NOT_STORED,
    Withdrawal.TOO_MANY: TOO_MANY_WITHDRAWALS,
    Withdrawal.UNKNOWN: OUTCOME_UNKNOWN,
}


class JobService:
    """Carries out callers' operations using the store, the mirror and the peers.

    ``on_records`` receives each record that was stored or read for a caller.
    """

    def __init__(
        self,
        store: MetadataStore,
        mirror: JobMirror,
        clock: Clock,
        metrics: Metrics,
        call_peer: PeerCall,
        on_records: Callable[[list[Item]], None],
        forecast_cache: Admission,
        rng: random.Random,
        withdrawals: Withdrawals,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.clock = clock
        self.metrics = metrics
        self.call_peer = call_peer
        self.on_records = on_records
        self.forecast_cache = forecast_cache
        self.rng = rng
        self.withdrawals = withdrawals
        self.synced_at = float("-inf")

    # Submission

    async def submit(self, queue: Queue, job_id: JobId, spec: JobSpec) -> JobAnswer:
        """Accept a job; a repeated submission is accepted without a second job."""
        if self._is_accepted(job_id):
            return ACCEPTED
        withdrawn = self._withdrawn_answer(job_id)
        if withdrawn is not None:
            return withdrawn
        refusal = await self._check_overload(queue, job_id, spec)
        if refusal is not None:
            return refusal
        accepted = AcceptedJob(
            job_id, queue.name, queue.service, queue.max_attempts,
            int(self.clock.wall() * 1000), spec,
        )  # fmt: skip
        value = msgspec.msgpack.encode(accepted)
        if not self.store.failing:
            answer = await self.store_submission(job_id, value)
            if answer is not NOT_STORED:
                return answer
        return await self._forward("submit", [job_id, value], job_id)

    async def _check_overload(
        self, queue: Queue, job_id: JobId, spec: JobSpec
    ) -> JobAnswer | None:
        """Return a refusal if the job would end too late to be of use, else None.

        An earlier attempt through another entry may have been stored although its
        answer was lost. The refusal promises that the job does not run, so the store is
        read first; if that fails, the job is submitted normally.
        """
        now = self.clock.monotonic()
        overrun = self.forecast_cache.refusal_seconds(queue, spec, NO_WORKSPACE, now)
        if overrun <= 0.0 or self.store.failing:
            return None
        found = await self.store.get(accepted_key(job_id))
        if found.is_error() or found.ok is not None:
            return None
        retry_after = retry_after_seconds(overrun, self.rng.random())
        log_event(
            Event.JOB_NOT_ADMITTED, job=job_id, queue=queue.name,
            excess=round(overrun, 2),
            age=round(now - self.forecast_cache.updated_at, 2), retry_after=retry_after,
        )  # fmt: skip
        return JobAnswer(error=ErrorKind.OVERLOADED, retry_after=retry_after)

    async def store_submission(self, job_id: JobId, value: bytes) -> JobAnswer:
        """Store the submission record unless the id has been withdrawn.

        Retries once if the outcome is unknown, and whenever the withdrawn ids have
        changed. A withdrawn id has no record, and an attempt that got no answer will
        not create one any more.
        """
        key = accepted_key(job_id)
        started_at, unanswered = self.clock.monotonic(), 0
        for _ in range(MAX_SUBMISSION_ATTEMPTS):
            withdrawn = self._withdrawn_answer(job_id)
            if withdrawn is not None:
                return withdrawn
            if self.clock.monotonic() - started_at > MAX_SUBMISSION_SECONDS:
                return OUTCOME_UNKNOWN
            conditions = {key: ABSENT, WITHDRAWALS_KEY: self.withdrawals.revision}
            result = await self.store.commit(
                Transaction(conditions, (Write(key, value),))
            )
            if result.is_ok():
                self._publish_record(key, value, result.ok)
                return ACCEPTED
            failure = result.error
            if failure.kind is StoreFailure.CONFLICT:
                answer = self._resolve_conflict(key, value, conditions, failure)
                if answer is not None:
                    return answer
                continue
            may_be_stored = failure.kind is StoreFailure.UNKNOWN
            unanswered += may_be_stored
            if not may_be_stored or unanswered == MAX_UNANSWERED_ATTEMPTS:
                break
        return OUTCOME_UNKNOWN if unanswered else NOT_STORED

    def _resolve_conflict(
        self,
        key: str,
        value: bytes,
        conditions: Mapping[str, Revision],
        failure: CommitFailure,
    ) -> JobAnswer | None:
        """Return the answer to a submission that met a conflict, None to retry it."""
        item = failure.current.get(key)
        if item is not None:
            self._publish_record(key, item.value or value, item.revision)
            return ACCEPTED
        present = failure.current.get(WITHDRAWALS_KEY)
        revision = present.revision if present is not None else ABSENT
        if revision == conditions[WITHDRAWALS_KEY]:
            # The submission record exists, but its row cannot be read.
            return OUTCOME_UNKNOWN
        self.withdrawals.observe(present)
        self.metrics.retries.labels("withdrawals_changed").inc()
        return None

    def _withdrawn_answer(self, job_id: JobId) -> JobAnswer | None:
        """Return the refusal of a withdrawn id, None if the id is not withdrawn."""
        seconds = self.withdrawals.remaining_seconds(job_id)
        if seconds <= 0.0:
            return None
        return JobAnswer(error=ErrorKind.JOB_WITHDRAWN, retry_after=ceil(seconds))

    def _publish_record(self, key: str, value: bytes, revision: Revision) -> None:
        self.on_records([Item(key, value, revision)])

    async def _forward(self, method: str, argument: Any, job_id: JobId) -> JobAnswer:
        """Forward a call to a peer because the store calls of this entry fail."""
        result = await self.call_peer(method, argument)
        if result.is_error():
            log_event(
                Event.CALL_FORWARDED, method=method, job=job_id,
                outcome=result.error.name.lower(),
            )  # fmt: skip
            not_sent = result.error is PeerFailure.NOT_SENT
            return NOT_STORED if not_sent else OUTCOME_UNKNOWN
        status, payload = result.ok
        log_event(Event.CALL_FORWARDED, method=method, job=job_id, outcome=status)
        return decode_peer_answer(status, payload)

    # Reads

    async def read(self, job_id: JobId) -> JobAnswer:
        """Return the state of a job from the mirror, the store or a peer."""
        state = self._fresh_state(job_id)
        if state is not None:
            return JobAnswer(state)
        if not self.store.failing:
            answer = await self.read_store(job_id)
            if answer is not NOT_STORED:
                return answer
        answer = await self._forward("read", [job_id], job_id)
        if answer.state is None and self._is_accepted(job_id):
            return JobAnswer(self.mirror.jobs[job_id].visible_state)
        return answer

    def _fresh_state(self, job_id: JobId) -> JobState | None:
        """Return the state by the mirror, None if the mirror may be out of date."""
        stale = self.clock.monotonic() - self.synced_at > MAX_STALENESS_SECONDS
        state = self.mirror.confirmed_state(job_id)
        return state if state is None or not stale or state.is_final else None

    async def read_store(self, job_id: JobId) -> JobAnswer:
        """Read the state of a job from the records in the store."""
        for key in (accepted_key(job_id), cancelled_key(job_id), progress_key(job_id)):
            found = await self.store.get(key)
            if found.is_error():
                return NOT_STORED
            if found.ok is not None:
                # If this entry leads, the job may be new to its scheduler.
                self.on_records([found.ok])
            elif key == accepted_key(job_id):
                return NOT_FOUND
        job = self.mirror.jobs.get(job_id)
        if job is None or not job.is_accepted:
            return UNREADABLE
        if job.progress_unreadable and not job.state.is_final:
            return UNREADABLE
        return JobAnswer(job.visible_state)

    def waiting_count(self, queue: QueueName) -> int:
        """Return the number of accepted jobs in a queue with no task started yet."""
        return self.mirror.waiting_counts.get(queue, 0)

    # Cancellation

    async def cancel(self, job_id: JobId) -> JobAnswer:
        """Cancel a job; has no effect on a job that has ended.

        If there is no such job, none is accepted by a submission that was sent before.
        """
        state = self._fresh_state(job_id)
        if state is not None and state.is_final:
            return JobAnswer(state)
        if not self.store.failing:
            answer = await self._cancel_in_store(job_id)
            if answer is not NOT_STORED:
                return answer
        return await self._forward("cancel", [job_id], job_id)

    async def _cancel_in_store(self, job_id: JobId) -> JobAnswer:
        state = self._fresh_state(job_id)
        answer = JobAnswer(state) if state is not None else NOT_FOUND
        if state is None:
            answer = await self.read_store(job_id)
        if answer is NOT_FOUND:
            outcome = await self.withdrawals.withdraw(job_id)
            if outcome is not Withdrawal.JOB_EXISTS:
                return _WITHDRAWAL_ANSWERS[outcome]
        elif answer.state is None or answer.state.is_final:
            return answer
        return await self.store_cancellation(job_id)

    async def store_cancellation(self, job_id: JobId) -> JobAnswer:
        """Store the cancellation record of a job; retries once without an answer."""
        write = Write(cancelled_key(job_id), b"\x01")
        unanswered = 0
        while unanswered < MAX_UNANSWERED_ATTEMPTS:
            result = await self.store.commit(Transaction({write.key: ABSENT}, (write,)))
            if result.is_ok():
                self._publish_record(write.key, write.value, result.ok)
                return ACCEPTED
            failure = result.error
            if failure.kind is StoreFailure.CONFLICT:
                item = failure.current.get(write.key)
                revision = item.revision if item is not None else Revision(1)
                self._publish_record(write.key, write.value, revision)
                return ACCEPTED
            if failure.kind is not StoreFailure.UNKNOWN:
                break
            unanswered += 1
        return OUTCOME_UNKNOWN if unanswered else NOT_STORED

    # Calls forwarded by peers

    async def handle_peer_call(self, method: str, argument: Any) -> tuple[int, Any]:
        """Carry out a call that a peer forwarded; it is never forwarded again.

        Raises ValueError if the call is malformed.
        """
        call = decode_peer_call(method, argument)
        if call.is_error():
            raise ValueError(call.error)
        job_id, value = call.ok
        if self.store.failing and method != "read":
            return encode_peer_answer(NOT_STORED)
        if method == "submit":
            if self._is_accepted(job_id):
                return encode_peer_answer(ACCEPTED)
            return encode_peer_answer(await self.store_submission(job_id, value))
        if method == "cancel":
            return encode_peer_answer(await self._cancel_in_store(job_id))
        state = self.mirror.confirmed_state(job_id)
        if state is not None:
            return encode_peer_answer(JobAnswer(state))
        return encode_peer_answer(await self.read_store(job_id))

    def _is_accepted(self, job_id: JobId) -> bool:
        mirrored = self.mirror.jobs.get(job_id)
        return mirrored is not None and mirrored.is_accepted


def encode_peer_answer(answer: JobAnswer) -> tuple[int, Any]:
    """Encode an answer as reply status (1 for an error) and payload."""
    if answer.error is not None:
        return 1, answer.error.value
    return 0, int(answer.state or 0)


def decode_peer_answer(status: int, payload: Any) -> JobAnswer:
    """Decode a peer's reply; one that cannot be read leaves the outcome unknown."""
    try:
        if status == 1:
            return JobAnswer(error=ErrorKind(payload))
        return JobAnswer(JobState(payload))
    except DECODE_ERRORS:
        return OUTCOME_UNKNOWN


def decode_peer_call(method: str, argument: Any) -> Result[tuple[JobId, bytes], str]:
    """Return the job and the record, if any, of a call that a peer forwarded.

    The record is checked, since the next leader reads it from the store.
    """
    arguments = argument
    if method != "submit" and isinstance(argument, list):
        arguments = [*argument, b""]
    decoded = try_convert(arguments, tuple[Name, bytes])
    if decoded.is_error():
        return Error(decoded.error)
    job_id, value = JobId(decoded.ok[0]), decoded.ok[1]
    if method not in ("submit", "cancel", "read") or not is_job_id(job_id):
        return Error(f"unknown call {method[:40]!r} or invalid job id")
    if method != "submit":
        return Ok((job_id, value))
    record = try_decode(_decode_accepted, value)
    problem = accepted_problem(record.ok, job_id) if record.is_ok() else record.error
    return Ok((job_id, value)) if problem is None else Error(problem)
