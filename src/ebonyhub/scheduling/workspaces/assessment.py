"""Whether a service has enough capacity, and the shares if it has not (pure)."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf

from ...ids import NO_WORKSPACE, ServiceName, WorkspaceName
from ...jobs.model import Resources
from ..priority import MAX_BACKLOG_SECONDS, remaining_core_seconds
from ..runs import Job, Worker
from .limits import NOTHING, Room, WaitingClaims
from .shares import Claim, fair_level
from .usage import UsageLedger

# Seconds for which an assessment is used, or seconds for each waiting job if that is
# longer. Counting a job takes about 3 us, and may use 5% of the time at most.
VALID_SECONDS = 0.1
VALID_SECONDS_PER_JOB = 6e-5


def valid_seconds(waiting_jobs: int) -> float:
    """Return for how long a count over so many waiting jobs is used."""
    return max(VALID_SECONDS, waiting_jobs * VALID_SECONDS_PER_JOB)


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
    waiting_jobs: int = 0
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
    sums: dict[WorkspaceName, _WaitingSum] = {}
    for job in load.jobs:
        name = job.accepted.workspace
        waiting_sum = sums.get(name)
        if waiting_sum is None:
            waiting_sum = sums[name] = _WaitingSum(claims.room(name))
        part = waiting_sum.add(job)
        if not part:
            continue
        job_work = remaining_core_seconds(job) * part
        work += job_work
        if not is_over_rate(job):
            work_within_rate += job_work
    most = load.cores * MAX_BACKLOG_SECONDS
    if work <= most:
        return Assessment(now, False, False, len(load.jobs))
    waiting = {name: waiting_sum.total for name, waiting_sum in sums.items()}
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
        now, True, work_within_rate > most, len(load.jobs), capacity, level,
        used_elsewhere,
    )  # fmt: skip


class _WaitingSum:
    """Sum of the ready tasks of a workspace that its limit lets start."""

    __slots__ = ("_accelerators", "_cpu", "_memory", "_room")

    def __init__(self, room: Room | None) -> None:
        self._room = room
        self._cpu = self._memory = self._accelerators = 0

    @property
    def total(self) -> Resources:
        """Return what the tasks need."""
        return Resources(self._cpu, self._memory, self._accelerators)

    def add(self, job: Job) -> float:
        """Add a job's ready tasks; return the part of them that may start."""
        steps = job.accepted.spec.steps
        ready = allowed = 0
        for (_, number), positions in job.pending.items():
            demand = steps[number].demand
            count = len(positions)
            ready += count
            if self._room is not None:
                count = self._room.take(demand, count)
            allowed += count
            self._cpu += count * demand.cpu
            self._memory += count * demand.memory
            self._accelerators += count * demand.accelerators
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
