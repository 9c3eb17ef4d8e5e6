"""Load of one service as the leader measures it and sends it to all entries."""

from bisect import bisect_left
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil, floor, inf
from typing import Annotated, Any, NamedTuple

import msgspec

from ...decoding import try_convert
from ...ids import ServiceName, WorkspaceName

# Upper bounds in core-seconds of the job size classes.
SIZE_CLASSES = (2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, inf)
# Upper bounds in thousandths of a core of the classes of waiting tasks.
CPU_CLASSES = (
    250, 500, 750, 1000, 1250, 1500, 1750, 2000, 2500, 3000, 3500, 4000, 5000, 6000,
    8000, 12_000, 16_000, 32_000,
)  # fmt: skip
# Size class of jobs that have started; they are served before new jobs.
STARTED = 0
# A service with less waiting work than its cores serve in this time is not sent:
# its jobs start soon.
MIN_BACKLOG_SECONDS = 0.4
# Upper limits of one message, so that it stays small on slow links.
MAX_CLASSES = 256
MAX_WORKSPACES = 1024


class BacklogClass(NamedTuple):
    """Class of waiting jobs; sorting classes gives the order in which they are served.

    Long-running jobs are in none.
    """

    # Jobs of workspaces beyond their rate have no entitlement.
    over_rate: bool
    # Cannot end within the objective any more.
    late: bool
    # 0 is the highest.
    priority: int
    # Beyond the share of its workspace, on capacity that others lend.
    lent: bool
    # STARTED, or 1 plus the index in SIZE_CLASSES.
    size: int


@dataclass(frozen=True, slots=True)
class Work:
    """Work of one class in core-seconds."""

    # Of tasks that have no worker.
    waiting: float
    # Accepted per second.
    arriving: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Capacity and waiting work of one service."""

    # Cores of workers that respond and take tasks, and of VMs on their way.
    cores: float
    work: Mapping[BacklogClass, Work] = field(default_factory=dict)
    # Largest free CPU of one worker in thousandths of a core.
    free_cpu: int = 0
    # Cores that ready tasks without a worker need, by the index in CPU_CLASSES.
    waiting_cores: tuple[float, ...] = (0.0,) * len(CPU_CLASSES)
    # Cores that tasks start to use per second.
    starting: float = 0.0
    # Those of ``cores`` that are on their way.
    cores_on_way: float = 0.0
    # Workspaces that send more jobs than they are entitled to.
    over_rate: frozenset[WorkspaceName] = frozenset()

    @property
    def backlog(self) -> float:
        """Return the waiting work in core-seconds."""
        return sum(work.waiting for work in self.work.values())

    @property
    def is_significant(self) -> bool:
        """Return whether the backlog can make a job late."""
        return self.backlog > self.cores * MIN_BACKLOG_SECONDS

    def waiting_cores_up_to(self, cpu: int) -> float:
        """Return the cores for waiting tasks that need no more CPU than ``cpu``."""
        return sum(
            cores
            for limit, cores in zip(CPU_CLASSES, self.waiting_cores, strict=True)
            if limit <= cpu
        )


def size_class(core_seconds: float) -> int:
    """Return the size class of a job that has not started."""
    return 1 + bisect_left(SIZE_CLASSES, core_seconds)


def cpu_class(cpu: int) -> int:
    """Return the CPU class of a task; larger ones than all classes are in the last."""
    return min(bisect_left(CPU_CLASSES, cpu), len(CPU_CLASSES) - 1)


# NaN, infinite and negative values are refused. The work of a few of the largest valid
# jobs is more than this, and is sent as this.
MAX_AMOUNT = 10**12
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
WorkRow = tuple[
    bool,
    bool,
    Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)],
    bool,
    Annotated[int, msgspec.Meta(ge=0, le=len(SIZE_CLASSES))],
    Amount,
    Amount,
]
# Service, cores, rows of work, free CPU, waiting cores, starting cores,
# cores on their way, workspaces over rate.
LoadRow = tuple[
    Annotated[ServiceName, msgspec.Meta(max_length=256)],
    Amount,
    Annotated[list[WorkRow], msgspec.Meta(max_length=MAX_CLASSES)],
    # An overcommitted worker has less than nothing free.
    Annotated[int, msgspec.Meta(ge=-(10**9), le=10**9)],
    Annotated[
        tuple[Amount, ...],
        msgspec.Meta(min_length=len(CPU_CLASSES), max_length=len(CPU_CLASSES)),
    ],
    Amount,
    Amount,
    Annotated[
        list[Annotated[WorkspaceName, msgspec.Meta(max_length=256)]],
        msgspec.Meta(max_length=MAX_WORKSPACES),
    ],
]


def encode_loads(loads: Mapping[ServiceName, ServiceLoad]) -> list[LoadRow]:
    """Return rows for a message to peers; only significant loads are sent.

    Amounts are rounded, as whole numbers take a third of the bytes and the leader sends
    them to each entry. What waits is rounded down and what becomes free up, so that no
    job is refused for the difference while a worker has room.
    """
    return [
        (
            service,
            min(MAX_AMOUNT, round(load.cores, 1)),
            _work_rows(load.work),
            load.free_cpu,
            tuple(min(MAX_AMOUNT, floor(cores)) for cores in load.waiting_cores),
            min(MAX_AMOUNT, ceil(load.starting)),
            min(MAX_AMOUNT, ceil(load.cores_on_way)),
            sorted(load.over_rate)[:MAX_WORKSPACES],
        )
        for service, load in loads.items()
        if load.is_significant
    ]


def _work_rows(work: Mapping[BacklogClass, Work]) -> list[WorkRow]:
    """Return the classes that are served first, with the rest added to the last."""
    rows: list[WorkRow] = [
        (
            *backlog_class,
            min(MAX_AMOUNT, round(amount.waiting)),
            min(MAX_AMOUNT, round(amount.arriving)),
        )
        for backlog_class, amount in sorted(work.items())
        if amount.waiting >= 0.5 or amount.arriving >= 0.5
    ]
    kept, rest = rows[:MAX_CLASSES], rows[MAX_CLASSES:]
    if rest:
        waiting, arriving = kept[-1][5:]
        waiting += sum(row[5] for row in rest)
        arriving += sum(row[6] for row in rest)
        kept[-1] = (kept[-1][0], kept[-1][1], kept[-1][2], kept[-1][3], kept[-1][4],
                    min(MAX_AMOUNT, waiting), min(MAX_AMOUNT, arriving))  # fmt: skip
    return kept


def decode_loads(rows: Any) -> dict[ServiceName, ServiceLoad]:
    """Return the loads of a message; raises ValueError."""
    decoded = try_convert(rows, list[LoadRow])
    if decoded.is_error():
        raise ValueError(decoded.error)
    return {
        service: ServiceLoad(
            cores,
            {BacklogClass(*row[:5]): Work(row[5], row[6]) for row in work},
            free_cpu,
            waiting_cores,
            starting,
            on_way,
            frozenset(over_rate),
        )
        for (
            service, cores, work, free_cpu, waiting_cores, starting, on_way, over_rate
        ) in decoded.ok
    }  # fmt: skip
