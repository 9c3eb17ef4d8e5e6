"""Hands leadership over to a peer that is better placed to lead."""

from ..cluster.leadership import Term
from ..cluster.peers import PeerServer, PeerStream
from ..node_settings import NodeSettings

# Effective cores that a leader should have. An entry with fewer delays its campaign in
# proportion to the missing cores, and hands over to a peer that has clearly more.
SUFFICIENT_CORES = 1.0
# A leader with too few cores hands over to a peer with at least this multiple of its
# own.
HANDOVER_CORE_RATIO = 1.5
# Peers that are asked one after the other if each declines.
MAX_ASKED_PEERS = 3
# Method of a call between entries: become leader in place of the caller.
TAKE_OVER_METHOD = "take_over"


class Handover:
    """Chooses the peer that should lead, and asks it to take over."""

    def __init__(self, settings: NodeSettings, peer_server: PeerServer) -> None:
        self.settings = settings
        self.peer_server = peer_server

    def is_due(self) -> bool:
        """Return whether this leader lacks cores and a peer has clearly more."""
        own_cores = self.settings.effective_cores
        best_peer_cores = max(
            (s.peer_effective_cores for s in self.peer_server.streams), default=0.0
        )
        return (
            own_cores < SUFFICIENT_CORES
            and best_peer_cores >= own_cores * HANDOVER_CORE_RATIO
        )

    async def request(self, term: Term) -> bool:
        """Ask the best-ranked peer to take over; return whether one now leads.

        Among peers with enough cores, the one that started last is preferred: in a
        rolling restart it is the last to be stopped again. If a peer declines, the next
        one is asked. One that does not answer may have taken over.
        """
        streams = [stream for stream in self.peer_server.streams if stream.is_open]
        ranked = sorted(streams, key=_takeover_rank, reverse=True)
        for stream in ranked[:MAX_ASKED_PEERS]:
            answer = await stream.call(TAKE_OVER_METHOD, int(term.token))
            if answer.is_error():
                return False
            if answer.ok[0] == 0:
                return True
        return False


def _takeover_rank(stream: PeerStream) -> tuple[float, int]:
    """Sort key for choosing a successor; the peer with the highest one is asked."""
    return (min(stream.peer_effective_cores, SUFFICIENT_CORES), stream.peer_started_ms)
