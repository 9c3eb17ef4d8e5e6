"""Choice of a worker for a task."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..ids import JobId, WorkerId
from ..jobs.model import StepSpec
from .runs import Worker


@dataclass(frozen=True, slots=True)
class StepRequirements:
    """What a step asks of the workers that run its tasks."""

    job: JobId
    occurrence: int
    step_number: int
    step: StepSpec
    # Workers that the advisor allows, with their tickets; None without an advisor.
    tickets: dict[WorkerId, str] | None = None


def meets_constraints(needs: StepRequirements, worker: Worker) -> bool:
    """Return whether the worker may run tasks of the step at all."""
    label = needs.step.required_label
    if label and label not in worker.entry.labels:
        return False
    return needs.tickets is None or worker.worker_id in needs.tickets


def has_capacity(needs: StepRequirements, worker: Worker) -> bool:
    """Return whether one more task of the step may start on the worker now."""
    if not needs.step.reserved.fits_into(worker.free):
        return False
    limit = needs.step.max_per_worker
    if not limit:
        return True
    held = worker.count_runs_of_step(needs.job, needs.occurrence, needs.step_number)
    return held < limit


def placement_cost(
    needs: StepRequirements, worker: Worker, workers_to_avoid: Iterable[WorkerId]
) -> tuple[int, int, int, float]:
    """Return the cost of a placement; the lowest is best.

    Away from its data a task takes a multiple of its time, so this comes right after
    workers on which the task failed before. Long-running tasks of a step share two
    workers, so that the loss of one leaves half of them. Everything packs tightly,
    which leaves whole workers free to be moved; only fillers spread, as they live on
    what the others leave.
    """
    step = needs.step
    failed_here = int(worker.worker_id in workers_to_avoid)
    remote = int(bool(step.data_rack) and step.data_rack != worker.entry.rack)
    if step.uses_spare_cpu:
        return (failed_here, remote, 0, -float(worker.free.cpu))
    crowded = 0
    if step.long_running:
        held = worker.count_runs_of_step(needs.job, needs.occurrence, needs.step_number)
        crowded = int(held >= (step.count + 1) // 2)
    return (failed_here, remote, crowded, float(worker.free.cpu))


def choose_worker(
    needs: StepRequirements,
    workers: Sequence[Worker],
    workers_to_avoid: Iterable[WorkerId] = (),
) -> Worker | None:
    """Return the best worker with room, or None."""
    best: Worker | None = None
    best_cost: tuple[int, int, int, float] | None = None
    for worker in workers:
        if not has_capacity(needs, worker):
            continue
        candidate = placement_cost(needs, worker, workers_to_avoid)
        if best_cost is None or candidate < best_cost:
            best, best_cost = worker, candidate
    return best


def best_fit_order(
    needs: StepRequirements, workers: Sequence[Worker]
) -> Sequence[Worker] | None:
    """Return the workers with room in the order in which a step's tasks fill them.

    A task goes to the worker with the least free processor. That makes it tighter
    still, so the next equal task goes there, too, until it is full: one sorted pass
    places a whole step. None where the order changes with each task.
    """
    step = needs.step
    if step.uses_spare_cpu or step.long_running:
        return None
    reserved, rack = step.reserved, step.data_rack
    roomy = [worker for worker in workers if reserved.fits_into(worker.free)]
    roomy.sort(
        key=lambda worker: (bool(rack) and rack != worker.entry.rack, worker.free.cpu)
    )
    return roomy


def choose_gang_workers(
    needs: StepRequirements, workers: Sequence[Worker], indexes: Sequence[int]
) -> dict[int, Worker] | None:
    """Return a worker for each member of a gang, or None if not all have room."""
    groups: list[Sequence[Worker]] = [workers]
    if needs.step.same_rack:
        racks = sorted({worker.entry.rack for worker in workers})
        by_rack = [[w for w in workers if w.entry.rack == rack] for rack in racks]
        groups = [*by_rack, workers]
    for group in groups:
        chosen = _fill_group(needs, group, indexes)
        if chosen is not None:
            return chosen
    return None


def _fill_group(
    needs: StepRequirements, workers: Sequence[Worker], indexes: Sequence[int]
) -> dict[int, Worker] | None:
    free = {worker.worker_id: worker.free for worker in workers}
    held = {
        w.worker_id: w.count_runs_of_step(
            needs.job, needs.occurrence, needs.step_number
        )
        for w in workers
    }
    limit = needs.step.max_per_worker or len(indexes)
    chosen: dict[int, Worker] = {}
    ordered = sorted(workers, key=lambda w: placement_cost(needs, w, ()))
    for index in indexes:
        for worker in ordered:
            fits = needs.step.reserved.fits_into(free[worker.worker_id])
            if fits and held[worker.worker_id] < limit:
                break
        else:
            return None
        chosen[index] = worker
        free[worker.worker_id] = free[worker.worker_id] - needs.step.reserved
        held[worker.worker_id] += 1
    return chosen
