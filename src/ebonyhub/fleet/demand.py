"""Demand for cores by the jobs of each service, including a short-term forecast."""

from collections import deque
from dataclasses import dataclass, field

# Time over which arrivals are averaged. Surges last for seconds, a move takes 1.5 s.
ARRIVAL_WINDOW_SECONDS = 1.5
# A shorter window shows the start of a surge sooner. It needs a minimum number of
# arrivals, since the mean of only a few jobs is too noisy to tell a surge.
SHORT_ARRIVAL_WINDOW_SECONDS = 0.8
SHORT_WINDOW_MIN_ARRIVALS = 20

# Time for which a rising rate is extrapolated, to cover a move and the lag of the
# average.
LOOKAHEAD_SECONDS = 0.7


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one service."""

    # Required by long-running tasks, running or not.
    long_running_cores: float = 0.0
    # Held by other running tasks.
    running_cores: float = 0.0
    # Required at once by tasks that are ready to run and have no worker.
    waiting_cores: float = 0.0
    # Core-seconds of work that arrive per second, in the last window and in the one
    # before.
    arriving_cores: float = 0.0
    previous_arriving_cores: float = 0.0
    # VMs that a long-running step requires by its limit of tasks per worker.
    min_vms: int = 0
    # Held or required by jobs beyond the rate of their workspace: worth VMs that no
    # other pool needs.
    over_rate_cores: float = 0.0

    @property
    def cores(self) -> float:
        """Return the cores that will be required when a move started now completes."""
        rise = (
            max(0.0, self.arriving_cores - self.previous_arriving_cores)
            * LOOKAHEAD_SECONDS
        )
        present = self.running_cores + self.waiting_cores
        return self.long_running_cores + present + rise


@dataclass(slots=True)
class ArrivalMeter:
    """Measures the rate at which work (core-seconds) arrives, over two windows."""

    # Time and core-seconds of each arrival, oldest first.
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, core_seconds: float) -> None:
        """Record the arrival of a job with its estimated work."""
        self.arrivals.append((now, core_seconds))

    def rates(self, now: float) -> tuple[float, float]:
        """Return the core-seconds per second of the last window and the one before."""
        while self.arrivals and self.arrivals[0][0] < now - 2 * ARRIVAL_WINDOW_SECONDS:
            self.arrivals.popleft()
        window = SHORT_ARRIVAL_WINDOW_SECONDS
        if (
            sum(at >= now - window for at, _ in self.arrivals)
            < SHORT_WINDOW_MIN_ARRIVALS
        ):
            window = ARRIVAL_WINDOW_SECONDS
        middle = now - window
        recent = sum(work for at, work in self.arrivals if at >= middle)
        before = sum(w for at, w in self.arrivals if middle - window <= at < middle)
        return recent / window, before / window
