"""Faults found in a review of API keys and the configuration on every entry."""

import asyncio
import json

import msgspec
import pytest
from expression import Error, Ok

from ebonyhub.cluster.leadership import LEADER_KEY, LeaderRecord
from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import JobMirror
from ebonyhub.cluster.peers import MessageKind, PeerFailure
from ebonyhub.entry.process import PlatformEntry
from ebonyhub.entry.workspaces import replica as replica_module
from ebonyhub.ids import EntryId, Revision
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.platform.config import decode_configuration
from ebonyhub.platform.configuration_rows import MAX_DOCUMENT_BYTES
from ebonyhub.platform.tenants import digest_keys
from tests.test_api_keys import CONFIGURATION, build_configuration
from tests.test_configuration_replica import (
    World as Replicas,
)
from tests.test_configuration_replica import (  # noqa: F401
    document,
    entries,
    settings,
)
from tests.test_foreign_calls import body, call
from tests.test_job_scopes import JOB, World
from tests.test_peers import wait_until


async def test_key_that_is_removed_while_the_body_arrives_stores_nothing():
    """The body may arrive for as long as the caller likes after the key's removal."""
    world = World("a key-x", CONFIGURATION)
    entry = world.first
    changed = build_configuration(x=["key-new"])

    def chunks():
        content = body()
        yield content[:5]
        entry.api.configuration = lambda: changed
        yield content[5:]

    headers = [(b"host", b"h"), (b"x-credential", b"key-x")]
    status, _ = await call(entry.api, "POST", f"/a/{JOB}".encode(), chunks(), headers)
    assert (status, accepted_key(JOB) in world.core.items) == (401, False)


async def test_document_with_short_keys_reaches_an_entry_without_the_store(entries):  # noqa: F811
    """Digests are longer than short keys, so a message exceeds the limit of peers."""
    first, second = entries.first, entries.second
    first.replica.store_checked_at = first.clock.monotonic
    first.replica.apply_stored(document(1))
    second.leadership.leader_stream = stream = await entries.connect()
    entries.start(stream.run(second))
    await wait_until(lambda: second.configuration is not None)
    tenants = [
        {"Name": f"w{w}", "ApiKeys": [f"{w * 5000 + k:05x}" for k in range(5000)]}
        for w in range(20)
    ]
    value = document(2, Tenants=tenants)
    value = json.dumps(json.loads(value), separators=(",", ":")).encode()
    assert len(value) <= MAX_DOCUMENT_BYTES
    first.replica.apply_stored(value)
    assert first.configuration.version == 2
    await wait_until(lambda: second.configuration.version == 2)
    assert stream.is_open


# Simulated seconds are this much faster than real ones.
SPEED = 50.0


class SharedLink:
    """The link of one entry, whose streams get equal parts of its rate."""

    def __init__(self, bytes_per_second):
        self.rate, self.sending = bytes_per_second * SPEED, {}
        self.sent = 0

    async def run(self):
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(0.001)
            now = loop.time()
            budget, last = (now - last) * self.rate, now
            busy = [queue for queue in self.sending.values() if queue]
            for queue in busy:
                part = budget / len(busy)
                self.sent += part
                queue[0][0] -= part
                if queue[0][0] <= 0:
                    queue.pop(0)[1].set()


class LinkedStream:
    """A stream whose replies wait in the send buffer behind earlier ones."""

    def __init__(self, peer, link):
        self.peer, self.link, self.transfer, self.calls = peer, link, None, 0
        link.sending[self] = []

    async def call(self, method, argument, timeout_seconds):
        self.calls += 1
        status, document = self.peer.answer_fetch()
        done = asyncio.Event()
        self.link.sending[self].append([len(document), done])
        try:
            async with asyncio.timeout(timeout_seconds / SPEED):
                await done.wait()
        except TimeoutError:
            return Error(PeerFailure.UNKNOWN)
        return Ok((status, document))


@pytest.mark.parametrize("fetching", [2, 5, 31])
async def test_document_of_1_mb_reaches_all_entries_over_a_link_of_5_mbit(
    fetching, monkeypatch
):
    """A reply after the time-out is discarded and sent again, for ever."""
    monkeypatch.setattr(replica_module, "FETCH_DELAY_SECONDS", 0.25 / SPEED)
    world = Replicas(1, *[1] * fetching)
    world.store(0, document(2, Text="x" * 1_000_000))
    link = SharedLink(5e6 / 8)
    running = asyncio.create_task(link.run())
    streams = [LinkedStream(world.replicas[0], link) for _ in range(fetching)]
    # Twice the time that the documents need altogether, and at least 10 s.
    seconds = max(10.0, 2 * fetching * 1.6)
    for _ in range(int(seconds / 0.4)):
        for number, stream in enumerate(streams, 1):
            world.replicas[number].on_announcement(stream, 2, 0)
        await asyncio.sleep(0.4 / SPEED)
    running.cancel()
    reached = sum(world.version(n) == 2 for n in range(1, fetching + 1))
    fetches = sum(stream.calls for stream in streams)
    assert (reached, fetches) == (fetching, fetching), f"sent {link.sent / 1e6:.1f} MB"


