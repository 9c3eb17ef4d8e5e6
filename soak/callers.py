"""Callers of the soak: what they ask for, and what they were told."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from ebonyhub.http_client import RequestHead, open_connection, send_and_receive
from ebonyhub.ids import JobId
from ebonyhub.platform.submissions import decode_submission
from standins.job_cluster import CALLER_PORT, HOST, PREFIX, JobCluster
from standins.job_platform import LONG_RUNNING_TEXT
from standins.oracle import Oracle

# Seconds between two jobs, least and most, and between two attempts of one caller.
JOB_GAP_SECONDS = (0.05, 0.3)
RETRY_SECONDS = 0.2
# Shares of jobs that are cancelled, and of callers that stop after one refusal.
CANCEL_SHARE = 0.1
GIVE_UP_SHARE = 0.3
# Seconds between two calls on a connection that stays open.
OPEN_CALL_SECONDS = 0.15
ANSWER_SECONDS = 8.0
# Seconds in which a process that closed its connections has ended.
EXIT_SECONDS = 1.5
LASTING_JOBS = 2


class Told(Enum):
    """What the caller of a job knows."""

    # Every answer so far was a refusal, so the job must never run.
    REFUSED = "refused"
    # At least one attempt had no answer.
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    # A cancel was sent and has no answer yet.
    CANCEL_SENT = "cancel_sent"
    CANCELLED = "cancelled"


@dataclass
class Callers:
    """Submits jobs at any entry and keeps what the answers said."""

    cluster: JobCluster
    oracle: Oracle
    rng: random.Random
    told: dict[str, Told] = field(default_factory=dict)
    lasting: dict[str, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    answered: int = 0

    async def submit_jobs(self) -> None:
        """Submit jobs until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(LASTING_JOBS):
                group.create_task(self._run_job(lasting=True))
            while True:
                group.create_task(self._run_job(lasting=False))
                await asyncio.sleep(self.rng.uniform(*JOB_GAP_SECONDS))

    def _draw_job(self, lasting: bool) -> tuple[str, dict[str, Any]]:
        job = f"{self.rng.getrandbits(64):016x}"
        count = self.rng.randint(1, 4)
        if lasting:
            self.lasting[job] = count
            step = {
                "Count": count, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 500,
                "LongRunning": True, "AntiAffinity": 2, "MayMiss": 1,
            }  # fmt: skip
            return job, {"Spec": LONG_RUNNING_TEXT, "Steps": [step]}
        run_time = self.rng.choice([50, 300, 1200])
        first = {"Count": count, "Cpu": 1500, "MemMb": 100, "EstimatedMs": run_time}
        second = {"Count": 1, "Cpu": 500, "MemMb": 100, "EstimatedMs": 50, "After": [0]}
        return job, {"Spec": str(run_time), "Steps": [first, second]}

    async def _run_job(self, lasting: bool) -> None:
        job, body = self._draw_job(lasting)
        spec = decode_submission(json.dumps(body).encode())
        self.oracle.record_submission(JobId(job), spec.ok)
        gives_up = not lasting and self.rng.random() < GIVE_UP_SHARE
        cancels = not lasting and self.rng.random() < CANCEL_SHARE
        self.told[job] = Told.REFUSED
        while self.told[job] is not Told.ACCEPTED:
            entry = self.rng.choice(self.cluster.names)
            before, self.told[job] = self.told[job], Told.UNKNOWN
            answer = await self.cluster.call(entry, "POST", job, body)
            if answer is not None and answer.status == 200:
                self.told[job] = Told.ACCEPTED
            elif answer is not None and answer.status in (429, 503):
                self.told[job] = before
                if gives_up:
                    return
            await asyncio.sleep(RETRY_SECONDS)
        if cancels:
            await self._cancel(job)

    async def _cancel(self, job: str) -> None:
        while True:
            self.told[job] = Told.CANCEL_SENT
            entry = self.rng.choice(self.cluster.names)
            answer = await self.cluster.call(entry, "DELETE", job)
            if answer is not None and answer.status == 200:
                state = json.loads(answer.body).get("State")
                if state in ("completed", "failed"):
                    return
                self.told[job] = Told.CANCELLED
                self.oracle.record_cancellation(JobId(job))
                return
            if answer is not None and answer.status == 410:
                self.problems.append(f"cancel of accepted job {job} answered 410")
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def use_open_connection(self, entry: str) -> None:
        """Call on one connection until the entry announces its end, then open anew.

        A request on an open connection is answered also while the entry stops. As
        behind the platform's balancer, new connections go to ready entries only.
        """
        head = RequestHead(b"GET", PREFIX.encode(), [(b"Host", HOST)])
        while True:
            if not await self.cluster.is_ready(entry):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            host = self.cluster.ip(entry)
            opened = await open_connection(host, CALLER_PORT, 1.0)
            if opened.is_error():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            process = self.cluster.processes[entry]
            while True:
                result = None
                try:
                    async with asyncio.timeout(ANSWER_SECONDS):
                        result = await send_and_receive(opened.ok, head, b"")
                except TimeoutError:
                    break
                if result.is_error():
                    await asyncio.sleep(EXIT_SECONDS)
                    if process.poll() == 0:
                        self.problems.append(f"{entry} cut a request as it stopped")
                    break
                self.answered += 1
                if result.ok.header(b"connection") == b"close":
                    break
                await asyncio.sleep(OPEN_CALL_SECONDS)
            opened.ok.close()
            await asyncio.sleep(RETRY_SECONDS)
