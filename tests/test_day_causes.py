"""Causes of the users' days beside a change of leadership: crashes, shrinking workers.

Guards against a task that crashes its workers without limit since the leader that gave
it is lost with each of them, and against starts beyond a capacity that shrinks while
the load bursts and the leader changes.
"""

import random

import pytest

from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState
from standins.crashing_tasks import CrashingTasks
from standins.emulator import Emulator, Faults

SEEDS = range(20)
WORKERS = 6
RECOVERY_SECONDS = 40.0
# What the settings of the platform give: heartbeats, and ContactMs with a margin.
HEARTBEAT_SECONDS = 1.5
MAX_ENTRY_AGE_SECONDS = 4.0
CAPACITY = Resources(8000, 8000, 0)


def short_spec(count):
    return JobSpec("text", (StepSpec(count, Resources(1500, 500), 800),))


def serving_spec():
    step = StepSpec(3, Resources(1000, 500), long_running=True, max_per_worker=2)
    return JobSpec("text", (step,))


def shrinking_emulator(seed, faults):
    return Emulator(
        seed, WORKERS, faults, heartbeat_seconds=HEARTBEAT_SECONDS,
        max_entry_age_seconds=MAX_ENTRY_AGE_SECONDS,
    )  # fmt: skip


def lose_leader_at_crashes(crashing, rng, gap):
    """Lose the leader at each crash, for up to ``gap`` s."""
    emulator = crashing.emulator
    crash_worker = crashing.crash_worker

    def crash_and_lose_leader(worker):
        crash_worker(worker)
        emulator.kill_leader()
        emulator.run_later(rng.uniform(0.05, gap), emulator.elect_leader)

    crashing.crash_worker = crash_and_lose_leader


# The oracle raises BUDGET for the third start after three crashes, like the platform.
# A new leader adopts the lost runs without the answers to their starts, so its evidence
# is weaker and four crashes are needed rather than two.
@pytest.mark.parametrize("gap", [0.1, 1.5, 6.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_crash_limit_holds_when_each_crash_loses_the_leader(seed, gap):
    rng = random.Random(seed)
    emulator = Emulator(seed, WORKERS)
    crashing = CrashingTasks(emulator, new_id_rate=rng.choice([0.0, 0.5, 1.0]))
    lose_leader_at_crashes(crashing, rng, gap)
    sound, faulty = [emulator.submit(serving_spec())], []
    for number in range(20):
        job = emulator.submit(short_spec(rng.randint(1, 6)))
        if number % 10 == 5:
            crashing.mark(job)
            faulty.append(job)
        else:
            sound.append(job)
        crashing.run(rng.uniform(0.1, 0.5))
    crashing.run(RECOVERY_SECONDS)
    assert all(emulator.state(job) is JobState.FAILED for job in faulty)
    assert emulator.state(sound[0]) is JobState.RUNNING
    assert all(emulator.state(job) is JobState.COMPLETED for job in sound[1:])


def shrink(emulator, rng):
    """Shrink half of the workers; return their names."""
    names = rng.sample(list(emulator.workers), len(emulator.workers) // 2)
    share = rng.choice([0.25, 0.4, 0.55])
    capacity = Resources(int(8000 * share), int(8000 * share), 0)
    for name in names:
        emulator.resize_worker(name, capacity)
    return names


def submit_for(emulator, rng, seconds, rate):
    """Submit ``rate`` jobs a second at the mean; return them."""
    jobs = []
    end = emulator.now + seconds
    while emulator.now < end:
        jobs.append(emulator.submit(short_spec(rng.randint(1, 6))))
        emulator.run(rng.uniform(0.0, 2 / rate))
    return jobs


def play_shrinking_burst(emulator, rng, outage_seconds, max_gap):
    """Let workers shrink beside a burst and the leader be lost; return the jobs.

    The store is down from just before the workers shrink, for ``outage_seconds``. The
    next leader is elected ``max_gap`` seconds after the loss at most.
    """
    jobs = submit_for(emulator, rng, 3.0, 2)
    emulator.store_up = not outage_seconds
    jobs += submit_for(emulator, rng, 0.5, 8)
    shrunk = shrink(emulator, rng)
    jobs += submit_for(emulator, rng, outage_seconds or rng.uniform(0.1, 5.0), 8)
    emulator.kill_leader()
    emulator.store_up = True
    emulator.run(rng.uniform(0.0, max_gap))
    emulator.elect_leader()
    jobs += submit_for(emulator, rng, 6.0, 8)
    for name in shrunk:
        emulator.resize_worker(name, CAPACITY)
    emulator.run(RECOVERY_SECONDS)
    return jobs


@pytest.mark.parametrize("seed", SEEDS)
def test_burst_respects_shrunk_capacities_when_the_leader_is_lost(seed):
    rng = random.Random(seed)
    emulator = shrinking_emulator(seed, Faults(lost_answer_rate=rng.choice([0, 0.1])))
    jobs = play_shrinking_burst(emulator, rng, outage_seconds=0.0, max_gap=1.5)
    assert all(emulator.state(job) is JobState.COMPLETED for job in jobs)


# A new leader reads entries that are as old as the outage, up to a heartbeat after the
# store is back. On the platform it starts to plan 0.2 s after that.
@pytest.mark.parametrize("seed", SEEDS)
def test_burst_respects_capacities_shrunk_in_an_outage_that_ends_a_term(seed):
    rng = random.Random(seed)
    emulator = shrinking_emulator(seed, Faults())
    outage_seconds = rng.uniform(5.0, 8.0)
    jobs = play_shrinking_burst(emulator, rng, outage_seconds, max_gap=0.2)
    assert all(emulator.state(job) is JobState.COMPLETED for job in jobs)
