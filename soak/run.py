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

from standins.job_cluster import STORE_PORT, JobCluster
from standins.job_demo import wait_until_ready
from standins.oracle import Oracle

from .callers import Callers
from .checks import Watcher, get_status, wait_for_rest, wrong_runs
from .injector import Injector
from .proxy import Proxy
from .schedule import draw_faults

MAX_ATTEMPTS = 3
LINK_PORT = 8900
# Seconds for a configuration to be in force everywhere, with calm processes.
CONFIGURATION_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Report:
    """Result of one seed."""

    seed: int
    faults: int
    jobs: int
    starts: int
    problems: tuple[str, ...]


async def open_links(cluster: JobCluster) -> tuple[dict[str, Proxy], dict[str, Proxy]]:
    """Put a proxy between each entry and the store, and before each worker."""
    store_links: dict[str, Proxy] = {}
    for number, name in enumerate(cluster.names, start=1):
        store_links[name] = Proxy((cluster.platform_ip, STORE_PORT))
        host = cluster.network.address(2, number)
        await store_links[name].start(host, LINK_PORT)
        cluster.store_addresses[name] = f"{host}:{LINK_PORT}"
    worker_links: dict[str, Proxy] = {}
    for number, worker in enumerate(cluster.platform.workers, start=1):
        own = (worker.listener.address, worker.listener.port)
        link = worker_links[worker.fake.worker] = Proxy(own)
        host = cluster.network.address(3, number)
        await link.start(host, LINK_PORT)
        worker.advertised = f"{host}:{LINK_PORT}"
    return store_links, worker_links


async def inject(injector: Injector, seed: int, seconds: float) -> int:
    """Inject the faults of a seed; return their number."""
    faults = draw_faults(seed, seconds)
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in faults:
            await asyncio.sleep(max(0.0, started + fault.at - loop.time()))
            group.create_task(injector.carry_out(fault))
    return len(faults)


async def check_configuration(injector: Injector, cluster: JobCluster) -> list[str]:
    """Return the entries that do not put a new configuration into force in time."""
    prefix = injector.configure()
    await asyncio.sleep(CONFIGURATION_SECONDS)
    statuses = {name: await get_status(cluster, name, prefix) for name in cluster.names}
    return [f"{n}: new queue {s}" for n, s in statuses.items() if s != 200]


async def run_seed(seed: int, seconds: float, entries: int, workers: int) -> Report:
    """Run one seed on a cluster of its own; SIGTERM ends it with all processes."""
    running = asyncio.current_task()
    assert running is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
    cluster = JobCluster(entries, workers)
    oracle = Oracle(time.monotonic, MAX_ATTEMPTS)
    callers = Callers(cluster, oracle, random.Random(seed))
    watcher = Watcher(cluster, oracle)
    tasks: list[asyncio.Task[None]] = []
    try:
        store_links, worker_links = await open_links(cluster)
        await cluster.platform.start()
        watcher.attach()
        for name in cluster.names:
            cluster.start_entry(name)
        await wait_until_ready(cluster)
        injector = Injector(cluster, store_links, worker_links)
        tasks = [
            asyncio.create_task(watcher.follow_acknowledgements()),
            asyncio.create_task(watcher.probe_configuration(lambda: injector.version)),
            *(
                asyncio.create_task(callers.use_open_connection(name))
                for name in cluster.names
            ),
        ]
        submitting = asyncio.create_task(callers.submit_jobs())
        tasks.append(submitting)
        count = await inject(injector, seed, seconds)
        injector.heal()
        submitting.cancel()
        await asyncio.wait([submitting])
        problems = await wait_for_rest(callers, cluster)
        problems += await check_configuration(injector, cluster)
        problems += wrong_runs(callers, oracle, cluster)
        problems += watcher.problems + callers.problems
        starts = sum(history.starts for history in oracle.tasks.values())
        if problems:
            keep_logs(cluster, seed, problems)
        return Report(seed, count, len(callers.told), starts, tuple(problems))
    finally:
        for task in tasks:
            task.cancel()
        await cluster.platform.stop()
        for link in [*store_links.values(), *worker_links.values()]:
            await link.stop()
        cluster.close()


def keep_logs(cluster: JobCluster, seed: int, problems: list[str]) -> None:
    """Copy the logs of a failed seed to build/soak/SEED."""
    folder = Path("build/soak") / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for log in Path(cluster.directory.name).glob("*.log"):
        shutil.copy(log, folder)
    (folder / "problems.txt").write_text("\n".join(problems) + "\n")


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of "N" or "FIRST-LAST"."""
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> int:
    """Run the seeds one after the other; 1 if a promise broke."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-5"))
    parser.add_argument("--seconds", type=float, default=15.0, help="of faults")
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--workers", type=int, default=4)
    arguments = parser.parse_args()
    broken = 0
    for seed in arguments.seeds:
        try:
            report = asyncio.run(
                run_seed(seed, arguments.seconds, arguments.entries, arguments.workers)
            )
        except asyncio.CancelledError:
            print(f"seed {seed}: stopped", flush=True)
            return 1
        broken += bool(report.problems)
        verdict = "broken" if report.problems else "kept"
        print(
            f"seed {seed}: {verdict}, {report.faults} faults, {report.jobs} jobs, "
            f"{report.starts} starts", flush=True,
        )  # fmt: skip
        for problem in report.problems:
            print(f"  {problem}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
