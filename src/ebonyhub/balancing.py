"""Load balancing between the instances of a service, with outlier ejection."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .ids import InstanceId, VmId

CONSECUTIVE_FAILURES_TO_EJECT = 3
# Doubles with each ejection until the instance responds.
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0


@dataclass
class InstanceHealth:
    """Health of one instance, derived from the outcomes of its requests.

    ``ejections`` counts those since the last response; ``ejected_until`` is monotonic
    seconds.
    """

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether the instance gets no requests (``now``: monotonic seconds)."""
        return now < self.ejected_until


@dataclass
class Instance:
    """One instance of a service, with the slots on it that this entry owns."""

    id: InstanceId
    vm: VmId
    address: str
    port: int
    slots: int
    slots_in_use: int = 0
    accepts_work: bool = True

    @property
    def free_slots(self) -> int:
        """Return the number of free slots; 0 if the instance accepts no work."""
        return self.slots - self.slots_in_use if self.accepts_work else 0


class HealthTracker:
    """Ejects failing instances while at least ``min_available`` others remain."""

    def __init__(self, min_available: int) -> None:
        self.min_available = min_available
        self.health: dict[InstanceId, InstanceHealth] = {}

    def health_of(self, instance: InstanceId) -> InstanceHealth:
        """Return the health of an instance, created on first use."""
        return self.health.setdefault(instance, InstanceHealth())

    def record_success(self, instance: InstanceId) -> None:
        """Reset the failure count and the length of the next ejection."""
        health = self.health_of(instance)
        health.consecutive_failures = 0
        health.ejections = 0

    def record_failure(
        self, instance: InstanceId, now: float, accepting: Iterable[InstanceId]
    ) -> bool:
        """Count a failure; return whether the instance was ejected.

        ``accepting`` are the instances of the service that accept work. An ejection
        that would leave fewer than ``min_available`` of them is not made.
        """
        health = self.health_of(instance)
        health.consecutive_failures += 1
        if (
            health.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT
            or health.is_ejected(now)
        ):
            return False
        remaining = [
            other
            for other in accepting
            if other != instance and not self.health_of(other).is_ejected(now)
        ]
        if len(remaining) < max(self.min_available, 1):
            return False
        ejection_seconds = min(
            FIRST_EJECTION_SECONDS * 2**health.ejections, MAX_EJECTION_SECONDS
        )
        health.ejections += 1
        health.consecutive_failures = 0
        health.ejected_until = now + ejection_seconds
        return True


def choose_instance(
    instances: Sequence[Instance],
    health_tracker: HealthTracker,
    now: float,
    rng: random.Random,
    tried: frozenset[InstanceId] = frozenset(),
) -> Instance | None:
    """Return an instance with a free slot, by two random choices.

    Leaves out ejected instances, and those in ``tried`` if there are others.
    Source: Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    available = [
        instance
        for instance in instances
        if instance.free_slots > 0
        and not health_tracker.health_of(instance.id).is_ejected(now)
    ]
    untried = [instance for instance in available if instance.id not in tried]
    candidates = untried or available
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if first.free_slots >= second.free_slots else second
