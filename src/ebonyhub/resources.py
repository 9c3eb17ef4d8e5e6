"""Resources that operators declare: kinds, strict decoding and reference checks."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Annotated, Any

import msgspec
import yaml
from expression import Error, Ok, Result

from .ids import Generation
from .settings import Name, Port, Seconds, StrictStruct, describe_error

Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
CountOrZero = Annotated[int, msgspec.Meta(ge=0, le=100_000)]

# Generation of a resource that no change has stored yet.
NO_GENERATION = Generation(0)

SPEC_KINDS: dict[str, type["Spec"]] = {}


class Spec(StrictStruct, frozen=True):
    """Base of the ``spec`` of all resource kinds."""

    def references(self) -> list[tuple[str, str]]:
        """Return (kind, name) of each resource that this one refers to."""
        return []


def resource_kind(kind: str) -> Callable[[type[Spec]], type[Spec]]:
    """Return a decorator that registers a spec type for the ``kind`` of a resource."""

    def register(spec_type: type[Spec]) -> type[Spec]:
        SPEC_KINDS[kind] = spec_type
        return spec_type

    return register


@resource_kind("Pool")
class PoolSpec(Spec, frozen=True):
    """A pool of VMs; those of a spare pool may move to a pool under high load."""

    spare: bool = False
    # Weight of VM moves against idle reserve capacity: 0 counts only the reserve, 1
    # only the moves.
    move_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


@resource_kind("Vm")
class VmSpec(Spec, frozen=True):
    """A VM, its failure domains (data centre and rack) and its initial pool."""

    pool: Name
    data_centre: Name
    rack: Name
    address: str
    processors: Count
    memory_gigabytes: Count
    accelerators: CountOrZero = 0

    def references(self) -> list[tuple[str, str]]:
        """Return the reference to the pool."""
        return [("Pool", self.pool)]


@resource_kind("Service")
class ServiceSpec(Spec, frozen=True):
    """A service with at most ``instances`` instances, one on each VM of its pool."""

    pool: Name
    port: Port
    instances: Count
    slots_per_instance: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    connections_per_instance: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    first_byte_timeout_seconds: Seconds = 10.0

    def references(self) -> list[tuple[str, str]]:
        """Return the reference to the pool."""
        return [("Pool", self.pool)]


@resource_kind("Budget")
class BudgetSpec(Spec, frozen=True):
    """Availability budget: the least number of available instances of a service."""

    service: Name
    min_available: CountOrZero

    def references(self) -> list[tuple[str, str]]:
        """Return the reference to the service."""
        return [("Service", self.service)]


@dataclass(frozen=True)
class Resource:
    """A declared resource and the generation that last changed it."""

    kind: str
    name: str
    spec: Spec
    generation: Generation = NO_GENERATION

    def to_builtins(self) -> dict[str, Any]:
        """Return dicts, lists and scalars that JSON, YAML and msgpack can encode."""
        return {
            "kind": self.kind,
            "name": self.name,
            "generation": self.generation,
            "spec": msgspec.to_builtins(self.spec),
        }


class _Envelope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    kind: str
    name: Name
    spec: dict[str, Any]
    generation: int = 0


def resource_from_builtins(data: Any) -> Resource:
    """Decode one resource; raises msgspec.ValidationError that names the path."""
    envelope = msgspec.convert(data, _Envelope)
    spec_type = SPEC_KINDS.get(envelope.kind)
    if spec_type is None:
        allowed = ", ".join(sorted(SPEC_KINDS))
        raise msgspec.ValidationError(f"Expected one of {allowed} - at `$.kind`")
    try:
        spec = msgspec.convert(envelope.spec, spec_type)
    except msgspec.ValidationError as error:
        text = str(error)
        message = text.replace("at `$", "at `$.spec", 1)
        if message == text:
            message = f"{text} - at `$.spec`"
        raise msgspec.ValidationError(message) from None
    return Resource(envelope.kind, envelope.name, spec, Generation(envelope.generation))


def parse_resources(file: str, text: str) -> Result[list[Resource], list[str]]:
    """Parse YAML with one resource a document; each error names file, line and key."""
    try:
        nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 1
        return Error([f"{file}:{line}: not valid YAML: {error.problem}"])
    resources: list[Resource] = []
    problems: list[str] = []
    for node in nodes:
        if node is None:
            continue
        start = node.start_mark.line
        part = "\n".join(text.split("\n")[start : node.end_mark.line + 1])
        part = part.split("\n---")[0]
        data = yaml.safe_load(part)
        try:
            resources.append(resource_from_builtins(data))
        except msgspec.ValidationError as error:
            described = describe_error(file, part, data, error)
            problems.append(add_to_line_number(file, described, start))
    return Error(problems) if problems else Ok(resources)


def add_to_line_number(file: str, described: str, lines: int) -> str:
    """Return an error of ``describe_error`` with ``lines`` added to its line number."""
    rest = described[len(file) + 1 :]
    number, _, message = rest.partition(":")
    return f"{file}:{int(number) + lines}:{message}"


@dataclass(frozen=True)
class Declared:
    """All declared resources, by kind and name."""

    resources: Mapping[str, Mapping[str, Resource]] = field(default_factory=dict)

    def of_kind(self, kind: str) -> Mapping[str, Resource]:
        """Return the resources of one kind by name."""
        return self.resources.get(kind, {})

    def get(self, kind: str, name: str) -> Resource | None:
        """Return one resource, None if it is not declared."""
        return self.of_kind(kind).get(name)

    def with_resource(self, resource: Resource) -> "Declared":
        """Return a copy in which ``resource`` is created or replaced."""
        names = {**self.of_kind(resource.kind), resource.name: resource}
        return replace(self, resources={**self.resources, resource.kind: names})

    def without(self, kind: str, name: str) -> "Declared":
        """Return a copy from which one resource is removed, if it is there."""
        names = {key: value for key, value in self.of_kind(kind).items() if key != name}
        return replace(self, resources={**self.resources, kind: names})

    def missing_references(self) -> list[str]:
        """Return one line for each reference to a resource that is not declared."""
        missing = []
        for kind, names in self.resources.items():
            for name, resource in names.items():
                missing += [
                    f"{kind}/{name}: needs {other_kind}/{other}, which is not declared"
                    for other_kind, other in resource.spec.references()
                    if self.get(other_kind, other) is None
                ]
        return missing

    def to_builtins(self) -> list[dict[str, Any]]:
        """Return all resources as dicts, ordered by kind and name."""
        return [
            self.resources[kind][name].to_builtins()
            for kind in sorted(self.resources)
            for name in sorted(self.resources[kind])
        ]


def declared_from_builtins(data: Any) -> Declared:
    """Decode a list of resources; raises msgspec.ValidationError."""
    by_kind: dict[str, dict[str, Resource]] = {}
    for item in msgspec.convert(data, list[dict[str, Any]]):
        resource = resource_from_builtins(item)
        by_kind.setdefault(resource.kind, {})[resource.name] = resource
    return Declared(by_kind)
