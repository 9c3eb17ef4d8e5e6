"""Load shedding: rejects new jobs that would end too late to be useful.

A service can have a backlog of many seconds: after bursts of arrivals, the loss of
racks, or tasks that take several times their estimate. Each job accepted then must
still be run, although its result comes too late for the caller, and its tasks occupy
capacity and VMs.

A job that is expected to end on time is accepted. It waits only for started jobs and
smaller ones, so small jobs are accepted while large ones are not. Any other job will be
late and shares the remaining capacity with the whole backlog. It is rejected if that
backlog, spread over the cores that the service has or is about to get, takes longer
than the result stays useful. Without a recent forecast every job is accepted.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, inf
from typing import Annotated, Any, Protocol

import msgspec

from ..configuration import Queue
from ..decoding import try_convert
from ..ids import ServiceName, WorkspaceName
from ..jobs.model import JobSpec

# Upper bounds in core-seconds of the job size classes by which waiting work is summed.
SIZE_CLASSES = (2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, inf)
# A result is useful to its caller within this multiple of the job's objective.
USEFULNESS_FACTOR = 3.0
# Factor on the work ahead of a job: smaller jobs that arrive while it waits are served
# first, too.
FURTHER_ARRIVALS_FACTOR = 2.0
# Seconds after which a forecast is ignored.
FORECAST_MAX_AGE_SECONDS = 1.5
# Jitter of the retry time as a share of it, so that callers rejected together do not
# all return together.
RETRY_JITTER = 0.5
MAX_RETRY_AFTER_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """Capacity and backlog of one service; work is in core-seconds."""

    # Cores that the service has or is about to get.
    cores: float
    # Work of started jobs that can still be on time; served before any new job.
    started_work: float
    # Work of queued jobs that can still be on time, by size class of the job.
    waiting_work: tuple[float, ...]
    # Work of jobs that are late already.
    late_work: float = 0.0
    # Largest free CPU of one worker in thousandths of a core.
    free_cpu: int = 0

    @property
    def backlog(self) -> float:
        """Return the total work of waiting tasks in core-seconds."""
        return self.started_work + sum(self.waiting_work) + self.late_work

    def work_ahead_of(self, size: float) -> float:
        """Return the core-seconds served before a new on-time job of this size."""
        return self.started_work + sum(
            self.waiting_work[: bisect_left(SIZE_CLASSES, size)]
        )


@dataclass(frozen=True, slots=True)
class BacklogJob:
    """A job with waiting tasks."""

    # Core-seconds of all its tasks.
    size: float
    # Core-seconds of its tasks that have no worker.
    work: float
    started: bool = False
    late: bool = False


def build_forecast(
    cores: float, jobs: Iterable[BacklogJob], free_cpu: int = 0
) -> Forecast:
    """Sum up the backlog of a service; ``free_cpu`` as in ``Forecast``."""
    started_work = late_work = 0.0
    waiting_work = [0.0] * len(SIZE_CLASSES)
    for job in jobs:
        if job.late:
            late_work += job.work
        elif job.started:
            started_work += job.work
        else:
            waiting_work[bisect_left(SIZE_CLASSES, job.size)] += job.work
    return Forecast(cores, started_work, tuple(waiting_work), late_work, free_cpu)


def usefulness_overrun_seconds(
    queue: Queue, spec: JobSpec, forecast: Forecast
) -> float:
    """Return by how many seconds a new job would end too late to be useful, else 0.

    Long-running and scheduled jobs are always useful. A job of which a task fits on a
    worker now is always accepted.
    """
    if spec.long_running or spec.repeat_count or forecast.cores <= 0:
        return 0.0
    if min(step.reserved.cpu for step in spec.steps) <= forecast.free_cpu:
        return 0.0
    critical_path = spec.critical_path_seconds
    objective = queue.stretch * critical_path + queue.target_seconds
    size = sum(step.core_seconds for step in spec.steps)
    wait_on_time = forecast.work_ahead_of(size) / forecast.cores
    if wait_on_time * FURTHER_ARRIVALS_FACTOR + critical_path <= objective:
        return 0.0
    wait_late = forecast.backlog / forecast.cores
    return max(0.0, wait_late + critical_path - USEFULNESS_FACTOR * objective)


def retry_after_seconds(overrun: float, random_fraction: float) -> int:
    """Return after how many seconds a rejected caller should retry.

    After ``overrun`` seconds the excess backlog has been served. ``random_fraction``
    (0 to 1) sets the jitter.
    """
    seconds = overrun * (1.0 + RETRY_JITTER * random_fraction)
    return max(1, ceil(min(seconds, MAX_RETRY_AFTER_SECONDS)))


class Admission(Protocol):
    """Decides at an entry whether a job is accepted."""

    # Monotonic time of the leader's last message.
    updated_at: float

    def refusal_seconds(
        self, queue: Queue, spec: JobSpec, workspace: WorkspaceName, now: float
    ) -> float:
        """Return after how many seconds a job is likely to be accepted.

        0 means that it is accepted now.
        """


class ForecastCache:
    """An entry's copy of the leader's latest forecasts."""

    def __init__(self) -> None:
        self.forecasts: dict[ServiceName, Forecast] = {}
        self.updated_at = -inf

    def update(self, forecasts: dict[ServiceName, Forecast], now: float) -> None:
        """Replace the forecasts; services that the leader leaves out have capacity."""
        self.forecasts = forecasts
        self.updated_at = now

    def refusal_seconds(
        self, queue: Queue, spec: JobSpec, workspace: WorkspaceName, now: float
    ) -> float:
        """Return ``overrun_seconds``; the workspace plays no role."""
        return self.overrun_seconds(queue, spec, now)

    def overrun_seconds(self, queue: Queue, spec: JobSpec, now: float) -> float:
        """Return by how many seconds a job would end too late to be useful, else 0."""
        forecast = self.forecasts.get(queue.service)
        if forecast is None or now - self.updated_at > FORECAST_MAX_AGE_SECONDS:
            return 0.0
        return usefulness_overrun_seconds(queue, spec, forecast)


# NaN and infinite values are refused: they cannot be rounded to a retry time.
Amount = Annotated[float, msgspec.Meta(ge=-1e300, le=1e300)]
# Service, cores, started, waiting, late and free CPU, as in ``Forecast``.
ForecastRow = tuple[
    Annotated[ServiceName, msgspec.Meta(max_length=256)],
    Amount,
    Amount,
    Annotated[
        tuple[Amount, ...],
        msgspec.Meta(min_length=len(SIZE_CLASSES), max_length=len(SIZE_CLASSES)),
    ],
    Amount,
    int,
]


def encode_forecasts(forecasts: dict[ServiceName, Forecast]) -> list[ForecastRow]:
    """Return rows for a message to peers.

    Only services with a backlog of more than one second of all their cores are sent.
    """
    return [
        (service, f.cores, f.started_work, f.waiting_work, f.late_work, f.free_cpu)
        for service, f in forecasts.items()
        if f.backlog > f.cores
    ]


def decode_forecasts(rows: Any) -> dict[ServiceName, Forecast]:
    """Return the forecasts of a message; raises ValueError."""
    decoded = try_convert(rows, list[ForecastRow])
    if decoded.is_error():
        raise ValueError(decoded.error)
    return {
        service: Forecast(cores, started, waiting, late, free_cpu)
        for service, cores, started, waiting, late, free_cpu in decoded.ok
    }
