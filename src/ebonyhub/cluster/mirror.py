"""In-memory copy of the jobs on each entry.

The leader keeps the complete stored records. Followers keep only the state of each job,
as sent by the leader, because callers ask for nothing else.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..events import Event, log_event
from ..ids import INITIAL_REVISION, JobId, QueueName, Revision
from ..jobs.model import AcceptedJob
from ..jobs.records import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    PROGRESS_PREFIX,
    JobState,
    ProgressRecord,
)
from .metadata_store import ABSENT, Item

# How long a follower keeps the state of a finished job. Later reads go to the store.
FINISHED_JOB_RETENTION_SECONDS = 60.0

_decode_accepted = msgspec.msgpack.Decoder(AcceptedJob).decode
_decode_progress = msgspec.msgpack.Decoder(ProgressRecord).decode

# Job id, queue, whether the job is recurring, and its visible state.
StateRow = tuple[JobId, QueueName, bool, int]


@dataclass(slots=True)
class MirroredJob:
    """One job; ``queue`` is None until the submission record has been seen."""

    queue: QueueName | None = None
    # Recurring jobs are not counted as waiting.
    recurring: bool = False
    cancelled: bool = False
    state: JobState = JobState.QUEUED
    # Time at which the job ended, in ms since the Unix epoch.
    finished_ms: int = 0
    # Queue whose waiting count includes this job, None if it is not counted.
    counted_queue: QueueName | None = None
    # Whether the state comes from the leader or from a progress record. The submission
    # record alone does not tell whether the job has started or ended since.
    state_confirmed: bool = False
    # Visible state last recorded in JobMirror.changed_jobs.
    published_state: JobState | None = None
    # Stored records, kept on the leader only.
    accepted: AcceptedJob | None = None
    progress: bytes = b""
    progress_revision: Revision = ABSENT

    @property
    def is_accepted(self) -> bool:
        """Whether the submission record of the job has been seen."""
        return self.queue is not None

    @property
    def visible_state(self) -> JobState:
        """State shown to callers: a cancelled job is CANCELLED before its tasks end."""
        if self.cancelled and not self.state.is_final:
            return JobState.CANCELLED
        return self.state

    def decode_progress(self) -> ProgressRecord | None:
        """Decode the progress record; None if the leader has stored none yet."""
        return _decode_progress(self.progress) if self.progress else None


class JobMirror:
    """All known jobs, with the number of queued jobs per queue."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, MirroredJob] = {}
        self.revision = INITIAL_REVISION
        self.waiting_counts: dict[QueueName, int] = {}
        self.retains_records = False
        # Jobs whose visible state changed since the last take_changes() call.
        self.changed_jobs: dict[JobId, None] = {}
        # Finished jobs that a follower will drop, with the time each was seen to end.
        self.finished_jobs: deque[tuple[float, JobId]] = deque()
        # Time of the last states message, in monotonic seconds.
        self.last_states_at = 0.0

    def retain_records(self, enabled: bool) -> None:
        """Start or stop keeping complete records; stopping drops those held."""
        self.retains_records = enabled
        self.finished_jobs.clear()
        if enabled:
            return
        for job_id, job in self.jobs.items():
            job.accepted, job.progress = None, b""
            job.progress_revision = ABSENT
            job.state_confirmed = True
            if job.visible_state.is_final:
                self.finished_jobs.append((self.last_states_at, job_id))

    def confirmed_state(self, job_id: JobId) -> JobState | None:
        """Return the visible state of a job; None if the store has to be read."""
        job = self.jobs.get(job_id)
        if job is None or not job.is_accepted:
            return None
        if job.state_confirmed or self.retains_records or job.visible_state.is_final:
            return job.visible_state
        return None

    # Records

    def apply(self, item: Item) -> JobId | None:
        """Apply a stored record; return the job id if the job changed.

        A record that cannot be decoded is logged and skipped: raising would end the
        term of every leader that reads it.
        """
        try:
            return self._apply(item)
        except msgspec.MsgspecError as error:
            log_event(Event.DOCUMENT_REJECTED, name=item.key, error=repr(error))
            return None

    def _apply(self, item: Item) -> JobId | None:
        if item.key.startswith(PROGRESS_PREFIX):
            return self._apply_progress(JobId(item.key[len(PROGRESS_PREFIX) :]), item)
        if item.key.startswith(ACCEPTED_PREFIX):
            return self._apply_accepted(JobId(item.key[len(ACCEPTED_PREFIX) :]), item)
        if item.key.startswith(CANCELLED_PREFIX):
            return self._apply_cancelled(JobId(item.key[len(CANCELLED_PREFIX) :]), item)
        return None

    def _apply_accepted(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            self.remove(job_id)
            return None
        job = self.jobs.setdefault(job_id, MirroredJob())
        if job.accepted is not None or (job.is_accepted and not self.retains_records):
            return None
        accepted = _decode_accepted(item.value)
        job.queue = accepted.queue
        job.recurring = bool(accepted.spec.repeat_count)
        if self.retains_records:
            job.accepted = accepted
        self._update_derived_state(job_id, job)
        return job_id

    def _apply_cancelled(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            return None
        job = self.jobs.setdefault(job_id, MirroredJob())
        if job.cancelled:
            return None
        job.cancelled = True
        self._update_derived_state(job_id, job)
        return job_id

    def _apply_progress(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            return None
        job = self.jobs.setdefault(job_id, MirroredJob())
        job.state_confirmed = True
        record = _decode_progress(item.value)
        if self.retains_records:
            if item.revision <= job.progress_revision:
                return None
            job.progress, job.progress_revision = item.value, item.revision
        elif record.state <= job.state:
            return None
        job.state = record.state
        job.finished_ms = record.finished_ms
        self._update_derived_state(job_id, job)
        return job_id

    def _update_derived_state(self, job_id: JobId, job: MirroredJob) -> None:
        """Update the queue counts, ``changed_jobs`` and ``finished_jobs``.

        Recurring jobs are not part of the queue counts.
        """
        if not job.is_accepted:
            return
        is_waiting = not job.recurring and job.visible_state is JobState.QUEUED
        if is_waiting and job.queue is not None and job.counted_queue is None:
            job.counted_queue = job.queue
            self.waiting_counts[job.queue] = self.waiting_counts.get(job.queue, 0) + 1
        elif not is_waiting and job.counted_queue is not None:
            self.waiting_counts[job.counted_queue] -= 1
            job.counted_queue = None
        if job.visible_state is job.published_state:
            return
        job.published_state = job.visible_state
        self.changed_jobs[job_id] = None
        if job.published_state.is_final and not self.retains_records:
            self.finished_jobs.append((self.last_states_at, job_id))

    # States sent from the leader to its followers

    def take_changes(self) -> list[StateRow]:
        """Return and clear the states that changed since the last call."""
        rows = [row for job_id in self.changed_jobs if (row := self._state_row(job_id))]
        self.changed_jobs.clear()
        return rows

    def unfinished_states(self) -> list[StateRow]:
        """Return the states of all accepted jobs that have not ended."""
        return [
            row
            for job_id, job in self.jobs.items()
            if not job.visible_state.is_final and (row := self._state_row(job_id))
        ]

    def _state_row(self, job_id: JobId) -> StateRow | None:
        job = self.jobs.get(job_id)
        if job is None or job.queue is None:
            return None
        return (job_id, job.queue, job.recurring, int(job.visible_state))

    def apply_states(self, rows: Iterable[StateRow], full: bool, now: float) -> None:
        """Apply states sent by the leader.

        A full list contains every unfinished job. Jobs that are unfinished here but not
        in the list are dropped, and their state is read from the store on demand.
        """
        self.last_states_at = now
        listed = set()
        for job_id, queue, recurring, state in rows:
            listed.add(job_id)
            self._apply_state(job_id, queue, recurring, JobState(state))
        if full:
            unfinished_ids = [
                j for j, job in self.jobs.items() if not job.visible_state.is_final
            ]
            for job_id in unfinished_ids:
                if job_id not in listed:
                    self.remove(job_id)
        while (
            self.finished_jobs
            and self.finished_jobs[0][0] < now - FINISHED_JOB_RETENTION_SECONDS
        ):
            self.remove(self.finished_jobs.popleft()[1])
        self.changed_jobs.clear()

    def _apply_state(
        self, job_id: JobId, queue: QueueName, recurring: bool, state: JobState
    ) -> None:
        job = self.jobs.setdefault(job_id, MirroredJob())
        job.state_confirmed = True
        # States only advance, so a lower state comes from an outdated message.
        if job.is_accepted and state <= job.visible_state:
            return
        job.queue, job.recurring, job.state = queue, recurring, state
        self._update_derived_state(job_id, job)

    def remove(self, job_id: JobId) -> None:
        """Drop a job and its contribution to the queue counts."""
        job = self.jobs.pop(job_id, None)
        if job is not None and job.counted_queue is not None:
            self.waiting_counts[job.counted_queue] -= 1

    def apply_listing(self, items: list[Item], revision: Revision) -> list[JobId]:
        """Apply a full listing of records; return the ids of the jobs that changed."""
        listed = {item.key for item in items if item.key.startswith(ACCEPTED_PREFIX)}
        accepted_ids = {job_id for job_id, job in self.jobs.items() if job.is_accepted}
        for job_id in accepted_ids:
            if ACCEPTED_PREFIX + job_id not in listed and self.revision < revision:
                self.remove_if_final(job_id)
        changed = [job for item in items if (job := self.apply(item)) is not None]
        self.revision = max(self.revision, revision)
        return changed

    def remove_if_final(self, job_id: JobId) -> None:
        """Drop a job if it has ended; its records are gone from the store."""
        if self.jobs[job_id].state.is_final:
            self.remove(job_id)
