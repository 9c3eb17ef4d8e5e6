"""The operators' configuration of queues and services in force."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .ids import QueueName, ServiceName


@dataclass(frozen=True, slots=True)
class AdvisorPolicy:
    """How the placement advisor of a queue answers; durations in seconds."""

    decision_seconds: float
    seconds_per_worker: float
    validity_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue: requests that match host and prefix submit jobs to a service."""

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    # 0 is served first.
    priority: int
    max_attempts: int
    # A job is on time within stretch times its longest chain plus the target.
    stretch: float
    target_seconds: float
    timeout_seconds: float
    advisor: AdvisorPolicy | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers."""

    name: ServiceName
    # Workers of a standby pool are off and cost nothing.
    standby: bool
    # Workers refuse what exceeds their capacity; others start whatever they are told.
    rejects_overload: bool
    connection_limit: int


@dataclass(frozen=True, slots=True)
class ConfigurationLimits:
    """Limits on callers' requests; duration in seconds."""

    body_bytes: int = 262_144
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration; versions only rise."""

    version: int
    queues: Mapping[QueueName, Queue]
    services: Mapping[ServiceName, Service]
    limits: ConfigurationLimits = ConfigurationLimits()
    queues_by_host: Mapping[str, tuple[Queue, ...]] = field(default_factory=dict)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that ``path`` begins with."""
        for queue in self.queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def build_configuration(
    version: int,
    queues: Mapping[QueueName, Queue],
    services: Mapping[ServiceName, Service],
    limits: ConfigurationLimits,
) -> Configuration:
    """Return a configuration with its routing table, longest prefix first."""
    queues_by_host: dict[str, list[Queue]] = {}
    for queue in queues.values():
        queues_by_host.setdefault(queue.host, []).append(queue)
    table = {
        host: tuple(sorted(rows, key=lambda queue: -len(queue.prefix)))
        for host, rows in queues_by_host.items()
    }
    return Configuration(version, queues, services, limits, table)
