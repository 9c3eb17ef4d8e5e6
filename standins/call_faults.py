"""Faults of the emulator's calls and commits, and what becomes of one call."""

import random
from dataclasses import dataclass
from enum import Enum


class CallFate(Enum):
    """What becomes of a call; only one that arrives may have an answer."""

    ARRIVES = "arrives"
    LOST = "lost"
    # Carried out later, by the process that is up under the worker's id by then.
    LATE = "late"
    # Carried out at once without an answer, and once more later.
    DOUBLED = "doubled"

    @property
    def arrives(self) -> bool:
        """Return whether the call is carried out at once."""
        return self in (CallFate.ARRIVES, CallFate.DOUBLED)

    @property
    def is_late(self) -> bool:
        """Return whether the call is carried out later, and has no answer."""
        return self in (CallFate.LATE, CallFate.DOUBLED)


@dataclass(slots=True)
class Faults:
    """Probabilities of each fault, from 0 to 1."""

    lost_answer_rate: float = 0.0
    late_order_rate: float = 0.0
    failed_commit_rate: float = 0.0
    late_commit_rate: float = 0.0
    # Polls, and orders, that are late beside ``late_order_rate``.
    late_poll_rate: float = 0.0
    late_call_rate: float = 0.0
    # Polls and orders that are never carried out, and that are carried out twice.
    lost_call_rate: float = 0.0
    doubled_call_rate: float = 0.0
    # Calls to a worker that is down or cut off that are carried out later.
    held_call_rate: float = 0.0

    def draw_fate(
        self, rng: random.Random, reachable: bool, late_rate: float
    ) -> CallFate:
        """Draw the fate of a call; ``late_rate`` is that of its kind."""
        draw = rng.random()
        if not reachable:
            return CallFate.LATE if draw < self.held_call_rate else CallFate.LOST
        if draw < late_rate:
            return CallFate.LATE
        if draw < late_rate + self.lost_call_rate:
            return CallFate.LOST
        if draw < late_rate + self.lost_call_rate + self.doubled_call_rate:
            return CallFate.DOUBLED
        return CallFate.ARRIVES
