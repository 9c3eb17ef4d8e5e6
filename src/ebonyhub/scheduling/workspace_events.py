"""Logs when a workspace reaches or leaves its limit, its rate or its share."""

from enum import Enum

from ..events import Event, log_event
from ..ids import WorkspaceName
from ..workspace_reports import WorkspaceOverview
from .workspaces.status import WorkspaceStatus

# Tasks seldom add up to the whole limit, so it counts as reached a little below it.
LIMIT_REACHED_SHARE = 0.9
# A workspace at its limit crosses it with each task that ends. A state is logged as
# left once it has been absent for this time.
LEAVE_SECONDS = 10.0
# The leader ticks ten times a second, and an overview costs time for each workspace.
CHECK_INTERVAL_SECONDS = 1.0


class Restriction(Enum):
    """What holds waiting jobs of a workspace back; the values are log fields."""

    LIMIT = "limit"
    RATE = "rate"
    SHARE = "share"


_EVENTS = {
    Restriction.LIMIT: (Event.WORKSPACE_LIMIT_REACHED, Event.WORKSPACE_LIMIT_LEFT),
    Restriction.RATE: (Event.WORKSPACE_OVER_RATE, Event.WORKSPACE_WITHIN_RATE),
    Restriction.SHARE: (Event.WORKSPACE_SHARE_APPLIES, Event.WORKSPACE_SHARE_ENDED),
}


def restrictions(status: WorkspaceStatus) -> set[Restriction]:
    """Return what holds the workspace back at present."""
    found = set()
    pairs = zip(
        (status.used.cpu, status.used.memory, status.used.accelerators),
        (status.limit.cpu, status.limit.memory, status.limit.accelerators),
        strict=True,
    )
    if any(limit and used >= LIMIT_REACHED_SHARE * limit for used, limit in pairs):
        found.add(Restriction.LIMIT)
    if status.over_rate_jobs:
        found.add(Restriction.RATE)
    if status.fair_share is not None and status.waiting_jobs:
        found.add(Restriction.SHARE)
    return found


class WorkspaceChanges:
    """Compares successive states of the workspaces and logs changes only."""

    def __init__(self) -> None:
        # When each restriction that was logged as reached was last seen.
        self.last_seen: dict[tuple[WorkspaceName, Restriction], float] = {}
        self.next_check_at = float("-inf")

    def observe(self, workspaces: WorkspaceOverview, now: float) -> None:
        """Log what has changed since the last check; may be called at any rate.

        ``now`` is monotonic.
        """
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_INTERVAL_SECONDS
        for status in workspaces.overview():
            for restriction in restrictions(status):
                key = (status.name, restriction)
                if key not in self.last_seen:
                    _log(_EVENTS[restriction][0], status)
                self.last_seen[key] = now
        ended = [key for key, at in self.last_seen.items() if now - at >= LEAVE_SECONDS]
        for name, restriction in ended:
            del self.last_seen[(name, restriction)]
            log_event(_EVENTS[restriction][1], workspace=_quoted(name))


def _log(event: Event, status: WorkspaceStatus) -> None:
    log_event(
        event, workspace=_quoted(status.name), weight=status.weight,
        used_cpu=status.used.cpu, limit_cpu=status.limit.cpu,
        used_memory=status.used.memory, limit_memory=status.limit.memory,
        waiting=status.waiting_jobs, over_rate=status.over_rate_jobs,
    )  # fmt: skip


def _quoted(name: WorkspaceName) -> str:
    """Return the name without line breaks and other control characters."""
    return ascii(name)[1:-1]
