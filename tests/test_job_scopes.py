"""Jobs under the path of another queue, or with the API key of another workspace.

Guards against a job that is shown, cancelled or taken for accepted outside its scope,
at the entry that accepted it, through the store, the leader's states and peers.
"""

import json
import random

import msgspec
import pytest
from expression import Error, Ok
from prometheus_client import CollectorRegistry

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import PeerFailure
from ebonyhub.entry.job_api import JobApi
from ebonyhub.entry.job_service import JobService
from ebonyhub.entry.withdrawals import Withdrawals
from ebonyhub.ids import JobId, Revision
from ebonyhub.jobs.records import (
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.metrics import Metrics
from ebonyhub.platform.config import decode_configuration
from ebonyhub.scheduling.overload import ForecastCache
from standins.memory_store import MemoryStore, StoreCore
from tests.test_foreign_calls import body, call

JOB = "0123456789abcdef"
ROUTES = [
    {"Name": name, "Host": "h", "PathPrefix": f"/{name}/", "Service": "s"}
    for name in ("a", "b")
]
# Owner of a job, and a caller of another scope.
SCOPES = [("a", "b"), ("a key-x", "a key-y"), ("a key-x", "b key-x")]
WAYS = ["accepted here", "store", "states", "stale states", "peer", "peer states"]


class Entry:
    """The callers' interface of one entry."""

    def __init__(self, core, configuration, peer=None):
        clock, metrics = SystemClock(), Metrics(CollectorRegistry())
        self.mirror, self.store, self.peer = JobMirror(), MemoryStore(core), peer
        rng = random.Random(1)
        self.service = JobService(
            self.store, self.mirror, clock, metrics, self.call_peer, self.apply,
            ForecastCache(), rng, Withdrawals(self.store, clock, rng, self.apply),
        )  # fmt: skip
        self.service.synced_at = clock.monotonic()
        self.api = JobApi(
            self.service, lambda: configuration, lambda: False, clock, metrics
        )

    def apply(self, items):
        for item in items:
            self.mirror.apply(item)

    async def call_peer(self, method, argument):
        if self.peer is None:
            return Error(PeerFailure.NOT_SENT)
        return Ok(await self.peer.service.handle_peer_call(method, argument))

    async def call(self, method, scope, job=JOB):
        headers = [(b"host", b"h")]
        queue, _, key = scope.partition(" ")
        if key:
            headers.append((b"x-credential", key.encode()))
        content = (body(),) if method == "POST" else (b"",)
        path = f"/{queue}/{job}".encode()
        return await call(self.api, method, path, content, headers)


class World:
    """A store with a job that one entry has accepted in its scope."""

    def __init__(self, owner):
        workspaces = "key" in owner
        data = {"Version": 1, "Routes": ROUTES, "Services": [{"Name": "s"}]}
        if workspaces:
            data["Tenants"] = [{"Name": n, "ApiKeys": [f"key-{n}"]} for n in "xy"]
        value = json.dumps(data).encode()
        self.configuration = decode_configuration(value, workspaces).ok
        self.core = StoreCore(SystemClock().monotonic)
        self.owner = owner
        self.first = self.entry()

    def entry(self, peer=None):
        return Entry(self.core, self.configuration, peer)

    async def accept(self):
        assert (await self.first.call("POST", self.owner))[0] == 200
        return self

    def states(self):
        leader = JobMirror()
        leader.retain_records(True)
        leader.apply_listing(self.core.list_prefix("eb/"), Revision(self.core.revision))
        return msgspec.msgpack.decode(
            msgspec.msgpack.encode(leader.unfinished_states())
        )

    def reached(self, way):
        """Return an entry that learns of the job in a certain way."""
        if way == "accepted here":
            return self.first
        entry = self.entry()
        if way.endswith("states"):
            entry.mirror.apply_states(self.states(), True, 1.0)
        if way == "stale states":
            entry.service.synced_at = float("-inf")
        if way.startswith("peer"):
            entry = self.entry(peer=entry)
            entry.store.down = True
        return entry


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(("owner", "other"), SCOPES)
async def test_job_is_unknown_in_another_scope(owner, other, way):
    """Jobs were shown and cancelled under the path of each queue."""
    world = await World(owner).accept()
    entry = world.reached(way)
    stored = dict(world.core.items)
    unknown = (await entry.call("GET", other, "f" * 16))[1].replace(b"f" * 16, b"")
    for method in ("GET", "DELETE"):
        status, answer = await entry.call(method, other)
        assert status == 410
        assert answer.replace(JOB.encode(), b"") == unknown
    assert world.core.items == stored
    assert (await entry.call("GET", owner))[0] == 200
    assert (await entry.call("DELETE", owner))[0] == 200
    assert cancelled_key(JobId(JOB)) in world.core.items


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(("owner", "other"), SCOPES)
async def test_repeat_in_another_scope_is_refused_like_a_withdrawn_id(
    owner, other, way
):
    """Such a repeat was accepted, although its job never ran."""
    world = await World(owner).accept()
    entry = world.reached(way)
    withdrawn = world.entry()
    await withdrawn.call("DELETE", other, "e" * 16)
    stored = dict(world.core.items)
    expected = await withdrawn.call("POST", other, "e" * 16)
    status, answer = await entry.call("POST", other)
    assert status == expected[0] == 429
    assert answer.replace(JOB.encode(), b"e" * 16) == expected[1]
    assert world.core.items == stored
    assert (await entry.call("POST", owner))[0] == 200


async def test_job_that_ended_is_unknown_in_another_scope():
    """A final state is shown without a read of the store."""
    world = await World("a").accept()
    value = msgspec.msgpack.encode(ProgressRecord(2))
    world.core.put(progress_key(JobId(JOB)), value)
    entry = world.entry()
    assert (await entry.call("GET", "a"))[0] == 200
    entry.store.down = True
    for method in ("GET", "DELETE"):
        assert (await entry.call(method, "a"))[0] == 200
        assert (await entry.call(method, "b"))[0] == 410


@pytest.mark.parametrize(("owner", "other"), SCOPES)
@pytest.mark.parametrize("same_entry", [True, False])
async def test_withdrawal_in_one_scope_refuses_no_submission_in_another(
    owner, other, same_entry
):
    world = World(owner)
    entry = world.first if same_entry else world.entry()
    assert (await world.first.call("DELETE", other))[0] == 410
    assert (await entry.call("POST", other))[0] == 429
    assert (await entry.call("POST", owner))[0] == 200


async def test_cancel_while_another_queue_accepts_the_id_harms_no_job():
    """The write of the submission arrives after the cancel has read the store."""
    world = World("a")
    entry = world.entry()
    await entry.service.withdrawals._load()
    commit = entry.store.commit

    async def accept_first(transaction):
        if accepted_key(JobId(JOB)) not in world.core.items:
            await world.accept()
        return await commit(transaction)

    entry.store.commit = accept_first
    assert (await entry.call("DELETE", "b"))[0] == 410
    assert cancelled_key(JobId(JOB)) not in world.core.items


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_state_of_an_earlier_job_is_not_shown_to_the_owner_of_its_id(method):
    """The mirror of an entry may hold a job whose records have been removed since."""
    world = await World("a").accept()
    world.core.delete(accepted_key(JobId(JOB)))
    other = world.entry()
    assert (await other.call("POST", "b"))[0] == 200
    assert (await world.first.call(method, "a"))[0] == 410
    assert (await world.first.call(method, "b"))[0] == 503
    assert cancelled_key(JobId(JOB)) not in world.core.items


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_job_with_an_unreadable_record_has_no_known_owner(method):
    world = World("a")
    world.core.put(accepted_key(JobId(JOB)), b"\xc1")
    stored = dict(world.core.items)
    peer = world.entry()
    cut_off = world.entry(peer)
    cut_off.store.down = True
    for entry in (world.first, cut_off):
        for queue in ("a", "b"):
            assert (await entry.call(method, queue))[0] == 503
    assert world.core.items == stored
