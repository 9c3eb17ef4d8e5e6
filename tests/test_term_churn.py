"""Leaders whose terms end early, overlap, or end many times a second.

Guards against tasks that start again although their end was acknowledged: an end that a
leader acknowledges without having stored it is forgotten by its worker.
"""

import asyncio

import msgspec
import pytest

from ebonyhub.cluster.leadership import LEADER_KEY
from ebonyhub.jobs.records import JobState
from ebonyhub.platform.config import WORKER_PREFIX
from ebonyhub.scheduling.controller import Controller
from ebonyhub.scheduling.scheduler import Scheduler
from ebonyhub.scheduling.worker_directory import WorkerDirectory
from standins.term_cluster import TermCluster

COMPLETION_LIMIT_SECONDS = 60.0
# Sorts behind the keys of all workers, so that their links are open when it is read.
POISONED_KEY = "servers/zz"


@pytest.fixture
def poisoned_entry(monkeypatch):
    """Let one store entry end each term by an error that no boundary foresees."""
    replace_entries = WorkerDirectory.replace_entries
    log_wait_causes = Controller._log_wait_causes

    def replace_entries_or_fail(directory, items):
        replace_entries(directory, items)
        if any(item.key == POISONED_KEY for item in items):
            raise RuntimeError("unforeseen")

    def log_wait_causes_or_fail(controller, now):
        if POISONED_KEY in controller.store.core.items:
            raise RuntimeError("unforeseen")
        log_wait_causes(controller, now)

    monkeypatch.setattr(WorkerDirectory, "replace_entries", replace_entries_or_fail)
    monkeypatch.setattr(Controller, "_log_wait_causes", log_wait_causes_or_fail)


async def complete(cluster, entry, jobs):
    """Let an entry lead until the jobs are shown as completed."""
    await cluster.begin_term(entry)
    await cluster.wait_until(
        lambda: all(cluster.state_of(entry, j) is JobState.COMPLETED for j in jobs),
        COMPLETION_LIMIT_SECONDS,
    )


async def test_end_is_not_acknowledged_by_a_term_that_failed_before_loading_jobs(
    poisoned_entry,
):
    cluster = TermCluster(entries=2, workers=2, seed=1)
    await cluster.platform.start()
    try:
        job = cluster.accept(1, task_ms=400, steps=1, width=4)
        first, second = cluster.entries
        await cluster.begin_term(first)
        await cluster.wait_until(lambda: len(cluster.history.starts) == 4, 10.0)
        cluster.core.put(POISONED_KEY, b"{}")
        await cluster.begin_term(second)
        await cluster.wait_until(lambda: len(cluster.history.done) == 4, 10.0)
        # Time for several polls by links that outlived their term.
        await asyncio.sleep(0.5)
        acknowledged = [w.fake.acknowledged_sequence for w in cluster.platform.workers]
        cluster.core.delete(POISONED_KEY)
        await complete(cluster, first, [job])
        assert cluster.history.repeated_starts() == []
        assert len(cluster.history.starts) == 4
        assert acknowledged == [0, 0]
    finally:
        await cluster.stop()


async def test_records_of_a_term_survive_the_end_of_an_earlier_one_in_the_process():
    """A slow listing of the first term ends only after the second one has loaded."""
    cluster = TermCluster(entries=2, workers=2, seed=2)
    await cluster.platform.start()
    try:
        job = cluster.accept(1, task_ms=400, steps=1, width=4)
        first, second = cluster.entries
        await cluster.begin_term(first)
        await cluster.wait_until(lambda: len(cluster.history.starts) == 4, 10.0)
        first_listing = asyncio.Event()
        list_keys = second.store.list

        async def end_first_term_while_workers_are_listed(prefix):
            result = await list_keys(prefix)
            if prefix == WORKER_PREFIX:
                await cluster.wait_until(lambda: len(cluster.history.done) == 4, 10.0)
                first_listing.set()
                await asyncio.sleep(0.05)
            return result

        async def list_slowly(prefix):
            second.store.list = end_first_term_while_workers_are_listed
            result = await list_keys(prefix)
            await first_listing.wait()
            return result

        second.store.list = list_slowly
        await cluster.begin_term(second)
        await asyncio.sleep(0.05)
        # Another entry replaces the leader, and then asks it to take over again.
        successor = await cluster.begin_term(first)
        second.update_leader(cluster.core.items[LEADER_KEY])
        first.end_term("handed_over")
        await second.take_over(successor)
        await cluster.wait_until(lambda: len(cluster.history.done) == 4, 10.0)
        first_listing.set()
        await asyncio.sleep(0.5)
        await complete(cluster, first, [job])
        assert cluster.history.repeated_starts() == []
        assert len(cluster.history.starts) == 4
    finally:
        await cluster.stop()


