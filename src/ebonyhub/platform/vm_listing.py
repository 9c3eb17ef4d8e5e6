"""Decoding of the cloud's VM listing."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Annotated, Any

import msgspec
from expression import Error, Ok, Result

from ..decoding import Count, Name, try_convert, try_decode
from ..fleet.model import Vm, VmState
from ..ids import PoolName, RackId, VmId, WorkerId
from ..jobs.model import MAX_SIZE, Resources

MAX_ROWS_PER_PAGE = 100_000

Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_SIZE)]
PageToken = Annotated[str, msgspec.Meta(max_length=1024)]
Labels = Annotated[list[Name], msgspec.Meta(max_length=100)]


class CapacityRow(msgspec.Struct):
    """Capacity of a VM; ``cpu`` in thousandths of a core, ``memory`` in MB."""

    cpu: Size = msgspec.field(name="Cpu", default=0)
    memory: Size = msgspec.field(name="MemMb", default=0)
    gpu: Size = msgspec.field(name="Gpu", default=0)


class MachineRow(msgspec.Struct):
    """A VM in the listing; ``worker`` is the id of its current worker process."""

    machine: Name = msgspec.field(name="Machine")
    pool: Name = msgspec.field(name="Pool")
    state: VmState = msgspec.field(name="State")
    zone: Name | None = msgspec.field(name="Zone", default=None)
    labels: Labels | None = msgspec.field(name="Labels", default=None)
    capacity: CapacityRow | None = msgspec.field(name="Capacity", default=None)
    worker: Name | None = msgspec.field(name="Id", default=None)


class MachineName(msgspec.Struct):
    """The part of a row that says which VM it is about."""

    machine: Name = msgspec.field(name="Machine")


class MachinePage(msgspec.Struct):
    """One page of the VM listing; rows are converted one by one."""

    machines: Annotated[list[Any], msgspec.Meta(max_length=MAX_ROWS_PER_PAGE)] = (
        msgspec.field(name="Machines")
    )
    next_token: PageToken | Count | None = msgspec.field(
        name="NextPageToken", default=None
    )


_decode_page = msgspec.json.Decoder(MachinePage).decode


class ListingDecoder:
    """Collects the rows of all pages of one listing.

    What the listing does not name counts as gone, and the runs on it as ended. A row
    that cannot be read therefore becomes a VM in an unknown state, from which nothing
    follows. ``problem`` is empty if all rows could be read.
    """

    def __init__(self) -> None:
        self.vms: dict[VmId, Vm] = {}
        self.unreadable: set[VmId] = set()
        self.has_nameless_rows = False
        self.problem = ""

    def add_page(self, body: bytes) -> Result[str | None, str]:
        """Add a page; return the token of the next page, None after the last one.

        The error is a text for the log.
        """
        page = try_decode(_decode_page, body)
        if page.is_error():
            return Error(page.error)
        for raw in page.ok.machines:
            self._add_row(raw)
        return Ok(str(page.ok.next_token) if page.ok.next_token else None)

    def _add_row(self, raw: Any) -> None:
        row = try_convert(raw, MachineRow)
        if row.is_ok():
            vm = _build_vm(row.ok)
            known = self.vms.setdefault(vm.vm_id, vm)
            if known != vm:
                self.problem = f"two rows of {vm.vm_id}"
                self.vms[vm.vm_id] = replace(vm, state=VmState.UNKNOWN)
            return
        self.problem = row.error
        name = try_convert(raw, MachineName)
        if name.is_error():
            self.has_nameless_rows = True
            return
        vm_id = VmId(name.ok.machine)
        self.unreadable.add(vm_id)
        self.vms[vm_id] = Vm(
            vm_id, PoolName(""), VmState.UNKNOWN, "", RackId(""), Resources(),
            WorkerId(""),
        )  # fmt: skip

    def finish(self, last: Mapping[VmId, Vm]) -> dict[VmId, Vm]:
        """Return the VMs; ``last`` is the listing before.

        A row without a name may be that of any VM that was listed before.
        """
        vms = dict(self.vms)
        for vm_id, vm in last.items():
            is_lost = vm_id not in vms and self.has_nameless_rows
            if vm_id in self.unreadable or is_lost:
                # Pool and capacity are those of before.
                vms[vm_id] = replace(vm, state=VmState.UNKNOWN)
        return vms


def _build_vm(row: MachineRow) -> Vm:
    labels = row.labels or []
    capacity = row.capacity or CapacityRow()
    return Vm(
        vm_id=VmId(row.machine),
        pool=PoolName(row.pool),
        state=row.state,
        zone=row.zone or "",
        # Labels are the kind of the VM and its rack, in this order.
        rack=RackId(labels[1] if len(labels) > 1 else ""),
        capacity=Resources(capacity.cpu, capacity.memory, capacity.gpu),
        worker=WorkerId(row.worker or ""),
    )
