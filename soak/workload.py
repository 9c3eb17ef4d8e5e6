"""Draws the jobs that the callers of the soak submit."""

import random
import time
from dataclasses import dataclass
from enum import Enum
from typing import Any

from standins.job_platform import FAILING_TEXT, FLAKY_TEXT, LONG_RUNNING_TEXT

# Run times of tasks, which the text of a job gives.
RUN_TIMES_MS = (50, 300, 1200)
CPU_RANGE = (500, 1500)
MAX_STEPS = 4
MAX_TASKS_PER_STEP = 4
# Long-running jobs that arrive during the load are smaller, so that those that are not
# cancelled leave most of the capacity to the others.
MAX_ADDED_LONG_RUNNING_TASKS = 2
# Run time of the tasks of timed and flaky jobs in the stand-in.
SHORT_TASK_MS = 200
# Run time of tasks that outlast the lease of a worker that is cut off.
LONG_TASK_MS = 9_000
LONG_TASK_CPU = 100
MAX_LONG_TASKS = 3
# Tasks of wide jobs, and the share of the seeds that have one.
WIDE_TASKS = (2000, 8000)
WIDE_SHARE = 0.25
WIDE_TASK_MS = 300
WIDE_TASK_CPU = 5
# Time until the first occurrence of a timed job, between its occurrences, and how many.
FIRST_RUN_MS = (200, 1500)
INTERVAL_MS = (200, 1000)
OCCURRENCES = (2, 4)
# Shares of jobs that are cancelled, and of callers that do not retry a refusal. More of
# the long-running jobs are cancelled, since the others never free their capacity.
CANCEL_SHARE = 0.1
LONG_RUNNING_CANCEL_SHARE = 0.6
ABANDON_SHARE = 0.3
CANCEL_DELAY_SECONDS = (0.0, 2.0)


class JobKind(Enum):
    """How the tasks of a job run and end."""

    STEPS = "steps"
    TIMED = "timed"
    LONG_RUNNING = "long_running"
    # Every run fails, so the job is given up after its last attempt.
    FAILING = "failing"
    # The first run of each task fails.
    FLAKY = "flaky"


KIND_WEIGHTS: dict[JobKind, int] = {
    JobKind.STEPS: 76,
    JobKind.TIMED: 8,
    JobKind.LONG_RUNNING: 3,
    JobKind.FAILING: 5,
    JobKind.FLAKY: 8,
}


@dataclass(frozen=True, slots=True)
class DrawnJob:
    """A job and what its caller does with it."""

    job: str
    kind: JobKind
    body: dict[str, Any]
    # Seconds from the acceptance to the cancellation; None if it is not cancelled.
    cancel_after: float | None
    # Whether the caller stops after a refusal.
    abandons: bool

    @property
    def task_count(self) -> int:
        """Return the number of tasks of one occurrence."""
        return sum(step["Count"] for step in self.body["Steps"])


def draw_job(rng: random.Random) -> DrawnJob:
    """Return a job of a drawn kind."""
    kind = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    share = LONG_RUNNING_CANCEL_SHARE if kind is JobKind.LONG_RUNNING else CANCEL_SHARE
    cancels = rng.random() < share
    return DrawnJob(
        job=f"{rng.getrandbits(64):016x}",
        kind=kind,
        body=_draw_body(rng, kind),
        cancel_after=rng.uniform(*CANCEL_DELAY_SECONDS) if cancels else None,
        abandons=kind is not JobKind.LONG_RUNNING and rng.random() < ABANDON_SHARE,
    )


def draw_lasting_job(rng: random.Random) -> DrawnJob:
    """Return a long-running job that is submitted until accepted and never ends."""
    body = _long_running_body(rng, MAX_TASKS_PER_STEP)
    job = f"{rng.getrandbits(64):016x}"
    return DrawnJob(job, JobKind.LONG_RUNNING, body, None, False)


