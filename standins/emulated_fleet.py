"""Emulates VMs and their cloud for the real fleet planner, on top of the emulator.

Each worker of the emulator runs on a VM of its own. InterruptionCheck sees every
accepted stop and every maintenance of a VM.
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
from standins.oracle import GuaranteeViolation

POOL = PoolName(SERVICE)
MAINTENANCE_SECONDS = 2.0
PLAN_INTERVAL_SECONDS = 0.2
LIST_LAG_SECONDS = 0.3
# A task counts as unavailable once it has not run for this long.
UNAVAILABLE_AFTER_SECONDS = 4.5


@dataclass
class InterruptionCheck:
    """Checks that no order makes too many tasks of a long-running step unavailable."""

    emulator: Emulator
    # When each task last ran, and the tasks that an order has ended since.
    last_running_at: dict[TaskId, float] = field(default_factory=dict)
    interrupted_tasks: set[TaskId] = field(default_factory=set)

    def observe(self) -> None:
        """Update the time at which each long-running task last ran."""
        for worker in self.emulator.workers.values():
            for task, run in worker.runs.items():
                if run.duration_ms is None and run.stop_at_ms is None:
                    self.last_running_at[task] = self.emulator.now
                    self.interrupted_tasks.discard(task)

    def check_interruption(self, worker: FakeWorker, tasks: list[TaskId]) -> None:
        """Check an order that ends these tasks of a healthy worker."""
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
            unavailable = sum(1 for other in others if self.is_unavailable(other))
            if step.max_unavailable and unavailable >= step.max_unavailable:
                raise GuaranteeViolation(
                    f"AVAIL: {task} is ended while {unavailable} others are unavailable"
                )
            self.interrupted_tasks.add(task)

    def is_unavailable(self, task: TaskId) -> bool:
        """Return whether an order ended a task, or it has not run for too long."""
        last = self.last_running_at.get(task)
        if last is None or task in self.interrupted_tasks:
            return True
        return self.emulator.now - last > UNAVAILABLE_AFTER_SECONDS


class EmulatedFleet:
    """VMs and one maintenance wave, planned by the emulator's current leader."""

    def __init__(self, emulator: Emulator, limit: int, duration: float) -> None:
        self.emulator = emulator
        self.interruption_check = InterruptionCheck(emulator)
        self.vms = {
            VmId(f"vm-{name}"): Vm(
                VmId(f"vm-{name}"), POOL, VmState.UP, "z", worker.rack,
                Resources(8000, 8000, 0), name,
            )
            for name, worker in emulator.workers.items()
        }  # fmt: skip
        self.wave = Wave(WaveId(1), tuple(self.vms), duration, limit)
        self.back_up_at: dict[VmId, float] = {}
        self.maintained_vms: set[VmId] = set()
        # Stored progress of the wave: VMs whose maintenance was accepted, or requested.
        self.begun: set[VmId] = set()
        self.ordered: set[VmId] = set()
        self.fencing_tokens: dict[VmId, LeaderToken] = {}
        self.vm_listings: list[tuple[float, list[Vm]]] = []
        self.planner = FleetPlanner()
        self.leader: Scheduler | None = None
        self.next_plan = 0.0
        self.watch_stops()

    def watch_stops(self) -> None:
        """Check every stop that a worker accepts."""
        for worker in self.emulator.workers.values():
            worker.on_stop = self._on_stop

    def _on_stop(self, worker: FakeWorker, task: TaskId) -> None:
        self.interruption_check.check_interruption(worker, [task])

    def run(self, seconds: float) -> None:
        """Advance the emulator and the VMs by ``seconds``."""
        end = self.emulator.now + seconds
        while self.emulator.now < end:
            self.interruption_check.observe()
            self.emulator.step()
            self._advance()

    def _advance(self) -> None:
        now = self.emulator.now
        for vm, at in list(self.back_up_at.items()):
            if now >= at:
                del self.back_up_at[vm]
                self.vms[vm] = replace(self.vms[vm], state=VmState.UP)
                self.emulator.restart_worker(self.vms[vm].worker)
        self.vm_listings.append((now, list(self.vms.values())))
        while (
            len(self.vm_listings) > 1
            and self.vm_listings[1][0] <= now - LIST_LAG_SECONDS
        ):
            self.vm_listings.pop(0)
        scheduler = self.emulator.scheduler
        if scheduler is None:
            return
        if scheduler is not self.leader:
            self._start_leadership(scheduler)
        if now >= self.next_plan:
            self.next_plan = now + PLAN_INTERVAL_SECONDS
            self._plan(scheduler)

    def _start_leadership(self, scheduler: Scheduler) -> None:
        self.leader = scheduler
        self.planner = FleetPlanner()
        self.planner.pool_names = {POOL}
        self.planner.add_wave(self.wave, self.emulator.now)
        self.planner.resume_wave(
            self.wave.wave_id, set(self.begun), set(self.ordered), self.emulator.now
        )

    def _plan(self, scheduler: Scheduler) -> None:
        now = self.emulator.now
        self.planner.update_vms(self.vm_listings[0][1], now)
        scheduler.expire_workers_without_vm(
            self.vm_listings[0][1], now, int(now * 1000)
        )
        self.planner.fleet_load = scheduler.fleet_load(now)
        changes = self.planner.plan(scheduler.demands(now), now)
        scheduler.set_cordoned(self.planner.cordoned_vms())
        state = self.planner.waves[self.wave.wave_id]
        for change in changes:
            if not self.emulator.store_up:
                self.planner.mark_refused(change, "not stored", True, now)
                continue
            self.begun, self.ordered = set(state.begun), set(state.ordered)
            self._request_maintenance(change)

    def _request_maintenance(self, change: VmChange) -> None:
        """Request maintenance of a VM: at once, late, or with the answer lost."""
        emulator, token = self.emulator, self.emulator.token
        draw = emulator.rng.random()
        if draw < emulator.faults.late_order_rate:
            emulator.run_later(
                emulator.rng.uniform(2, 12),
                lambda: self._start_maintenance(change.vm, token),
            )
        elif self._start_maintenance(change.vm, token):
            if (
                draw
                >= emulator.faults.late_order_rate + emulator.faults.lost_answer_rate
            ):
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

    def _start_maintenance(self, vm_id: VmId, token: LeaderToken) -> bool:
        """Start the maintenance of a VM, which ends its worker; False if refused."""
        if token < self.fencing_tokens.get(vm_id, LeaderToken(0)):
            return False
        self.fencing_tokens[vm_id] = token
        vm = self.vms[vm_id]
        if vm_id in self.maintained_vms:
            return True
        if vm.state is not VmState.UP:
            return False
        worker = self.emulator.workers[vm.worker]
        if worker.up:
            self.interruption_check.check_interruption(worker, list(worker.runs))
        self.emulator.crash_worker(WorkerId(vm.worker))
        self.maintained_vms.add(vm_id)
        self.vms[vm_id] = replace(vm, state=VmState.MAINTENANCE)
        self.back_up_at[vm_id] = self.emulator.now + MAINTENANCE_SECONDS
        return True
