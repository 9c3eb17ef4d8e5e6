"""Age of store items, judged by the revisions that calls returned.

Guards against a new leader that takes entries which are as old as an outage for recent
ones, and starts tasks by capacities that have shrunk since.
"""

from math import inf

import pytest

from ebonyhub.cluster.revision_clock import RevisionClock
from ebonyhub.ids import Revision


class FakeClock:
    def monotonic(self):
        return 50.0

    def wall(self):
        return 50.0


@pytest.mark.parametrize(
    ("answers", "failed_first", "revision", "expected"),
    [
        # Revisions of answers with the times at which the calls were sent.
        ([], False, 5, 50.0),
        ([], True, 5, -inf),
        ([(7, 51.0)], False, 5, 50.0),
        ([(7, 51.0)], True, 5, -inf),
        ([(7, 51.0)], True, 8, 51.0),
        ([(7, 51.0), (9, 52.0)], False, 9, 51.0),
        ([(7, 51.0), (9, 52.0)], False, 10, 52.0),
        # The store is at the same revision later.
        ([(7, 51.0), (7, 55.0)], False, 8, 55.0),
        ([(7, 51.0), (7, 55.0)], False, 7, 50.0),
        # Answers that overtook each other say nothing new.
        ([(9, 52.0), (7, 53.0)], False, 9, 50.0),
        ([(9, 52.0), (11, 51.0)], False, 12, 52.0),
    ],
)
def test_item_was_written_after_the_latest_call_that_did_not_see_it(
    answers, failed_first, revision, expected
):
    clock = RevisionClock(FakeClock())
    if failed_first:
        clock.record_failure()
    for observed, sent_at in answers:
        clock.record(Revision(observed), sent_at)
    assert clock.written_after(Revision(revision)) == expected