async def test_no_entry_fetches_while_its_store_calls_succeed():
    """96 entries on slow links would all fetch what their store is still sending."""
    world = Replicas(1, 1)
    world.store(0, document(2))
    world.replicas[1].store_answers = lambda: True
    calls = await world.announce(0, 1)
    assert calls == 0


async def test_without_workspaces_leader_is_not_broadcast_on_open_streams(monkeypatch):
    """The message is for entries that learn of configurations from peers."""
    entry = PlatformEntry(settings(has_workspaces=False), 1)
    sent = []
    monkeypatch.setattr(entry.leadership.peer_server, "broadcast", sent.append)
    record = LeaderRecord(EntryId("f"), "127.0.0.1:9", 5)
    entry.leadership.update_leader(
        Item(LEADER_KEY, msgspec.msgpack.encode(record), Revision(9))
    )
    assert [m for m in sent if m[0] == MessageKind.LEADER] == []


async def test_without_workspaces_no_other_entry_is_asked_for_the_leader():
    """The next campaign began up to 1 s after the store had recovered."""
    entry = PlatformEntry(settings(has_workspaces=False), 1)
    manager = entry.leadership
    asked = []

    async def any_peer():
        asked.append(1)

    async def refused(address):
        return Error(ConnectionRefusedError("x"))

    async def campaign(revision):
        return None

    manager.connect_to_any_peer, manager._connect = any_peer, refused
    manager.campaign = campaign
    record = LeaderRecord(EntryId("f"), "127.0.0.1:9", 5)
    manager.update_leader(Item(LEADER_KEY, msgspec.msgpack.encode(record), Revision(9)))
    entry.store.last_failure_at = manager.clock.monotonic() + 100.0
    await manager.connect_to_leader(manager.leader)
    assert asked == []


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_ended_job_of_another_scope_does_not_hide_the_next_one(method):
    """The mirror holds an ended job for a minute, also after its records are gone."""
    world = await World("a").accept()
    world.core.put(progress_key(JOB), msgspec.msgpack.encode(ProgressRecord(2)))
    entry = world.entry()
    assert (await entry.call("GET", "a"))[0] == 200
    for key in (accepted_key(JOB), progress_key(JOB)):
        world.core.delete(key)
    assert (await world.entry().call("POST", "b"))[0] == 200
    leader, revision = JobMirror(), Revision(world.core.revision)
    leader.retain_records(True)
    leader.apply_listing(world.core.list_prefix("eb/"), revision)
    entry.mirror.apply_states(leader.unfinished_states(), True, 1.0)
    assert (await entry.call(method, "b"))[0] == 200
    assert (cancelled_key(JOB) in world.core.items) == (method == "DELETE")


def test_new_leader_does_not_take_an_earlier_job_for_the_present_one():
    """A follower still holds the ended job of another scope under the same id."""
    mirror = JobMirror()
    mirror.apply_states([(JOB, "a", False, 0, "x")], False, 1.0)
    mirror.apply(Item(cancelled_key(JOB), b"\x01", Revision(5)))
    spec = JobSpec("t", (StepSpec(1, Resources(1, 1)),))
    value = msgspec.msgpack.encode(AcceptedJob(JOB, "a", "s", 1, 5, spec, "y"))
    mirror.retain_records(True)
    mirror.apply_listing([Item(accepted_key(JOB), value, Revision(9))], Revision(10))
    job = mirror.jobs[JOB]
    assert (job.scope.workspace, job.cancelled, int(job.visible_state)) == (
        "y", False, 0,
    )  # fmt: skip


def test_document_for_peers_has_only_the_fields_that_are_read():
    """A field that is not read may hold keys, for instance of a disabled list."""
    value = document(2, OldTenants=[{"Name": "o", "ApiKeys": ["key-old"]}])
    workspaces = decode_configuration(value, True).ok.workspaces
    assert b"key-" not in digest_keys(value, workspaces)
