"""Times in which an entry could not learn of changes as fast as it should."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf
from time import monotonic

# The platform's ConfigApplyMs, and its MaxStretchMs, which comes on top where the store
# refuses an entry.
CONFIG_APPLY_SECONDS = 3.0
MAX_STRETCH_SECONDS = 6.0


@dataclass(slots=True)
class Interval:
    """A time span; its end is infinite while it lasts."""

    start: float
    end: float = inf


def apply_deadline(
    written_at: float, halts: Sequence[Interval], refusals: Sequence[Interval]
) -> float:
    """Return when a change is in force on an entry.

    ``halts`` are times in which the entry's process or the whole store was stopped;
    the time to apply a change starts anew after them. ``refusals`` are times in which
    the store was unavailable to this entry only.
    """
    deadline = written_at + CONFIG_APPLY_SECONDS
    for halt in sorted(halts, key=lambda interval: interval.start):
        if halt.start < deadline and halt.end > written_at:
            deadline = max(deadline, halt.end + CONFIG_APPLY_SECONDS)
    if any(r.start < deadline and r.end > written_at for r in refusals):
        deadline += MAX_STRETCH_SECONDS
    return deadline


@dataclass
class Impairments:
    """The halts and refusals of each entry, and the outages of the store."""

    halts: dict[str, list[Interval]] = field(default_factory=dict)
    refusals: dict[str, list[Interval]] = field(default_factory=dict)
    store_outages: list[Interval] = field(default_factory=list)

    def deadline(self, entry: str, written_at: float) -> float:
        """Return when a change is in force on an entry."""
        halts = [*self.halts.get(entry, ()), *self.store_outages]
        return apply_deadline(written_at, halts, self.refusals.get(entry, ()))

    def halt(self, entry: str) -> list[Interval]:
        """Return the list of an entry's halts."""
        return self.halts.setdefault(entry, [])

    def refusal(self, entry: str) -> list[Interval]:
        """Return the list of an entry's refusals."""
        return self.refusals.setdefault(entry, [])


@contextmanager
def recorded_in(intervals: list[Interval]) -> Iterator[None]:
    """Record the time that the body takes as an interval."""
    interval = Interval(monotonic())
    intervals.append(interval)
    try:
        yield
    finally:
        interval.end = monotonic()
