"""Times until the tasks of lost runs start again.

Run it as ``python -m reports.restart_delays LOG... --faults 5,7.6,19``. ``LOG`` is the
output of a day with the logs of all entries, and ``--faults`` the seconds at which its
faults strike. A run is lost at the first fault after its start if the task starts again
without an end of the run before.
"""

import argparse
import sys
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from statistics import median, quantiles

from .day_log import DayLog, read_events, read_logs

RUN_ENDED = 2203
RUN_STARTED = 2207

# Time in seconds, number and fields of a log event.
LogEvent = tuple[float, int, Mapping[str, str]]
# Job and position of a task, and number of the run.
RunKey = tuple[str, str, int]


def restart_delays(
    events: Iterable[LogEvent], faults: Sequence[float]
) -> dict[float, list[float]]:
    """Return the seconds from each fault to the next starts of the runs it ended."""
    started: dict[RunKey, float] = {}
    ended: set[RunKey] = set()
    delays: dict[float, list[float]] = {fault: [] for fault in faults}
    for at, event, fields in events:
        if event not in (RUN_STARTED, RUN_ENDED):
            continue
        number = int(fields["run"])
        task = (fields["job"], fields["task"])
        if event == RUN_ENDED:
            ended.add((*task, number))
            continue
        started[(*task, number)] = at
        earlier = [(*task, run) for run in range(1, number) if (*task, run) in started]
        if not earlier or earlier[-1] in ended:
            continue
        fault = _first_fault(faults, started[earlier[-1]], at)
        if fault is not None:
            delays[fault].append(at - fault)
    return delays


def _first_fault(faults: Sequence[float], after: float, before: float) -> float | None:
    return next((fault for fault in sorted(faults) if after < fault < before), None)


def format_delays(delays: Mapping[float, Sequence[float]]) -> str:
    """Return a table of the number, median and 95th percentile by fault, in seconds."""
    lines = [f"{'fault':>8} {'runs':>6} {'median':>8} {'p95':>8} {'longest':>8}"]
    for fault, values in delays.items():
        if not values:
            lines.append(f"{fault:8.1f} {0:6d}")
            continue
        high = quantiles(values, n=20)[-1] if len(values) > 1 else values[0]
        lines.append(
            f"{fault:8.1f} {len(values):6d} {median(values):8.2f} {high:8.2f} "
            f"{max(values):8.2f}"
        )
    return "\n".join(lines)


def main(arguments: Sequence[str]) -> int:
    """Print the delays of all logs together."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("logs", nargs="+", type=Path)
    parser.add_argument("--faults", required=True, help="seconds, by commas")
    options = parser.parse_args(arguments)
    faults = [float(fault) for fault in options.faults.split(",")]
    total: dict[float, list[float]] = {fault: [] for fault in faults}
    for path in options.logs:
        lines = read_logs([path])
        if lines is None:
            return 1
        events = sorted(read_events(lines, DayLog()), key=lambda event: event[0])
        for fault, values in restart_delays(events, faults).items():
            total[fault] += values
    print(format_delays(total))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
