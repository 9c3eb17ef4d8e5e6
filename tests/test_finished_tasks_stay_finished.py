"""Finished tasks while terms of leadership end in quick succession.

Guards against a task whose end was acknowledged to its worker and that starts again.
"""

import asyncio
import json

import pytest

from standins.job_cluster import JobCluster
from standins.job_demo import wait_until_ready

JOB = "00000000000000c1"
TASKS = 6
TASK_MS = 1500
# Behind the ids of the workers, so that a leader reads the workers' entries first.
ODD_KEY = "servers/zz-other"
# How long the entry is there after the tasks have ended.
ODD_ENTRY_SECONDS = 1.0
# Generous, because the machine may be busy.
LIMIT_SECONDS = 60.0

WORKER_ENTRY = {
    "Service": "plans", "Address": "127.0.0.1:9100", "Zone": "a", "State": "ready",
}  # fmt: skip
ODD_ENTRIES = {
    "nested too deeply": b"[" * 2000 + b"]" * 2000,
    "machine is a list": json.dumps({**WORKER_ENTRY, "Machine": ["m"]}).encode(),
    "port is not a number": json.dumps({**WORKER_ENTRY, "Address": "x:²"}).encode(),
}


async def wait_until(condition):
    async with asyncio.timeout(LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


async def wait_for_state(cluster, job, state):
    async with asyncio.timeout(LIMIT_SECONDS):
        while True:
            answer = await cluster.call(cluster.names[0], "GET", job)
            if answer is not None and json.loads(answer.body).get("State") == state:
                return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("odd_entry", ODD_ENTRIES)
async def test_tasks_that_end_beside_an_unreadable_entry_start_once(odd_entry):
    cluster = JobCluster(3, 3)
    platform = cluster.platform
    step = {"Count": TASKS, "Cpu": 1000, "MemMb": 100, "EstimatedMs": TASK_MS}
    body = {"Spec": str(TASK_MS), "Steps": [step, {**step, "Count": 1, "After": [0]}]}
    try:
        await platform.start()
        for name in cluster.names:
            cluster.start_entry(name)
        await wait_until_ready(cluster)
        answer = await cluster.call(cluster.names[0], "POST", JOB, body)
        assert answer.status == 200
        await wait_until(lambda: len(platform.run_log.runs) == TASKS)
        platform.core.put(ODD_KEY, ODD_ENTRIES[odd_entry])
        await wait_until(lambda: all(run.ended_at for run in platform.run_log.runs))
        await asyncio.sleep(ODD_ENTRY_SECONDS)
        platform.core.delete(ODD_KEY)
        await wait_for_state(cluster, JOB, "completed")
        assert platform.run_log.repeated_starts() == []
    finally:
        await platform.stop()
        cluster.close()
