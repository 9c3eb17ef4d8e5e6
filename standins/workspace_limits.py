"""What the workspaces run on all workers, compared with their limits."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyhub.ids import TaskId, WorkspaceName
from ebonyhub.jobs.model import Resources

# Time for which an earlier limit still counts after a change: the platform's
# ConfigApplyMs, in which two configurations may both be in force.
LIMIT_CHANGE_SECONDS = 3.0


@dataclass
class WorkspaceLimits:
    """The limits of workspaces by time, and what each of them runs."""

    clock: Callable[[], float]
    change_seconds: float = LIMIT_CHANGE_SECONDS
    # By workspace: its limits in the order of time, each with the time of its start.
    limits: dict[WorkspaceName, list[tuple[float, Resources]]] = field(
        default_factory=dict
    )
    # By workspace: what each run reserves, by its worker and task.
    running: dict[WorkspaceName, dict[tuple[str, TaskId], Resources]] = field(
        default_factory=dict
    )

    def set_limit(self, workspace: WorkspaceName, limit: Resources) -> None:
        """Record a limit that is in force from now on; 0 means no limit."""
        self.limits.setdefault(workspace, []).append((self.clock(), limit))

    def counted_limits(self, workspace: WorkspaceName) -> list[Resources]:
        """Return the limit in force and those that ended only a short time ago."""
        history = self.limits.get(workspace, [])
        ends = [since for since, _ in history[1:]]
        oldest = self.clock() - self.change_seconds
        recent = [
            limit for (_, limit), end in zip(history, ends, strict=False)
            if end >= oldest
        ]  # fmt: skip
        return recent + [limit for _, limit in history[-1:]]

    def start(
        self, workspace: WorkspaceName, worker: str, task: TaskId, demand: Resources
    ) -> str | None:
        """Record a start; return how it exceeds the limit, None if it does not.

        A task that alone exceeds the limit may run while its workspace runs nothing
        else.
        """
        runs = self.running.setdefault(workspace, {})
        used = demand
        for reserved in runs.values():
            used = used + reserved
        others = len(runs)
        runs[worker, task] = demand
        limits = self.counted_limits(workspace)
        if not others or not limits:
            return None
        if any(not exceeds(limit, used, demand) for limit in limits):
            return None
        counted = ", ".join(dict.fromkeys(map(str, limits)))
        return f"workspace {workspace} runs {used} of {counted}"

    def end(self, workspace: WorkspaceName, worker: str, task: TaskId) -> None:
        """Record the end of a run."""
        self.running.get(workspace, {}).pop((worker, task), None)


def exceeds(limit: Resources, used: Resources, demand: Resources) -> bool:
    """Return whether a start exceeds the limit of a kind of resource that it uses."""
    return any(
        needed and allowed and total > allowed
        for allowed, total, needed in (
            (limit.cpu, used.cpu, demand.cpu),
            (limit.memory, used.memory, demand.memory),
            (limit.accelerators, used.accelerators, demand.accelerators),
        )
    )
