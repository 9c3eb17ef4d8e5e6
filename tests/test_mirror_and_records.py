"""Job mirror, expiry of job records, watches and log output.

Guards against an older record that replaces a newer one, wrong counts of waiting jobs,
records removed while their state must still be readable, and blocking log output.
"""

import asyncio
import os

import msgspec
import pytest

from ebonyhub.clock import SystemClock
from ebonyhub.cluster.metadata_store import Item
from ebonyhub.cluster.mirror import FINISHED_JOB_RETENTION_SECONDS, JobMirror
from ebonyhub.cluster.watches import PrefixWatch
from ebonyhub.ids import JobId, QueueName, Revision, ServiceName
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec
from ebonyhub.jobs.records import (
    JobState,
    ProgressRecord,
    accepted_key,
    cancelled_key,
    progress_key,
)
from ebonyhub.log_output import MAX_BUFFERED_LINES, BufferedOutput
from ebonyhub.scheduling.retention import MARGIN_SECONDS, expired_jobs
from standins.memory_store import MemoryStore, StoreCore

JOB = JobId("0123456789abcdef")
QUEUE = QueueName("q")
SPEC = JobSpec("t", (StepSpec(1, Resources(1, 1)),))


def accepted_item(revision=1):
    accepted = AcceptedJob(JOB, QUEUE, ServiceName("s"), 3, 0, SPEC)
    value = msgspec.msgpack.encode(accepted)
    return Item(accepted_key(JOB), value, Revision(revision))


def progress_item(state, revision, finished_ms=0):
    value = msgspec.msgpack.encode(ProgressRecord(state, finished_ms=finished_ms))
    return Item(progress_key(JOB), value, Revision(revision))


def test_older_record_does_not_replace_a_newer_one():
    mirror = JobMirror()
    mirror.apply(accepted_item())
    mirror.apply(progress_item(JobState.COMPLETED, 7))
    assert mirror.apply(progress_item(JobState.RUNNING, 5)) is None
    assert mirror.jobs[JOB].visible_state is JobState.COMPLETED


def test_records_may_arrive_in_any_order():
    mirror = JobMirror()
    mirror.apply(progress_item(JobState.RUNNING, 5))
    mirror.apply(accepted_item())
    assert mirror.jobs[JOB].visible_state is JobState.RUNNING
    assert mirror.waiting_counts.get(QUEUE, 0) == 0


def test_waiting_jobs_are_counted():
    mirror = JobMirror()
    mirror.apply(accepted_item())
    mirror.apply(accepted_item())
    assert mirror.waiting_counts[QUEUE] == 1
    mirror.apply(Item(cancelled_key(JOB), b"\x01", Revision(3)))
    assert mirror.waiting_counts[QUEUE] == 0
    mirror.apply(Item(accepted_key(JOB), None, Revision(9)))
    assert mirror.waiting_counts[QUEUE] == 0


def test_full_listing_drops_removed_jobs():
    mirror = JobMirror()
    mirror.apply(accepted_item())
    mirror.apply(progress_item(JobState.COMPLETED, 7))
    mirror.apply_listing([], Revision(20))
    assert JOB not in mirror.jobs


@pytest.mark.parametrize(
    ("state", "age_seconds", "removed"),
    [
        (JobState.COMPLETED, 100, False),
        (JobState.COMPLETED, 120 + MARGIN_SECONDS + 1, True),
        (JobState.RUNNING, 10_000, False),
    ],
)
def test_only_old_ended_jobs_are_removed(state, age_seconds, removed):
    now_ms = 10**9
    mirror = JobMirror()
    mirror.apply(accepted_item())
    mirror.apply(progress_item(state, 7, now_ms - int(age_seconds * 1000)))
    found = expired_jobs(mirror.jobs.items(), now_ms, 120)
    assert found == ([JOB] if removed else [])


