"""Allocates loopback networks, so that demos and tests can run in parallel."""

import socket
from dataclasses import dataclass, field

FIRST_NETWORK = 2
LAST_NETWORK = 250
# Bound on the last address of a network while that is in use.
LOCK_PORT = 9


@dataclass
class LoopbackNetwork:
    """Addresses 127.N.x.y that no other demo or test uses at the same time."""

    number: int
    lock: socket.socket = field(repr=False)

    def address(self, group: int, host: int) -> str:
        """Return the address 127.N.group.host."""
        return f"127.{self.number}.{group}.{host}"

    def replace_prefix(self, text: str) -> str:
        """Replace the network 127.1 of an example file by this one."""
        return text.replace(" 127.1.", f" 127.{self.number}.")

    def close(self) -> None:
        """Release the network for others."""
        self.lock.close()


def claim_network() -> LoopbackNetwork:
    """Claim a network by binding a port on its last address."""
    for number in range(FIRST_NETWORK, LAST_NETWORK):
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.254.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return LoopbackNetwork(number, lock)
    raise RuntimeError("loopback networks 127.2 to 127.249 are all in use")
