"""In-memory copy of the jobs on each entry.

The leader keeps the complete stored records. Followers keep only the state of each job,
as sent by the leader, because callers ask for nothing else.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..decoding import DECODE_ERRORS, describe, try_decode
from ..events import Event
from ..ids import (
    INITIAL_REVISION,
    NO_WORKSPACE,
    JobId,
    QueueName,
    Revision,
    WorkspaceName,
)
from ..jobs.model import AcceptedJob, JobScope
from ..jobs.progress_parts import add_parts, decode_head, parse_progress_key
from ..jobs.records import (
    ACCEPTED_PREFIX,
    CANCELLED_PREFIX,
    PROGRESS_PREFIX,
    JobState,
    ProgressRecord,
    progress_key,
)
from ..jobs.validation import accepted_problem, is_job_id, progress_problem
from ..rejections import InputSource, Rejections
from .metadata_store import ABSENT, Item

# How long a follower keeps the state of a finished job. Later reads go to the store.
FINISHED_JOB_RETENTION_SECONDS = 60.0

_decode_accepted = msgspec.msgpack.Decoder(AcceptedJob).decode

# Job id, queue, whether the job is recurring, its visible state, and its workspace.
StateRow = tuple[JobId, QueueName, bool, int, WorkspaceName]


@dataclass(slots=True)
class MirroredJob:
    """One job; ``queue`` is None until the submission record has been seen."""

    queue: QueueName | None = None
    workspace: WorkspaceName = NO_WORKSPACE
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
    record: AcceptedJob | None = None
    progress: bytes = b""
    progress_revision: Revision = ABSENT
    # Parts of the progress with their revisions, by number.
    parts: dict[int, tuple[bytes, Revision]] = field(default_factory=dict)
    # Whether the store holds a progress record that cannot be used. What the job has
    # done is then unknown, and loading it would start finished tasks again.
    progress_unreadable: bool = False

    @property
    def accepted(self) -> AcceptedJob | None:
        """Submission record; None while the job must not be loaded."""
        return None if self.progress_unreadable else self.record

    @property
    def is_accepted(self) -> bool:
        """Whether the submission record of the job has been seen."""
        return self.queue is not None

    @property
    def scope(self) -> JobScope | None:
        """Whom the job belongs to; None until the submission record has been seen."""
        return None if self.queue is None else JobScope(self.queue, self.workspace)

    @property
    def visible_state(self) -> JobState:
        """State shown to callers: a cancelled job is CANCELLED before its tasks end."""
        if self.cancelled and not self.state.is_final:
            return JobState.CANCELLED
        return self.state

    def decode_progress(self) -> ProgressRecord | None:
        """Decode the progress record; None if the leader has stored none yet.

        Raises one of DECODE_ERRORS if a part of it cannot be used.
        """
        if not self.progress:
            return None
        record = decode_head(self.progress)
        if not self.parts or self.record is None:
            return record
        values = {number: value for number, (value, _) in self.parts.items()}
        record = add_parts(record, values, self.record.spec)
        problem = progress_problem(record, self.record.spec)
        if problem is not None:
            raise ValueError(problem)
        return record


def _prefix_of(key: str) -> str | None:
    """Return the prefix that tells the kind of a job's record, else None."""
    for prefix in (PROGRESS_PREFIX, ACCEPTED_PREFIX, CANCELLED_PREFIX):
        if key.startswith(prefix):
            return prefix
    return None


