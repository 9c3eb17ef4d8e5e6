"""Maps a request target to its service, and a service to its instances."""

from collections.abc import Sequence

from .balancing import Instance
from .ids import EntryId, InstanceId, ServiceName, VmId, instance_id
from .resources import BudgetSpec, Declared, ServiceSpec, VmSpec
from .slots import owned_slot_count
from .vm_list import VmList


def service_of_target(target: bytes) -> ServiceName:
    """Return the service that the first path segment names; "" without a segment."""
    path = target.split(b"?", 1)[0]
    segment = path.split(b"/", 2)[1] if path.startswith(b"/") else b""
    return ServiceName(segment.decode("ascii", "replace"))


def instances_of_service(
    name: ServiceName,
    declared: Declared,
    vm_list: VmList | None,
    entry: EntryId,
    entries: Sequence[EntryId],
) -> dict[InstanceId, Instance]:
    """Return the instances of a service, each with the slots that ``entry`` owns.

    Without a VM list (none was read since the start) all declared VMs accept work.
    """
    resource = declared.get("Service", name)
    if resource is None or not isinstance(resource.spec, ServiceSpec):
        return {}
    spec = resource.spec
    instances: dict[InstanceId, Instance] = {}
    for vm_name, vm in sorted(declared.of_kind("Vm").items()):
        if not isinstance(vm.spec, VmSpec) or vm.spec.pool != spec.pool:
            continue
        if len(instances) == spec.instances:
            break
        vm_id = VmId(vm_name)
        key = instance_id(name, vm_id)
        slots = owned_slot_count(key, spec.slots_per_instance, entry, entries)
        accepts_work = vm_list is None or vm_list.accepts_work(vm_id)
        instances[key] = Instance(
            key, vm_id, vm.spec.address, spec.port, slots, accepts_work=accepts_work
        )
    return instances


def min_available(name: ServiceName, declared: Declared) -> int:
    """Return how many instances of a service must stay available, 1 by default."""
    for resource in declared.of_kind("Budget").values():
        spec = resource.spec
        if isinstance(spec, BudgetSpec) and spec.service == name:
            return spec.min_available
    return 1
