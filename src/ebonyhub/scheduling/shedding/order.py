"""Order of waiting jobs where jobs are shed by cost; given to the scheduler.

It differs from ``scheduling.priority`` in three points. Whether a service is
oversubscribed is judged by the workers that respond, not by the VMs that are listed. A
late job that can still be of use comes before one that cannot, so that capacity which
is left over is not spent on the oldest jobs. And jobs beyond their workspace's rate
come after all others.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from ...configuration import Queue
from ...ids import ServiceName
from ..overload import USEFULNESS_FACTOR
from ..priority import (
    AGEING_CORE_SECONDS_PER_SECOND,
    Rank,
    Urgency,
    critical_path_seconds,
    remaining_core_seconds,
    remaining_critical_path_seconds,
)
from ..runs import Job, Worker
from ..state import SchedulerState, allowed_part
from ..workspaces.status import Standing
from .measurement import worker_cores
from .standings import AllWithinShare, Standings

# Interval at which the services that are oversubscribed are determined.
INTERVAL_SECONDS = 0.1
# A service is oversubscribed if its waiting work takes longer than this on all cores
# of its workers that respond.
MAX_BACKLOG_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class SheddingUrgency(Urgency):
    """Sort key of a waiting job; lower is served first."""

    standing: Standing = Standing.WITHIN_SHARE

    @property
    def key(self) -> tuple[int, int, int, bool, int, int, bool, float]:  # type: ignore[override]
        """Return the fields as a tuple for sorting."""
        return (
            self.rank is not Rank.LONG_RUNNING,
            self.standing is Standing.OVER_RATE,
            self.rank,
            self.useless,
            self.priority,
            self.standing,
            self.not_started,
            self.value,
        )


class SheddingOrder:
    """Computes urgencies; to be given to a scheduler as ``urgency``."""

    def __init__(
        self, scheduler: SchedulerState, standings: Standings | None = None
    ) -> None:
        self.scheduler = scheduler
        self.standings = standings or AllWithinShare()
        # Cores of VMs that are planned to move or moving to each service.
        self.cores_on_way: Mapping[ServiceName, float] = {}
        self.oversubscribed: set[ServiceName] = set()
        self.determined_at = float("-inf")

    def __call__(
        self, job: Job, queue: Queue | None, now: float, oversubscribed: bool
    ) -> Urgency:
        """Return a job's urgency at ``now``.

        ``oversubscribed`` is the judgement by listed VMs, which is not used.
        """
        priority = queue.priority if queue else 0
        if job.accepted.spec.long_running:
            return SheddingUrgency(
                Rank.LONG_RUNNING, priority, False, job.arrived_at - now
            )
        self._refresh(now)
        standing = self.standings.standing(job)
        objective = 0.0
        if queue is not None:
            objective = (
                queue.stretch * critical_path_seconds(job) + queue.target_seconds
            )
        time_left = job.arrived_at + objective - now
        slack = time_left - remaining_critical_path_seconds(job)
        work = remaining_core_seconds(job)
        if slack >= 0.0:
            if self.scheduler.service_of(job) not in self.oversubscribed:
                return SheddingUrgency(
                    Rank.IN_TIME, priority, False, slack, standing=standing
                )
            return SheddingUrgency(
                Rank.IN_TIME, priority, not job.started, work, standing=standing
            )
        useless = slack + (USEFULNESS_FACTOR - 1.0) * objective < 0.0
        ageing = slack * AGEING_CORE_SECONDS_PER_SECOND
        return SheddingUrgency(
            Rank.LATE, priority, False, work + ageing, useless, standing
        )

    def _refresh(self, now: float) -> None:
        """Determine again which services are oversubscribed, at intervals."""
        if now - self.determined_at < INTERVAL_SECONDS:
            return
        self.determined_at = now
        work: dict[ServiceName, float] = {}
        for job, allowed in self.scheduler.jobs_within_limits():
            if self._delays_others(job):
                service = self.scheduler.service_of(job)
                job_work = remaining_core_seconds(job) * allowed_part(job, allowed)
                work[service] = work.get(service, 0.0) + job_work
        cores = dict(self.cores_on_way)
        for worker in self.scheduler.workers.values():
            if self.scheduler.is_eligible(worker, now):
                self._add_cores(cores, worker)
        self.oversubscribed = {
            service
            for service, amount in work.items()
            if amount > cores.get(service, 0.0) * MAX_BACKLOG_SECONDS
        }

    def _delays_others(self, job: Job) -> bool:
        """Return whether the job's waiting work comes before that of others."""
        return (
            bool(job.pending) and self.standings.standing(job) is not Standing.OVER_RATE
        )

    def _add_cores(self, cores: dict[ServiceName, float], worker: Worker) -> None:
        service = worker.entry.service
        own = worker_cores(worker, self.scheduler.fleet_slowdown)
        cores[service] = cores.get(service, 0.0) + own
