"""Callers' operations: submit, read and cancel a job, and count a queue's waiting jobs.

A submission is accepted once its record is stored. A cancel of an unknown job withdraws
its id first, so that no submission that is still under way is accepted afterwards. An
entry whose store calls fail forwards the call to a peer.

Each call has the scope of its caller, a queue and a workspace. A job of another scope
is answered like one that does not exist, and its id like a withdrawn one.
"""

import random
from collections.abc import Awaitable, Callable, Mapping
from math import ceil
from typing import Any

import msgspec
from expression import Result

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
from ..errors import ErrorKind
from ..events import Event, log_event
from ..ids import JobId, QueueName, Revision, WorkspaceName
from ..jobs.model import AcceptedJob, JobScope, JobSpec, Resources
from ..jobs.records import JobState, accepted_key, cancelled_key, progress_key
from ..metrics import Metrics
from ..scheduling.overload import Admission, retry_after_seconds
from .forwarded_calls import decode_peer_call, stored_scope
from .job_answers import (
    ACCEPTED,
    NOT_FOUND,
    NOT_STORED,
    NOT_VISIBLE,
    OUTCOME_UNKNOWN,
    TOO_MANY_WITHDRAWALS,
    UNREADABLE,
    JobAnswer,
    decode_peer_answer,
    encode_peer_answer,
    repeat_answer,
)
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

NO_LIMIT = Resources()

