"""Moves and waves.

Guards against pools that keep VMs which a surging pool needs, waves that take both VMs
of a pool with long-running tasks, and moves at the start of a term.
"""

from dataclasses import replace

import pytest

from ebonyhub.fleet.changes import (
    LONG_RUNNING_RESERVED_SHARE,
    TARGET_HOLD_SECONDS,
    ChangePhase,
)
from ebonyhub.fleet.demand import (
    ARRIVAL_WINDOW_SECONDS,
    SHORT_WINDOW_MIN_ARRIVALS,
    ArrivalMeter,
    Demand,
)
from ebonyhub.fleet.model import FleetLoad, Vm, VmLoad, VmState, Wave
from ebonyhub.fleet.planner import (
    DRAIN_TIMEOUT_SECONDS,
    PARKING_DELAY_SECONDS,
    FleetPlanner,
)
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


def test_standby_vms_go_where_the_demand_is():
    planner = planner_with((3, 3, 3))
    planner.plan({PoolName("a"): Demand(running_cores=45.0)}, 0.0)
    assert moves(planner) == [("spare", "a"), ("spare", "a")]


def test_reserve_is_lent_to_a_present_demand():
    planner = planner_with((3, 3, 0))
    planner.plan({PoolName("a"): Demand(running_cores=60.0)}, 0.0)
    assert moves(planner) == [("b", "a")]


def test_pool_keeps_what_it_needs():
    planner = planner_with((3, 3, 0))
    busy = Demand(running_cores=25.0)
    planner.plan({PoolName("a"): Demand(running_cores=60.0), PoolName("b"): busy}, 0.0)
    assert moves(planner) == []


def test_idle_vms_are_parked_after_the_start_of_a_term():
    planner = planner_with((6, 3, 0))
    planner.plan({}, PARKING_DELAY_SECONDS - 0.1)
    assert moves(planner) == []
    planner.plan({}, PARKING_DELAY_SECONDS + 0.1)
    assert moves(planner) == [("a", "spare")] * 3


def test_recent_demand_keeps_vms():
    planner = planner_with((6, 3, 0))
    planner.plan({PoolName("a"): Demand(running_cores=52.0)}, PARKING_DELAY_SECONDS)
    planner.plan({}, PARKING_DELAY_SECONDS + TARGET_HOLD_SECONDS - 0.1)
    assert moves(planner) == []
    planner.plan({}, PARKING_DELAY_SECONDS + TARGET_HOLD_SECONDS + 0.1)
    assert moves(planner) != []


def test_vms_with_long_running_tasks_stay():
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


def test_move_waits_for_an_empty_vm_and_is_given_up():
    planner = planner_with((3, 3, 0))
    planner.fleet_load = FleetLoad({name: VmLoad(1.0, 1) for name in planner.vms})
    demand = {PoolName("a"): Demand(running_cores=60.0)}
    assert planner.plan(demand, 0.0) == []
    assert ("b", "a") in moves(planner)
    planner.plan({}, DRAIN_TIMEOUT_SECONDS + 0.1)
    assert ("b", "a") not in moves(planner)


def test_empty_vm_is_ordered_once():
    planner = planner_with((3, 3, 0))
    demand = {PoolName("a"): Demand(running_cores=60.0)}
    ordered = planner.plan(demand, 0.0)
    assert [change.phase for change in ordered] == [ChangePhase.ORDERED]
    assert planner.plan(demand, 0.2) == []


def wave(vms, limit=2, duration=60.0):
    return Wave(WaveId(1), tuple(VmId(name) for name in vms), duration, limit)


def test_wave_keeps_its_limit():
    planner = planner_with((3, 3, 3))
    planner.add_wave(wave([f"m{n}" for n in range(9)]), 0.0)
    planner.plan({}, 0.0)
    assert len(planner.changes) == 2
    assert {planner.vms[name].pool for name in planner.changes} == {"spare"}


def test_wave_leaves_long_running_tasks_a_home():
    """Both VMs of a pool went at once, so its long-running tasks had none."""
    planner = planner_with((2, 2, 0))
    planner.fleet_load = FleetLoad(
        {VmId(f"m{n}"): VmLoad(4.0, 1, 1, 4.0) for n in range(2)}
    )
    planner.add_wave(wave(["m0", "m1"], duration=1.0), 0.0)
    planner.plan({}, 0.0)
    assert len(planner.changes) == 1


