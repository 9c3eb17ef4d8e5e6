"""Resources that the runs of each workspace have reserved (pure)."""

from collections.abc import Sequence
from dataclasses import dataclass

from ...ids import NO_WORKSPACE, JobId, ServiceName, TaskId, WorkerId, WorkspaceName
from ...jobs.model import Resources, StepSpec
from .limits import NOTHING

# Worker, task and run number.
RunKey = tuple[WorkerId, TaskId, int]


@dataclass(frozen=True, slots=True)
class Reservation:
    """What one run has reserved."""

    workspace: WorkspaceName
    service: ServiceName
    amount: Resources
    long_running: bool = False


class UsageLedger:
    """Sums up reservations by workspace, over all services and for each of them."""

    def __init__(self) -> None:
        self._runs: dict[RunKey, Reservation] = {}
        self._used: dict[WorkspaceName, Resources] = {}
        self._run_counts: dict[WorkspaceName, int] = {}
        self._used_in: dict[ServiceName, dict[WorkspaceName, Resources]] = {}
        # The part of long-running tasks.
        self._long_running: dict[WorkspaceName, Resources] = {}
        self._job_run_counts: dict[JobId, int] = {}
        # Runs of jobs that were not known when the run was added.
        self._unknown: dict[JobId, set[RunKey]] = {}
        # What runs of jobs may have in use that no worker has reported yet.
        self._held: dict[JobId, tuple[WorkspaceName, Resources]] = {}

    def add(
        self,
        key: RunKey,
        service: ServiceName,
        workspace: WorkspaceName | None,
        amount: Resources,
        long_running: bool = False,
    ) -> None:
        """Count a run in place of an earlier entry of it.

        ``workspace`` is None if the job is not known.
        """
        self.remove(key)
        if workspace is None:
            self._unknown.setdefault(key[1].job, set()).add(key)
            workspace = NO_WORKSPACE
        reservation = Reservation(workspace, service, amount, long_running)
        self._runs[key] = reservation
        self._count(reservation, amount, 1)
        job = key[1].job
        self._job_run_counts[job] = self._job_run_counts.get(job, 0) + 1

    def remove(self, key: RunKey) -> None:
        """Stop counting a run; does nothing if it is not counted."""
        reservation = self._runs.pop(key, None)
        if reservation is None:
            return
        amount = NOTHING - reservation.amount
        self._count(reservation, amount, -1)
        job = key[1].job
        self._job_run_counts[job] -= 1
        if not self._job_run_counts[job]:
            del self._job_run_counts[job]
        unknown = self._unknown.get(job)
        if unknown is not None:
            unknown.discard(key)
            if not unknown:
                del self._unknown[job]

    def _count(self, reservation: Reservation, amount: Resources, runs: int) -> None:
        workspace = reservation.workspace
        self._used[workspace] = self._used.get(workspace, NOTHING) + amount
        self._run_counts[workspace] = self._run_counts.get(workspace, 0) + runs
        used_in = self._used_in.setdefault(reservation.service, {})
        used_in[workspace] = used_in.get(workspace, NOTHING) + amount
        if reservation.long_running:
            before = self._long_running.get(workspace, NOTHING)
            self._long_running[workspace] = before + amount

    def attribute(
        self, job: JobId, workspace: WorkspaceName, steps: Sequence[StepSpec] = ()
    ) -> None:
        """Count the runs of a job, which was not known before, for its workspace.

        What they have reserved was not known before either; ``steps`` tells it.
        """
        for key in self._unknown.pop(job, ()):
            reservation, number = self._runs[key], key[1].step
            amount, long_running = reservation.amount, reservation.long_running
            if number < len(steps):
                amount, long_running = steps[number].demand, steps[number].long_running
            self.add(key, reservation.service, workspace, amount, long_running)

    def hold(self, job: JobId, workspace: WorkspaceName, amount: Resources) -> None:
        """Count what a job's unknown runs may use, until ``release_held``."""
        self.remove_held(job)
        self._held[job] = (workspace, amount)
        self._used[workspace] = self._used.get(workspace, NOTHING) + amount

    def remove_held(self, job: JobId) -> None:
        """Stop counting what is held for one job."""
        held = self._held.pop(job, None)
        if held is not None:
            workspace, amount = held
            self._used[workspace] = self._used[workspace] - amount

    def release_held(self) -> None:
        """Stop counting what is held: all runs that exist are known."""
        for job in list(self._held):
            self.remove_held(job)

    @property
    def holds_any(self) -> bool:
        """Return whether anything is held."""
        return bool(self._held)

    def used(self, workspace: WorkspaceName) -> Resources:
        """Return what a workspace uses over all services, including what is held."""
        return self._used.get(workspace, NOTHING)

    def used_by_long_running(self, workspace: WorkspaceName) -> Resources:
        """Return what the long-running tasks of a workspace use."""
        return self._long_running.get(workspace, NOTHING)

    def smallest_runs(self) -> dict[WorkspaceName, Resources]:
        """Return the least of each resource that a run of each workspace uses."""
        smallest: dict[WorkspaceName, Resources] = {}
        for run in self._runs.values():
            amount, least = run.amount, smallest.get(run.workspace, run.amount)
            smallest[run.workspace] = Resources(
                min(amount.cpu, least.cpu),
                min(amount.memory, least.memory),
                min(amount.accelerators, least.accelerators),
            )
        return smallest

    def run_count(self, workspace: WorkspaceName) -> int:
        """Return the number of runs of a workspace."""
        return self._run_counts.get(workspace, 0)

    def run_count_of_job(self, job: JobId) -> int:
        """Return the number of runs of a job."""
        return self._job_run_counts.get(job, 0)

    def used_in(self, service: ServiceName, workspace: WorkspaceName) -> Resources:
        """Return what a workspace uses on the workers of a service."""
        return self._used_in.get(service, {}).get(workspace, NOTHING)

    def users_of(self, service: ServiceName) -> dict[WorkspaceName, Resources]:
        """Return what each workspace uses on the workers of a service."""
        return self._used_in.get(service, {})

    def workspace_of(self, key: RunKey) -> WorkspaceName:
        """Return the workspace for which a run counts."""
        reservation = self._runs.get(key)
        return reservation.workspace if reservation else NO_WORKSPACE

    def workspaces(self) -> list[WorkspaceName]:
        """Return the workspaces that have runs."""
        return [name for name, count in self._run_counts.items() if name and count]
