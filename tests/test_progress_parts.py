"""Progress records that are stored in parts.

Guards against commits whose cost grows with all tasks of a job, against values that the
store does not take, and against parts that a successor does not read.
"""

import random

import msgspec
import pytest

from ebonyhub.cluster.metadata_store import MAX_TRANSACTION_OPERATIONS, Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.ids import JobId, QueueName, Revision, ServiceName, TaskId, VmId, WorkerId
from ebonyhub.jobs.model import MAX_TASKS, AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.progress_parts import (
    TASKS_PER_PART,
    PartLayout,
    add_parts,
    decode_head,
    encode_head,
    encode_part,
    part_key,
)
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    RunRecord,
    StepProgress,
    UnansweredStart,
    accepted_key,
    progress_key,
)
from ebonyhub.scheduling import lifecycle
from ebonyhub.scheduling.record_writes import MAX_VALUE_BYTES, encode_writes
from ebonyhub.scheduling.runs import Job
from tests.test_committer import run_until, started_committer

JOB = JobId("00000000000000aa")


def spec_of(*counts, repeat=0):
    steps = tuple(StepSpec(count, Resources(1, 1), 100) for count in counts)
    return JobSpec("t", steps, repeat, 0, 1)


def new_job(spec, progress=None):
    accepted = AcceptedJob(JOB, QueueName("q"), ServiceName("s"), 3, 0, spec)
    job = Job(
        accepted, progress or ProgressRecord(), accepted.queue, ServiceName("s"), 0
    )
    lifecycle.start_due_occurrences(job, 10**9)
    return job


SPECS = [
    spec_of(513),
    spec_of(MAX_TASKS),
    spec_of(*[1] * 2000),
    spec_of(500, 1, 700, 3),
    spec_of(3, repeat=400),
    spec_of(300, 300, repeat=5),
    spec_of(1, repeat=1000),
]


