"""Starts that have been planned or ordered on a worker and are not answered yet.

A worker takes some hundred starts a second. Starts beyond that would wait for a
connection, with capacity reserved for them, and those of a wide job would wait before
all others. So each worker has a limited number, of which one job gets a part.
"""

from collections.abc import Hashable
from dataclasses import dataclass, field

from ..ids import JobId

# Starts under way on one worker, and how many of them may be those of one job.
MAX_STARTS = 64
MAX_STARTS_OF_JOB = 32
# Beyond this number, only jobs with fewer starts than the second number get one, so
# that wide jobs leave some to the others.
SHARED_STARTS = 48
STARTS_OF_SMALL_JOB = 2
# Service is planned again when this many starts are left, and at each multiple.
REPLAN_STEP = 16


@dataclass(slots=True)
class StartsUnderWay:
    """The starts under way on one worker, by the job of each run."""

    jobs: dict[Hashable, JobId] = field(default_factory=dict)
    counts: dict[JobId, int] = field(default_factory=dict)

    def add(self, key: Hashable, job: JobId) -> None:
        """Count a run, once."""
        if key not in self.jobs:
            self.jobs[key] = job
            self.counts[job] = self.counts.get(job, 0) + 1

    def discard(self, key: Hashable) -> bool:
        """Stop counting a run; return whether other tasks may start in its place."""
        job = self.jobs.pop(key, None)
        if job is None:
            return False
        self.counts[job] -= 1
        if not self.counts[job]:
            del self.counts[job]
        return len(self.jobs) % REPLAN_STEP == 0

    def has_room_for(self, job: JobId) -> bool:
        """Return whether one more start of a job may be planned."""
        own = self.counts.get(job, 0)
        if len(self.jobs) >= SHARED_STARTS:
            return len(self.jobs) < MAX_STARTS and own < STARTS_OF_SMALL_JOB
        return own < MAX_STARTS_OF_JOB
