"""Tracks workers: entries in the store, missing responses, planned VM changes."""

from collections.abc import Iterable, Mapping

from ..events import Event, log_event
from ..fleet.model import Vm
from ..ids import TaskId, VmId, WorkerId
from . import lifecycle
from .crash_attribution import CrashAttribution
from .health import (
    OLD_RUN_FACTOR,
    OLD_RUN_SECONDS,
    is_stuck,
    stuck_after_seconds,
)
from .late_starts import has_left_vm, is_down_for_good
from .losses import LossCause, loss_by_vm
from .model import WorkerEntry
from .orders import FetchReport
from .overdue import is_report_overdue
from .placement import StepRequirements, choose_worker, meets_constraints
from .runs import Job, Run, RunPhase, StopReason, Worker
from .state import RESPONSE_MAX_AGE_SECONDS, is_serving, short_name

# Runs of which one tick checks the progress.
MAX_CHECKED_RUNS = 3000


class WorkerMonitor(CrashAttribution):
    """Expires lost workers, and evicts long-running tasks from workers that leave."""

    def handle_worker_entry(
        self, entry: WorkerEntry, now: float, written_after: float | None = None
    ) -> None:
        """Apply a worker's entry from the store, new or changed.

        ``written_after`` is a time after which the entry was written; now if not given.
        """
        worker = self.workers.get(entry.worker)
        if worker is None:
            worker = Worker(
                entry, self.new_process(entry.worker, entry.born_ms, now),
                discovered_at=now, discovered_cordoned=entry.vm in self.cordoned_vms,
            )  # fmt: skip
            self.workers[entry.worker] = worker
            log_event(
                Event.WORKER_DISCOVERED, worker=entry.worker, service=entry.service,
                address=entry.address, rack=entry.rack, draining=entry.draining,
                vm=entry.vm,
            )  # fmt: skip
        if entry.draining and not worker.entry.draining:
            log_event(
                Event.WORKER_DRAINING, worker=entry.worker, leaves_in=entry.leaves_in
            )
        if entry.draining:
            worker.draining_born_ms = entry.born_ms or worker.born_ms
        if entry.capacity != worker.entry.capacity:
            log_event(
                Event.WORKER_CAPACITY_CHANGED, worker=entry.worker,
                service=entry.service, cpu=entry.capacity.cpu,
                memory=entry.capacity.memory, used_cpu=worker.used.cpu,
            )  # fmt: skip
            self.services_to_plan.add(entry.service)
        worker.entry_seen_at = now if written_after is None else written_after
        worker.update_entry(entry)
        if not worker.entry_is_of_process and worker.last_response_at is not None:
            # The process has most likely restarted, which only its report proves.
            self.outbox.append(FetchReport(entry.worker))
        worker.deregistered = False
        worker.cordoned |= entry.vm in self.cordoned_vms

    def mark_predecessors(self, successor: Worker) -> None:
        """Note on earlier workers of the VM that their process has ended.

        ``successor`` must have answered: other programs, too, write entries that name
        a worker's VM.
        """
        vm = successor.entry.vm
        for worker in self.workers.values():
            if vm and worker.entry.vm == vm and worker.born_ms < successor.born_ms:
                worker.successor_service = successor.entry.service

    def handle_worker_entry_removed(self, worker_id: WorkerId) -> None:
        """Mark a worker whose entry has disappeared from the store.

        Its runs are kept until its lease ends, since it may only be disconnected from
        the store.
        """
        worker = self.workers.get(worker_id)
        if worker is not None and not worker.deregistered:
            worker.deregistered = True
            log_event(
                Event.WORKER_ENTRY_REMOVED, worker=worker_id, runs=len(worker.runs)
            )

    def expire_workers_without_vm(
        self,
        vms: Iterable[Vm],
        now: float,
        wall_ms: int,
        requested_at: float | None = None,
    ) -> None:
        """Expire the unresponsive workers that no longer exist by the cloud's VM list.

        All runs have ended on a VM that is moving, in maintenance, down, no longer
        listed, or listed with another worker. ``requested_at`` is the time of the
        request for the list, by default ``now``.
        """
        by_id = {vm.vm_id: vm for vm in vms}
        asked_at = now if requested_at is None else requested_at
        bound = self.late_starts.workers
        expired = [
            worker
            for worker in self.workers.values()
            if worker.expired and (worker.runs or worker.worker_id in bound)
        ]
        for worker in [*self.unresponsive_workers(now), *expired]:
            if not worker.entry.vm or not _can_list_show(worker, asked_at):
                continue
            cause = loss_by_vm(worker, by_id.get(worker.entry.vm))
            if cause is None:
                continue
            if worker.expired:
                self.discard_kept_runs(worker, cause, now, asked_at)
            elif worker.runs:
                self.expire_worker(worker, cause, now, wall_ms, asked_at)
            self._end_late_starts_of_lost_worker(worker.worker_id, cause, asked_at)
        self._end_late_starts_without_vm(by_id, asked_at)

    def _end_late_starts_of_lost_worker(
        self, worker_id: WorkerId, cause: LossCause, listed_at: float
    ) -> None:
        """End the late starts that no process of a lost worker carries out."""
        if not cause.id_may_return:
            self.end_late_starts(self.late_starts.remove_of(worker_id))
        elif cause is LossCause.VM_DOWN:
            ended = self.late_starts.remove_where(
                lambda start: (
                    start.worker == worker_id
                    and is_down_for_good(start.unanswered_at, listed_at)
                )
            )
            self.end_late_starts(ended)

    def end_late_starts_of_leaving_workers(self) -> None:
        """Let long-running tasks without a run start elsewhere if their worker leaves.

        Its process takes no tasks any more. It refuses their late starts, and no other
        process comes under its id after a planned end.
        """
        if not self.late_starts.long_running:
            return
        leaving = {
            worker_id: worker
            for worker_id, worker in self.workers.items()
            if (worker.entry.draining or worker.cordoned) and worker.process.is_fenced
        }
        if not leaving:
            return
        ended: list[TaskId] = []
        for task, start in self.late_starts.long_running.items():
            worker = leaving.get(start.worker)
            job = self.active.get(task.job)
            if (
                worker is not None
                and job is not None
                and lifecycle.current_run(job, task) is None
                and not worker.has_run_of(task)
            ):
                ended.append(task)
        self.end_late_starts(ended)

    def _end_late_starts_without_vm(
        self, vms: Mapping[VmId, Vm], asked_at: float
    ) -> None:
        """End the late starts of workers that are not known any more, by their VMs."""
        ended = self.late_starts.remove_where(
            lambda start: (
                bool(start.vm)
                and start.worker not in self.workers
                and asked_at > start.unanswered_at
                and has_left_vm(start, vms.get(start.vm), asked_at)
            )
        )
        self.end_late_starts(ended)

    def unresponsive_workers(self, now: float) -> list[Worker]:
        """Return the workers with runs or late starts that do not respond."""
        bound = self.late_starts.workers
        return [
            worker
            for worker in self.workers.values()
            if (worker.runs or worker.worker_id in bound)
            and not worker.expired
            and worker.entry.vm
            and (worker.poll_failed or self._is_overdue(worker, now))
        ]

    def _is_overdue(self, worker: Worker, now: float) -> bool:
        """Return whether a response is overdue; a new worker is yet to be polled."""
        known_for = now - worker.discovered_at
        return known_for > RESPONSE_MAX_AGE_SECONDS and not self.is_responsive(
            worker, now
        )

    def set_cordoned(self, vms: set[VmId]) -> None:
        """Cordon the workers on exactly these VMs.

        The cordon of a worker ends with its next response: the change of its VM may
        have replaced it a moment ago, so that it seems to respond and to be empty.
        """
        ended = self.cordoned_vms - vms
        self.cordoned_vms = vms
        for worker in self.workers.values():
            if worker.entry.vm in vms:
                worker.cordoned = True
            elif worker.entry.vm in ended and worker.discovered_cordoned:
                worker.cordoned = worker.discovered_cordoned = False
            elif worker.entry.vm in ended:
                self.outbox.append(FetchReport(worker.worker_id))

    def end_cordon(self, worker: Worker) -> None:
        """Let a worker that has responded take tasks if its VM is not cordoned."""
        if worker.cordoned and worker.entry.vm not in self.cordoned_vms:
            worker.cordoned = False
            self.services_to_plan.add(worker.entry.service)

    def _check_worker(self, worker: Worker, now: float, wall_ms: int) -> None:
        unresponsive = not self.is_responsive(worker, now)
        if worker.runs:
            cause = self._loss_by_silence(worker, unresponsive, now)
            if worker.expired:
                self.discard_kept_runs(worker, cause, now)
            elif cause is not None:
                self.expire_worker(worker, cause, now, wall_ms)
        if worker.deregistered and not worker.runs and (unresponsive or worker.expired):
            self.forget_worker(worker, now)
            return

    def check_runs_in_turn(self, now: float) -> None:
        """Check the runs of as many workers as one tick may, the others in the next."""
        workers = list(self.workers.values())
        left = MAX_CHECKED_RUNS
        for offset in range(len(workers)):
            if left <= 0:
                self.next_worker_to_check += offset
                return
            worker = workers[(self.next_worker_to_check + offset) % len(workers)]
            left -= len(worker.runs)
            self._check_runs(worker, now)

    def _check_runs(self, worker: Worker, now: float) -> None:
        for run in list(worker.runs.values()):
            if run.stop_reason is not None:
                self.stop_run(run, run.stop_reason, now)
            elif run.step.long_running and (worker.entry.draining or worker.cordoned):
                self._evict_long_running(run, worker, now)
            elif not run.step.long_running:
                self.check_progress(run, worker, now)
        self._request_overdue_report(worker, now)

    def _loss_by_silence(
        self, worker: Worker, unresponsive: bool, now: float
    ) -> LossCause | None:
        """Return why a silent worker cannot run anything any more, None if it may.

        A worker that this leader has not polled yet is not silent.
        """
        successor = worker.successor_service
        is_silent = worker.poll_failed or self._is_overdue(worker, now)
        if successor is not None and is_silent:
            moved = successor != worker.entry.service
            return LossCause.VM_MOVED if moved else LossCause.WORKER_REPLACED
        inherited_until = max(self.inherited_leases_until, self.inherited_starts_until)
        if unresponsive and worker.lease_has_ended(now, inherited_until):
            return LossCause.LEASE_ENDED
        return None

    def _request_overdue_report(self, worker: Worker, now: float) -> None:
        """Request a report if a run should have ended since the last one."""
        if is_report_overdue(worker, self.jobs, now):
            worker.process.report_requested_at = now
            self.outbox.append(FetchReport(worker.worker_id))

    def _evict_long_running(self, run: Run, worker: Worker, now: float) -> None:
        """Stop a long-running task, so that it restarts on another worker.

        On a cordoned worker this respects the step's ``max_unavailable``. A draining
        worker ends its tasks anyway. A task that could not start elsewhere yet, because
        of a start without an answer, goes on here until it can.
        """
        if run.phase is not RunPhase.CONFIRMED:
            return
        if self.late_starts.get(run.task) is not None:
            return
        if worker.entry.draining or self._may_evict(run, now):
            self.stop_run(run, StopReason.WORKER_LEAVES, now)

    def _may_evict(self, run: Run, now: float) -> bool:
        """Return whether the step may lose the run and another worker has capacity."""
        job = self.jobs.get(run.task.job)
        if job is None or job.is_final:
            return True
        serving = 0
        for worker in self.workers.values():
            for other in worker.runs.values():
                same_step = other.task[:3] == run.task[:3] and other is not run
                if (
                    same_step
                    and is_serving(other, now)
                    and self.is_responsive(worker, now)
                ):
                    serving += 1
        unavailable = run.step.count - 1 - serving
        if unavailable >= max(1, run.step.max_unavailable):
            return False
        return self._has_room_elsewhere(run, job, None, now)

    def _has_room_elsewhere(
        self, run: Run, job: Job, present: Worker | None, now: float
    ) -> bool:
        """Return whether a worker other than ``present`` could start the task now."""
        requirements = StepRequirements(
            job.job_id, run.task.occurrence, run.task.step, run.step
        )
        service = self.service_of(job)
        others = [
            worker
            for worker in self.workers.values()
            if worker is not present
            and worker.entry.service == service
            and self.is_eligible(worker, now)
        ]
        others = [
            worker for worker in others if meets_constraints(requirements, worker)
        ]
        return choose_worker(requirements, others) is not None

    def check_progress(self, run: Run, worker: Worker, now: float) -> None:
        """Stop a stuck task and quarantine its worker.

        Time since the worker's last response does not count as time without progress.
        The next process under the worker's id says nothing about a run of a former one.
        """
        responded_at = worker.last_response_at
        job = self.jobs.get(run.task.job)
        if (
            responded_at is None
            or job is None
            or run.phase is not RunPhase.CONFIRMED
            or run.born_ms != worker.born_ms
            or not run.speed.is_certainly_full
        ):
            return
        verdicts = job.stuck_verdicts.get(run.task, 0)
        allowed = stuck_after_seconds(
            run.step.estimate_ms / 1000,
            job.progress_intervals.get(run.task.step, 0.0),
            verdicts,
        )
        progress_at = max(run.progress_changed_at, run.confirmed_at)
        if not is_stuck(progress_at, responded_at, allowed):
            return
        is_old = now - run.confirmed_at > OLD_RUN_SECONDS
        if (
            is_old
            and not is_stuck(progress_at, responded_at, allowed * OLD_RUN_FACTOR)
            and not self._has_room_elsewhere(run, job, worker, now)
        ):
            return
        log_event(
            Event.RUN_STUCK, job=run.task.job, task=short_name(run.task),
            run=run.number, worker=worker.worker_id, percent=run.progress_percent,
            silent=round(responded_at - progress_at, 2), allowed=round(allowed, 2),
            earlier=verdicts,
        )  # fmt: skip
        if not job.is_final:
            job.workers_to_avoid.setdefault(run.task, set()).add(worker.worker_id)
            job.stuck_verdicts[run.task] = verdicts + 1
        self.stop_run(run, StopReason.NO_PROGRESS, now)
        # After the second verdict it is the task that is in doubt, not the worker.
        if not verdicts and not worker.process.health.is_quarantined(now):
            worker.process.health.quarantine(now)
            self.log_quarantine(worker, "no_progress")

    def log_quarantine(self, worker: Worker, cause: str) -> None:
        """Log that a worker is quarantined for ``cause``."""
        log_event(Event.WORKER_QUARANTINED, worker=worker.worker_id, cause=cause)


def _can_list_show(worker: Worker, requested_at: float) -> bool:
    """Return whether a list requested at a time can show that a worker has ended.

    An earlier one may show the VM as it was before the worker started.
    """
    answered_at = worker.last_response_at
    known_at = worker.discovered_at if answered_at is None else answered_at
    return requested_at > known_at
