"""What operators see of workspaces: status API, explain, metrics and events."""

import json
import logging
from types import SimpleNamespace

import pytest
from absl import logging as absl_logging
from prometheus_client import CollectorRegistry
from prometheus_client.parser import text_string_to_metric_families

from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.configuration import digest_key
from ebonyhub.entry.status_api import StatusApi, StatusSources
from ebonyhub.errors import ERROR_RESPONSES, ErrorKind, ErrorResponse, Outcome
from ebonyhub.events import Event
from ebonyhub.ids import NO_WORKSPACE, WorkspaceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import JobState
from ebonyhub.metrics import Metrics
from ebonyhub.platform.config import decode_configuration
from ebonyhub.refused_calls import (
    MAX_NAMED_WORKSPACES,
    OTHER_WORKSPACES,
    RefusedCalls,
)
from ebonyhub.scheduling.explain import explain_job
from ebonyhub.scheduling.workspaces.status import WorkspaceStatus
from ebonyhub.workspace_metrics import WorkspaceCollector
from ebonyhub.workspace_reports import WorkspaceReports
from standins.emulator import QUEUE, SERVICE
from tests.test_foreign_calls import call
from tests.test_scheduler import JOB, Driver

KEY = "api-key-that-must-not-appear"


class StoppedClock:
    """Time that moves only when a test sets it."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class FakePolicy:
    """Stands for the scheduler's workspace policy; ``held`` has causes by step."""

    def __init__(self, *statuses, held=None):
        self.statuses = statuses
        self.held = held or {}

    def overview(self):
        return iter(self.statuses)

    def held_back_by(self, job, step):
        return self.held.get(job.accepted.spec.steps.index(step))


def status(name, **fields):
    data = {
        "weight": 2.0, "priority": 1, "limit": Resources(4000), "used": Resources(500),
        "fair_share": None, "waiting_jobs": 0, "over_rate_jobs": 0, **fields,
    }  # fmt: skip
    return WorkspaceStatus(name=name, **data)


def configuration(*names):
    tenants = [
        {"Name": name, "ApiKeys": [f"{KEY}-{name}"], "Weight": 3,
         "Maximum": {"Cpu": 2000}}
        for name in names
    ]  # fmt: skip
    route = {"Name": "q", "Host": "h", "PathPrefix": "/q/", "Service": "s"}
    data = {"Version": 4, "Routes": [route], "Services": [{"Name": "s"}]}
    value = json.dumps({**data, "Tenants": tenants}).encode()
    return decode_configuration(value, bool(tenants)).ok


def status_api(policy=None, refused=None, config=None):
    sources = StatusSources(
        Metrics(CollectorRegistry()), JobMirror(), lambda: None, lambda: "leader-1",
        configuration=lambda: config, workspaces=lambda: policy,
        refused=refused or RefusedCalls(StoppedClock()),
    )  # fmt: skip
    return StatusApi(sources)


async def get(api, path):
    found, body = await call(api, "GET", path)
    assert KEY.encode() not in body
    return found, json.loads(body)


async def test_leader_reports_use_limit_share_and_refused_calls():
    refused = RefusedCalls(StoppedClock())
    refused.add("a", ErrorKind.OVERLOADED)
    refused.add("a", ErrorKind.OVERLOADED)
    refused.add("a", ErrorKind.INVALID_REQUEST)
    refused.add(NO_WORKSPACE, ErrorKind.UNKNOWN_ROUTE)
    policy = FakePolicy(
        status("a", fair_share=0.25, waiting_jobs=7, over_rate_jobs=2),
        status("gone", used=Resources(0, 64, 1)),
        # The leader remembers it, but nothing of it is left.
        status("gone-long-ago", used=Resources()),
    )
    api = status_api(policy, refused, configuration("a", "b"))
    found, listed = await get(api, b"/v1/workspaces")
    assert found == 200
    assert listed["leader"] == "leader-1"
    assert listed["has_usage"]
    assert listed["refused_without_workspace"] == {"unknown_route": 1}
    rows = {row["workspace"]: row for row in listed["items"]}
    assert rows["a"] == {
        "workspace": "a", "weight": 2.0, "priority": 1,
        "limit": {"cpu": 4000, "memory_mb": 0, "accelerators": 0},
        "used": {"cpu": 500, "memory_mb": 0, "accelerators": 0},
        "fair_share": 0.25, "waiting": 7, "over_rate": 2, "refused": 3,
    }  # fmt: skip
    # Configured but not yet known to the scheduler, and the reverse.
    assert (rows["b"]["weight"], rows["b"]["waiting"]) == (3.0, 0)
    assert rows["gone"]["used"]["accelerators"] == 1
    assert "gone-long-ago" not in rows

    found, described = await get(api, b"/v1/workspaces/a")
    assert found == 200
    assert described["refused"] == {"invalid_request": 1, "overloaded": 2}
    fingerprint = digest_key(f"{KEY}-a".encode()).hex()[:8]
    assert described["keys"] == [fingerprint]
    assert described["configured"]
    assert not (await get(api, b"/v1/workspaces/gone"))[1]["configured"]


