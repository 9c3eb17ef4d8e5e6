"""The speed of a best-effort run, and when it has to be ordered again.

A worker does not report speeds. An order without an answer may be carried out at any
time in LATE_CALL_SECONDS, also after later ones. A new leader knows no speed; workers
refuse what its predecessor has sent.
"""

from dataclasses import dataclass
from math import inf

from .model import OrderFailure
from .worker_process import LATE_CALL_SECONDS

FULL_PERCENT = 100


@dataclass(slots=True)
class RunSpeed:
    """Speed in percent of full speed; times are monotonic seconds."""

    percent: int = FULL_PERCENT
    # From when the speed is ordered again although it has not changed.
    repeat_at: float = inf
    # Until when an order without an answer may be carried out.
    doubtful_until: float = -inf

    @property
    def is_certainly_full(self) -> bool:
        """Return whether the run is known to go on at full speed."""
        return self.percent == FULL_PERCENT and self.repeat_at == inf

    def order(self, percent: int) -> None:
        """Note the order of a speed, which may be the present one."""
        self.percent = percent
        self.repeat_at = inf

    def handle_result(self, failure: OrderFailure | None, now: float) -> None:
        """Note the result of an order; ``failure`` is None on success."""
        if failure is OrderFailure.UNKNOWN:
            self.doubtful_until = now + LATE_CALL_SECONDS
        if failure is not None:
            self.repeat_at = now
        elif now < self.doubtful_until:
            self.repeat_at = self.doubtful_until
