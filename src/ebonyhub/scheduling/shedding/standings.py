"""What shedding needs to know about workspaces."""

from typing import Protocol

from ..runs import Job
from ..workspaces.status import Standing


class Standings(Protocol):
    """Tells how jobs stand in their workspaces."""

    def standing(self, job: Job) -> Standing:
        """Return the standing of an accepted job."""


class AllWithinShare:
    """Standings where there are no workspaces."""

    def standing(self, job: Job) -> Standing:
        """Return the best standing for every job."""
        return Standing.WITHIN_SHARE


def standings_of(scheduler: object) -> Standings:
    """Return the scheduler's policy of workspaces, or the default without one."""
    standings: Standings | None = getattr(scheduler, "workspaces", None)
    return standings if standings is not None else AllWithinShare()
