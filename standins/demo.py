"""Runs entries and backend servers on loopback under load and kills one entry.

Exits with 1 if an invariant was violated or no request was answered.
"""

import asyncio
import itertools
import random
import sys
import time

from .cluster import ROOT, Cluster
from .load import Caller, LoadReport

ENTRIES = 3
CALLERS = 40
LOAD_SECONDS = 12.0
KILL_AFTER_SECONDS = 5.0
MEAN_PAUSE_SECONDS = 0.1


async def run_load(cluster: Cluster, report: LoadReport) -> None:
    """Run all callers, kill one entry meanwhile, and print the progress."""
    services = sorted(cluster.declared.of_kind("Service"))
    request_ids = itertools.count(1)
    callers = [
        Caller(cluster.balancer, services, report, random.Random(seed), request_ids)
        for seed in range(CALLERS)
    ]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller.run(LOAD_SECONDS, MEAN_PAUSE_SECONDS))
        group.create_task(kill_entry(cluster))
        group.create_task(show_progress(report))


async def kill_entry(cluster: Cluster) -> None:
    """Kill one entry KILL_AFTER_SECONDS after the load has started."""
    await asyncio.sleep(KILL_AFTER_SECONDS)
    cluster.kill("entry-2")
    print("entry-2 killed", flush=True)


async def show_progress(report: LoadReport) -> None:
    """Print the counts every two seconds."""
    started = time.monotonic()
    while time.monotonic() - started < LOAD_SECONDS:
        await asyncio.sleep(2.0)
        counts = ", ".join(f"{k} {v}" for k, v in sorted(report.counts.items()))
        elapsed = time.monotonic() - started
        print(f"{elapsed:5.1f} s: sent {len(report.sent)}, {counts}", flush=True)


def main() -> int:
    """Run the demo and return the exit code."""
    report = LoadReport()
    with Cluster(ROOT / "examples" / "kilimani.yaml", ENTRIES) as cluster:
        print(f"{len(cluster.processes)} processes started", flush=True)
        cluster.apply_example()
        print(cluster.run_cli("get", "Service").stdout, flush=True)
        asyncio.run(run_load(cluster, report))
        services = cluster.declared.of_kind("Service")
        runs = {name: cluster.backend_runs(name) for name in services}
    violations = report.count_violations(runs)
    print(f"\n{'sent':<32}{len(report.sent):>8}")
    for name, value in [*sorted(report.counts.items()), *violations.items()]:
        print(f"{name:<32}{value:>8}")
    failed = any(violations.values()) or report.counts["answered"] == 0
    print("FAILED: an invariant was violated" if failed else "all invariants held")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
