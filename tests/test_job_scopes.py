"""Jobs under the path of another queue, or with the API key of another workspace.

Guards against a job that is shown, cancelled or taken for accepted outside its scope,
at the entry that accepted it, through the store, the leader's states and peers.
"""

import json

import msgspec
import pytest

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.entry.job_api import JobApi
from ebonyhub.ids import JobId, Revision
from ebonyhub.jobs.records import (
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.platform.config import decode_configuration
from standins.memory_store import StoreCore
from tests.test_foreign_calls import body, call
from tests.test_job_service import Entry

JOB = JobId("0123456789abcdef")
OTHER_JOB = "e" * 16
ROUTES = [
    {"Name": name, "Host": "h", "PathPrefix": f"/{name}/", "Service": "s"}
    for name in ("a", "b")
]
# Owner of a job, and a caller of another scope.
SCOPES = pytest.mark.parametrize(
    ("owner", "other"), [("a", "b"), ("a key-x", "a key-y"), ("a key-x", "b key-x")]
)


class ServingEntry(Entry):
    """An entry with the callers' interface."""

    def __init__(self, core, configuration, peer=None):
        super().__init__(core, peer)
        self.api = JobApi(
            self.service, lambda: configuration, lambda: False, SystemClock(),
            self.service.metrics,
        )  # fmt: skip

    async def call(self, method, scope, job=JOB):
        queue, _, key = scope.partition(" ")
        headers = [(b"host", b"h")] + [(b"x-credential", key.encode())] * bool(key)
        content = (body(),) if method == "POST" else (b"",)
        return await call(
            self.api, method, f"/{queue}/{job}".encode(), content, headers
        )


class World:
    """A store, and entries with one configuration."""

    def __init__(self, owner, configuration=None):
        data = {"Version": 1, "Routes": ROUTES, "Services": [{"Name": "s"}]}
        data["Tenants"] = [{"Name": n, "ApiKeys": [f"key-{n}"]} for n in "xy"]
        decoded = decode_configuration(json.dumps(data).encode(), "key" in owner)
        self.configuration = configuration or decoded.ok
        self.core = StoreCore(SystemClock().monotonic)
        self.owner = owner
        self.first = self.entry()

    def entry(self, peer=None):
        return ServingEntry(self.core, self.configuration, peer)

    async def accept(self):
        assert (await self.first.call("POST", self.owner))[0] == 200
        return self

    def reached(self, way):
        """Return an entry that learns of the job in a certain way."""
        if way == "accepted here":
            return self.first
        entry = self.entry()
        if way.endswith("states"):
            leader, revision = JobMirror(), Revision(self.core.revision)
            leader.retain_records(True)
            leader.apply_listing(self.core.list_prefix("eb/"), revision)
            entry.mirror.apply_states(leader.unfinished_states(), True, 1.0)
        if way == "stale states":
            entry.service.synced_at = float("-inf")
        if way.startswith("peer"):
            entry = self.entry(peer=entry)
            entry.store.down = True
        return entry


@pytest.mark.parametrize(
    "way", ["accepted here", "store", "states", "stale states", "peer", "peer states"]
)
@SCOPES
async def test_job_of_another_scope_is_like_one_that_does_not_exist(owner, other, way):
    """Jobs were shown and cancelled under each path, and repeats counted as accepted.

    A submission under the id is answered as one under a withdrawn id.
    """
    world = await World(owner).accept()
    entry, withdrawn = world.reached(way), world.entry()
    unknown = await withdrawn.call("DELETE", other, OTHER_JOB)
    refused = await withdrawn.call("POST", other, OTHER_JOB)
    assert (unknown[0], refused[0]) == (410, 429)
    stored = dict(world.core.items)
    for method, expected in (("GET", unknown), ("DELETE", unknown), ("POST", refused)):
        status, answer = await entry.call(method, other)
        assert (status, answer.replace(JOB.encode(), OTHER_JOB.encode())) == expected
    assert world.core.items == stored
    for method in ("POST", "GET", "DELETE"):
        assert (await entry.call(method, owner))[0] == 200
    assert cancelled_key(JOB) in world.core.items


async def test_job_that_ended_is_unknown_in_another_scope():
    """A final state is shown without a read of the store."""
    world = await World("a").accept()
    world.core.put(progress_key(JOB), msgspec.msgpack.encode(ProgressRecord(2)))
    entry = world.entry()
    assert (await entry.call("GET", "a"))[0] == 200
    entry.store.down = True
    for method in ("GET", "DELETE"):
        assert (await entry.call(method, "a"))[0] == 200
        assert (await entry.call(method, "b"))[0] == 410


@SCOPES
async def test_withdrawal_in_one_scope_refuses_no_submission_in_another(owner, other):
    world = World(owner)
    assert (await world.first.call("DELETE", other))[0] == 410
    for entry in (world.first, world.entry()):
        assert (await entry.call("POST", other))[0] == 429
    assert (await world.entry().call("POST", owner))[0] == 200


async def test_cancel_while_another_queue_accepts_the_id_harms_no_job():
    """The write of the submission arrives after the cancel has read the store."""
    world = World("a")
    entry = world.entry()
    await entry.service.withdrawals._load()
    commit = entry.store.commit

    async def accept_first(transaction):
        if accepted_key(JOB) not in world.core.items:
            await world.accept()
        return await commit(transaction)

    entry.store.commit = accept_first
    assert (await entry.call("DELETE", "b"))[0] == 410
    assert cancelled_key(JOB) not in world.core.items


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_state_of_an_earlier_job_is_not_shown_to_the_owner_of_its_id(method):
    """The mirror of an entry may hold a job whose records have been removed since."""
    world = await World("a").accept()
    world.core.delete(accepted_key(JOB))
    assert (await world.entry().call("POST", "b"))[0] == 200
    assert (await world.first.call(method, "a"))[0] == 410
    assert (await world.first.call(method, "b"))[0] == 503
    assert cancelled_key(JOB) not in world.core.items


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_job_with_an_unreadable_record_has_no_known_owner(method):
    world = World("a")
    world.core.put(accepted_key(JOB), b"\xc1")
    stored = dict(world.core.items)
    for entry in (world.first, world.reached("peer")):
        for queue in ("a", "b"):
            assert (await entry.call(method, queue))[0] == 503
    assert world.core.items == stored
