"""Loss account of a day: what late, refused and failed jobs spent their time on.

Run it as ``python -m reports.loss LOG...`` on the logs of all entries. A late job's
loss is split among the causes in proportion to the time that it spent on each, beyond
the last run of each step on its critical path.
"""

import argparse
import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from .day_log import DayLog, read_events, read_logs

CALL_ANSWERED = 2101
CALL_REFUSED = 2102
JOB_LOADED = 2201
JOB_ENDED = 2202
RUN_ENDED = 2203
RUN_STARTED = 2207
WAIT_CAUSE_CHANGED = 2209
LEADERSHIP_TAKEN = 2001
CONTROLLER_STARTED = 2006

WINDOW_SECONDS = 2.0
# Causes beside those that the leader logs (scheduling/waiting.py).
NOT_ACCEPTED = "not accepted"
NO_LEADER = "no leader"
RUN_AGAIN = "run again"
RUN_LONGER = "run longer than estimated"
UNKNOWN = "not logged"

# Seconds or jobs by cause.
Amounts = defaultdict[str, float]


@dataclass(slots=True)
class Task:
    """Starts and ends of the runs of one task; times are in seconds."""

    started: list[float] = field(default_factory=list)
    ended: list[float] = field(default_factory=list)


@dataclass(slots=True)
class JobTimes:
    """What the logs tell of one job; times are in seconds, None if not logged."""

    job: str
    queue: str = "?"
    service: str = "?"
    work: float = 0.0
    objective: float | None = None
    first_call: float | None = None
    refusals: list[str] = field(default_factory=list)
    loaded: float | None = None
    ended: float | None = None
    state: str = ""
    tasks: dict[tuple[int, int], Task] = field(default_factory=dict)

    @property
    def lateness(self) -> float:
        """Return the seconds by which the job ended after its objective, else 0."""
        if self.ended is None or self.first_call is None or self.objective is None:
            return 0.0
        return max(0.0, self.ended - self.first_call - self.objective)


@dataclass(slots=True)
class CauseTimeline:
    """Causes of waiting of one service, with the time from which each applies."""

    changes: list[tuple[float, str]] = field(default_factory=list)

    def split(self, begin: float, end: float) -> Amounts:
        """Return the seconds between ``begin`` and ``end`` by cause."""
        seconds: Amounts = Amounts(float)
        cause, since = UNKNOWN, begin
        for at, changed in self.changes:
            if at >= end:
                break
            if at > since:
                seconds[cause] += at - since
                since = at
            cause = changed
        seconds[cause] += max(0.0, end - since)
        return seconds


@dataclass(frozen=True, slots=True)
class LossAccount:
    """Jobs lost by cause; a late job counts as one, split among its causes."""

    jobs: int
    late: int
    refused: int
    failed: int
    by_cause: Amounts
    by_queue: dict[str, Amounts]
    by_window: dict[float, Amounts]


def read_jobs(lines: Iterable[str]) -> tuple[list[JobTimes], dict[str, CauseTimeline]]:
    """Return the jobs and, by service, the causes of waiting in the entries' logs."""
    jobs: dict[str, JobTimes] = {}
    causes: dict[str, CauseTimeline] = defaultdict(CauseTimeline)
    leaderless: list[tuple[float, str]] = []
    for at, number, fields in sorted(
        read_events(lines, DayLog()), key=lambda event: event[0]
    ):
        if number == LEADERSHIP_TAKEN:
            leaderless.append((at, NO_LEADER))
        elif number == CONTROLLER_STARTED:
            leaderless.append((at, UNKNOWN))
        elif number == WAIT_CAUSE_CHANGED:
            causes[fields["service"]].changes.append((at, fields["cause"]))
        else:
            _add_event(jobs, at, number, fields)
    for timeline in causes.values():
        timeline.changes = sorted([*timeline.changes, *leaderless])
    return list(jobs.values()), dict(causes)


def _add_event(
    jobs: dict[str, JobTimes], at: float, number: int, fields: dict[str, str]
) -> None:
    """Apply one event to the job that it names, if any."""
    if number == CALL_REFUSED:
        if fields.get("method") == "POST" and fields.get("kind") in (
            "store_unavailable", "overloaded", "store_outcome_unknown",
        ):  # fmt: skip
            job = jobs.setdefault(fields["detail"], JobTimes(fields["detail"]))
            job.first_call = job.first_call if job.first_call is not None else at
            job.refusals.append(fields["kind"])
        return
    if "job" not in fields:
        return
    job = jobs.setdefault(fields["job"], JobTimes(fields["job"]))
    if number == CALL_ANSWERED and fields.get("call") == "submit":
        job.queue = fields["queue"]
        job.first_call = job.first_call if job.first_call is not None else at
    elif number == JOB_LOADED and job.loaded is None:
        job.loaded, job.queue = at, fields["queue"]
        job.service = fields.get("service", "?")
        job.work = float(fields.get("work", 0))
        if fields.get("objective", "None") != "None":
            job.objective = float(fields["objective"])
        job.first_call = min(at, job.first_call if job.first_call is not None else at)
    elif number == JOB_ENDED and job.ended is None:
        job.ended, job.state = at, fields["state"]
    elif number in (RUN_STARTED, RUN_ENDED):
        _, step, position = fields["task"].split(".")
        task = job.tasks.setdefault((int(step), int(position)), Task())
        (task.started if number == RUN_STARTED else task.ended).append(at)


