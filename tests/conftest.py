"""Test configuration: reproducible Hypothesis examples and known failing tests."""

from pathlib import Path

import pytest
from absl import logging
from hypothesis import HealthCheck, settings

# derandomize derives the examples from the test itself, so that every run has the same
# result.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Collect the log lines of a test instead of writing them."""
    lines: list[str] = []
    logger = logging.get_absl_logger()
    monkeypatch.setattr(logger, "isEnabledFor", lambda _: True)
    monkeypatch.setattr(logger, "handle", lambda r: lines.append(r.getMessage()))
    return lines


KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Return the node ids of known failing tests, from lines "test: NODE_ID"."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.removeprefix("test: ") for line in lines if line.startswith("test: ")]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect exactly the tests listed in KNOWN-RED.txt."""
    listed = set(known_red())
    skipped = [item for item in items if item.nodeid in listed]
    if skipped:
        config.hook.pytest_deselected(items=skipped)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the deselected tests."""
    for node in known_red():
        terminalreporter.write_line(f"KNOWN-RED, not run: {node}")
