"""Scopes of the soak's callers: queues, workspaces and their API keys."""

import random
from dataclasses import dataclass, field
from enum import Enum

from ebonyhub.ids import WorkspaceName
from ebonyhub.jobs.model import Resources
from standins.platform_documents import (
    PREFIX,
    SECOND_PREFIX,
    PlatformOptions,
    WorkspaceRow,
)

from .impairments import CONFIG_APPLY_SECONDS, MAX_STRETCH_SECONDS
from .workload import DrawnJob, JobKind

REVOKE_MS = 5000
NO_WORKSPACE = WorkspaceName("")
# Name, weight, limit and share of the jobs of each workspace. The limits suffice for
# the work that the load brings to them on average. Long-running jobs, which never free
# their capacity, belong to the first, which has no limit.
WORKSPACES = (
    ("north", 4.0, Resources(), 0.6),
    ("south", 2.0, Resources(8000, 0, 0), 0.25),
    ("east", 1.0, Resources(5000, 4000, 0), 0.15),
)


class Play(Enum):
    """Which scopes a run has."""

    ONE_QUEUE = "one-queue"
    QUEUES = "queues"
    WORKSPACES = "workspaces"


# Half of the seeds have workspaces, since deployments exist with and without them.
PLAY_WEIGHTS = {Play.ONE_QUEUE: 1, Play.QUEUES: 1, Play.WORKSPACES: 2}


@dataclass(frozen=True, slots=True)
class CallerScope:
    """Where and as whom a caller calls."""

    prefix: str = PREFIX
    workspace: WorkspaceName = NO_WORKSPACE
    key: str | None = None


@dataclass
class ScopePlan:
    """The scopes of a run and the scope of each job; draws from its own generator."""

    play: Play = Play.ONE_QUEUE
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    options: PlatformOptions = field(default_factory=PlatformOptions)
    job_scopes: dict[str, CallerScope] = field(default_factory=dict)

    def of(self, job: str) -> CallerScope:
        """Return the scope of a job; the first one of all for a job without one."""
        return self.job_scopes.get(job, self.scopes()[0])

    def scopes(self) -> list[CallerScope]:
        """Return all scopes, with the key of each workspace that is never removed."""
        callers: list[tuple[WorkspaceName, str | None]] = [
            (WorkspaceName(row.name), row.keys[0]) for row in self.options.workspaces
        ]
        prefixes = [PREFIX, SECOND_PREFIX][: 1 + self.options.has_second_queue]
        return [
            CallerScope(prefix, *caller)
            for prefix in prefixes
            for caller in callers or [(NO_WORKSPACE, None)]
        ]

    def assign(self, drawn: DrawnJob) -> CallerScope:
        """Draw the scope of a new job."""
        workspaces = {name: share for name, _, _, share in WORKSPACES}
        scopes = self.scopes()
        if drawn.kind is JobKind.LONG_RUNNING:
            scopes = [
                s for s in scopes if s.workspace in (NO_WORKSPACE, WORKSPACES[0][0])
            ]
        shares = [workspaces.get(scope.workspace, 1.0) for scope in scopes]
        scope = self.rng.choices(scopes, shares)[0]
        self.job_scopes[drawn.job] = scope
        return scope

    def draw_other(self, rng: random.Random, scope: CallerScope) -> CallerScope:
        """Draw a scope in which the jobs of this one are unknown."""
        return rng.choice([other for other in self.scopes() if other != scope])


def draw_play(seed: int) -> Play:
    """Draw which scopes a seed has."""
    rng = random.Random(f"{seed}/play")
    return rng.choices(list(PLAY_WEIGHTS), list(PLAY_WEIGHTS.values()))[0]


def plan_scopes(seed: int, play: Play) -> ScopePlan:
    """Return the scopes of a run, and what its platform must have for them."""
    rng = random.Random(f"{seed}/scopes")
    if play is Play.ONE_QUEUE:
        return ScopePlan(play, rng)
    if play is Play.QUEUES:
        return ScopePlan(play, rng, PlatformOptions(has_second_queue=True))
    rows = tuple(
        WorkspaceRow(name, (draw_key(rng), draw_key(rng)), weight, limit)
        for name, weight, limit, _ in WORKSPACES
    )
    bounds = {
        "StrictRevocation": rng.random() < 0.5,
        "RevokeMs": REVOKE_MS,
        "ConfigApplyMs": CONFIG_APPLY_SECONDS * 1000,
        "MaxStretchMs": MAX_STRETCH_SECONDS * 1000,
    }
    options = PlatformOptions(True, rows, ("tenants", "quota"), bounds)
    return ScopePlan(play, rng, options)


def draw_key(rng: random.Random) -> str:
    """Draw an API key that occurs in no other text."""
    return f"soak-key-{rng.getrandbits(96):024x}"
