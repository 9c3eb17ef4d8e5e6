"""Which jobs are within the number per second that their workspace is entitled to.

Each workspace has a token bucket, filled at its weight per second. A job that finds a
token takes it and is within the rate; any other job stays over the rate until it ends.
Pure: times are the acceptance times of the jobs' records.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ...ids import JobId, WorkspaceName
from ...jobs.model import AcceptedJob


@dataclass(slots=True)
class TokenBucket:
    """Tokens at ``filled_at``, in seconds since 1970."""

    tokens: float
    filled_at: float

    def take(self, at: float, rate: float, capacity: float) -> bool:
        """Return whether there is a token at a time, and take it.

        Acceptance times come from the clocks of several entries, which may step; an
        earlier time than the last adds no tokens.
        """
        at = max(at, self.filled_at)
        gained = (at - self.filled_at) * rate
        self.tokens = min(capacity, self.tokens + gained)
        self.filled_at = at
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RateMeter:
    """Charges jobs in the order of their acceptance times.

    A new leader loads jobs in any order. They are therefore charged only when the
    first of them is asked about, by which time all of them are loaded.
    """

    def __init__(
        self, window_seconds: float, weight_of: Callable[[WorkspaceName], float]
    ) -> None:
        self._window_seconds = window_seconds
        self._weight_of = weight_of
        self._buckets: dict[WorkspaceName, TokenBucket] = {}
        self._over_rate: set[JobId] = set()
        # Each with whether it has ended.
        self._uncharged: dict[JobId, tuple[AcceptedJob, bool]] = {}
        # Workspaces that sent jobs over the rate since they were last asked for.
        self._exceeded: set[WorkspaceName] = set()

    def add(self, accepted: AcceptedJob, ended: bool = False) -> None:
        """Count an accepted job; also one that has ended, since it took a token."""
        self._uncharged[accepted.job] = (accepted, ended)

    def is_over(self, job: JobId) -> bool:
        """Return whether the job was accepted beyond its workspace's rate."""
        if self._uncharged:
            self._charge()
        return job in self._over_rate

    def forget(self, job: JobId) -> None:
        """Forget a job that has ended.

        It may end while jobs are loaded, so this charges none of them.
        """
        uncharged = self._uncharged.get(job)
        if uncharged is not None:
            self._uncharged[job] = (uncharged[0], True)
        self._over_rate.discard(job)

    def take_exceeded(self) -> set[WorkspaceName]:
        """Return the workspaces over their rate since the last call."""
        if self._uncharged:
            self._charge()
        exceeded, self._exceeded = self._exceeded, set()
        return exceeded

    def _charge(self) -> None:
        jobs = sorted(self._uncharged.values(), key=lambda pair: pair[0].accepted_ms)
        self._uncharged = {}
        for accepted, ended in jobs:
            if not self._take(accepted) and not ended:
                self._over_rate.add(accepted.job)
                self._exceeded.add(accepted.workspace)

    def _take(self, accepted: AcceptedJob) -> bool:
        rate = self._weight_of(accepted.workspace)
        if rate <= 0.0:
            return False
        # Below one token, a workspace with a small weight would be entitled to nothing.
        capacity = max(1.0, rate * self._window_seconds)
        at = accepted.accepted_ms / 1000
        bucket = self._buckets.get(accepted.workspace)
        if bucket is None:
            bucket = self._buckets[accepted.workspace] = TokenBucket(capacity, at)
        return bucket.take(at, rate, capacity)
