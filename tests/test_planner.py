"""Moves of VMs between pools and maintenance waves.

Guards against pools that keep VMs needed by a pool in a surge, waves that take down
both VMs of a pool with long-running tasks, and moves at the start of a term.
"""

from dataclasses import replace

import pytest

from ebonyhub.fleet.changes import LONG_RUNNING_RESERVED_SHARE, ChangePhase
from ebonyhub.fleet.demand import (
    ARRIVAL_WINDOW_SECONDS,
    SHORT_WINDOW_MIN_ARRIVALS,
    ArrivalMeter,
    Demand,
)
from ebonyhub.fleet.model import FleetLoad, Vm, VmLoad, VmState, Wave
from ebonyhub.fleet.planner import (
    PARKING_DELAY_SECONDS,
    VM_DRAIN_TIMEOUT_SECONDS,
    FleetPlanner,
)
from ebonyhub.fleet.sizing import TARGET_HOLD_SECONDS
from ebonyhub.ids import PoolName, RackId, VmId, WaveId, WorkerId
from ebonyhub.jobs.model import Resources

POOLS = ("a", "b", "spare")


def vm(number, pool, state=VmState.UP):
    name = f"m{number}"
    return Vm(
        VmId(name), PoolName(pool), state, "z", RackId("r"), Resources(10_000, 1, 0),
        WorkerId(f"w-{name}"),
    )  # fmt: skip


def planner_with(sizes, now=0.0):
    """Return a planner with this number of VMs in each of the POOLS."""
    planner = FleetPlanner()
    planner.pool_names = {PoolName(name) for name in POOLS}
    planner.standby_pools = {PoolName("spare")}
    vms = []
    for pool, size in zip(POOLS, sizes, strict=True):
        vms += [vm(len(vms) + number, pool) for number in range(size)]
    planner.update_vms(vms, now)
    return planner


def moves(planner):
    return sorted(
        (planner.vms[change.vm].pool, change.pool)
        for change in planner.changes.values()
        if change.wave is None
    )


def test_standby_vms_move_to_the_pool_with_demand():
    planner = planner_with((3, 3, 3))
    planner.plan({PoolName("a"): Demand(running_cores=45.0)}, 0.0)
    assert moves(planner) == [("spare", "a"), ("spare", "a")]


def test_reserve_vm_moves_to_a_pool_with_demand():
    planner = planner_with((3, 3, 0))
    planner.plan({PoolName("a"): Demand(running_cores=60.0)}, 0.0)
    assert moves(planner) == [("b", "a")]


def test_pool_keeps_the_vms_that_its_demand_requires():
    planner = planner_with((3, 3, 0))
    busy = Demand(running_cores=25.0)
    planner.plan({PoolName("a"): Demand(running_cores=60.0), PoolName("b"): busy}, 0.0)
    assert moves(planner) == []


def test_idle_vms_are_parked_only_after_the_parking_delay():
    planner = planner_with((6, 3, 0))
    planner.plan({}, PARKING_DELAY_SECONDS - 0.1)
    assert moves(planner) == []
    planner.plan({}, PARKING_DELAY_SECONDS + 0.1)
    assert moves(planner) == [("a", "spare")] * 3


def test_pool_keeps_vms_for_recent_demand():
    planner = planner_with((6, 3, 0))
    planner.plan({PoolName("a"): Demand(running_cores=52.0)}, PARKING_DELAY_SECONDS)
    planner.plan({}, PARKING_DELAY_SECONDS + TARGET_HOLD_SECONDS - 0.1)
    assert moves(planner) == []
    planner.plan({}, PARKING_DELAY_SECONDS + TARGET_HOLD_SECONDS + 0.1)
    assert moves(planner) != []


def test_vms_with_long_running_tasks_are_not_moved():
    planner = planner_with((6, 3, 0))
    planner.fleet_load = FleetLoad(
        {
            name: VmLoad(5.0, 1, 1, 5.0)
            for name, item in planner.vms.items()
            if item.pool == "a"
        }
    )
    planner.plan({}, PARKING_DELAY_SECONDS + 1)
    assert moves(planner) == []


def test_move_waits_for_an_empty_vm_until_the_drain_timeout():
    planner = planner_with((3, 3, 0))
    planner.fleet_load = FleetLoad({name: VmLoad(1.0, 1) for name in planner.vms})
    demand = {PoolName("a"): Demand(running_cores=60.0)}
    assert planner.plan(demand, 0.0) == []
    assert ("b", "a") in moves(planner)
    planner.plan({}, VM_DRAIN_TIMEOUT_SECONDS + 0.1)
    assert ("b", "a") not in moves(planner)


def test_move_of_an_empty_vm_is_ordered_once():
    planner = planner_with((3, 3, 0))
    demand = {PoolName("a"): Demand(running_cores=60.0)}
    ordered = planner.plan(demand, 0.0)
    assert [change.phase for change in ordered] == [ChangePhase.ORDERED]
    assert planner.plan(demand, 0.2) == []


