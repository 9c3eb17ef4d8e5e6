"""Orders of waiting jobs that ``bench.workspace_rush --order`` compares."""

from collections.abc import Callable, Iterator

from ebonyhub.ids import ServiceName, WorkspaceName
from ebonyhub.scheduling.kept_workers import OpenWorkers
from ebonyhub.scheduling.runs import Job
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.workspaces.policy import WorkspaceRules

# Core-seconds that a workspace may start in one round, for each unit of its weight.
QUANTUM = 10.0
# Rate window in seconds that is long enough for no job of a replay to exceed its rate.
UNLIMITED_RATE_WINDOW = 1e6


class RoundRobinScheduler(Scheduler):
    """Deficit round robin over the workspaces of a service, by estimated work."""

    def __init__(self, rules: WorkspaceRules) -> None:
        super().__init__(rules)
        self.deficits: dict[tuple[ServiceName, WorkspaceName], float] = {}
        self.next_workspace: dict[ServiceName, int] = {}

    def in_order_of_shares(
        self,
        service: ServiceName,
        jobs: list[Job],
        candidates: list[Job],
        workers: OpenWorkers,
        now: float,
    ) -> Iterator[tuple[Job, OpenWorkers]]:
        """Yield jobs of each workspace in turn, until its quantum is used up."""
        waiting: dict[WorkspaceName, list[Job]] = {}
        for job in candidates:
            waiting.setdefault(job.accepted.workspace, []).append(job)
        for own in waiting.values():
            own.sort(
                key=lambda job: (
                    self.urgency(job, self.queues.get(job.queue), now, False).key
                ),
                reverse=True,
            )
        names = sorted(self.workspaces.workspace(n).name for n in waiting)
        turn = self.next_workspace.get(service, 0)
        idle_turns = 0
        while names and idle_turns < len(names):
            name = names[turn % len(names)]
            turn += 1
            quantum = QUANTUM * self.workspaces.workspace(name).weight
            deficit = self.deficits.get((service, name), 0.0) + quantum
            before = deficit
            own = waiting[name]
            while own and deficit > 0.0:
                job = own.pop()
                work = waiting_work(job)
                yield job, workers
                deficit -= work - waiting_work(job)
            self.deficits[service, name] = min(deficit, quantum if own else 0.0)
            idle_turns = 0 if deficit < before else idle_turns + 1
        self.next_workspace[service] = turn


def waiting_work(job: Job) -> float:
    """Return the core-seconds of a job's ready tasks."""
    return sum(
        len(positions) * step.demand.cpu * step.estimate_ms / 1e6
        for (_, number), positions in job.pending.items()
        for step in [job.accepted.spec.steps[number]]
    )


def _without_rates(build: Callable[[WorkspaceRules], Scheduler]) -> Scheduler:
    return build(WorkspaceRules(True, UNLIMITED_RATE_WINDOW))


ORDERS: dict[str, Callable[[], Scheduler]] = {
    "shares": lambda: Scheduler(WorkspaceRules(enforced=True)),
    "shares, no rates": lambda: _without_rates(Scheduler),
    "plain queue": lambda: Scheduler(WorkspaceRules(enforced=False)),
    "round robin": lambda: _without_rates(RoundRobinScheduler),
}
