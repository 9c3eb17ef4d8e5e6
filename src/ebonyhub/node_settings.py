"""What a process learns about its machine and the platform's limits."""

from dataclasses import dataclass

from .ids import DataCentre, EntryId


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the platform; durations in seconds."""

    # A worker shortens any lease to this.
    max_hold: float
    # A stopped task is gone after this.
    stop_timeout: float
    # Members of a gang wait this long for each other.
    gang_timeout: float
    # A finished job can be asked for this long.
    status_retention: float
    # A scheduled occurrence may start this much before its time.
    early_start: float
    # An open connection to a process that was told to stop is cut after this.
    shutdown_grace: float
    # An orders' holder that lost its role may not act again within this.
    duty_lease: float
    # A task that was off for longer counts as unavailable.
    unavailable_after: float
    move_duration: float
    upkeep_duration: float
    # Serving tasks may be over their target for this long because of fillers.
    harm_limit: float
    # Tasks run longer by this factor away from their data.
    remote_penalty: float


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
    fenced_cloud: bool
    memory_megabytes: int
    cpu_cores: float
    bounds: Bounds

    @property
    def peer_port(self) -> int:
        """Return the port of the peer listener, the same on every entry."""
        return self.internal_ports[0]
