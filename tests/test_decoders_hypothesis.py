"""Generated odd documents for each decoder of stored and peers' data.

Guards against input that raises past its decoder, and against accepted input that
raises later, when it is encoded again, used as a key or added up.
"""

import asyncio
import json

import msgpack
import msgspec
import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from ebonyhub.cluster.leadership import decode_leader_record
from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import DECODE_ERRORS, MESSAGE_TYPES
from ebonyhub.decoding import parse_address
from ebonyhub.entry.job_service import decode_peer_answer, decode_peer_call
from ebonyhub.ids import JobId, Revision
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    ProgressRecord,
    RunRecord,
    StepProgress,
    accepted_key,
    progress_key,
)
from ebonyhub.platform.config import (
    decode_configuration,
    decode_wave,
    decode_worker,
)
from ebonyhub.scheduling.overload import SIZE_CLASSES, decode_forecasts
from standins.job_platform import demo_configuration
from tests.test_decoders_fuzz import (
    ITEM,
    WORKER,
    EntryHandler,
    call_store,
    replace_at,
    value_paths,
)
from tests.test_foreign_peers_and_watches import build_stream

JOB = "0123456789abcdef"
SPEC = JobSpec("t", (StepSpec(2, Resources(1, 1)), StepSpec(1, Resources(1, 1))))
RUN = RunRecord(1, "w", 5, "", "m")
PROGRESS = ProgressRecord(1, {0: [StepProgress({0}, {1: 1}, {1: 2}, {1: RUN}),
                                  StepProgress()]})  # fmt: skip
