"""Submits jobs, follows them to their end and compares the answers with the runs."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field

from standins.job_cluster import JobCluster

# Interval at which a caller asks for the state of its job.
POLL_SECONDS = 0.1


@dataclass
class JobReport:
    """Answers that callers got; ``completed`` has the number of tasks of each job."""

    counts: Counter[str] = field(default_factory=Counter)
    completed: dict[str, int] = field(default_factory=dict)
    durations_seconds: list[float] = field(default_factory=list)

    def guarantee_violations(self, cluster: JobCluster) -> list[str]:
        """Return tasks that completed twice and completed jobs with missing tasks."""
        completions = Counter(
            task for w in cluster.platform.workers for task in w.completed_tasks
        )
        problems = [
            f"{task} completed {n} times" for task, n in completions.items() if n > 1
        ]
        for job, tasks in self.completed.items():
            count = sum(1 for task in completions if task.startswith(job))
            if count != tasks:
                problems.append(f"{job}: {count} of {tasks} tasks completed")
        return problems


async def run_job(
    cluster: JobCluster,
    job: str,
    report: JobReport,
    rng: random.Random,
    timeout_seconds: float,
) -> None:
    """Submit one job and poll its state until it completes, at random entries."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    tasks = rng.randint(1, 4)
    text = str(rng.choice([50, 150, 300]))
    steps = [
        {"Count": tasks, "Cpu": 1000, "MemMb": 100, "EstimatedMs": int(text)},
        {"Count": 1, "Cpu": 500, "MemMb": 100, "EstimatedMs": 100, "After": [0]},
    ]
    body = {"Spec": text, "Steps": steps}
    accepted = False
    while loop.time() - started < timeout_seconds:
        if not accepted:
            answer = await cluster.call(rng.choice(cluster.names), "POST", job, body)
            accepted = answer is not None and answer.status == 200
            if not accepted:
                report.counts["submissions repeated"] += 1
        else:
            answer = await cluster.call(rng.choice(cluster.names), "GET", job)
            if answer is not None and answer.status == 200:
                if json.loads(answer.body)["State"] == "completed":
                    report.completed[job] = tasks + 1
                    report.counts["completed"] += 1
                    report.durations_seconds.append(loop.time() - started)
                    return
            elif answer is not None and answer.status == 410:
                report.counts["accepted job unknown"] += 1
        await asyncio.sleep(POLL_SECONDS)
    report.counts["not completed in time"] += 1


async def run_jobs(
    cluster: JobCluster,
    count: int,
    interval_seconds: float,
    seed: int,
    timeout_seconds: float,
) -> JobReport:
    """Submit ``count`` jobs, one every ``interval_seconds``, and wait for them."""
    rng = random.Random(seed)
    report = JobReport()
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            job = f"{rng.getrandbits(64):016x}"
            job_rng = random.Random(rng.random())
            group.create_task(run_job(cluster, job, report, job_rng, timeout_seconds))
            await asyncio.sleep(interval_seconds)
    return report
