"""Tests that invalid settings and resources are rejected with file, line and key."""

from pathlib import Path

import pytest

from ebonyhub.resources import parse_resources
from ebonyhub.settings import EntrySettings, load_settings, parse_strict

EXAMPLES = Path(__file__).parent.parent / "examples"
VALID = (EXAMPLES / "entry.yaml").read_text()


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param(
            "port: 8080", "port: 99999", ["caller_listener.port", "99999"], id="range"
        ),
        pytest.param(
            "cluster: kilimani", "cluster: 7", ["cluster", "`str`", "7"], id="type"
        ),
        pytest.param(
            "  timeout_seconds:", "  timeout:", ["store.timeout", "unknown"], id="key"
        ),
        pytest.param("entry_id: entry-1\n", "", ["entry_id", "missing"], id="missing"),
        pytest.param("cluster: kilimani", "cluster: [", ["not valid YAML"], id="yaml"),
    ],
)
def test_invalid_settings_are_described(old, new, expected):
    text = VALID.replace(old, new, 1)
    assert text != VALID
    result = parse_strict("entry.yaml", text, EntrySettings)
    assert result.is_error()
    for part in ["entry.yaml:", *expected]:
        assert part in result.error


def test_error_names_the_line():
    text = VALID.replace("entry_id: entry-1", "entry_id: Entry 1", 1)
    result = parse_strict("entry.yaml", text, EntrySettings)
    line = 1 + text.splitlines().index("entry_id: Entry 1")
    assert result.error.startswith(f"entry.yaml:{line}: entry_id: ")


def test_example_settings_are_valid():
    assert load_settings(EXAMPLES / "entry.yaml").is_ok()


def test_missing_file_is_described(tmp_path):
    assert "cannot be read" in load_settings(tmp_path / "none.yaml").error


# The requirements state these numbers of services, VMs and data centres.
@pytest.mark.parametrize(
    ("name", "services", "vms", "data_centres"),
    [("kilimani", 5, 30, 3), ("tsenkher", 6, 48, 4)],
)
def test_example_resources_have_the_stated_sizes(name, services, vms, data_centres):
    text = (EXAMPLES / f"{name}.yaml").read_text()
    resources = parse_resources(name, text).ok
    by_kind = {}
    for resource in resources:
        by_kind.setdefault(resource.kind, []).append(resource.spec)
    assert len(by_kind["Service"]) == services
    assert len(by_kind["Vm"]) == vms
    assert len({vm.data_centre for vm in by_kind["Vm"]}) == data_centres
    for service in by_kind["Service"]:
        assert (service.slots_per_instance, service.connections_per_instance) == (8, 64)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("kind: Pod\nname: a\nspec: {}", ["f:1: kind", "Budget, Pool, Service"]),
        ("kind: Pool\nname: a\nspec: {x: 1}", ["f:3: spec.x", "unknown field"]),
        (
            "kind: Pool\nname: a\nspec: {}\n---\nkind: Pool\nname: B\nspec: {}",
            ["f:6: name", "'B'"],
        ),
    ],
)
def test_invalid_resources_are_described(text, expected):
    problems = "\n".join(parse_resources("f", text).error)
    for part in expected:
        assert part in problems
