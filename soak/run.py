"""Command line of the soak: ``python -m soak.run --seeds 1-50``."""

import argparse
import asyncio
import random
import shutil
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.job_cluster import STORE_PORT, JobCluster
from standins.job_demo import wait_until_ready
from standins.oracle import Oracle

from .callers import CALL_INTERVALS_SECONDS, Callers, ReportedOutcome
from .checks import (
    GuaranteeMonitor,
    get_status,
    unexpected_runs,
    unexpected_states,
    wait_for_recovery,
)
from .finished_jobs import store_finished_jobs
from .foreign_writer import ForeignWriter
from .impairments import CONFIG_APPLY_SECONDS, MAX_STRETCH_SECONDS
from .injector import Injector
from .key_calls import KeyCalls
from .key_checks import KeyMonitor
from .proxy import Proxy
from .schedule import Fault, draw_faults
from .scopes import Play, draw_play, plan_scopes
from .stored_progress import StoredProgressCheck
from .timeline import Timeline
from .workload import draw_wide_tasks

MAX_ATTEMPTS = 3
PROXY_PORT = 8900
# Time in which every entry applies a new configuration when there are no faults.
CONFIGURATION_TIMEOUT_SECONDS = 2.0
# Time after a reset of its connections from which an entry has to meet time limits.
CONTACT_SECONDS = 3.0
# Calls to each entry at the same time, which need as many connections to the store.
SURGE_CALLS = 12
# Tasks that start at about the same time before connections to workers go silent.
BURST_TASKS = 200
# Problems of a seed that are printed; all of them are in its problems.txt.
MAX_PRINTED_PROBLEMS = 15


@dataclass(frozen=True, slots=True)
class SeedReport:
    """Result of one seed; ``problems`` is empty if all guarantees held."""

    seed: int
    faults: int
    jobs: int
    starts: int
    problems: tuple[str, ...]
    # Which answers there were to valid, removed and unknown keys.
    key_answers: frozenset[tuple[str, int]]


async def start_proxies(
    cluster: JobCluster,
) -> tuple[dict[str, Proxy], dict[str, Proxy]]:
    """Start a proxy between each entry and the store, and in front of each worker."""
    store_links: dict[str, Proxy] = {}
    for number, name in enumerate(cluster.names, start=1):
        store_links[name] = Proxy((cluster.platform_ip, STORE_PORT))
        host = cluster.network.address(2, number)
        await store_links[name].start(host, PROXY_PORT)
        cluster.store_addresses[name] = f"{host}:{PROXY_PORT}"
    worker_links: dict[str, Proxy] = {}
    for number, worker in enumerate(cluster.platform.workers, start=1):
        worker_address = (worker.listener.address, worker.listener.port)
        link = worker_links[worker.fake.worker] = Proxy(worker_address)
        host = cluster.network.address(3, number)
        await link.start(host, PROXY_PORT)
        worker.advertised = f"{host}:{PROXY_PORT}"
    return store_links, worker_links


