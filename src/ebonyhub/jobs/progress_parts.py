"""Progress of jobs with many tasks, stored in parts.

A record of such a job would cost each commit the time and size of all its tasks. It is
therefore split: the head has what concerns the job as a whole, and each part has
TASKS_PER_PART tasks, counted over the occurrences and steps of the job. A commit writes
the head and the parts that have changed.
"""

from bisect import bisect_right
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import accumulate
from typing import Any

import msgspec

from ..ids import JobId
from .model import JobSpec
from .records import JobState, LeftRun, ProgressRecord, StepProgress, progress_key

TASKS_PER_PART = 512
# Between the job's id and the number of a part in its key; not a character of ids.
PART_SEPARATOR = "/"


class SplitHead(msgspec.Struct, array_like=True):
    """Progress of a job that has parts, apart from that of its tasks.

    Earlier versions of the program take it for unreadable, and do not load the job.
    """

    state: JobState
    # Complete occurrences from ``next_occurrence`` on.
    complete: list[int]
    next_occurrence: int = 0
    finished_ms: int = 0
    left_runs: list[LeftRun] | None = None
    open_starts: list[tuple[int, int, int]] = msgspec.field(default_factory=list)


class ProgressPart(msgspec.Struct, array_like=True):
    """Progress of consecutive tasks, by occurrence and step."""

    steps: dict[int, dict[int, StepProgress]]


_decode_record = msgspec.msgpack.Decoder(ProgressRecord).decode
_decode_head = msgspec.msgpack.Decoder(SplitHead).decode
_decode_part = msgspec.msgpack.Decoder(ProgressPart).decode


@dataclass(frozen=True, slots=True)
class Segment:
    """Tasks of one step from position ``begin`` to before ``end``."""

    occurrence: int
    step: int
    begin: int
    end: int


class PartLayout:
    """Which part of a job's record has which tasks."""

    def __init__(self, spec: JobSpec) -> None:
        counts = [step.count for step in spec.steps]
        self.ends = list(accumulate(counts))
        self.begins = [
            end - count for end, count in zip(self.ends, counts, strict=True)
        ]
        self.tasks_per_occurrence = sum(counts)
        self.occurrences = spec.repeat_count or 1

    @property
    def is_split(self) -> bool:
        """Return whether the record has parts."""
        return self.tasks_per_occurrence * self.occurrences > TASKS_PER_PART

    def part_of(self, occurrence: int, step: int, position: int) -> int:
        """Return the part that has a task."""
        index = occurrence * self.tasks_per_occurrence + self.begins[step] + position
        return index // TASKS_PER_PART

    def parts_of_step(self, occurrence: int, step: int) -> range:
        """Return the parts that have tasks of a step."""
        count = self.ends[step] - self.begins[step]
        last = self.part_of(occurrence, step, count - 1)
        return range(self.part_of(occurrence, step, 0), last + 1)

    def last_occurrence(self, part: int) -> int:
        """Return the last occurrence of which a part has tasks."""
        last = (part + 1) * TASKS_PER_PART - 1
        return min(last // self.tasks_per_occurrence, self.occurrences - 1)

    def segments(self, part: int) -> Iterator[Segment]:
        """Yield the tasks of a part."""
        index, end = part * TASKS_PER_PART, (part + 1) * TASKS_PER_PART
        while index < end:
            occurrence, offset = divmod(index, self.tasks_per_occurrence)
            if occurrence >= self.occurrences:
                return
            step = bisect_right(self.ends, offset)
            begin = offset - self.begins[step]
            count = self.ends[step] - self.begins[step]
            stop = min(count, begin + end - index)
            yield Segment(occurrence, step, begin, stop)
            index += stop - begin


def part_key(job: JobId, part: int) -> str:
    """Return the key of a part of the job's progress."""
    return f"{progress_key(job)}{PART_SEPARATOR}{part}"


def encode_head(progress: ProgressRecord) -> bytes:
    """Encode the head of a record with parts; a final record has none."""
    if progress.state.is_final:
        return msgspec.msgpack.encode(progress)
    complete = [number for number, steps in progress.occurrences.items() if not steps]
    head = SplitHead(
        progress.state, complete, progress.next_occurrence, progress.finished_ms,
        progress.left_runs, progress.open_starts,
    )  # fmt: skip
    return msgspec.msgpack.encode(head)


def encode_part(progress: ProgressRecord, layout: PartLayout, part: int) -> bytes:
    """Encode a part of a record."""
    found: dict[int, dict[int, StepProgress]] = {}
    for segment in layout.segments(part):
        steps = progress.occurrences.get(segment.occurrence)
        if steps:
            found.setdefault(segment.occurrence, {})[segment.step] = _slice(
                steps[segment.step], segment
            )
    return msgspec.msgpack.encode(ProgressPart(found))


def _slice(progress: StepProgress, segment: Segment) -> StepProgress:
    """Return the progress of some tasks of a step."""
    values: list[Any] = []
    for name in StepProgress.__struct_fields__:
        field = getattr(progress, name)
        positions = [p for p in range(segment.begin, segment.end) if p in field]
        if isinstance(field, dict):
            values.append({position: field[position] for position in positions})
        else:
            values.append(set(positions))
    return StepProgress(*values)


def decode_head(value: bytes) -> ProgressRecord:
    """Decode a record or its head; raises one of DECODE_ERRORS."""
    try:
        return _decode_record(value)
    except msgspec.ValidationError:
        head = _decode_head(value)
    return ProgressRecord(
        head.state, {number: [] for number in head.complete}, head.next_occurrence,
        head.finished_ms, head.left_runs, head.open_starts,
    )  # fmt: skip


def add_parts(
    record: ProgressRecord, parts: Mapping[int, bytes], spec: JobSpec
) -> ProgressRecord:
    """Add the parts of a record to its head; raises one of DECODE_ERRORS.

    Parts of complete occurrences are outdated.
    """
    if record.state.is_final:
        return record
    found: dict[int, dict[int, StepProgress]] = {}
    for value in parts.values():
        for occurrence, steps in _decode_part(value).steps.items():
            is_complete = record.occurrences.get(occurrence) == []
            if occurrence < record.next_occurrence or is_complete:
                continue
            known = found.setdefault(occurrence, {})
            for number, progress in steps.items():
                if known.setdefault(number, progress) is not progress:
                    _merge(known[number], progress)
    for occurrence, by_step in found.items():
        if min(by_step) < 0 or max(by_step) >= len(spec.steps):
            raise ValueError(
                f"a part has steps that the job does not have: {occurrence}"
            )
        record.occurrences[occurrence] = [
            by_step.get(number) or StepProgress() for number in range(len(spec.steps))
        ]
    return record


def _merge(progress: StepProgress, other: StepProgress) -> None:
    """Add the progress of other tasks of the same step."""
    for name in StepProgress.__struct_fields__:
        getattr(progress, name).update(getattr(other, name))


def parse_progress_key(suffix: str) -> tuple[JobId, int | None]:
    """Return the job and the part that a key names after its prefix.

    The part is None for the head; raises ValueError if it is not a number.
    """
    job_id, separator, part = suffix.partition(PART_SEPARATOR)
    if not separator:
        return JobId(job_id), None
    if not (part.isascii() and part.isdigit()) or len(part) > 9:
        raise ValueError("the key names no part of a record")
    return JobId(job_id), int(part)
