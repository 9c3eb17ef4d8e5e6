"""Callers of the soak: submit and cancel jobs, and record the answers."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from enum import Enum
from time import monotonic
from typing import Any

from ebonyhub.http_client import (
    RequestHead,
    SmallResponse,
    open_connection,
    send_and_receive,
)
from ebonyhub.ids import JobId
from ebonyhub.platform.submissions import decode_submission
from standins.job_cluster import CALLER_PORT, HOST, JobCluster, key_headers
from standins.oracle import GuaranteeViolation, Oracle

from .key_checks import KeyedCall, KeyMonitor
from .scopes import CallerScope, ScopePlan
from .workload import (
    DrawnJob,
    JobKind,
    draw_job,
    draw_lasting_job,
    draw_long_job,
    draw_wide_job,
)

# Range of the seconds between two submissions, for this number of workers.
JOB_INTERVAL_SECONDS = (0.05, 0.3)
REFERENCE_WORKERS = 4
# The same between two jobs of long tasks, and the number of these after each restart of
# a worker that will be cut off. Each of their tasks may have to run alone later.
LONG_JOB_INTERVAL_SECONDS = (0.1, 0.6)
LONG_JOBS = 3
RETRY_DELAY_SECONDS = 0.2
# Seconds between two calls on a persistent connection; there is one of each to every
# entry.
CALL_INTERVALS_SECONDS = (0.1, 0.3, 0.9)
# Seconds between two reads of the state of a random job.
STATE_READ_INTERVAL_SECONDS = 0.05
ANSWER_TIMEOUT_SECONDS = 8.0
# Time in which a process that has closed its connections exits.
EXIT_TIMEOUT_SECONDS = 1.5
LONG_RUNNING_JOBS = 2
# Answers after which the submission never runs.
NOT_RUN_STATUSES = (401, 429, 503)
# Share of callers that leave after an attempt without an answer, and cancel the job.
LEAVING_SHARE = 0.4


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
    # A cancellation was answered with "no such job", so the job must never run.
    WITHDRAWN = "withdrawn"


@dataclass
class Callers:
    """Submits jobs at random entries and records what the answers said."""

    cluster: JobCluster
    oracle: Oracle
    rng: random.Random
    reported_outcomes: dict[str, ReportedOutcome] = field(default_factory=dict)
    jobs: dict[str, DrawnJob] = field(default_factory=dict)
    # Jobs that had finished before the run.
    finished_jobs: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    answered_calls: int = 0
    # Draws who leaves; apart from ``rng``, which draws the jobs.
    leaving_rng: random.Random = field(default_factory=lambda: random.Random(1))
    plan: ScopePlan = field(default_factory=ScopePlan)
    # Set when a worker has restarted that will be cut off.
    long_jobs_wanted: asyncio.Event = field(default_factory=asyncio.Event)
    # Checks the answers to calls with keys; None without workspaces.
    key_monitor: KeyMonitor | None = None

    async def call(
        self,
        entry: str,
        method: str,
        job: str,
        body: object = None,
        scope: CallerScope | None = None,
    ) -> SmallResponse | None:
        """Call one entry in the scope of the job, or in another one."""
        scope = scope or self.plan.of(job)
        process, sent_at = self.cluster.processes[entry], monotonic()
        answer = await self.cluster.call(
            entry, method, job, body, scope.prefix, scope.key
        )
        if answer is not None and self.key_monitor is not None:
            pid = process.pid if self.cluster.processes[entry] is process else None
            self.key_monitor.observe(
                KeyedCall(entry, pid, scope.key, answer.status, sent_at, monotonic())
            )
        return answer

    async def submit_jobs(self) -> None:
        """Submit long-running jobs, then all kinds until the task is cancelled."""
        scale = len(self.cluster.platform.workers) / REFERENCE_WORKERS
        async with asyncio.TaskGroup() as group:
            for _ in range(LONG_RUNNING_JOBS):
                group.create_task(self._run_job(draw_lasting_job(self.rng)))
            while True:
                group.create_task(self._run_job(draw_job(self.rng)))
                pause = self.rng.uniform(*JOB_INTERVAL_SECONDS)
                await asyncio.sleep(pause / scale)

    async def submit_long_jobs(self, rng: random.Random) -> None:
        """Submit jobs of long tasks when they are wanted, until it is cancelled."""
        # The first scope has no limit.
        scope = self.plan.scopes()[0]
        async with asyncio.TaskGroup() as group:
            while True:
                await self.long_jobs_wanted.wait()
                self.long_jobs_wanted.clear()
                for _ in range(LONG_JOBS):
                    group.create_task(self._run_job(draw_long_job(rng), scope))
                    await asyncio.sleep(rng.uniform(*LONG_JOB_INTERVAL_SECONDS))

    async def submit_small_tasks(self, rng: random.Random, tasks: int) -> JobId:
        """Submit a job of small tasks until it is accepted; return its id."""
        drawn = draw_wide_job(rng, tasks)
        await self._run_job(drawn, self.plan.scopes()[0])
        return JobId(drawn.job)

    def _register(self, drawn: DrawnJob, scope: CallerScope) -> None:
        """Record a job that will be submitted in a scope."""
        spec = decode_submission(json.dumps(drawn.body).encode())
        self.oracle.record_submission(JobId(drawn.job), spec.ok, scope.workspace)
        self.jobs[drawn.job] = drawn
        self.plan.job_scopes[drawn.job] = scope
        self.reported_outcomes[drawn.job] = ReportedOutcome.REFUSED

    async def submit_once(
        self, drawn: DrawnJob, entry: str, scope: CallerScope, owner: CallerScope
    ) -> ReportedOutcome:
        """Submit a job by one call; later calls for it use the owner's key."""
        job = drawn.job
        if job not in self.jobs:
            self._register(drawn, owner)
        previous = self.reported_outcomes[job]
        self.reported_outcomes[job] = ReportedOutcome.UNKNOWN
        answer = await self.call(entry, "POST", job, drawn.body, scope)
        if answer is not None and answer.status == 200:
            self.reported_outcomes[job] = ReportedOutcome.ACCEPTED
        elif answer is not None and answer.status in NOT_RUN_STATUSES:
            self.reported_outcomes[job] = previous
        return self.reported_outcomes[job]

    async def _run_job(self, drawn: DrawnJob, scope: CallerScope | None = None) -> None:
        """Submit a job until it is accepted, in a drawn scope if none is given."""
        job, body = drawn.job, drawn.body
        self._register(drawn, scope or self.plan.assign(drawn))
        while self.reported_outcomes[job] is not ReportedOutcome.ACCEPTED:
            entry = self.rng.choice(self.cluster.names)
            previous, self.reported_outcomes[job] = (
                self.reported_outcomes[job],
                ReportedOutcome.UNKNOWN,
            )
            answer = await self.call(entry, "POST", job, body)
            if answer is not None and answer.status == 200:
                self.reported_outcomes[job] = ReportedOutcome.ACCEPTED
            elif answer is not None and answer.status in NOT_RUN_STATUSES:
                self.reported_outcomes[job] = previous
                if drawn.abandons:
                    return
            elif self.leaving_rng.random() < LEAVING_SHARE:
                await self._leave(job, body)
                return
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        if drawn.cancel_after is not None:
            await asyncio.sleep(drawn.cancel_after)
            await self._cancel(job)

    async def _leave(self, job: str, body: dict[str, Any]) -> None:
        """Cancel a job whose acceptance is unknown; a late copy may still arrive."""
        outcome = ReportedOutcome.UNKNOWN
        while outcome is ReportedOutcome.UNKNOWN:
            entry = self.rng.choice(self.cluster.names)
            answer = await self.call(entry, "DELETE", job)
            if answer is not None and answer.status == 200:
                outcome = ReportedOutcome.CANCELLED
                state = json.loads(answer.body).get("State")
                if state in ("completed", "failed"):
                    outcome = ReportedOutcome.CANCEL_SENT
                else:
                    self.oracle.record_cancellation(JobId(job))
            elif answer is not None and answer.status == 410:
                outcome = ReportedOutcome.WITHDRAWN
            else:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        self.reported_outcomes[job] = outcome
        if outcome is ReportedOutcome.WITHDRAWN:
            entry = self.rng.choice(self.cluster.names)
            copy = await self.call(entry, "POST", job, body)
            if copy is not None and copy.status == 200:
                self.problems.append(f"{entry} accepted {job} after its cancellation")

    async def _cancel(self, job: str) -> None:
        while True:
            self.reported_outcomes[job] = ReportedOutcome.CANCEL_SENT
            entry = self.rng.choice(self.cluster.names)
            answer = await self.call(entry, "DELETE", job)
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

    async def read_states(self) -> None:
        """Read the states of random accepted jobs and compare them with the runs."""
        while True:
            await asyncio.sleep(STATE_READ_INTERVAL_SECONDS)
            accepted = [
                job
                for job, outcome in self.reported_outcomes.items()
                if outcome is ReportedOutcome.ACCEPTED
            ]
            if not accepted:
                continue
            job = self.rng.choice(accepted)
            entry = self.rng.choice(self.cluster.names)
            answer = await self.call(entry, "GET", job)
            if answer is not None and answer.status == 200:
                self._check_state(entry, job, json.loads(answer.body).get("State"))

    def _check_state(self, entry: str, job: str, state: str) -> None:
        """Check that the tasks of a job shown as ended have ended so.

        An entry may still show a completed job as running, for a moment.
        """
        if state == "completed":
            try:
                self.oracle.record_shown_completed(JobId(job))
            except GuaranteeViolation as violation:
                self.problems.append(f"{violation}; {entry} shows it")
        fails = self.jobs[job].kind is JobKind.FAILING
        uncancelled = self.reported_outcomes[job] is ReportedOutcome.ACCEPTED
        if (state == "failed" and not fails) or (state == "cancelled" and uncancelled):
            self.problems.append(
                f"LOST: {entry} shows job {job} as {state} without a cause"
            )

    async def use_persistent_connection(
        self, entry: str, interval_seconds: float
    ) -> None:
        """Call on one connection until the entry closes it, then connect again.

        A stopping entry still answers requests on open connections. New connections go
        to ready entries only, as behind the platform's balancer.
        """
        scope = self.plan.scopes()[0]
        headers = [(b"Host", HOST), *key_headers(scope.key)]
        head = RequestHead(b"GET", scope.prefix.encode(), headers)
        clock = asyncio.get_running_loop().time
        while True:
            heard_at = clock()
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
                sent_at = clock()
                delay = sent_at - heard_at - interval_seconds
                try:
                    async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                        result = await send_and_receive(opened.ok, head, b"")
                except TimeoutError:
                    break
                if result.is_error():
                    waited = clock() - sent_at
                    await asyncio.sleep(EXIT_TIMEOUT_SECONDS)
                    if result.error.any_bytes_written and process.poll() == 0:
                        self.problems.append(
                            f"LOST: {entry} left a request without an answer as it "
                            f"stopped: {result.error} after {waited:.3f} s, interval "
                            f"{interval_seconds} s, sent {delay:.3f} s late"
                        )
                    break
                self.answered_calls += 1
                heard_at = clock()
                if not opened.ok.end_exchange(heard_at):
                    break
                await asyncio.sleep(interval_seconds)
            opened.ok.close()
            await asyncio.sleep(RETRY_DELAY_SECONDS)
