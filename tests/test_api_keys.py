"""Calls with API keys of workspaces.

Guards against a call that is served or stores something with a key that is in no
configuration in force, and against keys in log lines, metrics and answers.
"""

import json
from dataclasses import replace

import msgspec
import pytest
from prometheus_client import generate_latest

from ebonyhub.entry.workspaces.authorization import authorize
from ebonyhub.jobs.model import AcceptedJob, JobScope, Resources
from ebonyhub.jobs.records import accepted_key
from ebonyhub.platform.config import decode_configuration
from ebonyhub.platform.tenants import presented_key
from tests.test_foreign_calls import call
from tests.test_job_scopes import JOB, OTHER_JOB, ROUTES, World


def build_configuration(**keys):
    """Return a configuration whose second queue serves calls without a key."""
    routes = [ROUTES[0], {**ROUTES[1], "AllowAnonymous": True}]
    tenants = [
        {"Name": name, "ApiKeys": values, "Maximum": {"Cpu": 2000}}
        for name, values in keys.items()
    ]
    data = {"Version": 1, "Routes": routes, "Services": [{"Name": "s"}]}
    value = json.dumps({**data, "Tenants": tenants}).encode()
    return decode_configuration(value, True).ok


CONFIGURATION = build_configuration(x=["key-x"], y=["key-y", "key-x"])
WITHOUT_WORKSPACES = replace(CONFIGURATION, workspaces={}, workspaces_by_digest={})


@pytest.mark.parametrize(
    ("queue", "key", "workspace"),
    [
        ("a", b"key-x", "x"), ("a", b"key-y", "y"), ("a", None, "401"),
        ("a", b"key-z", "401"), ("a", b"KEY-X", "401"), ("a", b"\xff", "401"),
        ("a", b"key-x, key-x", "401"),
        ("b", b"key-x", "x"), ("b", None, ""), ("b", b"key-z", "401"),
    ],
)  # fmt: skip
def test_workspace_of_a_call(queue, key, workspace):
    found = authorize(CONFIGURATION, CONFIGURATION.queues[queue], key)
    assert (found.ok if found.is_ok() else "401") == workspace
    assert authorize(WITHOUT_WORKSPACES, CONFIGURATION.queues[queue], key).ok == ""


@pytest.mark.parametrize(
    ("values", "key"),
    [([], None), ([b""], None), ([b" \t"], None), ([b" k\t"], b"k"), ([b"k"], b"k"),
     ([b"k", b"k"], b"k, k"), ([b"k", b""], b"k,")],
)  # fmt: skip
def test_key_in_the_header(values, key):
    """Of two keys, neither may be picked."""
    assert presented_key(values) == key


CALLS = [("POST", JOB), ("GET", JOB), ("DELETE", JOB), ("GET", ""), ("PATCH", JOB),
         ("GET", "no-job")]  # fmt: skip


@pytest.mark.parametrize(("method", "job"), CALLS)
@pytest.mark.parametrize("scope", ["a key-unknown", "a", "b key-z"])
async def test_call_without_a_key_in_force_is_refused_before_anything_is_read(
    method, job, scope, log_lines
):
    entry = World("a key-x", CONFIGURATION).first
    # Every use of these would raise.
    entry.service.store = entry.service.mirror = entry.service.withdrawals = None
    read, sent = [], []
    chunks = (read.append(part) or part for part in [b"{", b"}"])
    queue, _, key = scope.partition(" ")
    headers = [(b"host", b"h"), (b"X-Credential", key.encode())]
    path = f"/{queue}/{job}".encode()
    status, answer = await call(entry.api, method, path, chunks, headers, sent)
    assert (status, read) == (401, [])
    assert json.loads(answer)["error"] == "unknown_key"
    # RFC 9110 requires the header in each answer with status 401.
    assert (b"www-authenticate", b"ApiKey") in [
        (name.lower(), value) for name, value in sent[0]["headers"]
    ]
    assert [line for line in log_lines if "unknown_key" in line and "401" in line]
    registry = entry.api.metrics.registry
    labels = {"kind": "unknown_key", "outcome": "not-run"}
    assert registry.get_sample_value("ebonyhub_refusals_total", labels) == 1
    texts = "".join(log_lines) + answer.decode() + generate_latest(registry).decode()
    assert "key-" not in texts
    assert (await entry.call("GET", "c key-unknown"))[0] == 404


async def test_removed_and_added_keys_take_effect_with_the_configuration():
    entry = World("a key-x", CONFIGURATION).first
    assert (await entry.call("POST", "a key-x"))[0] == 200
    changed = build_configuration(x=["key-new"])
    entry.api.configuration = lambda: changed
    for method, job in CALLS:
        assert (await entry.call(method, "a key-x", job))[0] == 401
    assert (await entry.call("GET", "a key-new"))[0] == 200


async def test_record_holds_the_workspace_and_its_limit():
    world = await World("a key-x", CONFIGURATION).accept()
    value = world.core.items[accepted_key(JOB)].value
    record = msgspec.msgpack.decode(value, type=AcceptedJob)
    assert (record.scope, record.workspace_limit) == (("a", "x"), Resources(2000))
    assert isinstance(record.scope, JobScope)


async def test_job_without_a_workspace_belongs_to_all_callers_of_its_queue():
    entry = World("b", CONFIGURATION).first
    assert (await entry.call("POST", "b"))[0] == 200
    for scope in ("b", "b key-x", "b key-y"):
        assert (await entry.call("GET", scope))[0] == 200
        assert (await entry.call("POST", scope))[0] == 200
    assert (await entry.call("POST", "b key-x", OTHER_JOB))[0] == 200
    assert (await entry.call("GET", "b", OTHER_JOB))[0] == 410
    # The count is that of the whole queue.
    assert json.loads((await entry.call("GET", "b key-y", ""))[1]) == {"Waiting": 2}
