"""How many tasks a workspace may still start under its limit (pure)."""

from collections.abc import Callable

from ...ids import WorkspaceName
from ...jobs.model import Resources

NOTHING = Resources()


def exceeds_alone(demand: Resources, limit: Resources) -> bool:
    """Return whether a single task needs more than the limit; 0 means no limit."""
    return (
        0 < limit.cpu < demand.cpu
        or 0 < limit.memory < demand.memory
        or 0 < limit.accelerators < demand.accelerators
    )


def is_within(used: Resources, limit: Resources) -> bool:
    """Return whether the use does not exceed the limit; 0 means no limit."""
    return not exceeds_alone(used, limit)


def tasks_allowed(
    used: Resources, limit: Resources, demand: Resources, wanted: int
) -> int:
    """Return how many of ``wanted`` equal tasks may start beside what is in use.

    Nothing starts while any resource is over its limit. A task that alone exceeds the
    limit may start while nothing is in use.
    """
    if exceeds_alone(demand, limit):
        return min(wanted, 1) if used == NOTHING else 0
    allowed = wanted
    for have, most, need in (
        (used.cpu, limit.cpu, demand.cpu),
        (used.memory, limit.memory, demand.memory),
        (used.accelerators, limit.accelerators, demand.accelerators),
    ):
        if not most:
            continue
        if have > most:
            return 0
        if need:
            allowed = min(allowed, (most - have) // need)
    return max(0, allowed)


class WaitingClaims:
    """Counts the waiting tasks that fit under the limits, beside those in use.

    ``used`` and ``limit_of`` tell what a workspace uses and its limit.
    """

    def __init__(
        self,
        used: Callable[[WorkspaceName], Resources],
        limit_of: Callable[[WorkspaceName], Resources],
    ) -> None:
        self._used = used
        self._limit_of = limit_of
        # Use and claims of each workspace that has a limit.
        self._claimed: dict[WorkspaceName, Resources] = {}

    def take(self, workspace: WorkspaceName, demand: Resources, wanted: int) -> int:
        """Return how many of the waiting tasks fit, and count them as claimed."""
        if not workspace:
            return wanted
        limit = self._limit_of(workspace)
        if limit == NOTHING:
            return wanted
        claimed = self._claimed.get(workspace)
        if claimed is None:
            claimed = self._used(workspace)
        allowed = tasks_allowed(claimed, limit, demand, wanted)
        self._claimed[workspace] = Resources(
            claimed.cpu + allowed * demand.cpu,
            claimed.memory + allowed * demand.memory,
            claimed.accelerators + allowed * demand.accelerators,
        )
        return allowed
