"""Admission and order of jobs where they are shed by cost.

Guards against jobs accepted that end too late, against refusals while a worker has
room, against cores of silent workers that count as capacity, against urgent or small
jobs refused for others, and against loads that a broken peer sends.
"""

from dataclasses import replace
from math import inf, log, nan

import msgpack
import pytest

from ebonyhub.cluster.peers import MessageKind
from ebonyhub.configuration import Queue
from ebonyhub.entry.process import PlatformEntry
from ebonyhub.ids import (
    JobId,
    QueueName,
    RackId,
    ServiceName,
    VmId,
    WorkerId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import ProgressRecord
from ebonyhub.scheduling.health import SlowdownAverage
from ebonyhub.scheduling.model import WorkerEntry
from ebonyhub.scheduling.overload import BacklogJob, build_forecast
from ebonyhub.scheduling.runs import Job, Worker
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.shedding.admission import (
    LOAD_MAX_AGE_SECONDS,
    AdmissionPolicy,
    candidate_of,
    refusal_seconds,
)
from ebonyhub.scheduling.shedding.leader import GRACE_SECONDS, LeaderShedding
from ebonyhub.scheduling.shedding.order import SheddingOrder
from ebonyhub.scheduling.shedding.service_load import (
    CPU_CLASSES,
    MAX_CLASSES,
    STARTED,
    BacklogClass,
    ServiceLoad,
    Work,
    decode_loads,
    encode_loads,
    size_class,
)
from ebonyhub.scheduling.state import RESPONSE_MAX_AGE_SECONDS
from ebonyhub.scheduling.worker_process import WorkerProcess
from ebonyhub.scheduling.workspaces.status import Standing

from .test_removed_jobs_stay_removed import SETTINGS

SERVICE = ServiceName("s")
# A job of one step of 1 s has an objective of 2 s.
QUEUE = Queue(
    QueueName("q"), "h", "/q/", SERVICE, 1, 3, stretch=1.0, target_seconds=1.0,
    timeout_seconds=3.0,
)  # fmt: skip
URGENT = replace(QUEUE, name=QueueName("urgent"), priority=0)
BUSY = WorkspaceName("busy")
NOW = 100.0


def spec(tasks, cpu=1000):
    return JobSpec("t", (StepSpec(tasks, Resources(cpu, 1), 1000),))


def load_of(*rows, cores=10.0, cpu=1000, **fields):
    """Return a load whose waiting tasks all need ``cpu``, so that none leaves room."""
    work = {BacklogClass(*row[:5]): Work(*row[5:]) for row in rows}
    waiting = [0.0] * len(CPU_CLASSES)
    waiting[CPU_CLASSES.index(cpu)] = sum(amount.waiting for amount in work.values())
    return ServiceLoad(cores, work, waiting_cores=tuple(waiting), **fields)


def small(core_seconds, priority=1, over_rate=False, late=False):
    """Return the waiting work of jobs of 4 core-seconds."""
    return (over_rate, late, priority, False, size_class(4.0), core_seconds)


@pytest.mark.parametrize(
    ("queue", "tasks", "over_rate", "load", "refused"),
    [
        (QUEUE, 4, False, load_of(small(5.0)), False),
        (QUEUE, 4, False, load_of(small(100.0)), True),
        (QUEUE, 4, False, load_of(small(100.0, late=True)), False),
        (QUEUE, 4, False, load_of((False, False, 1, False, STARTED, 100.0)), True),
        (QUEUE, 4, False, load_of((False, False, 1, False, 9, 100.0)), False),
        (URGENT, 4, False, load_of(small(100.0)), False),
        (QUEUE, 4, False, load_of(small(100.0, priority=0)), True),
        (QUEUE, 4, True, load_of(small(100.0, priority=9)), True),
        (QUEUE, 4, False, load_of(small(100.0, over_rate=True)), False),
        (QUEUE, 400, False, load_of(small(5.0)), True),
        (QUEUE, 4, False, load_of((*small(20.0), 16.0)), True),
        (QUEUE, 4, False, load_of(small(100.0), cores=0.0), False),
    ],
    ids=[
        "on time", "too late for use", "late jobs are served later",
        "started jobs are served first", "larger jobs are served later",
        "less urgent jobs are served later", "more urgent jobs are served first",
        "over the rate: after everybody within", "jobs over the rate are served later",
        "large jobs are refused first", "arriving jobs count", "unknown capacity",
    ],
)  # fmt: skip
def test_job_is_refused_if_it_would_end_too_late(
    queue, tasks, over_rate, load, refused
):
    job = candidate_of(queue, spec(tasks), over_rate)
    assert (refusal_seconds(job, load, 0.1) > 0.0) is refused


def test_retry_after_grows_with_the_backlog():
    job = candidate_of(QUEUE, spec(4), False)
    shorter = refusal_seconds(job, load_of(small(100.0)), 0.0)
    assert refusal_seconds(job, load_of(small(200.0)), 0.0) == pytest.approx(
        shorter + 10.0
    )


@pytest.mark.parametrize(
    ("load", "refused"),
    [
        (load_of(small(100.0)), True),
        (load_of(small(100.0), free_cpu=1000), False),
        (load_of(small(100.0), cpu=1250), False),
        (load_of(small(100.0), starting=200.0), False),
        (load_of(small(100.0), cores_on_way=100.0), False),
    ],
    ids=[
        "waiting tasks take what becomes free", "a worker has room",
        "waiting tasks may not fit where this one does",
        "the waiting tasks may have started", "an arriving VM may take all of them",
    ],
)  # fmt: skip
def test_job_is_refused_only_if_certainly_no_worker_has_room(load, refused):
    job = candidate_of(QUEUE, spec(4), False)
    assert (refusal_seconds(job, load, 0.0) > 0.0) is refused


def test_jobs_are_accepted_without_recent_loads():
    """The leader may be gone, and long-running and scheduled jobs are never refused."""
    policy = AdmissionPolicy()
    workspace = WorkspaceName("")
    assert policy.refusal_seconds(QUEUE, spec(4), workspace, NOW) == 0.0
    policy.update({SERVICE: load_of(small(500.0))}, NOW)
    assert policy.refusal_seconds(QUEUE, spec(4), workspace, NOW) > 0.0
    old = NOW + LOAD_MAX_AGE_SECONDS + 0.1
    assert policy.refusal_seconds(QUEUE, spec(4), workspace, old) == 0.0
    scheduled = JobSpec("t", spec(4).steps, 3)
    serving = JobSpec("t", (StepSpec(4, Resources(1000), long_running=True),))
    for always in (scheduled, serving):
        assert policy.refusal_seconds(QUEUE, always, workspace, NOW) == 0.0


def test_only_the_workspace_over_its_rate_is_refused():
    """Others must not notice that one workspace sends more than it is entitled to."""
    load = load_of(small(100.0, over_rate=True), over_rate=frozenset({BUSY}))
    policy = AdmissionPolicy()
    policy.update({SERVICE: load}, NOW)
    assert policy.refusal_seconds(QUEUE, spec(4), BUSY, NOW) > 0.0
    assert policy.refusal_seconds(QUEUE, spec(4), WorkspaceName("w"), NOW) == 0.0


def test_loads_survive_encoding():
    load = load_of(
        (*small(100.0), 3.0), small(5.0, over_rate=True),
        free_cpu=-200, starting=4.0, cores_on_way=2.0, over_rate=frozenset({BUSY}),
    )  # fmt: skip
    assert decode_loads(encode_loads({SERVICE: load})) == {SERVICE: load}
    assert encode_loads({SERVICE: load_of(small(1.0))}) == []


def test_message_stays_bounded_and_keeps_all_work():
    """Links have 5 Mbit/s; many priorities must not make the message large."""
    load = load_of(*(small(1.0, priority=n) for n in range(MAX_CLASSES + 50)))
    (row,) = encode_loads({SERVICE: load})
    assert len(row[2]) == MAX_CLASSES
    assert len(msgpack.packb(row)) < 16 * MAX_CLASSES
    decoded = decode_loads([row])[SERVICE]
    assert decoded.backlog == pytest.approx(load.backlog)


@pytest.mark.parametrize(
    ("position", "value"),
    [(1, nan), (1, -1.0), (1, inf), (2, [[1]]), (3, "x"), (4, [1.0]), (5, None),
     (7, ["x" * 300]), (0, 7)],
)  # fmt: skip
def test_invalid_loads_raise_one_error(position, value):
    row = list(encode_loads({SERVICE: load_of(small(100.0))})[0])
    row[position] = value
    with pytest.raises(ValueError):
        decode_loads([row])


def worker(name, draining=False):
    entry = WorkerEntry(
        worker=WorkerId(name), service=SERVICE, address="", zone="", labels=(),
        rack=RackId(""), capacity=Resources(8000, 8000), draining=draining,
        leaves_in=None, born_ms=1, vm=VmId(name),
    )  # fmt: skip
    process = WorkerProcess(1, fenced_at=NOW)
    return Worker(entry, process, entry_seen_at=NOW, last_response_at=NOW)


def job(name, tasks=4, age=0.0, workspace=""):
    accepted = AcceptedJob(
        JobId(name), QUEUE.name, SERVICE, 3, 0, spec(tasks), WorkspaceName(workspace)
    )
    job = Job(accepted, ProgressRecord(), QUEUE.name, SERVICE, NOW - age)
    job.pending = {(0, 0): set(range(tasks))}
    return job


def scheduler_with(workers=(), jobs=()):
    scheduler = Scheduler()
    scheduler.queues = {QUEUE.name: QUEUE}
    scheduler.workers = {worker.worker_id: worker for worker in workers}
    scheduler.active = {job.job_id: job for job in jobs}
    return scheduler


def test_only_workers_that_respond_and_take_tasks_count():
    """Cores of silent workers made entries accept twice what could be served."""
    silent, cordoned, quarantined, slow = (worker(n) for n in ("a", "b", "c", "d"))
    silent.last_response_at = NOW - RESPONSE_MAX_AGE_SECONDS - 0.1
    cordoned.cordoned = True
    quarantined.process.health.quarantine(NOW)
    scheduler = scheduler_with(
        [worker("ok"), worker("leaving", draining=True), silent, cordoned, quarantined],
        [job("j")],
    )
    assert scheduler.service_loads({}, NOW)[SERVICE].cores == 8.0
    slow.process.health.slowdown = SlowdownAverage(average=log(4.0), samples=9)
    scheduler.workers[slow.worker_id] = slow
    assert scheduler.service_loads({}, NOW)[SERVICE].cores == pytest.approx(8.0 + 2.0)


def test_vms_on_their_way_count_by_the_share_of_workers_that_respond():
    """Half of the VMs that arrived after a loss of contact responded as little."""
    silent = worker("silent")
    silent.last_response_at = None
    scheduler = scheduler_with([worker("ok"), silent])
    assert scheduler.expected_cores_on_way({SERVICE: 32.0}, NOW) == {SERVICE: 16.0}


class Busy:
    """Standings in which every job of one workspace is over its rate."""

    def standing(self, job):
        busy = job.accepted.workspace == BUSY
        return Standing.OVER_RATE if busy else Standing.WITHIN_SHARE


def test_new_leader_sends_nothing_until_workers_have_responded():
    """Entries would refuse nearly everything for cores that are not yet known."""
    scheduler = scheduler_with([worker("w")], [job("j", tasks=400)])
    shedding = LeaderShedding(scheduler)
    assert shedding.loads(NOW) == {}
    scheduler.workers[WorkerId("w")].last_response_at = NOW + GRACE_SECONDS
    assert shedding.loads(NOW + GRACE_SECONDS)[SERVICE].is_significant


def test_loads_name_workspaces_over_their_rate():
    scheduler = scheduler_with([worker("w")], [job("j", workspace=BUSY), job("k")])
    load = scheduler.service_loads({}, NOW, Busy())[SERVICE]
    assert load.over_rate == {BUSY}
    assert {key.over_rate for key in load.work} == {True, False}


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (job("small"), job("large", tasks=90)),
        (job("large, in time", tasks=90), job("small, late", age=3.0)),
        (job("of no use", age=90.0), job("over the rate", workspace=BUSY)),
    ],
    ids=lambda item: item.job_id,
)
def test_order_of_two_jobs_when_capacity_is_short(first, second):
    order = SheddingOrder(Busy())
    keys = [order(item, QUEUE, NOW, True).key for item in (first, second)]
    assert keys[0] < keys[1]


