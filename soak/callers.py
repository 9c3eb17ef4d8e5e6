"""Callers of the soak: submit and cancel jobs, and record the answers."""

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

# Range of the seconds between two submissions.
JOB_INTERVAL_SECONDS = (0.05, 0.3)
RETRY_DELAY_SECONDS = 0.2
# Shares of jobs that are cancelled, and of callers that do not retry a refusal.
CANCEL_SHARE = 0.1
ABANDON_SHARE = 0.3
# Seconds between two calls on a persistent connection.
CALL_INTERVAL_SECONDS = 0.15
ANSWER_TIMEOUT_SECONDS = 8.0
# Time in which a process that has closed its connections exits.
EXIT_TIMEOUT_SECONDS = 1.5
LONG_RUNNING_JOBS = 2


class ReportedOutcome(Enum):
    """Outcome of a job's calls, as its caller knows it."""

    # Every answer so far was a refusal, so the job must never run.
    REFUSED = "refused"
    # At least one attempt has had no answer, so the job may run.
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    # A cancellation was sent and has no answer yet.
    CANCEL_SENT = "cancel_sent"
    CANCELLED = "cancelled"


@dataclass
class Callers:
    """Submits jobs at random entries and records what the answers said."""

    cluster: JobCluster
    oracle: Oracle
    rng: random.Random
    reported_outcomes: dict[str, ReportedOutcome] = field(default_factory=dict)
    long_running_task_counts: dict[str, int] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    answered_calls: int = 0

    async def submit_jobs(self) -> None:
        """Submit long-running jobs, then short ones until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(LONG_RUNNING_JOBS):
                group.create_task(self._run_job(long_running=True))
            while True:
                group.create_task(self._run_job(long_running=False))
                await asyncio.sleep(self.rng.uniform(*JOB_INTERVAL_SECONDS))

    def _draw_job(self, long_running: bool) -> tuple[str, dict[str, Any]]:
        job = f"{self.rng.getrandbits(64):016x}"
        count = self.rng.randint(1, 4)
        if long_running:
            self.long_running_task_counts[job] = count
            step = {
                "Count": count, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 500,
                "LongRunning": True, "AntiAffinity": 2, "MayMiss": 1,
            }  # fmt: skip
            return job, {"Spec": LONG_RUNNING_TEXT, "Steps": [step]}
        run_time = self.rng.choice([50, 300, 1200])
        first = {"Count": count, "Cpu": 1500, "MemMb": 100, "EstimatedMs": run_time}
        second = {"Count": 1, "Cpu": 500, "MemMb": 100, "EstimatedMs": 50, "After": [0]}
        return job, {"Spec": str(run_time), "Steps": [first, second]}

    async def _run_job(self, long_running: bool) -> None:
        job, body = self._draw_job(long_running)
        spec = decode_submission(json.dumps(body).encode())
        self.oracle.record_submission(JobId(job), spec.ok)
        abandons = not long_running and self.rng.random() < ABANDON_SHARE
        cancels = not long_running and self.rng.random() < CANCEL_SHARE
        self.reported_outcomes[job] = ReportedOutcome.REFUSED
        while self.reported_outcomes[job] is not ReportedOutcome.ACCEPTED:
            entry = self.rng.choice(self.cluster.names)
            previous, self.reported_outcomes[job] = (
                self.reported_outcomes[job],
                ReportedOutcome.UNKNOWN,
            )
            answer = await self.cluster.call(entry, "POST", job, body)
            if answer is not None and answer.status == 200:
                self.reported_outcomes[job] = ReportedOutcome.ACCEPTED
            elif answer is not None and answer.status in (429, 503):
                self.reported_outcomes[job] = previous
                if abandons:
                    return
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        if cancels:
            await self._cancel(job)

    async def _cancel(self, job: str) -> None:
        while True:
            self.reported_outcomes[job] = ReportedOutcome.CANCEL_SENT
            entry = self.rng.choice(self.cluster.names)
            answer = await self.cluster.call(entry, "DELETE", job)
            if answer is not None and answer.status == 200:
                state = json.loads(answer.body).get("State")
                if state in ("completed", "failed"):
                    return
                self.reported_outcomes[job] = ReportedOutcome.CANCELLED
                self.oracle.record_cancellation(JobId(job))
                return
            if answer is not None and answer.status == 410:
                self.problems.append(
                    f"cancellation of accepted job {job} was answered with 410"
                )
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def use_persistent_connection(self, entry: str) -> None:
        """Call on one connection until the entry closes it, then connect again.

        A stopping entry still answers requests on open connections. New connections go
        to ready entries only, as behind the platform's balancer.
        """
        head = RequestHead(b"GET", PREFIX.encode(), [(b"Host", HOST)])
        while True:
            if not await self.cluster.is_ready(entry):
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            host = self.cluster.ip(entry)
            opened = await open_connection(host, CALLER_PORT, 1.0)
            if opened.is_error():
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            process = self.cluster.processes[entry]
            while True:
                result = None
                try:
                    async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                        result = await send_and_receive(opened.ok, head, b"")
                except TimeoutError:
                    break
                if result.is_error():
                    await asyncio.sleep(EXIT_TIMEOUT_SECONDS)
                    if process.poll() == 0:
                        self.problems.append(
                            f"{entry} left a request without an answer as it stopped"
                        )
                    break
                self.answered_calls += 1
                if result.ok.header(b"connection") == b"close":
                    break
                await asyncio.sleep(CALL_INTERVAL_SECONDS)
            opened.ok.close()
            await asyncio.sleep(RETRY_DELAY_SECONDS)