def wave(vms, limit=2, duration=60.0):
    return Wave(WaveId(1), tuple(VmId(name) for name in vms), duration, limit)


def test_wave_takes_standby_vms_first_up_to_its_limit():
    planner = planner_with((3, 3, 3))
    planner.add_wave(wave([f"m{n}" for n in range(9)]), 0.0)
    planner.plan({}, 0.0)
    assert len(planner.changes) == 2
    assert {planner.vms[name].pool for name in planner.changes} == {"spare"}


def test_wave_leaves_a_vm_for_long_running_tasks():
    """Guards against maintenance of both VMs of a pool at the same time."""
    planner = planner_with((2, 2, 0))
    planner.fleet_load = FleetLoad(
        {VmId(f"m{n}"): VmLoad(4.0, 1, 1, 4.0) for n in range(2)}
    )
    planner.add_wave(wave(["m0", "m1"], duration=1.0), 0.0)
    planner.plan({}, 0.0)
    assert len(planner.changes) == 1


def test_wave_behind_schedule_takes_vms_that_the_pool_needs():
    planner = planner_with((2, 2, 0))
    demand = {PoolName("a"): Demand(running_cores=15.0)}
    planner.add_wave(wave(["m0"], duration=60.0), 0.0)
    planner.plan(demand, 0.0)
    assert not planner.changes
    planner.plan(demand, 59.0)
    assert VmId("m0") in planner.changes


@pytest.mark.parametrize(
    ("demand", "cores"),
    [
        (Demand(long_running_cores=4.0), 4.0),
        (Demand(running_cores=5.0, waiting_cores=2.0), 7.0),
        (Demand(arriving_cores=10.0, previous_arriving_cores=10.0), 0.0),
    ],
)
def test_demand_counts_cores_that_tasks_can_use_at_once(demand, cores):
    assert demand.cores == cores


def test_rising_arrivals_raise_the_demand():
    assert Demand(arriving_cores=10.0, previous_arriving_cores=4.0).cores > 0


def test_arrivals_are_averaged_over_two_windows():
    meter = ArrivalMeter()
    meter.add(0.0, 3.0)
    meter.add(1.3 * ARRIVAL_WINDOW_SECONDS, 6.0)
    recent, before = meter.rates(1.6 * ARRIVAL_WINDOW_SECONDS)
    assert recent > before > 0
    assert meter.rates(20.0) == (0.0, 0.0)


def test_many_arrivals_raise_the_measured_rate_sooner():
    """Guards against a pool that grows only a second after the start of its surge."""
    rates = []
    for count in (SHORT_WINDOW_MIN_ARRIVALS - 1, SHORT_WINDOW_MIN_ARRIVALS):
        meter = ArrivalMeter()
        for number in range(count):
            meter.add(10.0 + number / 100, 5.0)
        rates.append(meter.rates(10.4)[0] / count)
    assert rates[1] > rates[0] * 1.5


def test_pool_gets_the_vms_that_a_limit_per_worker_requires():
    """Guards against long-running tasks that wait although VMs are parked."""
    planner = planner_with((1, 1, 8))
    planner.plan({PoolName("a"): Demand(long_running_cores=5.0, min_vms=5)}, 0.0)
    assert moves(planner) == [("spare", "a")] * 4 + [("spare", "b")] * 2


def test_refused_maintenance_lets_another_vm_go_first():
    """Guards against a crashed VM that counts towards the limit and blocks its wave."""
    planner = planner_with((3, 3, 3))
    planner.add_wave(Wave(WaveId(1), (VmId("m6"), VmId("m7")), 20.0, 1), 0.0)
    (change,) = planner.plan({}, 0.0)
    planner.mark_refused(change, "busy", False, 0.1)
    (other,) = planner.plan({}, 0.2)
    assert (change.vm, other.vm) == ("m6", "m7")
    planner.mark_accepted(other, 0.2)
    assert planner.plan({}, 0.3) == []
    planner.update_vms(list(planner.vms.values()), 3.0)
    (retried,) = planner.plan({}, 3.0)
    assert retried.vm == "m6"


def test_refused_maintenance_is_not_resumed():
    """Guards against a new leader that counts a refused VM towards the wave's limit."""
    planner = planner_with((3, 3, 3))
    planner.add_wave(Wave(WaveId(1), (VmId("m6"), VmId("m7")), 20.0, 1), 0.0)
    (change,) = planner.plan({}, 0.0)
    state = planner.waves[WaveId(1)]
    assert state.ordered == {"m6"}
    planner.mark_refused(change, "busy", False, 0.1)
    assert state.ordered == set()


def test_resumed_maintenance_keeps_to_the_limit():
    """Guards against more VMs down than the limit after a change of leader."""
    planner = planner_with((3, 3, 3))
    planner.add_wave(Wave(WaveId(1), (VmId("m6"), VmId("m7")), 20.0, 1), 0.0)
    down = [
        replace(vm, state=VmState.MAINTENANCE) if vm.vm_id == "m6" else vm
        for vm in planner.vms.values()
    ]
    planner.update_vms(down, 0.0)
    planner.resume_wave(WaveId(1), {VmId("m6")}, {VmId("m6"), VmId("m7")}, 0.0)
    assert planner.plan({}, 0.0) == []
    planner.update_vms([replace(vm, state=VmState.UP) for vm in down], 2.0)
    (change,) = planner.plan({}, 2.0)
    assert change.vm == "m7"


