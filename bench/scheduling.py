"""Measures processor time and memory of the leader at several sizes.

Prints one row for each size; docs/CAPACITY.md is derived from their slopes.
"""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgpack
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


def build_scheduler(workers: int, jobs: int) -> Scheduler:
    """Return a scheduler with idle workers and enough waiting jobs to fill them."""
    rng = random.Random(1)
    scheduler = Scheduler()
    scheduler.records_loaded = True
    scheduler.configure(one_queue_configuration())
    for number in range(workers):
        rack = RackId(f"r{number // 4}")
        entry = WorkerEntry(
            WorkerId(f"w{number}"), SERVICE, "127.0.0.1:1", "z", ("a", rack), rack,
            Resources(WORKER_CORES * 1000, 65536, 0), False, None, 1,
            VmId(f"m{number}"),
        )  # fmt: skip
        scheduler.handle_worker_entry(entry, 0.0)
        worker = scheduler.workers[entry.worker]
        scheduler.handle_report(worker, WorkerReport(1, 1, (), ()), 0.0, 0.0, 1)
    for number in range(jobs):
        scheduler.load_job(make_job(number, rng), None, False, 0.0, 1)
    return scheduler


def make_job(number: int, rng: random.Random) -> AcceptedJob:
    """Return a job with TASKS_PER_JOB tasks of random size."""
    step = StepSpec(
        TASKS_PER_JOB,
        Resources(rng.randint(1000, 5000), 1000, 0),
        rng.randint(300, 3000),
    )
    spec = JobSpec("x" * 300, (step,))
    return AcceptedJob(JobId(f"{number:016x}"), QUEUE, SERVICE, 3, 0, spec)


def median_ms(action: Callable[[], object]) -> float:
    """Return the median processor time of REPEATS runs of an action."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        action()
        times.append((time.process_time() - started) * 1000)
    return statistics.median(times)


def main() -> None:
    """Print the costs of planning, then those of job states."""
    logging.set_verbosity(logging.FATAL)
    print("workers   jobs  first plan ms  full plan ms  tick ms  demand ms  MB")
    for workers, jobs in SIZES:
        tracemalloc.start()
        scheduler = build_scheduler(workers, jobs)
        megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        started = time.process_time()
        scheduler.plan(0.1)
        first_plan_ms = (time.process_time() - started) * 1000
        full_plan_ms = median_ms(lambda s=scheduler: s.plan(0.1))  # type: ignore[misc]
        tick_ms = median_ms(lambda s=scheduler: s.tick(0.1, 1))  # type: ignore[misc]
        demand_ms = median_ms(lambda s=scheduler: s.demands(0.1))  # type: ignore[misc]
        print(
            f"{workers:7}{jobs:7}{first_plan_ms:15.1f}{full_plan_ms:14.2f}"
            f"{tick_ms:9.2f}{demand_ms:11.2f}{megabytes:4.0f}"
        )
    print_state_costs()


def print_state_costs() -> None:
    """Print what sending and applying job states costs the leader and followers."""
    print("   jobs  bytes a row  encode us a row  apply us a row  follower MB")
    for _, jobs in SIZES:
        rng = random.Random(1)
        leader, follower = JobMirror(), JobMirror()
        leader.retain_records(True)
        for number in range(jobs):
            accepted = make_job(number, rng)
            value = msgspec.msgpack.encode(accepted)
            item = Item(accepted_key(accepted.job), value, Revision(number + 1))
            leader.apply(item)
        started = time.process_time()
        packed = msgpack.packb(leader.take_changes())
        encode_us = (time.process_time() - started) / jobs * 1e6
        tracemalloc.start()
        rows = msgpack.unpackb(packed)
        follower.apply_states(rows, False, 0.0)
        del rows
        megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        second_follower = JobMirror()
        started = time.process_time()
        second_follower.apply_states(msgpack.unpackb(packed), False, 0.0)
        apply_us = (time.process_time() - started) / jobs * 1e6
        print(
            f"{jobs:7}{len(packed) / jobs:13.1f}{encode_us:17.2f}{apply_us:16.2f}"
            f"{megabytes:13.2f}"
        )


if __name__ == "__main__":
    main()
