"""Store records of jobs: keys, and the progress that a scheduler writes."""

from enum import IntEnum

import msgspec

from ..ids import JobId, WorkerId

# What callers asked for; followed by the leader.
JOB_PREFIX = "eb/jobs/"
ACCEPTED_PREFIX = "eb/jobs/a/"
CANCELLED_PREFIX = "eb/jobs/c/"
# Only read at a take-over, since nobody but the leader writes it.
PROGRESS_PREFIX = "eb/progress/"


class JobState(IntEnum):
    """What callers are told about a job."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def final(self) -> bool:
        """Return whether the state never changes again."""
        return self >= JobState.COMPLETED


class RunRecord(msgspec.Struct, array_like=True):
    """A run that was ordered and whose end is not recorded."""

    number: int
    worker: WorkerId
    # Start of the worker's lifetime in ms since 1970; a rebirth under the same id
    # has another.
    born_ms: int
    checkpoint: str = ""


class StepProgress(msgspec.Struct, array_like=True):
    """Progress of one step in one occurrence, by index of the task."""

    done: set[int] = msgspec.field(default_factory=set)
    failures: dict[int, int] = msgspec.field(default_factory=dict)
    # Highest run number that was ever ordered.
    last_run_numbers: dict[int, int] = msgspec.field(default_factory=dict)
    runs: dict[int, RunRecord] = msgspec.field(default_factory=dict)
    checkpoints: dict[int, str] = msgspec.field(default_factory=dict)


class ProgressRecord(msgspec.Struct, array_like=True):
    """Progress of a job; only the scheduler that holds leadership writes it."""

    state: JobState = JobState.QUEUED
    occurrences: dict[int, list[StepProgress]] = msgspec.field(default_factory=dict)
    # Occurrences below this number are complete and left out of ``occurrences``.
    next_occurrence: int = 0
    finished_ms: int = 0


def accepted_key(job: JobId) -> str:
    """Return the key of the accepted submission."""
    return ACCEPTED_PREFIX + job


def cancelled_key(job: JobId) -> str:
    """Return the key whose existence means that the job was cancelled."""
    return CANCELLED_PREFIX + job


def progress_key(job: JobId) -> str:
    """Return the key of the progress record."""
    return PROGRESS_PREFIX + job
