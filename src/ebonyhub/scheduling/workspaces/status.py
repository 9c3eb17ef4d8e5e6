"""What the scheduler says about workspaces and about the jobs of one."""

from dataclasses import dataclass
from enum import IntEnum

from ...ids import WorkspaceName
from ...jobs.model import Resources


class Standing(IntEnum):
    """How a job stands in its workspace; the lowest is served first."""

    # Its workspace uses less than its share, or the service has enough capacity.
    WITHIN_SHARE = 0
    # Its workspace uses its whole share and more that others lend.
    LENT = 1
    # Its workspace sends more jobs per second than its weight.
    OVER_RATE = 2


@dataclass(frozen=True, slots=True)
class WorkspaceStatus:
    """A workspace as the leader sees it; a share is one of a service's capacity."""

    name: WorkspaceName
    weight: float
    priority: int
    limit: Resources
    used: Resources
    # Share under the present shortage; None if there is none.
    fair_share: float | None
    waiting_jobs: int
    over_rate_jobs: int
