"""The platform's HTTP clients against the stand-ins, on loopback.

Guards against misread answers: a refusal read as an unknown outcome, a conflict as an
error, or a fenced order as a failed one.
"""

import asyncio
import time

import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.metadata_store import StoreFailure, Transaction, Write
from ebonyhub.fleet.model import VmState
from ebonyhub.ids import (
    EntryId,
    JobId,
    LeaderToken,
    PoolName,
    Revision,
    TaskId,
    VmId,
    WaveId,
    WorkerId,
)
from ebonyhub.metrics import Metrics
from ebonyhub.platform.cloud import AdvisorClient, CloudClient, CloudFailure
from ebonyhub.platform.store import PlatformStore
from ebonyhub.platform.workers import WorkerClient
from ebonyhub.scheduling.model import OrderFailure, RunOutcome, StartOrder
from ebonyhub.servers import run_server
from ebonyhub.settings import Listener
from standins.cloud_server import CHANGE_DURATION_SECONDS, AdvisorServer, CloudServer
from standins.job_platform import StoreServer, WorkerServer
from standins.memory_store import StoreCore
from standins.network import claim_network

PORT = 8600
TASK = TaskId(JobId("0123456789abcdef"), 0, 0, 0)


class ServedStandin:
    """Runs the server of one stand-in for the duration of a test."""

    def __init__(self):
        self.network = claim_network()
        self.listener = Listener(self.network.address(0, 1), PORT)
        self.address = f"{self.listener.address}:{PORT}"
        self.metrics = Metrics(CollectorRegistry())
        self.tasks = []

    async def start(self, standin):
        self.standin = standin
        self.tasks.append(asyncio.create_task(run_server(standin.server)))
        while not standin.server.started:
            await asyncio.sleep(0.005)
        return standin

    async def stop(self):
        self.standin.server.should_exit = self.standin.server.force_exit = True
        await asyncio.wait(self.tasks, timeout=5)
        self.network.close()


@pytest.fixture
async def served():
    holder = ServedStandin()
    yield holder
    await holder.stop()


async def test_store_calls(served):
    core = StoreCore(time.monotonic)
    standin = await served.start(StoreServer(core, served.listener))
    store = PlatformStore(served.address, SystemClock(), served.metrics)
    assert (await store.get("eb/x")).ok is None
    first = (
        await store.commit(Transaction({"eb/x": Revision(0)}, (Write("eb/x", b"1"),)))
    ).ok
    assert (await store.get("eb/x")).ok.value == b"1"
    failed = (
        await store.commit(Transaction({"eb/x": Revision(0)}, (Write("eb/x", b"2"),)))
    ).error
    assert failed.kind is StoreFailure.CONFLICT
    assert failed.current["eb/x"].revision == first
    batch = (await store.list("eb/")).ok
    assert [item.key for item in batch.items] == ["eb/x"]
    watching = asyncio.create_task(store.watch("eb/", batch.revision, 5.0))
    await store.commit(Transaction({}, removals=("eb/x",)))
    event = (await watching).ok.items[0]
    assert (event.key, event.value) == ("eb/x", None)
    core.compact_history()
    assert (await store.watch("eb/", first, 0.0)).error is StoreFailure.COMPACTED
    lease = (await store.grant_lease(5.0)).ok
    assert (await store.renew_lease(lease)).is_ok()
    assert (await store.end_lease(lease)).is_ok()
    assert (await store.renew_lease(lease)).error is StoreFailure.LEASE_ENDED
    bound = Transaction({}, (Write("eb/y", b"", lease),))
    assert (await store.commit(bound)).error.kind is StoreFailure.LEASE_ENDED
    assert not store.failing
    standin.down = True
    assert (await store.get("eb/x")).error is StoreFailure.REFUSED
    assert store.failing
    standin.down = False
    assert (await store.get("eb/x")).is_ok()
    assert not store.failing


async def test_refused_store_connection_means_that_nothing_was_done():
    network = claim_network()
    address = f"{network.address(0, 7)}:{PORT}"
    store = PlatformStore(address, SystemClock(), Metrics(CollectorRegistry()))
    result = await store.commit(Transaction({}, (Write("a", b""),)))
    assert result.error.kind is StoreFailure.REFUSED
    network.close()


