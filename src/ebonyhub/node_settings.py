"""What a process learns about its machine and the platform."""

from dataclasses import dataclass

from .ids import DataCentre, EntryId


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one entry process on the platform; addresses are ``IP:port``."""

    entry: EntryId
    ip: str
    data_centre: DataCentre
    caller_address: str
    ready_address: str
    # Ports that are free for streams between entries.
    internal_ports: tuple[int, int]
    store_address: str
    cloud_address: str
    advisor_address: str
    # Seconds for which the state of a finished job must be known.
    status_retention: float

    @property
    def peer_port(self) -> int:
        """Return the port of the peer listener, the same on every entry."""
        return self.internal_ports[0]
