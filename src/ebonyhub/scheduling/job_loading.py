"""Loads jobs from the mirror of their records into the scheduler."""

import contextlib

from ..cluster.mirror import JobMirror, MirroredJob
from ..decoding import DECODE_ERRORS
from ..events import Event, log_event
from ..ids import JobId, Revision
from ..jobs.model import AcceptedJob
from ..jobs.records import ProgressRecord
from .committer import Committer
from .scheduler import Scheduler
from .unreadable_jobs import UnreadableJob


class JobLoader:
    """Loads jobs during one term, with the revisions that commits have to name."""

    def __init__(
        self, mirror: JobMirror, scheduler: Scheduler, committer: Committer
    ) -> None:
        self.mirror = mirror
        self.scheduler = scheduler
        self.committer = committer
        # Progress that was decoded in advance, with the revision of its head.
        self.decoded: dict[JobId, tuple[Revision, ProgressRecord | None]] = {}

    def decode(self, job_id: JobId) -> None:
        """Decode the progress of a job that is about to be loaded.

        With many tasks this takes as long as loading them, so a new leader does one
        after the other. A record that cannot be used is left to ``handle_change``.
        """
        mirrored = self.mirror.jobs.get(job_id)
        if mirrored is None or mirrored.accepted is None or not mirrored.parts:
            return
        with contextlib.suppress(*DECODE_ERRORS):
            decoded = mirrored.decode_progress()
            self.decoded[job_id] = (mirrored.progress_revision, decoded)

    def _progress_of(
        self, job_id: JobId, mirrored: MirroredJob
    ) -> ProgressRecord | None:
        revision, decoded = self.decoded.pop(job_id, (None, None))
        if revision == mirrored.progress_revision:
            return decoded
        return mirrored.decode_progress()

    def handle_change(self, job_id: JobId, now: float, wall_ms: int) -> bool:
        """Load a job that is new in the mirror, or cancel a known one.

        Returns whether tasks may have become ready.
        """
        mirrored = self.mirror.jobs.get(job_id)
        if mirrored is None:
            self.scheduler.unreadable_jobs.pop(job_id, None)
            return False
        known = job_id in self.scheduler.jobs
        if mirrored.accepted is None and known:
            # What this leader has in memory is newer than the unreadable record.
            if mirrored.cancelled:
                self.scheduler.cancel(job_id, now, wall_ms)
            return False
        if mirrored.accepted is None:
            self._abandon_job(job_id, mirrored)
            return False
        if known and not mirrored.cancelled:
            return False
        try:
            progress = None if known else self._progress_of(job_id, mirrored)
            if not known:
                self._adopt_revisions(job_id, mirrored)
            self.scheduler.load_job(
                mirrored.accepted, progress, mirrored.cancelled, now, wall_ms
            )
        except Exception as error:
            # One job must not end the term; nothing of it starts.
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="load", job=job_id,
                error=repr(error),
            )  # fmt: skip
            self._abandon_job(job_id, mirrored)
            return False
        if job_id in self.scheduler.unreadable_jobs:
            self.scheduler.reread_ends(job_id)
        if not known:
            self._log_loaded(mirrored.accepted)
        return True

    def _adopt_revisions(self, job_id: JobId, mirrored: MirroredJob) -> None:
        self.committer.revisions[job_id] = mirrored.progress_revision
        for part, (_, revision) in mirrored.parts.items():
            self.committer.parts.add(job_id, part, revision)

    def _abandon_job(self, job_id: JobId, mirrored: MirroredJob) -> None:
        self.scheduler.abandon_job(
            job_id, UnreadableJob.of(mirrored.record, mirrored.cancelled)
        )

    def _log_loaded(self, accepted: AcceptedJob) -> None:
        spec = accepted.spec
        queue = self.scheduler.queues.get(accepted.queue)
        path = spec.critical_path_seconds
        objective = queue.stretch * path + queue.target_seconds if queue else path
        log_event(
            Event.JOB_LOADED, job=accepted.job, queue=accepted.queue,
            service=accepted.service, steps=len(spec.steps),
            tasks=sum(step.count for step in spec.steps),
            work=round(sum(step.core_seconds for step in spec.steps), 1),
            # Long-running jobs have no objective.
            objective=None if spec.long_running else round(objective, 2),
        )  # fmt: skip
