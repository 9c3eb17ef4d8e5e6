"""Types of identifiers, versions and tokens that several modules use."""

from typing import NamedTuple, NewType

EntryId = NewType("EntryId", str)
Incarnation = NewType("Incarnation", int)
ServiceName = NewType("ServiceName", str)
PoolName = NewType("PoolName", str)
VmId = NewType("VmId", str)
DataCentre = NewType("DataCentre", str)
RackId = NewType("RackId", str)
TeamName = NewType("TeamName", str)
# Version of a document of ``documents``; each write adds 1.
Generation = NewType("Generation", int)
# Version of a key in the store of ``store``, for compare-and-swap.
StoreVersion = NewType("StoreVersion", int)
# Chosen by the client of the admin API, so that a repeated change has no second effect.
ChangeId = NewType("ChangeId", str)
# Lease of the store of ``store``.
LeaseId = NewType("LeaseId", str)
# Made by ``instance_id``.
InstanceId = NewType("InstanceId", str)
QueueName = NewType("QueueName", str)
WorkspaceName = NewType("WorkspaceName", str)
JobId = NewType("JobId", str)
WorkerId = NewType("WorkerId", str)
# Revision of the platform's store, which rises with every commit to any key.
Revision = NewType("Revision", int)
# Fencing token of a leader: the revision at which it wrote the leader key.
LeaderToken = NewType("LeaderToken", int)
# Lease of the platform's store.
StoreLease = NewType("StoreLease", int)
# Number of a maintenance wave.
WaveId = NewType("WaveId", int)

# Workspace of jobs and calls that have none.
NO_WORKSPACE = WorkspaceName("")

# Lower than every revision of the store.
INITIAL_REVISION = Revision(0)


# A step of a job: the job, the occurrence and the number of the step.
StepKey = tuple[JobId, int, int]


class TaskId(NamedTuple):
    """A task: job, occurrence (repetition) of the job, step and position in it."""

    job: JobId
    occurrence: int
    step: int
    position: int


def instance_id(service: ServiceName, vm: VmId) -> InstanceId:
    """Return the id, "service/vm", of the one instance of ``service`` on ``vm``."""
    return InstanceId(f"{service}/{vm}")
