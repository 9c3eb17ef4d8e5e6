"""Loads the records of all jobs at the start of a leader's term."""

import asyncio

from ..cluster.leadership import Term
from ..cluster.metadata_store import MetadataStore
from ..cluster.mirror import JobMirror
from ..events import Event, log_event
from ..jobs.records import JOB_PREFIX, PROGRESS_PREFIX

RETRY_SECONDS = 0.1


async def load_job_records(store: MetadataStore, mirror: JobMirror, term: Term) -> None:
    """Load all job records into the mirror; retries while the term lasts."""
    while not term.ended:
        job_listing = await store.list(JOB_PREFIX)
        progress_listing = await store.list(PROGRESS_PREFIX)
        if job_listing.is_ok() and progress_listing.is_ok():
            mirror.listing_complete = (
                job_listing.ok.complete and progress_listing.ok.complete
            )
            changed = mirror.apply_listing(
                [*job_listing.ok.items, *progress_listing.ok.items],
                job_listing.ok.revision,
            )
            log_event(
                Event.JOB_RECORDS_LOADED, token=term.token, jobs=len(mirror.jobs),
                changed=len(changed),
            )  # fmt: skip
            return
        await asyncio.sleep(RETRY_SECONDS)
