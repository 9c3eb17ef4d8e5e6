"""Upper bound of the worth in time that any order and admission can reach.

Work is a divisible fluid: each job's recorded work may be served at any rate, in any
pieces, anywhere, within its window from arrival to objective. Whatever a real schedule
completes in time is such a service, so the best fluid service is an upper bound. The
amounts of work that fit into their windows form a polymatroid, so taking jobs by worth
per work, each as far as it still fits, is optimal for the fluid. An amount fits if and
only if no interval of time has to hold more work than its capacity, where an interval
has to hold the work of all windows inside it (earliest deadline first serves it then).

Times are rounded outwards to slots, which only widens windows.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil, floor

import numpy as np

SLOT_SECONDS = 0.1
# Work in core-seconds that counts as nothing.
TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class BoundJob:
    """A job for the bound; times are seconds of the replay."""

    arrival: float
    objective_at: float
    core_seconds: float
    worth: float


def worth_bound(jobs: Iterable[BoundJob], capacity: Sequence[float]) -> float:
    """Return the largest worth that can be in time.

    ``capacity`` is the largest number of cores in each slot.
    """
    ends = np.concatenate(([0.0], np.cumsum(capacity))) * SLOT_SECONDS
    # Room of the interval from slot ``a`` to slot ``b``; ends are exclusive.
    room = ends[np.newaxis, :] - ends[:, np.newaxis]
    last = len(ends) - 1
    worth = 0.0
    for job in sorted(jobs, key=lambda j: -j.worth / max(j.core_seconds, TOLERANCE)):
        first = min(last, floor(job.arrival / SLOT_SECONDS + TOLERANCE))
        end = min(last, ceil(job.objective_at / SLOT_SECONDS - TOLERANCE))
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
