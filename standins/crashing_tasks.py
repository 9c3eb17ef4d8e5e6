"""Tasks that crash the workers which start them, on the emulated platform.

A crashed worker is back after some seconds, under its id or under a new one. The VM
list, which lags, shows VMs down meanwhile.
"""

import random
from dataclasses import replace

from ebonyhub.fleet.model import Vm, VmState
from ebonyhub.ids import JobId, PoolName, TaskId, VmId, WorkerId
from standins.emulator import SERVICE, Emulator
from standins.fake_worker import FakeWorker

# Bounds of the seconds after which a crashed worker is back.
RETURN_SECONDS = (2.0, 4.0)
LIST_INTERVAL_SECONDS = 0.5


class CrashingTasks:
    """Crashes workers under marked tasks, and lists the VMs to the leader."""

    def __init__(
        self, emulator: Emulator, new_id_rate: float = 0.5, delay: float = 0.0
    ) -> None:
        self.emulator = emulator
        self.rng = random.Random(emulator.seed)
        # Share of the workers that are back under a new id.
        self.new_id_rate = new_id_rate
        # Seconds from the start of such a task to the crash.
        self.delay = delay
        self.cloud_up = True
        self.crashes = 0
        self.next_list_at = 0.0
        self.vms: dict[VmId, Vm] = {}
        for worker in emulator.workers.values():
            self._add_worker(worker)

    def _add_worker(self, worker: FakeWorker) -> None:
        worker.vm = worker.entry.vm
        worker.on_start = self._on_start
        self.vms[worker.vm] = Vm(
            worker.vm, PoolName(SERVICE), VmState.UP, "z", worker.rack,
            worker.capacity, worker.worker,
        )  # fmt: skip

    def mark(self, job: JobId, step: int = 0, position: int = 0) -> TaskId:
        """Let a task of the job crash each worker that starts it."""
        task = TaskId(job, 0, step, position)
        self.emulator.oracle.crashing_tasks.add(task)
        return task

    def _on_start(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        self.emulator.oracle.check_start(worker, task, number)
        if task in self.emulator.oracle.crashing_tasks:
            born = worker.born_ms

            def crash() -> None:
                run = worker.runs.get(task)
                if worker.born_ms == born and run is not None and run.number == number:
                    self.crash_worker(worker)

            self.emulator.run_later(self.delay, crash)

    def crash_worker(self, worker: FakeWorker) -> None:
        """Crash a worker; it is back after some seconds."""
        if not worker.up:
            return
        self.crashes += 1
        broken = self._gangs_of(worker)
        self.emulator.crash_worker(worker.worker)
        for other in self.emulator.workers.values():
            other.end_gang(broken)
        self.vms[worker.vm] = replace(self.vms[worker.vm], state=VmState.DOWN)
        self.emulator.run_later(
            self.rng.uniform(*RETURN_SECONDS), lambda: self._return(worker)
        )

    def _gangs_of(self, worker: FakeWorker) -> set[TaskId]:
        """Return all members of the gangs that have one on the worker."""
        members: set[TaskId] = set()
        for task in worker.runs:
            step = self.emulator.accepted[task.job].spec.steps[task.step]
            if step.gang:
                members |= {task._replace(position=i) for i in range(step.count)}
        return members

    def _return(self, worker: FakeWorker) -> None:
        emulator = self.emulator
        if self.rng.random() >= self.new_id_rate:
            emulator.restart_worker(worker.worker)
        else:
            number = len(emulator.workers)
            successor = emulator.add_worker(WorkerId(f"w{number}"), number)
            successor.vm, successor.rack = worker.vm, worker.rack
            successor.capacity = worker.capacity
            worker = successor
        self._add_worker(worker)

    def run(self, seconds: float) -> None:
        """Advance the emulator; the leader reads the VM list twice a second."""
        emulator = self.emulator
        end = emulator.now + seconds
        while emulator.now < end:
            emulator.step()
            if emulator.scheduler is None or not self.cloud_up:
                continue
            if emulator.now >= self.next_list_at:
                self.next_list_at = emulator.now + LIST_INTERVAL_SECONDS
                emulator.scheduler.expire_workers_without_vm(
                    self.vms.values(), emulator.now, int(emulator.now * 1000)
                )
