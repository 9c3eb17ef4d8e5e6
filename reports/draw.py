"""Draws arrivals, pools, VM changes and waits of a day from the entries' logs.

Run it as ``python -m reports.draw LOG...``.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import matplotlib
from matplotlib.axes import Axes

from .day_log import DayLog, read_day, read_logs

matplotlib.use("Agg")

from matplotlib import pyplot

# Width of a bar of arrivals and VM changes.
BIN_WIDTH_SECONDS = 0.5


def draw(day: DayLog, path: Path) -> None:
    """Write the plot: rows of arrivals, of each pool, of VM changes, and of waits."""
    rows = len(day.pools) + 3
    figure, axes = pyplot.subplots(
        rows, 1, sharex=True, figsize=(11, 1.7 * rows), layout="constrained"
    )
    _draw_histogram(axes[0], day.arrivals, "jobs per bar")
    for axis, (pool, samples) in zip(axes[1:], sorted(day.pools.items()), strict=False):
        times = [sample.at for sample in samples]
        sizes = [sample.size for sample in samples]
        min_vms = [sample.min_vms for sample in samples]
        axis.step(times, sizes, where="post", label="VMs")
        axis.step(times, min_vms, where="post", label="minimum", alpha=0.7)
        axis.set_ylabel(pool)
        axis.legend(loc="upper left", fontsize="x-small")
    _draw_histogram(axes[-2], day.moves, "moves, maintenance")
    _draw_histogram(axes[-2], day.maintenance_starts, "moves, maintenance")
    if day.start_waits:
        axes[-1].plot(*zip(*day.start_waits, strict=True), ".", markersize=3)
    axes[-1].set_ylabel("wait, s")
    axes[-1].set_xlabel("seconds")
    for axis in axes:
        for at in day.leadership_changes:
            axis.axvline(at, color="grey", linewidth=0.7, linestyle=":")
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _draw_histogram(axis: Axes, times: Sequence[float], label: str) -> None:
    if times:
        count = max(1, int((max(times) - min(times)) / BIN_WIDTH_SECONDS))
        axis.hist(times, bins=count, alpha=0.7)
    axis.set_ylabel(label)


def main(arguments: Sequence[str] | None = None) -> int:
    """Draw the logs; return 1 if they have no leader's events, 2 if unreadable."""
    parser = argparse.ArgumentParser(prog="draw", description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path, help="logs of all entries")
    parser.add_argument("--output", type=Path, default=Path("day.png"))
    parsed = parser.parse_args(arguments)
    lines = read_logs(parsed.logs)
    if lines is None:
        return 2
    day = read_day(lines)
    if not day.arrivals and not day.pools:
        print(
            "the logs have no job or pool events; only a leader logs them",
            file=sys.stderr,
        )
        return 1
    draw(day, parsed.output)
    print(
        f"{parsed.output}: {len(day.arrivals)} jobs, {len(day.moves)} moves, "
        f"{len(day.maintenance_starts)} VM maintenances, "
        f"{len(day.leadership_changes)} leadership changes; "
        f"{day.unmatched_lines} lines without an event"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
