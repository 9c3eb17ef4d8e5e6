"""Paces tasks that fill spare capacity, so that serving tasks beside them stay fast."""

from .runs import Run, RunPhase, Worker

# Shares of the target of a serving task's tail: at the first fillers are halved, above
# the target they stop, below the second they speed up again.
SLOW_DOWN_RATIO = 0.85
SPEED_UP_RATIO = 0.6
# Points by which the pace rises in one step.
SPEED_STEP_PERCENT = 20
FULL_PERCENT = 100
# Seconds between two changes on one worker; a report covers the last half second.
MIN_CHANGE_INTERVAL_SECONDS = 0.6


def highest_latency_ratio(worker: Worker) -> float:
    """Return the highest tail of a serving task as a share of its target."""
    shares = [
        run.usage / run.step.target_ms
        for run in worker.runs.values()
        if run.step.target_ms and run.phase is RunPhase.CONFIRMED
    ]
    return max(shares, default=0.0)


def next_speed_percent(present: int, load: float) -> int:
    """Return the pace that follows from a load."""
    if load >= 1.0:
        return 0
    if load > SLOW_DOWN_RATIO:
        return present // 2
    if load < SPEED_UP_RATIO:
        return min(FULL_PERCENT, present + SPEED_STEP_PERCENT)
    return present


def throttle_changes(worker: Worker) -> list[tuple[Run, int]]:
    """Return the fillers whose pace should change, with the new pace in percent."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.step.uses_spare_cpu
        and run.phase is RunPhase.CONFIRMED
        and run.stop_reason is None
    ]
    if not fillers:
        return []
    load = highest_latency_ratio(worker)
    wanted = [(run, next_speed_percent(run.speed_percent, load)) for run in fillers]
    return [(run, percent) for run, percent in wanted if percent != run.speed_percent]
