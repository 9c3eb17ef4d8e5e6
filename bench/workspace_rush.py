"""Replays a day on which one workspace sends 8 times its usual load.

``python -m bench.workspace_rush`` prints the share of jobs on time of each workspace
with and without the rush, for several orders of the waiting jobs. All jobs are
accepted, so that the figures show the order of starts alone.
"""

import argparse
import random
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from absl import logging

from ebonyhub.configuration import Queue, Workspace
from ebonyhub.ids import QueueName, ServiceName, WorkspaceName
from ebonyhub.jobs.model import Resources, StepSpec
from standins.recorded_jobs import (
    JobOutcome,
    RecordedDay,
    RecordedJob,
    RecordedStep,
)
from standins.replayed_fleet import Attempt, ReplayedFleet

from .recorded_day import CALL_TIMEOUT_SECONDS, MAX_ATTEMPTS, STANDBY
from .share_orders import ORDERS

SEED = 1
DAY_SECONDS = 40.0
RUSH_SECONDS = (8.0, 24.0)
RUSH_FACTOR = 8
SERVICES = (ServiceName("render"), ServiceName("report"))
WORKSPACES = tuple(WorkspaceName(f"workspace-{number}") for number in range(4))
RUSHING = WORKSPACES[0]
VM_CAPACITY = Resources(16_000, 32_768, 0)
VMS_PER_POOL = 10
# Part of the VMs that a fleet without 40% of its workers has.
REDUCED = 0.6
# Weight of a workspace as a multiple of the jobs per second that it usually sends.
WEIGHT_FACTOR = 1.5
# Means of a job: tasks of each of its steps, cores and seconds of a task.
MEAN_STEPS, MEAN_TASKS, MEAN_CORES, MEAN_SECONDS = 1.5, 5, 1.5, 1.0
MEAN_CORE_SECONDS = MEAN_STEPS * MEAN_TASKS * MEAN_CORES * MEAN_SECONDS


@dataclass(frozen=True, slots=True)
class Scenario:
    """Load as a part of the whole fleet's capacity, and the part of its VMs."""

    name: str
    usual_load: float
    vms: float

    @property
    def fleet_cores(self) -> float:
        """Return the cores of all pools, including the standby pool."""
        pools = len(SERVICES) + 1
        return pools * round(VMS_PER_POOL * self.vms) * VM_CAPACITY.cpu / 1000

    @property
    def jobs_per_second(self) -> float:
        """Return the jobs per second of one workspace that sends its usual load."""
        whole = replace(self, vms=1.0).fleet_cores
        return self.usual_load * whole / MEAN_CORE_SECONDS / len(WORKSPACES)

    @property
    def weight(self) -> float:
        """Return the weight of each workspace."""
        return WEIGHT_FACTOR * self.jobs_per_second


SCENARIOS = (
    Scenario("all workers", 0.5, 1.0),
    Scenario("60% of the workers", 0.5, REDUCED),
    Scenario("60% of the workers, too little for the others", 0.9, REDUCED),
)


def build_day(scenario: Scenario, rush: bool, seed: int = SEED) -> RecordedDay:
    """Return a day; the jobs of a rush are added to those of the usual load."""
    queues = tuple(_queue(number, name) for number, name in enumerate(SERVICES))
    jobs: list[RecordedJob] = []
    for workspace in WORKSPACES:
        rng = random.Random(f"{workspace}-{seed}")
        rate = scenario.jobs_per_second
        jobs += _arrivals(rng, workspace, queues, rate, (0.0, DAY_SECONDS))
        if rush and workspace == RUSHING:
            more = rate * (RUSH_FACTOR - 1)
            jobs += _arrivals(rng, workspace, queues, more, RUSH_SECONDS)
    return RecordedDay(
        queues=queues,
        vms_per_pool=round(VMS_PER_POOL * scenario.vms),
        vms_per_rack=4,
        capacity=VM_CAPACITY,
        standby=STANDBY,
        jobs=tuple(sorted(jobs, key=lambda job: job.at)),
    )


