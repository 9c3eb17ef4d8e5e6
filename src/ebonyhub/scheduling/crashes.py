"""Evidence that a task crashes the workers that start it.

A worker that crashes ends all of its runs without telling which of them was the cause.
The suspects are the runs that had just started, since the others have shown that the
worker survives them for a while. A run may also crash its worker later: once all of
these suspects are cleared, the crash counts against the other runs that are not
long-running, and from the second such crash their tasks are suspected, too.

A suspected task starts alone: on a worker without other runs on probation, where
nothing else starts during its own. If that worker crashes too, the task is the cause.
Many suspects of one crash start in groups first, as in group testing (Dorfman, 1943):
a worker that survives a group clears all of it, and the members of one that does not
start alone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from ..ids import TaskId
from ..jobs.records import StepProgress
from .losses import LossCause
from .runs import Run, RunPhase, Worker

# Seconds from the start of a run in which it may be the cause of a crash.
PROBATION_SECONDS = 0.5
# Evidence of a crash during a probation: the start was confirmed, or had no answer, so
# that the run may never have existed.
CONFIRMED_START_EVIDENCE = 2
POSSIBLE_START_EVIDENCE = 1
# A task is given up after two workers that have certainly crashed under it.
GIVE_UP_EVIDENCE = 2 * CONFIRMED_START_EVIDENCE
# Unexplained crashes later than its probation after which a task is suspected, and
# after which it is given up.
SUSPECT_LATE_CRASHES = 2
GIVE_UP_LATE_CRASHES = 3

# Losses that no order of the leader explains. A lease may also end because the worker
# cannot be reached.
_CRASHES = frozenset(
    {
        LossCause.VM_DOWN,
        LossCause.VM_GONE,
        LossCause.WORKER_REPLACED,
        LossCause.RESTARTED,
    }
)


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended with its worker; ``age`` is in seconds."""

    run: Run
    age: float

    @property
    def on_probation(self) -> bool:
        """Return whether the run had not yet shown that the worker survives it."""
        if self.run.phase is not RunPhase.CONFIRMED:
            return True
        return self.age < (self.run.probation_seconds or PROBATION_SECONDS)


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """What one crash tells against one task, see ``StepProgress``."""

    at_start: int = 0
    late: int = 0


@dataclass(slots=True)
class Crash:
    """The evidence of one crash against each suspect.

    ``deferred`` is used once none of the suspects in ``evidence`` is left.
    """

    evidence: dict[TaskId, CrashEvidence]
    deferred: dict[TaskId, CrashEvidence] = field(default_factory=dict)


def is_crash(cause: LossCause, worker: Worker, born_ms: int) -> bool:
    """Return whether the loss of a worker process was unplanned.

    A cordoned VM is no exception: its change is ordered only once it is empty.
    """
    drained = born_ms != 0 and born_ms == worker.draining_born_ms
    # Another process under the id may have written the entry.
    drains = worker.entry.draining and (
        0 in (born_ms, worker.entry.born_ms) or born_ms == worker.entry.born_ms
    )
    return cause in _CRASHES and not drains and not drained


def suspects_of(lost: Iterable[LostRun]) -> list[LostRun]:
    """Return the runs that may have caused a crash, the youngest first.

    A run that was started alone is the only suspect, since the other runs on the worker
    had passed their probation before.
    """
    suspects = sorted(
        (item for item in lost if item.on_probation), key=lambda item: item.age
    )
    isolated = [item for item in suspects if item.run.probation_seconds is not None]
    return isolated or suspects


def examine_crash(lost: Iterable[LostRun]) -> Crash:
    """Return the evidence of a crash, the most likely suspect first."""
    lost = list(lost)
    suspects = suspects_of(lost)
    evidence = {item.run.task: evidence_of(item) for item in suspects}
    if any(item.run.probation_seconds is not None for item in suspects):
        return Crash(evidence)
    late = {
        item.run.task: CrashEvidence(late=1)
        for item in lost
        if item.run.task not in evidence and not item.run.step.long_running
    }
    return Crash(evidence, late) if evidence else Crash(late)


def evidence_of(suspect: LostRun) -> CrashEvidence:
    """Return the evidence of a crash against a run on probation."""
    if suspect.run.phase is not RunPhase.CONFIRMED:
        return CrashEvidence(at_start=POSSIBLE_START_EVIDENCE)
    if suspect.age < PROBATION_SECONDS:
        return CrashEvidence(at_start=CONFIRMED_START_EVIDENCE)
    return CrashEvidence(late=1)


def suspect_ranks(crashes: Iterable[Crash]) -> dict[TaskId, int]:
    """Return the position of each suspect in its crash, from 0 for the youngest."""
    ranks: dict[TaskId, int] = {}
    for crash in crashes:
        for rank, task in enumerate(crash.evidence):
            ranks[task] = min(rank, ranks.get(task, rank))
    return ranks


def is_suspected(progress: StepProgress, position: int) -> bool:
    """Return whether the task must start alone."""
    return (
        progress.crash_evidence.get(position, 0) > 0
        or progress.late_crashes.get(position, 0) >= SUSPECT_LATE_CRASHES
    )


def probation_seconds(progress: StepProgress, position: int) -> float | None:
    """Return how long nothing may start beside the task, None if it is not suspected.

    A task that is suspected of late crashes is on probation until it ends.
    """
    if progress.late_crashes.get(position, 0) >= SUSPECT_LATE_CRASHES:
        return inf
    return PROBATION_SECONDS if is_suspected(progress, position) else None


def may_start_in_group(progress: StepProgress, position: int) -> bool:
    """Return whether a suspected task may start beside others that are suspected.

    That is after one crash, so that a task starts in no more than one group.
    """
    evidence = progress.crash_evidence.get(position, 0)
    is_late = progress.late_crashes.get(position, 0) >= SUSPECT_LATE_CRASHES
    return evidence <= CONFIRMED_START_EVIDENCE and not is_late


def must_be_given_up(
    progress: StepProgress, position: int, evidence: CrashEvidence
) -> bool:
    """Return whether one more crash, under the task alone, makes it the cause."""
    at_start = progress.crash_evidence.get(position, 0) + evidence.at_start
    late = progress.late_crashes.get(position, 0) + evidence.late
    return at_start >= GIVE_UP_EVIDENCE or late >= GIVE_UP_LATE_CRASHES


def is_on_probation(run: Run, worker: Worker, now: float) -> bool:
    """Return whether the worker has not yet survived the run's probation."""
    if run.phase is not RunPhase.CONFIRMED or worker.poll_failed:
        return True
    return now - run.confirmed_at < (run.probation_seconds or PROBATION_SECONDS)


def is_isolating(worker: Worker, now: float) -> bool:
    """Return whether nothing may start on the worker, for the probation of a run."""
    return any(
        is_on_probation(run, worker, now) for run in worker.isolated_runs.values()
    )


def has_survived_probation(run: Run, worker: Worker) -> bool:
    """Return whether the worker has reported after the end of the run's probation."""
    responded_at = worker.last_response_at
    if run.phase is not RunPhase.CONFIRMED or responded_at is None:
        return False
    if run.born_ms not in (0, worker.born_ms):
        # The process of the run has ended, and another one responds.
        return False
    return responded_at - run.confirmed_at >= (run.probation_seconds or 0.0)
