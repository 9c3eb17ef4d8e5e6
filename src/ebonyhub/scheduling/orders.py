"""Orders that a scheduler wants to be given."""

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
    """Stop a run, or keep it from starting."""

    worker: WorkerId
    task: TaskId
    number: int


@dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Let a run work at a share (percent) of its speed."""

    worker: WorkerId
    task: TaskId
    number: int
    percent: int


@dataclass(frozen=True, slots=True)
class FetchReport:
    """Read the worker's lists now rather than at the next end."""

    worker: WorkerId


Order = StartRun | StopRun | ThrottleRun | FetchReport
