"""Queues, services and workspaces as the operators have configured them."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from .ids import QueueName, ServiceName, WorkspaceName
from .jobs.model import AdvisorPolicy, Resources


@dataclass(frozen=True, slots=True)
class Queue:
    """A job queue; requests to its host and path prefix submit jobs to its service."""

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    # 0 is the highest priority.
    priority: int
    max_attempts: int
    # A job is on time if it ends within ``stretch`` times the duration of its critical
    # path plus ``target_seconds``.
    stretch: float
    target_seconds: float
    timeout_seconds: float
    advisor: AdvisorPolicy | None = None
    # Whether calls without an API key are served.
    allows_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A service and its pool of workers."""

    name: ServiceName
    # The workers of a standby pool are switched off and cost nothing.
    standby: bool
    # Whether workers refuse tasks beyond their capacity; if not, they start every task.
    rejects_overload: bool
    connection_limit: int


# Half of a SHA-256 digest tells keys apart, and keeps the configuration that entries
# send each other below the size limit of a message.
KEY_DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Return a digest of an API key (SHA-256, cut); the key itself is kept nowhere."""
    return hashlib.sha256(key).digest()[:KEY_DIGEST_BYTES]


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers with its API keys, its share and its limit."""

    name: WorkspaceName
    key_digests: frozenset[bytes] = frozenset()
    # 0 is the highest priority; decides who gets capacity that others lend.
    priority: int = 0
    # Share under shortage, and jobs per second to which the workspace is entitled.
    weight: float = 1.0
    # What its tasks may reserve over all workers; 0 means no limit.
    limit: Resources = field(default_factory=Resources)


@dataclass(frozen=True, slots=True)
class ConfigurationLimits:
    """Limits on the requests of callers."""

    body_bytes: int = 262_144
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration; a later version has a higher number."""

    version: int
    queues: Mapping[QueueName, Queue]
    services: Mapping[ServiceName, Service]
    limits: ConfigurationLimits = ConfigurationLimits()
    queues_by_host: Mapping[str, tuple[Queue, ...]] = field(default_factory=dict)
    # Why rows for a queue, service or workspace were left out, as texts for the log.
    rejected_rows: tuple[str, ...] = ()
    # Empty where callers need no API keys.
    workspaces: Mapping[WorkspaceName, Workspace] = field(default_factory=dict)
    workspaces_by_digest: Mapping[bytes, WorkspaceName] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``, or None.

        Host names are compared without case (RFC 9110, 4.2.3).
        """
        for queue in self.queues_by_host.get(host.lower(), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def workspace_of_key(self, key: bytes) -> WorkspaceName | None:
        """Return the workspace that holds an API key, None for an unknown key."""
        return self.workspaces_by_digest.get(digest_key(key))


def build_configuration(
    version: int,
    queues: Mapping[QueueName, Queue],
    services: Mapping[ServiceName, Service],
    limits: ConfigurationLimits,
    rejected_rows: tuple[str, ...] = (),
    workspaces: Mapping[WorkspaceName, Workspace] | None = None,
) -> Configuration:
    """Return a configuration with its routing table by host, longest prefix first.

    A key that two workspaces hold belongs to the first of them.
    """
    queues_by_host: dict[str, list[Queue]] = {}
    for queue in queues.values():
        queues_by_host.setdefault(queue.host.lower(), []).append(queue)
    routing_table = {
        host: tuple(sorted(host_queues, key=lambda queue: -len(queue.prefix)))
        for host, host_queues in queues_by_host.items()
    }
    workspaces = workspaces or {}
    workspaces_by_digest: dict[bytes, WorkspaceName] = {}
    for workspace in workspaces.values():
        for digest in workspace.key_digests:
            workspaces_by_digest.setdefault(digest, workspace.name)
    return Configuration(
        version, queues, services, limits, routing_table, rejected_rows,
        workspaces, workspaces_by_digest,
    )  # fmt: skip
