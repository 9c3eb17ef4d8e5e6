"""Reads what the logs of a day say of jobs, pools, moves and waits."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

# A log line, with or without the seconds that the users' bench puts in front.
_LINE = re.compile(
    r"^(?:\s*(?P<bench>-?\d+\.\d+) \S+ )?"
    r"[IWE](?P<date>\d{4} \d\d:\d\d:\d\d\.\d+) .*? E(?P<number>\d{4}) "
    r"[^:]*: (?P<rest>.*)$"
)
_FIELD = re.compile(r"(\w+)=(\S+)")

JOB_SEEN = 2201
JOB_ENDED = 2202
RUN_STARTED = 2207
LEADERSHIP_TAKEN = 2001
CHANGE_ORDERED = 2405
POOL_TARGET = 2407


@dataclass(frozen=True, slots=True)
class PoolSample:
    """Size and wants of a pool (VMs) from a time on (seconds)."""

    at: float
    size: int
    least: int
    running_cores: float
    waiting_cores: float


@dataclass(slots=True)
class DayLog:
    """What happened, with times in seconds."""

    pools: dict[str, list[PoolSample]] = field(default_factory=dict)
    moves: list[float] = field(default_factory=list)
    upkeep: list[float] = field(default_factory=list)
    take_overs: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    # Time of a job's first start, and the seconds that it waited for it.
    waits: list[tuple[float, float]] = field(default_factory=list)
    unreadable: int = 0


def read_day(lines: Iterable[str]) -> DayLog:
    """Return what the lines of all entries say; foreign lines are counted."""
    day = DayLog()
    seen: dict[str, float] = {}
    started: set[str] = set()
    for at, number, fields in sorted(_events(lines, day), key=lambda event: event[0]):
        if number == POOL_TARGET:
            day.pools.setdefault(fields["pool"], []).append(_sample(at, fields))
        elif number == CHANGE_ORDERED and fields["outcome"] == "accepted":
            (day.moves if fields["wave"] == "None" else day.upkeep).append(at)
        elif number == LEADERSHIP_TAKEN:
            day.take_overs.append(at)
        elif number == JOB_SEEN and fields["job"] not in seen:
            # A later leader takes the same job over again.
            seen[fields["job"]] = at
            day.arrivals.append(at)
        elif number == RUN_STARTED and fields["job"] not in started:
            started.add(fields["job"])
            if fields["job"] in seen:
                day.waits.append((at, at - seen[fields["job"]]))
    return day


def _events(
    lines: Iterable[str], day: DayLog
) -> list[tuple[float, int, dict[str, str]]]:
    events = []
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            day.unreadable += 1
            continue
        fields = dict(_FIELD.findall(match["rest"]))
        events.append((_seconds(match), int(match["number"]), fields))
    return events


def _seconds(match: re.Match[str]) -> float:
    if match["bench"] is not None:
        return float(match["bench"])
    # Log lines name no year; any leap year reads all their days.
    moment = datetime.strptime("2024" + match["date"], "%Y%m%d %H:%M:%S.%f")
    return (moment - datetime(2024, 1, 1)).total_seconds()


def _sample(at: float, fields: dict[str, str]) -> PoolSample:
    return PoolSample(
        at,
        int(fields["size"]),
        int(fields["least"]),
        float(fields["running"]) + float(fields["long_running"]),
        float(fields["waiting"]),
    )
