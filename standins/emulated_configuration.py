"""Configuration of the emulator, which the leader may learn of after a delay."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ebonyhub.configuration import (
    Configuration,
    ConfigurationLimits,
    Queue,
    Service,
    Workspace,
    build_configuration,
)
from ebonyhub.ids import QueueName, ServiceName, WorkspaceName
from ebonyhub.jobs.model import Resources

QUEUE = QueueName("queue")
SERVICE = ServiceName("service")
MAX_ATTEMPTS = 3


def one_queue_configuration(
    version: int = 1, workspaces: Iterable[Workspace] = ()
) -> Configuration:
    """Return a configuration whose only queue and service are QUEUE and SERVICE."""
    queue = Queue(
        name=QUEUE,
        host="h",
        prefix="/p/",
        service=SERVICE,
        priority=0,
        max_attempts=MAX_ATTEMPTS,
        stretch=2.0,
        target_seconds=0.5,
        timeout_seconds=3.0,
    )
    service = Service(SERVICE, False, False, 64)
    return build_configuration(
        version, {QUEUE: queue}, {SERVICE: service}, ConfigurationLimits(),
        workspaces={workspace.name: workspace for workspace in workspaces},
    )  # fmt: skip


@dataclass
class EmulatedConfiguration:
    """The newest configuration, and the one that the entries know."""

    newest: Configuration = field(default_factory=one_queue_configuration)
    known: Configuration = field(default_factory=one_queue_configuration)

    def set_limit(self, name: WorkspaceName, limit: Resources) -> Configuration:
        """Return the new version, in which a workspace has this limit."""
        rows = dict(self.newest.workspaces)
        rows[name] = replace(rows.get(name, Workspace(name)), limit=limit)
        version = self.newest.version + 1
        self.newest = one_queue_configuration(version, rows.values())
        return self.newest

    def announce(self, configuration: Configuration) -> bool:
        """Make a version known; False if a newer one is known already."""
        is_newer = configuration.version > self.known.version
        if is_newer:
            self.known = configuration
        return is_newer

    def limit_of(self, name: WorkspaceName) -> Resources:
        """Return the limit that the entries know, none without a workspace."""
        workspace = self.known.workspaces.get(name)
        return workspace.limit if workspace else Resources()
