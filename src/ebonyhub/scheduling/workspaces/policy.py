"""Limits, rates and shares of workspaces, as the scheduler asks for them.

The policy is told of jobs and runs, and answers how many tasks of a job may start and
how the job stands in its workspace. It does no I/O and reads no clock. Jobs without a
workspace are never limited and always within their share.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf

from ...configuration import Workspace
from ...events import Event
from ...ids import JobId, ServiceName, WorkspaceName
from ...jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ...node_settings import DEFAULT_RATE_WINDOW_SECONDS
from ..runs import Job, Run
from .assessment import Assessment, ServiceLoad, assess, valid_seconds
from .holds import (
    SEARCH_INTERVAL_SECONDS,
    CanBePlaced,
    Hold,
    LimitHolds,
    LimitUse,
)
from .limits import (
    NOTHING,
    Room,
    WaitingClaims,
    exceeds_alone,
    is_within,
    tasks_allowed,
)
from .notices import Notices
from .rates import RateMeter
from .shares import is_below, tasks_below_share
from .status import Standing, WorkspaceStatus
from .usage import UsageLedger

# Interval of the check for changes to log.
NOTICE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class WorkspaceRules:
    """Settings of an entry that concern workspaces."""

    # Whether limits, rates and shares apply; use is counted in any case.
    enforced: bool = False
    # Time for which unused entitlement to jobs per second is kept.
    rate_window_seconds: float = DEFAULT_RATE_WINDOW_SECONDS


class WorkspacePolicy:
    """Decides how much of a workspace's work may start, and in which order."""

    def __init__(self, rules: WorkspaceRules | None = None) -> None:
        self.rules = rules or WorkspaceRules()
        self.ledger = UsageLedger()
        self.rates = RateMeter(
            self.rules.rate_window_seconds, lambda name: self.workspace(name).weight
        )
        # Whether planning has to ask; False without workspaces.
        self.is_active = False
        # Includes workspaces that were removed from the configuration.
        self._known: dict[WorkspaceName, Workspace] = {}
        # Of workspaces that this leader has never seen configured: the limit stored
        # with the job that was accepted last, and that job's acceptance time.
        self._stored: dict[WorkspaceName, tuple[int, Workspace]] = {}
        self._jobs: dict[WorkspaceName, dict[JobId, Job]] = {}
        self._assessments: dict[ServiceName, Assessment] = {}
        self._waiting_claims: WaitingClaims | None = None
        # Tasks that start before all others of their workspaces.
        self.holds = LimitHolds()
        self._next_search_at = -inf
        self._notices = Notices()
        self._next_notices_at = -inf
        # Workspaces recently held back by their limit or share.
        self._at_limit: set[WorkspaceName] = set()
        self._lent: set[WorkspaceName] = set()

    # Facts

    def configure(self, workspaces: Mapping[WorkspaceName, Workspace]) -> None:
        """Apply a newer configuration; removed workspaces keep what they had."""
        self._known.update(workspaces)
        self._update_activity()

    def job_accepted(self, job: Job) -> None:
        """Take note of a job, also of one that has ended already."""
        accepted = job.accepted
        name = accepted.workspace
        if not name:
            return
        stored = self._stored.get(name)
        if stored is None or accepted.accepted_ms >= stored[0]:
            limits = Workspace(name, limit=accepted.workspace_limit)
            self._stored[name] = (accepted.accepted_ms, limits)
        self.rates.add(accepted, job.is_final)
        self.ledger.attribute(accepted.job, name, accepted.spec.steps)
        if not job.is_final:
            self._jobs.setdefault(name, {})[accepted.job] = job
        self._update_activity()

    def job_closed(self, accepted: AcceptedJob) -> None:
        """Forget a job that has ended; its runs count until they are released."""
        if accepted.workspace:
            self._jobs.get(accepted.workspace, {}).pop(accepted.job, None)
            self.holds.forget_job(accepted.workspace, accepted.job)
            self.rates.forget(accepted.job)

    def hold_for_unknown_runs(
        self, job: JobId, workspace: WorkspaceName, spec: JobSpec | None
    ) -> None:
        """Count all that a job may still run, until ``release_held`` of the ledger.

        The record of a job that has ended names no runs, although an earlier leader may
        have been lost before it had stopped them all. Nor does an unreadable record.
        """
        if workspace and spec is not None:
            self.ledger.attribute(job, workspace, spec.steps)
            self.ledger.hold(job, workspace, _sum_of_tasks(spec.steps))

    def run_reserved(
        self, run: Run, service: ServiceName, workspace: WorkspaceName | None
    ) -> None:
        """Count a run; ``workspace`` is None if its job is not known."""
        if workspace == "" and not self.rules.enforced:
            return
        key = (run.worker, *run.key)
        step = run.step
        self.ledger.add(key, service, workspace, step.demand, step.long_running)

    def run_released(self, run: Run) -> None:
        """Stop counting a run that certainly does not exist."""
        self.ledger.remove((run.worker, *run.key))

    def _update_activity(self) -> None:
        self.is_active = self.rules.enforced and bool(self._known or self._stored)

    # Limits

    def workspace(self, name: WorkspaceName) -> Workspace:
        """Return a workspace as configured, or as last known."""
        known = self._known.get(name)
        if known is not None:
            return known
        stored = self._stored.get(name)
        return stored[1] if stored else Workspace(name)

    def limit_of(self, name: WorkspaceName) -> Resources:
        """Return the limit of a workspace."""
        return self.workspace(name).limit

    def tasks_allowed(self, job: Job, step: StepSpec, wanted: int) -> int:
        """Return how many of ``wanted`` tasks of a step may start under the limit.

        The members of a gang start together or not at all.
        """
        name = job.accepted.workspace
        if not name or not self.rules.enforced:
            return wanted
        limit = self.limit_of(name)
        if limit == NOTHING:
            return wanted
        if self.holds.holds_back(job, step):
            return 0
        if exceeds_alone(step.demand, limit) and self.ledger.run_count(name):
            allowed = 0
        else:
            used = self.ledger.used(name)
            allowed = tasks_allowed(used, limit, step.demand, wanted)
        if allowed < wanted:
            self._at_limit.add(name)
            if step.gang:
                return 0
        return allowed

    def room_of(self, name: WorkspaceName) -> Room | None:
        """Return what a workspace's limit leaves; None if it has no limit."""
        if not name or not self.rules.enforced:
            return None
        limit = self.limit_of(name)
        return None if limit == NOTHING else Room(self.ledger.used(name), limit)

    def may_start(self, job: Job, room: Room | None) -> bool:
        """Return whether there is room for any ready task of the job."""
        if room is None:
            return True
        if self.holds.holds_back_job(job):
            return False
        if job.min_pending_cpu <= room.largest_cpu:
            steps = job.accepted.spec.steps
            for _, number in job.pending:
                if room.holds(steps[number].demand):
                    return True
        self._at_limit.add(job.accepted.workspace)
        return False

    def begin_holds(
        self, can_be_placed: CanBePlaced, now: float
    ) -> list[tuple[WorkspaceName, Hold]]:
        """Hold back others for tasks that they have passed for too long.

        Returns the new holds.
        """
        if now < self._next_search_at:
            return []
        self._next_search_at = now + SEARCH_INTERVAL_SECONDS
        begun: list[tuple[WorkspaceName, Hold]] = []
        for name, smallest_run in self.ledger.smallest_runs().items():
            room, jobs = self.room_of(name), self._jobs.get(name)
            if room is None or not jobs:
                continue
            long_running = self.ledger.used_by_long_running(name)
            use = LimitUse(self.limit_of(name), room, smallest_run, long_running)
            hold = self.holds.update(name, jobs.values(), use, can_be_placed, now)
            if hold is not None:
                begun.append((name, hold))
        return begun

    def may_order(self, run: Run) -> bool:
        """Return whether a planned run may still be ordered.

        Since it was planned, the limit may have been lowered, or a worker may have
        listed runs that no record contains.
        """
        name = self.ledger.workspace_of((run.worker, *run.key))
        if not name or not self.rules.enforced:
            return True
        limit = self.limit_of(name)
        if is_within(self.ledger.used(name), limit):
            return True
        return self.ledger.run_count(name) == 1 and not self.ledger.holds_any

    def waiting_claims(self) -> WaitingClaims:
        """Return a new count of the waiting tasks that fit under the limits."""
        return WaitingClaims(self.room_of)

    def start_demand(self) -> WaitingClaims:
        """Return a count for all waiting tasks; jobs that arrive later add to it."""
        self._waiting_claims = self.waiting_claims()
        return self._waiting_claims

    def arriving_part(self, job: Job) -> float:
        """Return the part of a new job's ready tasks that fit under the limit."""
        if not self.is_active or not job.accepted.workspace or not job.pending:
            return 1.0
        claims = self._waiting_claims or self.start_demand()
        room = claims.room(job.accepted.workspace)
        if room is None:
            return 1.0
        ready = allowed = 0
        for (_, number), positions in job.pending.items():
            demand = job.accepted.spec.steps[number].demand
            ready += len(positions)
            allowed += room.take(demand, len(positions))
        return allowed / ready

    # Shares and rates

    def is_assessed(self, service: ServiceName, now: float) -> bool:
        """Return whether the shares of a service are recent enough."""
        assessment = self._assessments.get(service)
        if assessment is None:
            return False
        seconds = valid_seconds(assessment.waiting_jobs)
        return 0.0 <= now - assessment.assessed_at < seconds

    def assess(self, load: ServiceLoad, now: float) -> None:
        """Find out whether a service is short of capacity, and its shares if so."""
        self._assessments[load.service] = assess(
            load,
            self.ledger,
            self.waiting_claims(),
            lambda job: self.rates.is_over(job.job_id),
            lambda name: self.workspace(name).weight,
            now,
        )

    def is_oversubscribed(self, service: ServiceName, standing: Standing) -> bool:
        """Return whether not all jobs of this standing can be on time.

        Jobs over the rate come after all others, so their work delays no other job.
        """
        assessment = self._assessments.get(service)
        if assessment is None:
            return False
        if standing is Standing.OVER_RATE:
            return assessment.oversubscribed
        return assessment.oversubscribed_within_rate

    def standing(self, job: Job, service: ServiceName | None = None) -> Standing:
        """Return how a job stands; ``service`` is by default that of its arrival."""
        name = job.accepted.workspace
        if not name or not self.rules.enforced:
            return Standing.WITHIN_SHARE
        if self.rates.is_over(job.job_id):
            return Standing.OVER_RATE
        return self.share_standing(name, service or job.service)

    def share_standing(self, name: WorkspaceName, service: ServiceName) -> Standing:
        """Return how the jobs of a workspace stand that are within its rate."""
        assessment = self._assessments.get(service)
        if not name or assessment is None or assessment.level == inf:
            return Standing.WITHIN_SHARE
        share = assessment.share(self.workspace(name).weight)
        used = assessment.used(self.ledger, service, name)
        if is_below(used, share, assessment.capacity):
            return Standing.WITHIN_SHARE
        self._lent.add(name)
        return Standing.LENT

    def tasks_within_share(
        self, job: Job, service: ServiceName, step: StepSpec, wanted: int
    ) -> int:
        """Return how many tasks start until the workspace uses its share.

        A gang is not divided.
        """
        name = job.accepted.workspace
        assessment = self._assessments.get(service)
        if not name or assessment is None or assessment.level == inf:
            return wanted
        share = assessment.share(self.workspace(name).weight)
        used = assessment.used(self.ledger, service, name)
        capacity = assessment.capacity
        tasks = tasks_below_share(used, share, step.demand, capacity, wanted)
        return wanted if tasks and step.gang else tasks

    def lending_priority(self, name: WorkspaceName) -> int:
        """Return the priority with which a workspace gets what others lend."""
        return self.workspace(name).priority

    # Views

    def held_back_by(self, job: Job, step: StepSpec) -> str | None:
        """Return what delays ready tasks of a step: limit, rate or share; else None."""
        name = job.accepted.workspace
        if not name or not self.rules.enforced:
            return None
        limit, used = self.limit_of(name), self.ledger.used(name)
        wanted = step.count if step.gang else 1
        hold = self.holds.of(name)
        if hold is not None and self.holds.holds_back(job, step):
            return (
                f"job {hold.passed.job.job_id} of workspace {name} has waited for room "
                "under its limit for long; the other tasks of the workspace wait for it"
            )
        if not self.tasks_allowed(job, step, wanted):
            return _limit_sentence(name, step, used, limit)
        standing = self.standing(job)
        if standing is Standing.OVER_RATE:
            return (
                f"workspace {name} sent more than its {self.workspace(name).weight:g} "
                "jobs per second; this job starts after those within their rate"
            )
        if standing is Standing.LENT:
            share = self._assessments[job.service].share(self.workspace(name).weight)
            return (
                f"workspace {name} uses its fair share of {share:.1%} of service "
                f"{job.service}; it gets more only while others leave capacity unused"
            )
        return None

    def overview(self) -> list[WorkspaceStatus]:
        """Return the status of each workspace that is configured or in use."""
        active = [name for name, jobs in self._jobs.items() if jobs]
        names = {*self._known, *active, *self.ledger.workspaces()}
        return [self._status(name) for name in sorted(names)]

    def _status(self, name: WorkspaceName) -> WorkspaceStatus:
        workspace = self.workspace(name)
        waiting = [job for job in self._jobs.get(name, {}).values() if job.pending]
        services = {job.service for job in waiting}
        over_rate = sum(self.rates.is_over(job.job_id) for job in waiting)
        return WorkspaceStatus(
            name, workspace.weight, workspace.priority, workspace.limit,
            self.ledger.used(name), self._fair_share(workspace, services),
            len(waiting), over_rate,
        )  # fmt: skip

    def _fair_share(
        self, workspace: Workspace, services: Iterable[ServiceName]
    ) -> float | None:
        """Return the smallest share in services that are short of capacity."""
        found = [self._assessments.get(service) for service in services]
        shares = [
            assessment.share(workspace.weight)
            for assessment in found
            if assessment is not None and assessment.level < inf
        ]
        return min(shares, default=None)

    def take_changes(self, now: float) -> list[tuple[Event, WorkspaceName]]:
        """Return the events of workspaces that are held back, or no longer."""
        if not self.is_active or now < self._next_notices_at:
            return []
        self._next_notices_at = now + NOTICE_INTERVAL_SECONDS
        signs = {
            Event.WORKSPACE_AT_LIMIT: self._at_limit,
            Event.WORKSPACE_OVER_RATE: self.rates.take_exceeded(),
            Event.WORKSPACE_SHARE_EXHAUSTED: self._lent,
        }
        self._at_limit, self._lent = set(), set()
        return self._notices.update(signs, now)


