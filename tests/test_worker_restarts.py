"""Tasks of a worker that restarts under its id, and calls for its former process."""

import pytest

from ebonyhub.ids import WorkerId
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from standins.emulator import Emulator

# A day, by which the clock of the next process differs from that of the former one.
DAY_MS = 86_400_000
LONG_TASK = JobSpec("text", (StepSpec(1, Resources(1000, 500, 0), 20_000),))


def restart(emulator: Emulator, name: WorkerId, clock_change_ms: int) -> None:
    """Restart a worker that was down for 0.6 s; its clock gets another origin."""
    emulator.crash_worker(name)
    emulator.run(0.6)
    emulator.restart_worker(name)
    emulator.workers[name].clock_offset_ms += clock_change_ms


@pytest.mark.parametrize("clock_change_ms", [-DAY_MS, DAY_MS])
def test_run_does_not_outlive_the_proof_that_its_worker_is_lost(clock_change_ms):
    """A poll named a lease end on the former process's clock, so the lease was longer.

    Its run went on when the leader started the task again.
    """
    emulator = Emulator(1, worker_count=2)
    for worker in emulator.workers.values():
        worker.clock_offset_ms += 2 * DAY_MS
    emulator.run(2.0)
    for name in emulator.workers:
        restart(emulator, name, clock_change_ms)
    job = emulator.submit(LONG_TASK)
    emulator.run(1.0)
    (name,) = [n for n, worker in emulator.workers.items() if worker.runs]
    emulator.workers[name].partitioned = True
    # The oracle raises GuaranteeViolation if a second run starts beside the first.
    emulator.run(15.0)
    assert any(
        task.job == job
        for other, worker in emulator.workers.items()
        for task in worker.runs
        if other != name
    )
