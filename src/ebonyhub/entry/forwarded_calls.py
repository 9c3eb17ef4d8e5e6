"""Decoding of the calls that entries forward, and of the scope of stored jobs."""

from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from ..cluster.metadata_store import Item
from ..decoding import Name, try_convert, try_decode
from ..ids import JobId, QueueName, WorkspaceName
from ..jobs.model import AcceptedJob, JobScope
from ..jobs.validation import accepted_problem, is_job_id

_decode_accepted = msgspec.msgpack.Decoder(AcceptedJob).decode


def stored_scope(item: Item, job_id: JobId) -> JobScope | None:
    """Return the scope in the submission record of a job, None if it is unreadable."""
    record = try_decode(_decode_accepted, item.value or b"")
    if record.is_error() or accepted_problem(record.ok, job_id) is not None:
        return None
    return record.ok.scope


class ForwardedCall(NamedTuple):
    """A call that a peer forwarded; ``record`` is empty except for a submission."""

    job: JobId
    scope: JobScope
    record: bytes = b""


def decode_peer_call(method: str, argument: Any) -> Result[ForwardedCall, str]:
    """Decode [job, record] of a submission, [job, queue, workspace] of other calls.

    The record is checked, since the next leader reads it from the store.
    """
    if method not in ("submit", "cancel", "read"):
        return Error(f"unknown call {method[:40]!r}")
    if method != "submit":
        named = try_convert(argument, tuple[Name, Name, Name])
        if named.is_error():
            return Error(named.error)
        job, queue, workspace = named.ok
        if not is_job_id(job):
            return Error("invalid job id")
        scope = JobScope(QueueName(queue), WorkspaceName(workspace))
        return Ok(ForwardedCall(JobId(job), scope))
    submitted = try_convert(argument, tuple[Name, bytes])
    if submitted.is_error():
        return Error(submitted.error)
    job, value = submitted.ok
    if not is_job_id(job):
        return Error("invalid job id")
    record = try_decode(_decode_accepted, value)
    problem = (
        accepted_problem(record.ok, JobId(job)) if record.is_ok() else record.error
    )
    if problem is not None:
        return Error(problem)
    return Ok(ForwardedCall(JobId(job), record.ok.scope, value))
