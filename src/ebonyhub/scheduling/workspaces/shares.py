"""Weighted max-min fair shares of a service's capacity (pure).

The share of a workspace is measured in its dominant resource, the one of which it uses
the largest part: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, inf

from ...jobs.model import Resources

# Shares are sums of floats.
TOLERANCE = 1e-9


@dataclass(frozen=True, slots=True)
class Claim:
    """What a workspace uses and waits for, and its weight."""

    weight: float
    demand: Resources


def fractions(amount: Resources, capacity: Resources) -> tuple[float, float, float]:
    """Return the part of each resource; 0 for a resource that the service lacks."""
    return (
        amount.cpu / capacity.cpu if capacity.cpu > 0 else 0.0,
        amount.memory / capacity.memory if capacity.memory > 0 else 0.0,
        (
            amount.accelerators / capacity.accelerators
            if capacity.accelerators > 0
            else 0.0
        ),
    )


def dominant_share(amount: Resources, capacity: Resources) -> float:
    """Return the part of the resource of which ``amount`` is the largest part."""
    return max(fractions(amount, capacity))


def fair_level(
    claims: Iterable[Claim], capacity: Resources, reserved: Resources
) -> float:
    """Return the largest level L such that min(demand, weight x L) of all fits.

    ``reserved`` is the part of the capacity that is used beside the claims. The result
    is infinite if all demands fit.
    """
    free = [max(0.0, 1.0 - used) for used in fractions(reserved, capacity)]
    satisfied = [0.0, 0.0, 0.0]
    # Increase of each resource's use for each unit of L.
    slopes = [0.0, 0.0, 0.0]
    rising: list[tuple[float, tuple[float, ...]]] = []
    for claim in claims:
        parts = fractions(claim.demand, capacity)
        dominant = max(parts)
        if claim.weight <= 0.0 or dominant <= 0.0:
            continue
        slope = tuple(part * claim.weight / dominant for part in parts)
        slopes = [total + part for total, part in zip(slopes, slope, strict=True)]
        rising.append((dominant / claim.weight, slope))
    rising.sort(key=lambda pair: pair[0])
    for met_at, slope in rising:
        level = min(
            (room - done) / rise if rise > TOLERANCE else inf
            for room, done, rise in zip(free, satisfied, slopes, strict=True)
        )
        if level < met_at * (1.0 - TOLERANCE):
            return max(0.0, level)
        satisfied = [
            d + part * met_at for d, part in zip(satisfied, slope, strict=True)
        ]
        slopes = [total - part for total, part in zip(slopes, slope, strict=True)]
    return inf


def is_below(used: Resources, share: float, capacity: Resources) -> bool:
    """Return whether the use is below a share of the capacity."""
    return dominant_share(used, capacity) < share - TOLERANCE


def tasks_below_share(
    used: Resources, share: float, demand: Resources, capacity: Resources, wanted: int
) -> int:
    """Return how many equal tasks start until the use is no longer below the share."""
    if not is_below(used, share, capacity):
        return 0
    tasks = wanted
    for have, of_task in zip(
        fractions(used, capacity), fractions(demand, capacity), strict=True
    ):
        if of_task > 0.0:
            tasks = min(tasks, max(1, ceil((share - have) / of_task - TOLERANCE)))
    return tasks
