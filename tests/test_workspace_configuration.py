"""Decoding of workspaces in the configuration and the settings that enable them."""

import json

import pytest
import yaml

from ebonyhub.configuration import digest_key
from ebonyhub.ids import WorkspaceName
from ebonyhub.jobs.model import JobScope, Resources
from ebonyhub.platform.config import decode_configuration
from ebonyhub.platform.settings import decode_node_settings
from standins.job_cluster import node_settings_text

PORTS = [7060, 7061]
ROUTE = {"Name": "q", "Host": "h", "PathPrefix": "/q/", "Service": "s"}
SOUND = {"Name": "a", "ApiKeys": ["key-a"], "Weight": 3, "Maximum": {"Cpu": 4000}}


def configuration(*tenants, **fields):
    data = {"Version": 1, "Routes": [ROUTE], "Services": [{"Name": "s"}]}
    return json.dumps({**data, "Tenants": tenants, **fields}).encode()


def test_workspace_is_decoded_with_its_keys_as_digests():
    # A key kept as text could reach a log line or a listing.
    decoded = decode_configuration(configuration(SOUND), True).ok
    workspace = decoded.workspaces[WorkspaceName("a")]
    assert workspace.weight == 3
    assert workspace.limit == Resources(4000)
    assert workspace.key_digests == {digest_key(b"key-a")}
    assert decoded.workspace_of_key(b"key-a") == "a"
    assert decoded.workspace_of_key(b"key-b") is None
    assert "key-a" not in repr(decoded)


@pytest.mark.parametrize(
    "row",
    [
        {"Name": "b", "ApiKeys": ["secret-b"], "Weight": "many"},
        {"Name": "b", "ApiKeys": ["secret-b", 5]},
        {"Name": "b", "ApiKeys": ["secret-b", ""]},
        {"Name": "", "ApiKeys": ["secret-b"]},
        {"Name": "b", "ApiKeys": ["secret-b"], "Weight": -1},
        {"Name": "b", "ApiKeys": ["secret-b"], "Maximum": {"Cpu": -1}},
        {"Name": "b", "ApiKeys": ["secret-b"], "Maximum": 7},
        {"Name": "b", "ApiKeys": "secret-b"},
        {"Name": "a", "ApiKeys": ["secret-b"]},
        ["secret-b"],
        None,
    ],
)
def test_bad_workspace_is_left_out_and_named_without_its_keys(row):
    # One bad row must neither lock all callers out nor let its keys in.
    decoded = decode_configuration(configuration(SOUND, row), True).ok
    assert list(decoded.workspaces) == ["a"]
    assert decoded.workspace_of_key(b"secret-b") is None
    assert len(decoded.rejected_rows) == 1
    assert "secret-b" not in str(decoded.rejected_rows)


@pytest.mark.parametrize("tenants", [[], None, [{"Name": 5}], "missing"])
def test_configuration_without_a_readable_workspace_is_refused(tenants):
    # Applied, it would lock all callers out or let all in.
    value = configuration(Tenants=tenants)
    if tenants == "missing":
        value = json.dumps(
            {k: v for k, v in json.loads(value).items() if k != "Tenants"}
        ).encode()
    assert decode_configuration(value, True).is_error()


def test_workspaces_are_ignored_where_the_settings_do_not_ask_for_them():
    decoded = decode_configuration(configuration(SOUND, {"Name": 5})).ok
    assert not decoded.workspaces
    assert not decoded.rejected_rows


def test_key_of_two_workspaces_belongs_to_the_first():
    value = configuration(SOUND, {"Name": "b", "ApiKeys": ["key-a", "key-b"]})
    decoded = decode_configuration(value, True).ok
    assert decoded.workspace_of_key(b"key-a") == "a"
    assert decoded.workspace_of_key(b"key-b") == "b"


@pytest.mark.parametrize(
    ("contracts", "flags"),
    [
        ([], (False, False, False)),
        (["base", "tenants"], (True, False, False)),
        (["tenants", "quota"], (True, True, False)),
        (["tenants", "quota", "pressure"], (True, True, True)),
    ],
)
def test_contracts_of_the_settings_enable_the_parts(contracts, flags):
    data = yaml.safe_load(node_settings_text("e", "127.1.1.1", "127.1.1.2:1", PORTS))
    settings = decode_node_settings({**data, "Contracts": contracts}).ok
    enabled = (settings.has_workspaces, settings.has_limits, settings.sheds_by_cost)
    assert enabled == flags


@pytest.mark.parametrize(
    ("job", "caller", "visible"),
    [
        (("q", "a"), ("q", "a"), True),
        (("q", ""), ("q", "a"), True),
        (("q", ""), ("q", ""), True),
        (("q", "a"), ("q", "b"), False),
        (("q", "a"), ("q", ""), False),
        (("q", "a"), ("r", "a"), False),
        (("q", ""), ("r", ""), False),
    ],
)
def test_job_is_visible_only_in_its_queue_and_workspace(job, caller, visible):
    assert JobScope(*job).is_visible_to(JobScope(*caller)) is visible
