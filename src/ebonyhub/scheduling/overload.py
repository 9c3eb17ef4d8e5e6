"""Decides whether a new job can still be of use to its caller.

Answers a load under which a service owes more work than its room carries for many
seconds: a burst on top of a surge, lost racks, tasks that take a multiple of their
estimate. A job that is accepted then is owed for ever, although its caller has no use
for it any more, and its tasks hold room and VMs.

A job that gets room while it can still be on time is accepted: it waits only for begun
jobs and for smaller ones, so small jobs pass while large ones do not. Any other becomes
late and shares what is left over with all that is owed. It is refused if that work,
spread over the cores that the service has or gets by moves under way, takes longer than
the result is of use. Without a forecast, or with an old one, everything is accepted.
"""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil, inf

from ..configuration import Queue
from ..ids import ServiceName
from ..jobs.model import JobSpec

# Upper bounds (core-seconds) of the size classes by which waiting work is summed up.
SIZE_CLASSES = (2.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 320.0, 640.0, inf)
# A result is of use to its caller within this multiple of the job's objective.
USEFULNESS_FACTOR = 3.0
# While a job waits for the work before it, this multiple of it comes and goes first,
# since further small jobs arrive.
FURTHER_ARRIVALS_FACTOR = 2.0
# Seconds after which a forecast says nothing any more.
FORECAST_MAX_AGE_SECONDS = 1.5
# Seconds between the earliest and the latest return of callers that are refused
# together, as a share of the time until there is room.
RETRY_JITTER = 0.5
MAX_RETRY_AFTER_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """Room and owed work of one service; work in core-seconds."""

    # Cores that it has or is about to get.
    cores: float
    # Work of begun jobs that can still be on time; it is served before a new job.
    started: float
    # Work of the other jobs that can still be on time, by size class of the job.
    waiting: tuple[float, ...]
    # Work of jobs that are late already.
    late: float = 0.0
    # Most processor (thousandths of a core) that is free on one worker.
    free_cpu: int = 0

    @property
    def backlog(self) -> float:
        """Return all the work that waits."""
        return self.started + sum(self.waiting) + self.late

    def work_ahead_of(self, size: float) -> float:
        """Return the work that is served before a new job of a size."""
        return self.started + sum(self.waiting[: bisect_left(SIZE_CLASSES, size)])


@dataclass(frozen=True, slots=True)
class BacklogJob:
    """A job that waits, with the work of its tasks that have no worker."""

    size: float
    work: float
    started: bool = False
    late: bool = False


def build_forecast(
    cores: float, jobs: Iterable[BacklogJob], free_cpu: int = 0
) -> Forecast:
    """Sum up what a service owes."""
    started = late = 0.0
    waiting = [0.0] * len(SIZE_CLASSES)
    for job in jobs:
        if job.late:
            late += job.work
        elif job.started:
            started += job.work
        else:
            waiting[bisect_left(SIZE_CLASSES, job.size)] += job.work
    return Forecast(cores, started, tuple(waiting), late, free_cpu)


def usefulness_overrun_seconds(
    queue: Queue, spec: JobSpec, forecast: Forecast
) -> float:
    """Return by how much a new job would exceed its use; 0 if it would not.

    Long-running jobs and those with a schedule are always of use.
    """
    if spec.long_running or spec.repeat_count or forecast.cores <= 0:
        return 0.0
    if min(step.reserved.cpu for step in spec.steps) <= forecast.free_cpu:
        return 0.0
    chain = spec.critical_path_seconds
    objective = queue.stretch * chain + queue.target_seconds
    size = sum(step.core_seconds for step in spec.steps)
    soon = forecast.work_ahead_of(size) / forecast.cores
    if soon * FURTHER_ARRIVALS_FACTOR + chain <= objective:
        return 0.0
    wait = forecast.backlog / forecast.cores
    return max(0.0, wait + chain - USEFULNESS_FACTOR * objective)


def retry_after_seconds(excess: float, draw: float) -> int:
    """Return when to come back; ``draw`` (0 to 1) spreads callers that come together.

    By then the work that is in the way now has been served.
    """
    seconds = excess * (1.0 + RETRY_JITTER * draw)
    return max(1, ceil(min(seconds, MAX_RETRY_AFTER_SECONDS)))


class ForecastCache:
    """The newest forecasts of the leader, as an entry knows them."""

    def __init__(self) -> None:
        self.forecasts: dict[ServiceName, Forecast] = {}
        self.updated_at = -inf

    def update(self, forecasts: dict[ServiceName, Forecast], now: float) -> None:
        """Take over what a leader tells; services that it leaves out have room."""
        self.forecasts = forecasts
        self.updated_at = now

    def overrun_seconds(self, queue: Queue, spec: JobSpec, now: float) -> float:
        """Return by how many seconds a job would exceed its use."""
        forecast = self.forecasts.get(queue.service)
        if forecast is None or now - self.updated_at > FORECAST_MAX_AGE_SECONDS:
            return 0.0
        return usefulness_overrun_seconds(queue, spec, forecast)


ForecastRow = tuple[ServiceName, float, float, Sequence[float], float, int]


def encode_forecasts(forecasts: dict[ServiceName, Forecast]) -> list[ForecastRow]:
    """Return rows for a message to peers, only of services that owe a lot of work."""
    return [
        (service, f.cores, f.started, f.waiting, f.late, f.free_cpu)
        for service, f in forecasts.items()
        if f.backlog > f.cores
    ]


def decode_forecasts(rows: Iterable[ForecastRow]) -> dict[ServiceName, Forecast]:
    """Return the forecasts of a message; raises TypeError or ValueError."""
    found: dict[ServiceName, Forecast] = {}
    for service, cores, started, waiting, late, free_cpu in rows:
        if len(waiting) != len(SIZE_CLASSES):
            raise ValueError("a forecast has other size classes")
        work = tuple(float(value) for value in waiting)
        found[ServiceName(service)] = Forecast(
            float(cores), float(started), work, float(late), int(free_cpu)
        )
    return found
