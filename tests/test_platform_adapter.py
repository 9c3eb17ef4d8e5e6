"""Decoding and encoding of the platform's formats.

Guards against malformed store entries of other programs that crash a reader, and
against misread fields.
"""

import json
import subprocess
import sys
from math import inf
from pathlib import Path

import pytest

from ebonyhub.jobs.model import Resources
from ebonyhub.platform.config import (
    decode_configuration,
    decode_wave,
    decode_worker,
    encode_wave_status,
)
from ebonyhub.platform.settings import load_node_settings
from ebonyhub.platform.submissions import decode_submission
from ebonyhub.platform.workers import parse_task_name, task_name
from standins.job_platform import demo_configuration, node_settings_text

ROOT = Path(__file__).parent.parent
WORKER = {
    "Service": "plans",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "State": "ready",
    "born": 5,
    "Capacity": {"Cpu": 8000, "MemMb": 100, "Gpu": 1},
    "Labels": ["kind", "r1-2"],
    "Machine": "m-1",
}


def test_worker_entry_is_decoded():
    entry = decode_worker("servers/w1", json.dumps(WORKER).encode()).ok
    assert (entry.worker, entry.service, entry.rack, entry.vm) == (
        "w1", "plans", "r1-2", "m-1",
    )  # fmt: skip
    assert entry.capacity == Resources(8000, 100, 1)
    assert not entry.draining
    assert entry.leaves_in is None


@pytest.mark.parametrize(
    "change",
    [
        {"State": "gone"},
        {"State": None},
        {"Address": "nowhere"},
        {"Address": 7},
        {"Service": None, "Capacity": "x"},
        {"Capacity": {"Cpu": "many"}},
    ],
)
def test_malformed_worker_entry_is_refused(change):
    value = json.dumps({**WORKER, **change}).encode()
    assert decode_worker("servers/w1", value).is_error()


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"7", b"{}"])
def test_undecodable_worker_entry_is_refused(value):
    assert decode_worker("servers/w1", value).is_error()


def test_draining_worker_reports_its_remaining_time():
    value = json.dumps({**WORKER, "State": "draining", "RemainingMs": 1500}).encode()
    entry = decode_worker("servers/w1", value).ok
    assert entry.draining
    assert entry.leaves_in == 1.5


def test_longest_prefix_selects_the_queue():
    data = demo_configuration()
    data["Routes"].append(
        {**data["Routes"][0], "Name": "r-deep", "PathPrefix": "/plans/deep/"}
    )
    configuration = decode_configuration(json.dumps(data).encode()).ok
    for path, name in [
        ("/plans/x", "r-plans"),
        ("/plans/deep/x", "r-deep"),
        ("/other", None),
    ]:
        queue = configuration.queue_for("plans.example", path)
        assert (queue.name if queue else None) == name


@pytest.mark.parametrize("value", [b"", b"{}", b'{"Version":1,"Routes":[{}]}'])
def test_undecodable_configuration_is_refused(value):
    assert decode_configuration(value).is_error()


def test_wave_is_decoded_and_its_status_encoded():
    value = b'{"Wave":3,"Machines":["m-1"],"DurationS":20,"Maximum":2}'
    wave = decode_wave(value).ok
    assert (wave.wave_id, wave.vms, wave.duration_seconds, wave.max_down) == (
        3,
        ("m-1",),
        20.0,
        2,
    )
    assert decode_wave(b"{}").is_error()
    assert encode_wave_status(wave.wave_id, True) == (
        "status/wave/3", b'{"State":"completed"}',
    )  # fmt: skip


def test_omitted_submission_fields_have_defaults():
    spec = decode_submission(b'{"Spec":"x","Steps":[{"Count":2,"Cpu":500}]}').ok
    step = spec.steps[0]
    assert (step.count, step.demand) == (2, Resources(500, 0, 0))
    assert not step.long_running
    assert not step.gang
    assert step.max_per_worker == 0


@pytest.mark.parametrize("body", [b"", b"{}", b'{"Steps":[]}', b'{"Steps":[1]}'])
def test_malformed_submission_is_refused(body):
    assert decode_submission(body).is_error()


def test_task_names_round_trip():
    task = parse_task_name("5c0e7a21d94b36f8.0.1.17")
    assert task_name(task) == "5c0e7a21d94b36f8.0.1.17"
    with pytest.raises(ValueError):
        parse_task_name("5c0e7a21d94b36f8.0")


def test_settings_file_is_read(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(node_settings_text("e1", "127.0.0.1", "127.0.0.1:1", (7060, 7075)))
    settings = load_node_settings(path).ok
    assert (settings.entry, settings.peer_port) == ("e1", 7060)
    assert settings.status_retention_seconds == 120.0
    assert (settings.cores, settings.link_mbps) == (1.0, 1000.0)
    assert settings.capacity_valid_seconds == inf


def test_capacity_is_valid_for_the_contact_time_and_a_heartbeat(tmp_path):
    path = tmp_path / "settings.yaml"
    data = json.loads(node_settings_text("e1", "127.0.0.1", "127.0.0.1:1", (1, 2)))
    data["Bounds"]["ContactMs"], data["HeartbeatMs"] = 3000, 1500
    path.write_text(json.dumps(data))
    assert load_node_settings(path).ok.capacity_valid_seconds == 4.0


@pytest.mark.parametrize("text", ["Node: x", "- 1", "a: [", ""])
def test_malformed_settings_file_gives_an_error_that_names_it(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    error = load_node_settings(path).error
    assert str(path) in error


def test_package_folder_is_not_on_the_import_path():
    """Otherwise ``ebonyhub/platform`` would shadow the standard library module."""
    code = (
        "import runpy, sys; sys.argv = ['deploy/entry.py'];"
        "runpy.run_path('deploy/entry.py', run_name='other');"
        "import platform; assert platform.python_version()"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
    started = subprocess.run(
        [sys.executable, "deploy/entry.py"],
        cwd=ROOT,
        env={"EBONYHUB_NODE_FILE": "absent.yaml"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert started.returncode == 2
    assert "absent.yaml: cannot be read" in started.stderr
