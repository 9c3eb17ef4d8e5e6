"""Calls with API keys of workspaces.

Guards against a call that is served or stores something with a key that is in no
configuration in force, and against keys in log lines, metrics and answers.
"""

import json
from dataclasses import replace

import msgspec
import pytest
from absl import logging
from prometheus_client import generate_latest

from ebonyhub.entry.workspaces.authorization import authorize
from ebonyhub.errors import ErrorKind
from ebonyhub.ids import JobId, QueueName
from ebonyhub.jobs.model import AcceptedJob, JobScope, Resources
from ebonyhub.jobs.records import accepted_key
from ebonyhub.platform.config import decode_configuration
from ebonyhub.platform.tenants import presented_key
from tests.test_foreign_calls import call
from tests.test_job_scopes import JOB, ROUTES, World

PRIVATE = QueueName("a")
OPEN = QueueName("b")
SECRETS = ["key-x", "key-y", "key-removed", "key-unknown"]


def build_configuration(**keys):
    routes = [ROUTES[0], {**ROUTES[1], "AllowAnonymous": True}]
    tenants = [
        {"Name": name, "ApiKeys": values, "Maximum": {"Cpu": 2000}}
        for name, values in keys.items()
    ]
    data = {"Version": 1, "Routes": routes, "Services": [{"Name": "s"}]}
    value = json.dumps({**data, "Tenants": tenants}).encode()
    return decode_configuration(value, True).ok


CONFIGURATION = build_configuration(x=["key-x"], y=["key-y", "key-x"])


@pytest.mark.parametrize(
    ("queue", "key", "workspace"),
    [
        (PRIVATE, b"key-x", "x"), (PRIVATE, b"key-y", "y"), (PRIVATE, None, None),
        (PRIVATE, b"key-z", None), (PRIVATE, b"KEY-X", None), (PRIVATE, b"x", None),
        (PRIVATE, b"key-x, key-x", None), (PRIVATE, b"\xff", None),
        (OPEN, b"key-x", "x"), (OPEN, None, ""), (OPEN, b"key-z", None),
    ],
)  # fmt: skip
def test_workspace_of_a_call(queue, key, workspace):
    found = authorize(CONFIGURATION, CONFIGURATION.queues[queue], key)
    if workspace is None:
        assert found.error is ErrorKind.UNKNOWN_KEY
    else:
        assert found.ok == workspace


@pytest.mark.parametrize("key", [None, b"key-x", b"key-z"])
def test_keys_mean_nothing_without_workspaces(key):
    configuration = replace(CONFIGURATION, workspaces={}, workspaces_by_digest={})
    assert authorize(configuration, configuration.queues[PRIVATE], key).ok == ""


@pytest.mark.parametrize(
    ("values", "key"),
    [([], None), ([b""], None), ([b" \t"], None), ([b" k\t"], b"k"), ([b"k"], b"k"),
     ([b"k", b"k"], b"k, k"), ([b"k", b""], b"k,")],
)  # fmt: skip
def test_key_in_the_header(values, key):
    """Of two keys, neither may be picked."""
    assert presented_key(values) == key


class LogLines:
    """Takes the place of the log handler."""

    def __init__(self, monkeypatch):
        self.lines = []
        logger = logging.get_absl_logger()
        monkeypatch.setattr(logger, "isEnabledFor", lambda _: True)
        monkeypatch.setattr(
            logger, "handle", lambda record: self.lines.append(record.getMessage())
        )


@pytest.fixture
def log(monkeypatch):
    return LogLines(monkeypatch)


CALLS = [("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", ""), ("PATCH", JOB),
         ("GET", "no-job")]  # fmt: skip


class UntouchableStore:
    """Fails the test when a call reaches the store."""

    failing = False

    def __getattr__(self, name):
        raise AssertionError(f"{name} was called")


def keyed_world(configuration):
    world = World("a key-x")
    world.configuration = configuration
    world.first = world.entry()
    return world


