"""How much capacity the jobs of each service ask for."""

from collections import deque
from dataclasses import dataclass, field

# Seconds over which arrivals are averaged. Surges last for seconds, and a move takes
# one and a half.
WINDOW_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one service in cores, and core-seconds for the backlog."""

    # Cores that long-running tasks hold or wait for.
    long_running: float = 0.0
    # Cores that the work of the last window would keep busy.
    arriving: float = 0.0
    # The same one window earlier.
    arrived_before: float = 0.0
    # Work of accepted jobs that no worker runs yet.
    backlog: float = 0.0

    def forecast_cores(self, drain_seconds: float) -> float:
        """Return the cores wanted at the time when a move takes effect.

        A rising rate goes on rising for the length of a move; the backlog is to be
        gone within ``drain_seconds``.
        """
        rise = max(0.0, self.arriving - self.arrived_before)
        work = self.arriving + rise + self.backlog / drain_seconds
        return self.long_running + work


@dataclass(slots=True)
class ArrivalMeter:
    """Work (core-seconds) of arriving jobs over two windows."""

    arrivals: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, core_seconds: float) -> None:
        """Note an arrival."""
        self.arrivals.append((now, core_seconds))

    def rates(self, now: float) -> tuple[float, float]:
        """Return core-seconds a second in the last window and in the one before."""
        while self.arrivals and self.arrivals[0][0] < now - 2 * WINDOW_SECONDS:
            self.arrivals.popleft()
        middle = now - WINDOW_SECONDS
        recent = sum(work for at, work in self.arrivals if at >= middle)
        before = sum(work for at, work in self.arrivals if at < middle)
        return recent / WINDOW_SECONDS, before / WINDOW_SECONDS
