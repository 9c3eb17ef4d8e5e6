"""Workspaces of the stand-ins, and the soak's checks of keys, scopes and limits.

Guards against stand-ins that play no workspaces, and against checks that do not fail.
"""

import json

import pytest

from ebonyhub.http_client import request_once
from ebonyhub.ids import JobId, RackId, ServiceName, TaskId, WorkerId, WorkspaceName
from ebonyhub.jobs.model import JobSpec, Resources, StepSpec
from ebonyhub.platform.config import decode_configuration
from ebonyhub.platform.settings import decode_node_settings
from ebonyhub.scheduling.model import RunOutcome
from standins.fake_worker import FakeWorker
from standins.job_platform import CONFIGURATION_KEY, JobPlatform
from standins.network import claim_network
from standins.oracle import GuaranteeViolation, Oracle
from standins.platform_documents import (
    PlatformOptions,
    WorkspaceRow,
    node_settings_text,
)
from standins.workspace_limits import LIMIT_CHANGE_SECONDS

STORE_PORT = 8600
NORTH = WorkspaceName("north")
SOUTH = WorkspaceName("south")
OPTIONS = PlatformOptions(
    has_second_queue=True,
    workspaces=(
        WorkspaceRow(NORTH, ("k1", "k2"), 2.0, Resources(4000, 0, 1)),
        WorkspaceRow(SOUTH, ("k3",)),
    ),
    contracts=("tenants", "quota"),
    bounds={"StrictRevocation": True, "RevokeMs": 5000},
)


@pytest.fixture
def network():
    network = claim_network()
    yield network
    network.close()


def stored_configuration(platform):
    value = platform.core.items[CONFIGURATION_KEY].value
    return decode_configuration(value, has_workspaces=True).ok


def test_written_configurations_carry_the_changed_workspaces(network):
    platform = JobPlatform(network.address(0, 1), STORE_PORT, [], OPTIONS)
    platform.write_configuration()
    first = stored_configuration(platform)
    assert (first.version, len(first.queues)) == (1, 2)
    assert first.workspaces[NORTH].limit == Resources(4000, 0, 1)
    assert first.workspace_of_key(b"k2") == NORTH
    row = platform.workspaces[NORTH].without_key("k2").with_key("k4")
    platform.workspaces[NORTH] = row
    platform.write_configuration()
    second = stored_configuration(platform)
    assert (second.version, second.rejected_rows) == (2, ())
    assert second.workspace_of_key(b"k2") is None
    assert second.workspace_of_key(b"k4") == NORTH


def test_settings_carry_contracts_and_bounds():
    text = node_settings_text("e", "127.1.1.1", "127.1.1.2:1", (7060, 7075), OPTIONS)
    settings = decode_node_settings(json.loads(text)).ok
    assert settings.has_workspaces
    assert settings.has_limits
    assert settings.strict_revocation
    assert settings.revocation_seconds == 5.0
    assert settings.status_retention_seconds == 120.0


async def test_store_refuses_single_clients(network):
    host = network.address(0, 1)
    platform = JobPlatform(host, STORE_PORT, [], OPTIONS)
    await platform.start()
    try:
        path = f"/kv-key?Key={CONFIGURATION_KEY}"
        statuses = []
        for refused in ("127.0.0.9", "127.0.0.1"):
            platform.store.refused_clients = {refused}
            answer = await request_once(host, STORE_PORT, "GET", path)
            statuses.append(answer.ok.status)
        assert statuses == [200, 503]
    finally:
        await platform.stop()


class Cluster:
    """An oracle, its clock, and workers that start single tasks of workspaces."""

    def __init__(self):
        self.now = 100.0
        self.oracle = Oracle(lambda: self.now, 3)
        self.limits = self.oracle.workspace_limits
        self.workers = [
            FakeWorker(
                worker=WorkerId(f"w{number}"), service=ServiceName("plans"),
                capacity=Resources(8000, 32000, 0), rack=RackId("r1"), born_ms=1,
            )
            for number in range(2)
        ]  # fmt: skip

    def start(self, cpu, workspace=NORTH, worker=0, spare=False):
        job = JobId(f"{len(self.oracle.specs):016x}")
        step = StepSpec(1, Resources(cpu, 100), uses_spare_cpu=spare)
        self.oracle.record_submission(job, JobSpec("50", (step,)), workspace)
        task = TaskId(job, 0, 0, 0)
        self.oracle.check_start(self.workers[worker], task, 1)
        return task

    def end(self, task, worker=0):
        self.oracle.record_end(self.workers[worker], task, 1, RunOutcome.DONE)


@pytest.fixture
def cluster():
    cluster = Cluster()
    cluster.limits.set_limit(NORTH, Resources(4000))
    return cluster


@pytest.mark.parametrize(
    ("cpu", "workspace", "spare", "is_excess"),
    [
        (1000, NORTH, False, False),
        (1001, NORTH, False, True),
        # A best-effort task counts with its full CPU.
        (1001, NORTH, True, True),
        # Without a limit, and without a workspace.
        (5000, SOUTH, False, False),
        (5000, None, False, False),
    ],
)
def test_start_beside_3000_of_4000(cluster, cpu, workspace, spare, is_excess):
    """Runs on another worker count as well."""
    cluster.start(3000)
    if not is_excess:
        cluster.start(cpu, workspace, worker=1, spare=spare)
        return
    with pytest.raises(GuaranteeViolation, match="QUOTA"):
        cluster.start(cpu, workspace, worker=1, spare=spare)


def test_task_above_the_limit_runs_alone(cluster):
    task = cluster.start(5000)
    with pytest.raises(GuaranteeViolation, match="QUOTA"):
        cluster.start(100, worker=1)
    cluster.end(task)


def test_ended_runs_no_longer_count(cluster):
    cluster.end(cluster.start(4000))
    cluster.start(4000, worker=1)


def test_excessive_run_counts_until_it_ends(cluster):
    """A violation must not hide the next one."""
    cluster.limits.set_limit(NORTH, Resources(1000))
    cluster.now += LIMIT_CHANGE_SECONDS + 1
    cluster.start(900)
    for _ in range(2):
        with pytest.raises(GuaranteeViolation, match="QUOTA"):
            cluster.start(200)


@pytest.mark.parametrize(
    ("after_seconds", "is_excess"),
    [(LIMIT_CHANGE_SECONDS - 0.1, False), (LIMIT_CHANGE_SECONDS + 0.1, True)],
)
def test_lowered_limit_counts_once_it_is_in_force(cluster, after_seconds, is_excess):
    cluster.start(1500)
    cluster.limits.set_limit(NORTH, Resources(2000))
    cluster.now += after_seconds
    if not is_excess:
        cluster.start(1500)
        return
    with pytest.raises(GuaranteeViolation, match="QUOTA"):
        cluster.start(1500)


def test_raised_or_removed_limit_counts_at_once(cluster):
    cluster.start(3000)
    cluster.limits.set_limit(NORTH, Resources(6000))
    cluster.start(3000, worker=1)
    cluster.limits.set_limit(NORTH, Resources())
    cluster.start(3000, worker=1)
