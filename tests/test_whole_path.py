"""End-to-end tests of the packaged binary, with one process for each component.

Guards against components that pass their own tests but do not work together.
"""

import asyncio
import itertools
import random
import signal

import pytest

from standins.cluster import ROOT, Cluster
from standins.load import Caller, LoadReport

# Ids must be unique over all tests, since the tests share the backend servers.
REQUEST_IDS = itertools.count(1)
BINARY = ROOT / "dist" / "ebonyhub"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    assert BINARY.exists(), "run make dist first"
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("SHIV_ROOT", str(tmp_path_factory.mktemp("shiv")))
        program = [str(ROOT / ".venv/bin/python"), str(BINARY)]
        with Cluster(ROOT / "examples/kilimani.yaml", 3, program) as running:
            running.apply_example()
            yield running


def run_callers(cluster, seconds, action_at_half_time=None):
    report = LoadReport()
    services = sorted(cluster.declared.of_kind("Service"))

    async def run():
        async with asyncio.TaskGroup() as group:
            for seed in range(20):
                caller = Caller(
                    cluster.balancer, services, report, random.Random(seed), REQUEST_IDS
                )
                group.create_task(caller.run(seconds, 0.05))
            if action_at_half_time is not None:
                await asyncio.sleep(seconds / 2)
                action_at_half_time()

    asyncio.run(run())
    return report


def check_guarantees(cluster, report):
    services = cluster.declared.of_kind("Service")
    violations = report.count_violations(
        {name: cluster.backend_runs(name) for name in services}
    )
    assert not any(violations.values()), violations


def test_all_requests_are_answered(cluster):
    report = run_callers(cluster, 2.0)
    assert report.counts["answered"] == len(report.sent) > 0
    check_guarantees(cluster, report)


def test_command_line_lists_applied_resources(cluster):
    listed = cluster.run_cli("get", "Vm", "-o", "json")
    assert listed.returncode == 0, listed.stderr
    assert listed.stdout.count('"kind": "Vm"') == 30


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["get", "Service", "none"], 4),
        (["get", "Service", "--server", "127.0.0.1:1"], 6),
        (["apply", "-f", "none.yaml"], 2),
        (["unknown-command"], 2),
        (["version"], 0),
    ],
)
def test_exit_codes(cluster, arguments, code):
    assert cluster.run_cli(*arguments).returncode == code


def test_graceful_shutdown_fails_no_request(cluster):
    report = run_callers(cluster, 4.0, lambda: cluster.kill("entry-3", signal.SIGTERM))
    assert report.counts["answered"] == len(report.sent)
    assert cluster.processes["entry-3"].wait(timeout=30) == 0
    check_guarantees(cluster, report)


def test_killed_entry_violates_no_guarantee(cluster):
    report = run_callers(cluster, 3.0, lambda: cluster.kill("entry-2"))
    assert report.counts["answered"] > 0
    check_guarantees(cluster, report)


def test_store_outage_does_not_stop_requests(cluster):
    cluster.set_store_fault("down")
    report = run_callers(cluster, 2.0)
    cluster.set_store_fault("none")
    assert report.counts["answered"] == len(report.sent)
    check_guarantees(cluster, report)