async def test_follower_reports_what_it_knows_and_names_the_leader():
    # Zeros for figures that only the leader knows would read as an idle workspace.
    api = status_api(None, None, configuration("a"))
    listed = (await get(api, b"/v1/workspaces"))[1]
    assert listed["leader"] == "leader-1"
    assert not listed["has_usage"]
    assert set(listed["items"][0]) == {
        "workspace", "weight", "priority", "limit", "refused"
    }  # fmt: skip


@pytest.mark.parametrize(
    ("name", "path"),
    [
        ("a/b", b"a%2Fb"),
        ("a b", b"a%20b"),
        ("100%", b"100%25"),
        ("büro", b"b%C3%BCro"),
        ("..", b".."),
        ("a/", b"a%2F"),
    ],
)
async def test_workspace_with_any_name_can_be_described(name, path):
    api = status_api(None, None, configuration("x", name))
    found, described = await get(api, b"/v1/workspaces/" + path)
    assert (found, described["workspace"]) == (200, name)


@pytest.mark.parametrize("path", [b"b", b"", b"%ff", b"x" * 9000])
async def test_unknown_workspace_is_not_found(path):
    api = status_api(FakePolicy(), None, configuration("a"))
    found, answer = await call(api, "GET", b"/v1/workspaces/" + path)
    # Without a name the path is that of the list.
    assert found == (404 if path else 200)
    assert len(answer) < 1000


async def test_configuration_is_shown_with_fingerprints_only():
    api = status_api(None, None, configuration("a"))
    found, view = await get(api, b"/v1/configuration")
    assert found == 200
    assert view["version"] == 4
    assert view["queues"]["q"]["service"] == "s"
    workspace = view["workspaces"]["a"]
    digest = digest_key(f"{KEY}-a".encode())
    assert workspace["keys"] == [digest.hex()[:8]]
    assert digest.hex() not in json.dumps(view)
    assert workspace["fields"]["limit.cpu"] == 2000


async def test_entry_without_a_configuration_says_so():
    found, answer = await get(status_api(), b"/v1/configuration")
    assert found == 503
    assert answer["error"] == "configuration_missing"
    assert (await get(status_api(), b"/v1/workspaces"))[1]["items"] == []


def test_explain_names_what_holds_a_step_back():
    driver = Driver()
    steps = (StepSpec(1, Resources(1000, 1)), StepSpec(1, Resources(2000, 1)))
    spec = JobSpec("t", steps)
    accepted = AcceptedJob(
        JOB, QUEUE, SERVICE, 3, 0, spec, workspace=WorkspaceName("a")
    )
    driver.scheduler.load_job(accepted, None, False, driver.now, 0)
    job = driver.scheduler.jobs[JOB]
    cause = "workspace a uses 4 cores of its limit of 4 cores"
    policy = FakePolicy(held={1: cause})
    reasons = explain_job(driver.scheduler, job.job_id, driver.now, policy)
    held = [reason for reason in reasons if "held back" in reason]
    assert held == [f"step 1 is held back: {cause}"]
    others = explain_job(driver.scheduler, job.job_id, driver.now)
    assert others == [reason for reason in reasons if reason not in held]
    driver.start_all()
    assert explain_job(driver.scheduler, job.job_id, driver.now, policy) == []


async def test_description_of_a_job_names_its_workspace_and_what_holds_it_back():
    # The page and the explanation must use the same policy.
    driver = Driver()
    spec = JobSpec("t", (StepSpec(1, Resources(1000, 1)),))
    accepted = AcceptedJob(
        JOB, QUEUE, SERVICE, 3, 7, spec, workspace=WorkspaceName("a")
    )
    driver.scheduler.load_job(accepted, None, False, driver.now, 0)
    mirrored = SimpleNamespace(
        is_accepted=True, queue=QUEUE, visible_state=JobState.QUEUED, accepted=accepted
    )
    controller = SimpleNamespace(clock=StoppedClock(), scheduler=driver.scheduler)
    sources = StatusSources(
        Metrics(CollectorRegistry()), SimpleNamespace(jobs={JOB: mirrored}),
        lambda: controller, lambda: "leader-1",
        workspaces=lambda: FakePolicy(held={0: "the limit"}),
    )  # fmt: skip
    found, data = await get(StatusApi(sources), f"/v1/jobs/{JOB}".encode())
    assert found == 200
    assert (data["workspace"], data["accepted_ms"]) == ("a", 7)
    assert data["waits_because"][-1].endswith("held back: the limit")


# Counts of refused calls


