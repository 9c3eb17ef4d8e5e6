"""Delay of the next candidacy of an entry whose terms as leader fail or have ended."""

import random

from ..clock import Clock
from ..supervisor import RestartPolicy

# A term that lasted this long makes earlier failures irrelevant.
STABLE_TERM_SECONDS = 5.0
# The platform's LeaseMs: two leaders must not take turns at ordering changes within it.
HANDOVER_PAUSE_SECONDS = 3.0
_POLICY = RestartPolicy(first_delay_seconds=0.1, max_delay_seconds=2.0)


class TermBackoff:
    """Keeps an entry that cannot lead from ending other entries' terms.

    Each change of leader stops all starts for the time of a take-over.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.failures = 0
        self.not_before = float("-inf")
        self.term_ended_at = float("-inf")

    def record_term(self, seconds: float, failed: bool) -> None:
        """Note how long a term lasted, and whether an internal error ended it."""
        self.term_ended_at = self.clock.monotonic()
        if seconds >= STABLE_TERM_SECONDS:
            self.failures = 0
        if not failed:
            return
        self.failures += 1
        delay = _POLICY.delay_seconds(self.failures, self.rng)
        self.not_before = self.clock.monotonic() + delay

    def may_take_over(self) -> bool:
        """Return whether this entry should become leader if the present one asks it.

        Where answers of the store are lost, leaders hand over in quick succession. An
        entry that has just led would order the same changes again.
        """
        led_ago = self.clock.monotonic() - self.term_ended_at
        return not self.remaining_seconds() and led_ago >= HANDOVER_PAUSE_SECONDS

    def remaining_seconds(self) -> float:
        """Return for how long this entry should not become leader; 0 if it may."""
        return max(0.0, self.not_before - self.clock.monotonic())
