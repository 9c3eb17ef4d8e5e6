"""Job records of other writers in the mirror.

Guards against a record that ends every leader's term, and against finished tasks that
start again because the record of their progress cannot be read.
"""

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.ids import JobId, QueueName, Revision, ServiceName, WorkerId
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    LeftRun,
    ProgressRecord,
    RunRecord,
    StepProgress,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.metrics import Metrics
from ebonyhub.rejections import Rejections

JOB = JobId("0123456789abcdef")
OTHER = JobId("f" * 16)
SPEC = JobSpec("t", (StepSpec(2, Resources(1, 1)), StepSpec(1, Resources(1, 1))))
DEEP = b"\x91" * 100_000 + b"\x01"
encode = msgspec.msgpack.encode


def accepted(job=JOB, **changes):
    record = AcceptedJob(job, QueueName("q"), ServiceName("s"), 3, 5, SPEC)
    return encode(msgspec.structs.replace(record, **changes))


def progress(*steps, **fields):
    return encode(ProgressRecord(JobState.RUNNING, {0: list(steps)}, **fields))


def run(number=1, born_ms=5):
    return RunRecord(number, WorkerId("w"), born_ms)


def leader_mirror():
    metrics = Metrics(CollectorRegistry())
    mirror = JobMirror(Rejections(metrics))
    mirror.retain_records(True)
    return mirror


UNREADABLE_PROGRESS = [
    b"", b"\xc1", DEEP, b"\x92\x00" + DEEP, encode([9]), progress()[:-1],
    encode([1, {0: [[[0, "x"]]]}]), encode([1, {"a": []}]), encode([1, [], -1]),
    b"\x95\x01\x80\x00\x00" + DEEP,
]  # fmt: skip
# Records that can be decoded but do not fit the job's two steps, of two and one tasks.
UNFITTING_PROGRESS = [
    progress(StepProgress()),
    progress(StepProgress(), StepProgress(), StepProgress()),
    progress(StepProgress(done={2}), StepProgress()),
    progress(StepProgress(), StepProgress(done={-1})),
    progress(StepProgress(failures={5: 1}), StepProgress()),
    progress(StepProgress(last_run_numbers={2: 1}), StepProgress()),
    progress(StepProgress(last_run_numbers={0: 2**63}), StepProgress()),
    progress(StepProgress(runs={2: run()}), StepProgress()),
    progress(StepProgress(runs={0: run(number=0)}), StepProgress()),
    progress(StepProgress(runs={0: run(born_ms=-1)}), StepProgress()),
    progress(StepProgress(checkpoints={9: "x"}), StepProgress()),
    progress(StepProgress(crash_evidence={9: 1}), StepProgress()),
    progress(StepProgress(late_crashes={9: 1}), StepProgress()),
    encode([1, {}, 0, -1]), progress(next_occurrence=2), progress(next_occurrence=-1),
    progress(left_runs=[LeftRun(1, 0, 0, run())]),
    progress(left_runs=[LeftRun(0, 2, 0, run())]),
    progress(left_runs=[LeftRun(0, 1, 1, run())]),
    progress(left_runs=[LeftRun(0, 0, 0, run(number=0))]),
    progress(left_runs=[LeftRun(0, 0, 0, run(born_ms=-1))]),
    encode(ProgressRecord(JobState.RUNNING, {1: []})),
    encode(ProgressRecord(JobState.RUNNING, {-1: []})),
]  # fmt: skip


