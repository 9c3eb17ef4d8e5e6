"""Choice of an instance and outlier ejection."""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .ids import InstanceId, VmId

FAILURES_TO_EJECT = 3
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0


@dataclass
class InstanceHealth:
    """Passive health of one instance, from the requests that it served."""

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def ejected(self, now: float) -> bool:
        """Return whether the instance gets no new work."""
        return now < self.ejected_until


@dataclass
class Instance:
    """One instance of a service as seen from this entry."""

    id: InstanceId
    vm: VmId
    address: str
    port: int
    slots: int
    in_use: int = 0
    accepts_work: bool = True

    @property
    def free(self) -> int:
        """Return the number of slots that may be taken now."""
        return self.slots - self.in_use if self.accepts_work else 0


class HealthTracker:
    """Outlier ejection that never leaves fewer instances than the budget."""

    def __init__(self, min_available: int) -> None:
        self.min_available = min_available
        self.health: dict[InstanceId, InstanceHealth] = {}

    def of(self, instance: InstanceId) -> InstanceHealth:
        """Return the health of an instance, created on first use."""
        return self.health.setdefault(instance, InstanceHealth())

    def record_success(self, instance: InstanceId) -> None:
        """Reset the failure count."""
        health = self.of(instance)
        health.consecutive_failures = 0
        health.ejections = 0

    def record_failure(
        self, instance: InstanceId, now: float, known: Iterable[InstanceId]
    ) -> bool:
        """Count a failure; return whether the instance was ejected.

        ``known`` are the instances of the service that accept work. An ejection that
        would leave fewer than ``min_available`` of them is not made.
        """
        health = self.of(instance)
        health.consecutive_failures += 1
        if health.consecutive_failures < FAILURES_TO_EJECT or health.ejected(now):
            return False
        remaining = [
            other
            for other in known
            if other != instance and not self.of(other).ejected(now)
        ]
        if len(remaining) < max(self.min_available, 1):
            return False
        duration = min(
            FIRST_EJECTION_SECONDS * 2**health.ejections, MAX_EJECTION_SECONDS
        )
        health.ejections += 1
        health.consecutive_failures = 0
        health.ejected_until = now + duration
        return True


def choose_instance(
    instances: Sequence[Instance],
    tracker: HealthTracker,
    now: float,
    rng: random.Random,
    avoid: frozenset[InstanceId] = frozenset(),
) -> Instance | None:
    """Return an instance with a free slot, by two random choices.

    Prefers instances that are not ejected and not in ``avoid`` (already tried).
    Source: Mitzenmacher, "The power of two choices in randomized load balancing",
    IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
    """
    free = [
        instance
        for instance in instances
        if instance.free > 0 and not tracker.of(instance.id).ejected(now)
    ]
    fresh = [instance for instance in free if instance.id not in avoid]
    candidates = fresh or free
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if first.free >= second.free else second
