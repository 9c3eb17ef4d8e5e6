"""Identifier types shared by all modules."""

from typing import NamedTuple, NewType

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
QueueName = NewType("QueueName", str)
JobId = NewType("JobId", str)
WorkerId = NewType("WorkerId", str)
Revision = NewType("Revision", int)
LeaderToken = NewType("LeaderToken", int)
StoreLease = NewType("StoreLease", int)
WaveId = NewType("WaveId", int)

# Before the first revision of the store.
INITIAL_REVISION = Revision(0)


class TaskId(NamedTuple):
    """One task: a job's occurrence, step and index within the step."""

    job: JobId
    occurrence: int
    step: int
    position: int


def instance_id(service: ServiceName, vm: VmId) -> InstanceId:
    """Return the id of the instance of ``service`` on ``vm``."""
    return InstanceId(f"{service}/{vm}")
