"""Replays days with one mechanism of the scheduler or the planner switched off.

``python -m bench.ablation`` prints, for each mechanism, the mean difference that it
makes over load shapes and seeds, with its standard error: share of work in time, worst
windows, VM seconds and moves.
"""

import argparse
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from math import inf
from multiprocessing import get_context
from pathlib import Path
from statistics import mean, stdev
from types import ModuleType
from unittest import mock

from absl import logging

from ebonyhub.fleet import demand, sizing
from ebonyhub.scheduling import overdue, placement, planning, views
from ebonyhub.scheduling.runs import Worker
from standins import replayed_fleet
from standins.recorded_jobs import DayReport, RecordedDay
from standins.replayed_fleet import ReplayedFleet

from .load_shapes import SHAPES, build_day
from .policies import ORDERS
from .recorded_day import read_recorded_day

RECORDED_DAY = Path(__file__).parent / "days/store-outage-40-vms.json"
# Name of the recorded day among the shapes; it has no seeds.
RECORDED = "recorded-day"
# Share of unanswered polls in all replays, as in the outage of a few workers.
UNANSWERED_POLL_SHARE = 0.01

# Mechanisms by name, and what switches each off in a process of its own.
MECHANISMS: dict[str, Callable[[], None]] = {}


def register_mechanism(
    name: str,
) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Register what switches a mechanism off, under the name that the table shows."""

    def register(switch_off: Callable[[], None]) -> Callable[[], None]:
        MECHANISMS[name] = switch_off
        return switch_off

    return register


def _replace(module: ModuleType, name: str, value: object) -> None:
    """Replace a module's attribute for the rest of this process."""
    mock.patch.object(module, name, value).start()


@register_mechanism("none")
def _nothing() -> None:
    """Leave everything on; the base of all differences."""


@register_mechanism("order by pressure")
def _order() -> None:
    ORDERS["by-pressure"] = ORDERS["arrival"]


@register_mechanism("load shedding")
def _load_shedding() -> None:
    _replace(replayed_fleet, "usefulness_overrun_seconds", lambda *_: 0.0)


@register_mechanism("reports of overdue ends")
def _overdue() -> None:
    _replace(overdue, "OVERDUE_FACTOR", inf)
    _replace(overdue, "OVERDUE_ESTIMATE_FACTOR", inf)


@register_mechanism("hold of recent targets")
def _hold() -> None:
    _replace(sizing, "TARGET_HOLD_SECONDS", 0.0)


@register_mechanism("reserve before a surge")
def _reserve() -> None:
    _replace(sizing, "RESERVE_VMS", sizing.MIN_POOL_VMS)


@register_mechanism("look-ahead of rising demand")
def _look_ahead() -> None:
    _replace(demand, "LOOKAHEAD_SECONDS", 0.0)


@register_mechanism("short window of arrivals")
def _short_window() -> None:
    _replace(demand, "SHORT_WINDOW_MIN_ARRIVALS", sys.maxsize)


@register_mechanism("headroom")
def _headroom() -> None:
    _replace(sizing, "HEADROOM_FACTOR", 1.0)


@register_mechanism("backlog by run time")
def _backlog() -> None:
    _replace(views, "BACKLOG_DRAIN_SECONDS", 1e-3)


@register_mechanism("donors by time to empty")
def _donors() -> None:
    _replace(views, "_seconds_left", lambda *_: 0.0)


@register_mechanism("packing on the fullest worker")
def _packing() -> None:
    _replace(planning, "best_fit_order", lambda *_: None)

    def emptiest_first(
        requirements: placement.StepRequirements,
        worker: Worker,
        workers_to_avoid: Sequence[object],
    ) -> tuple[int, int, int, float]:
        failed_here = int(worker.worker_id in workers_to_avoid)
        return (failed_here, 0, 0, -float(worker.free.cpu))

    _replace(placement, "placement_cost", emptiest_first)


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one replay."""

    in_time: float
    worst_windows: float
    vm_seconds: float
    moves: float


FIGURES = ("in_time", "worst_windows", "vm_seconds", "moves")


def build(shape: str, seed: int) -> RecordedDay:
    """Return the day of a shape, or the recorded one, with some unanswered polls."""
    recorded = shape == RECORDED
    day = read_recorded_day(RECORDED_DAY) if recorded else build_day(shape, seed)
    return replace(day, unanswered_poll_share=UNANSWERED_POLL_SHARE)


def play(arguments: tuple[str, str, int]) -> tuple[tuple[str, str, int], Result]:
    """Replay a day in this process with a mechanism switched off."""
    mechanism, shape, seed = arguments
    logging.set_verbosity(logging.FATAL)
    MECHANISMS[mechanism]()
    fleet = ReplayedFleet(build(shape, seed))
    fleet.scheduler.urgency = ORDERS["by-pressure"]
    return arguments, result_of(fleet.play())


def result_of(report: DayReport) -> Result:
    """Return the figures that the table shows."""
    return Result(
        report.in_time_share,
        report.mean_of_worst_windows(),
        report.paid_vm_seconds,
        report.moves,
    )


def table(results: dict[tuple[str, str, int], Result]) -> str:
    """Return a row for each mechanism: what is lost or saved without it."""
    lines = [f"{'without':32}" + "".join(f"{name:>24}" for name in FIGURES)]
    for mechanism in dict.fromkeys(name for name, _, _ in results):
        cells = ""
        for figure in FIGURES:
            values = [
                getattr(result, figure)
                - (0 if mechanism == "none" else getattr(results["none", s, n], figure))
                for (name, s, n), result in results.items()
                if name == mechanism
            ]
            error = stdev(values) / len(values) ** 0.5 if len(values) > 1 else 0.0
            cells += f"{mean(values):+15.3f} ({error:6.3f})"
        lines.append(f"{mechanism:32}{cells}")
    return "\n".join(lines)


def main(arguments: Sequence[str]) -> int:
    """Replay the chosen shapes without each of the chosen mechanisms."""
    parser = argparse.ArgumentParser(prog="bench.ablation", description=__doc__)
    shapes = [RECORDED, *SHAPES]
    parser.add_argument("--mechanism", action="append", choices=sorted(MECHANISMS))
    parser.add_argument("--shape", action="append", choices=shapes)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=3)
    options = parser.parse_args(arguments)
    chosen = dict.fromkeys(["none", *(options.mechanism or MECHANISMS)])
    work = [
        (mechanism, shape, seed)
        for mechanism in chosen
        for shape in options.shape or shapes
        for seed in range(1, 2 if shape == RECORDED else options.seeds + 1)
    ]
    # A process for each replay: a mechanism is switched off for the whole process.
    with get_context("spawn").Pool(options.jobs, maxtasksperchild=1) as pool:
        results = dict(pool.map(play, work, chunksize=1))
    print(table(results))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