@pytest.mark.parametrize(("method", "job"), CALLS)
@pytest.mark.parametrize("scope", ["a key-unknown", "a key-removed", "a", "b key-z"])
async def test_call_without_a_key_in_force_is_refused_before_anything_is_read(
    method, job, scope, log
):
    world = keyed_world(CONFIGURATION)
    entry = world.first
    entry.service.store = entry.service.withdrawals.store = UntouchableStore()
    entry.service.mirror = None
    read = []
    chunks = (read.append(part) or part for part in [b"{", b"}"])
    queue, _, key = scope.partition(" ")
    headers = [(b"host", b"h"), (b"X-Credential", key.encode())]
    path = f"/{queue}/{job}".encode()
    status, answer = await call(entry.api, method, path, chunks, headers)
    assert status == 401
    assert read == []
    assert json.loads(answer) == {
        "error": "unknown_key",
        "outcome": "not-run",
        "detail": queue,
    }
    assert [line for line in log.lines if "unknown_key" in line and "401" in line]
    labels = {"kind": "unknown_key", "outcome": "not-run"}
    name = "ebonyhub_refusals_total"
    assert entry.api.metrics.registry.get_sample_value(name, labels) == 1
    texts = "".join(log.lines) + answer.decode()
    texts += generate_latest(entry.api.metrics.registry).decode()
    assert not [secret for secret in SECRETS if secret in texts]


async def test_answer_names_the_scheme_of_the_key():
    """RFC 9110 requires a WWW-Authenticate header in each answer with status 401."""
    sent = []

    async def send(message):
        sent.append(message)

    async def receive():
        return {"type": "http.request", "body": b"", "more_body": False}

    scope = {
        "type": "http", "method": "GET", "path": "/a/", "raw_path": b"/a/",
        "query_string": b"", "headers": [(b"host", b"h")], "scheme": "http",
        "http_version": "1.1", "server": ("127.0.0.1", 1), "client": ("127.0.0.1", 2),
        "root_path": "",
    }  # fmt: skip
    await keyed_world(CONFIGURATION).first.api(scope, receive, send)
    assert sent[0]["status"] == 401
    assert (b"www-authenticate", b"ApiKey") in [
        (name.lower(), value) for name, value in sent[0]["headers"]
    ]


async def test_unknown_route_is_answered_before_the_key_is_checked():
    entry = keyed_world(CONFIGURATION).first
    assert (await entry.call("GET", "c key-unknown"))[0] == 404


async def test_removed_and_added_keys_take_effect_with_the_configuration():
    entry = keyed_world(build_configuration(x=["key-x"])).first
    assert (await entry.call("POST", "a key-x"))[0] == 200
    changed = build_configuration(x=["key-new"])
    entry.api.configuration = lambda: changed
    for method, job in CALLS:
        assert (await entry.call(method, "a key-x", job))[0] == 401
    assert (await entry.call("GET", "a key-new"))[0] == 200


async def test_record_holds_the_workspace_and_its_limit():
    world = await keyed_world(CONFIGURATION).accept()
    item = world.core.items[accepted_key(JobId(JOB))]
    record = msgspec.msgpack.decode(item.value, type=AcceptedJob)
    assert record.scope == JobScope(PRIVATE, "x")
    assert record.workspace_limit == Resources(2000)


async def test_job_without_a_workspace_belongs_to_all_callers_of_its_queue():
    world = keyed_world(CONFIGURATION)
    entry = world.first
    assert (await entry.call("POST", "b"))[0] == 200
    for scope in ("b", "b key-x", "b key-y"):
        assert (await entry.call("GET", scope))[0] == 200
        assert (await entry.call("POST", scope))[0] == 200
    assert (await entry.call("POST", "b key-x", "e" * 16))[0] == 200
    assert (await entry.call("GET", "b", "e" * 16))[0] == 410


async def test_waiting_jobs_of_all_workspaces_are_counted():
    entry = keyed_world(CONFIGURATION).first
    await entry.call("POST", "a key-x")
    await entry.call("POST", "a key-y", "e" * 16)
    assert json.loads((await entry.call("GET", "a key-y", ""))[1]) == {"Waiting": 2}