def test_counts_are_bounded_and_their_sum_is_kept():
    # Names that come and go must not fill the memory, and must not lose calls.
    refused = RefusedCalls(StoppedClock())
    for number in range(1000):
        refused.add(f"w{number}", ErrorKind.OVERLOADED)
    assert len(refused.counts) == MAX_NAMED_WORKSPACES + 1
    assert refused.by_reason(OTHER_WORKSPACES)["overloaded"] == 744
    refused.keep_only(["w0", "w999"])
    assert set(refused.counts) == {"w0", OTHER_WORKSPACES}
    assert sum(sum(counts.values()) for counts in refused.counts.values()) == 1000
    refused.add("w999", ErrorKind.OVERLOADED)
    assert refused.by_reason("w999") == {"overloaded": 1}


@pytest.fixture
def log_lines():
    lines = []

    class Collecting(logging.Handler):
        def emit(self, record):
            lines.append(record.getMessage())

    handler = Collecting()
    logger = absl_logging.get_absl_logger()
    previous = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield lines
    logger.removeHandler(handler)
    logger.setLevel(previous)


def number(event):
    return f"E{event.value.number} "


def test_unknown_keys_are_logged_at_intervals_only(log_lines, monkeypatch):
    # A caller with a removed key repeats its call many times per second.
    unauthorized = ErrorResponse(401, Outcome.NOT_RUN)
    monkeypatch.setitem(ERROR_RESPONSES, ErrorKind.INVALID_REQUEST, unauthorized)
    clock = StoppedClock()
    refused = RefusedCalls(clock)
    for tenth in range(150):
        clock.now = tenth / 10
        refused.add(NO_WORKSPACE, ErrorKind.INVALID_REQUEST)
        refused.add(NO_WORKSPACE, ErrorKind.UNKNOWN_ROUTE)
    assert [line.rpartition("=")[2] for line in log_lines] == ["1", "100"]
    assert all(number(Event.UNKNOWN_KEY_REFUSED) in line for line in log_lines)


# Metrics


def samples(reports):
    registry = CollectorRegistry()
    registry.register(WorkspaceCollector(reports))
    return {
        (sample.name, *sorted(sample.labels.values())): sample.value
        for family in registry.collect()
        for sample in family.samples
    }


def test_metrics_have_a_bounded_number_of_workspaces():
    names = [f"w{number:03}" for number in range(300)]
    refused = RefusedCalls(StoppedClock())
    for name in reversed(names):
        refused.add(name, ErrorKind.OVERLOADED)
    policy = FakePolicy(*(status(name, waiting_jobs=2) for name in names))
    config = configuration(*names)
    found = samples(WorkspaceReports(lambda: config, lambda: policy, refused))
    for family in ("waiting_jobs", "weight"):
        labels = [key[1] for key in found if key[0] == f"ebonyhub_workspace_{family}"]
        assert len(labels) == MAX_NAMED_WORKSPACES + 1
    refusals = "ebonyhub_workspace_refused_calls_total"
    labels = {label for key in found for label in key[1:] if key[0] == refusals}
    assert len(labels - {"overloaded"}) <= MAX_NAMED_WORKSPACES + 1
    assert sum(v for key, v in found.items() if key[0] == refusals) == 300
    assert found[("ebonyhub_workspace_waiting_jobs", "other")] == 88
    assert ("ebonyhub_workspace_limit", "cpu", "other") not in found


def test_removed_workspace_loses_its_labels():
    # Each rename of a workspace would otherwise add a time series for good.
    current = [configuration("a", "b")]
    refused = RefusedCalls(StoppedClock())
    refused.add("a", ErrorKind.OVERLOADED)
    refused.add("b", ErrorKind.OVERLOADED)
    policy = FakePolicy(status("a"), status("b", fair_share=0.5))
    reports = WorkspaceReports(lambda: current[0], lambda: policy, refused)
    assert ("ebonyhub_workspace_weight", "b") in samples(reports)
    current[0] = configuration("a")
    found = samples(reports)
    assert not any("b" in key for key in found)
    # It still has runs, which stay visible in the sum.
    assert found[("ebonyhub_workspace_used", "cpu", "other")] == 500
    refusals = "ebonyhub_workspace_refused_calls_total"
    assert found[(refusals, "other", "overloaded")] == 1


def test_follower_has_no_gauges_and_no_workspaces_means_no_metrics():
    refused = RefusedCalls(StoppedClock())
    refused.add("a", ErrorKind.OVERLOADED)
    config = configuration("a")
    found = samples(WorkspaceReports(lambda: config, lambda: None, refused))
    assert {key[0] for key in found} == {"ebonyhub_workspace_refused_calls_total"}
    plain = configuration()
    for value in (plain, None):
        assert not samples(WorkspaceReports(lambda v=value: v, lambda: None, refused))


async def test_metrics_page_contains_both_registries():
    policy = FakePolicy(status('a"\n\\'))
    config = configuration('a"\n\\')
    found, text = await call(status_api(policy, None, config), "GET", b"/metrics")
    assert found == 200
    assert KEY.encode() not in text
    families = {f.name: f for f in text_string_to_metric_families(text.decode())}
    assert "ebonyhub_requests" in families
    [weight] = families["ebonyhub_workspace_weight"].samples
    assert weight.labels == {"workspace": 'a"\n\\'}