class JobMirror:
    """All known jobs, with the number of queued jobs per queue."""

    def __init__(self, rejections: Rejections | None = None) -> None:
        self.rejections = rejections or Rejections()
        self.jobs: dict[JobId, MirroredJob] = {}
        self.revision = INITIAL_REVISION
        self.waiting_counts: dict[QueueName, int] = {}
        self.retains_records = False
        # All submissions up to this revision have been applied; only on the leader,
        # and only once it has listed the records.
        self.complete_until = INITIAL_REVISION
        # Whether the listing of the present term left out no row. If it did, a job that
        # is not known may have records.
        self.listing_complete = True
        # Jobs whose submission could not be read since the records were listed; another
        # entry may still send one that can.
        self.rejected_submissions: set[JobId] = set()
        # Jobs whose visible state changed since the last take_changes() call.
        self.changed_jobs: dict[JobId, None] = {}
        # Finished jobs that a follower will drop, with the time each was seen to end.
        self.finished_jobs: deque[tuple[float, JobId]] = deque()
        # Time of the last states message, in monotonic seconds.
        self.last_states_at = 0.0
        self._appliers = {
            PROGRESS_PREFIX: self._apply_progress,
            ACCEPTED_PREFIX: self._apply_accepted,
            CANCELLED_PREFIX: self._apply_cancelled,
        }

    def retain_records(self, enabled: bool) -> None:
        """Start or stop keeping complete records; stopping drops those held."""
        self.retains_records = enabled
        self.complete_until = INITIAL_REVISION
        self.rejected_submissions.clear()
        self.finished_jobs.clear()
        if enabled:
            return
        for job_id, job in self.jobs.items():
            job.record, job.progress = None, b""
            job.parts.clear()
            job.progress_revision = ABSENT
            job.state_confirmed = not job.progress_unreadable
            if job.visible_state.is_final:
                self.finished_jobs.append((self.last_states_at, job_id))

    def confirmed_state(self, job_id: JobId) -> JobState | None:
        """Return the visible state of a job; None if the store has to be read."""
        job = self.jobs.get(job_id)
        if job is None or not job.is_accepted:
            return None
        if job.progress_unreadable and not job.state.is_final:
            return None
        if job.state_confirmed or self.retains_records or job.visible_state.is_final:
            return job.visible_state
        return None

    # Records

    def apply(self, item: Item) -> JobId | None:
        """Apply a stored record; return the job id if the job changed.

        A record that cannot be used is skipped: raising would end the term of every
        leader that reads it.
        """
        prefix = _prefix_of(item.key)
        if prefix is None:
            return None
        job_id, part = JobId(item.key[len(prefix) :]), None
        try:
            if prefix == PROGRESS_PREFIX:
                job_id, part = parse_progress_key(job_id)
            if not is_job_id(job_id):
                self._reject(item, "the key names no job")
                return None
            if part is not None:
                self._apply_part(job_id, part, item)
                return None
            return self._appliers[prefix](job_id, item)
        except DECODE_ERRORS as error:
            self._reject(item, describe(error))
            return None

    def _reject(
        self, item: Item, error: str, event: Event = Event.INPUT_REJECTED
    ) -> None:
        if item.key.startswith(ACCEPTED_PREFIX) and self.retains_records:
            self.rejected_submissions.add(JobId(item.key[len(ACCEPTED_PREFIX) :]))
        self.rejections.add(InputSource.JOB_RECORD, item.key, item.value, error, event)

    def _apply_accepted(self, job_id: JobId, item: Item) -> JobId | None:
        if item.value is None:
            known = self.jobs.get(job_id)
            self.remove(job_id)
            return job_id if known is not None and known.accepted is None else None
        known = self.jobs.get(job_id)
        if known is not None and (
            known.record is not None or (known.is_accepted and not self.retains_records)
        ):
            return None
        is_old = INITIAL_REVISION < item.revision <= self.complete_until
        if is_old and job_id not in self.rejected_submissions:
            # Read before the job's records were removed. Loaded without its progress,
            # the job would run again.
            return None
        accepted = _decode_accepted(item.value)
        problem = accepted_problem(accepted, job_id)
        if problem is not None:
            self._reject(item, problem)
            return None
        if known is not None and known.scope not in (None, accepted.scope):
            # What is known is an earlier job under the same id, whose records are gone.
            self.remove(job_id)
        job = self.jobs.setdefault(job_id, MirroredJob())
        job.queue, job.workspace = accepted.scope
        job.recurring = bool(accepted.spec.repeat_count)
        if self.retains_records:
            job.record = accepted
            if job.progress:
                # The progress record was read first, so it has not been compared.
                stored = Item(progress_key(job_id), job.progress, job.progress_revision)
                self._check_progress(job_id, job, stored)
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
        if self.retains_records and item.revision <= job.progress_revision:
            return None
        record = self._check_progress(job_id, job, item)
        if record is None:
            return None
        job.state_confirmed = True
        was_unreadable, job.progress_unreadable = job.progress_unreadable, False
        if self.retains_records:
            job.progress, job.progress_revision = item.value, item.revision
        elif record.state <= job.state and not was_unreadable:
            return None
        job.state = record.state
        job.finished_ms = record.finished_ms
        self._update_derived_state(job_id, job)
        return job_id

    def _apply_part(self, job_id: JobId, part: int, item: Item) -> None:
        """Keep a part of a progress record, which is decoded when the job is loaded."""
        if not self.retains_records:
            return
        job = self.jobs.setdefault(job_id, MirroredJob())
        if item.value is None:
            job.parts.pop(part, None)
        elif part not in job.parts or item.revision > job.parts[part][1]:
            job.parts[part] = (item.value, item.revision)

    def _check_progress(
        self, job_id: JobId, job: MirroredJob, item: Item
    ) -> ProgressRecord | None:
        """Return the record, or None if it cannot be used; marks the job then."""
        decoded = try_decode(decode_head, item.value or b"")
        if decoded.is_ok():
            spec = job.record.spec if job.record is not None else None
            problem = progress_problem(decoded.ok, spec) if spec is not None else None
            if problem is None:
                return decoded.ok
        else:
            problem = decoded.error
        self._reject(item, problem, Event.JOB_PROGRESS_UNREADABLE)
        job.progress_unreadable, job.state_confirmed = True, False
        job.progress = b""
        if self.retains_records and item.value:
            # Without a value, the revision is not that of the record either.
            job.progress_revision = item.revision
        self._update_derived_state(job_id, job)
        return None

    def _update_derived_state(self, job_id: JobId, job: MirroredJob) -> None:
        """Update the queue counts, ``changed_jobs`` and ``finished_jobs``.

        Recurring jobs are not part of the queue counts.
        """
        if not job.is_accepted:
            return
        is_waiting = (
            not job.recurring
            and not job.progress_unreadable
            and job.visible_state is JobState.QUEUED
        )
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
        if job is None or job.queue is None or job.progress_unreadable:
            return None
        state = int(job.visible_state)
        return (job_id, job.queue, job.recurring, state, job.workspace)

    def apply_states(self, rows: Iterable[StateRow], full: bool, now: float) -> None:
        """Apply states sent by the leader.

        A full list contains every unfinished job. Jobs that are unfinished here but not
        in the list are dropped, and their state is read from the store on demand.
        """
        self.last_states_at = now
        listed = set()
        for job_id, queue, recurring, state, workspace in rows:
            listed.add(job_id)
            scope = JobScope(queue, workspace)
            self._apply_state(job_id, scope, recurring, JobState(state))
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
        self, job_id: JobId, scope: JobScope, recurring: bool, state: JobState
    ) -> None:
        known = self.jobs.get(job_id)
        if known is not None and known.scope not in (None, scope):
            # What is known is an earlier job under the same id, whose records are gone.
            self.remove(job_id)
        job = self.jobs.setdefault(job_id, MirroredJob())
        job.state_confirmed, job.progress_unreadable = True, False
        # States only advance, so a lower state comes from an outdated message.
        if job.is_accepted and state <= job.visible_state:
            return
        job.queue, job.workspace = scope
        job.recurring, job.state = recurring, state
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
        if self.retains_records:
            self.complete_until = max(self.complete_until, revision)
        return changed

    def apply_changes(self, items: Iterable[Item], revision: Revision) -> list[JobId]:
        """Apply all changes up to a revision; return the ids of the changed jobs."""
        changed = [job for item in items if (job := self.apply(item)) is not None]
        self.revision = max(self.revision, revision)
        if self.complete_until > INITIAL_REVISION:
            self.complete_until = max(self.complete_until, revision)
        return changed

    def remove_if_final(self, job_id: JobId) -> None:
        """Drop a job if it has ended; its records are gone from the store."""
        if self.jobs[job_id].state.is_final:
            self.remove(job_id)
