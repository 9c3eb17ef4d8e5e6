"""Tests that all error kinds have a response and docs/events.md is up to date."""

from pathlib import Path

from ebonyhub.errors import ERROR_RESPONSES, ErrorKind, Outcome, Refusal
from ebonyhub.events import Event, render_catalogue

DOCS = Path(__file__).parent.parent / "docs"


def test_every_error_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_request_that_may_have_run_has_unknown_outcome():
    for kind in ErrorKind:
        assert Refusal(kind, may_have_run=True).outcome is Outcome.UNKNOWN


def test_event_numbers_are_unique():
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers)) == len(list(Event))


def test_event_catalogue_is_current():
    assert (DOCS / "events.md").read_text() == render_catalogue()
