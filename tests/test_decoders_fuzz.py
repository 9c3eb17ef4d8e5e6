"""Fuzzing of all decoders of external input.

Guards against a malformed message that ends a process, a leader's term or the contact
with a worker: each decoder may only fail with its documented errors.
"""

import json
import random

import msgpack
import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.metadata_store import Item, Transaction
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import DECODE_ERRORS, PeerStream
from ebonyhub.errors import ErrorKind
from ebonyhub.http_client import ExchangeError, SmallResponse
from ebonyhub.ids import (
    EntryId,
    JobId,
    LeaderToken,
    Revision,
    ServiceName,
    TaskId,
    VmId,
    WorkerId,
    WorkspaceName,
)
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec, spec_problem
from ebonyhub.jobs.records import ACCEPTED_PREFIX, PROGRESS_PREFIX, ProgressRecord
from ebonyhub.metrics import Metrics
from ebonyhub.platform.cloud import AdvisorClient, CloudClient
from ebonyhub.platform.config import (
    decode_configuration,
    decode_wave,
    decode_worker,
)
from ebonyhub.platform.store import PlatformStore
from ebonyhub.platform.submissions import decode_submission
from ebonyhub.platform.workers import WorkerClient
from ebonyhub.scheduling.overload import SIZE_CLASSES, decode_forecasts
from ebonyhub.scheduling.shedding.service_load import (
    BacklogClass,
    ServiceLoad,
    Work,
    decode_loads,
    encode_loads,
)
from standins.job_platform import demo_configuration

SEEDS = range(40)
TASK = TaskId(JobId("0123456789abcdef"), 0, 0, 1)
LOAD = ServiceLoad(
    10.0,
    {BacklogClass(False, False, 0, False, 1): Work(50.0, 3.0)},
    free_cpu=100,
    over_rate=frozenset({WorkspaceName("w")}),
)
INVALID_VALUES = (None, -1, 2**70, 1.5, "x", "", [], [[]], {}, True, "\u0000", [None])

HOLD = {
    "ClockMs": 5,
    "born": 7,
    "Running": [["0123456789abcdef.0.0.1", 1, "", 40, 3]],
    "Finished": [[1, "0123456789abcdef.0.0.2", 1, "done", ""]],
}
ITEM = {"Key": "a", "Value": "AQ==", "Revision": 3, "Created": 3, "Lease": 0}
MACHINE = {
    "Machine": "m", "Pool": "p", "State": "up", "Zone": "z", "Labels": ["k", "r"],
    "Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": 0}, "Id": "w",
}  # fmt: skip
SUBMISSION = {
    "Spec": "t",
    "Steps": [
        {"Count": 2, "Cpu": 100, "MemMb": 1, "EstimatedMs": 10},
        {"Count": 1, "Cpu": 100, "After": [0], "AntiAffinity": 1},
    ],
}
WORKER = {
    "Service": "s", "Address": "10.0.0.1:80", "Zone": "a", "State": "ready", "born": 5,
    "Capacity": {"Cpu": 8000}, "Labels": ["k", "r"], "Machine": "m",
}  # fmt: skip


class LimitedSession:
    """An HTTP session that returns the same answer six times and then fails.

    A page that always names a next page would otherwise never end the test.
    """

    def __init__(self, status, body):
        self.answer = SmallResponse(status, (), body)
        self.answers_left = 6

    async def call(self, *_):
        self.answers_left -= 1
        if self.answers_left < 0:
            return Error(ExchangeError(ErrorKind.BACKEND_CLOSED, True))
        return Ok(self.answer)

    def has_idle_connection(self):
        return True


def value_paths(value, path=()):
    """Return the paths of all values inside a document."""
    found = [path]
    if isinstance(value, dict):
        for key, inner in value.items():
            found += value_paths(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            found += value_paths(inner, (*path, index))
    return found


def replace_at(value, path, new):
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], new)
    return copy


def mutate(rng, document):
    """Return a document with an invalid value in one place, or damaged bytes."""
    if rng.random() < 0.6:
        path = rng.choice(value_paths(document))
        return json.dumps(
            replace_at(document, path, rng.choice(INVALID_VALUES))
        ).encode()
    data = bytearray(json.dumps(document).encode())
    for _ in range(rng.randint(1, 4)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    return bytes(data[: rng.randint(0, len(data))])


async def call_store(body, status):
    store = PlatformStore("127.0.0.1:1", SystemClock(), Metrics(CollectorRegistry()))
    store.session = LimitedSession(status, body)
    await store.get("a")
    await store.watch("a", Revision(1), 0.0)
    await store.commit(Transaction({}))
    await store.grant_lease(1.0)
    await store.list("a")


async def call_worker(body, status):
    client = WorkerClient(WorkerId("w"), "127.0.0.1:1", SystemClock())
    client.session = client.poll_session = LimitedSession(status, body)
    await client.poll(LeaderToken(1), 0, None, 0.0)
    await client.fetch_report(LeaderToken(1))
    await client.stop(TASK, 1, LeaderToken(1))


async def call_cloud(body, status):
    metrics = Metrics(CollectorRegistry())
    cloud = CloudClient("127.0.0.1:1", EntryId("e"), SystemClock(), metrics)
    cloud.session = LimitedSession(status, body)
    await cloud.list_vms()
    await cloud.move_vm(VmId("m"), "p", LeaderToken(1))
    advisor = AdvisorClient("127.0.0.1:1", SystemClock(), metrics)
    advisor.session = LimitedSession(status, body)
    await advisor.advise(JobId("j"), 0, 0, [WorkerId("w")], 0.1)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("call", "documents"),
    [
        (call_store, [ITEM, {"events": [ITEM], "AtRevision": 4}, {"Lease": 4}]),
        (call_store, [{"items": [ITEM], "AtRevision": 4, "HasMore": False}]),
        (call_worker, [HOLD, {"ClockMs": 5, "Reason": "fence"}]),
        (call_cloud, [{"Machines": [MACHINE]}, {"Good": [["w", "t"]]}]),
    ],
    ids=["store", "store lists", "worker", "cloud"],
)
async def test_answers_of_the_platform(call, documents, seed):
    rng = random.Random(seed)
    for _ in range(20):
        body = mutate(rng, rng.choice(documents))
        await call(body, rng.choice([200, 409, 412]))


