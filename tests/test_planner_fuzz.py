"""Stateful fuzzing of moves and waves against a cloud with faults.

Guards against a wave that has more VMs down than its limit, a change of a VM that still
runs tasks, a VM in two pools, and a wave that never ends, whatever calls are refused,
lost or carried out without an answer.
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
CHANGE_SECONDS = 1.5
LIST_LAG_SECONDS = 0.4
CORES = 10


class Cloud:
    """VMs that move, have their upkeep, crash and come back."""

    def __init__(self, rng, count):
        self.rng = rng
        self.vms = {}
        self.until = {}
        self.upkeep = set()
        self.loads = {}
        # Highest token with which each VM's change was ordered.
        self.tokens = {}
        for number in range(count):
            name = VmId(f"m{number}")
            self.vms[name] = Vm(
                name, rng.choice(POOLS), VmState.UP, "z", RackId(f"r{number // 4}"),
                Resources(CORES * 1000, 1, 0), WorkerId(f"w{number}"),
            )  # fmt: skip

    def advance(self, now):
        for name, until in list(self.until.items()):
            if now >= until:
                del self.until[name]
                self.vms[name] = replace(self.vms[name], state=VmState.UP)

    def crash(self, name, now):
        if self.vms[name].state is VmState.UP:
            self._leave(name, VmState.DOWN, now + self.rng.uniform(1, 5))

    def _leave(self, name, state, until, pool=None):
        vm = self.vms[name]
        self.vms[name] = replace(vm, state=state, pool=pool or vm.pool)
        self.until[name] = until
        self.loads.pop(name, None)

    def order(self, change, token, now):
        """Carry out a change; returns whether it was accepted."""
        vm = self.vms[change.vm]
        if token < self.tokens.get(change.vm, 0):
            return False
        self.tokens[change.vm] = token
        if vm.state is not VmState.UP:
            return False
        if change.wave is not None:
            if change.vm not in self.upkeep:
                self.upkeep.add(change.vm)
                self._leave(change.vm, VmState.MAINTENANCE, now + CHANGE_SECONDS)
        elif vm.pool != change.pool:
            until = now + CHANGE_SECONDS
            self._leave(change.vm, VmState.MOVING, until, change.pool)
        return True


class Run:
    """The planner, a cloud and tasks that come and go."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cloud = Cloud(self.rng, 16)
        self.now = 100.0
        self.lost = self.rng.choice([0.0, 0.2, 0.6])
        self.refused = self.rng.choice([0.0, 0.2])
        self.lists = []
        # What the store holds of the wave.
        self.begun, self.ordered = set(), set()
        self.token = 0
        # A leader often dies for the reason that lost its call.
        self.leader_dies = False
        self.late = []
        self.wave = Wave(
            WaveId(1),
            tuple(self.rng.sample(sorted(self.cloud.vms), 8)),
            20.0,
            self.rng.choice([1, 1, 2]),
        )
        self.begin_term()

    def begin_term(self):
        """Let a new leader begin with what is stored of the wave."""
        self.token += 1
        # A leader reads the list after its term has begun.
        self.lists.clear()
        self.planner = FleetPlanner()
        self.planner.pool_names = set(POOLS)
        self.planner.standby_pools = {POOLS[-1]}
        self.planner.add_wave(self.wave, self.now)
        self.planner.resume_wave(self.wave.wave_id, self.begun, self.ordered, self.now)

    def step(self, demands):
        self.now += STEP_SECONDS
        self.cloud.advance(self.now)
        self.lists.append((self.now, list(self.cloud.vms.values())))
        while len(self.lists) > 1 and self.lists[1][0] <= self.now - LIST_LAG_SECONDS:
            self.lists.pop(0)
        self.planner.update_vms(self.lists[0][1], self.now)
        self.planner.fleet_load = FleetLoad(dict(self.cloud.loads))
        for late in [late for late in self.late if late[0] <= self.now]:
            self.late.remove(late)
            self.cloud.order(*late[1:], self.now)
        changes = self.planner.plan(demands, self.now)
        self.ordered = set(self.planner.waves[self.wave.wave_id].ordered)
        for change in changes:
            assert change.vm not in self.cloud.loads, "a VM with tasks is changed"
            self.call(change)
        down = [
            v for v in self.wave.vms if self.cloud.vms[v].state is VmState.MAINTENANCE
        ]
        assert len(down) <= self.wave.max_down

    def call(self, change):
        draw = self.rng.random()
        if draw < self.refused:
            self.planner.mark_refused(change, "refused", True, self.now)
            return
        if draw < self.refused + self.lost:
            at = self.now + self.rng.choice([0.0, 0.5, 1.0, 6.0])
            self.late.append((at, replace(change), self.token))
            change.outcome_unknown = True
            self.planner.mark_refused(change, "unknown", True, self.now)
            self.leader_dies = change.wave is not None and self.rng.random() < 0.5
        elif self.cloud.order(change, self.token, self.now):
            self.planner.mark_accepted(change, self.now)
            if change.wave is not None:
                self.begun.add(change.vm)
        else:
            self.planner.mark_refused(change, "busy", change.outcome_unknown, self.now)

    def change_loads(self):
        """Let tasks begin on VMs that take them, and end elsewhere."""
        taken = self.planner.cordoned_vms()
        for name, vm in self.cloud.vms.items():
            if name in self.cloud.loads and self.rng.random() < 0.3:
                del self.cloud.loads[name]
            elif (
                vm.state is VmState.UP
                and name not in taken
                and vm.pool != POOLS[-1]
                and self.rng.random() < 0.1
            ):
                self.cloud.loads[name] = VmLoad(4.0, 1)


@pytest.mark.parametrize("seed", SEEDS)
def test_waves_and_moves_keep_their_limits(seed):
    run = Run(seed)
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
    run.lost = run.refused = 0.0
    run.cloud.loads.clear()
    run.late.clear()
    for _ in range(400):
        run.step({})
    assert run.cloud.upkeep >= set(run.wave.vms)
    assert run.planner.finished_waves()
    assert run.planner.waves[run.wave.wave_id].begun == set(run.wave.vms)
