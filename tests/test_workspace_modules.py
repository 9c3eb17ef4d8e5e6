"""Tables for the pure modules of limits, rates and shares of workspaces.

Guards against starts beyond a limit, against jobs that take or lose entitlement by the
order in which a new leader loads them, and against shares that do not add up.
"""

import random
from math import inf

import pytest

from ebonyhub.configuration import Queue
from ebonyhub.events import Event
from ebonyhub.ids import JobId, QueueName, ServiceName, TaskId, WorkerId, WorkspaceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState, ProgressRecord
from ebonyhub.scheduling.priority import Rank, Urgency, order_key, urgency
from ebonyhub.scheduling.runs import Job
from ebonyhub.scheduling.workspaces.limits import Room, tasks_allowed
from ebonyhub.scheduling.workspaces.notices import QUIET_SECONDS, Notices
from ebonyhub.scheduling.workspaces.rates import RateMeter
from ebonyhub.scheduling.workspaces.shares import (
    Claim,
    dominant_share,
    fair_level,
    is_below,
    tasks_below_share,
)
from ebonyhub.scheduling.workspaces.status import Standing
from ebonyhub.scheduling.workspaces.usage import UsageLedger

A, B = WorkspaceName("a"), WorkspaceName("b")
SERVICE = ServiceName("s")


@pytest.mark.parametrize(
    ("used", "limit", "demand", "wanted", "allowed"),
    [
        # No limit.
        (Resources(9000), Resources(), Resources(1000), 5, 5),
        (Resources(2000), Resources(5000), Resources(1000), 5, 3),
        (Resources(2500), Resources(5000), Resources(1000), 5, 2),
        (Resources(5000), Resources(5000), Resources(1000), 5, 0),
        # The scarcest resource decides; a resource without a limit does not count.
        (Resources(0, 10, 1), Resources(9000, 40, 2), Resources(1000, 10, 1), 9, 1),
        (Resources(0, 900, 0), Resources(9000, 0, 2), Resources(1000, 10, 0), 9, 9),
        # A task that needs none of a resource may start when that is used up.
        (Resources(0, 0, 2), Resources(9000, 0, 2), Resources(1000), 4, 4),
        # The limit was lowered: nothing starts, whatever it needs.
        (Resources(0, 0, 3), Resources(9000, 0, 2), Resources(1000), 4, 0),
        # A task that alone exceeds the limit.
        (Resources(), Resources(5000), Resources(6000), 3, 1),
        (Resources(100), Resources(5000), Resources(6000), 3, 0),
        (Resources(0, 1, 0), Resources(5000), Resources(6000), 3, 0),
    ],
)
def test_tasks_allowed(used, limit, demand, wanted, allowed):
    assert tasks_allowed(used, limit, demand, wanted) == allowed
    room = Room(used, limit)
    assert room.holds(demand) == (allowed > 0)
    assert room.take(demand, wanted) == allowed


def test_room_agrees_with_tasks_allowed_after_each_take():
    """Planning skips jobs by the room, so too little room would starve a workspace."""
    rng = random.Random(1)
    for _ in range(2000):
        limit = Resources(*(rng.choice((0, 5, 9)) for _ in range(3)))
        used = Resources(*(rng.choice((0, 0, 2, 7)) for _ in range(3)))
        room = Room(used, limit)
        for _ in range(4):
            demand = Resources(*(rng.choice((0, 1, 3, 6)) for _ in range(3)))
            wanted = rng.randint(1, 4)
            allowed = tasks_allowed(used, limit, demand, wanted)
            assert room.holds(demand) == (allowed > 0)
            assert room.take(demand, wanted) == allowed
            for _ in range(allowed):
                used = used + demand


def run_key(number, run=1, worker="w"):
    return (WorkerId(worker), TaskId(JobId(f"j{number}"), 0, 0, 0), run)


def test_ledger_counts_each_run_once():
    ledger = UsageLedger()
    for _ in range(2):
        ledger.add(run_key(1), SERVICE, A, Resources(1000, 10))
    ledger.add(run_key(1, run=2), SERVICE, A, Resources(1000, 10))
    ledger.add(run_key(1, worker="v"), ServiceName("t"), A, Resources(500))
    assert ledger.used(A) == Resources(2500, 20)
    assert ledger.used_in(SERVICE, A) == Resources(2000, 20)
    assert ledger.run_count(A) == 3
    for _ in range(2):
        ledger.remove(run_key(1))
    assert ledger.used(A) == Resources(1500, 10)
    assert ledger.workspaces() == [A]