@pytest.mark.parametrize("seed", SEEDS)
def test_documents_of_operators_and_workers(seed):
    rng = random.Random(seed)
    wave = {"Wave": 1, "Machines": ["m"], "DurationS": 5, "Maximum": 1}
    for _ in range(20):
        decode_configuration(mutate(rng, demo_configuration()))
        decode_wave(mutate(rng, wave))
        decode_worker("servers/w", mutate(rng, WORKER))


@pytest.mark.parametrize("seed", SEEDS)
def test_decoded_submissions_can_be_scheduled(seed):
    """A step that depended on a missing step ended the term of every leader."""
    rng = random.Random(seed)
    for _ in range(20):
        decoded = decode_submission(mutate(rng, SUBMISSION))
        if decoded.is_ok():
            assert spec_problem(decoded.ok) is None


@pytest.mark.parametrize(
    "steps",
    [
        [{"Count": 1, "After": [1]}],
        [{"Count": 1, "After": [0]}],
        [{"Count": 1}, {"Count": 1, "After": [-1]}],
        [{"Count": 0}],
        [{"Count": -1}],
        [{"Count": 1, "Cpu": -1}],
        [{"Count": 2_000_000}],
        [],
    ],
)
def test_submissions_that_can_never_run_are_refused(steps):
    assert decode_submission(json.dumps({"Steps": steps}).encode()).is_error()


@pytest.mark.parametrize("seed", SEEDS)
def test_records_of_the_store(seed):
    rng = random.Random(seed)
    spec = JobSpec("t", (StepSpec(1, Resources(1, 1)),))
    accepted = msgspec.msgpack.encode(AcceptedJob(JobId("j"), "q", "s", 1, 1, spec))
    progress = msgspec.msgpack.encode(ProgressRecord())
    mirror = JobMirror()
    mirror.retain_records(True)
    for number in range(20):
        for prefix, value in ((ACCEPTED_PREFIX, accepted), (PROGRESS_PREFIX, progress)):
            data = bytearray(value)
            data[rng.randrange(len(data))] = rng.randrange(256)
            mirror.apply(Item(f"{prefix}{number}", bytes(data), Revision(number + 1)))


class EntryHandler:
    """Applies peer messages in the same way as an entry."""

    def __init__(self):
        self.mirror = JobMirror()

    def on_peer_records(self, records):
        for key, revision, value in records:
            self.mirror.apply(Item(key, value, Revision(revision)))

    def on_peer_states(self, revision, rows, full):
        self.mirror.apply_states(rows, full, 1.0)

    def on_peer_forecasts(self, rows):
        decode_forecasts(rows)

    def on_peer_overload(self, rows):
        decode_loads(rows)

    def on_peer_leader(self, revision, value):
        int(revision)

    def on_peer_configuration(self, stream, version, age_ms):
        assert min(version, age_ms) >= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_messages_of_peers(seed):
    """A malformed message may only raise DECODE_ERRORS, which end the stream."""
    rng = random.Random(seed)
    messages = [
        [1, [["eb/jobs/a/j", 3, b"x"]]],
        [3, 1, 0, 0],
        [4, 7, b"x"],
        [5, 9, [["j", "q", False, 1, "w"]], True],
        [6, [["s", 10.0, 5.0, [0.0] * len(SIZE_CLASSES), 1.0, 5]]],
        [7, 3, 400],
        [8, encode_loads({ServiceName("s"): LOAD})],
    ]
    stream = PeerStream.__new__(PeerStream)
    stream.pending_replies = {}
    for _ in range(40):
        message = rng.choice(messages)
        path = rng.choice(value_paths(message)[1:])
        mutated_message = replace_at(
            message, path, rng.choice(INVALID_VALUES[:2] + INVALID_VALUES[3:])
        )
        try:
            decoded = msgpack.unpackb(msgpack.packb(mutated_message))
            stream._handle(decoded, EntryHandler())
        except DECODE_ERRORS:
            continue
