"""Settings that the platform gives to an entry process on one of its VMs."""

from dataclasses import dataclass
from math import inf

from .ids import DataCentre, EntryId

# Traffic of a leader (orders and reports) for each core that this work keeps busy.
LINK_MBPS_PER_CORE = 25.0
# Time for a start order to reach its worker.
START_MARGIN_SECONDS = 0.5
# Used if the platform sets no limit on workers' leases.
DEFAULT_MAX_LEASE_SECONDS = 10.0
DEFAULT_RATE_WINDOW_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one entry process on the platform; addresses are ``IP:port``."""

    entry: EntryId
    ip: str
    data_centre: DataCentre
    caller_address: str
    readiness_address: str
    # First and last port of the range that entry processes may use among themselves.
    internal_ports: tuple[int, int]
    store_address: str
    cloud_address: str
    advisor_address: str
    # The state of a finished job has to be available for this long.
    status_retention_seconds: float
    # Processor share of this VM in cores of nominal speed.
    cores: float
    # Bandwidth of the VM's network link.
    link_mbps: float
    # Time that the platform allows for learning of a change, and the interval at which
    # workers write their entries; infinity if the platform sets no limit.
    contact_seconds: float = inf
    heartbeat_seconds: float = inf
    # Longest lease that a worker grants; it shortens longer ones.
    max_lease_seconds: float = DEFAULT_MAX_LEASE_SECONDS
    # Whether callers need API keys of workspaces.
    has_workspaces: bool = False
    # Whether the limits and shares of workspaces are enforced.
    has_limits: bool = False
    # Whether jobs are refused under overload by what the refusal costs callers.
    sheds_by_cost: bool = False
    # Whether an entry that cannot confirm its configuration refuses keys after
    # ``revocation_seconds``.
    strict_revocation: bool = False
    revocation_seconds: float = inf
    # Time over which the jobs per second of a workspace are counted.
    rate_window_seconds: float = DEFAULT_RATE_WINDOW_SECONDS

    @property
    def peer_port(self) -> int:
        """Return the port of the peer listener, which is the same on every entry."""
        return self.internal_ports[0]

    @property
    def effective_cores(self) -> float:
        """Return how many cores a leader can use; a slow link limits them."""
        return min(self.cores, self.link_mbps / LINK_MBPS_PER_CORE)

    @property
    def capacity_valid_seconds(self) -> float:
        """Return for how long after a heartbeat a worker's capacity may be used.

        A capacity that has shrunk counts after the contact time and one heartbeat.
        """
        seconds = self.contact_seconds + self.heartbeat_seconds
        return max(0.0, seconds - START_MARGIN_SECONDS)
