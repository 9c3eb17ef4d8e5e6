"""Stateful fuzzing of moves and maintenance waves against a cloud with faults.

Requests are refused, or carried out late after their answer was lost; VMs crash and
leaders change; new workers of VMs register before the VM list shows them. Guards
against more VMs down than the limit of a wave, a change of a VM that still runs tasks,
a VM in two pools, and a wave that never ends.
"""

import random
from dataclasses import replace

import pytest

from ebonyhub.fleet.demand import Demand
from ebonyhub.fleet.model import FleetLoad, Vm, VmLoad, VmState, Wave
from ebonyhub.fleet.planner import FleetPlanner
from ebonyhub.ids import PoolName, RackId, VmId, WaveId, WorkerId
from ebonyhub.jobs.model import Resources

SEEDS = range(40)
POOLS = [PoolName("a"), PoolName("b"), PoolName("c"), PoolName("spare")]
STEP_SECONDS = 0.1
MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 3.0
LIST_LAG_SECONDS = 0.4
CORES = 10


class Cloud:
    """Emulated cloud: VMs move, are in maintenance or crash, and come up again."""

    def __init__(self, rng, count):
        self.rng = rng
        self.vms = {}
        # Time at which each VM that is not up comes up again.
        self.up_at = {}
        self.maintained = set()
        self.loads = {}
        # VMs whose new worker has registered since they were last asked for.
        self.registered = []
        self.lives = 0
        # Highest leader token of the requests for each VM; lower ones are refused.
        self.tokens = {}
        for number in range(count):
            name = VmId(f"m{number}")
            self.vms[name] = Vm(
                name, rng.choice(POOLS), VmState.UP, "z", RackId(f"r{number // 4}"),
                Resources(CORES * 1000, 1, 0), WorkerId(f"w{number}"),
            )  # fmt: skip

    def advance(self, now):
        for name, up_at in list(self.up_at.items()):
            if now >= up_at:
                del self.up_at[name]
                self.lives += 1
                worker = WorkerId(f"w-{self.lives}")
                self.vms[name] = replace(
                    self.vms[name], state=VmState.UP, worker=worker
                )
                self.registered.append(name)

    def crash(self, name, now):
        if self.vms[name].state is VmState.UP:
            self._take_down(name, VmState.DOWN, now + self.rng.uniform(1, 5))

    def _take_down(self, name, state, up_at, pool=None):
        vm = self.vms[name]
        self.vms[name] = replace(vm, state=state, pool=pool or vm.pool)
        self.up_at[name] = up_at
        self.loads.pop(name, None)

    def carry_out(self, change, token, now):
        """Carry out a change unless it is fenced or the VM is down; return whether."""
        vm = self.vms[change.vm]
        if token < self.tokens.get(change.vm, 0):
            return False
        self.tokens[change.vm] = token
        if vm.state is not VmState.UP:
            return False
        if change.wave is not None:
            if change.vm not in self.maintained:
                self.maintained.add(change.vm)
                up_at = now + MAINTENANCE_SECONDS
                self._take_down(change.vm, VmState.MAINTENANCE, up_at)
        elif vm.pool != change.pool:
            up_at = now + MOVE_SECONDS
            self._take_down(change.vm, VmState.MOVING, up_at, change.pool)
        return True


