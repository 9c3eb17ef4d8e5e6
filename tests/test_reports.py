"""The plot of a day from logs.

Guards against counting a job again after each leadership change, and against events in
the wrong order when several entries logged them.
"""

import pytest

from reports.day_log import read_day
from reports.draw import main

LINES = [
    "I0802 14:38:02.500000 1 e.py:1] E2207 run started: job=a task=0.0.0 run=1",
    "I0802 14:38:00.000000 1 e.py:1] E2001 leadership taken: token=3 replaced=0",
    "I0802 14:38:01.000000 1 e.py:1] E2201 job loaded into the scheduler: job=a",
    "I0802 14:38:02.000000 1 e.py:1] E2201 job loaded into the scheduler: job=a",
    "I0802 14:38:03.000000 1 e.py:1] E2207 run started: job=a task=0.0.1 run=1",
    "I0802 14:38:03.000000 1 e.py:1] E2407 pool size or target changed: pool=p "
    "size=2 least=3 keep=3 arriving=0.0 waiting=4.0 running=1.0 long_running=2.0",
    "I0802 14:38:03.100000 1 e.py:1] E2405 VM change ordered: vm=m pool=p "
    "wave=None outcome=accepted",
    "I0802 14:38:03.200000 1 e.py:1] E2405 VM change ordered: vm=n "
    "pool=None wave=1 outcome=accepted",
    "I0802 14:38:03.300000 1 e.py:1] E2405 VM change ordered: vm=o "
    "pool=None wave=1 outcome=busy",
    "a line of another program",
]


def test_time_prefixed_by_the_bench_is_used():
    day = read_day(["  -7.9672 entry-1 " + LINES[2], "  1.5000 entry-2 " + LINES[0]])
    assert day.arrivals == [-7.9672]
    assert day.start_waits == [(1.5, 9.4672)]


def test_events_of_a_day():
    day = read_day(LINES)
    assert len(day.arrivals) == len(day.start_waits) == 1
    assert (
        len(day.moves)
        == len(day.maintenance_starts)
        == len(day.leadership_changes)
        == 1
    )
    assert day.unmatched_lines == 1
    (sample,) = day.pools["p"]
    assert (sample.size, sample.min_vms, sample.waiting_cores) == (2, 3, 4.0)
    assert sample.running_cores == 3.0


def test_wait_counts_from_the_first_leader_that_loaded_the_job():
    ((_, wait),) = read_day(LINES).start_waits
    assert wait == pytest.approx(1.5)


@pytest.mark.parametrize(
    ("content", "code"), [("\n".join(LINES), 0), ("nothing", 1), (None, 2)]
)
def test_exit_codes(tmp_path, content, code):
    log = tmp_path / "entry.log"
    if content is not None:
        log.write_text(content)
    output = tmp_path / "day.png"
    assert main([str(log), "--output", str(output)]) == code
    assert output.exists() == (code == 0)