def random_progress(spec, rng):
    def step_progress(step):
        chosen = rng.sample(range(step.count), min(step.count, rng.randint(0, 40)))
        progress = StepProgress()
        for position in chosen:
            kind = rng.randrange(5)
            if kind == 0:
                progress.done.add(position)
            elif kind == 1:
                record = RunRecord(rng.randint(1, 9), WorkerId("w"), 7, "c", VmId("v"))
                progress.runs[position] = record
            elif kind == 2:
                progress.failures[position] = rng.randint(1, 3)
                progress.last_run_numbers[position] = 2
            elif kind == 3:
                progress.checkpoints[position] = "c"
            else:
                progress.unanswered_starts[position] = UnansweredStart(WorkerId("w"))
        return progress

    total = spec.repeat_count or 1
    first = rng.randrange(total)
    occurrences = {}
    for number in range(first, min(total, first + 30)):
        is_complete = rng.random() < 0.2 and total > 1
        occurrences[number] = (
            [] if is_complete else [step_progress(step) for step in spec.steps]
        )
    return ProgressRecord(JobState.RUNNING, occurrences, first)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "spec", SPECS, ids=lambda s: f"{len(s.steps)}x{s.repeat_count}"
)
def test_parts_add_up_to_the_record(spec, seed):
    record = random_progress(spec, random.Random(seed))
    layout = PartLayout(spec)
    assert layout.is_split
    total = layout.tasks_per_occurrence * layout.occurrences
    numbers = range((total - 1) // TASKS_PER_PART + 1)
    parts = {number: encode_part(record, layout, number) for number in numbers}
    assert add_parts(decode_head(encode_head(record)), parts, spec) == record
    for number in numbers:
        for segment in layout.segments(number):
            positions = (segment.begin, segment.end - 1)
            found = {
                layout.part_of(segment.occurrence, segment.step, position)
                for position in positions
            }
            assert found == {number}
            assert segment.occurrence <= layout.last_occurrence(number)


def test_record_of_a_small_job_has_no_parts():
    """Earlier versions of the program read it."""
    job = new_job(spec_of(TASKS_PER_PART))
    writes = encode_writes(job, 15)
    assert list(writes.values) == [progress_key(JOB)]
    decoded = msgspec.msgpack.decode(
        writes.values[progress_key(JOB)], type=ProgressRecord
    )
    assert decoded == job.progress


def test_head_of_a_split_record_is_unreadable_to_earlier_versions():
    """They would take the job for one that has not started anything."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(
            encode_head(new_job(spec_of(600)).progress), type=ProgressRecord
        )


def start(job, position, checkpoint=""):
    record = RunRecord(1, WorkerId("i-0123456789"), 10**12, checkpoint, VmId("m" * 20))
    job.note_change(TaskId(JOB, 0, 0, position))
    step = job.progress.occurrences[0][0]
    step.runs[position] = record
    step.last_run_numbers[position] = 1
    job.version += 1


@pytest.mark.parametrize("count", [1000, MAX_TASKS])
def test_commit_writes_only_what_has_changed(count):
    """The whole record was written for each end."""
    job = new_job(spec_of(count))
    for position in range(count):
        start(job, position)
    while job.changed_parts:
        encode_writes(job, 15)
    lifecycle.record_done(job, TaskId(JOB, 0, 0, 700), 0)
    writes = encode_writes(job, 15)
    assert set(writes.values) == {progress_key(JOB), part_key(JOB, 1)}
    assert sum(map(len, writes.values.values())) < 64 * TASKS_PER_PART
    assert writes.version == job.version


@pytest.mark.parametrize("length", [0, 16, 256])
def test_values_of_the_widest_job_fit_into_the_store(length):
    """A record of 20,000 running tasks was longer than the longest value."""
    job = new_job(spec_of(MAX_TASKS))
    for position in range(MAX_TASKS):
        start(job, position, "c" * length)
        step = job.progress.occurrences[0][0]
        step.checkpoints[position] = "c" * length
        step.failures[position] = step.crash_evidence[position] = 2
    longest = 0
    while job.changed_parts:
        longest = max(longest, *map(len, encode_writes(job, 15).values.values()))
    assert longest < MAX_VALUE_BYTES / 2


def test_version_is_stored_once_all_its_parts_are():
    """A start is ordered by the version of the record that contains its run."""
    job = new_job(spec_of(MAX_TASKS))
    for position in range(0, MAX_TASKS, TASKS_PER_PART):
        start(job, position)
    first = encode_writes(job, 15)
    assert len(first.values) == 15 and first.version == 14
    # A part of the first commit that changes again is not stored by it.
    start(job, 0)
    assert encode_writes(job, 15).version == 28
    last = encode_writes(job, 15)
    assert last.version == job.version and not job.changed_parts
    first.withdraw()
    assert min(job.changed_parts.values()) == 1
    assert encode_writes(job, 2).version <= 1


async def committer_with(spec):
    core, store, scheduler, committer = await started_committer(0)
    stored = []
    committer.on_stored = stored.extend
    accepted = AcceptedJob(JOB, QueueName("q"), ServiceName("s"), 3, 0, spec)
    core.put(accepted_key(JOB), msgspec.msgpack.encode(accepted))
    scheduler.load_job(accepted, None, False, 0.0, 10**9)
    return core, store, scheduler, committer, scheduler.jobs[JOB]


@pytest.mark.parametrize("lost_answers", [0, 1, 3])
async def test_successor_reads_what_was_committed(lost_answers):
    core, store, scheduler, committer, job = await committer_with(spec_of(MAX_TASKS))
    for position in range(0, MAX_TASKS, 100):
        start(job, position)
    lifecycle.record_done(job, TaskId(JOB, 0, 0, 300), 0)
    scheduler.dirty[JOB] = job
    store.answers_to_lose = lost_answers
    await run_until(committer, lambda: not scheduler.dirty)
    assert not committer.term.ended
    operations = [commit.operation_count for commit in store.commits]
    assert max(operations) <= MAX_TRANSACTION_OPERATIONS
    mirror = JobMirror()
    mirror.retain_records(True)
    mirror.apply_listing(core.list_prefix("eb/"), Revision(core.revision))
    assert mirror.jobs[JOB].decode_progress() == job.progress


async def test_parts_are_removed_once_the_job_has_ended():
    core, _, scheduler, committer, job = await committer_with(spec_of(MAX_TASKS))
    for position in range(0, MAX_TASKS, TASKS_PER_PART):
        start(job, position)
    scheduler.dirty[JOB] = job
    await run_until(committer, lambda: not scheduler.dirty)
    parts = [key for key in core.items if key.startswith(progress_key(JOB) + "/")]
    assert len(parts) == MAX_TASKS // TASKS_PER_PART + 1
    lifecycle.finish(job, JobState.CANCELLED, 5)
    scheduler.dirty[JOB] = job
    await run_until(
        committer,
        lambda: not any(key in core.items for key in parts) and not scheduler.dirty,
    )
    final = core.items[progress_key(JOB)].value
    assert (
        msgspec.msgpack.decode(final, type=ProgressRecord).state is JobState.CANCELLED
    )


async def test_part_of_another_writer_is_not_overwritten():
    """Replacing it would start tasks again that it says are done."""
    core, _, scheduler, committer, job = await committer_with(spec_of(600))
    start(job, 0)
    core.put(part_key(JOB, 0), b"unread")
    scheduler.dirty[JOB] = job
    await run_until(committer, lambda: committer.term.ended)
    assert core.items[part_key(JOB, 0)].value == b"unread"


@pytest.mark.parametrize(
    "value",
    [
        b"\xc1",
        msgspec.msgpack.encode([{0: {3: [[], {}, {}, {}, {}, {}, {}]}}]),
        msgspec.msgpack.encode([{0: {0: [[9999], {}, {}, {}, {}, {}, {}]}}]),
        msgspec.msgpack.encode([{7: {0: [[1], {}, {}, {}, {}, {}, {}]}}]),
    ],
    ids=["no msgpack", "no such step", "no such task", "no such occurrence"],
)
def test_job_with_an_unreadable_part_is_not_loaded(value):
    """What it has done is not known."""
    job = new_job(spec_of(600))
    mirror = JobMirror()
    mirror.retain_records(True)
    mirror.apply(
        Item(accepted_key(JOB), msgspec.msgpack.encode(job.accepted), Revision(2))
    )
    mirror.apply(Item(progress_key(JOB), encode_head(job.progress), Revision(3)))
    mirror.apply(Item(part_key(JOB, 0), value, Revision(3)))
    with pytest.raises((msgspec.MsgspecError, ValueError, LookupError)):
        mirror.jobs[JOB].decode_progress()


@pytest.mark.parametrize("suffix", ["/", "/x", "/-1", "/1/2", "/٣", "/9999999999"])
def test_key_that_names_no_part_is_left_out(suffix):
    mirror = JobMirror()
    mirror.retain_records(True)
    assert mirror.apply(Item(progress_key(JOB) + suffix, b"x", Revision(3))) is None
    assert mirror.jobs == {}