class PlannerRun:
    """A planner, the emulated cloud, and tasks that start and end at random."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cloud = Cloud(self.rng, 16)
        self.now = 100.0
        self.lost_share = self.rng.choice([0.0, 0.2, 0.6])
        self.refused_share = self.rng.choice([0.0, 0.2])
        self.listings = []
        # Stored progress of the wave.
        self.begun, self.ordered = set(), set()
        self.token = 0
        # Set after some lost answers, since the same fault often ends the leader.
        self.leader_dies = False
        # Time, change and leader token of requests that are carried out late.
        self.late_requests = []
        self.wave = Wave(
            WaveId(1),
            tuple(self.rng.sample(sorted(self.cloud.vms), 8)),
            20.0,
            self.rng.choice([1, 1, 2]),
        )
        self.begin_term()

    def begin_term(self):
        """Start a new leader, which resumes the wave from its stored progress."""
        self.token += 1
        # A leader reads the list after its term has begun.
        self.listings.clear()
        self.planner = FleetPlanner()
        self.planner.pool_names = set(POOLS)
        self.planner.standby_pools = {POOLS[-1]}
        self.planner.add_wave(self.wave, self.now)
        self.planner.resume_wave(self.wave.wave_id, self.begun, self.ordered, self.now)

    def register_workers(self):
        """Tell the planner of most new workers at once, and of the others later."""
        for name in list(self.cloud.registered):
            vm = self.cloud.vms[name]
            if vm.state is not VmState.UP:
                self.cloud.registered.remove(name)
            elif self.rng.random() < 0.6:
                self.cloud.registered.remove(name)
                self.planner.mark_arrived(name, vm.pool, vm.worker, self.now)

    def step(self, demands):
        self.now += STEP_SECONDS
        self.cloud.advance(self.now)
        self.register_workers()
        self.listings.append((self.now, list(self.cloud.vms.values())))
        while (
            len(self.listings) > 1
            and self.listings[1][0] <= self.now - LIST_LAG_SECONDS
        ):
            self.listings.pop(0)
        self.planner.update_vms(self.listings[0][1], self.now)
        self.planner.fleet_load = FleetLoad(dict(self.cloud.loads))
        for late_request in [r for r in self.late_requests if r[0] <= self.now]:
            self.late_requests.remove(late_request)
            self.cloud.carry_out(*late_request[1:], self.now)
        changes = self.planner.plan(demands, self.now)
        self.ordered = set(self.planner.waves[self.wave.wave_id].ordered)
        for change in changes:
            assert change.vm not in self.cloud.loads, "a VM with tasks is changed"
            self.request_change(change)
        down = [
            v for v in self.wave.vms if self.cloud.vms[v].state is VmState.MAINTENANCE
        ]
        assert len(down) <= self.wave.max_down

    def request_change(self, change):
        draw = self.rng.random()
        if draw < self.refused_share:
            self.planner.mark_refused(change, "refused", True, self.now)
            return
        if draw < self.refused_share + self.lost_share:
            at = self.now + self.rng.choice([0.0, 0.5, 1.0, 6.0])
            self.late_requests.append((at, replace(change), self.token))
            change.outcome_unknown = True
            self.planner.mark_refused(change, "unknown", True, self.now)
            self.leader_dies = change.wave is not None and self.rng.random() < 0.5
        elif self.cloud.carry_out(change, self.token, self.now):
            self.planner.mark_accepted(change, self.now)
            if change.wave is not None:
                self.begun.add(change.vm)
        else:
            self.planner.mark_refused(change, "busy", change.outcome_unknown, self.now)

    def change_loads(self):
        """Start tasks on VMs that accept them, and end others."""
        cordoned = self.planner.cordoned_vms()
        for name, vm in self.cloud.vms.items():
            if name in self.cloud.loads and self.rng.random() < 0.3:
                del self.cloud.loads[name]
            elif (
                vm.state is VmState.UP
                and name not in cordoned
                and vm.pool != POOLS[-1]
                and self.rng.random() < 0.1
            ):
                self.cloud.loads[name] = VmLoad(4.0, 1)


@pytest.mark.parametrize("seed", SEEDS)
def test_waves_and_moves_keep_their_limits(seed):
    run = PlannerRun(seed)
    for _ in range(150):
        demands = {
            pool: Demand(running_cores=run.rng.choice([0.0, 0.0, 15.0, 60.0]))
            for pool in POOLS[:-1]
        }
        run.step(demands)
        run.change_loads()
        if run.rng.random() < 0.05:
            run.cloud.crash(run.rng.choice(sorted(run.cloud.vms)), run.now)
        if run.leader_dies or run.rng.random() < 0.02:
            run.leader_dies = False
            run.begin_term()
    run.lost_share = run.refused_share = 0.0
    run.cloud.loads.clear()
    run.late_requests.clear()
    for _ in range(400):
        run.step({})
    assert run.cloud.maintained >= set(run.wave.vms)
    assert run.planner.finished_waves(run.now)
    assert run.planner.waves[run.wave.wave_id].begun == set(run.wave.vms)
