"""Extracts jobs, pool sizes, VM changes and waits from the entries' logs of a day."""

import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

# A log line; the users' bench prefixes it with its own seconds and the entry.
_LINE = re.compile(
    r"^(?:\s*(?P<bench_seconds>-?\d+\.\d+) \S+ )?"
    r"[IWE](?P<date>\d{4} \d\d:\d\d:\d\d\.\d+) .*? E(?P<number>\d{4}) "
    r"[^:]*: (?P<fields>.*)$"
)
_FIELD = re.compile(r"(\w+)=(\S+)")

JOB_LOADED = 2201
JOB_ENDED = 2202
RUN_STARTED = 2207
LEADERSHIP_TAKEN = 2001
VM_CHANGE_ORDERED = 2405
POOL_TARGET_CHANGED = 2407


@dataclass(frozen=True, slots=True)
class PoolSample:
    """Size and minimum (VMs) and demand (cores) of a pool from a time on (seconds)."""

    at: float
    size: int
    min_vms: int
    running_cores: float
    waiting_cores: float


@dataclass(slots=True)
class DayLog:
    """Events of a day; times are in seconds."""

    pools: dict[str, list[PoolSample]] = field(default_factory=dict)
    moves: list[float] = field(default_factory=list)
    maintenance_starts: list[float] = field(default_factory=list)
    leadership_changes: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    # Time of a job's first start, and the seconds from its arrival to that.
    start_waits: list[tuple[float, float]] = field(default_factory=list)
    unmatched_lines: int = 0


def read_logs(paths: Iterable[Path]) -> list[str] | None:
    """Return the lines of all files; prints an error and returns None if one fails."""
    lines: list[str] = []
    for path in paths:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as error:
            print(f"{path}: cannot be read: {error.strerror}", file=sys.stderr)
            return None
    return lines


def read_day(lines: Iterable[str]) -> DayLog:
    """Return the events in the logs of all entries; counts lines that are no events."""
    day = DayLog()
    loaded_at: dict[str, float] = {}
    started: set[str] = set()
    for at, number, fields in sorted(
        read_events(lines, day), key=lambda event: event[0]
    ):
        if number == POOL_TARGET_CHANGED:
            day.pools.setdefault(fields["pool"], []).append(_sample(at, fields))
        elif number == VM_CHANGE_ORDERED and fields["outcome"] == "accepted":
            (day.moves if fields["wave"] == "None" else day.maintenance_starts).append(
                at
            )
        elif number == LEADERSHIP_TAKEN:
            day.leadership_changes.append(at)
        elif number == JOB_LOADED and fields["job"] not in loaded_at:
            # Each new leader loads the same job again.
            loaded_at[fields["job"]] = at
            day.arrivals.append(at)
        elif number == RUN_STARTED and fields["job"] not in started:
            started.add(fields["job"])
            if fields["job"] in loaded_at:
                day.start_waits.append((at, at - loaded_at[fields["job"]]))
    return day


def read_events(
    lines: Iterable[str], day: DayLog
) -> list[tuple[float, int, dict[str, str]]]:
    """Return time, number and fields of each event; counts other lines in ``day``."""
    events = []
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            day.unmatched_lines += 1
            continue
        fields = dict(_FIELD.findall(match["fields"]))
        events.append((_seconds(match), int(match["number"]), fields))
    return events


def _seconds(match: re.Match[str]) -> float:
    if match["bench_seconds"] is not None:
        return float(match["bench_seconds"])
    # Log lines have no year; a leap year is used, so that 29 February is valid.
    logged_at = datetime.strptime("2024" + match["date"], "%Y%m%d %H:%M:%S.%f")
    return (logged_at - datetime(2024, 1, 1)).total_seconds()


def _sample(at: float, fields: dict[str, str]) -> PoolSample:
    return PoolSample(
        at,
        int(fields["size"]),
        int(fields["least"]),
        float(fields["running"]) + float(fields["long_running"]),
        float(fields["waiting"]),
    )
