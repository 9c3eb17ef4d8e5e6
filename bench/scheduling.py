"""Processor time of the leader's work at several sizes, and its memory.

Prints one row for each size; docs/CAPACITY.md is worked out from these slopes.
"""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from absl import logging

from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.ids import JobId, RackId, Revision, VmId, WorkerId
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import accepted_key
from ebonyhub.scheduling.model import WorkerEntry, WorkerReport
from ebonyhub.scheduling.scheduler import Scheduler
from standins.emulator import QUEUE, SERVICE, one_queue_configuration

# Workers and waiting jobs.
SIZES = ((48, 500), (100, 1000), (300, 4000), (740, 10_000))
TASKS_PER_JOB = 8
REPEATS = 7
# Cores of a worker; the waiting jobs fill all of them.
WORKER_CORES = 32


def build(workers: int, jobs: int) -> Scheduler:
    """Return a scheduler whose workers are full and whose jobs wait."""
    rng = random.Random(1)
    scheduler = Scheduler()
    scheduler.configure(one_queue_configuration())
    for number in range(workers):
        rack = RackId(f"r{number // 4}")
        entry = WorkerEntry(
            WorkerId(f"w{number}"), SERVICE, "127.0.0.1:1", "z", ("a", rack), rack,
            Resources(WORKER_CORES * 1000, 65536, 0), False, None, 1,
            VmId(f"m{number}"),
        )  # fmt: skip
        scheduler.see_worker(entry, 0.0)
        worker = scheduler.workers[entry.worker]
        scheduler.handle_report(worker, WorkerReport(1, 1, (), ()), 0.0, 0.0, 1)
    for number in range(jobs):
        scheduler.load(job(number, rng), None, False, 0.0, 1)
    return scheduler


def job(number: int, rng: random.Random) -> AcceptedJob:
    """Return a job of eight tasks."""
    step = StepSpec(
        TASKS_PER_JOB,
        Resources(rng.randint(1000, 5000), 1000, 0),
        rng.randint(300, 3000),
    )
    spec = JobSpec("x" * 300, (step,))
    return AcceptedJob(JobId(f"{number:016x}"), QUEUE, SERVICE, 3, 0, spec)


def median_ms(action: Callable[[], object]) -> float:
    """Return the median processor time of an action in ms."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def main() -> None:
    """Print the table."""
    logging.set_verbosity(logging.FATAL)
    print("workers   jobs  first plan ms  full plan ms  tick ms  demand ms  MB")
    for workers, jobs in SIZES:
        tracemalloc.start()
        scheduler = build(workers, jobs)
        megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        started = time.process_time()
        scheduler.plan(0.1)
        first = (time.process_time() - started) * 1000
        full = median_ms(lambda s=scheduler: s.plan(0.1))  # type: ignore[misc]
        tick = median_ms(lambda s=scheduler: s.tick(0.1, 1))  # type: ignore[misc]
        demand = median_ms(lambda s=scheduler: s.demands(0.1))  # type: ignore[misc]
        print(
            f"{workers:7}{jobs:7}{first:15.1f}{full:14.2f}{tick:9.2f}{demand:11.2f}"
            f"{megabytes:4.0f}"
        )
    print_mirror()


def print_mirror() -> None:
    """Print what one record costs every entry."""
    rng = random.Random(1)
    mirror = JobMirror()
    items = []
    for number in range(2000):
        accepted = job(number, rng)
        value = msgspec.msgpack.encode(accepted)
        items.append(Item(accepted_key(accepted.job), value, Revision(number + 1)))
    started = time.process_time()
    for item in items:
        mirror.apply(item)
    microseconds = (time.process_time() - started) / len(items) * 1e6
    print(f"mirror: {microseconds:.1f} microseconds for each accepted job")


if __name__ == "__main__":
    main()