async def test_worker_orders(served):
    core = StoreCore(time.monotonic)
    standin = await served.start(WorkerServer("w", "plans", served.listener, core))
    living = asyncio.create_task(standin.advance_clock())
    client = WorkerClient(WorkerId("w"), served.address, SystemClock())
    token = LeaderToken(5)
    report = (await client.poll(token, 0, None, 0.0)).ok
    later = report.clock_ms + 5000
    order = StartOrder(TASK, 1, "100", later, token)
    assert (await client.start(order)).is_ok()
    assert (await client.start(order)).is_ok()
    ended = (await client.poll(token, 0, later, 2.0)).ok.ended
    assert [(end.task, end.number, end.outcome) for end in ended] == [
        (TASK, 1, RunOutcome.DONE)
    ]
    assert (await client.poll(token, ended[0].sequence, later, 0.0)).ok.ended == ()
    assert (await client.start(order)).error is OrderFailure.OLD_RUN
    stale = StartOrder(TASK, 2, "100", report.clock_ms - 1, token)
    assert (await client.start(stale)).error is OrderFailure.LATE
    old = LeaderToken(4)
    assert (await client.poll(old, 0, None, 0.0)).error is OrderFailure.FENCED
    assert await client.stop(TASK, 3, old) is OrderFailure.FENCED
    assert await client.stop(TASK, 3, token) is None
    living.cancel()
    client.close()


async def test_first_poll_of_a_connection_acknowledges_nothing(served):
    """A restarted worker dropped ended tasks that were not stored yet.

    The acknowledged number came from the previous process of the worker.
    """
    core = StoreCore(time.monotonic)
    standin = await served.start(WorkerServer("w", "plans", served.listener, core))
    for number in (1, 2):
        client = WorkerClient(WorkerId("w"), served.address, SystemClock())
        await client.poll(LeaderToken(number), 99, None, 0.0)
        assert standin.fake.acknowledged_sequence == 0
        client.close()


async def test_unreadable_report_of_a_connection_lets_nothing_be_acknowledged(served):
    """The worker may be a restarted process, whose ended tasks would be forgotten.

    The second poll of a connection acknowledged the number of the previous process,
    although the first answer on it could not be read.
    """
    core = StoreCore(time.monotonic)
    standin = await served.start(WorkerServer("w", "plans", served.listener, core))
    client = WorkerClient(WorkerId("w"), served.address, SystemClock())
    standin.odd_report = b"[]"
    assert (await client.poll(LeaderToken(1), 57, None, 0.0)).is_error()
    standin.odd_report = None
    assert (await client.poll(LeaderToken(1), 57, None, 0.0)).is_ok()
    assert standin.fake.acknowledged_sequence == 0
    assert (await client.poll(LeaderToken(1), 57, None, 0.0)).is_ok()
    assert standin.fake.acknowledged_sequence == 57
    client.close()


async def test_cloud_calls(served):
    pools = {"m1": "a", "m2": "a", "m3": "b"}
    await served.start(CloudServer(served.listener, pools))
    cloud = CloudClient(served.address, EntryId("e"), SystemClock(), served.metrics)
    vms = (await cloud.list_vms()).ok.vms
    assert [(vm.vm_id, vm.pool, vm.state) for vm in vms] == [
        (VmId(name), PoolName(pool), VmState.UP) for name, pool in pools.items()
    ]
    token = LeaderToken(7)
    assert (await cloud.move_vm(VmId("m1"), PoolName("b"), token)).is_ok()
    assert (await cloud.move_vm(VmId("m1"), PoolName("b"), token)).is_ok()
    busy = await cloud.start_maintenance(VmId("m1"), WaveId(1), token)
    assert busy.error is CloudFailure.BUSY
    await asyncio.sleep(CHANGE_DURATION_SECONDS * 1.5)
    assert (await cloud.start_maintenance(VmId("m1"), WaveId(1), token)).is_ok()
    fenced = await cloud.move_vm(VmId("m1"), PoolName("a"), LeaderToken(6))
    assert fenced.error is CloudFailure.FENCED
    unknown = await cloud.move_vm(VmId("zz"), PoolName("a"), token)
    assert unknown.error is CloudFailure.INVALID


async def test_advisor_returns_tickets_of_workers(served):
    await served.start(AdvisorServer(served.listener, 0.01))
    advisor = AdvisorClient(served.address, SystemClock(), served.metrics)
    workers = [WorkerId("w1"), WorkerId("w2")]
    tickets = (await advisor.advise(JobId("j"), 0, 1, workers, 0.1)).ok
    assert tickets == {WorkerId("w2"): "j.0.1-w2"}


class FrozenClock(SystemClock):
    """A clock that jumps ahead, as after a freeze of the VM."""

    ahead = 0.0

    def monotonic(self):
        return super().monotonic() + self.ahead


async def test_poll_on_a_new_connection_after_a_freeze_acknowledges_nothing(served):
    """The idle connection has expired, and the worker may have restarted meanwhile."""
    core = StoreCore(time.monotonic)
    standin = WorkerServer("w1", "s", served.listener, core)
    await served.start(standin)
    clock = FrozenClock()
    client = WorkerClient(WorkerId("w1"), served.address, clock)
    assert (await client.poll(LeaderToken(1), 0, None, 0.0)).is_ok()
    clock.ahead = 3600.0
    assert (await client.poll(LeaderToken(1), 57, None, 0.0)).is_ok()
    assert standin.fake.acknowledged_sequence == 0
    client.close()