ACCEPTED = AcceptedJob(JOB, "q", "s", 3, 5, SPEC)
WAVE = {"Wave": 3, "Machines": ["m"], "DurationS": 5, "Maximum": 1}
MESSAGES = [
    [1, [["eb/jobs/a/j", 3, b"x"]]], [2, 1, "read", [JOB]], [3, 1, 0, 0],
    [4, 7, msgpack.packb(["e", "a", 1])], [5, 9, [["j", "q", False, 1]], True],
    [6, [["s", 10.0, 5.0, [0.0] * len(SIZE_CLASSES), 1.0, 5]]],
]  # fmt: skip
NUMBERS = st.sampled_from(
    [-1, 0, 1, 2**31, 2**53, 2**53 + 1, 2**63, 2**64 - 1, -(2**63), 0.5, 1e308,
     float("inf"), float("-inf"), float("nan")]
)  # fmt: skip
TEXTS = st.text(max_size=20) | st.sampled_from(["9" * 5000, "a\r\nb", "\u00b2", "a/b"])
SCALARS = st.none() | st.booleans() | NUMBERS | TEXTS
DEPTHS = st.sampled_from([1, 100, 100_000])
VALUES = st.recursive(
    SCALARS, lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3), max_leaves=5,
)  # fmt: skip
FIXED = settings(
    max_examples=300, deadline=None, database=None, derandomize=True,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
MARK = "\u2603mark"


@st.composite
def damaged(draw, encode, document, nested):
    """Encode a document with an odd value in one place, then perhaps damage bytes."""
    path = draw(st.sampled_from(value_paths(document)))
    if draw(st.booleans()):
        data = encode(replace_at(document, path, draw(VALUES)))
    else:
        data = encode(replace_at(document, path, MARK))
        data = data.replace(encode(MARK), nested(draw(DEPTHS)))
    if draw(st.booleans()):
        place = draw(st.integers(0, len(data)))
        patch = draw(st.binary(max_size=3))
        data = data[:place] + patch + data[place + len(patch) :]
        data = data[: draw(st.integers(0, len(data)))] if draw(st.booleans()) else data
    return data


def json_documents(document):
    def encode(value):
        return json.dumps(value).encode()

    return damaged(encode, document, lambda depth: b"[" * depth + b"]" * depth)


def packed_documents(document):
    def encode(value):
        try:
            return msgpack.packb(value, use_bin_type=True)
        except (OverflowError, UnicodeEncodeError):
            return b"\xc1"

    return damaged(encode, document, lambda depth: b"\x91" * depth + b"\x01")


def use(value):
    """Use a value as the program does later: hash it and encode it again."""
    hash(repr(value))
    msgspec.msgpack.encode(value)


@seed(1)
@FIXED
@given(json_documents(WORKER), TEXTS)
def test_worker_entries(value, name):
    decoded = decode_worker("servers/w", value)
    decode_worker(f"servers/{name}", json.dumps(WORKER).encode())
    if decoded.is_ok():
        entry = decoded.ok
        use([entry.worker, entry.born_ms, entry.leaves_in, entry.labels])
        use(entry.capacity + entry.capacity - Resources(1, 1, 1))
        assert {entry: 1, entry.vm: 2, entry.service: 3, entry.rack: 4}
        assert parse_address(entry.address).is_ok()


@seed(2)
@FIXED
@given(json_documents(demo_configuration()))
def test_configurations(value):
    decoded = decode_configuration(value)
    if decoded.is_ok():
        configuration = decoded.ok
        for queue in configuration.queues.values():
            use([queue.priority + 1, queue.max_attempts, queue.stretch * 2.0])
            assert configuration.queue_for(queue.host, queue.prefix) is not None
        use([configuration.version + 1, list(configuration.services)])


@seed(3)
@FIXED
@given(json_documents(WAVE))
def test_waves(value):
    decoded = decode_wave(value, "op/wave/3")
    if decoded.is_ok():
        wave = decoded.ok
        use([wave.wave_id, wave.vms, int(wave.duration_seconds), wave.max_down])
        assert len(wave.vms) // wave.max_down >= 0


@seed(4)
@FIXED
@given(packed_documents(msgspec.to_builtins(PROGRESS)))
def test_progress_records(value):
    mirror = JobMirror()
    mirror.retain_records(True)
    accepted = msgspec.msgpack.encode(ACCEPTED)
    mirror.apply(Item(accepted_key(JobId(JOB)), accepted, Revision(1)))
    mirror.apply(Item(progress_key(JobId(JOB)), value, Revision(2)))
    job = mirror.jobs[JobId(JOB)]
    if job.progress_unreadable:
        assert job.accepted is None
        return
    record = job.decode_progress()
    use(record)
    for steps in record.occurrences.values():
        for progress, step in zip(steps, SPEC.steps, strict=bool(steps)):
            assert all(position < step.count for position in progress.runs)
            use([number + 1 for number in progress.last_run_numbers.values()])


@seed(5)
@FIXED
@given(packed_documents(msgspec.to_builtins(ACCEPTED)))
def test_submission_records(value):
    mirror = JobMirror()
    mirror.retain_records(True)
    mirror.apply(Item(accepted_key(JobId(JOB)), value, Revision(1)))
    for job in mirror.jobs.values():
        use([job.accepted, job.accepted.accepted_ms + 1])
        assert job.accepted.job == JOB
        assert job.accepted.spec.critical_path_seconds >= 0.0


@seed(6)
@FIXED
@given(packed_documents(["e", "127.0.0.1:1", 5]))
def test_leader_keys(value):
    decoded = decode_leader_record(value)
    if decoded.is_ok():
        use(decoded.ok)
        parse_address(decoded.ok.address)


STORE_ANSWERS = [
    ITEM, {"events": [ITEM], "AtRevision": 4}, {"Lease": 4}, {"Revision": 4},
    {"items": [ITEM, ITEM], "AtRevision": 4, "HasMore": True},
]  # fmt: skip


@pytest.mark.parametrize("answer", STORE_ANSWERS, ids=lambda answer: min(answer))
def test_answers_of_the_store(answer):
    @seed(9)
    @settings(FIXED, max_examples=60)
    @given(json_documents(answer), st.sampled_from([200, 400, 404, 410, 412]))
    def check(body, status):
        asyncio.run(call_store(body, status))

    check()


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: f"kind {message[0]}")
def test_messages_of_peers(message):
    assert message[0] in MESSAGE_TYPES

    @seed(7)
    @FIXED
    @given(packed_documents(message))
    def check(data):
        stream = build_stream()
        try:
            stream.unpacker.feed(data)
            for decoded in stream.unpacker:
                # A call begins a task, which is tested by itself.
                if decoded != [] and decoded[0] != 2:
                    stream._handle(decoded, EntryHandler())
        except DECODE_ERRORS:
            return

    check()


@seed(8)
@FIXED
@given(TEXTS | st.sampled_from(["submit", "read", "cancel"]), VALUES, NUMBERS)
def test_calls_and_replies(method, value, status):
    for argument in (value, [value], [JOB, value]):
        decoded = decode_peer_call(method, argument)
        assert decoded.is_error() or decoded.ok[0] == JOB or argument == [value]
    decode_peer_answer(status, value)
    for rows in (value, [value], [[value] * 6]):
        try:
            decode_forecasts(rows)
        except ValueError:
            continue
