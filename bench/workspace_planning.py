"""Measures what workspaces cost the planning of many waiting jobs.

``python -m bench.workspace_planning`` prints the processor time of one pass, and of a
pass that computes the shares anew, at the size of ``bench.scheduling``.
"""

import random
import time

import msgspec
from absl import logging

from bench.scheduling import SIZES, build_scheduler, make_job, median_ms
from ebonyhub.configuration import Workspace
from ebonyhub.ids import WorkspaceName
from ebonyhub.jobs.model import Resources
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.workspaces.policy import WorkspacePolicy, WorkspaceRules

WORKSPACES = 240
NO_LIMIT = Resources()
# Weight (jobs per second) and limit of each workspace.
CASES = {
    "no workspaces": None,
    "no limit, all within the rate": (1e6, NO_LIMIT),
    "no limit, most over the rate": (1.0, NO_LIMIT),
    "limit of 40 cores": (1e6, Resources(40_000)),
    "limit of 4 cores": (1e6, Resources(4000)),
    "limit of 20 GB": (1e6, Resources(0, 20_000)),
}


def build(weight: float, limit: Resources) -> Scheduler:
    """Return a scheduler with the largest number of waiting jobs."""
    workers, jobs = SIZES[-1]
    scheduler = build_scheduler(workers, 0)
    scheduler.workspaces = WorkspacePolicy(WorkspaceRules(enforced=True))
    names = [WorkspaceName(f"workspace-{number}") for number in range(WORKSPACES)]
    scheduler.workspaces.configure(
        {name: Workspace(name, weight=weight, limit=limit) for name in names}
    )
    rng = random.Random(1)
    for number in range(jobs):
        job = make_job(number, rng)
        name = names[number % WORKSPACES]
        accepted = msgspec.structs.replace(job, workspace=name)
        scheduler.load_job(accepted, None, False, 0.0, 1)
    return scheduler


def assessment_ms(scheduler: Scheduler) -> float:
    """Return the time of a pass after which all that is counted is out of date."""
    now = 0.1
    times: list[float] = []
    for _ in range(7):
        now += 1.0
        for worker in scheduler.workers.values():
            worker.last_response_at = now
        started = time.process_time()
        scheduler.plan(now)
        times.append((time.process_time() - started) * 1000)
    return sorted(times)[len(times) // 2]


def main() -> None:
    """Print a row for each case."""
    logging.set_verbosity(logging.FATAL)
    print(f"{'':32}first pass ms  pass ms  with shares ms  demand ms")
    for name, case in CASES.items():
        scheduler = build_scheduler(*SIZES[-1]) if case is None else build(*case)
        started = time.process_time()
        scheduler.plan(0.1)
        first_ms = (time.process_time() - started) * 1000
        pass_ms = median_ms(lambda s=scheduler: s.plan(0.1))  # type: ignore[misc]
        shares_ms = assessment_ms(scheduler)
        demand_ms = median_ms(lambda s=scheduler: s.demands(0.1))  # type: ignore[misc]
        print(
            f"{name:32}{first_ms:13.0f}{pass_ms:9.2f}{shares_ms:16.2f}{demand_ms:11.2f}"
        )


if __name__ == "__main__":
    main()
