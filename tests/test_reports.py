"""The plot and the loss account of a day from logs.

Guards against counting a job again after each leadership change, and against events in
the wrong order when several entries logged them.
"""

import pytest

from reports.day_log import read_day
from reports.draw import main
from reports.loss import build_account, read_jobs
from reports.loss import main as loss_main

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


EVENT = "{at:9.4f} entry-1 I0802 14:38:00.000000 1 e.py:1] E{number} text: {fields}"


def log_line(at, number, fields):
    return EVENT.format(at=at, number=number, fields=fields)


def job_log(job, *, first_call=0.0, loaded=0.0, runs=(), ended=None, refusal=None):
    """Return the lines of a job; ``runs`` are rows (step, start, end)."""
    lines = []
    if refusal is not None:
        lines.append(
            log_line(
                first_call,
                2102,
                f"kind={refusal} status=503 detail={job} method=POST",
            )
        )
    if loaded is not None:
        lines.append(
            log_line(
                loaded,
                2201,
                f"job={job} queue=q service=s steps=2 tasks=2 work=4.0 objective=2.0",
            )
        )
    for number, (step, start, end) in enumerate(runs):
        run = f"job={job} task=0.{step}.0 run={number + 1} worker=w"
        lines += [log_line(start, 2207, run), log_line(end, 2203, run + " how=done")]
    if ended is not None:
        lines.append(log_line(ended, 2202, f"job={job} state=completed after=1"))
    return lines


CAUSES = [
    log_line(0.0, 2209, "service=s cause=vms_on_way tasks=1 cores=1.0 on_way=1"),
    log_line(3.0, 2209, "service=s cause=none tasks=0 cores=0.0 on_way=0"),
    log_line(4.0, 2209, "service=s cause=store tasks=1 cores=1.0 on_way=0"),
]


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        # In time: nothing is lost.
        (job_log("a", runs=[(0, 0.1, 1.0)], ended=1.9), {}),
        # Waits for VMs until 3.0 and ends at 5.0, 3 s late.
        (job_log("a", runs=[(0, 3.0, 5.0)], ended=5.0), {"vms_on_way": 1.0}),
        # The second step waits for the store from 4.0 to 7.0.
        (
            job_log("a", runs=[(0, 0.0, 4.0), (1, 7.0, 8.0)], ended=8.0),
            {"store": 0.5, "run longer than estimated": 0.5},
        ),
        # Refused for 3 s, then accepted and served at once.
        (
            job_log(
                "a",
                loaded=3.0,
                runs=[(0, 3.0, 4.0)],
                ended=4.0,
                refusal="store_unavailable",
            ),
            {"not accepted": 1.0},
        ),
        # Never accepted.
        (
            job_log("a", loaded=None, refusal="overloaded"),
            {"not accepted: overloaded": 1.0},
        ),
        # The first run ends after 2.5 s without success.
        (
            job_log("a", runs=[(0, 0.0, 2.5), (0, 2.5, 3.5)], ended=3.5),
            {"run again": 1.0},
        ),
    ],
)
def test_loss_account(lines, expected):
    """Guards against loss that is put on a cause which did not delay the job."""
    account = build_account(*read_jobs([*CAUSES, *lines]))
    found = {cause: share for cause, share in account.by_cause.items() if share}
    assert found == pytest.approx(expected)
    assert sum(found.values()) == pytest.approx(account.late + account.refused)


def test_loss_account_exit_codes(tmp_path, capsys):
    log = tmp_path / "entry.log"
    log.write_text("\n".join([*CAUSES, *job_log("a", runs=[(0, 3, 5)], ended=5.0)]))
    assert loss_main([str(log)]) == 0
    assert "1 late" in capsys.readouterr().out
    log.write_text("nothing")
    assert loss_main([str(log)]) == 1
    assert loss_main([str(tmp_path / "missing.log")]) == 2
