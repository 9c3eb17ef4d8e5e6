"""Generates days of jobs with a given load pattern, for replays of policies.

Each shape is registered under the name that ``bench.ablation --shape`` takes. The same
seed always yields the same day.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import exp, pi, sin

from ebonyhub.configuration import Queue
from ebonyhub.ids import QueueName, ServiceName
from ebonyhub.jobs.model import Resources, StepSpec
from standins.recorded_jobs import RecordedDay, RecordedJob, RecordedStep

from .recorded_day import CALL_TIMEOUT_SECONDS, MAX_ATTEMPTS, STANDBY

DAY_SECONDS = 34.0
# Time between two draws of the arrival rate.
RATE_STEP_SECONDS = 0.1
VM_CAPACITY = Resources(32_000, 65_536, 0)
# Rates of a queue in a surge and outside of one, as multiples of its mean rate.
SURGE_RATE = 4.0
IDLE_RATE = 0.05
# Share of the surge over which its rate rises, and again falls.
RAMP_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class JobKind:
    """Means of a queue's jobs; each job and task varies around them."""

    jobs_per_second: float
    steps: float
    width: float
    millicores: float
    task_ms: float


SMALL_JOBS = JobKind(3.6, 1.6, 6, 1800, 1000)
LARGE_JOBS = JobKind(0.67, 2.0, 8, 3800, 1700)
WIDE_JOBS = JobKind(1.2, 1.0, 20, 1500, 900)
LONG_JOBS = JobKind(0.5, 3.0, 5, 6000, 2500)

# Rate of a queue at a time (s), as a multiple of its mean.
RatePattern = Callable[[int, float], float]


@dataclass(frozen=True, slots=True)
class LoadShape:
    """Kinds of jobs, one for each queue, and the pattern of their arrivals."""

    kinds: tuple[JobKind, ...]
    rate: RatePattern
    vms_per_pool: int = 8


SHAPES: dict[str, LoadShape] = {}


def register_shape(
    name: str, kinds: tuple[JobKind, ...], vms_per_pool: int = 8
) -> Callable[[RatePattern], RatePattern]:
    """Register an arrival pattern for the kinds under a name."""

    def register(rate: RatePattern) -> RatePattern:
        SHAPES[name] = LoadShape(kinds, rate, vms_per_pool)
        return rate

    return register


def surge_rate(elapsed: float, seconds: float, height: float = SURGE_RATE) -> float:
    """Return the rate ``elapsed`` seconds into a surge that lasts ``seconds``."""
    if not 0.0 <= elapsed < seconds:
        return IDLE_RATE
    ramp = seconds * RAMP_SHARE
    edge = min(elapsed, seconds - elapsed)
    return height * (sin(edge / ramp * pi / 2) if edge < ramp else 1.0)


_MIXED = (SMALL_JOBS, LARGE_JOBS, SMALL_JOBS, LARGE_JOBS)


@register_shape("turns", _MIXED)
def turns(queue: int, at: float) -> float:
    """Queues surge one after the other, 9 s each."""
    return surge_rate((at - 9.0 * queue) % 36.0, 9.0)


@register_shape("short-turns", _MIXED)
def short_turns(queue: int, at: float) -> float:
    """Queues surge one after the other, 4.5 s each."""
    return surge_rate((at - 4.5 * queue) % 18.0, 4.5)


@register_shape("long-turns", (SMALL_JOBS, LARGE_JOBS, WIDE_JOBS))
def long_turns(queue: int, at: float) -> float:
    """Three queues of other job sizes surge in reverse order, 14 s each."""
    return surge_rate((at - 14.0 * (2 - queue)) % 42.0, 14.0, 3.0)


@register_shape("pairs", (SMALL_JOBS, SMALL_JOBS, LARGE_JOBS, LARGE_JOBS))
def pairs(queue: int, at: float) -> float:
    """Two queues surge at once."""
    return surge_rate((at - 8.0 * (queue % 2)) % 16.0, 8.0, 3.0)


@register_shape("skipped-turn", _MIXED)
def skipped_turn(queue: int, at: float) -> float:
    """Leave out the turn of one queue."""
    return IDLE_RATE if queue == 2 else turns(queue, at)


