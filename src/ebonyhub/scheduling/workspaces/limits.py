"""How many tasks a workspace may still start under its limit (pure)."""

from collections.abc import Callable
from math import inf

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


class Room:
    """What a limit leaves of each resource; may be taken by waiting tasks."""

    __slots__ = ("_limit", "_unused", "accelerators", "cpu", "memory")

    def __init__(self, used: Resources, limit: Resources) -> None:
        self._limit = limit
        self._unused = used == NOTHING
        self.cpu = limit.cpu - used.cpu if limit.cpu else inf
        self.memory = limit.memory - used.memory if limit.memory else inf
        self.accelerators = (
            limit.accelerators - used.accelerators if limit.accelerators else inf
        )
        if min(self.cpu, self.memory, self.accelerators) < 0:
            # Nothing starts while any resource is over its limit.
            self.cpu = self.memory = self.accelerators = -1

    @property
    def largest_cpu(self) -> float:
        """Return the most CPU that one task may need."""
        return inf if self._unused else self.cpu

    def holds(self, demand: Resources, members: int = 1) -> bool:
        """Return whether one task may start, or ``members`` together."""
        if (
            members * demand.cpu <= self.cpu
            and members * demand.memory <= self.memory
            and members * demand.accelerators <= self.accelerators
        ):
            return True
        return members == 1 and self._unused and exceeds_alone(demand, self._limit)

    def take(self, demand: Resources, wanted: int) -> int:
        """Return how many of the waiting tasks fit, and take the room that they need.

        The result is that of ``tasks_allowed`` beside the tasks that were taken before.
        """
        if not self.holds(demand):
            return 0
        if self._unused and exceeds_alone(demand, self._limit):
            count = min(wanted, 1)
        else:
            count = wanted
            if demand.cpu and self.cpu < inf:
                count = min(count, int(self.cpu) // demand.cpu)
            if demand.memory and self.memory < inf:
                count = min(count, int(self.memory) // demand.memory)
            if demand.accelerators and self.accelerators < inf:
                count = min(count, int(self.accelerators) // demand.accelerators)
        if count and demand != NOTHING:
            self._unused = False
            self.cpu -= count * demand.cpu
            self.memory -= count * demand.memory
            self.accelerators -= count * demand.accelerators
            if min(self.cpu, self.memory, self.accelerators) < 0:
                self.cpu = self.memory = self.accelerators = -1
        return count


class WaitingClaims:
    """Counts the waiting tasks that fit under the limits, beside those in use.

    ``room_of`` returns the room of a workspace, None if it has no limit.
    """

    def __init__(self, room_of: Callable[[WorkspaceName], Room | None]) -> None:
        self._room_of = room_of
        self._rooms: dict[WorkspaceName, Room | None] = {}

    def room(self, workspace: WorkspaceName) -> Room | None:
        """Return what is left of a workspace's limit; None without a limit."""
        if workspace not in self._rooms:
            self._rooms[workspace] = self._room_of(workspace)
        return self._rooms[workspace]
