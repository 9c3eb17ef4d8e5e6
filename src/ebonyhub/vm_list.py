"""Polls the platform's list of VMs, which lags behind their actual state."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from expression import Error, Ok, Result

from .decoding import try_decode
from .events import Event, log_event
from .http_client import request_once
from .ids import VmId
from .settings import VmListSettings


class VmState(Enum):
    """State that the platform reports for a VM."""

    LIVE = "live"
    LEAVING = "leaving"


_decode_states = msgspec.json.Decoder(dict[str, VmState]).decode


@dataclass(frozen=True)
class VmList:
    """The list of VMs as read once."""

    states: dict[VmId, VmState]

    def accepts_work(self, vm: VmId) -> bool:
        """Return whether new work may be sent to ``vm``.

        A VM that is not listed counts as leaving, since the list may be out of date.
        """
        return self.states.get(vm) is VmState.LIVE


async def fetch_vm_list(settings: VmListSettings) -> Result[VmList, str]:
    """Read the list once; the error says why it failed."""
    result = await request_once(settings.address, settings.port, "GET", "/v1/vms")
    if result.is_error():
        return Error(result.error.kind.value)
    if result.ok.status != 200:
        return Error(f"status {result.ok.status}")
    decoded = try_decode(_decode_states, result.ok.body)
    if decoded.is_error():
        return Error(decoded.error)
    return Ok(VmList({VmId(name): state for name, state in decoded.ok.items()}))


class VmListReader:
    """Task that polls the list and passes each result to ``on_vm_list``."""

    def __init__(
        self,
        settings: VmListSettings,
        rng: random.Random,
        on_vm_list: Callable[[VmList], None],
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.on_vm_list = on_vm_list

    async def run(self) -> None:
        """Poll until cancelled, with jitter so that entries do not poll in step."""
        reachable = True
        while True:
            result = await fetch_vm_list(self.settings)
            if result.is_ok():
                self.on_vm_list(result.ok)
            elif reachable:
                log_event(Event.VM_LIST_UNREACHABLE, error=result.error)
            reachable = result.is_ok()
            await asyncio.sleep(self.settings.poll_seconds * self.rng.uniform(0.8, 1.2))
