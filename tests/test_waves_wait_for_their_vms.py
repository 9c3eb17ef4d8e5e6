"""Waves whose VMs the cloud does not list when the wave is received.

Guards against a wave that is said to be completed although a VM of it stays and has not
begun its maintenance: the list was older than the wave or left the VM out, the VM came
later, or the operator added it to the wave.
"""

from dataclasses import dataclass, field, replace
from math import inf

import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.leadership import LEADER_KEY, Term
from ebonyhub.fleet.controller import (
    IDLE_LIST_INTERVAL_SECONDS,
    WAVE_PROGRESS_PREFIX,
    FleetController,
)
from ebonyhub.fleet.model import (
    VM_LIST_LAG_SECONDS,
    FleetLoad,
    Vm,
    VmListing,
    VmState,
    Wave,
)
from ebonyhub.ids import (
    LeaderToken,
    PoolName,
    RackId,
    StoreLease,
    VmId,
    WaveId,
    WorkerId,
)
from ebonyhub.jobs.model import Resources
from ebonyhub.metrics import Metrics
from ebonyhub.platform.cloud import CloudFailure
from ebonyhub.rejections import Rejections
from standins.memory_store import MemoryStore, StoreCore

STEP_SECONDS = 0.1
POOL = PoolName("p")
DURATION_SECONDS = 20.0


class FakeClock:
    def __init__(self):
        self.now = 100.0
        # Difference of the time of day between machines, in seconds.
        self.offset = 0.0

    def monotonic(self):
        return self.now

    def wall(self):
        return self.now + self.offset


@dataclass
class Cloud:
    """Lists VMs and carries out maintenance at once."""

    clock: FakeClock
    listed: set[str] = field(default_factory=set)
    maintained: list[str] = field(default_factory=list)
    # VMs that the next lists leave out, and whether lists have a row without a name.
    hidden: set[str] = field(default_factory=set)
    complete: bool = True
    # Called while a list is being read, after its rows have been collected.
    during_list: list = field(default_factory=list)
    # Outcomes of the next requests, None for success.
    outcomes: list = field(default_factory=list)
    lists: int = 0
    refuses_lists: bool = False

    async def list_vms(self):
        self.lists += 1
        if self.refuses_lists:
            return Error(CloudFailure.REFUSED)
        vms = [
            Vm(
                VmId(name), POOL, VmState.UP, "z", RackId("r"),
                Resources(8000, 1), WorkerId(f"w-{name}"),
            )
            for name in sorted(self.listed - self.hidden)
        ]  # fmt: skip
        while self.during_list:
            self.during_list.pop(0)()
        return Ok(VmListing(vms, self.complete))

    async def start_maintenance(self, vm, wave, token):
        if vm not in self.listed:
            return Error(CloudFailure.INVALID)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome is not CloudFailure.REFUSED and vm not in self.maintained:
            self.maintained.append(vm)
        return Ok(None) if outcome is None else Error(outcome)

    async def move_vm(self, vm, pool, token):
        return Error(CloudFailure.INVALID)


