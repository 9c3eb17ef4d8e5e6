"""Generated days and the ablation that replays them.

Guards against shapes that differ from run to run, and against a mechanism that the
ablation names but does not switch off.
"""

import pytest

from bench.ablation import MECHANISMS, Result, table
from bench.ablation import main as ablation_main
from bench.load_shapes import IDLE_RATE, SHAPES, SURGE_RATE, build_day, surge_rate


@pytest.mark.parametrize("name", sorted(SHAPES))
def test_the_same_seed_yields_the_same_day(name):
    day = build_day(name, 1)
    assert day == build_day(name, 1)
    assert day != build_day(name, 2)
    assert [job.at for job in day.jobs] == sorted(job.at for job in day.jobs)
    queues = {queue.name for queue in day.queues}
    assert {job.queue for job in day.jobs} == queues


@pytest.mark.parametrize(
    ("elapsed", "expected"),
    [(-0.1, IDLE_RATE), (4.5, SURGE_RATE), (9.0, IDLE_RATE), (0.0, 0.0)],
)
def test_rate_of_a_surge(elapsed, expected):
    assert surge_rate(elapsed, 9.0) == pytest.approx(expected)


def test_ablation_switches_mechanisms_off(capsys):
    arguments = ["--shape", "short-turns", "--seeds", "1", "--jobs", "2"]
    for name in ("look-ahead of rising demand", "reports of overdue ends"):
        arguments += ["--mechanism", name]
    assert ablation_main(arguments) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 4
    differences = [float(line[32:].split("(")[0]) for line in lines[1:]]
    assert differences[0] > 0.5
    assert all(difference < -0.01 for difference in differences[1:])


def test_table_shows_differences_to_the_base():
    results = {
        ("none", "turns", 1): Result(0.9, 0.8, 100.0, 10.0),
        ("headroom", "turns", 1): Result(0.8, 0.8, 90.0, 10.0),
    }
    row = table(results).splitlines()[2]
    assert row.startswith("headroom")
    assert "-0.100" in row and "-10.000" in row
    assert set(MECHANISMS) >= {"none", "headroom"}