def test_least_slack_comes_first_while_capacity_suffices():
    small_job, large = job("small"), job("large", tasks=9, age=0.5)
    order = SheddingOrder()
    assert order(large, QUEUE, NOW, False).key < order(small_job, QUEUE, NOW, False).key


class LeaderController:
    """A controller with one service that is short of capacity."""

    def forecasts(self):
        return {SERVICE: build_forecast(10.0, [BacklogJob(4.0, 900.0, True)])}

    def service_loads(self):
        return {SERVICE: load_of(small(900.0))}


@pytest.mark.parametrize(
    ("sheds", "kind"),
    [(True, MessageKind.OVERLOAD), (False, MessageKind.FORECASTS)],
)
async def test_loads_are_sent_only_where_jobs_are_shed_by_cost(sheds, kind):
    """Deployments without the word in their contracts must not notice the change."""
    leader, follower = (
        PlatformEntry(replace(SETTINGS, sheds_by_cost=sheds), seed) for seed in (1, 2)
    )
    sent = []
    leader.leadership.controller = LeaderController()
    leader.leadership.peer_server.broadcast = sent.append
    leader.broadcast_forecasts()
    ((sent_kind, rows),) = sent
    assert sent_kind is kind
    handler = follower.on_peer_overload if sheds else follower.on_peer_forecasts
    handler(rows)
    for entry in (leader, follower):
        assert isinstance(entry.service.admission, AdmissionPolicy) is sheds
        seconds = entry.service.admission.refusal_seconds(
            QUEUE, spec(4), WorkspaceName(""), entry.clock.monotonic()
        )
        assert seconds > 0.0
