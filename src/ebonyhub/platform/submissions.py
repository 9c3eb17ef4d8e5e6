"""JSON bodies of callers' requests and of the answers to them."""

from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..ids import RackId
from ..jobs.model import JobSpec, Resources, StepSpec, spec_problem
from ..jobs.records import JobState

_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


def decode_submission(body: bytes) -> Result[JobSpec, str]:
    """Decode the body of a submission; the error is a text for the caller."""
    try:
        data = msgspec.json.decode(body)
        steps = tuple(_decode_step(row) for row in data["Steps"])
        if not steps:
            return Error("a job needs a step")
        spec = JobSpec(
            text=data.get("Spec", ""),
            steps=steps,
            repeat_count=data.get("RepeatCount", 0),
            first_run_ms=data.get("FirstRunMs", 0),
            interval_ms=data.get("IntervalMs", 0),
        )
        # The round trip validates the type of each field.
        spec = msgspec.convert(msgspec.to_builtins(spec), JobSpec)
        problem = spec_problem(spec)
        return Error(problem) if problem else Ok(spec)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
        return Error(repr(error))
    except AttributeError:
        return Error("a step or the body is not an object")


def _decode_step(row: dict[str, Any]) -> StepSpec:
    """Decode a step; the wire omits fields that are 0, false or empty."""
    return StepSpec(
        count=row.get("Count", 0),
        demand=Resources(row.get("Cpu", 0), row.get("MemMb", 0), row.get("Gpu", 0)),
        estimate_ms=row.get("EstimatedMs", 0),
        after=tuple(row.get("After", ())),
        supports_checkpoints=row.get("Checkpointing", False),
        gang=row.get("Gang", False),
        same_rack=row.get("SameRack", False),
        required_label=row.get("RequiredLabel", ""),
        data_rack=RackId(row.get("DataRack", "")),
        max_per_worker=row.get("AntiAffinity", 0),
        allows_duplicates=row.get("AllowDuplicates", False),
        long_running=row.get("LongRunning", False),
        image=row.get("Image", ""),
        target_ms=row.get("TargetMs", 0),
        uses_spare_cpu=row.get("Fills", False),
        max_unavailable=row.get("MayMiss", 0),
    )


def encode_state(state: JobState) -> bytes:
    """Return the body of an answer with the state of a job."""
    return msgspec.json.encode({"State": _STATE_NAMES[state]})


def encode_waiting_count(count: int) -> bytes:
    """Return the body of an answer with the number of waiting jobs of a queue."""
    return msgspec.json.encode({"Waiting": count})
