"""What an entry can tell operators about workspaces.

Weights, limits and refused calls are known on every entry; use, shares and waiting jobs
only on the leader.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from .configuration import Configuration, Workspace
from .configuration_view import key_fingerprints
from .ids import NO_WORKSPACE, WorkspaceName
from .jobs.model import Resources, StepSpec
from .refused_calls import RefusedCalls
from .scheduling.runs import Job
from .scheduling.workspaces.status import WorkspaceStatus


class WorkspaceOverview(Protocol):
    """The part of the scheduler's workspace policy that operators see."""

    def overview(self) -> Iterable[WorkspaceStatus]:
        """Return the state of each workspace that is configured or was before."""

    def held_back_by(self, job: Job, step: StepSpec) -> str | None:
        """Return which limit, share or rate holds a step back, None if none does."""


@dataclass(frozen=True, slots=True)
class WorkspaceReports:
    """Reports on workspaces; ``overview`` returns None on followers."""

    configuration: Callable[[], Configuration | None]
    overview: Callable[[], WorkspaceOverview | None]
    refused: RefusedCalls

    def configured(self) -> dict[WorkspaceName, Workspace]:
        """Return the workspaces of the configuration in force on this entry."""
        configuration = self.configuration()
        return dict(configuration.workspaces) if configuration else {}

    def statuses(self) -> dict[WorkspaceName, WorkspaceStatus] | None:
        """Return what the leader knows; None on followers.

        A removed workspace is included as long as it has runs or waiting jobs.
        """
        overview = self.overview()
        if overview is None:
            return None
        configured = self.configured()
        return {
            status.name: status
            for status in overview.overview()
            if status.name in configured
            or status.waiting_jobs
            or status.used != Resources()
        }

    def items(self) -> list[dict[str, Any]]:
        """Return a row for each workspace, in the order of the configuration.

        Workspaces that were removed but still have runs or waiting jobs follow.
        """
        configured, statuses = self.configured(), self.statuses()
        names = dict.fromkeys([*configured, *(statuses or ())])
        names.pop(NO_WORKSPACE, None)
        rows = []
        for name in names:
            row = _row(name, configured.get(name), statuses)
            row["refused"] = sum(self.refused.by_reason(name).values())
            rows.append(row)
        return rows

    def describe(self, name: WorkspaceName) -> dict[str, Any] | None:
        """Return all that is known of one workspace; None if it does not exist."""
        configured, statuses = self.configured(), self.statuses()
        if name == NO_WORKSPACE or (
            name not in configured and name not in (statuses or ())
        ):
            return None
        row = _row(name, configured.get(name), statuses)
        row["refused"] = self.refused.by_reason(name)
        workspace = configured.get(name)
        row["configured"] = workspace is not None
        row["keys"] = key_fingerprints(workspace.key_digests) if workspace else []
        return row


def _row(
    name: WorkspaceName,
    workspace: Workspace | None,
    statuses: dict[WorkspaceName, WorkspaceStatus] | None,
) -> dict[str, Any]:
    status = statuses.get(name) if statuses is not None else None
    source = status or workspace
    row: dict[str, Any] = {"workspace": name}
    if source is not None:
        row["weight"] = source.weight
        row["priority"] = source.priority
        row["limit"] = resources_to_builtins(source.limit)
    if statuses is not None:
        # The leader's scheduler learns of a new workspace with its next configuration.
        used = status.used if status else Resources()
        row["used"] = resources_to_builtins(used)
        row["fair_share"] = status.fair_share if status else None
        row["waiting"] = status.waiting_jobs if status else 0
        row["over_rate"] = status.over_rate_jobs if status else 0
    return row


def resources_to_builtins(resources: Resources) -> dict[str, int]:
    """Return the amounts by kind, with CPU in thousandths of a core."""
    return {
        "cpu": resources.cpu,
        "memory_mb": resources.memory,
        "accelerators": resources.accelerators,
    }
