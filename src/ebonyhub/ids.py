"""Identifier types shared by all modules."""

from typing import NewType

EntryId = NewType("EntryId", str)
Incarnation = NewType("Incarnation", int)
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
VmId = NewType("VmId", str)
DataCentre = NewType("DataCentre", str)
RackId = NewType("RackId", str)
TeamName = NewType("TeamName", str)
Generation = NewType("Generation", int)
StoreVersion = NewType("StoreVersion", int)
ChangeId = NewType("ChangeId", str)
LeaseId = NewType("LeaseId", str)
InstanceId = NewType("InstanceId", str)


def instance_id(service: ServiceName, vm: VmId) -> InstanceId:
    """Return the id of the instance of ``service`` on ``vm``."""
    return InstanceId(f"{service}/{vm}")