def draw_steps_job(rng: random.Random) -> DrawnJob:
    """Return a job that runs once, at once, and that its caller does not cancel."""
    body = _draw_body(rng, JobKind.STEPS)
    return DrawnJob(f"{rng.getrandbits(64):016x}", JobKind.STEPS, body, None, False)


def draw_long_job(rng: random.Random) -> DrawnJob:
    """Return a job of long tasks that its caller does not cancel."""
    step = {
        "Count": rng.randint(1, MAX_LONG_TASKS), "Cpu": LONG_TASK_CPU, "MemMb": 100,
        "EstimatedMs": LONG_TASK_MS,
    }  # fmt: skip
    body = {"Spec": str(LONG_TASK_MS), "Steps": [step]}
    return DrawnJob(f"{rng.getrandbits(64):016x}", JobKind.STEPS, body, None, False)


def draw_wide_job(rng: random.Random, tasks: int) -> DrawnJob:
    """Return a job of many small tasks that its caller does not cancel."""
    step = {
        "Count": tasks, "Cpu": WIDE_TASK_CPU, "MemMb": 1,
        "EstimatedMs": WIDE_TASK_MS,
    }  # fmt: skip
    body = {"Spec": str(WIDE_TASK_MS), "Steps": [step]}
    return DrawnJob(f"{rng.getrandbits(64):016x}", JobKind.STEPS, body, None, False)


def draw_wide_tasks(seed: int) -> int:
    """Return the number of tasks of a seed's wide job, 0 in seeds that have none."""
    rng = random.Random(f"{seed}/wide")
    return rng.choice(WIDE_TASKS) if rng.random() < WIDE_SHARE else 0


def _draw_body(rng: random.Random, kind: JobKind) -> dict[str, Any]:
    match kind:
        case JobKind.STEPS:
            run_time = rng.choice(RUN_TIMES_MS)
            steps = _draw_steps(rng, rng.randint(1, MAX_STEPS), run_time)
            return {"Spec": str(run_time), "Steps": steps}
        case JobKind.TIMED:
            return {
                "Spec": str(SHORT_TASK_MS),
                "Steps": _draw_steps(rng, rng.randint(1, 2), SHORT_TASK_MS),
                "RepeatCount": rng.randint(*OCCURRENCES),
                "FirstRunMs": int(time.time() * 1000) + rng.randint(*FIRST_RUN_MS),
                "IntervalMs": rng.randint(*INTERVAL_MS),
            }
        case JobKind.LONG_RUNNING:
            return _long_running_body(rng, MAX_ADDED_LONG_RUNNING_TASKS)
        case JobKind.FAILING:
            return {"Spec": FAILING_TEXT, "Steps": _draw_steps(rng, 2, SHORT_TASK_MS)}
        case JobKind.FLAKY:
            steps = _draw_steps(rng, rng.randint(1, 2), SHORT_TASK_MS)
            return {"Spec": FLAKY_TEXT, "Steps": steps}


def _long_running_body(rng: random.Random, max_tasks: int) -> dict[str, Any]:
    step = {
        "Count": rng.randint(1, max_tasks), "Cpu": 1000, "MemMb": 100,
        "EstimatedMs": 500, "LongRunning": True, "AntiAffinity": 2, "MayMiss": 1,
    }  # fmt: skip
    return {"Spec": LONG_RUNNING_TEXT, "Steps": [step]}


def _draw_steps(
    rng: random.Random, count: int, run_time_ms: int
) -> list[dict[str, Any]]:
    """Return steps, each of which comes after some of the earlier ones."""
    steps: list[dict[str, Any]] = []
    for number in range(count):
        step: dict[str, Any] = {
            "Count": rng.randint(1, MAX_TASKS_PER_STEP),
            "Cpu": rng.randint(*CPU_RANGE),
            "MemMb": 100,
            "EstimatedMs": run_time_ms,
        }
        if number:
            step["After"] = sorted(rng.sample(range(number), rng.randint(1, number)))
        steps.append(step)
    return steps