def test_runs_of_a_job_that_becomes_known_count_for_its_workspace():
    ledger = UsageLedger()
    ledger.add(run_key(1), SERVICE, None, Resources(1000))
    ledger.add(run_key(2), SERVICE, None, Resources(500))
    assert ledger.used(A) == Resources()
    ledger.attribute(JobId("j1"), A)
    assert ledger.used(A) == Resources(1000)
    ledger.remove(run_key(1))
    ledger.remove(run_key(2))
    assert ledger.used(A) == ledger.used(WorkspaceName("")) == Resources()


def test_what_unknown_runs_may_use_is_held_until_it_is_released():
    ledger = UsageLedger()
    for _ in range(2):
        ledger.hold(JobId("j"), A, Resources(2000))
    assert ledger.used(A) == Resources(2000)
    assert ledger.holds_any
    ledger.release_held()
    assert ledger.used(A) == Resources()
    assert not ledger.holds_any


def accepted(number, at, workspace=A):
    return AcceptedJob(
        JobId(f"{number}"), QueueName("q"), SERVICE, 3, int(at * 1000),
        JobSpec("t", (StepSpec(1, Resources(1)),)), workspace,
    )  # fmt: skip


def over_rate(meter, jobs):
    for job in jobs:
        meter.add(job)
    return [int(job.job) for job in jobs if meter.is_over(job.job)]


def test_bucket_holds_the_jobs_of_its_window():
    """2 jobs per second for 5 s: 10 at once, then 2 per second."""
    meter = RateMeter(5.0, lambda _: 2.0)
    assert over_rate(meter, [accepted(n, 100.0) for n in range(12)]) == [10, 11]
    late = [accepted(n, 101.0) for n in range(20, 24)]
    assert over_rate(meter, late) == [22, 23]
    other = [accepted(n, 101.0, B) for n in range(30, 40)]
    assert over_rate(meter, other) == []


def test_small_weight_is_entitled_to_a_job_now_and_then():
    meter = RateMeter(5.0, lambda _: 0.1)
    jobs = [accepted(0, 100.0), accepted(1, 105.0), accepted(2, 110.0)]
    assert over_rate(meter, jobs) == [1]


def test_weight_of_zero_is_entitled_to_nothing():
    assert over_rate(RateMeter(5.0, lambda _: 0.0), [accepted(0, 100.0)]) == [0]


def test_new_leader_finds_the_same_jobs_within_the_rate():
    """It loads the jobs by their ids, not as they were accepted."""
    rng = random.Random(1)
    at, jobs = 100.0, []
    for number in range(300):
        at += rng.expovariate(3.0)
        jobs.append(accepted(number, at))
    meter = RateMeter(5.0, lambda _: 2.0)
    first = []
    for job in jobs:
        first += over_rate(meter, [job])
    assert first
    shuffled = rng.sample(jobs, len(jobs))
    again = over_rate(RateMeter(5.0, lambda _: 2.0), shuffled)
    assert sorted(again) == first


def test_clock_that_steps_back_gives_no_tokens():
    meter = RateMeter(1.0, lambda _: 2.0)
    assert over_rate(meter, [accepted(0, 100.0), accepted(1, 100.0)]) == []
    assert over_rate(meter, [accepted(2, 50.0), accepted(3, 100.0)]) == [2, 3]
    assert over_rate(meter, [accepted(4, 100.5)]) == []


CAPACITY = Resources(10_000, 1000, 0)


@pytest.mark.parametrize(
    ("claims", "reserved", "level"),
    [
        ([], Resources(), inf),
        ([(1, Resources(4000)), (1, Resources(6000))], Resources(), inf),
        ([(1, Resources(9000)), (1, Resources(9000))], Resources(), 0.5),
        # What one does not need goes to the others.
        ([(1, Resources(2000)), (1, Resources(9000))], Resources(), 0.8),
        ([(3, Resources(90_000)), (1, Resources(90_000))], Resources(), 0.25),
        # Runs without a workspace come first.
        ([(1, Resources(9000)), (1, Resources(9000))], Resources(2000), 0.4),
        # Dominant resources: CPU of one, memory of the other.
        ([(1, Resources(9000, 100)), (1, Resources(1000, 900))], Resources(), inf),
        (
            [(1, Resources(90_000, 1000)), (1, Resources(10_000, 9000))],
            Resources(),
            0.9,
        ),
        # Without weight, no share.
        ([(0, Resources(9000)), (1, Resources(9000))], Resources(), inf),
        # A resource that the service lacks does not count.
        ([(1, Resources(9000, 0, 4)), (1, Resources(9000))], Resources(), 0.5),
    ],
)
def test_fair_level(claims, reserved, level):
    found = fair_level([Claim(w, demand) for w, demand in claims], CAPACITY, reserved)
    assert found == pytest.approx(level)


