"""VMs, their cloud and the real planner of moves and upkeep, around the emulator.

Each worker of the emulator lives on a VM of its own. The check of interruptions sees
every stop and every upkeep as the users' own accounting does.
"""

from dataclasses import dataclass, field, replace

from ebonyhub.fleet.changes import VmChange
from ebonyhub.fleet.model import Vm, VmState, Wave
from ebonyhub.fleet.planner import FleetPlanner
from ebonyhub.ids import LeaderToken, PoolName, TaskId, VmId, WaveId, WorkerId
from ebonyhub.jobs.model import Resources
from ebonyhub.scheduling.scheduler import Scheduler
from standins.emulator import SERVICE, Emulator
from standins.fake_worker import FakeWorker
from standins.oracle import PromiseBroken

POOL = PoolName(SERVICE)
UPKEEP_SECONDS = 2.0
PLAN_SECONDS = 0.2
LIST_LAG_SECONDS = 0.3
# A task counts as away once it has not been at work for this long.
NOTICE_SECONDS = 4.5


@dataclass
class InterruptionCheck:
    """Counts the tasks of each serving step that are away."""

    emulator: Emulator
    # When each task was last at work, and those that an order has ended since.
    at_work: dict[TaskId, float] = field(default_factory=dict)
    ended: set[TaskId] = field(default_factory=set)

    def observe(self) -> None:
        """Note which tasks are at work now."""
        for worker in self.emulator.workers.values():
            for task, run in worker.runs.items():
                if run.duration_ms is None and run.stop_at_ms is None:
                    self.at_work[task] = self.emulator.now
                    self.ended.discard(task)

    def interrupted(self, worker: FakeWorker, tasks: list[TaskId]) -> None:
        """Check an order that ends these tasks of a sound worker."""
        for task in tasks:
            run = worker.runs.get(task)
            if run is None or run.duration_ms is not None or run.stop_at_ms is not None:
                continue
            job = task.job
            if job in self.emulator.cancelled or worker.draining:
                continue
            step = self.emulator.accepted[job].spec.steps[task.step]
            others = [
                TaskId(job, task.occurrence, task.step, index)
                for index in range(step.count)
                if index != task.position
            ]
            away = sum(1 for other in others if self.is_away(other))
            if step.max_unavailable and away >= step.max_unavailable:
                raise PromiseBroken(f"AVAIL: {task} is ended, {away} others are away")
            self.ended.add(task)

    def is_away(self, task: TaskId) -> bool:
        """Return whether a task was ended or has not been at work for a while."""
        last = self.at_work.get(task)
        if last is None or task in self.ended:
            return True
        return self.emulator.now - last > NOTICE_SECONDS


class EmulatedFleet:
    """The cloud's VMs and one wave, planned by the emulator's present leader."""

    def __init__(self, emulator: Emulator, limit: int, duration: float) -> None:
        self.emulator = emulator
        self.check = InterruptionCheck(emulator)
        self.vms = {
            VmId(f"vm-{name}"): Vm(
                VmId(f"vm-{name}"), POOL, VmState.UP, "z", worker.rack,
                Resources(8000, 8000, 0), name,
            )
            for name, worker in emulator.workers.items()
        }  # fmt: skip
        self.wave = Wave(WaveId(1), tuple(self.vms), duration, limit)
        self.back_at: dict[VmId, float] = {}
        self.upkept: set[VmId] = set()
        # What the store holds of the wave.
        self.begun: set[VmId] = set()
        self.ordered: set[VmId] = set()
        self.tokens: dict[VmId, LeaderToken] = {}
        self.listings: list[tuple[float, list[Vm]]] = []
        self.planner = FleetPlanner()
        self.leader: Scheduler | None = None
        self.next_plan = 0.0
        self.watch_stops()

    def watch_stops(self) -> None:
        """Have every stop that a worker accepts checked."""
        for worker in self.emulator.workers.values():
            worker.on_stop = self._stopped

    def _stopped(self, worker: FakeWorker, task: TaskId) -> None:
        self.check.interrupted(worker, [task])

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.emulator.now + seconds
        while self.emulator.now < end:
            self.check.observe()
            self.emulator.step()
            self._advance()

    def _advance(self) -> None:
        now = self.emulator.now
        for vm, at in list(self.back_at.items()):
            if now >= at:
                del self.back_at[vm]
                self.vms[vm] = replace(self.vms[vm], state=VmState.UP)
                self.emulator.reborn(self.vms[vm].worker)
        self.listings.append((now, list(self.vms.values())))
        while len(self.listings) > 1 and self.listings[1][0] <= now - LIST_LAG_SECONDS:
            self.listings.pop(0)
        scheduler = self.emulator.scheduler
        if scheduler is None:
            return
        if scheduler is not self.leader:
            self._begin_term(scheduler)
        if now >= self.next_plan:
            self.next_plan = now + PLAN_SECONDS
            self._plan(scheduler)

    def _begin_term(self, scheduler: Scheduler) -> None:
        self.leader = scheduler
        self.planner = FleetPlanner()
        self.planner.pool_names = {POOL}
        self.planner.add_wave(self.wave, self.emulator.now)
        self.planner.resume_wave(
            self.wave.wave_id, set(self.begun), set(self.ordered), self.emulator.now
        )

    def _plan(self, scheduler: Scheduler) -> None:
        now = self.emulator.now
        self.planner.update_vms(self.listings[0][1], now)
        scheduler.expire_workers_without_vm(self.listings[0][1], now)
        self.planner.fleet_load = scheduler.fleet_load(now)
        changes = self.planner.plan(scheduler.demands(now), now)
        scheduler.set_cordoned(self.planner.cordoned_vms())
        state = self.planner.waves[self.wave.wave_id]
        for change in changes:
            if not self.emulator.store_up:
                self.planner.mark_refused(change, "not stored", True, now)
                continue
            self.begun, self.ordered = set(state.begun), set(state.ordered)
            self._call(change)

    def _call(self, change: VmChange) -> None:
        """Ask for an upkeep: at once, late, or with a lost answer."""
        emulator, token = self.emulator, self.emulator.token
        draw = emulator.rng.random()
        if draw < emulator.faults.late_order:
            emulator.later(
                emulator.rng.uniform(2, 12), lambda: self._order(change.vm, token)
            )
        elif self._order(change.vm, token):
            if draw >= emulator.faults.late_order + emulator.faults.lost_answer:
                self.planner.mark_accepted(change, emulator.now)
                self.begun.add(change.vm)
                return
        else:
            self.planner.mark_refused(
                change, "busy", change.outcome_unknown, emulator.now
            )
            return
        change.outcome_unknown = True
        self.planner.mark_refused(change, "unknown", True, emulator.now)

    def _order(self, vm_id: VmId, token: LeaderToken) -> bool:
        """Begin an upkeep; everything on the VM ends."""
        if token < self.tokens.get(vm_id, LeaderToken(0)):
            return False
        self.tokens[vm_id] = token
        vm = self.vms[vm_id]
        if vm_id in self.upkept:
            return True
        if vm.state is not VmState.UP:
            return False
        worker = self.emulator.workers[vm.worker]
        if worker.up:
            self.check.interrupted(worker, list(worker.runs))
        self.emulator.crash(WorkerId(vm.worker))
        self.upkept.add(vm_id)
        self.vms[vm_id] = replace(vm, state=VmState.MAINTENANCE)
        self.back_at[vm_id] = self.emulator.now + UPKEEP_SECONDS
        return True
