"""Whether a service has enough capacity, and the shares if it has not (pure)."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf

from ...ids import ServiceName, WorkspaceName
from ...jobs.model import Resources
from ..priority import MAX_BACKLOG_SECONDS, remaining_core_seconds
from ..runs import Job, Worker
from .limits import NOTHING, WaitingClaims
from .shares import Claim, fair_level
from .usage import NO_WORKSPACE, UsageLedger


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What planning knows of a service."""

    service: ServiceName
    # Jobs with ready tasks.
    jobs: Sequence[Job]
    # Workers that take tasks, and other workers of the service that have runs.
    workers: Sequence[Worker]
    unavailable: Sequence[Worker]
    # Cores of the service, including VMs that are moving to it.
    cores: float


@dataclass(frozen=True, slots=True)
class Assessment:
    """Shortage of a service at one time."""

    assessed_at: float
    # Whether the work of all jobs, and that of jobs within their rates, takes too long.
    oversubscribed: bool
    oversubscribed_within_rate: bool
    capacity: Resources = NOTHING
    # Share of the capacity for each unit of weight; infinite without a shortage.
    level: float = inf
    # What workspaces use on workers that are not part of ``capacity``.
    used_elsewhere: dict[WorkspaceName, Resources] = field(default_factory=dict)

    def used(
        self, ledger: UsageLedger, service: ServiceName, workspace: WorkspaceName
    ) -> Resources:
        """Return what a workspace uses of the capacity now."""
        used = ledger.used_in(service, workspace)
        elsewhere = self.used_elsewhere.get(workspace)
        return used if elsewhere is None else used - elsewhere

    def share(self, weight: float) -> float:
        """Return the share of a workspace, at most the whole capacity."""
        if weight <= 0.0:
            return 0.0
        return min(1.0, weight * self.level)


def assess(
    load: ServiceLoad,
    ledger: UsageLedger,
    claims: WaitingClaims,
    is_over_rate: Callable[[Job], bool],
    weight_of: Callable[[WorkspaceName], float],
    now: float,
) -> Assessment:
    """Return the shortage of a service; tasks beyond a limit are left out."""
    work = work_within_rate = 0.0
    waiting: dict[WorkspaceName, Resources] = {}
    for job in load.jobs:
        part = _count_waiting(job, claims, waiting)
        if not part:
            continue
        job_work = remaining_core_seconds(job) * part
        work += job_work
        if not is_over_rate(job):
            work_within_rate += job_work
    most = load.cores * MAX_BACKLOG_SECONDS
    if work <= most:
        return Assessment(now, False, False)
    used_elsewhere = _use_on(load.unavailable, ledger)
    capacity = sum((w.entry.capacity for w in load.workers), start=NOTHING)
    unclaimed = Assessment(now, True, False, used_elsewhere=used_elsewhere)
    users = {*waiting, *ledger.users_of(load.service)} - {NO_WORKSPACE}
    level = fair_level(
        [
            Claim(
                weight_of(name),
                unclaimed.used(ledger, load.service, name) + waiting.get(name, NOTHING),
            )
            for name in sorted(users)
        ],
        capacity,
        unclaimed.used(ledger, load.service, NO_WORKSPACE),
    )
    return Assessment(
        now, True, work_within_rate > most, capacity, level, used_elsewhere
    )


def _count_waiting(
    job: Job, claims: WaitingClaims, waiting: dict[WorkspaceName, Resources]
) -> float:
    """Add a job's ready tasks to ``waiting``; return the part that may start."""
    workspace = job.accepted.workspace
    if not workspace:
        return 1.0
    ready = allowed = 0
    total = waiting.get(workspace, NOTHING)
    for (_, number), positions in job.pending.items():
        demand = job.accepted.spec.steps[number].demand
        count = claims.take(workspace, demand, len(positions))
        ready += len(positions)
        allowed += count
        total = Resources(
            total.cpu + count * demand.cpu,
            total.memory + count * demand.memory,
            total.accelerators + count * demand.accelerators,
        )
    waiting[workspace] = total
    return allowed / ready if ready else 0.0


def _use_on(
    workers: Iterable[Worker], ledger: UsageLedger
) -> dict[WorkspaceName, Resources]:
    used: dict[WorkspaceName, Resources] = {}
    for worker in workers:
        for run in worker.runs.values():
            name = ledger.workspace_of((worker.worker_id, *run.key))
            used[name] = used.get(name, NOTHING) + run.step.demand
    return used
