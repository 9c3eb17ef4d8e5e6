"""Throttles best-effort tasks to protect the latency of serving tasks beside them."""

from .run_speed import FULL_PERCENT
from .runs import Run, RunPhase, Worker

# Ratios of a serving task's tail latency to its target. Best-effort tasks are halved in
# speed above the first, paused from 1.0 on, and sped up again below the second.
SLOW_DOWN_RATIO = 0.85
SPEED_UP_RATIO = 0.6
# Percentage points by which the speed rises in one step.
SPEED_STEP_PERCENT = 20
# Seconds between two changes on one worker. Reported latencies cover the last half
# second, so a shorter interval would act on samples from before the last change.
MIN_CHANGE_INTERVAL_SECONDS = 0.6


def highest_latency_ratio(worker: Worker) -> float:
    """Return the highest ratio of tail latency to target among serving tasks."""
    ratios = [
        run.usage / run.step.target_ms
        for run in worker.runs.values()
        if run.step.target_ms and run.phase is RunPhase.CONFIRMED
    ]
    return max(ratios, default=0.0)


def next_speed_percent(current: int, latency_ratio: float) -> int:
    """Return the speed in percent that follows from a latency ratio."""
    if latency_ratio >= 1.0:
        return 0
    if latency_ratio > SLOW_DOWN_RATIO:
        return current // 2
    if latency_ratio < SPEED_UP_RATIO:
        return min(FULL_PERCENT, current + SPEED_STEP_PERCENT)
    return current


def throttle_changes(worker: Worker, now: float) -> list[tuple[Run, int]]:
    """Return the best-effort runs to throttle anew, with their speed in percent.

    Among them are those whose last order has to be repeated.
    """
    best_effort_runs = [
        run
        for run in worker.runs.values()
        if run.step.uses_spare_cpu
        and run.phase is RunPhase.CONFIRMED
        and run.stop_reason is None
    ]
    if not best_effort_runs:
        return []
    latency_ratio = highest_latency_ratio(worker)
    target_speeds = [
        (run, next_speed_percent(run.speed.percent, latency_ratio))
        for run in best_effort_runs
    ]
    return [
        (run, percent)
        for run, percent in target_speeds
        if percent != run.speed.percent or now >= run.speed.repeat_at
    ]
