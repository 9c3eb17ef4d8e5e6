"""Stateful fuzzing of planned interruptions of serving tasks.

Guards against maintenance and evictions that together exceed a step's limit of
unavailable tasks: after a store outage in which the workers' entries expired, around a
change of leadership, and while calls to workers and the cloud are lost or late.
"""

import random

import pytest

from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from standins.emulated_fleet import EmulatedFleet
from standins.emulator import Emulator, Faults

SEEDS = range(60)
WORKERS = 8
RECOVERY_SECONDS = 40.0
# Seconds after the end of a store outage within which expired entries are restored.
RETURN_SECONDS = 2.0


def serving_spec(rng):
    count = rng.randint(2, 5)
    step = StepSpec(
        count, Resources(1500, 500, 0), long_running=True,
        max_per_worker=rng.choice([1, 2]), max_unavailable=1,
    )  # fmt: skip
    return JobSpec("text", (step,))


def expire_entries(fleet, rng):
    """Stop the store until the workers' entries expire; then often kill the leader."""
    emulator = fleet.emulator
    emulator.store_up = False
    fleet.run(rng.uniform(1.0, 4.0))
    for worker in emulator.workers.values():
        worker.registered = False
    fleet.run(rng.uniform(0.5, 2.0))
    emulator.store_up = True
    if rng.random() < 0.8:
        emulator.kill_leader()
        fleet.run(rng.uniform(0.1, 1.0))
        emulator.elect_leader()
    names = list(emulator.workers)
    rng.shuffle(names)
    for name in names:
        emulator.workers[name].registered = emulator.workers[name].up
        fleet.run(rng.uniform(0.0, RETURN_SECONDS / len(names)))


def disturb(fleet, rng):
    emulator = fleet.emulator
    name = rng.choice(list(emulator.workers))
    match rng.randrange(6):
        case 0 | 1:
            expire_entries(fleet, rng)
        case 2:
            emulator.elect_leader()
        case 3:
            emulator.kill_leader()
        case 4:
            emulator.workers[name].partitioned = not emulator.workers[name].partitioned
        case 5:
            emulator.store_up = not emulator.store_up


@pytest.mark.parametrize("seed", SEEDS)
def test_no_step_exceeds_its_limit_of_unavailable_tasks(seed):
    rng = random.Random(seed)
    faults = Faults(
        lost_answer_rate=rng.choice([0.0, 0.1]), late_order_rate=rng.choice([0.0, 0.1])
    )
    emulator = Emulator(seed, worker_count=WORKERS, faults=faults)
    fleet = EmulatedFleet(emulator, limit=rng.randint(1, 3), duration=25.0)
    for _ in range(rng.randint(1, 3)):
        emulator.submit(serving_spec(rng))
    fleet.run(rng.uniform(2.0, 4.0))
    for _ in range(8):
        fleet.run(rng.uniform(0.1, 3.0))
        disturb(fleet, rng)
        if emulator.scheduler is None and rng.random() < 0.7:
            emulator.elect_leader()
    emulator.faults = Faults()
    emulator.store_up = True
    for worker in emulator.workers.values():
        worker.partitioned = False
        worker.registered = worker.up
    if emulator.scheduler is None:
        emulator.elect_leader()
    fleet.run(RECOVERY_SECONDS)
    assert fleet.maintained_vms == set(fleet.vms)
