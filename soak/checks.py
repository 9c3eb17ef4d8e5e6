"""Checks the guarantees against the callers' answers and the workers' runs."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from time import monotonic
from typing import Any

from ebonyhub.ids import JobId, LeaderToken, TaskId
from ebonyhub.platform.workers import task_name
from ebonyhub.scheduling.model import EndedTask, RunOutcome
from standins.fake_worker import FakeWorker
from standins.job_cluster import JobCluster
from standins.oracle import GuaranteeViolation, Oracle

from .callers import Callers, ReportedOutcome
from .injector import versioned_prefix
from .stored_progress import StoredProgressCheck
from .timeline import Timeline
from .workload import JobKind

# Time without faults in which every job ends and long-running tasks run again.
RECOVERY_TIMEOUT_SECONDS = 25.0
POLL_INTERVAL_SECONDS = 0.3
PROBE_INTERVAL_SECONDS = 0.4
# State in which jobs that are not cancelled are after the recovery.
FINAL_STATES = {
    JobKind.STEPS: "completed",
    JobKind.TIMED: "completed",
    JobKind.LONG_RUNNING: "running",
    JobKind.FAILING: "failed",
    JobKind.FLAKY: "completed",
}


@dataclass
class GuaranteeMonitor:
    """Checks workers and configurations while faults are injected."""

    cluster: JobCluster
    oracle: Oracle
    stored_progress: StoredProgressCheck
    timeline: Timeline
    problems: list[str] = field(default_factory=list)

    def attach(self) -> None:
        """Pass every start, end and loss of runs on the workers to the oracle."""
        for worker in self.cluster.platform.workers:
            fake = worker.fake
            fake.on_start = self._after(fake.on_start, self._check_start)
            fake.on_end = self._after(fake.on_end, self._record_end)
            fake.on_lease_expired = self._after(
                fake.on_lease_expired, self.oracle.record_lease_expiry
            )
            fake.on_acknowledge = self._after(
                fake.on_acknowledge, self._check_acknowledgement
            )
            worker.on_crash = self._after(worker.on_crash, self._record_crash)
            worker.late_calls.on_call = partial(self._write_late_call, fake)

    def _check_start(self, worker: FakeWorker, task: TaskId, number: int) -> None:
        name = task_name(task)
        self.timeline.write(
            f"start {name} run={number} worker={worker.worker} token={worker.token}"
        )
        self.oracle.check_start(worker, task, number)

    def _record_end(
        self, worker: FakeWorker, task: TaskId, number: int, outcome: RunOutcome
    ) -> None:
        self.timeline.write(
            f"end {task_name(task)} run={number} worker={worker.worker} "
            f"sequence={worker.sequence} {outcome.value}"
        )
        self.oracle.record_end(worker, task, number, outcome)

    def _record_crash(self, worker: FakeWorker) -> None:
        self.timeline.write(f"worker {worker.worker} crashes or leaves")
        self.oracle.record_crash(worker)

    def _write_late_call(
        self, worker: FakeWorker, name: str, body: dict[str, Any]
    ) -> None:
        arguments = {key: body[key] for key in body if key != "Spec"}
        self.timeline.write(
            f"late {name} {arguments} worker={worker.worker} born={worker.born_ms} "
            f"clock={worker.clock_ms(monotonic())} up={worker.up}"
        )

    def _check_acknowledgement(
        self, worker: FakeWorker, end: EndedTask, token: LeaderToken
    ) -> None:
        """Check that an acknowledged completion is stored and was the last run."""
        self.timeline.write(
            f"acknowledged {task_name(end.task)} run={end.number} "
            f"worker={worker.worker} sequence={end.sequence} token={token}"
        )
        tasks = self.oracle.record_acknowledgement(worker, end.sequence)
        for problem in self.stored_progress.check_acknowledged(tasks):
            self._add_problem(problem)

    def _add_problem(self, problem: str) -> None:
        self.timeline.write(f"violation {problem}")
        self.problems.append(problem)

    def _after(
        self, recorded: Callable[..., None], check: Callable[..., None]
    ) -> Callable[..., None]:
        """Return a hook that calls the earlier one, then records violations."""

        def recording_check(*arguments: object) -> None:
            recorded(*arguments)
            try:
                check(*arguments)
            except GuaranteeViolation as violation:
                self._add_problem(str(violation))

        return recording_check

    async def probe_configuration(self, newest_version: Callable[[], int]) -> None:
        """Check that no entry process returns to an older configuration."""
        applied_version: dict[int, int] = {}
        while True:
            for name in self.cluster.names:
                process = self.cluster.processes[name]
                version = newest_version()
                status = await get_status(self.cluster, name, versioned_prefix(version))
                if self.cluster.processes[name] is not process:
                    continue
                if newest_version() != version:
                    # The next version has no route of this one.
                    continue
                if status == 200:
                    applied_version[process.pid] = version
                elif status == 404 and applied_version.get(process.pid) == version:
                    self._add_problem(
                        f"CONFIG: {name} returned to a configuration before version "
                        f"{version}"
                    )
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)


async def get_status(cluster: JobCluster, entry: str, prefix: str) -> int | None:
    """Return the status of a job count under ``prefix``; None without an answer."""
    answer = await cluster.call(entry, "GET", "", prefix=prefix)
    return answer.status if answer is not None else None


async def wait_for_recovery(callers: Callers, cluster: JobCluster) -> list[str]:
    """Wait until all jobs are as expected; return what is not when time is over."""
    loop = asyncio.get_running_loop()
    end = loop.time() + RECOVERY_TIMEOUT_SECONDS
    wrong = ["not checked"]
    while wrong and loop.time() < end:
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
        wrong = await unexpected_states(callers, cluster)
    return wrong


async def unexpected_states(callers: Callers, cluster: JobCluster) -> list[str]:
    """Return the accepted jobs whose state or tasks are not as expected by now."""
    wrong: list[str] = []
    for number, (job, outcome) in enumerate(list(callers.reported_outcomes.items())):
        if outcome in (ReportedOutcome.REFUSED, ReportedOutcome.UNKNOWN):
            continue
        entry = cluster.names[number % len(cluster.names)]
        answer = await callers.call(entry, "GET", job)
        expected_status = 410 if outcome is ReportedOutcome.WITHDRAWN else 200
        if answer is None or answer.status != expected_status:
            status = answer.status if answer else "nothing"
            wrong.append(f"{entry} answers {status} for the {outcome.value} job {job}")
            continue
        if outcome is ReportedOutcome.WITHDRAWN:
            continue
        state = json.loads(answer.body)["State"]
        if state not in expected_states(callers, job):
            wrong.append(f"job {job} is {state}")
    for job, drawn in callers.jobs.items():
        if drawn.kind is not JobKind.LONG_RUNNING:
            continue
        running = len(running_tasks(cluster, JobId(job)))
        count = drawn.task_count
        if (
            callers.reported_outcomes[job] is ReportedOutcome.ACCEPTED
            and running != count
        ):
            wrong.append(f"{running} of {count} tasks of long-running job {job} run")
    return wrong + await unknown_finished_jobs(callers, cluster)


async def unknown_finished_jobs(callers: Callers, cluster: JobCluster) -> list[str]:
    """Return the jobs from before the run that entries do not show as completed."""
    wrong: list[str] = []
    for number, job in enumerate(callers.finished_jobs):
        entry = cluster.names[number % len(cluster.names)]
        answer = await callers.call(entry, "GET", job)
        if answer is None or answer.status != 200:
            status = answer.status if answer else "nothing"
            wrong.append(f"{entry} answers {status} for the finished job {job}")
        elif json.loads(answer.body)["State"] != "completed":
            wrong.append(f"finished job {job} is shown as {answer.body!r}")
    return wrong


def expected_states(callers: Callers, job: str) -> tuple[str, ...]:
    """Return the states that an accepted job may have after the recovery."""
    final = FINAL_STATES[callers.jobs[job].kind]
    match callers.reported_outcomes[job]:
        case ReportedOutcome.ACCEPTED:
            return (final,)
        case ReportedOutcome.CANCELLED if final == "running":
            return ("cancelled",)
        case _:
            # The last task may have ended before the leader read the cancellation,
            # and a cancellation without an answer may not have been stored.
            return ("cancelled", final)


def running_tasks(cluster: JobCluster, job: JobId) -> list[FakeWorker]:
    """Return the worker of each running task of a job, one for each task."""
    fakes = [worker.fake for worker in cluster.platform.workers]
    return [fake for fake in fakes for task in fake.runs if task.job == job]


def unexpected_runs(callers: Callers, oracle: Oracle, cluster: JobCluster) -> list[str]:
    """Return refused or withdrawn jobs that ran, and cancelled ones that still run."""
    started = {task.job for task in oracle.tasks}
    never = (ReportedOutcome.REFUSED, ReportedOutcome.WITHDRAWN)
    problems = [
        f"job {job} ran although it was {outcome.value}"
        for job, outcome in callers.reported_outcomes.items()
        if outcome in never and JobId(job) in started
    ]
    return problems + [
        f"cancelled job {job} still runs"
        for job, outcome in callers.reported_outcomes.items()
        if outcome is ReportedOutcome.CANCELLED and running_tasks(cluster, JobId(job))
    ]