def _sum_of_tasks(steps: Sequence[StepSpec]) -> Resources:
    """Return what all tasks of a job need together."""
    return Resources(
        sum(step.count * step.demand.cpu for step in steps),
        sum(step.count * step.demand.memory for step in steps),
        sum(step.count * step.demand.accelerators for step in steps),
    )


def _limit_sentence(
    name: WorkspaceName, step: StepSpec, used: Resources, limit: Resources
) -> str:
    """Return why the limit keeps a task or a gang from starting."""
    needed = _sum_of_tasks([step]) if step.gang else step.demand
    what = "the gang" if step.gang else "a task"
    if exceeds_alone(needed, limit):
        waits = (
            "it cannot start"
            if step.gang and step.count > 1
            else "it starts only while nothing else of the workspace runs"
        )
        return (
            f"{what} needs {_text(needed, limit)}, more than the limit of workspace "
            f"{name}, {_text(limit, limit)}; {waits}"
        )
    return (
        f"{what} needs {_text(needed, limit)}, and workspace {name} uses "
        f"{_text(used, limit)} of its limit of {_text(limit, limit)}"
    )


def _text(amount: Resources, limit: Resources) -> str:
    """Return the amounts of the resources that the limit names."""
    parts = [
        f"{amount.cpu / 1000:g} cores" if limit.cpu else "",
        f"{amount.memory} MB" if limit.memory else "",
        f"{amount.accelerators} accelerators" if limit.accelerators else "",
    ]
    return ", ".join(part for part in parts if part)
