"""Clocks, passed in so that decision modules never read the time themselves."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall time, in seconds."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that also counts while the VM is suspended.

        CLOCK_BOOTTIME counts suspended time, CLOCK_MONOTONIC does not; leases and
        grants must lapse while a VM is paused.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