PeerCall = Callable[[str, Any], Awaitable[Result[tuple[int, Any], PeerFailure]]]


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
        admission: Admission,
        rng: random.Random,
        withdrawals: Withdrawals,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.clock = clock
        self.metrics = metrics
        self.call_peer = call_peer
        self.on_records = on_records
        self.admission = admission
        self.rng = rng
        self.withdrawals = withdrawals
        self.synced_at = float("-inf")

    # Submission

    async def submit(
        self,
        queue: Queue,
        job_id: JobId,
        spec: JobSpec,
        scope: JobScope,
        workspace_limit: Resources = NO_LIMIT,
    ) -> JobAnswer:
        """Accept a job; a repeated submission is accepted without a second job.

        ``workspace_limit`` is the present limit of the workspace.
        """
        owner = self._mirrored_scope(job_id)
        if owner is not None:
            return repeat_answer(owner, scope)
        withdrawn = self._withdrawn_answer(job_id, scope)
        if withdrawn is not None:
            return withdrawn
        refusal = await self._check_overload(queue, job_id, spec, scope.workspace)
        if refusal is not None:
            return refusal
        accepted = AcceptedJob(
            job_id, queue.name, queue.service, queue.max_attempts,
            int(self.clock.wall() * 1000), spec, scope.workspace, workspace_limit,
            queue.advisor,
        )  # fmt: skip
        value = msgspec.msgpack.encode(accepted)
        if not self.store.failing:
            answer = await self.store_submission(job_id, scope, value)
            if answer is not NOT_STORED:
                return answer
        return await self._forward("submit", [job_id, value], job_id)

    async def _check_overload(
        self, queue: Queue, job_id: JobId, spec: JobSpec, workspace: WorkspaceName
    ) -> JobAnswer | None:
        """Return a refusal if the job would end too late to be of use, else None.

        An earlier attempt through another entry may have been stored although its
        answer was lost. The refusal promises that the job does not run, so the store is
        read first; if that fails, the job is submitted normally.
        """
        now = self.clock.monotonic()
        overrun = self.admission.refusal_seconds(queue, spec, workspace, now)
        if overrun <= 0.0 or self.store.failing:
            return None
        found = await self.store.get(accepted_key(job_id))
        if found.is_error() or found.ok is not None:
            return None
        retry_after = retry_after_seconds(overrun, self.rng.random())
        log_event(
            Event.JOB_NOT_ADMITTED, job=job_id, queue=queue.name,
            excess=round(overrun, 2),
            age=round(now - self.admission.updated_at, 2), retry_after=retry_after,
        )  # fmt: skip
        return JobAnswer(error=ErrorKind.OVERLOADED, retry_after=retry_after)

    async def store_submission(
        self, job_id: JobId, scope: JobScope, value: bytes
    ) -> JobAnswer:
        """Store the submission record unless the id has been withdrawn.

        Retries once if the outcome is unknown, and whenever the withdrawn ids have
        changed. A withdrawn id has no record, and an attempt that got no answer will
        not create one any more.
        """
        key = accepted_key(job_id)
        started_at, unanswered = self.clock.monotonic(), 0
        for _ in range(MAX_SUBMISSION_ATTEMPTS):
            withdrawn = self._withdrawn_answer(job_id, scope)
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
                answer = self._resolve_conflict(job_id, scope, conditions, failure)
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
        job_id: JobId,
        scope: JobScope,
        conditions: Mapping[str, Revision],
        failure: CommitFailure,
    ) -> JobAnswer | None:
        """Return the answer to a submission that met a conflict, None to retry it."""
        item = failure.current.get(accepted_key(job_id))
        if item is not None:
            self.on_records([item])
            owner = stored_scope(item, job_id)
            # Without a readable record it is not known whose job exists.
            return OUTCOME_UNKNOWN if owner is None else repeat_answer(owner, scope)
        present = failure.current.get(WITHDRAWALS_KEY)
        revision = present.revision if present is not None else ABSENT
        if revision == conditions[WITHDRAWALS_KEY]:
            # The submission record exists, but its row cannot be read.
            return OUTCOME_UNKNOWN
        self.withdrawals.observe(present)
        self.metrics.retries.labels("withdrawals_changed").inc()
        return None

    def _withdrawn_answer(self, job_id: JobId, scope: JobScope) -> JobAnswer | None:
        """Return the refusal of a withdrawn id, None if the id is not withdrawn."""
        seconds = self.withdrawals.remaining_seconds(job_id, scope)
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

    async def read(self, job_id: JobId, scope: JobScope) -> JobAnswer:
        """Return the state of a job from the mirror, the store or a peer."""
        answer = self._mirrored_answer(job_id, scope)
        if answer is not None:
            return answer
        if not self.store.failing:
            answer = await self.read_store(job_id, scope)
            if answer is not NOT_STORED:
                return answer
        answer = await self._forward("read", [job_id, *scope], job_id)
        owner = self._mirrored_scope(job_id)
        if answer.state is None and owner is not None and owner.is_visible_to(scope):
            return JobAnswer(self.mirror.jobs[job_id].visible_state)
        return answer

    def _mirrored_scope(self, job_id: JobId) -> JobScope | None:
        """Return the scope of a job by the mirror, None if the mirror lacks the job."""
        job = self.mirror.jobs.get(job_id)
        return None if job is None else job.scope

    def _mirrored_answer(self, job_id: JobId, scope: JobScope) -> JobAnswer | None:
        """Return the answer by the mirror, None if the mirror may be out of date."""
        state, owner = self._fresh_state(job_id), self._mirrored_scope(job_id)
        if state is None or owner is None:
            return None
        return JobAnswer(state) if owner.is_visible_to(scope) else NOT_VISIBLE

    def _fresh_state(self, job_id: JobId) -> JobState | None:
        """Return the state by the mirror, None if the mirror may be out of date."""
        stale = self.clock.monotonic() - self.synced_at > MAX_STALENESS_SECONDS
        state = self.mirror.confirmed_state(job_id)
        return state if state is None or not stale or state.is_final else None

    async def read_store(self, job_id: JobId, scope: JobScope) -> JobAnswer:
        """Read the state of a job from the records in the store."""
        owner: JobScope | None = None
        for key in (accepted_key(job_id), cancelled_key(job_id), progress_key(job_id)):
            found = await self.store.get(key)
            if found.is_error():
                return NOT_STORED
            if found.ok is not None:
                # If this entry leads, the job may be new to its scheduler.
                self.on_records([found.ok])
            if key == accepted_key(job_id):
                if found.ok is None:
                    return NOT_FOUND
                owner = stored_scope(found.ok, job_id)
                if owner is not None and not owner.is_visible_to(scope):
                    return NOT_VISIBLE
        job = self.mirror.jobs.get(job_id)
        if job is None or job.scope is None:
            return UNREADABLE
        if owner is not None and owner != job.scope:
            # The mirror still holds an earlier job under the same id.
            return UNREADABLE
        if job.progress_unreadable and not job.state.is_final:
            return UNREADABLE
        if not job.scope.is_visible_to(scope):
            return NOT_VISIBLE
        return JobAnswer(job.visible_state)

    def waiting_count(self, queue: QueueName) -> int:
        """Return the number of accepted jobs in a queue with no task started yet."""
        return self.mirror.waiting_counts.get(queue, 0)

    # Cancellation

    async def cancel(self, job_id: JobId, scope: JobScope) -> JobAnswer:
        """Cancel a job; has no effect on a job that has ended.

        If there is no such job, none is accepted by a submission that was sent before.
        """
        answer = self._mirrored_answer(job_id, scope)
        if answer is not None and not _is_cancellable(answer):
            return answer
        if not self.store.failing:
            answer = await self._cancel_in_store(job_id, scope)
            if answer is not NOT_STORED:
                return answer
        return await self._forward("cancel", [job_id, *scope], job_id)

    async def _cancel_in_store(self, job_id: JobId, scope: JobScope) -> JobAnswer:
        answer = self._mirrored_answer(job_id, scope)
        if answer is None:
            answer = await self.read_store(job_id, scope)
        if answer is NOT_FOUND:
            outcome = await self.withdrawals.withdraw(job_id, scope)
            if outcome is not Withdrawal.JOB_EXISTS:
                return _WITHDRAWAL_ANSWERS[outcome]
            # The job that has been accepted since may belong to another scope.
            answer = await self.read_store(job_id, scope)
        if not _is_cancellable(answer):
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
        job_id, scope, value = call.ok
        if self.store.failing and method != "read":
            return encode_peer_answer(NOT_STORED)
        if method == "submit":
            owner = self._mirrored_scope(job_id)
            if owner is not None:
                return encode_peer_answer(repeat_answer(owner, scope))
            answer = await self.store_submission(job_id, scope, value)
            return encode_peer_answer(answer)
        if method == "cancel":
            return encode_peer_answer(await self._cancel_in_store(job_id, scope))
        owner = self._mirrored_scope(job_id)
        state = self.mirror.confirmed_state(job_id)
        if state is not None and owner is not None:
            visible = owner.is_visible_to(scope)
            return encode_peer_answer(JobAnswer(state) if visible else NOT_VISIBLE)
        return encode_peer_answer(await self.read_store(job_id, scope))


def _is_cancellable(answer: JobAnswer) -> bool:
    return answer.state is not None and not answer.state.is_final
