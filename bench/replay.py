"""Replays a recorded day under several policies: ``python -m bench.replay FILE``.

Prints a row for each policy and load, and draws the share of jobs in time over the day.
Higher loads repeat a share of the recorded jobs.
"""

import argparse
import random
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import matplotlib
from absl import logging

from ebonyhub.ids import WorkspaceName
from standins.recorded_jobs import WINDOW_SECONDS, DayReport, RecordedDay
from standins.replayed_fleet import ReplayedFleet

from .policies import ORDERS
from .recorded_day import read_recorded_day

matplotlib.use("Agg")

from matplotlib import pyplot

# Largest delay of a repeated job after the recorded one.
REPEAT_SPREAD_SECONDS = 0.3


def with_load(
    day: RecordedDay, load: float, seed: int = 1, workspace: WorkspaceName | None = None
) -> RecordedDay:
    """Return the day with ``load`` times its jobs; long-running ones stay as they are.

    The repeated jobs belong to ``workspace`` if it is given.
    """
    rng = random.Random(seed)
    jobs = list(day.jobs)
    for job in day.jobs:
        if job.spec.long_running:
            continue
        more = load - 1.0
        while more > 0.0:
            if rng.random() < more:
                repeated = replace(
                    job, at=job.at + rng.uniform(0, REPEAT_SPREAD_SECONDS)
                )
                if workspace is not None:
                    repeated = replace(repeated, workspace=workspace)
                jobs.append(repeated)
            more -= 1.0
    return replace(day, jobs=tuple(sorted(jobs, key=lambda job: job.at)))


def play(day: RecordedDay, order: str) -> DayReport:
    """Replay a day with one order of the waiting jobs."""
    fleet = ReplayedFleet(day)
    fleet.scheduler.urgency = ORDERS[order]
    return fleet.play()


def table(rows: Sequence[tuple[str, float, DayReport]]) -> str:
    """Return a table of the results of all replays."""
    lines = [
        "policy         load  in time  worst windows  largest tenth  of no use"
        "  refused  VM s  VM s used  moves"
    ]
    for name, load, report in rows:
        vm_cores = report.vm_cores
        lines.append(
            f"{name:13}  {load:4.1f}  {report.in_time_share:7.3f}"
            f"  {report.mean_of_worst_windows():13.3f}"
            f"  {report.largest_jobs_in_time_share():13.3f}"
            f"  {report.accepted_not_useful:9}  {report.refused:7}"
            f"  {report.paid_vm_seconds:4.0f}"
            f"  {report.used_core_seconds / vm_cores:9.0f}"
            f"  {report.moves:5}"
        )
    return "\n".join(lines)


def draw(rows: Sequence[tuple[str, float, DayReport]], path: Path) -> None:
    """Draw the share of jobs in time by window, with a line for each replay."""
    figure, axis = pyplot.subplots(figsize=(11, 4), layout="constrained")
    for name, load, report in rows:
        windows = report.in_time_by_window()
        times = [number * WINDOW_SECONDS for number in range(len(windows))]
        axis.step(times, windows, where="post", label=f"{name}, load {load:g}")
    axis.set_xlabel("s")
    axis.set_ylabel("share of worth in time")
    axis.legend(fontsize="x-small")
    figure.savefig(path)


def main(arguments: Sequence[str]) -> int:
    """Replay the day under every policy at every load."""
    parser = argparse.ArgumentParser(prog="bench.replay", description=__doc__)
    parser.add_argument("file", type=Path, help="a recorded day")
    parser.add_argument("--policy", action="append", choices=sorted(ORDERS))
    parser.add_argument("--load", action="append", type=float)
    parser.add_argument("--plot", type=Path, help="write a plot to this file")
    options = parser.parse_args(arguments)
    logging.set_verbosity(logging.FATAL)
    day = read_recorded_day(options.file)
    rows = [
        (name, load, play(with_load(day, load), name))
        for load in options.load or [1.0, 1.5, 2.0]
        for name in options.policy or list(ORDERS)
    ]
    print(table(rows))
    if options.plot:
        draw(rows, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
