"""Order of waiting jobs where jobs are shed by cost; given to the scheduler.

It is that of ``scheduling.priority``, but jobs beyond their workspace's rate come after
all others.
"""

from dataclasses import dataclass

from ...configuration import Queue
from ..priority import Rank, Urgency, urgency
from ..runs import Job
from ..workspaces.status import Standing
from .standings import AllWithinShare, Standings


@dataclass(frozen=True, slots=True)
class SheddingUrgency(Urgency):
    """Sort key of a waiting job; lower is served first."""

    standing: Standing = Standing.WITHIN_SHARE

    @property
    def key(self) -> tuple[int, int, int, int, int, bool, float]:  # type: ignore[override]
        """Return the fields as a tuple for sorting."""
        return (
            self.rank is not Rank.LONG_RUNNING,
            self.standing is Standing.OVER_RATE,
            self.rank,
            self.priority,
            self.standing,
            self.not_started,
            self.value,
        )


class SheddingOrder:
    """Computes urgencies; to be given to a scheduler as ``urgency``."""

    def __init__(self, standings: Standings | None = None) -> None:
        self.standings = standings or AllWithinShare()

    def __call__(
        self, job: Job, queue: Queue | None, now: float, oversubscribed: bool
    ) -> Urgency:
        """Return a job's urgency at ``now``, as ``scheduling.priority`` has it."""
        usual = urgency(job, queue, now, oversubscribed)
        return SheddingUrgency(
            usual.rank, usual.priority, usual.not_started, usual.value,
            self.standings.standing(job),
        )  # fmt: skip
