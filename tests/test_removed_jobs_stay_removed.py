"""Records of finished jobs that arrive at the leader after their removal.

Guards against a finished job that starts again. Its submission record was read before
the removal: by another entry that answers a caller and sends it to the leader, or by a
listing of the leader's own watch after the store has dropped its history.
"""

import random

import msgspec
import pytest

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.leadership import LeaderElection, LeaderRecord
from ebonyhub.cluster.metadata_store import Batch
from ebonyhub.entry.process import PlatformEntry
from ebonyhub.ids import DataCentre, EntryId, JobId, QueueName, Revision, ServiceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    accepted_key,
    progress_key,
)
from ebonyhub.node_settings import NodeSettings
from ebonyhub.scheduling.controller import Controller
from standins.memory_store import MemoryStore, StoreCore

JOB = JobId("0123456789abcdef")
SETTINGS = NodeSettings(
    EntryId("e"), "127.0.0.1", DataCentre("a"), "127.0.0.1:1", "127.0.0.1:2",
    (7060, 7075), "127.0.0.1:3", "", "", 120.0, 2.0, 1000.0,
)  # fmt: skip


@pytest.mark.parametrize("read_by", ["peer", "listing"])
async def test_record_that_was_read_before_the_removal_starts_nothing(read_by):
    clock = SystemClock()
    core = StoreCore(clock.monotonic)
    store = MemoryStore(core)
    spec = JobSpec("t", (StepSpec(1, Resources(1, 1)),))
    accepted = AcceptedJob(JOB, QueueName("q"), ServiceName("s"), 3, 0, spec)
    core.put(accepted_key(JOB), msgspec.msgpack.encode(accepted))
    finished = ProgressRecord(JobState.COMPLETED, next_occurrence=1, finished_ms=1)
    core.put(progress_key(JOB), msgspec.msgpack.encode(finished))
    entry = PlatformEntry(SETTINGS, seed=1)
    entry.mirror.retain_records(True)
    entry.mirror.apply_listing(core.list_prefix("eb/"), Revision(core.revision))
    record = LeaderRecord(EntryId("e"), "127.0.0.1:4", 1)
    term = (await LeaderElection(store, clock, record).acquire()).ok
    controller = Controller(
        term, store, entry.mirror, None, clock, random.Random(1), entry.metrics, None,
        120.0, 10.0, lambda: None,
    )  # fmt: skip
    entry.leadership.term, entry.leadership.controller = term, controller
    controller.handle_job_change(JOB)
    assert not controller.scheduler.active
    # The record has been read, and the answer is still under way.
    read, listed_at = core.items[accepted_key(JOB)], Revision(core.revision)
    assert await controller.retention._remove([JOB])
    assert accepted_key(JOB) not in core.items
    if read_by == "peer":
        entry.on_peer_records([(read.key, int(read.revision), read.value)])
    else:
        entry.on_job_batch(Batch([read], listed_at), full=True)
    assert not controller.scheduler.active
