"""Delay of an entry whose terms as leader fail.

Guards against an entry that ends the terms of all others many times a second because it
cannot lead, and against one that stays away after a single failure.
"""

import random

import pytest

from ebonyhub.entry.term_backoff import STABLE_TERM_SECONDS, TermBackoff


class FakeClock:
    def __init__(self):
        self.now = 10.0

    def monotonic(self):
        return self.now


@pytest.mark.parametrize(
    ("terms", "shortest", "longest"),
    [
        # Seconds of each term, and whether an error ended it.
        ([], 0.0, 0.0),
        ([(0.01, False)] * 9, 0.0, 0.0),
        ([(0.01, True)], 0.05, 0.1),
        ([(0.01, True)] * 3, 0.2, 0.4),
        ([(0.01, True)] * 30, 1.0, 2.0),
        # A short term without an error changes nothing.
        ([(0.01, True)] * 30 + [(0.01, False)], 1.0, 2.0),
        ([(0.01, True)] * 30 + [(STABLE_TERM_SECONDS, True)], 0.05, 0.1),
    ],
)
def test_delay_grows_with_failed_terms_up_to_a_limit(terms, shortest, longest):
    backoff = TermBackoff(FakeClock(), random.Random(1))
    for seconds, failed in terms:
        backoff.record_term(seconds, failed)
    assert shortest <= backoff.remaining_seconds() <= longest


def test_delay_ends():
    clock = FakeClock()
    backoff = TermBackoff(clock, random.Random(1))
    backoff.record_term(0.01, True)
    clock.now += 0.1
    assert backoff.remaining_seconds() == 0.0
