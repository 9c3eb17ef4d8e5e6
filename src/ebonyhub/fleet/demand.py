"""How much capacity the jobs of each service ask for."""

from collections import deque
from dataclasses import dataclass, field

# Seconds over which arrivals are averaged. Surges last for seconds, and a move takes
# one and a half.
ARRIVAL_WINDOW_SECONDS = 1.5
# Seconds and least number of jobs of a shorter window. It shows the start of a surge
# sooner, but only the mean of many jobs is a sure sign of one.
SHORT_ARRIVAL_WINDOW_SECONDS = 0.8
SHORT_WINDOW_MIN_ARRIVALS = 20

# Seconds ahead that a rising rate is followed: a move and the delay of the average.
LOOK_AHEAD_SECONDS = 0.7


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one service in cores."""

    # Held or waited for by long-running tasks.
    long_running_cores: float = 0.0
    # Held by other tasks.
    running_cores: float = 0.0
    # Wanted at once by tasks that are ready and have no worker.
    waiting_cores: float = 0.0
    # Kept busy by the work that arrived in the last window, and in the one before.
    arriving_cores: float = 0.0
    previous_arriving_cores: float = 0.0
    # VMs that long-running tasks need because only so many of a step may share one.
    min_vms: int = 0

    @property
    def cores(self) -> float:
        """Return the cores wanted at the time when a move takes effect."""
        rise = (
            max(0.0, self.arriving_cores - self.previous_arriving_cores)
            * LOOK_AHEAD_SECONDS
        )
        present = self.running_cores + self.waiting_cores
        return self.long_running_cores + present + rise


@dataclass(slots=True)
class ArrivalMeter:
    """Work (core-seconds) of arriving jobs over two windows."""

    arrivals: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, now: float, core_seconds: float) -> None:
        """Note an arrival."""
        self.arrivals.append((now, core_seconds))

    def rates(self, now: float) -> tuple[float, float]:
        """Return core-seconds a second in the last window and in the one before."""
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
