"""Processor time of the leader's work at several sizes, and its memory.

Prints one row for each size; docs/CAPACITY.md is worked out from these slopes.
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
        scheduler.handle_worker_entry(entry, 0.0)
        worker = scheduler.workers[entry.worker]
        scheduler.handle_report(worker, WorkerReport(1, 1, (), ()), 0.0, 0.0, 1)
    for number in range(jobs):
        scheduler.load_job(job(number, rng), None, False, 0.0, 1)
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
    print_states()


def print_states() -> None:
    """Print what the states of jobs cost the leader and every other entry."""
    print("   jobs  bytes a row  encode us a row  apply us a row  follower MB")
    for _, jobs in SIZES:
        rng = random.Random(1)
        leader, follower = JobMirror(), JobMirror()
        leader.retain_records(True)
        for number in range(jobs):
            accepted = job(number, rng)
            value = msgspec.msgpack.encode(accepted)
            item = Item(accepted_key(accepted.job), value, Revision(number + 1))
            leader.apply(item)
        started = time.process_time()
        packed = msgpack.packb(leader.take_changes())
        encoding = (time.process_time() - started) / jobs * 1e6
        tracemalloc.start()
        rows = msgpack.unpackb(packed)
        follower.apply_states(rows, False, 0.0)
        del rows
        megabytes = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        again = JobMirror()
        started = time.process_time()
        again.apply_states(msgpack.unpackb(packed), False, 0.0)
        applying = (time.process_time() - started) / jobs * 1e6
        print(
            f"{jobs:7}{len(packed) / jobs:13.1f}{encoding:17.2f}{applying:16.2f}"
            f"{megabytes:13.2f}"
        )


if __name__ == "__main__":
    main()
