"""What commits write of the scheduler's jobs."""

from dataclasses import dataclass, field

import msgspec

from ..ids import JobId, Revision
from ..jobs.progress_parts import encode_head, encode_part, part_key
from ..jobs.records import progress_key
from .runs import Job

# Longest value that the store takes, in bytes, with a margin below its limit.
MAX_VALUE_BYTES = 1_000_000
# Time until the next commit of a long record, in seconds for each byte: encoding and
# sending it then take a small part of the leader's time.
SECONDS_PER_BYTE = 2e-7
MAX_UNPACED_BYTES = 32_768


@dataclass(frozen=True, slots=True)
class JobWrites:
    """Values of one job's record, all of which belong to one transaction."""

    job: Job
    # Version up to which all changes are stored once these values are.
    version: int
    values: dict[str, bytes]
    # Parts among the values, with the versions of their first changes.
    parts: dict[int, int] = field(default_factory=dict)

    @property
    def seconds_until_next(self) -> float:
        """Return how long the next commit of the job has to wait."""
        size = sum(map(len, self.values.values()))
        return size * SECONDS_PER_BYTE if size > MAX_UNPACED_BYTES else 0.0

    def withdraw(self) -> None:
        """Note the parts as changed again, since they were not stored."""
        if not self.job.is_final:
            for part, version in self.parts.items():
                known = self.job.changed_parts.get(part, version)
                self.job.changed_parts[part] = min(known, version)


def encode_writes(job: Job, most: int) -> JobWrites:
    """Encode the changes of a job in at most ``most`` values, the oldest first.

    Raises an error of msgspec, or ValueError if a value is too long for the store.
    """
    key = progress_key(job.job_id)
    if not job.layout.is_split:
        value = _bounded(msgspec.msgpack.encode(job.progress), key)
        return JobWrites(job, job.version, {key: value})
    by_age = sorted(job.changed_parts.items(), key=lambda change: change[1])
    chosen, left = dict(by_age[: most - 1]), by_age[most - 1 :]
    values = {key: _bounded(encode_head(job.progress), key)}
    for part in chosen:
        name = part_key(job.job_id, part)
        values[name] = _bounded(encode_part(job.progress, job.layout, part), name)
    for part in chosen:
        del job.changed_parts[part]
    version = min(left[0][1] - 1, job.version) if left else job.version
    return JobWrites(job, version, values, chosen)


def _bounded(value: bytes, key: str) -> bytes:
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"{key} has {len(value)} bytes")
    return value


class StoredParts:
    """The parts of records in the store, and those that may be removed."""

    def __init__(self) -> None:
        self.by_job: dict[JobId, dict[int, Revision]] = {}
        self.outdated: dict[str, None] = {}

    def add(self, job_id: JobId, part: int, revision: Revision) -> None:
        """Note a part that is stored."""
        self.by_job.setdefault(job_id, {})[part] = revision

    def revisions(self, job_id: JobId) -> dict[int, Revision]:
        """Return the revisions of a job's parts."""
        return self.by_job.get(job_id, {})

    def drop_outdated(self, job: Job) -> None:
        """Let the parts be removed of which all occurrences are complete.

        To be called once the head that says so is stored.
        """
        progress = job.progress
        known = self.by_job.get(job.job_id, {})
        for part in [
            part
            for part in known
            if progress.state.is_final
            or job.layout.last_occurrence(part) < progress.next_occurrence
        ]:
            del known[part]
            self.outdated[part_key(job.job_id, part)] = None
        if not known:
            self.by_job.pop(job.job_id, None)
