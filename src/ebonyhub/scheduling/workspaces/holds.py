"""Lets a task start that its workspace's limit has no room for beside smaller ones.

The room that becomes free under a limit goes to the first waiting task that fits. A
task that needs more of it would be passed by smaller ones for as long as these come.
After some time the other tasks of its workspace are therefore held back, until it has
started or a part of the time that it has waited has passed. Pure: the caller passes the
time, in monotonic seconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from math import inf

from ...ids import JobId, WorkspaceName
from ...jobs.model import Resources, StepSpec
from ..runs import Job
from .limits import Room, exceeds_alone, is_within

# Seconds for which a step is passed before others are held back for it, and least time
# between two holds of a workspace.
MIN_WAIT_SECONDS = 5.0
# A hold lasts for this part of the time for which its step was passed, at most, and the
# next one begins after its duration divided by this. So tasks are not held back for
# four fifths of the time, however long the runs take whose end is awaited, and a later
# hold of the step is long enough for these to end.
HOLD_PART = 0.25
# Seconds between two searches for steps that are passed.
SEARCH_INTERVAL_SECONDS = 1.0

# Job, occurrence and step number; returns whether workers can ever run the tasks.
CanBePlaced = Callable[[Job, int, int], bool]


@dataclass(frozen=True, slots=True)
class LimitUse:
    """A workspace's limit and what uses it."""

    limit: Resources
    room: Room
    # The least of each resource that a run uses.
    smallest_run: Resources
    # What long-running tasks use.
    long_running: Resources

    def is_passed(self, demand: Resources, members: int) -> bool:
        """Return whether tasks that start together wait for the end of several runs.

        If the end of any run makes enough room, their place in the order decides.
        """
        if self.room.holds(demand, members):
            return False
        needed, smallest, limit = demand.times(members), self.smallest_run, self.limit
        return (
            (limit.cpu > 0 and needed.cpu > smallest.cpu)
            or (limit.memory > 0 and needed.memory > smallest.memory)
            or (limit.accelerators > 0 and needed.accelerators > smallest.accelerators)
        )

    def fits_in_the_end(self, demand: Resources, members: int) -> bool:
        """Return whether the tasks may start once only long-running ones run."""
        if members == 1 and exceeds_alone(demand, self.limit):
            return self.long_running == Resources()
        return is_within(demand.times(members) + self.long_running, self.limit)


@dataclass(frozen=True, slots=True)
class PassedStep:
    """A step that is passed, with the number of ready tasks when that was found."""

    job: Job
    occurrence: int
    number: int
    ready: int
    since: float

    @property
    def step(self) -> StepSpec:
        """Return the specification of the step."""
        return self.job.accepted.spec.steps[self.number]

    @property
    def has_started_a_task(self) -> bool:
        """Return whether a task has started since, or none is ready any more."""
        ready = self.job.pending.get((self.occurrence, self.number), ())
        return len(ready) < self.ready

    def needs_a_hold(self, use: LimitUse) -> bool:
        """Return whether the step is passed at present."""
        return use.is_passed(self.step.demand, _members(self.step, self.ready))

    def may_start_in_the_end(self, use: LimitUse, can_be_placed: CanBePlaced) -> bool:
        """Return whether others would wait for the step to some purpose."""
        members = _members(self.step, self.ready)
        return use.fits_in_the_end(self.step.demand, members) and can_be_placed(
            self.job, self.occurrence, self.number
        )


@dataclass(frozen=True, slots=True)
class Hold:
    """Keeps the other tasks of a workspace from starting."""

    passed: PassedStep
    begun_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class EndedHold:
    """A hold that is over, with its duration in seconds."""

    workspace: WorkspaceName
    hold: Hold
    seconds: float


class LimitHolds:
    """The step of each workspace that is passed, and the hold for it if any."""

    def __init__(self) -> None:
        self._passed: dict[WorkspaceName, PassedStep] = {}
        self._holds: dict[WorkspaceName, Hold] = {}
        # When the next hold of a workspace may begin.
        self._none_before: dict[WorkspaceName, float] = {}

    def of(self, workspace: WorkspaceName) -> Hold | None:
        """Return the hold of a workspace that still applies."""
        hold = self._holds.get(workspace)
        if hold is None or hold.ends_at == -inf or hold.passed.has_started_a_task:
            return None
        return hold

    def holds_back_job(self, job: Job) -> bool:
        """Return whether all tasks of a job have to wait for another job."""
        hold = self.of(job.accepted.workspace) if self._holds else None
        return hold is not None and hold.passed.job is not job

    def holds_back(self, job: Job, step: StepSpec) -> bool:
        """Return whether the tasks of a step have to wait for those of another."""
        hold = self.of(job.accepted.workspace) if self._holds else None
        if hold is None:
            return False
        return hold.passed.job is not job or hold.passed.step is not step

    def update(
        self,
        workspace: WorkspaceName,
        jobs: Iterable[Job],
        use: LimitUse,
        can_be_placed: CanBePlaced,
        now: float,
    ) -> Hold | None:
        """Look for a step that is passed; return a hold that begins for it."""
        passed = self._passed.get(workspace)
        if passed is None or passed.has_started_a_task:
            self._passed.pop(workspace, None)
            found = find_passed_step(jobs, use, can_be_placed, now)
            if found is not None:
                self._passed[workspace] = found
            return None
        waited = now - passed.since
        if (
            workspace in self._holds
            or waited < MIN_WAIT_SECONDS
            or now < self._none_before.get(workspace, now)
            or not passed.needs_a_hold(use)
        ):
            return None
        if not passed.may_start_in_the_end(use, can_be_placed):
            del self._passed[workspace]
            return None
        hold = Hold(passed, now, now + waited * HOLD_PART)
        self._holds[workspace] = hold
        return hold

    def end_finished(self, now: float) -> list[EndedHold]:
        """End the holds that are over, and return them."""
        ended: list[EndedHold] = []
        for name, hold in list(self._holds.items()):
            if now < hold.ends_at and not hold.passed.has_started_a_task:
                continue
            del self._holds[name]
            seconds = now - hold.begun_at
            pause = max(MIN_WAIT_SECONDS, seconds / HOLD_PART)
            self._none_before[name] = now + pause
            ended.append(EndedHold(name, hold, seconds))
        return ended

    def forget_job(self, workspace: WorkspaceName, job: JobId) -> None:
        """Look for another step if that of the workspace is of a job that ends."""
        passed = self._passed.get(workspace)
        if passed is not None and passed.job.job_id == job:
            del self._passed[workspace]
            hold = self._holds.get(workspace)
            if hold is not None:
                self._holds[workspace] = replace(hold, ends_at=-inf)


def find_passed_step(
    jobs: Iterable[Job], use: LimitUse, can_be_placed: CanBePlaced, now: float
) -> PassedStep | None:
    """Return the step of the oldest job that smaller tasks pass.

    A step that cannot start when other runs have ended is left out, since others would
    wait for it for nothing.
    """
    for job in sorted(jobs, key=lambda job: job.arrived_at):
        for (occurrence, number), positions in job.pending.items():
            step, ready = job.accepted.spec.steps[number], len(positions)
            if not use.is_passed(step.demand, _members(step, ready)):
                continue
            passed = PassedStep(job, occurrence, number, ready, now)
            if passed.may_start_in_the_end(use, can_be_placed):
                return passed
    return None


def _members(step: StepSpec, ready: int) -> int:
    """Return how many tasks start together."""
    return ready if step.gang else 1
