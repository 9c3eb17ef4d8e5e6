"""Submits jobs, follows them to their end, and compares with what workers did."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field

from standins.job_cluster import JobCluster

# Seconds between two questions about a job.
POLL_SECONDS = 0.1


@dataclass
class JobReport:
    """What callers were told."""

    counts: Counter[str] = field(default_factory=Counter)
    completed: dict[str, int] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)

    def broken_promises(self, cluster: JobCluster) -> list[str]:
        """Return what differs between callers' answers and the workers' work."""
        done = Counter(task for w in cluster.platform.workers for task in w.done)
        problems = [f"{task} was done {n} times" for task, n in done.items() if n > 1]
        for job, tasks in self.completed.items():
            count = sum(1 for task in done if task.startswith(job))
            if count != tasks:
                problems.append(f"{job}: {count} of {tasks} tasks done")
        return problems


async def run_job(
    cluster: JobCluster, job: str, report: JobReport, rng: random.Random, limit: float
) -> None:
    """Submit one job at any entry and follow it at any entry."""
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
    while loop.time() - started < limit:
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
                    report.seconds.append(loop.time() - started)
                    return
            elif answer is not None and answer.status == 410:
                report.counts["accepted job unknown"] += 1
        await asyncio.sleep(POLL_SECONDS)
    report.counts["not completed in time"] += 1


async def run_jobs(
    cluster: JobCluster, count: int, gap: float, seed: int, limit: float
) -> JobReport:
    """Run a number of jobs, one each ``gap`` seconds."""
    rng = random.Random(seed)
    report = JobReport()
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            job = f"{rng.getrandbits(64):016x}"
            own = random.Random(rng.random())
            group.create_task(run_job(cluster, job, report, own, limit))
            await asyncio.sleep(gap)
    return report