def critical_path_causes(job: JobTimes, causes: dict[str, CauseTimeline]) -> Amounts:
    """Return the seconds of a job's life by cause, without the last run of each step.

    Of each step only the task that ends last counts; steps are taken to follow each
    other.
    """
    seconds: Amounts = Amounts(float)
    if job.first_call is None or job.loaded is None:
        return seconds
    seconds[NOT_ACCEPTED] = job.loaded - job.first_call
    ready = job.loaded
    timeline = causes.get(job.service, CauseTimeline())
    for step in sorted({step for step, _ in job.tasks}):
        tasks = [task for (s, _), task in job.tasks.items() if s == step and task.ended]
        if not tasks:
            continue
        last = max(tasks, key=lambda task: task.ended[-1])
        for number, started in enumerate(last.started):
            for cause, waited in timeline.split(ready, max(ready, started)).items():
                seconds[cause] += waited
            ended = next((end for end in last.ended if end >= started), started)
            if number < len(last.started) - 1:
                seconds[RUN_AGAIN] += ended - started
            ready = max(ready, ended)
    return seconds


def build_account(
    jobs: Sequence[JobTimes], causes: dict[str, CauseTimeline]
) -> LossAccount:
    """Split the loss of each late, refused or failed job among its causes."""
    by_cause: Amounts = Amounts(float)
    by_queue: dict[str, Amounts] = defaultdict(lambda: Amounts(float))
    by_window: dict[float, Amounts] = defaultdict(lambda: Amounts(float))
    late = refused = failed = counted = 0
    for job in jobs:
        if job.first_call is None:
            continue
        shares: Amounts = Amounts(float)
        counted += 1
        if job.loaded is None:
            refused += 1
            reason = job.refusals[-1] if job.refusals else UNKNOWN
            shares[f"{NOT_ACCEPTED}: {reason}"] = 1.0
        elif job.state == "failed":
            failed += 1
            shares["failed"] = 1.0
        elif job.lateness > 0:
            late += 1
            spent = critical_path_causes(job, causes)
            # What the causes do not explain was spent in runs.
            rest = job.lateness - sum(spent.values())
            if rest > 0:
                spent[RUN_LONGER] += rest
            total = sum(spent.values())
            for cause, seconds in spent.items():
                shares[cause] = seconds / total
        window = job.first_call // WINDOW_SECONDS * WINDOW_SECONDS
        for cause, share in shares.items():
            by_cause[cause] += share
            by_queue[job.queue][cause] += share
            by_window[window][cause] += share
    return LossAccount(
        counted, late, refused, failed, by_cause, dict(by_queue), dict(by_window)
    )


def render(account: LossAccount) -> str:
    """Return the account as text: totals, then a table by cause, queue and window."""
    lines = [
        f"{account.jobs} jobs: {account.late} late, {account.refused} refused, "
        f"{account.failed} failed",
        "",
    ]
    causes = sorted(account.by_cause.items(), key=lambda item: -item[1])
    lines += _rows("cause", {cause: {"": jobs} for cause, jobs in causes})
    lines += ["", *_rows("queue", account.by_queue)]
    windows = {f"{at:g} s": found for at, found in sorted(account.by_window.items())}
    return "\n".join([*lines, "", *_rows("window", windows)])


def _rows(title: str, table: Mapping[str, Mapping[str, float]]) -> list[str]:
    rows = [f"{title:32} jobs"]
    for name, causes in table.items():
        total = sum(causes.values())
        if total < 0.05:
            continue
        parts = ", ".join(
            f"{cause} {share:.1f}"
            for cause, share in sorted(causes.items(), key=lambda item: -item[1])
            if cause and share >= 0.05
        )
        rows.append(f"{name:32} {total:5.1f}  {parts}".rstrip())
    return rows


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the account; return 1 if the logs name no job, 2 if unreadable."""
    parser = argparse.ArgumentParser(prog="loss", description=__doc__)
    parser.add_argument("logs", nargs="+", type=Path, help="logs of all entries")
    parsed = parser.parse_args(arguments)
    lines = read_logs(parsed.logs)
    if lines is None:
        return 2
    jobs, causes = read_jobs(lines)
    if not jobs:
        print("the logs name no job", file=sys.stderr)
        return 1
    print(render(build_account(jobs, causes)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