async def test_links_open_after_the_jobs_are_loaded_and_end_with_the_term():
    cluster = TermCluster(entries=1, workers=2, seed=1)
    await cluster.platform.start()
    try:
        (entry,) = cluster.entries
        await cluster.begin_term(entry)
        await cluster.wait_until(lambda: entry.controller is not None, 10.0)
        workers = entry.controller.workers
        await cluster.wait_until(lambda: len(workers.link_tasks) == 2, 10.0)
        tasks = list(workers.link_tasks.values())
        entry.end_term("test")
        await asyncio.wait({entry.term_task}, timeout=10.0)
        assert all(task.done() for task in tasks)
        again = WorkerDirectory(
            workers.term, workers.store, Scheduler(), cluster.clock, cluster.rng,
            workers.metrics, workers.rejections, workers.revision_clock,
            workers.on_report, workers.on_fenced, lambda: None,
        )  # fmt: skip
        workers.term.ended = False
        await again.load()
        assert len(again.scheduler.workers) == 2
        assert not again.links
    finally:
        await cluster.stop()


async def follow(cluster, entry, seconds):
    """Let an entry stand for election by itself; return the tokens of its terms."""
    tokens = set()
    parts = [entry.watch.run(), entry.follow_leader()]
    tasks = [asyncio.create_task(part) for part in parts]
    ends_at = cluster.clock.monotonic() + seconds
    while cluster.clock.monotonic() < ends_at:
        if entry.term is not None:
            tokens.add(int(entry.term.token))
        await asyncio.sleep(0.002)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return tokens


async def test_one_worker_that_refuses_each_token_ends_no_term():
    """It ended each term at once: 35 terms in 4 s."""
    cluster = TermCluster(entries=1, workers=2, seed=1)
    await cluster.platform.start()
    try:
        cluster.platform.workers[0].fake.token = 10**12
        assert len(await follow(cluster, cluster.entries[0], 4.0)) == 1
    finally:
        await cluster.stop()


async def test_entry_leads_after_a_peer_named_a_leader_that_does_not_exist():
    cluster = TermCluster(entries=1, workers=0, seed=1)
    await cluster.platform.start()
    try:
        (entry,) = cluster.entries
        following = asyncio.create_task(follow(cluster, entry, 10.0))
        await cluster.wait_until(lambda: entry.controller is not None, 5.0)
        first_token = entry.term.token
        entry.end_term("test")
        await cluster.wait_until(lambda: entry.term_task is None, 5.0)
        await cluster.wait_until(lambda: entry.watch.has_listed, 5.0)
        # After the full listing, which would set the revision right.
        record = msgspec.structs.replace(entry.record, entry="e9")
        entry.on_peer_leader(2**50, msgspec.msgpack.encode(record))
        assert max(await following) > first_token
        assert entry.controller is not None
    finally:
        await cluster.stop()


async def end_terms_at_random(cluster, terms, jobs):
    """Begin and end ``terms`` terms, several a second, while jobs arrive."""
    rng = cluster.rng
    for _ in range(terms):
        if rng.random() < 0.4:
            jobs.append(cluster.accept(len(jobs) + 1, rng.randint(50, 400), 2, 3))
        if rng.random() < 0.5:
            cluster.core.put(POISONED_KEY, b"{}")
        else:
            cluster.core.delete(POISONED_KEY)
        entry = rng.choice(cluster.entries)
        await cluster.begin_term(entry)
        await asyncio.sleep(rng.choice((0.0, 0.005, 0.02, 0.1, 0.4)))
        if rng.random() < 0.5:
            entry.end_term("test")
    cluster.core.delete(POISONED_KEY)


@pytest.mark.parametrize("seed", range(1, 4))
async def test_done_task_stays_done_while_terms_end_many_times_a_second(
    seed, poisoned_entry
):
    cluster = TermCluster(entries=3, workers=3, seed=seed)
    await cluster.platform.start()
    try:
        jobs = []
        await end_terms_at_random(cluster, 60, jobs)
        await complete(cluster, cluster.entries[0], jobs)
        assert cluster.history.repeated_starts() == []
    finally:
        await cluster.stop()
