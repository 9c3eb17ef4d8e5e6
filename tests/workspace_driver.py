"""Drives a scheduler with workspaces in fake time, for the tests of workspaces."""

from dataclasses import replace

import msgspec

from ebonyhub.configuration import Workspace
from ebonyhub.ids import (
    JobId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    ProgressRecord,
)
from ebonyhub.scheduling.model import (
    EndedTask,
    RunOutcome,
)
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.workspaces.policy import WorkspaceRules
from standins.emulator import QUEUE, SERVICE, one_queue_configuration
from tests.test_scheduler import Driver, entry

A, B = WorkspaceName("a"), WorkspaceName("b")
CORE = Resources(1000, 10)
NO_LIMIT = Resources()


def configuration(*workspaces):
    by_name = {workspace.name: workspace for workspace in workspaces}
    return replace(one_queue_configuration(), workspaces=by_name)


def limited(cores, name=A, weight=100.0, **fields):
    return Workspace(name, weight=weight, limit=Resources(cores * 1000), **fields)


def spec(tasks, demand=CORE, **fields):
    return JobSpec("t", (StepSpec(tasks, demand, 1000, **fields),))


class WorkspaceDriver(Driver):
    """Drives a scheduler with workspaces; each worker has 8 cores."""

    def __init__(self, *workspaces, names=("w1", "w2"), enforced=True):
        super().__init__(())
        self.scheduler = Scheduler(WorkspaceRules(enforced=enforced))
        self.scheduler.records_loaded = True
        self.scheduler.configure(configuration(*workspaces))
        self.policy = self.scheduler.workspaces
        self.numbers = 0
        for name in names:
            self.scheduler.handle_worker_entry(entry(name), self.now)
            self.report(name)

    def submit(self, job_spec, workspace=A, stored_limit=NO_LIMIT):
        self.numbers += 1
        accepted = AcceptedJob(
            JobId(f"j{self.numbers}"), QUEUE, SERVICE, 3, int(self.now * 1000),
            job_spec, workspace, stored_limit,
        )  # fmt: skip
        self.load(accepted)
        return self.scheduler.jobs[accepted.job]

    def load(self, accepted, progress=None):
        wall_ms = int(self.now * 1000)
        self.scheduler.load_job(accepted, progress, False, self.now, wall_ms)

    def store(self):
        for job in list(self.scheduler.dirty.values()):
            self.scheduler.mark_stored(job, job.version)
        self.scheduler.release_starts(self.now)

    def runs(self, workspace=A):
        return [
            run
            for worker in self.scheduler.workers.values()
            for run in worker.runs.values()
            if self.policy.ledger.workspace_of((run.worker, *run.key)) == workspace
        ]

    def successor(self):
        """Return a new leader that has loaded the stored records."""
        other = WorkspaceDriver(*self.policy._known.values(), names=())
        other.now = self.now
        for name, worker in self.scheduler.workers.items():
            if worker.deregistered:
                continue
            other.scheduler.handle_worker_entry(entry(str(name)), self.now)
        other.scheduler.inherited_leases_until = self.now + 12.0
        for job in self.scheduler.jobs.values():
            progress = msgspec.msgpack.decode(
                msgspec.msgpack.encode(job.progress), type=ProgressRecord
            )
            other.load(job.accepted, progress)
        return other


def end_of(run, sequence=1, outcome=RunOutcome.DONE):
    return EndedTask(sequence, run.task, run.number, outcome, "")