def test_wave_in_a_hurry_takes_busy_vms():
    planner = planner_with((2, 2, 0))
    demand = {PoolName("a"): Demand(running_cores=15.0)}
    planner.add_wave(wave(["m0"], duration=60.0), 0.0)
    planner.plan(demand, 0.0)
    assert not planner.changes
    planner.plan(demand, 59.0)
    assert VmId("m0") in planner.changes


def test_wave_is_finished_once_every_vm_has_begun_or_is_gone():
    planner = planner_with((2, 2, 2))
    planner.add_wave(wave(["m4", "m5", "absent"]), 0.0)
    assert planner.finished_waves() == []
    for change in planner.plan({}, 0.0):
        planner.mark_accepted(change, 0.1)
    assert len(planner.finished_waves()) == 1


@pytest.mark.parametrize(
    ("demand", "cores"),
    [
        (Demand(long_running_cores=4.0), 4.0),
        (Demand(running_cores=5.0, waiting_cores=2.0), 7.0),
        (Demand(arriving_cores=10.0, previous_arriving_cores=10.0), 0.0),
    ],
)
def test_demand_is_what_tasks_can_use_at_once(demand, cores):
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


def test_many_arrivals_show_a_surge_sooner():
    """A pool of a large fleet began to grow a second after its surge."""
    rates = []
    for count in (SHORT_WINDOW_MIN_ARRIVALS - 1, SHORT_WINDOW_MIN_ARRIVALS):
        meter = ArrivalMeter()
        for number in range(count):
            meter.add(10.0 + number / 100, 5.0)
        rates.append(meter.rates(10.4)[0] / count)
    assert rates[1] > rates[0] * 1.5


def test_tasks_that_must_not_share_a_worker_get_their_vms():
    """Guards against lasting tasks that wait although VMs are parked."""
    planner = planner_with((1, 1, 8))
    planner.plan({PoolName("a"): Demand(long_running_cores=5.0, min_vms=5)}, 0.0)
    assert moves(planner) == [("spare", "a")] * 4 + [("spare", "b")] * 2


def test_refused_upkeep_leaves_its_place_to_another_vm():
    """Guards against a wave that a crashed VM holds up."""
    planner = planner_with((3, 3, 3))
    planner.add_wave(Wave(WaveId(1), (VmId("m6"), VmId("m7")), 20.0, 1), 0.0)
    (change,) = planner.plan({}, 0.0)
    planner.mark_refused(change, "busy", False, 0.1)
    (other,) = planner.plan({}, 0.2)
    assert (change.vm, other.vm) == ("m6", "m7")
    planner.mark_accepted(other, 0.2)
    assert planner.plan({}, 0.3) == []
    planner.update_vms(list(planner.vms.values()), 3.0)
    (again,) = planner.plan({}, 3.0)
    assert again.vm == "m6"


def test_refused_upkeep_is_no_longer_an_order():
    """Guards against a successor that lets a VM keep a place which another one has."""
    planner = planner_with((3, 3, 3))
    planner.add_wave(Wave(WaveId(1), (VmId("m6"), VmId("m7")), 20.0, 1), 0.0)
    (change,) = planner.plan({}, 0.0)
    state = planner.waves[WaveId(1)]
    assert state.ordered == {"m6"}
    planner.mark_refused(change, "busy", False, 0.1)
    assert state.ordered == set()


def test_resumed_upkeep_waits_for_a_place():
    """Guards against more VMs down than the limit after a take-over."""
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
    """Guards against a VM that counts as on its way for ever."""
    planner = planner_with((0, 2, 1))
    (change,) = planner.plan({PoolName("a"): Demand(running_cores=15.0)}, 0.0)[:1]
    planner.mark_accepted(change, 0.0)
    planner.update_vms(list(planner.vms.values()), 5.0)
    assert change.vm in planner.changes
    planner.update_vms(list(planner.vms.values()), 6.5)
    assert change.vm not in planner.changes


def test_serving_vms_do_not_wait_for_the_end_of_a_wave():
    """They were planned last, and their tasks left one by one beyond its time."""
    planner = planner_with((2, 2, 0))
    planner.fleet_load = FleetLoad({VmId("m0"): VmLoad(4.0, 1, 1, 4.0)})
    planner.add_wave(wave(["m0"], duration=60.0), 0.0)
    demands = {PoolName("a"): Demand(long_running_cores=15.0)}
    planner.plan(demands, 0.0)
    assert planner.changes == {}
    planner.plan(demands, 60.0 * (1 - LONG_RUNNING_RESERVED_SHARE) + 0.1)
    assert [c.vm for c in planner.changes.values() if c.wave == 1] == ["m0"]
