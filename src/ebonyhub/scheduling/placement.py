"""Choice of workers for tasks: constraints, capacity and placement cost."""

from collections import Counter
from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from ..ids import JobId, TaskId, WorkerId
from ..jobs.model import StepSpec
from .runs import Worker

# Upper limit of the runs on one worker. Each of its reports lists all of them.
MAX_RUNS_PER_WORKER = 2000

NOT_BOUND: Mapping[int, WorkerId] = {}


@dataclass(frozen=True, slots=True)
class StepRequirements:
    """A step to be placed, with what it requires of its workers."""

    job: JobId
    occurrence: int
    step_number: int
    step: StepSpec
    # Tickets by worker that the placement advisor allows; None without an advisor.
    tickets: dict[WorkerId, str] | None = None
    # Tasks of the step that are yet to start on a worker, since they are bound to it.
    bound_tasks: Mapping[WorkerId, int] = field(default_factory=dict)
    # Workers that refused a start of the step a moment ago.
    refusing: Container[WorkerId] = ()

    def beside(self, bound: Mapping[int, WorkerId]) -> "StepRequirements":
        """Return the requirements of tasks that are not among the ``bound`` ones."""
        return replace(self, bound_tasks=Counter(bound.values())) if bound else self

    def task(self, position: int) -> TaskId:
        """Return the id of one of the step's tasks."""
        return TaskId(self.job, self.occurrence, self.step_number, position)


def meets_constraints(requirements: StepRequirements, worker: Worker) -> bool:
    """Return whether the worker has the required label and a ticket if one is needed.

    One that has just refused a start of the step does not meet them. Free capacity is
    not considered, see ``has_capacity``.
    """
    label = requirements.step.required_label
    if label and label not in worker.entry.labels:
        return False
    if worker.worker_id in requirements.refusing:
        return False
    return requirements.tickets is None or worker.worker_id in requirements.tickets


def has_capacity(requirements: StepRequirements, worker: Worker) -> bool:
    """Return whether one more task of the step fits on the worker now."""
    if not requirements.step.reserved.fits_into(worker.free):
        return False
    if not worker.starting.has_room_for(requirements.job):
        return False
    if len(worker.runs) >= MAX_RUNS_PER_WORKER:
        return False
    return has_place(requirements, worker)


def has_place(requirements: StepRequirements, worker: Worker) -> bool:
    """Return whether one more task of the step may run on the worker beside others."""
    limit = requirements.step.max_per_worker
    if not limit:
        return True
    running_here = worker.count_runs_of_step(
        requirements.job, requirements.occurrence, requirements.step_number
    )
    return running_here + requirements.bound_tasks.get(worker.worker_id, 0) < limit


def placement_cost(
    requirements: StepRequirements, worker: Worker, workers_to_avoid: Iterable[WorkerId]
) -> tuple[int, int, int, float]:
    """Return the cost of a placement as a sort key; the lowest is best.

    The parts, in order of weight: the task failed on the worker before; the worker is
    in another rack than the task's data, where the task takes several times as long;
    the worker already has half of a long-running step's tasks, which are shared by two
    workers so that the loss of one leaves half of them; free CPU. Tasks are packed on
    the fullest worker, which keeps whole workers free to be moved. Best-effort tasks go
    to the emptiest, since they run on spare CPU.
    """
    step = requirements.step
    failed_here = int(worker.worker_id in workers_to_avoid)
    remote = int(bool(step.data_rack) and step.data_rack != worker.entry.rack)
    if step.uses_spare_cpu:
        return (failed_here, remote, 0, -float(worker.free.cpu))
    crowded = 0
    if step.long_running:
        running_here = worker.count_runs_of_step(
            requirements.job, requirements.occurrence, requirements.step_number
        )
        crowded = int(running_here >= (step.count + 1) // 2)
    return (failed_here, remote, crowded, float(worker.free.cpu))


def choose_worker(
    requirements: StepRequirements,
    workers: Sequence[Worker],
    workers_to_avoid: Iterable[WorkerId] = (),
) -> Worker | None:
    """Return the worker with capacity and the lowest cost, or None."""
    best: Worker | None = None
    best_cost: tuple[int, int, int, float] | None = None
    for worker in workers:
        if not has_capacity(requirements, worker):
            continue
        candidate = placement_cost(requirements, worker, workers_to_avoid)
        if best_cost is None or candidate < best_cost:
            best, best_cost = worker, candidate
    return best


def best_fit_order(
    requirements: StepRequirements, workers: Sequence[Worker]
) -> Sequence[Worker] | None:
    """Return the workers with capacity in the order in which the step fills them.

    Best fit places a task on the worker with the least free CPU. That worker then has
    even less, so the next equal task goes there too until it is full. One sorted pass
    therefore places a whole step. Returns None for best-effort and long-running steps,
    where each placement changes the order.
    """
    step = requirements.step
    if step.uses_spare_cpu or step.long_running:
        return None
    reserved, rack = step.reserved, step.data_rack
    with_capacity = [worker for worker in workers if reserved.fits_into(worker.free)]
    with_capacity.sort(
        key=lambda worker: (bool(rack) and rack != worker.entry.rack, worker.free.cpu)
    )
    return with_capacity


def choose_gang_workers(
    requirements: StepRequirements,
    workers: Sequence[Worker],
    positions: Sequence[int],
    bound: Mapping[int, WorkerId] = NOT_BOUND,
) -> dict[int, Worker] | None:
    """Return a worker for each task position of a gang, None if not all fit.

    Tries each rack on its own first if the step prefers a single rack. ``bound`` names
    the only worker of some positions.
    """
    groups: list[Sequence[Worker]] = [workers]
    if requirements.step.same_rack:
        racks = sorted({worker.entry.rack for worker in workers})
        by_rack = [[w for w in workers if w.entry.rack == rack] for rack in racks]
        groups = [*by_rack, workers]
    for group in groups:
        chosen = _place_gang(requirements, group, positions, bound)
        if chosen is not None:
            return chosen
    return None


def _place_gang(
    requirements: StepRequirements,
    workers: Sequence[Worker],
    positions: Sequence[int],
    bound: Mapping[int, WorkerId],
) -> dict[int, Worker] | None:
    free = {worker.worker_id: worker.free for worker in workers}
    running_here = {
        w.worker_id: w.count_runs_of_step(
            requirements.job, requirements.occurrence, requirements.step_number
        )
        for w in workers
    }
    limit = requirements.step.max_per_worker or len(positions)
    chosen: dict[int, Worker] = {}
    reserved = requirements.step.reserved
    workers_by_cost = sorted(workers, key=lambda w: placement_cost(requirements, w, ()))

    def take(position: int, worker: Worker) -> bool:
        name = worker.worker_id
        if not reserved.fits_into(free[name]) or running_here[name] >= limit:
            return False
        chosen[position] = worker
        free[name] = free[name] - reserved
        running_here[name] += 1
        return True

    # Bound positions have no choice, so they come first.
    by_id = {worker.worker_id: worker for worker in workers}
    for position in [position for position in positions if position in bound]:
        bound_worker = by_id.get(bound[position])
        if bound_worker is None or not take(position, bound_worker):
            return None
    # The members are equal, so a worker that has no room for one has none for the next.
    candidates = iter(workers_by_cost)
    candidate = next(candidates, None)
    for position in positions:
        if position in bound:
            continue
        while candidate is not None and not take(position, candidate):
            candidate = next(candidates, None)
        if candidate is None:
            return None
    return chosen