@register_shape("steady", _MIXED)
def steady(queue: int, at: float) -> float:
    """No surges; the rates are constant."""
    return 1.0


@register_shape("standing-surge", (LARGE_JOBS, SMALL_JOBS, LONG_JOBS, WIDE_JOBS))
def standing_surge(queue: int, at: float) -> float:
    """Begin with a surge at full height; the other queues follow in turn."""
    if queue == 0 and at < 6.0:
        return SURGE_RATE
    return surge_rate(at - 6.0 - 9.0 * (queue - 1), 9.0)


_GROWN = tuple(
    replace(
        kind,
        jobs_per_second=kind.jobs_per_second * 3,
        width=kind.width * 1.3,
        millicores=kind.millicores * 1.7,
    )
    for kind in _MIXED
)


@register_shape("grown-turns", _GROWN, 32)
def grown_turns(queue: int, at: float) -> float:
    """Four times the VMs, with larger tasks."""
    return turns(queue, at)


def build_day(name: str, seed: int) -> RecordedDay:
    """Return a day of the shape; raises KeyError if the name is unknown."""
    shape = SHAPES[name]
    rng = random.Random(f"{name}-{seed}")
    queues: list[Queue] = []
    jobs: list[RecordedJob] = []
    for number, kind in enumerate(shape.kinds):
        service = ServiceName(f"service-{number}")
        queue, serving = _queue(number, service, 1.6), _queue(100 + number, service, 2)
        queues += [queue, serving]
        jobs.append(RecordedJob(0.0, serving.name, (_serving_step(rng),)))
        at = 0.0
        while at < DAY_SECONDS:
            mean = kind.jobs_per_second * shape.rate(number, at) * RATE_STEP_SECONDS
            for _ in range(_poisson(rng, mean)):
                arrival = at + rng.uniform(0.0, RATE_STEP_SECONDS)
                jobs.append(RecordedJob(arrival, queue.name, _steps(rng, kind)))
            at = round(at + RATE_STEP_SECONDS, 6)
    return RecordedDay(
        queues=tuple(queues),
        vms_per_pool=shape.vms_per_pool,
        vms_per_rack=4,
        capacity=VM_CAPACITY,
        standby=STANDBY,
        jobs=tuple(sorted(jobs, key=lambda job: job.at)),
    )


def _queue(number: int, service: ServiceName, stretch: float) -> Queue:
    return Queue(
        name=QueueName(f"queue-{number}"),
        host="host",
        prefix=f"/queue-{number}/",
        service=service,
        priority=0,
        max_attempts=MAX_ATTEMPTS,
        stretch=stretch,
        target_seconds=0.6,
        timeout_seconds=CALL_TIMEOUT_SECONDS,
    )


def _serving_step(rng: random.Random) -> RecordedStep:
    spec = StepSpec(
        count=5,
        demand=Resources(rng.randint(2400, 3800), 4800),
        max_per_worker=2,
        long_running=True,
        max_unavailable=1,
    )
    return RecordedStep(spec, (0,))


def _steps(rng: random.Random, kind: JobKind) -> tuple[RecordedStep, ...]:
    steps = max(1, min(4, round(_vary(rng, kind.steps, 0.4))))
    millicores = max(100, int(min(_vary(rng, kind.millicores, 0.45), VM_CAPACITY.cpu)))
    duration = min(_vary(rng, kind.task_ms, 0.5), kind.task_ms * 2.5)
    built: list[RecordedStep] = []
    for number in range(steps):
        count = max(1, round(min(_vary(rng, kind.width, 0.6), kind.width * 4)))
        spec = StepSpec(
            count=count,
            demand=Resources(millicores, millicores),
            estimate_ms=max(100, int(_vary(rng, duration, 0.2))),
            after=(number - 1,) if number else (),
        )
        task_ms = tuple(int(_vary(rng, duration, 0.15)) for _ in range(count))
        built.append(RecordedStep(spec, task_ms))
    return tuple(built)


def _vary(rng: random.Random, mean: float, spread: float) -> float:
    """Return a lognormal value; ``spread`` is the sigma of its logarithm."""
    return mean * exp(rng.gauss(-spread * spread / 2, spread))


def _poisson(rng: random.Random, mean: float) -> int:
    """Return a Poisson value; meant for small means."""
    limit, count, product = exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