async def test_watch_lists_again_after_history_is_compacted():
    core = StoreCore(SystemClock().monotonic)
    seen = []
    watch = PrefixWatch(
        MemoryStore(core), "a/", SystemClock(),
        lambda batch, full: seen.append((full, [item.key for item in batch.items])),
        0.0,
    )  # fmt: skip
    core.put("a/1", b"x")
    assert await watch.poll_once()
    core.put("a/2", b"x")
    assert await watch.poll_once()
    core.put("a/3", b"x")
    core.compact_history()
    assert await watch.poll_once()
    assert await watch.poll_once()
    assert seen == [
        (True, ["a/1"]), (False, ["a/2"]), (True, ["a/1", "a/2", "a/3"]),
    ]  # fmt: skip


async def test_watch_reports_an_unreachable_store():
    store = MemoryStore(StoreCore(SystemClock().monotonic))
    watch = PrefixWatch(store, "a/", SystemClock(), lambda *_: None, 0.0)
    store.down = True
    assert not await watch.poll_once()
    assert not watch.store_reachable
    store.down = False
    assert await watch.poll_once()
    assert watch.store_reachable


def test_log_output_never_blocks_and_counts_what_it_drops():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    output = BufferedOutput(writer)
    for number in range(MAX_BUFFERED_LINES + 7):
        output.write(f"line {number} {'x' * 40}\n")
    output.write_pending()
    assert output.unwritten_bytes
    os.set_blocking(reader, False)
    received = b""
    while output.unwritten_bytes or not received.endswith(b"\n"):
        received += os.read(reader, 65536)
        output.write_pending()
    assert received.count(b"\n") == MAX_BUFFERED_LINES + 1
    assert b"dropped=7 log lines" in received
    os.close(reader)
    os.close(writer)


def test_new_leader_has_records_of_jobs_whose_state_it_knew():
    """Guards against a leader that starts tasks again that have already ended."""
    mirror = JobMirror()
    mirror.apply(accepted_item())
    mirror.apply(progress_item(JobState.RUNNING, 7))
    assert mirror.jobs[JOB].decode_progress() is None
    mirror.retain_records(True)
    mirror.apply_listing(
        [accepted_item(), progress_item(JobState.RUNNING, 7)], Revision(9)
    )
    assert mirror.jobs[JOB].accepted is not None
    assert mirror.jobs[JOB].decode_progress().state is JobState.RUNNING
    mirror.retain_records(False)
    assert mirror.jobs[JOB].accepted is None
    mirror.retain_records(True)
    mirror.apply_listing([progress_item(JobState.RUNNING, 7)], Revision(9))
    assert mirror.jobs[JOB].decode_progress() is not None


@pytest.mark.parametrize(
    ("received_states", "state", "waiting"),
    [
        ([], JobState.QUEUED, 1),
        ([JobState.RUNNING], JobState.RUNNING, 0),
        ([JobState.RUNNING, JobState.QUEUED], JobState.RUNNING, 0),
        ([JobState.COMPLETED, JobState.RUNNING], JobState.COMPLETED, 0),
        ([JobState.CANCELLED], JobState.CANCELLED, 0),
    ],
)
def test_states_from_the_leader_only_advance(received_states, state, waiting):
    mirror = JobMirror()
    mirror.apply_states([(JOB, QUEUE, False, 0, "")], False, 0.0)
    for each in received_states:
        mirror.apply_states([(JOB, QUEUE, False, int(each), "")], False, 1.0)
    assert mirror.jobs[JOB].visible_state is state
    assert mirror.waiting_counts[QUEUE] == waiting


def test_full_states_drop_unfinished_jobs_that_are_not_listed():
    mirror = JobMirror()
    mirror.apply_states([(JOB, QUEUE, False, 1, "")], False, 0.0)
    mirror.apply_states([], True, 1.0)
    assert JOB not in mirror.jobs