def test_vm_that_a_late_call_moved_elsewhere_is_used_again():
    """Guards against a move that never counts as complete."""
    planner = planner_with((0, 2, 1))
    (change,) = planner.plan({PoolName("a"): Demand(running_cores=15.0)}, 0.0)[:1]
    planner.mark_accepted(change, 0.0)
    planner.update_vms(list(planner.vms.values()), 5.0)
    assert change.vm in planner.changes
    planner.update_vms(list(planner.vms.values()), 6.5)
    assert change.vm not in planner.changes


def test_long_running_vms_do_not_wait_for_the_end_of_a_wave():
    """Guards against a wave that misses its due time.

    VMs with long-running tasks were taken last, and drained only task by task.
    """
    planner = planner_with((2, 2, 0))
    planner.fleet_load = FleetLoad({VmId("m0"): VmLoad(4.0, 1, 1, 4.0)})
    planner.add_wave(wave(["m0"], duration=60.0), 0.0)
    demands = {PoolName("a"): Demand(long_running_cores=15.0)}
    planner.plan(demands, 0.0)
    assert planner.changes == {}
    planner.plan(demands, 60.0 * (1 - LONG_RUNNING_RESERVED_SHARE) + 0.1)
    assert [c.vm for c in planner.changes.values() if c.wave == 1] == ["m0"]


def moved_vm(outcome_unknown=False):
    """Return a planner with a VM accepted to move from "spare" to "a", and the VM."""
    planner = planner_with((2, 3, 1))
    [change] = planner.plan({PoolName("a"): Demand(running_cores=25.0)}, 0.0)
    change.outcome_unknown = outcome_unknown
    planner.mark_accepted(change, 0.0)
    return planner, planner.vms[change.vm]


@pytest.mark.parametrize(
    ("pool", "worker", "outcome_unknown", "at", "arrives"),
    [
        ("a", "new", False, 1.5, True),
        # The worker from before the move registers again.
        ("a", "w-m5", False, 1.5, False),
        # A worker of an earlier life, in the old pool.
        ("spare", "new", False, 1.5, False),
        # The cloud may carry out the first request after the second.
        ("a", "new", True, 1.5, False),
        # A worker that started just before the change.
        ("a", "new", False, 0.3, False),
    ],
)
def test_new_worker_ends_the_move_of_its_vm(pool, worker, outcome_unknown, at, arrives):
    planner, moved = moved_vm(outcome_unknown)
    ended = planner.mark_arrived(moved.vm_id, PoolName(pool), WorkerId(worker), at)
    assert ended == arrives
    assert (moved.vm_id in planner.cordoned_vms()) != arrives
    # A list that still shows the VM as moving does not undo that.
    planner.update_vms(
        [
            replace(item, state=VmState.MOVING) if item.vm_id == moved.vm_id else item
            for item in planner.vms.values()
        ],
        1.6,
    )
    assert (planner.vms[moved.vm_id].state is VmState.UP) == arrives
    assert planner.pool_sizes()[PoolName("a")] == 3


def test_maintenance_right_after_a_move_counts_as_down():
    """The list must not be overridden by the arrival from before the maintenance."""
    planner, moved = moved_vm()
    planner.mark_arrived(moved.vm_id, PoolName("a"), WorkerId("new"), 1.5)
    busy = VmId("m0")
    planner.fleet_load = FleetLoad({busy: VmLoad(1.0, 1)})
    planner.add_wave(Wave(WaveId(1), (moved.vm_id, busy), 8.0, 1), 1.5)
    [change] = planner.plan({}, 1.6)
    assert change.vm == moved.vm_id
    planner.mark_accepted(change, 1.6)
    planner.fleet_load = FleetLoad()
    listed = [
        replace(item, state=VmState.MAINTENANCE) if name == change.vm else item
        for name, item in planner.vms.items()
    ]
    planner.update_vms(listed, 2.8)
    assert not planner.plan({}, 2.8)


@pytest.mark.parametrize(("cpu", "cores_per_vm"), [(10_000, 10.0), (4_000, 4.0)])
def test_pool_is_sized_by_the_present_capacity_of_its_workers(cpu, cores_per_vm):
    planner = planner_with((3, 3, 3))
    capacities = {vm_id: Resources(cpu, 1, 0) for vm_id in planner.vms}
    planner.fleet_load = FleetLoad(capacities=capacities)
    assert planner.cores_per_vm(PoolName("a")) == cores_per_vm
    planner.plan({PoolName("a"): Demand(waiting_cores=25.0)}, 1.0)
    arriving = planner.vms_on_way().get(PoolName("a"), 0)
    assert (arriving > 0) == (cpu < 10_000)
