"""Orders that the scheduler queues for the controller to send to workers."""

from dataclasses import dataclass

from ..ids import TaskId, WorkerId
from .runs import Run


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run whose record is stored."""

    run: Run
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, or prevent it from starting if its start is still under way.

    ``born_ms`` is the start of the process that is to confirm it.
    """

    worker: WorkerId
    task: TaskId
    number: int
    born_ms: int


@dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Limit a run to a percentage of its full speed."""

    worker: WorkerId
    task: TaskId
    number: int
    percent: int


@dataclass(frozen=True, slots=True)
class FetchReport:
    """Request a worker's report at once, beside the pending long poll."""

    worker: WorkerId


@dataclass(frozen=True, slots=True)
class RaiseToken:
    """Get a higher fencing token for the present process of a worker."""

    worker: WorkerId


Order = StartRun | StopRun | ThrottleRun | FetchReport | RaiseToken
