"""Clocks, which are passed in so that tests and simulations can set the time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall time, in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that also counts while the VM is suspended.

        Uses CLOCK_BOOTTIME, since CLOCK_MONOTONIC stops while the VM is suspended, and
        leases have to expire during that time.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()