def test_fair_level_is_the_largest_that_fits():
    """Compared with a search: the sum fits at the level and not beyond it."""
    rng = random.Random(2)
    for _ in range(300):
        claims = [
            Claim(
                rng.choice((0.5, 1, 4)),
                Resources(rng.randrange(9000), rng.randrange(900), 0),
            )
            for _ in range(rng.randint(1, 5))
        ]
        level = fair_level(claims, CAPACITY, Resources())
        if level == inf:
            assert all(part <= 1 + 1e-9 for part in use_at(claims, 1e9))
        else:
            assert max(use_at(claims, level)) == pytest.approx(1.0)
            assert max(use_at(claims, level * 1.01)) > 1.0


def use_at(claims, level):
    totals = [0.0, 0.0]
    for claim in claims:
        dominant = dominant_share(claim.demand, CAPACITY)
        part = min(1.0, claim.weight * level / dominant) if dominant else 0.0
        totals[0] += part * claim.demand.cpu / CAPACITY.cpu
        totals[1] += part * claim.demand.memory / CAPACITY.memory
    return totals


@pytest.mark.parametrize(
    ("used", "share", "tasks"),
    [
        (Resources(), 0.5, 5),
        (Resources(4500), 0.5, 1),
        (Resources(5000), 0.5, 0),
        (Resources(0, 600), 0.5, 0),
        (Resources(0, 0, 9), 0.5, 5),
        (Resources(), 0.0, 0),
        (Resources(), 1.0, 8),
    ],
)
def test_tasks_below_share(used, share, tasks):
    demand = Resources(1000, 10)
    assert tasks_below_share(used, share, demand, CAPACITY, 8) == tasks
    assert is_below(used, share, CAPACITY) == (tasks > 0)


KEYS = [
    (Urgency(Rank.LONG_RUNNING, 5, False, 0.0), Standing.OVER_RATE, 9),
    (Urgency(Rank.IN_TIME, 0, False, 9.0), Standing.WITHIN_SHARE, 0),
    (Urgency(Rank.IN_TIME, 0, True, 9.0), Standing.WITHIN_SHARE, 0),
    (Urgency(Rank.IN_TIME, 0, False, 1.0), Standing.LENT, 1),
    (Urgency(Rank.IN_TIME, 0, False, 0.0), Standing.LENT, 2),
    (Urgency(Rank.IN_TIME, 1, False, 0.0), Standing.WITHIN_SHARE, 0),
    (Urgency(Rank.LATE, 0, False, 0.0), Standing.WITHIN_SHARE, 0),
    (Urgency(Rank.LATE, 0, False, 0.0), Standing.LENT, 0),
    (Urgency(Rank.IN_TIME, 0, False, 0.0), Standing.OVER_RATE, 0),
    (Urgency(Rank.IN_TIME, 0, False, 0.0), Standing.OVER_RATE, 1),
    (Urgency(Rank.LATE, 0, False, 0.0), Standing.OVER_RATE, 0),
]


def test_order_of_jobs_of_several_workspaces():
    """Long-running; within the rate; rank; queue; share; priority of the workspace."""
    assert sorted(KEYS, key=lambda item: order_key(*item)) == KEYS


def test_order_is_unchanged_if_all_are_within_their_share():
    queue = Queue(
        QueueName("q"), "h", "/q/", SERVICE, 0, 3, stretch=2.0, target_seconds=0.5,
        timeout_seconds=3.0,
    )  # fmt: skip
    rng = random.Random(3)
    jobs = []
    for number in range(200):
        step = StepSpec(
            rng.randint(1, 9), Resources(1000), 1000, long_running=rng.random() < 0.1
        )
        record = AcceptedJob(
            JobId(str(number)), queue.name, SERVICE, 3, 0, JobSpec("t", (step,))
        )
        state = rng.choice((JobState.QUEUED, JobState.RUNNING))
        progress = ProgressRecord(state=state)
        jobs.append(Job(record, progress, queue.name, SERVICE, -rng.uniform(0, 9)))
    for oversubscribed in (False, True):
        found = [urgency(job, queue, 0.0, oversubscribed) for job in jobs]
        by_key = sorted(found, key=lambda u: u.key)
        within = Standing.WITHIN_SHARE
        assert sorted(found, key=lambda u: order_key(u, within, 7)) == by_key


def test_a_state_is_logged_at_its_begin_and_end_only():
    notices = Notices()
    signs = {Event.WORKSPACE_AT_LIMIT: {A}}
    assert notices.update(signs, 0.0) == [(Event.WORKSPACE_AT_LIMIT, A)]
    assert notices.update(signs, 1.0) == []
    assert notices.update({}, QUIET_SECONDS) == []
    ended = [(Event.WORKSPACE_BELOW_LIMIT, A)]
    assert notices.update({}, 1.0 + QUIET_SECONDS) == ended
    assert notices.update({}, 99.0) == []
