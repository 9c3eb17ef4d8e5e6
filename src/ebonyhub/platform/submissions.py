"""JSON bodies of callers' requests and of the answers to them."""

from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from ..decoding import try_decode
from ..ids import RackId
from ..jobs.model import (
    MAX_ESTIMATE_MS,
    MAX_NAME_LENGTH,
    MAX_OCCURRENCES,
    MAX_SIZE,
    MAX_TASKS,
    MAX_TEXT_LENGTH,
    MAX_TIME_MS,
    JobSpec,
    Resources,
    StepSpec,
    spec_problem,
    submission_problem,
)
from ..jobs.records import JobState

Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE)]
Label = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]

_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class StepRow(msgspec.Struct):
    """A step of a submission; fields that are 0, false or empty are omitted."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = msgspec.field(
        name="Count"
    )
    cpu: Size = msgspec.field(name="Cpu", default=0)
    memory: Size = msgspec.field(name="MemMb", default=0)
    gpu: Size = msgspec.field(name="Gpu", default=0)
    estimate_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_ESTIMATE_MS)] = msgspec.field(
        name="EstimatedMs", default=0
    )
    after: Annotated[tuple[Size, ...], msgspec.Meta(max_length=MAX_TASKS)] = (
        msgspec.field(name="After", default=())
    )
    supports_checkpoints: bool = msgspec.field(name="Checkpointing", default=False)
    gang: bool = msgspec.field(name="Gang", default=False)
    same_rack: bool = msgspec.field(name="SameRack", default=False)
    required_label: Label = msgspec.field(name="RequiredLabel", default="")
    data_rack: Label = msgspec.field(name="DataRack", default="")
    max_per_worker: Size = msgspec.field(name="AntiAffinity", default=0)
    allows_duplicates: bool = msgspec.field(name="AllowDuplicates", default=False)
    long_running: bool = msgspec.field(name="LongRunning", default=False)
    image: Label = msgspec.field(name="Image", default="")
    target_ms: Size = msgspec.field(name="TargetMs", default=0)
    uses_spare_cpu: bool = msgspec.field(name="Fills", default=False)
    max_unavailable: Size = msgspec.field(name="MayMiss", default=0)

    def to_step(self) -> StepSpec:
        """Return the step as the scheduler uses it."""
        return StepSpec(
            count=self.count,
            demand=Resources(self.cpu, self.memory, self.gpu),
            estimate_ms=self.estimate_ms,
            after=self.after,
            supports_checkpoints=self.supports_checkpoints,
            gang=self.gang,
            same_rack=self.same_rack,
            required_label=self.required_label,
            data_rack=RackId(self.data_rack),
            max_per_worker=self.max_per_worker,
            allows_duplicates=self.allows_duplicates,
            long_running=self.long_running,
            image=self.image,
            target_ms=self.target_ms,
            uses_spare_cpu=self.uses_spare_cpu,
            max_unavailable=self.max_unavailable,
        )


class Submission(msgspec.Struct):
    """Body of a submission."""

    steps: Annotated[
        tuple[StepRow, ...], msgspec.Meta(min_length=1, max_length=MAX_TASKS)
    ] = msgspec.field(name="Steps")
    text: Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)] = msgspec.field(
        name="Spec", default=""
    )
    repeat_count: Annotated[int, msgspec.Meta(ge=0, le=MAX_OCCURRENCES)] = (
        msgspec.field(name="RepeatCount", default=0)
    )
    first_run_ms: Annotated[int, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)] = (
        msgspec.field(name="FirstRunMs", default=0)
    )
    interval_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = msgspec.field(
        name="IntervalMs", default=0
    )


_decode_submission = msgspec.json.Decoder(Submission).decode


def decode_submission(body: bytes) -> Result[JobSpec, str]:
    """Decode the body of a submission; the error is a text for the caller."""
    decoded = try_decode(_decode_submission, body)
    if decoded.is_error():
        return Error(decoded.error)
    row = decoded.ok
    spec = JobSpec(
        text=row.text,
        steps=tuple(step.to_step() for step in row.steps),
        repeat_count=row.repeat_count,
        first_run_ms=row.first_run_ms,
        interval_ms=row.interval_ms,
    )
    problem = spec_problem(spec) or submission_problem(spec)
    return Error(problem) if problem else Ok(spec)


def encode_state(state: JobState) -> bytes:
    """Return the body of an answer with the state of a job."""
    return msgspec.json.encode({"State": _STATE_NAMES[state]})


def encode_waiting_count(count: int) -> bytes:
    """Return the body of an answer with the number of waiting jobs of a queue."""
    return msgspec.json.encode({"Waiting": count})
