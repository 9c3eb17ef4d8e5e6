"""End-to-end test of jobs with real entry processes on the platform's stand-in.

Guards against faults between the parts when the leader is killed or stopped, all
entries are killed, or the store is unavailable.
"""

import asyncio
import json
import signal

import pytest

from standins.job_cluster import JobCluster
from standins.job_demo import wait_until_ready
from standins.job_load import run_jobs
from standins.job_platform import CRASHING_TEXT

JOBS = 20
GAP_SECONDS = 0.1
# Time within which every job must be completed; generous, because the machine may be
# busy.
COMPLETION_LIMIT_SECONDS = 60.0
OUTAGE_SECONDS = 2.0


async def kill_leader(cluster):
    leader = cluster.leader()
    cluster.processes[leader].kill()
    await asyncio.sleep(0.5)
    cluster.start_entry(leader)


async def stop_leader(cluster):
    leader = cluster.leader()
    cluster.processes[leader].send_signal(signal.SIGTERM)
    while cluster.processes[leader].poll() is None:
        await asyncio.sleep(0.05)
    assert cluster.processes[leader].returncode == 0
    cluster.start_entry(leader)


async def kill_all(cluster):
    for name in cluster.names:
        cluster.processes[name].kill()
    for name in cluster.names:
        cluster.start_entry(name)


async def interrupt_store(cluster):
    cluster.platform.store.down = True
    await asyncio.sleep(OUTAGE_SECONDS)
    cluster.platform.store.down = False


async def no_fault(cluster):
    await asyncio.sleep(0)


@pytest.mark.parametrize(
    "cause_fault", [no_fault, kill_leader, stop_leader, kill_all, interrupt_store]
)
async def test_every_accepted_job_is_done_once(cause_fault):
    cluster = JobCluster(3, 2)
    try:
        await cluster.platform.start()
        for name in cluster.names:
            cluster.start_entry(name)
        await wait_until_ready(cluster)
        load = asyncio.create_task(
            run_jobs(cluster, JOBS, GAP_SECONDS, 7, COMPLETION_LIMIT_SECONDS)
        )
        await asyncio.sleep(0.7)
        await cause_fault(cluster)
        report = await load
        assert report.counts["completed"] == JOBS, report.counts
        assert report.counts["accepted job unknown"] == 0
        assert report.guarantee_violations(cluster) == []
    finally:
        await cluster.platform.stop()
        cluster.close()


async def wait_for_state(cluster, job, state):
    async with asyncio.timeout(COMPLETION_LIMIT_SECONDS):
        while True:
            answer = await cluster.call(cluster.names[0], "GET", job)
            if answer is not None and json.loads(answer.body).get("State") == state:
                return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("cause_fault", [no_fault, kill_leader])
async def test_job_that_crashes_its_workers_is_shown_as_failed(cause_fault):
    cluster = JobCluster(3, 4)
    job = "00000000000000aa"
    step = {"Count": 1, "Cpu": 500, "MemMb": 100, "EstimatedMs": 300}
    try:
        await cluster.platform.start()
        for name in cluster.names:
            cluster.start_entry(name)
        await wait_until_ready(cluster)
        load = asyncio.create_task(
            run_jobs(cluster, JOBS, GAP_SECONDS, 7, COMPLETION_LIMIT_SECONDS)
        )
        body = {"Spec": CRASHING_TEXT, "Steps": [step]}
        answer = await cluster.call(cluster.names[0], "POST", job, body)
        assert answer.status == 200
        await asyncio.sleep(0.7)
        await cause_fault(cluster)
        await wait_for_state(cluster, job, "failed")
        report = await load
        assert report.counts["completed"] == JOBS, report.counts
        started = [t for w in cluster.platform.workers for t in w.started_tasks]
        assert sum(task.startswith(job) for task in started) <= 5
    finally:
        await cluster.platform.stop()
        cluster.close()
