"""Shedding in replays of a recorded day, against a bound that no order can exceed.

Guards against capacity spent on jobs that end too late, against accepted jobs without
use, and against refusals while a worker has room. The limits are the targets of
docs/design/workspaces-and-overload.md, section 6, not what was measured. Combinations
that miss a target are in KNOWN-RED.txt.
"""

import random
from functools import cache
from itertools import combinations as subsets_of

import pytest
from absl import logging

from bench.clairvoyant_bound import SLOT_SECONDS, WindowedWork, windows_of, worth_bound
from bench.entry_fleet import MAX_REPEATS, NewFleet
from bench.shedding import (
    COMBINATIONS,
    MAX_WITHOUT_USE_SHARE,
    MIN_RATIO,
    SILENCE,
    Combination,
    main,
    play_new,
)
from ebonyhub.ids import QueueName
from ebonyhub.jobs.model import Resources, StepSpec
from standins.recorded_jobs import RecordedJob, RecordedStep

IDS = [combination.test_id for combination in COMBINATIONS]


@cache
def play(combination):
    logging.set_verbosity(logging.FATAL)
    return play_new(combination)


@pytest.mark.parametrize("combination", COMBINATIONS, ids=IDS)
def test_reached_share_of_the_bound(combination):
    assert play(combination).ratio >= MIN_RATIO


@pytest.mark.parametrize("combination", COMBINATIONS, ids=IDS)
def test_accepted_jobs_are_of_use(combination):
    assert play(combination).without_use_share <= MAX_WITHOUT_USE_SHARE


@pytest.mark.parametrize("combination", COMBINATIONS, ids=IDS)
def test_no_job_is_refused_while_a_worker_has_room(combination):
    assert play(combination).refused_with_room == 0


@pytest.mark.parametrize("combination", COMBINATIONS, ids=IDS)
def test_reached_worth_is_below_the_bound(combination):
    """A bound that a replay exceeds would be wrong, and its ratios worth nothing."""
    result = play(combination)
    assert result.reached <= result.bound_with_moves + 1e-9
    assert result.reached <= result.bound + 1e-9
    assert result.refusals <= (result.refused + result.accepted) * (MAX_REPEATS + 1)


def fits(works, capacity):
    """Serve the earliest deadline first in every slot; an independent check."""
    left = [work.core_seconds for work in works]
    for slot, cores in enumerate(capacity):
        begins, ends = slot * SLOT_SECONDS, (slot + 1) * SLOT_SECONDS
        room = cores * SLOT_SECONDS
        order = sorted(range(len(works)), key=lambda n: works[n].ends)
        for n in order:
            if works[n].begins <= begins + 1e-9 and ends <= works[n].ends + 1e-9:
                served = min(left[n], room)
                left[n] -= served
                room -= served
    return max(left, default=0.0) < 1e-6


@pytest.mark.parametrize("seed", range(20))
def test_bound_is_above_every_set_of_jobs_that_fits(seed):
    rng = random.Random(seed)
    capacity = [float(rng.randint(0, 4)) for _ in range(12)]
    works = []
    for _ in range(7):
        first = rng.randrange(11)
        last = rng.randint(first + 1, 12)
        works.append(
            WindowedWork(
                first * SLOT_SECONDS, last * SLOT_SECONDS,
                rng.uniform(0.05, 1.0), rng.uniform(0.1, 2.0),
            )
        )  # fmt: skip
    best = max(
        sum(work.worth for work in chosen)
        for size in range(len(works) + 1)
        for chosen in subsets_of(works, size)
        if fits(chosen, capacity)
    )
    bound = worth_bound(works, capacity)
    assert best <= bound + 1e-6
    assert bound <= sum(work.worth for work in works) + 1e-9


def test_bound_of_one_job_is_its_share_that_fits():
    work = WindowedWork(0.0, 1.0, 10.0, 3.0)
    assert worth_bound([work], [5.0] * 10) == pytest.approx(1.5)
    assert worth_bound([work], [20.0] * 10) == pytest.approx(3.0)


def test_windows_of_steps_leave_time_for_the_others():
    steps = (
        RecordedStep(StepSpec(1, Resources(1000), 1000), (1000,)),
        RecordedStep(StepSpec(2, Resources(1000), 1000, (0,)), (500, 1000)),
    )
    job = RecordedJob(0.0, QueueName("q"), steps)
    first, second = windows_of(job, 10.0, 3.0, 1.0)
    assert (first.begins, first.ends) == (10.0, 12.0)
    assert (second.begins, second.ends) == (11.0, 13.0)
    assert first.worth + second.worth == pytest.approx(1.0)
    assert windows_of(job, 10.0, 1.9, 1.0) == []


def test_silent_workers_are_listed_and_do_not_respond():
    """The replay must play what the old admission got wrong, not a rack outage."""
    logging.set_verbosity(logging.FATAL)
    fleet = NewFleet(Combination(1.0, half=True).day(), {})
    while fleet.now < 104.0:
        fleet.now = round(fleet.now + 0.02, 6)
        fleet._step()
    fleet._silence(SILENCE)
    silent = [w for w in fleet.workers.values() if w.vm in fleet.silent_vms]
    assert len(fleet.silent_vms) == len(fleet.vms) // 2
    assert silent
    while fleet.now < 107.0:
        fleet.now = round(fleet.now + 0.02, 6)
        fleet._step()
    for fake in silent:
        assert fleet.vms[fake.vm].worker == fake.worker or fake.worker not in (
            fleet.workers
        )
        worker = fleet.scheduler.workers.get(fake.worker)
        assert worker is None or not fleet.scheduler.is_responsive(worker, fleet.now)


def test_command_prints_a_row_for_each_admission(capsys):
    assert main(["--load", "1.0", "--new"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [line.split("  ")[0].strip() for line in lines[1:]] == [
        "1, all", "1, half",
    ]  # fmt: skip
