"""Runs jobs on three entry processes and kills the leader meanwhile.

Exits with 1 if a promise broke.
"""

import asyncio
import sys

from standins.job_cluster import JobCluster
from standins.job_load import JobReport, run_jobs

ENTRIES = 3
WORKERS = 3
JOBS = 60
GAP_SECONDS = 0.1
KILL_AFTER_SECONDS = 3.0
LIMIT_SECONDS = 30.0


async def wait_until_ready(cluster: JobCluster) -> None:
    """Wait until every entry takes callers and one of them leads."""
    for _ in range(200):
        ready = [await cluster.is_ready(name) for name in cluster.names]
        if all(ready) and cluster.leader() is not None:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("entries did not become ready")


async def kill_leader(cluster: JobCluster, after: float) -> None:
    """Kill the leader's process and start it again."""
    await asyncio.sleep(after)
    leader = cluster.leader()
    assert leader is not None
    print(f"{leader}, the leader, is killed", flush=True)
    cluster.processes[leader].kill()
    await asyncio.sleep(1.0)
    cluster.start_entry(leader)


async def run() -> tuple[JobReport, list[str]]:
    """Run the demo."""
    cluster = JobCluster(ENTRIES, WORKERS)
    try:
        await cluster.platform.start()
        for name in cluster.names:
            cluster.start_entry(name)
        await wait_until_ready(cluster)
        killing = asyncio.create_task(kill_leader(cluster, KILL_AFTER_SECONDS))
        report = await run_jobs(cluster, JOBS, GAP_SECONDS, 1, LIMIT_SECONDS)
        await killing
        return report, report.broken_promises(cluster)
    finally:
        await cluster.platform.stop()
        cluster.close()


def main() -> int:
    """Print the counts and return the exit code."""
    report, problems = asyncio.run(run())
    for name, value in sorted(report.counts.items()):
        print(f"{name:<32}{value:>8}")
    for problem in problems:
        print(problem)
    failed = bool(problems) or report.counts["completed"] != JOBS
    print("FAILED: a promise broke" if failed else "all promises held")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
