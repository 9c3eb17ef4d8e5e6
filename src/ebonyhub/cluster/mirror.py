"""Copy of the job records that every entry keeps.

Records reach it from the entry's own commits, from the leader's stream and from a
watch; whichever is newest by revision stays.
"""

from dataclasses import dataclass

import msgspec

from ..ids import ROOT_REVISION, JobId, QueueName, Revision
from ..jobs.model import AcceptedJob
from ..jobs.records import (
    ACCEPTED,
    CANCELLED,
    PROGRESS,
    JobState,
    ProgressRecord,
)
from .metadata_store import ABSENT, Item

_decode_accepted = msgspec.msgpack.Decoder(AcceptedJob).decode
_decode_progress = msgspec.msgpack.Decoder(ProgressRecord).decode


@dataclass(slots=True)
class MirroredJob:
    """The records of one job; ``accepted`` is None while only later ones are known."""

    accepted: AcceptedJob | None = None
    cancelled: bool = False
    state: JobState = JobState.QUEUED
    finished_ms: int = 0
    progress: bytes = b""
    progress_revision: Revision = ABSENT
    counted: QueueName | None = None

    @property
    def shown_state(self) -> JobState:
        """Return the state that callers are told."""
        if self.cancelled and not self.state.final:
            return JobState.CANCELLED
        return self.state

    def decode_progress(self) -> ProgressRecord | None:
        """Return the progress record, None if nothing was ever written."""
        return _decode_progress(self.progress) if self.progress else None


class JobMirror:
    """All job records, with the number of waiting jobs of each queue."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, MirroredJob] = {}
        self.revision = ROOT_REVISION
        self.waiting: dict[QueueName, int] = {}

    def apply(self, item: Item) -> JobId | None:
        """Take over a record; return the job if it changed."""
        if item.key.startswith(PROGRESS):
            return self._apply_progress(JobId(item.key[len(PROGRESS) :]), item)
        if item.key.startswith(ACCEPTED):
            return self._apply_accepted(JobId(item.key[len(ACCEPTED) :]), item)
        if item.key.startswith(CANCELLED):
            return self._apply_cancelled(JobId(item.key[len(CANCELLED) :]), item)
        return None

    def _apply_accepted(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            self.forget(job_id)
            return None
        job = self.jobs.setdefault(job_id, MirroredJob())
        if job.accepted is not None:
            return None
        job.accepted = _decode_accepted(item.value)
        self._count(job)
        return job_id

    def _apply_cancelled(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            return None
        job = self.jobs.setdefault(job_id, MirroredJob())
        if job.cancelled:
            return None
        job.cancelled = True
        self._count(job)
        return job_id

    def _apply_progress(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            return None
        job = self.jobs.setdefault(job_id, MirroredJob())
        if item.revision <= job.progress_revision:
            return None
        record = _decode_progress(item.value)
        job.state = record.state
        job.finished_ms = record.finished_ms
        job.progress = item.value
        job.progress_revision = item.revision
        self._count(job)
        return job_id

    def _count(self, job: MirroredJob) -> None:
        """Keep the number of waiting jobs; scheduled jobs are not counted."""
        accepted = job.accepted
        waits = (
            accepted is not None
            and not accepted.spec.repeat_count
            and job.shown_state is JobState.QUEUED
        )
        if waits and accepted is not None and job.counted is None:
            job.counted = accepted.queue
            self.waiting[accepted.queue] = self.waiting.get(accepted.queue, 0) + 1
        elif not waits and job.counted is not None:
            self.waiting[job.counted] -= 1
            job.counted = None

    def forget(self, job_id: JobId) -> None:
        """Drop a job whose records were removed."""
        job = self.jobs.pop(job_id, None)
        if job is not None and job.counted is not None:
            self.waiting[job.counted] -= 1

    def replace_all(self, items: list[Item], revision: Revision) -> list[JobId]:
        """Take over a full listing; return the jobs that changed."""
        listed = {item.key for item in items if item.key.startswith(ACCEPTED)}
        known = {job_id for job_id, job in self.jobs.items() if job.accepted}
        for job_id in known:
            if ACCEPTED + job_id not in listed and self.revision < revision:
                self.drop_if_old(job_id)
        changed = [job for item in items if (job := self.apply(item)) is not None]
        self.revision = max(self.revision, revision)
        return changed

    def drop_if_old(self, job_id: JobId) -> None:
        """Forget a finished job whose records were collected in the meantime."""
        if self.jobs[job_id].state.final:
            self.forget(job_id)