async def inject(injector: Injector, faults: list[Fault]) -> None:
    """Inject faults at their times; return once all have ended."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            await asyncio.sleep(max(0.0, started + fault.at - loop.time()))
            group.create_task(injector.inject_fault(fault))


async def check_configuration(injector: Injector, cluster: JobCluster) -> list[str]:
    """Return the entries that do not apply a new configuration in time."""
    prefix = injector.write_configuration()
    await asyncio.sleep(CONFIGURATION_TIMEOUT_SECONDS)
    return await late_entries(cluster, prefix)


async def check_silent_connections(
    injector: Injector, cluster: JobCluster
) -> list[str]:
    """Return the entries that do not apply one whose connections have gone silent.

    The open connections to the store do so after a surge of calls, which counts as if
    they had been reset.
    """
    prefix = injector.write_configuration()
    await asyncio.sleep(CONFIGURATION_TIMEOUT_SECONDS)
    paths = [f"{prefix}{number:016x}" for number in range(SURGE_CALLS)]
    calls = [get_status(cluster, n, path) for n in cluster.names for path in paths]
    await asyncio.gather(*calls)
    for link in injector.store_links.values():
        link.silence()
    await asyncio.sleep(CONTACT_SECONDS - CONFIGURATION_TIMEOUT_SECONDS)
    return [
        f"silent connections, {problem}"
        for problem in await check_configuration(injector, cluster)
    ]


async def check_silent_workers(
    injector: Injector, callers: Callers, oracle: Oracle, rng: random.Random
) -> list[str]:
    """Return what does not start once the open connections to workers are silent.

    They go silent after a burst of starts, which needs several to each worker.
    """
    await callers.submit_small_tasks(rng, BURST_TASKS)
    await asyncio.sleep(CONFIGURATION_TIMEOUT_SECONDS)
    silent = sum(link.silence() for link in injector.worker_links.values())
    job = await callers.submit_small_tasks(rng, SURGE_CALLS)
    await asyncio.sleep(CONTACT_SECONDS)
    started = sum(task.job == job for task in oracle.tasks)
    if callers.reported_outcomes[job] is not ReportedOutcome.ACCEPTED:
        return []
    if started == SURGE_CALLS:
        return []
    return [
        f"silent connections, {silent} to workers: {started} of {SURGE_CALLS} tasks "
        f"of job {job} have started"
    ]


async def late_entries(cluster: JobCluster, prefix: str) -> list[str]:
    """Return the entries that do not know the queue with a prefix."""
    statuses = {name: await get_status(cluster, name, prefix) for name in cluster.names}
    return [
        f"{n}: a call of the new queue returned {s}"
        for n, s in statuses.items()
        if s != 200
    ]


@dataclass(frozen=True, slots=True)
class SoakRun:
    """The parts of one run: the cluster, its load, its faults and its checks."""

    cluster: JobCluster
    oracle: Oracle
    callers: Callers
    monitor: GuaranteeMonitor
    injector: Injector
    key_calls: KeyCalls
    links: tuple[Proxy, ...]

    def start_tasks(self) -> list[asyncio.Task[Any]]:
        """Start the checks and callers that run until they are cancelled."""
        monitor, callers, injector = self.monitor, self.callers, self.injector
        return [
            asyncio.create_task(monitor.stored_progress.follow()),
            asyncio.create_task(
                monitor.probe_configuration(lambda: injector.configuration_version)
            ),
            asyncio.create_task(callers.read_states()),
            asyncio.create_task(injector.timeline.follow_stalls()),
            *(
                asyncio.create_task(callers.use_persistent_connection(name, interval))
                for name in self.cluster.names
                for interval in CALL_INTERVALS_SECONDS
            ),
            *map(asyncio.create_task, self.key_calls.calls()),
        ]

    def start_load(self, seed: int, wide_tasks: int) -> list[asyncio.Task[Any]]:
        """Start the submissions and changes, which end with the faults."""
        tasks: list[asyncio.Task[Any]] = [
            asyncio.create_task(self.callers.submit_jobs())
        ]
        rng = random.Random(f"{seed}/long")
        tasks.append(asyncio.create_task(self.callers.submit_long_jobs(rng)))
        if wide_tasks:
            rng = random.Random(f"{seed}/wide job")
            wide = self.callers.submit_small_tasks(rng, wide_tasks)
            tasks.append(asyncio.create_task(wide))
        if self.key_calls.plan.play is Play.WORKSPACES:
            tasks.append(asyncio.create_task(self.key_calls.change_configurations()))
        return tasks

    async def end_load(self, tasks: list[asyncio.Task[Any]]) -> None:
        """End all faults, then what start_load has started."""
        self.injector.clear_faults()
        self.key_calls.submits = False
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        if self.key_calls.plan.play is Play.WORKSPACES:
            self.key_calls.set_limits()
            self.injector.write_configuration()

    async def final_problems(self) -> list[str]:
        """Wait for the recovery; return all violations of the run."""
        problems = await wait_for_recovery(self.callers, self.cluster)
        problems += await check_configuration(self.injector, self.cluster)
        problems += await check_silent_connections(self.injector, self.cluster)
        problems += await check_silent_workers(
            self.injector, self.callers, self.oracle, random.Random("silent workers")
        )
        problems += await unexpected_states(self.callers, self.cluster)
        problems += await self.key_calls.final_problems()
        problems += self.key_calls.check_logs()
        problems += unexpected_runs(self.callers, self.oracle, self.cluster)
        problems += self.monitor.stored_progress.check_all_acknowledged()
        problems += self.monitor.stored_progress.problems
        problems += self.key_calls.problems + self.key_calls.monitor.problems
        return self.monitor.problems + self.callers.problems + problems

    async def close(self) -> None:
        """End the faults, the links and all processes."""
        self.injector.foreign_writer.stop()
        await self.cluster.platform.stop()
        for link in self.links:
            await link.stop()
        self.injector.timeline.close()
        self.cluster.close()


async def prepare_run(seed: int, entries: int, workers: int, play: Play) -> SoakRun:
    """Start the platform and the links of a run; its entries are not started yet."""
    plan = plan_scopes(seed, play)
    cluster = JobCluster(entries, workers, plan.options)
    oracle = Oracle(time.time, MAX_ATTEMPTS)
    oracle.workspace_limits.change_seconds = CONFIG_APPLY_SECONDS + MAX_STRETCH_SECONDS
    callers = Callers(cluster, oracle, random.Random(seed), plan=plan)
    timeline = Timeline(Path(cluster.directory.name) / "soak.log")
    stored_progress = StoredProgressCheck(cluster.platform.core, oracle)
    monitor = GuaranteeMonitor(cluster, oracle, stored_progress, timeline)
    store_links, worker_links = await start_proxies(cluster)
    for worker in cluster.platform.workers:
        name = worker.fake.worker
        worker.fake.clock_rng = random.Random(f"{seed}/{name}/clock")
        worker.late_calls.rng = random.Random(f"{seed}/{name}/late")
    await cluster.platform.start()
    monitor.attach()
    callers.finished_jobs = store_finished_jobs(
        cluster.platform.core, oracle, random.Random(f"{seed}/finished")
    )
    injector = Injector(
        cluster, store_links, worker_links, ForeignWriter(cluster), timeline
    )
    injector.on_worker_restart = callers.long_jobs_wanted.set
    key_monitor = KeyMonitor(injector.impairments)
    if play is Play.WORKSPACES:
        callers.key_monitor = key_monitor
    key_calls = KeyCalls(cluster, callers, injector, oracle, plan, key_monitor, seed)
    links = (*store_links.values(), *worker_links.values())
    return SoakRun(cluster, oracle, callers, monitor, injector, key_calls, links)


async def run_seed(
    seed: int,
    seconds: float,
    entries: int,
    workers: int,
    play: Play = Play.ONE_QUEUE,
    wide_tasks: int = 0,
) -> SeedReport:
    """Run one seed on a cluster of its own; SIGTERM ends it and its processes.

    One of the jobs has ``wide_tasks`` tasks, if this is not 0.
    """
    run_task = asyncio.current_task()
    assert run_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, run_task.cancel)
    run = await prepare_run(seed, entries, workers, play)
    tasks: list[asyncio.Task[Any]] = []
    try:
        for name in run.cluster.names:
            run.cluster.start_entry(name)
        await wait_until_ready(run.cluster)
        tasks = run.start_tasks()
        faults = draw_faults(seed, seconds)
        load_tasks = run.start_load(seed, wide_tasks)
        await inject(run.injector, faults)
        await run.end_load(load_tasks)
        problems = await run.final_problems()
        watched = [*load_tasks, *tasks, *run.cluster.platform.clock_tasks]
        problems += failures_of_tasks(watched)
        starts = sum(history.starts for history in run.oracle.tasks.values())
        if problems:
            run.injector.timeline.flush()
            save_logs(run.cluster, seed, problems)
        jobs = len(run.callers.reported_outcomes)
        answers = frozenset(run.key_calls.monitor.seen)
        return SeedReport(seed, len(faults), jobs, starts, tuple(problems), answers)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await run.close()


def failures_of_tasks(tasks: list[asyncio.Task[Any]]) -> list[str]:
    """Return the errors of the soak's own tasks, which would else hide violations."""
    return [
        f"task of the soak failed: {task.exception()!r}"
        for task in tasks
        if task.done() and not task.cancelled() and task.exception() is not None
    ]


