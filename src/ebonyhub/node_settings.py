"""What a process learns about its machine and the platform."""

from dataclasses import dataclass

from .ids import DataCentre, EntryId

# Mbit/s that a leader uses while it keeps one core busy with orders and reports.
LINK_MBPS_PER_CORE = 25.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one entry process on the platform; addresses are ``IP:port``."""

    entry: EntryId
    ip: str
    data_centre: DataCentre
    caller_address: str
    readiness_address: str
    # Ports that are free for streams between entries.
    internal_ports: tuple[int, int]
    store_address: str
    cloud_address: str
    advisor_address: str
    # Seconds for which the state of a finished job must be known.
    status_retention_seconds: float
    # Cores of usual speed, and Mbit/s of the VM's own link.
    cores: float
    link_mbps: float

    @property
    def peer_port(self) -> int:
        """Return the port of the peer listener, the same on every entry."""
        return self.internal_ports[0]

    @property
    def effective_cores(self) -> float:
        """Return the cores that a leader could use; a slow link makes them fewer."""
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)