class Fleet:
    """Terms of leaders over one store and one cloud."""

    def __init__(self, vms=("a", "b")):
        self.clock = FakeClock()
        self.core = StoreCore(self.clock.monotonic)
        self.cloud = Cloud(self.clock, set(vms))
        self.waves = {}
        self.completed_at = {}
        self.began = False

    async def start(self):
        await self.take_over()
        await self.run(1.0)
        return self

    async def take_over(self):
        self.core.put(LEADER_KEY, b"x")
        term = Term(LeaderToken(self.core.revision), StoreLease(1), inf)
        self.controller = FleetController(
            term, MemoryStore(self.core), self.cloud, self.clock, FleetLoad, dict,
            lambda vms: None, lambda vms, requested_at: None, lambda: False,
            Rejections(Metrics(CollectorRegistry())),
        )  # fmt: skip
        self.controller.planner.pool_names = {POOL}
        self.controller.planner.standby_pools = {POOL}
        for wave in self.waves.values():
            self.controller.add_wave(wave)
        await self.controller._load_wave_progress()

    def request(self, *vms, number=1, seconds=DURATION_SECONDS):
        names = tuple(VmId(name) for name in vms)
        self.waves[number] = Wave(WaveId(number), names, seconds, 4)
        self.controller.add_wave(self.waves[number])

    def status(self, number=1):
        item = self.core.items.get(f"status/wave/{number}")
        return msgspec.json.decode(item.value)["State"] if item else None

    def statuses(self, number=1):
        """Return the states of a wave that operators could read, in order."""
        key = f"status/wave/{number}"
        values = [item.value for item in self.core.history if item.key == key]
        return [msgspec.json.decode(value)["State"] for value in values]

    async def run(self, seconds):
        """Plan for some seconds; no wave may be completed while its VM waits."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += STEP_SECONDS
            await self.controller._plan_once()
            for task in list(self.controller.request_tasks):
                await task
            for number, wave in self.waves.items():
                if self.status(number) == "completed" and number not in (
                    self.completed_at
                ):
                    self.completed_at[number] = self.clock.now
                    staying = self.cloud.listed.intersection(wave.vms)
                    assert staying <= set(self.cloud.maintained)


@pytest.mark.parametrize("listed_after", [-5.0, -0.2, 0.0, 0.3, 3.0, 15.0])
@pytest.mark.parametrize("others", [(), ("a",), ("a", "b")])
async def test_wave_waits_for_a_vm_that_is_added_around_its_request(
    listed_after, others
):
    fleet = await Fleet().start()
    if listed_after <= 0:
        fleet.cloud.listed.add("new")
        await fleet.run(-listed_after)
    fleet.request(*others, "new")
    if listed_after > 0:
        await fleet.run(listed_after)
        assert fleet.status() == "running"
        fleet.cloud.listed.add("new")
    await fleet.run(8.0)
    assert set(fleet.cloud.maintained) == {*others, "new"}
    assert fleet.status() == "completed"


async def test_list_that_is_read_while_the_wave_arrives_shows_no_absence():
    fleet = await Fleet().start()
    await fleet.run(IDLE_LIST_INTERVAL_SECONDS)
    fleet.cloud.during_list.append(lambda: fleet.cloud.listed.add("new"))
    fleet.cloud.during_list.append(lambda: fleet.request("new"))
    await fleet.run(IDLE_LIST_INTERVAL_SECONDS + 0.3)
    assert fleet.cloud.maintained == ["new"]


@pytest.mark.parametrize("left", ["long ago", "just now", "after the request"])
@pytest.mark.parametrize("take_over", [False, True])
async def test_wave_of_a_vm_that_has_left_for_good_ends(left, take_over):
    fleet = await Fleet().start()
    if left == "after the request":
        fleet.cloud.outcomes = [CloudFailure.REFUSED] * 3
        fleet.request("b")
        await fleet.run(0.2)
    fleet.cloud.listed.discard("b")
    if left == "long ago":
        await fleet.run(10.0)
    if left != "after the request":
        fleet.request("b")
        await fleet.run(0.2)
        # A list from before has shown that the VM is gone for long.
        assert fleet.status() == ("completed" if left == "long ago" else "running")
    if take_over:
        await fleet.take_over()
    await fleet.run(2 * (IDLE_LIST_INTERVAL_SECONDS + VM_LIST_LAG_SECONDS))
    assert fleet.status() == "completed"
    assert fleet.cloud.maintained == []


@pytest.mark.parametrize("flaw", ["hidden", "nameless"])
async def test_flawed_list_does_not_end_a_wave(flaw):
    fleet = await Fleet().start()
    fleet.cloud.hidden = {"b"}
    fleet.cloud.complete = flaw == "hidden"
    await fleet.run(IDLE_LIST_INTERVAL_SECONDS)
    fleet.request("b")
    await fleet.run(0.3 if flaw == "hidden" else 30.0)
    assert fleet.status() == "running"
    fleet.cloud.hidden, fleet.cloud.complete = set(), True
    await fleet.run(4.0)
    assert fleet.cloud.maintained == ["b"]


@pytest.mark.parametrize("offset", [0.0, -2.0, 2.0])
@pytest.mark.parametrize("take_overs", [0, 1, 3])
async def test_wave_of_a_vm_that_never_comes_ends_when_it_is_due(take_overs, offset):
    fleet = await Fleet().start()
    began = fleet.clock.now
    fleet.request("a", "typo")
    for _ in range(take_overs):
        await fleet.run(5.0)
        fleet.clock.offset = offset
        await fleet.take_over()
    await fleet.run(40.0)
    assert fleet.cloud.maintained == ["a"]
    late = fleet.completed_at[1] - began - DURATION_SECONDS
    assert -2.5 <= late <= 2.0 + IDLE_LIST_INTERVAL_SECONDS + 0.5


@pytest.mark.parametrize("take_over", [False, True])
async def test_vm_that_comes_after_its_wave_was_completed_is_maintained(take_over):
    fleet = await Fleet().start()
    fleet.request("a", "late", seconds=5.0)
    await fleet.run(12.0)
    assert fleet.status() == "completed"
    if take_over:
        await fleet.take_over()
    fleet.cloud.listed.add("late")
    await fleet.run(IDLE_LIST_INTERVAL_SECONDS + 2.0)
    assert fleet.cloud.maintained == ["a", "late"]
    assert fleet.statuses() == ["running", "completed"] * 2


@pytest.mark.parametrize("first", [("a",), ("a", "b")])
@pytest.mark.parametrize("completed", [False, True])
@pytest.mark.parametrize("take_over", [False, True])
async def test_vm_that_the_operator_adds_to_a_wave_is_maintained(
    first, completed, take_over
):
    fleet = await Fleet().start()
    fleet.request(*first)
    await fleet.run(2.0 if completed else STEP_SECONDS / 2)
    fleet.cloud.listed.add("new")
    fleet.request(*first, "new")
    if take_over:
        await fleet.take_over()
    await fleet.run(8.0)
    assert set(fleet.cloud.maintained) == {*first, "new"}
    assert fleet.status() == "completed"


async def test_wave_that_changes_while_its_completion_is_stored_goes_on():
    fleet = await Fleet().start()
    store = fleet.controller.store
    commit = store.commit

    async def commit_and_change(transaction):
        result = await commit(transaction)
        if any(b"completed" in write.value for write in transaction.writes):
            store.commit = commit
            fleet.cloud.listed.add("new")
            fleet.request("a", "new")
        return result

    store.commit = commit_and_change
    # The status is completed when the wave changes, which is allowed.
    fleet.completed_at[1] = fleet.clock.now
    fleet.request("a")
    await fleet.run(4.0)
    assert fleet.cloud.maintained == ["a", "new"]
    assert fleet.status() == "completed"


async def test_new_leader_does_not_store_a_completed_wave_again():
    fleet = await Fleet().start()
    fleet.request("a")
    await fleet.run(3.0)
    revision = fleet.core.items["status/wave/1"].revision
    await fleet.take_over()
    await fleet.run(3.0)
    assert fleet.core.items["status/wave/1"].revision == revision


async def test_wave_resumes_from_a_record_of_an_earlier_version():
    fleet = await Fleet(("a", "b", "c")).start()
    key = f"{WAVE_PROGRESS_PREFIX}1"
    fleet.core.put(key, msgspec.msgpack.encode([["a"], ["a", "b"]]))
    fleet.cloud.maintained = ["a"]
    names = tuple(VmId(name) for name in ("a", "b", "c"))
    fleet.waves[1] = Wave(WaveId(1), names, DURATION_SECONDS, 4)
    await fleet.take_over()
    await fleet.run(3.0)
    assert sorted(fleet.cloud.maintained) == ["a", "b", "c"]
    assert fleet.status() == "completed"


async def test_maintenance_is_not_requested_while_a_list_leaves_the_vm_out():
    """The VM counted as empty, whatever ran on it."""
    fleet = await Fleet().start()
    fleet.controller.read_loads = lambda: FleetLoad(reported_workers=frozenset())
    fleet.controller.planner.wave_planner.add(
        Wave(WaveId(1), (VmId("b"),), DURATION_SECONDS, 4), fleet.clock.now
    )
    fleet.controller.due_ms[WaveId(1)] = 1
    fleet.controller.planner.resume_wave(WaveId(1), set(), {VmId("b")}, fleet.clock.now)
    fleet.cloud.hidden = {"b"}
    fleet.controller.next_list_at = 0.0
    await fleet.run(1.0)
    assert fleet.cloud.maintained == []


@pytest.mark.parametrize(
    ("fields", "due_after"),
    [
        ({"max_down": 2}, DURATION_SECONDS),
        ({"duration_seconds": 5.0}, 10.0 + 5.0),
        ({"duration_seconds": 60.0}, 10.0 + 60.0),
    ],
)
async def test_changed_wave_is_due_by_its_new_duration(fields, due_after):
    fleet = await Fleet().start()
    began = fleet.clock.now
    fleet.request("typo")
    await fleet.run(10.0)
    fleet.waves[1] = replace(fleet.waves[1], **fields)
    fleet.controller.add_wave(fleet.waves[1])
    due_at = fleet.controller.planner.waves[WaveId(1)].due_at
    assert due_at - began == pytest.approx(due_after, abs=2 * STEP_SECONDS)


async def test_vm_that_returned_after_the_last_list_is_maintained():
    """The cloud refuses lists for some time, so that the old list stays."""
    fleet = await Fleet().start()
    fleet.cloud.listed.discard("b")
    await fleet.run(10.0)
    lists = fleet.cloud.lists
    while fleet.cloud.lists == lists:
        await fleet.run(STEP_SECONDS)
    fleet.cloud.listed.add("b")
    fleet.cloud.refuses_lists = True
    fleet.request("b")
    await fleet.run(5.0)
    fleet.cloud.refuses_lists = False
    await fleet.run(4.0)
    assert fleet.cloud.maintained == ["b"]
