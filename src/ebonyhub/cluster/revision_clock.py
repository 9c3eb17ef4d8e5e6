"""Times at which revisions of the store were seen, which bound the age of its items."""

from collections import deque

from ..ids import Revision

# Observations that are kept, and the shortest time between two of them. A leader makes
# one with each heartbeat of a worker; together they span more than 6 s.
MAX_OBSERVATIONS = 128
MIN_SPACING_SECONDS = 0.05


class RevisionClock:
    """Tells after which time an item was written, in monotonic seconds.

    A call that returned revision R was sent at a time at which the store was at R at
    most. An item with a higher revision was therefore written later. Nothing is known
    about an item that is older than all observations: a process that has just started
    may list items from before an outage of the store that it did not see.
    """

    def __init__(self) -> None:
        self.observations: deque[tuple[Revision, float]] = deque(
            maxlen=MAX_OBSERVATIONS
        )

    def record(self, revision: Revision, sent_at: float) -> None:
        """Note the revision that the answer to a call named."""
        if self.observations:
            last_revision, last_sent_at = self.observations[-1]
            if revision < last_revision or sent_at < last_sent_at:
                return
            if revision == last_revision or self._is_dense():
                self.observations.pop()
        self.observations.append((revision, sent_at))

    def _is_dense(self) -> bool:
        """Return whether the last two observations are close to each other."""
        if len(self.observations) < 2:
            return False
        spacing = self.observations[-1][1] - self.observations[-2][1]
        return spacing < MIN_SPACING_SECONDS

    def written_after(self, revision: Revision) -> float:
        """Return a time after which the item of a revision was written."""
        for observed, sent_at in reversed(self.observations):
            if observed < revision:
                return sent_at
        return float("-inf")