def _queue(number: int, service: ServiceName) -> Queue:
    name = QueueName(f"queue-{number}")
    return Queue(
        name, "host", f"/{name}/", service, 0, MAX_ATTEMPTS, stretch=1.6,
        target_seconds=0.6, timeout_seconds=CALL_TIMEOUT_SECONDS,
    )  # fmt: skip


def _arrivals(
    rng: random.Random,
    workspace: WorkspaceName,
    queues: Sequence[Queue],
    rate: float,
    period: tuple[float, float],
) -> Iterable[RecordedJob]:
    """Return jobs with exponential times between them."""
    at = period[0] + rng.expovariate(rate)
    while at < period[1]:
        queue = rng.choice(queues).name
        yield RecordedJob(at, queue, _steps(rng), workspace)
        at += rng.expovariate(rate)


def _steps(rng: random.Random) -> tuple[RecordedStep, ...]:
    built: list[RecordedStep] = []
    for number in range(rng.choice((1, 2))):
        tasks = rng.randint(1, 2 * MEAN_TASKS - 1)
        millicores = rng.randint(500, int(MEAN_CORES * 2000) - 500)
        task_ms = rng.randint(300, int(MEAN_SECONDS * 2000) - 300)
        spec = StepSpec(
            count=tasks,
            demand=Resources(millicores, millicores),
            estimate_ms=task_ms,
            after=(number - 1,) if number else (),
        )
        built.append(RecordedStep(spec, (task_ms,) * tasks))
    return tuple(built)


class AcceptingFleet(ReplayedFleet):
    """A fleet whose entries accept every job."""

    def admit(self, attempt: Attempt) -> bool:
        """Return True: admission is not part of these replays."""
        return True


def play(
    scenario: Scenario, rush: bool, seed: int = SEED, order: str = "shares"
) -> list[JobOutcome]:
    """Replay a day with one of ``ORDERS``."""
    scheduler = ORDERS[order]()
    scheduler.workspaces.configure(
        {
            name: Workspace(name, priority=0, weight=scenario.weight)
            for name in WORKSPACES
        }
    )
    fleet = AcceptingFleet(build_day(scenario, rush, seed), scheduler=scheduler)
    return fleet.play().outcomes


def on_time_shares(outcomes: Sequence[JobOutcome]) -> dict[WorkspaceName, float]:
    """Return the share of jobs on time of each workspace."""
    shares: dict[WorkspaceName, float] = {}
    for name in WORKSPACES:
        of_workspace = [o for o in outcomes if o.job.workspace == name]
        on_time = sum(outcome.in_time for outcome in of_workspace)
        shares[name] = on_time / len(of_workspace)
    return shares


def fair_share(scenario: Scenario) -> float:
    """Return the part of the usual load that a fair share of the fleet serves.

    Weights and usual loads of all workspaces are equal, and the rush takes all that
    the others leave, so each gets an equal part of the cores.
    """
    cores_needed = scenario.jobs_per_second * MEAN_CORE_SECONDS
    return min(1.0, scenario.fleet_cores / len(WORKSPACES) / cores_needed)


def main(arguments: Sequence[str]) -> int:
    """Print the shares on time of all scenarios."""
    parser = argparse.ArgumentParser(prog="bench.workspace_rush", description=__doc__)
    parser.add_argument("--seed", action="append", type=int)
    parser.add_argument("--order", action="append", choices=sorted(ORDERS))
    options = parser.parse_args(arguments)
    logging.set_verbosity(logging.FATAL)
    print(
        "scenario, seed, fair share: jobs on time of each workspace; first one rushes"
    )
    for scenario in SCENARIOS:
        for seed in options.seed or [SEED]:
            print(f"{scenario.name}, {seed}, {fair_share(scenario):.3f}")
            for order in options.order or ["shares"]:
                for text, rush in (("no rush", False), ("rush", True)):
                    shares = on_time_shares(play(scenario, rush, seed, order))
                    row = "  ".join(f"{share:.3f}" for share in shares.values())
                    print(f"  {order:16} {text:8} {row}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