@pytest.mark.parametrize("accepted_first", [True, False])
@pytest.mark.parametrize("value", [*UNREADABLE_PROGRESS, *UNFITTING_PROGRESS])
def test_job_with_unreadable_progress_does_not_look_new(value, accepted_first):
    """Such a job was loaded as new, or raised, which ended the term."""
    mirror = leader_mirror()
    items = [
        Item(accepted_key(JOB), accepted(), Revision(3)),
        Item(progress_key(JOB), value, Revision(4)),
    ]
    others = [Item(accepted_key(OTHER), accepted(OTHER), Revision(5))]
    listing = items if accepted_first else items[::-1]
    mirror.apply_listing([*listing, *others], Revision(6))
    job = mirror.jobs[JOB]
    assert job.progress_unreadable
    # The controller loads a job only if it has its submission record.
    assert job.accepted is None
    assert mirror.confirmed_state(JOB) is None
    assert mirror.waiting_counts[QueueName("q")] == 1
    assert [row[0] for row in mirror.unfinished_states()] == [OTHER]
    mirror.retain_records(False)
    assert mirror.confirmed_state(JOB) is None


def test_readable_record_replaces_an_unreadable_one():
    mirror = leader_mirror()
    mirror.apply(Item(accepted_key(JOB), accepted(), Revision(3)))
    mirror.apply(Item(progress_key(JOB), b"\xc1", Revision(4)))
    sound = progress(StepProgress(done={1}), StepProgress())
    assert mirror.apply(Item(progress_key(JOB), sound, Revision(3))) is None
    assert mirror.jobs[JOB].progress_unreadable
    assert mirror.apply(Item(progress_key(JOB), sound, Revision(7))) == JOB
    assert not mirror.jobs[JOB].progress_unreadable
    assert mirror.jobs[JOB].accepted is not None
    assert mirror.jobs[JOB].decode_progress().occurrences[0][0].done == {1}


@pytest.mark.parametrize(
    "value",
    [
        b"", b"\xc1", DEEP, b"\x97" + accepted()[1:] + DEEP, accepted(OTHER),
        accepted()[:-2], accepted(queue="q" * 5000), accepted(service=7),
        accepted(accepted_ms=-1), accepted(max_attempts=2**62),
        accepted(accepted_ms=2**63), accepted(spec=JobSpec("t", ())),
        accepted(spec=JobSpec("t", SPEC.steps, -1)),
        accepted(spec=JobSpec("t", (StepSpec(1, Resources(1, 1), after=(0,)),))),
    ],
)  # fmt: skip
def test_odd_submission_record_is_left_out(value):
    mirror = leader_mirror()
    items = [
        Item(accepted_key(JOB), value, Revision(3)),
        Item(accepted_key(OTHER), accepted(OTHER), Revision(4)),
    ]
    assert mirror.apply_listing(items, Revision(5)) == [OTHER]
    assert not any(job.is_accepted for name, job in mirror.jobs.items() if name == JOB)


@pytest.mark.parametrize(
    "name", ["", "a/b", "a.b", "\u00e9", "a" * 200, "\ud800", "a\n"]
)
@pytest.mark.parametrize("key", [accepted_key, cancelled_key, progress_key])
def test_key_that_names_no_job_is_left_out(key, name):
    mirror = leader_mirror()
    value = accepted(JobId(name)) if name.isascii() else accepted()
    assert mirror.apply(Item(key(JobId(name)), value, Revision(3))) is None
    assert not mirror.jobs


def test_rejected_record_is_counted_each_time_and_logged_once(monkeypatch):
    lines = []
    monkeypatch.setattr(
        "ebonyhub.rejections.log_event", lambda event, **fields: lines.append(fields)
    )
    mirror = leader_mirror()
    for _ in range(5):
        mirror.apply(Item(accepted_key(JOB), b"\xc1", Revision(3)))
    for number in range(500):
        mirror.apply(Item(accepted_key(JOB), encode(number), Revision(number)))
    counter = mirror.rejections.metrics.inputs_rejected.labels("job_record")
    assert counter._value.get() == 505
    assert len(lines) == 100


def test_submission_that_a_watch_could_not_read_is_taken_from_a_peer():
    """Its revision lies below the one up to which the mirror is complete."""
    mirror = leader_mirror()
    mirror.apply_listing([], Revision(10))
    mirror.apply_changes([Item(accepted_key(JOB), b"", Revision(11))], Revision(11))
    assert mirror.apply(Item(accepted_key(JOB), accepted(JOB), Revision(11))) == JOB
