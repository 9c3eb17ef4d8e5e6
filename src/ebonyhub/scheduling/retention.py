"""Removes the records of jobs whose retention period has passed."""

import asyncio
from collections.abc import Iterable

from ..clock import Clock
from ..cluster.leadership import LEADER_KEY, Term
from ..cluster.metadata_store import (
    MAX_TRANSACTION_OPERATIONS,
    MetadataStore,
    Transaction,
)
from ..cluster.mirror import JobMirror, MirroredJob
from ..events import Event, log_event
from ..ids import JobId, Revision
from ..jobs.progress_parts import part_key
from ..jobs.records import accepted_key, cancelled_key, progress_key
from .scheduler import Scheduler

# Seconds between two passes over the finished jobs.
PASS_INTERVAL_SECONDS = 10.0
# Seconds added to the retention period, for late retries of a submission and for clock
# differences.
MARGIN_SECONDS = 60.0
# Each job takes three operations of a transaction, one for each of its keys. One more
# is the condition on the leader's key.
MAX_JOBS_PER_REMOVAL = 10


def expired_jobs(
    jobs: Iterable[tuple[JobId, MirroredJob]], now_ms: int, retention_seconds: float
) -> list[JobId]:
    """Return the finished jobs whose retention period and margin have passed."""
    limit_ms = now_ms - int((retention_seconds + MARGIN_SECONDS) * 1000)
    return [
        job_id
        for job_id, job in jobs
        if job.state.is_final and job.finished_ms and job.finished_ms < limit_ms
    ]


class Retention:
    """Removes expired records while this entry leads."""

    def __init__(
        self,
        store: MetadataStore,
        mirror: JobMirror,
        scheduler: Scheduler,
        term: Term,
        clock: Clock,
        retention_seconds: float,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.scheduler = scheduler
        self.term = term
        self.clock = clock
        self.retention_seconds = retention_seconds

    async def run(self) -> None:
        """Remove expired records periodically until cancelled."""
        while True:
            await asyncio.sleep(PASS_INTERVAL_SECONDS)
            now_ms = int(self.clock.wall() * 1000)
            expired = expired_jobs(
                self.mirror.jobs.items(), now_ms, self.retention_seconds
            )
            for start in range(0, len(expired), MAX_JOBS_PER_REMOVAL):
                if not await self._remove(
                    expired[start : start + MAX_JOBS_PER_REMOVAL]
                ):
                    break

    async def _remove_parts(self, jobs: list[JobId]) -> bool:
        """Remove what is left of the parts of jobs' records."""
        keys = [
            part_key(job, part)
            for job in jobs
            if job in self.mirror.jobs
            for part in self.mirror.jobs[job].parts
        ]
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        for start in range(0, len(keys), MAX_TRANSACTION_OPERATIONS - 1):
            chunk = keys[start : start + MAX_TRANSACTION_OPERATIONS - 1]
            result = await self.store.commit(Transaction(conditions, removals=chunk))
            if result.is_error():
                return False
        return True

    async def _remove(self, jobs: list[JobId]) -> bool:
        if not await self._remove_parts(jobs):
            return False
        keys = [
            key(job)
            for job in jobs
            for key in (accepted_key, progress_key, cancelled_key)
        ]
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        result = await self.store.commit(Transaction(conditions, removals=keys))
        if result.is_error():
            return False
        for job in jobs:
            self.scheduler.remove_job(job)
            self.mirror.remove(job)
        log_event(Event.JOB_RECORDS_REMOVED, jobs=len(jobs))
        return True
