"""Decoding of workers' reports, the answers to the platform's /hold call."""

import itertools
import re
from functools import lru_cache
from typing import Annotated, Any, TypeVar

import msgspec
from expression import Error, Ok, Result

from ..decoding import DECODE_ERRORS, MAX_INTEGER, Count, describe, try_convert
from ..ids import JobId, TaskId
from ..scheduling.model import EndedTask, RunningTask, RunOutcome, WorkerReport

T = TypeVar("T")

# Checkpoints are stored in the job's progress record, which must fit into 1 MB. Workers
# use 16 characters.
MAX_CHECKPOINT_LENGTH = 4096
# The platform's workers list at most 500 ends at a time.
MAX_ROWS = 10_000
# More ends than one life of a worker has. A wrong number, once acknowledged, would hide
# all lower ones.
MAX_SEQUENCE = 10**9

Sequence = Annotated[int, msgspec.Meta(ge=1, le=MAX_SEQUENCE)]
RunNumber = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
TaskName = Annotated[str, msgspec.Meta(max_length=128)]
Checkpoint = Annotated[str, msgspec.Meta(max_length=MAX_CHECKPOINT_LENGTH)]
Percent = Annotated[float, msgspec.Meta(ge=0, le=100)]
Usage = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Rows = Annotated[list[T], msgspec.Meta(max_length=MAX_ROWS)]


class RunningRow(msgspec.Struct, array_like=True):
    """A running task in the worker's report; positional on the wire."""

    task: TaskName
    number: RunNumber
    checkpoint: Checkpoint
    percent: Percent
    usage: Usage = 0


class EndedRow(msgspec.Struct, array_like=True):
    """An ended task in the worker's report; positional on the wire."""

    sequence: Sequence
    task: TaskName
    number: RunNumber
    kind: RunOutcome
    checkpoint: Checkpoint


class PollAnswer(msgspec.Struct):
    """Body of the answer to ``/hold``; ``born_ms`` is the worker's start time."""

    clock_ms: Count = msgspec.field(name="ClockMs")
    born_ms: Count = msgspec.field(name="born", default=0)
    running: Rows[RunningRow] = msgspec.field(name="Running", default_factory=list)
    ended: Rows[EndedRow] = msgspec.field(name="Finished", default_factory=list)


class LenientPollAnswer(msgspec.Struct):
    """A poll answer whose rows are converted one by one; slower than ``PollAnswer``."""

    clock_ms: Count = msgspec.field(name="ClockMs")
    born_ms: Count = msgspec.field(name="born", default=0)
    running: Rows[Any] = msgspec.field(name="Running", default_factory=list)
    ended: Rows[Any] = msgspec.field(name="Finished", default_factory=list)


_decode_poll_answer = msgspec.json.Decoder(PollAnswer).decode
_decode_lenient_answer = msgspec.json.Decoder(LenientPollAnswer).decode

# ASCII digits in the form that ``task_name`` writes; ``int`` also takes "-1", "1_0" and
# digits of other scripts. Job ids have 16 hexadecimal digits.
_TASK_NAME = re.compile(
    r"([0-9A-Za-z_-]{1,64})\.(0|[1-9][0-9]{0,8})\.(0|[1-9][0-9]{0,8})"
    r"\.(0|[1-9][0-9]{0,8})"
)


def _field(row: Any, index: int, kind: Any, default: T) -> T:
    """Return a field of a row, or ``default`` if it is missing or not of its type."""
    if index >= len(row):
        return default
    value: Result[T, str] = try_convert(row[index], kind)
    return value.default_value(default)


def task_name(task: TaskId) -> str:
    """Return the name of a task on the wire: job, occurrence, step and position."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.position}"


# Each report names the tasks that still run, so most names were parsed a second before.
@lru_cache(maxsize=8192)
def parse_task_name(name: str) -> TaskId:
    """Parse the name of a task on the wire; raises ValueError if it is malformed."""
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError(f"not the name of a task: {name[:80]!r}")
    job, occurrence, step, position = match.groups()
    return TaskId(JobId(job), int(occurrence), int(step), int(position))


def decode_report(body: bytes) -> Result[WorkerReport, str]:
    """Decode a worker's report; the error is a text for the log.

    A run that a report does not list is taken for ended, and its task may start a
    second time. A report with a row that cannot be read is therefore not ``complete``.
    Its ends are used up to the first that cannot be read, which must not be
    acknowledged: without them, tasks that are done would start again once the worker's
    lease has run out.
    """
    try:
        try:
            return Ok(_build_report(_decode_poll_answer(body)))
        except (msgspec.ValidationError, ValueError):
            return Ok(_salvage_report(_decode_lenient_answer(body)))
    except DECODE_ERRORS as error:
        return Error(describe(error))


def _build_report(answer: PollAnswer) -> WorkerReport:
    """Convert an answer; raises ValueError if its rows cannot be true."""
    running = tuple(
        RunningTask(
            parse_task_name(row.task), row.number, row.checkpoint, row.percent,
            row.usage,
        )
        for row in answer.running
    )  # fmt: skip
    ended = tuple(
        EndedTask(
            row.sequence, parse_task_name(row.task), row.number, row.kind,
            row.checkpoint,
        )
        for row in answer.ended
    )  # fmt: skip
    # Ends are acknowledged up to a number, so one that follows a higher number would be
    # acknowledged without having been recorded.
    if any(a.sequence >= b.sequence for a, b in itertools.pairwise(ended)):
        raise ValueError("the numbers of ended runs do not rise")
    return WorkerReport(answer.clock_ms, answer.born_ms, running, ended)


def _salvage_report(answer: LenientPollAnswer) -> WorkerReport:
    """Convert an answer row by row.

    A row has to say which run it is about, and how the run ended. Apart from this, a
    checkpoint that cannot be read counts as none, and percent and usage as 0.
    """
    running: list[RunningTask] = []
    ended: list[EndedTask] = []
    complete = True
    for row in answer.running:
        try:
            running.append(_salvage_running(row))
        except DECODE_ERRORS:
            complete = False
    for row in answer.ended:
        try:
            end = _salvage_end(row)
        except DECODE_ERRORS:
            complete = False
            break
        if ended and end.sequence <= ended[-1].sequence:
            complete = False
            break
        ended.append(end)
    return WorkerReport(
        answer.clock_ms, answer.born_ms, tuple(running), tuple(ended), complete
    )


def _salvage_running(row: Any) -> RunningTask:
    task, number = msgspec.convert(row[:2], tuple[TaskName, RunNumber])
    return RunningTask(
        parse_task_name(task), number, _field(row, 2, Checkpoint, ""),
        _field(row, 3, Percent, 0.0), _field(row, 4, Usage, 0.0),
    )  # fmt: skip


def _salvage_end(row: Any) -> EndedTask:
    sequence, task, number, kind = msgspec.convert(
        row[:4], tuple[Sequence, TaskName, RunNumber, RunOutcome]
    )
    checkpoint = _field(row, 4, Checkpoint, "")
    return EndedTask(sequence, parse_task_name(task), number, kind, checkpoint)
