"""Checks the promises from what callers were told and workers did."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonyhub.ids import JobId
from standins.fake_worker import FakeWorker
from standins.job_cluster import JobCluster
from standins.oracle import GuaranteeViolation, Oracle

from .callers import Callers, Told
from .injector import extra_prefix

# Seconds of calm in which every job has ended and lasting tasks are at work.
CALM_SECONDS = 25.0
POLL_SECONDS = 0.3
PROBE_SECONDS = 0.4


@dataclass
class Watcher:
    """Watches workers and configurations while faults are injected."""

    cluster: JobCluster
    oracle: Oracle
    problems: list[str] = field(default_factory=list)

    def attach(self) -> None:
        """See every start and end on the workers."""
        for worker in self.cluster.platform.workers:
            fake, ended = worker.fake, worker.fake.on_end
            fake.on_start = self._collect(self.oracle.check_start)
            fake.on_end = self._collect(_both(ended, self.oracle.record_end))
            fake.on_lease_expired = self._collect(self.oracle.record_lease_expiry)

    def _collect(self, check: Callable[..., None]) -> Callable[..., None]:
        def collected(*arguments: object) -> None:
            try:
                check(*arguments)
            except GuaranteeViolation as broken:
                self.problems.append(str(broken))

        return collected

    async def follow_acknowledgements(self) -> None:
        """Tell the oracle which ends were taken note of."""
        while True:
            for worker in self.cluster.platform.workers:
                self.oracle.record_acknowledgement(
                    worker.fake, worker.fake.acknowledged_sequence
                )
            await asyncio.sleep(0.01)

    async def probe_configuration(self, newest: Callable[[], int]) -> None:
        """Check that no process goes back to an older configuration."""
        seen: dict[int, int] = {}
        while True:
            for name in self.cluster.names:
                process = self.cluster.processes[name]
                version = newest()
                status = await get_status(self.cluster, name, extra_prefix(version))
                if self.cluster.processes[name] is not process:
                    continue
                if status == 200:
                    seen[process.pid] = version
                elif status == 404 and seen.get(process.pid) == version:
                    self.problems.append(f"{name} went back before version {version}")
            await asyncio.sleep(PROBE_SECONDS)


def _both(
    first: Callable[..., None], second: Callable[..., None]
) -> Callable[..., None]:
    def called(*arguments: object) -> None:
        first(*arguments)
        second(*arguments)

    return called


async def get_status(cluster: JobCluster, entry: str, prefix: str) -> int | None:
    """Return the status of a count at one entry, None without an answer."""
    answer = await cluster.call(entry, "GET", "", prefix=prefix)
    return answer.status if answer is not None else None


async def wait_for_rest(callers: Callers, cluster: JobCluster) -> list[str]:
    """Return what is still wrong after a calm in which all jobs should have ended."""
    loop = asyncio.get_running_loop()
    end = loop.time() + CALM_SECONDS
    wrong = ["not looked at"]
    while wrong and loop.time() < end:
        await asyncio.sleep(POLL_SECONDS)
        wrong = await unfinished(callers, cluster)
    return wrong


async def unfinished(callers: Callers, cluster: JobCluster) -> list[str]:
    """Return accepted jobs that are not where they should be by now."""
    wrong: list[str] = []
    for number, (job, told) in enumerate(list(callers.told.items())):
        if told in (Told.REFUSED, Told.UNKNOWN):
            continue
        entry = cluster.names[number % len(cluster.names)]
        answer = await cluster.call(entry, "GET", job)
        if answer is None or answer.status != 200:
            status = answer.status if answer else "nothing"
            wrong.append(f"{entry} answers {status} for the accepted job {job}")
            continue
        state = json.loads(answer.body)["State"]
        if state not in expected_states(callers, job):
            wrong.append(f"job {job} is {state}")
    for job, count in callers.lasting.items():
        held = len(running_tasks(cluster, JobId(job)))
        if callers.told[job] is Told.ACCEPTED and held != count:
            wrong.append(f"{held} of {count} tasks of lasting job {job} run")
    return wrong


def expected_states(callers: Callers, job: str) -> tuple[str, ...]:
    """Return the states that an accepted job may have after a calm."""
    if job in callers.lasting:
        return ("running",)
    if callers.told[job] is not Told.ACCEPTED:
        # The last task may have ended before the leader learned of the cancel.
        return ("cancelled", "completed")
    return ("completed",)


def running_tasks(cluster: JobCluster, job: JobId) -> list[FakeWorker]:
    """Return the worker of each running task of a job."""
    fakes = [worker.fake for worker in cluster.platform.workers]
    return [fake for fake in fakes for task in fake.runs if task.job == job]


def wrong_runs(callers: Callers, oracle: Oracle, cluster: JobCluster) -> list[str]:
    """Return runs of refused jobs, and those of cancelled jobs that go on."""
    started = {task.job for task in oracle.tasks}
    wrong = [
        f"job {job} ran although every attempt was refused"
        for job, told in callers.told.items()
        if told is Told.REFUSED and JobId(job) in started
    ]
    return wrong + [
        f"cancelled job {job} runs on"
        for job, told in callers.told.items()
        if told is Told.CANCELLED and running_tasks(cluster, JobId(job))
    ]
