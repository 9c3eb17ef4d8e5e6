"""Changes in what holds workspaces back, for the log (pure)."""

from ...events import Event
from ...ids import WorkspaceName

# A state counts as ended after this time without a new sign of it, since a busy
# workspace reaches and leaves its limit with each task.
QUIET_SECONDS = 5.0

# Events at the begin and at the end of each state.
STATES = (
    (Event.WORKSPACE_AT_LIMIT, Event.WORKSPACE_BELOW_LIMIT),
    (Event.WORKSPACE_OVER_RATE, Event.WORKSPACE_WITHIN_RATE),
    (Event.WORKSPACE_SHARE_EXHAUSTED, Event.WORKSPACE_WITHIN_SHARE),
)


class Notices:
    """Turns signs of a state into one event at its begin and one at its end."""

    def __init__(self) -> None:
        # When each state was last seen, by its first event and the workspace.
        self._seen_at: dict[tuple[Event, WorkspaceName], float] = {}

    def update(
        self, signs: dict[Event, set[WorkspaceName]], now: float
    ) -> list[tuple[Event, WorkspaceName]]:
        """Return the events of states that begin or end, given the present signs."""
        changes: list[tuple[Event, WorkspaceName]] = []
        for begin, end in STATES:
            for name in sorted(signs.get(begin, ())):
                if (begin, name) not in self._seen_at:
                    changes.append((begin, name))
                self._seen_at[begin, name] = now
            for key, seen_at in list(self._seen_at.items()):
                if key[0] is begin and now - seen_at >= QUIET_SECONDS:
                    del self._seen_at[key]
                    changes.append((end, key[1]))
        return changes