def save_logs(cluster: JobCluster, seed: int, problems: list[str]) -> None:
    """Copy the logs of a failed seed to build/soak/SEED."""
    directory = Path("build/soak") / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    for log in Path(cluster.directory.name).glob("*.log"):
        shutil.copy(log, directory)
    (directory / "problems.txt").write_text("\n".join(problems) + "\n")


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of "N" or "FIRST-LAST"."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds one after the other; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-5"))
    parser.add_argument("--seconds", type=float, default=15.0, help="of faults")
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--play", type=Play, choices=list(Play), metavar="PLAY",
        help="one-queue, queues or workspaces; drawn from the seed if not given",
    )  # fmt: skip
    parser.add_argument(
        "--wide", type=int, metavar="TASKS",
        help="tasks of one wide job, 0 for none; drawn from the seed if not given",
    )  # fmt: skip
    arguments = parser.parse_args()
    failed_seeds = 0
    for seed in arguments.seeds:
        play = arguments.play or draw_play(seed)
        run = run_seed(
            seed, arguments.seconds, arguments.entries, arguments.workers, play,
            draw_wide_tasks(seed) if arguments.wide is None else arguments.wide,
        )  # fmt: skip
        try:
            report = asyncio.run(run)
        except asyncio.CancelledError:
            print(f"seed {seed}: stopped", flush=True)
            return 1
        failed_seeds += bool(report.problems)
        verdict = "failed" if report.problems else "passed"
        print(
            f"seed {seed} ({play.value}): {verdict}, {report.faults} faults, "
            f"{report.jobs} jobs, "
            f"{report.starts} starts", flush=True,
        )  # fmt: skip
        for problem in report.problems[:MAX_PRINTED_PROBLEMS]:
            print(f"  {problem}", flush=True)
        if len(report.problems) > MAX_PRINTED_PROBLEMS:
            print(f"  {len(report.problems)} problems in all", flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
