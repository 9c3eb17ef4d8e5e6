"""Upper bound of the worth in time that any order and admission can reach.

Work is a divisible fluid: the recorded work of each step may be served at any rate, in
any pieces, anywhere, within the step's window. The window begins when the steps before
it have ended at the earliest, and ends when those after it must begin at the latest for
the job to meet its objective. Each step carries a share of the job's worth by its
work. Whatever a real schedule completes in time is such a service of the same
worth, so the best fluid service is an upper bound. The amounts of work that fit into
their windows form a polymatroid, so taking steps by worth per work, each as far as it
still fits, is optimal for the fluid. An amount fits if and only if no interval of time
has to hold more work than its capacity, where an interval has to hold the work of all
windows inside it (earliest deadline first serves it then).

Times are rounded outwards to slots, which only widens windows.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil, floor

import numpy as np

from standins.recorded_jobs import RecordedJob

SLOT_SECONDS = 0.1
# Work in core-seconds that counts as nothing.
TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class WindowedWork:
    """Work of a step with its window; times are seconds of the replay."""

    begins: float
    ends: float
    core_seconds: float
    worth: float


def windows_of(
    job: RecordedJob, arrival: float, objective_seconds: float, worth: float
) -> list[WindowedWork]:
    """Return the work of each step; empty if no order can end the job in time."""
    if job.shortest_seconds > objective_seconds:
        return []
    durations = [max(step.task_ms) / 1000 for step in job.steps]
    heads: list[float] = []
    for step in job.steps:
        before = (heads[i] + durations[i] for i in step.spec.after)
        heads.append(max(before, default=0.0))
    tails = [0.0] * len(job.steps)
    for number in reversed(range(len(job.steps))):
        for earlier in job.steps[number].spec.after:
            after = durations[number] + tails[number]
            tails[earlier] = max(tails[earlier], after)
    total = max(job.core_seconds, TOLERANCE)
    works = [
        step.spec.demand.cpu / 1000 * sum(step.task_ms) / 1000 for step in job.steps
    ]
    return [
        WindowedWork(
            arrival + head, arrival + objective_seconds - tail, work,
            worth * work / total,
        )
        for head, tail, work in zip(heads, tails, works, strict=True)
    ]  # fmt: skip


def worth_bound(jobs: Iterable[WindowedWork], capacity: Sequence[float]) -> float:
    """Return the largest worth that can be in time.

    ``capacity`` is the largest number of cores in each slot.
    """
    ends = np.concatenate(([0.0], np.cumsum(capacity))) * SLOT_SECONDS
    # Room of the interval from slot ``a`` to slot ``b``; ends are exclusive.
    room = ends[np.newaxis, :] - ends[:, np.newaxis]
    last = len(ends) - 1
    worth = 0.0
    for job in sorted(jobs, key=lambda j: -j.worth / max(j.core_seconds, TOLERANCE)):
        first = min(last, floor(job.begins / SLOT_SECONDS + TOLERANCE))
        end = min(last, ceil(job.ends / SLOT_SECONDS - TOLERANCE))
        if end <= first:
            continue
        if job.core_seconds <= TOLERANCE:
            worth += job.worth
            continue
        around = room[: first + 1, end:]
        served = min(job.core_seconds, float(around.min()))
        if served > TOLERANCE:
            around -= served
            worth += job.worth * served / job.core_seconds
    return worth
