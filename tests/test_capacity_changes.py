"""Workers whose capacity shrinks and grows while they run.

Guards against starts that exceed a capacity which has shrunk: after an outage of the
store that hid the change, and for tasks planned before it.
"""

import random

import pytest

from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState
from standins.emulator import Emulator, Faults

SEEDS = range(40)
HEARTBEAT_SECONDS = 1.5
# What the settings of the platform give: ContactMs, a heartbeat and a margin.
MAX_ENTRY_AGE_SECONDS = 4.0
RECOVERY_SECONDS = 30.0
CAPACITY = Resources(8000, 8000, 0)


def random_spec(rng):
    demand = Resources(rng.choice([1000, 2500, 4000]), rng.choice([500, 2000]))
    return JobSpec("text", (StepSpec(rng.randint(1, 6), demand, 800),))


def resize(emulator, rng):
    share = rng.choice([0.25, 0.5, 0.75, 1.0])
    capacity = Resources(int(8000 * share), int(8000 * share), 0)
    emulator.resize_worker(rng.choice(list(emulator.workers)), capacity)


def disturb(emulator, rng):
    """Change capacities, at times while the store is down."""
    outage = rng.random() < 0.5
    emulator.store_up = not outage
    emulator.run(rng.uniform(0.0, 0.5))
    for _ in range(rng.randint(1, 3)):
        resize(emulator, rng)
    if outage:
        emulator.run(rng.uniform(1.0, 8.0))
        emulator.store_up = True


@pytest.mark.parametrize("seed", SEEDS)
def test_starts_respect_a_capacity_that_has_shrunk(seed):
    rng = random.Random(seed)
    faults = Faults(
        lost_answer_rate=rng.choice([0.0, 0.1]), failed_commit_rate=rng.choice([0, 0.2])
    )
    emulator = Emulator(
        seed, 4, faults, heartbeat_seconds=HEARTBEAT_SECONDS,
        max_entry_age_seconds=MAX_ENTRY_AGE_SECONDS,
    )  # fmt: skip
    jobs = []
    for _ in range(60):
        jobs.append(emulator.submit(random_spec(rng)))
        emulator.run(rng.uniform(0.1, 0.8))
        if rng.random() < 0.2:
            disturb(emulator, rng)
    emulator.faults = Faults()
    emulator.store_up = True
    for name in emulator.workers:
        emulator.resize_worker(name, CAPACITY)
    emulator.run(RECOVERY_SECONDS)
    assert all(emulator.state(job) is JobState.COMPLETED for job in jobs)