def test_finished_jobs_are_dropped_after_the_retention_time():
    mirror = JobMirror()
    mirror.apply_states([(JOB, QUEUE, False, 2, "")], False, 0.0)
    mirror.apply_states([], False, FINISHED_JOB_RETENTION_SECONDS - 1)
    assert JOB in mirror.jobs
    mirror.apply_states([], False, FINISHED_JOB_RETENTION_SECONDS + 1)
    assert JOB not in mirror.jobs


@pytest.mark.parametrize("learned", ["states", "read", "cancelled", "led"])
def test_every_finished_job_is_dropped(learned):
    """Guards against memory that grows with each job that callers read."""
    mirror = JobMirror()
    mirror.apply_states([], False, 0.0)
    match learned:
        case "states":
            mirror.apply_states([(JOB, QUEUE, False, 2, "")], False, 0.0)
        case "read":
            mirror.apply(accepted_item())
            mirror.apply(progress_item(JobState.COMPLETED, 7))
        case "cancelled":
            mirror.apply(accepted_item())
            mirror.apply(Item(cancelled_key(JOB), b"\x01", Revision(3)))
            mirror.apply_states([(JOB, QUEUE, False, 4, "")], False, 0.0)
        case "led":
            mirror.retain_records(True)
            mirror.apply(accepted_item())
            mirror.apply(progress_item(JobState.FAILED, 7))
            mirror.retain_records(False)
    assert JOB in mirror.jobs
    mirror.apply_states([], False, FINISHED_JOB_RETENTION_SECONDS + 1)
    assert JOB not in mirror.jobs
    assert not mirror.finished_jobs


def test_leader_keeps_finished_jobs_until_their_records_are_removed():
    mirror = JobMirror()
    mirror.apply_states([(JOB, QUEUE, False, 2, "")], False, 0.0)
    mirror.retain_records(True)
    assert not mirror.finished_jobs


def test_submission_record_alone_does_not_confirm_the_state():
    """Guards against a finished job reported as queued after an outdated listing."""
    mirror = JobMirror()
    mirror.apply(accepted_item())
    assert mirror.confirmed_state(JOB) is None
    mirror.apply_states([(JOB, QUEUE, False, 0, "")], False, 0.0)
    assert mirror.confirmed_state(JOB) is JobState.QUEUED
    mirror.apply_states([(JOB, QUEUE, False, 2, "")], False, 0.0)
    assert mirror.confirmed_state(JOB) is JobState.COMPLETED
    mirror.remove(JOB)
    mirror.apply_listing([accepted_item()], Revision(9))
    assert mirror.confirmed_state(JOB) is None
    mirror.apply(progress_item(JobState.COMPLETED, 7))
    assert mirror.confirmed_state(JOB) is JobState.COMPLETED


def test_only_changed_states_are_taken():
    mirror = JobMirror()
    mirror.retain_records(True)
    mirror.apply(accepted_item())
    assert mirror.take_changes() == [(JOB, QUEUE, False, 0, "")]
    mirror.apply(progress_item(JobState.RUNNING, 5))
    mirror.apply(progress_item(JobState.RUNNING, 6))
    assert mirror.take_changes() == [(JOB, QUEUE, False, 1, "")]
    mirror.apply(progress_item(JobState.RUNNING, 7))
    assert mirror.take_changes() == []
    assert mirror.unfinished_states() == [(JOB, QUEUE, False, 1, "")]


async def test_watch_that_is_not_needed_makes_no_call():
    store = MemoryStore(StoreCore(lambda: 0.0))
    needed = False
    batches = []
    watch = PrefixWatch(
        store, "a/", SystemClock(), lambda batch, full: batches.append(full), 0.05,
        is_needed=lambda: needed,
    )  # fmt: skip
    running = asyncio.create_task(watch.run())
    await asyncio.sleep(0.25)
    assert batches == []
    watch.advance_to(Revision(5))
    needed = True
    await asyncio.sleep(0.25)
    running.cancel()
    # The watch continues from the given revision, so no batch is a full listing.
    assert batches
    assert not any(batches)
