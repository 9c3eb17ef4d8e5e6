"""Records of jobs that had finished before the run, as earlier leaders stored them."""

import random
import time

import msgspec

from ebonyhub.ids import JobId, QueueName, ServiceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    accepted_key,
    progress_key,
)
from standins.memory_store import StoreCore
from standins.oracle import Oracle

# Jobs whose state callers may still read, and jobs that the leader removes.
RECENT_JOBS = 60
EXPIRED_JOBS = 60
RECENT_AGE_SECONDS = (0.0, 10.0)
EXPIRED_AGE_SECONDS = (300.0, 900.0)
MAX_ATTEMPTS = 3
QUEUE = QueueName("r-plans")
SERVICE = ServiceName("plans")


def store_finished_jobs(
    core: StoreCore, oracle: Oracle, rng: random.Random
) -> list[str]:
    """Store finished jobs; return those whose state must still be known."""
    ages = [RECENT_AGE_SECONDS] * RECENT_JOBS + [EXPIRED_AGE_SECONDS] * EXPIRED_JOBS
    jobs = [_store_finished_job(core, oracle, rng, age) for age in ages]
    return jobs[:RECENT_JOBS]


def _store_finished_job(
    core: StoreCore, oracle: Oracle, rng: random.Random, age: tuple[float, float]
) -> str:
    job = JobId(f"{rng.getrandbits(64):016x}")
    steps = tuple(
        StepSpec(rng.randint(1, 4), Resources(1000, 100), 300, tuple(range(number)))
        for number in range(rng.randint(1, 3))
    )
    spec = JobSpec("300", steps)
    finished_ms = int((time.time() - rng.uniform(*age)) * 1000)
    accepted = AcceptedJob(job, QUEUE, SERVICE, MAX_ATTEMPTS, finished_ms - 2000, spec)
    progress = ProgressRecord(JobState.COMPLETED, {}, 1, finished_ms)
    core.put(accepted_key(job), msgspec.msgpack.encode(accepted))
    core.put(progress_key(job), msgspec.msgpack.encode(progress))
    oracle.record_submission(job, spec)
    oracle.record_earlier_completion(job)
    return job
