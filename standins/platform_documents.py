"""Configuration and settings of the stand-in platform, in its wire format."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ebonyhub.jobs.model import Resources

HOST_NAME = "plans.example"
PREFIX = "/plans/"
SECOND_PREFIX = "/reports/"


@dataclass(frozen=True, slots=True)
class WorkspaceRow:
    """A workspace of the configuration."""

    name: str
    keys: tuple[str, ...]
    weight: float = 1.0
    limit: Resources = field(default_factory=Resources)
    priority: int = 0

    def with_key(self, key: str) -> "WorkspaceRow":
        """Return the workspace with one more key."""
        return replace(self, keys=(*self.keys, key))

    def without_key(self, key: str) -> "WorkspaceRow":
        """Return the workspace without one of its keys."""
        return replace(self, keys=tuple(k for k in self.keys if k != key))

    def to_wire(self) -> dict[str, Any]:
        """Return the row in the wire format."""
        limit = self.limit
        return {
            "Name": self.name,
            "ApiKeys": list(self.keys),
            "Priority": self.priority,
            "Weight": self.weight,
            "Maximum": {
                "Cpu": limit.cpu,
                "MemMb": limit.memory,
                "Gpu": limit.accelerators,
            },
        }


@dataclass(frozen=True, slots=True)
class PlatformOptions:
    """What a platform has beyond one queue that needs no keys."""

    has_second_queue: bool = False
    workspaces: tuple[WorkspaceRow, ...] = ()
    # Words of the settings' ``Contracts``, and more of their ``Bounds``.
    contracts: tuple[str, ...] = ()
    bounds: Mapping[str, object] = field(default_factory=dict)


def demo_configuration(
    has_second_queue: bool = False, workspaces: Iterable[WorkspaceRow] = ()
) -> dict[str, Any]:
    """Return a configuration with one queue, in the platform's wire format."""
    route = {
        "Name": "r-plans",
        "Host": HOST_NAME,
        "PathPrefix": PREFIX,
        "Kind": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 600,
        "Priority": 0,
        "Service": "plans",
        "MaxAttempts": 3,
        "Stretch": 2.0,
    }
    routes = [route]
    if has_second_queue:
        routes.append({**route, "Name": "r-reports", "PathPrefix": SECOND_PREFIX})
    service = {"Name": "plans", "MaxConnections": 64, "Standby": False}
    rows = [workspace.to_wire() for workspace in workspaces]
    return {
        "Version": 1, "Routes": routes, "Services": [service], "Limits": {},
        **({"Tenants": rows} if rows else {}),
    }  # fmt: skip


def node_settings_text(
    name: str,
    ip: str,
    store: str,
    ports: tuple[int, int],
    options: PlatformOptions | None = None,
) -> str:
    """Return the text of an entry's settings file in the platform's format."""
    options = options or PlatformOptions()
    contracts = {"Contracts": list(options.contracts)} if options.contracts else {}
    return json.dumps(
        {
            "Node": name,
            "Ip": ip,
            "Zone": "a",
            "Listen": {"Front": f"{ip}:8624", "Ready": f"{ip}:8622"},
            "InternalPortRange": list(ports),
            "Limits": {"CpuShare": 0.5, "Cores": 2, "MemoryMb": 300},
            "Bounds": {"status_s": 120, **options.bounds},
            "platform": {"Address": store},
            **contracts,
        }
    )
