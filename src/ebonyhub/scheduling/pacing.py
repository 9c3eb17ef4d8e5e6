"""Paces tasks that fill spare capacity, so that serving tasks beside them stay fast."""

from .runs import Run, RunPhase, Worker

# Shares of the target of a serving task's tail: at the first fillers are halved, above
# the target they stop, below the second they speed up again.
SLOW_DOWN_AT = 0.85
SPEED_UP_BELOW = 0.6
# Points by which the pace rises in one step.
RISE_PERCENT = 20
FULL_PERCENT = 100
# Seconds between two changes on one worker; a report covers the last half second.
CHANGE_SECONDS = 0.6


def worst_load(worker: Worker) -> float:
    """Return the highest tail of a serving task as a share of its target."""
    shares = [
        run.usage / run.step.target_ms
        for run in worker.runs.values()
        if run.step.target_ms and run.phase is RunPhase.CONFIRMED
    ]
    return max(shares, default=0.0)


def next_percent(present: int, load: float) -> int:
    """Return the pace that follows from a load."""
    if load >= 1.0:
        return 0
    if load > SLOW_DOWN_AT:
        return present // 2
    if load < SPEED_UP_BELOW:
        return min(FULL_PERCENT, present + RISE_PERCENT)
    return present


def paces(worker: Worker) -> list[tuple[Run, int]]:
    """Return the fillers whose pace should change, with the new pace in percent."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.step.uses_spare_cpu
        and run.phase is RunPhase.CONFIRMED
        and run.stop is None
    ]
    if not fillers:
        return []
    load = worst_load(worker)
    wanted = [(run, next_percent(run.pace, load)) for run in fillers]
    return [(run, percent) for run, percent in wanted if percent != run.pace]
