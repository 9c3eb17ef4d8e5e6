"""Explains why the tasks of a job wait, from the scheduler's current state."""

from ..ids import JobId, TaskId
from ..workspace_reports import WorkspaceOverview
from . import lifecycle
from .placement import StepRequirements, has_capacity, meets_constraints
from .runs import Job
from .scheduler import Scheduler


def explain_job(
    scheduler: Scheduler,
    job_id: JobId,
    now: float,
    workspaces: WorkspaceOverview | None = None,
) -> list[str]:
    """Return a sentence for each reason; empty if nothing waits.

    Without ``workspaces``, limits, shares and rates are not mentioned.
    """
    job = scheduler.jobs.get(job_id)
    if job is None:
        return ["the scheduler has not seen the job yet"]
    if job.is_final:
        return []
    reasons = [
        _explain_step(scheduler, job, occurrence, step, len(waiting), now)
        for (occurrence, step), waiting in job.pending.items()
    ]
    if workspaces is not None and job.accepted.workspace:
        reasons += _explain_workspace(workspaces, job)
    if job.accepted.spec.repeat_count and not job.progress.occurrences:
        reasons.append(f"occurrence {job.next_due_occurrence} is not due yet")
    unstored_changes = job.version - job.stored_version
    if unstored_changes:
        reasons.append(f"{unstored_changes} change(s) of its record are not stored yet")
    return reasons


def _explain_workspace(workspaces: WorkspaceOverview, job: Job) -> list[str]:
    """Return what limit, share or rate holds back, with one sentence for each step."""
    numbers = sorted({number for _, number in job.pending})
    steps = job.accepted.spec.steps
    held = [(n, workspaces.held_back_by(job, steps[n])) for n in numbers]
    return [
        f"step {number} is held back: {cause}"
        for number, cause in held
        if cause is not None
    ]


def known_requirements(
    scheduler: Scheduler, job: Job, occurrence: int, number: int, now: float
) -> StepRequirements:
    """Return what a step requires, with the advice on placement that is known."""
    step, key = job.accepted.spec.steps[number], (job.job_id, occurrence, number)
    advice = scheduler.advice.get(key)
    return StepRequirements(
        job.job_id, occurrence, number, step, advice.tickets if advice else None,
        refusing=scheduler.start_refusals.refusing(key, now),
    )  # fmt: skip


def _explain_step(
    scheduler: Scheduler, job: Job, occurrence: int, number: int, count: int, now: float
) -> str:
    service = scheduler.service_of(job)
    requirements = known_requirements(scheduler, job, occurrence, number, now)
    workers = [w for w in scheduler.workers.values() if w.entry.service == service]
    eligible = [worker for worker in workers if scheduler.is_eligible(worker, now)]
    allowed = [worker for worker in eligible if meets_constraints(requirements, worker)]
    with_capacity = [worker for worker in allowed if has_capacity(requirements, worker)]
    waiting = job.pending[(occurrence, number)]
    suspects = lifecycle.suspects_among(job, occurrence, number, waiting)
    alone = f"; {len(suspects)} must start alone, see E2210" if suspects else ""
    delays = [
        scheduler.crash_delays.remaining(
            TaskId(job.job_id, occurrence, number, position), now
        )
        for position in suspects
    ]
    if any(delays):
        alone += f"; delayed ones start in up to {max(delays):.0f} s, see E2220"
    return (
        f"step {number} of occurrence {occurrence}: {count} task(s) wait; service "
        f"{service} has {len(workers)} worker(s), {len(eligible)} take tasks, "
        f"{len(allowed)} may run the step, {len(with_capacity)} have room{alone}"
    )
