"""Jobs whose stored records cannot be read."""

from dataclasses import dataclass

from ..ids import NO_WORKSPACE, WorkspaceName
from ..jobs.model import AcceptedJob, JobSpec


@dataclass(frozen=True, slots=True)
class UnreadableJob:
    """A job whose progress is not known; ``spec`` is None if its submission is not."""

    # Its runs are stopped then.
    cancelled: bool
    spec: JobSpec | None = None
    # Empty also if the submission is not known.
    workspace: WorkspaceName = NO_WORKSPACE

    @classmethod
    def of(cls, accepted: AcceptedJob | None, cancelled: bool) -> "UnreadableJob":
        """Return what is known of a job; ``accepted`` is None without a submission."""
        if accepted is None:
            return cls(cancelled)
        return cls(cancelled, accepted.spec, accepted.workspace)
