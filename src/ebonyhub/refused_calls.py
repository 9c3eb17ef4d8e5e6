"""Counts of refused calls by workspace and reason, in bounded memory."""

from collections import Counter
from collections.abc import Collection

from .clock import Clock
from .errors import ERROR_RESPONSES, ErrorKind
from .events import Event, log_event
from .ids import NO_WORKSPACE, WorkspaceName

# Workspaces that are counted under their own names. The design is for 240 workspaces.
MAX_NAMED_WORKSPACES = 256
# Stands for all further workspaces, and for those that have been removed.
OTHER_WORKSPACES = WorkspaceName("other")
UNAUTHORIZED = 401
# A caller with a removed key may call many times per second; one event is logged in
# this time.
LOG_INTERVAL_SECONDS = 10.0


class RefusedCalls:
    """Refused calls of one entry since its start.

    A workspace with the name ``other`` is counted together with the further ones.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counts: dict[WorkspaceName, Counter[ErrorKind]] = {}
        self.next_log_at = float("-inf")
        self.unlogged = 0

    def add(self, workspace: WorkspaceName, kind: ErrorKind) -> None:
        """Count a refused call; the empty name stands for a call without a workspace.

        A refusal for an unknown key is logged, without the key, at intervals.
        """
        if workspace not in self.counts and workspace != NO_WORKSPACE:
            named = self.counts.keys() - {NO_WORKSPACE, OTHER_WORKSPACES}
            if len(named) >= MAX_NAMED_WORKSPACES:
                workspace = OTHER_WORKSPACES
        self.counts.setdefault(workspace, Counter())[kind] += 1
        if ERROR_RESPONSES[kind].status == UNAUTHORIZED:
            self._log_unknown_key()

    def keep_only(self, workspaces: Collection[WorkspaceName]) -> None:
        """Move the counts of all other workspaces to ``other``, so sums stay the same.

        Frees the names of removed workspaces for new ones.
        """
        kept = {NO_WORKSPACE, OTHER_WORKSPACES, *workspaces}
        for name in [name for name in self.counts if name not in kept]:
            removed = self.counts.pop(name)
            self.counts.setdefault(OTHER_WORKSPACES, Counter()).update(removed)

    def by_reason(self, workspace: WorkspaceName) -> dict[str, int]:
        """Return the refused calls of a workspace by reason."""
        counts = self.counts.get(workspace, Counter[ErrorKind]())
        return {kind.value: count for kind, count in sorted_by_name(counts)}

    def _log_unknown_key(self) -> None:
        self.unlogged += 1
        now = self.clock.monotonic()
        if now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_SECONDS
        log_event(Event.UNKNOWN_KEY_REFUSED, calls=self.unlogged)
        self.unlogged = 0


def sorted_by_name(counts: dict[ErrorKind, int]) -> list[tuple[ErrorKind, int]]:
    """Return the counts in the order of the names of their reasons."""
    return sorted(counts.items(), key=lambda item: item[0].value)
