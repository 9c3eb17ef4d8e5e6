"""Runs jobs on three entry processes and kills the leader meanwhile.

Exits with 1 if a guarantee was violated or a job did not complete.
"""

import asyncio
import sys

from standins.job_cluster import JobCluster
from standins.job_load import JobReport, run_jobs

ENTRIES = 3
WORKERS = 3
JOBS = 60
SUBMISSION_INTERVAL_SECONDS = 0.1
KILL_AFTER_SECONDS = 3.0
JOB_TIMEOUT_SECONDS = 30.0


async def wait_until_ready(cluster: JobCluster) -> None:
    """Wait until every entry is ready and one of them leads; or TimeoutError."""
    for _ in range(200):
        ready = [await cluster.is_ready(name) for name in cluster.names]
        if all(ready) and cluster.leader() is not None:
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("entries not ready or no leader elected after 200 checks")


async def kill_leader(cluster: JobCluster, after_seconds: float) -> None:
    """Kill the leader's process and start it again 1 s later."""
    await asyncio.sleep(after_seconds)
    leader = cluster.leader()
    assert leader is not None
    print(f"killed the leader, {leader}", flush=True)
    cluster.processes[leader].kill()
    await asyncio.sleep(1.0)
    cluster.start_entry(leader)


async def run() -> tuple[JobReport, list[str]]:
    """Run the demo; return its counts and the violated guarantees."""
    cluster = JobCluster(ENTRIES, WORKERS)
    try:
        await cluster.platform.start()
        for name in cluster.names:
            cluster.start_entry(name)
        await wait_until_ready(cluster)
        killing = asyncio.create_task(kill_leader(cluster, KILL_AFTER_SECONDS))
        report = await run_jobs(
            cluster, JOBS, SUBMISSION_INTERVAL_SECONDS, 1, JOB_TIMEOUT_SECONDS
        )
        await killing
        return report, report.guarantee_violations(cluster)
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
    print("FAILED: a guarantee was violated" if failed else "all guarantees held")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
