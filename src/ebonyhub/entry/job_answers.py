"""Answers to callers' operations, and their encoding between entries."""

from dataclasses import dataclass
from math import ceil
from typing import Any

from ..decoding import DECODE_ERRORS
from ..errors import ErrorKind
from ..jobs.model import JobScope
from ..jobs.records import JobState
from .withdrawals import WITHDRAWAL_SECONDS


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """Answer to a caller: the state of the job, or an error."""

    state: JobState | None = None
    error: ErrorKind | None = None
    # Seconds after which a refused caller should retry; None for the error's default.
    retry_after: int | None = None


ACCEPTED = JobAnswer(JobState.QUEUED)
NOT_FOUND = JobAnswer(error=ErrorKind.UNKNOWN_JOB)
# The job belongs to another scope. Unlike for NOT_FOUND, a cancel writes nothing.
NOT_VISIBLE = JobAnswer(error=ErrorKind.UNKNOWN_JOB)
# The id of a submission is that of a job of another scope.
ID_TAKEN = JobAnswer(
    error=ErrorKind.JOB_WITHDRAWN, retry_after=ceil(WITHDRAWAL_SECONDS)
)
NOT_STORED = JobAnswer(error=ErrorKind.STORE_UNAVAILABLE)
# The records of the job cannot be used; another entry would read the same ones.
UNREADABLE = JobAnswer(error=ErrorKind.STORE_UNAVAILABLE)
OUTCOME_UNKNOWN = JobAnswer(error=ErrorKind.STORE_OUTCOME_UNKNOWN)
TOO_MANY_WITHDRAWALS = JobAnswer(error=ErrorKind.STORE_UNAVAILABLE)


def repeat_answer(owner: JobScope, caller: JobScope) -> JobAnswer:
    """Return the answer to a submission under the id of a job that exists."""
    return ACCEPTED if owner.is_visible_to(caller) else ID_TAKEN


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
