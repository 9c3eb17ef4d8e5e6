"""Long-running tasks run within seconds while suspected tasks start alone.

Guards against workers that are kept for the suspects of a crash, one after the other,
while a long-running task waits that fits on them.
"""

from dataclasses import dataclass

import pytest

from ebonyhub.ids import TaskId, VmId, WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.scheduling import lifecycle
from ebonyhub.scheduling.crashes import CrashEvidence
from standins.emulator import Emulator

SUSPECTS = JobSpec("t", (StepSpec(60, Resources(100, 50), 5_000),))
# Fills a worker.
LARGE = JobSpec("t", (StepSpec(1, Resources(8000, 50), 60_000),))
# Two of these fill a worker; each is on probation when it starts.
SHORT = JobSpec("t", (StepSpec(2, Resources(4000, 50), 600),))
SERVING = JobSpec("t", (StepSpec(1, Resources(1000, 50), long_running=True),))
# The tasks of one step must not share a worker.
SPREAD = JobSpec(
    "t", (StepSpec(3, Resources(1000, 50), long_running=True, max_per_worker=1),)
)
EVIDENCE = CrashEvidence(at_start=1)


def suspect(emulator, job):
    scheduler = emulator.scheduler
    tracked = scheduler.active[job]
    for task in emulator.oracle.tasks_of(job):
        lifecycle.add_crash_evidence(tracked, task, EVIDENCE)
    scheduler.mark_dirty(tracked)


def bind(emulator, job, worker):
    """Bind the first task of a long-running job to a worker by a late start."""
    emulator.scheduler.late_starts.add(
        TaskId(job, 0, 0, 0), WorkerId(worker), VmId(f"vm-{worker}"), emulator.now, True
    )


@dataclass(frozen=True)
class Row:
    """A long-running job that is submitted while suspects wait."""

    label: str
    spec: JobSpec = SERVING
    workers: int = 2
    # Workers that a large task fills.
    full_workers: int = 1
    is_suspected: bool = False
    bound_to: str | None = None
    # Short tasks arrive all the time.
    is_busy: bool = False
    started_by: float = 2.0


ROWS = [
    Row("room beside a suspect"),
    Row("room beside two suspects", workers=4, full_workers=2),
    Row("suspected", is_suspected=True),
    Row("suspected, room beside two", workers=4, full_workers=2, is_suspected=True),
    Row("bound", bound_to="w1"),
    Row("bound, suspected, busy", workers=3, full_workers=0, is_suspected=True,
        bound_to="w1", is_busy=True, started_by=4.0),
    Row("bound, one on each worker, busy", spec=SPREAD, workers=3, full_workers=0,
        bound_to="w1", is_busy=True, started_by=4.0),
    Row("bound, one on each worker, suspected", spec=SPREAD, workers=3, full_workers=0,
        bound_to="w1", is_suspected=True, started_by=4.0),
]  # fmt: skip


def run_for(emulator, seconds, is_busy):
    end = emulator.now + seconds
    while emulator.now < end:
        if is_busy:
            emulator.submit(SHORT)
        emulator.run(0.3)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.label)
def test_long_running_tasks_start_beside_suspects(row):
    emulator = Emulator(1, worker_count=row.workers)
    for _ in range(row.full_workers):
        emulator.submit(LARGE)
    run_for(emulator, 1.0, row.is_busy)
    suspect(emulator, emulator.submit(SUSPECTS))
    run_for(emulator, 0.6, row.is_busy)
    job = emulator.submit(row.spec)
    if row.bound_to is not None:
        bind(emulator, job, row.bound_to)
    if row.is_suspected:
        suspect(emulator, job)
    run_for(emulator, row.started_by, row.is_busy)
    tasks = list(emulator.oracle.tasks_of(job))
    assert all(emulator.workers_running(task) for task in tasks)
    if row.bound_to is not None:
        assert emulator.workers_running(tasks[0]) == [row.bound_to]


def test_suspects_go_on_beside_long_running_tasks():
    """Long-running tasks that come first do not keep suspects from starting."""
    emulator = Emulator(1, worker_count=2)
    suspects = emulator.submit(SUSPECTS)
    suspect(emulator, suspects)
    emulator.oracle.long_running_seconds = 1.0
    for _ in range(3):
        emulator.submit(SERVING)
    emulator.run(60.0)
    tasks = emulator.oracle.tasks_of(suspects)
    started = [task for task in tasks if task in emulator.oracle.tasks]
    assert len(started) >= SUSPECTS.steps[0].count / 2
