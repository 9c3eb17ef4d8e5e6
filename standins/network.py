"""Loopback addresses for one group of processes."""

import socket
from dataclasses import dataclass, field

FIRST_NETWORK = 2
LAST_NETWORK = 250
LOCK_PORT = 9


@dataclass
class LoopbackNetwork:
    """Addresses 127.N.x.y that no other demo or test uses at the same time."""

    number: int
    lock: socket.socket = field(repr=False)

    def address(self, group: int, host: int) -> str:
        """Return one address of the network."""
        return f"127.{self.number}.{group}.{host}"

    def replace_prefix(self, text: str) -> str:
        """Move the addresses of an example file into this network."""
        return text.replace(" 127.1.", f" 127.{self.number}.")

    def close(self) -> None:
        """Allow others to use the network."""
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
    raise RuntimeError("all loopback networks are in use")
