"""Declared resources: kinds, strict decoding and cross-checks."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Annotated, Any

import msgspec
import yaml
from expression import Error, Ok, Result

from .ids import Generation
from .settings import Name, Port, Seconds, Strict, describe_error

Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
CountOrZero = Annotated[int, msgspec.Meta(ge=0, le=100_000)]

NEVER_ACCEPTED = Generation(0)

SPEC_KINDS: dict[str, type["Spec"]] = {}


class Spec(Strict, frozen=True):
    """Base of the declared part of a resource."""

    def references(self) -> list[tuple[str, str]]:
        """Return (kind, name) of each resource that this one needs."""
        return []


def resource_kind(kind: str) -> Callable[[type[Spec]], type[Spec]]:
    """Register a spec type under the name that operators write as ``kind``."""

    def register(spec_type: type[Spec]) -> type[Spec]:
        SPEC_KINDS[kind] = spec_type
        return spec_type

    return register


@resource_kind("Pool")
class PoolSpec(Spec, frozen=True):
    """A pool of VMs. A spare pool lends VMs to pools whose services surge."""

    spare: bool = False
    # 0 weighs only idle buffer capacity, 1 only VM moves.
    move_weight: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5


@resource_kind("Vm")
class VmSpec(Spec, frozen=True):
    """A VM with its place in the failure domains; ``pool`` is its first pool."""

    pool: Name
    data_centre: Name
    rack: Name
    address: str
    processors: Count
    memory_gigabytes: Count
    accelerators: CountOrZero = 0

    def references(self) -> list[tuple[str, str]]:
        """Return the pool."""
        return [("Pool", self.pool)]


@resource_kind("Service")
class ServiceSpec(Spec, frozen=True):
    """A service with one instance on each VM of its pool, up to ``instances``."""

    pool: Name
    port: Port
    instances: Count
    slots_per_instance: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 8
    connections_per_instance: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 64
    first_byte_timeout_seconds: Seconds = 10.0

    def references(self) -> list[tuple[str, str]]:
        """Return the pool."""
        return [("Pool", self.pool)]


@resource_kind("Budget")
class BudgetSpec(Spec, frozen=True):
    """Availability budget: instances of a service that must stay available."""

    service: Name
    min_available: CountOrZero

    def references(self) -> list[tuple[str, str]]:
        """Return the service."""
        return [("Service", self.service)]


@dataclass(frozen=True)
class Resource:
    """A declared resource and the generation that last changed it."""

    kind: str
    name: str
    spec: Spec
    generation: Generation = NEVER_ACCEPTED

    def to_builtins(self) -> dict[str, Any]:
        """Return plain data for JSON, YAML and msgpack."""
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
    """Decode one resource; raises msgspec.ValidationError with a path."""
    envelope = msgspec.convert(data, _Envelope)
    spec_type = SPEC_KINDS.get(envelope.kind)
    if spec_type is None:
        allowed = ", ".join(sorted(SPEC_KINDS))
        raise msgspec.ValidationError(f"Expected one of {allowed} - at `$.kind`")
    try:
        spec = msgspec.convert(envelope.spec, spec_type)
    except msgspec.ValidationError as error:
        text = str(error)
        moved = text.replace("at `$", "at `$.spec", 1)
        if moved == text:
            moved = f"{text} - at `$.spec`"
        raise msgspec.ValidationError(moved) from None
    return Resource(envelope.kind, envelope.name, spec, Generation(envelope.generation))


def parse_resources(file: str, text: str) -> Result[list[Resource], list[str]]:
    """Parse a multi-document YAML text; the errors are lines for the operator."""
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
            problems.append(shift_line(file, described, start))
    return Error(problems) if problems else Ok(resources)


def shift_line(file: str, described: str, lines: int) -> str:
    """Add ``lines`` to the line number of a described error."""
    rest = described[len(file) + 1 :]
    number, _, message = rest.partition(":")
    return f"{file}:{int(number) + lines}:{message}"


@dataclass(frozen=True)
class Declared:
    """The whole declared configuration, by kind and name."""

    resources: Mapping[str, Mapping[str, Resource]] = field(default_factory=dict)

    def of_kind(self, kind: str) -> Mapping[str, Resource]:
        """Return the resources of one kind by name."""
        return self.resources.get(kind, {})

    def get(self, kind: str, name: str) -> Resource | None:
        """Return one resource or None."""
        return self.of_kind(kind).get(name)

    def with_resource(self, resource: Resource) -> "Declared":
        """Return a copy in which ``resource`` is created or replaced."""
        names = {**self.of_kind(resource.kind), resource.name: resource}
        return replace(self, resources={**self.resources, resource.kind: names})

    def without(self, kind: str, name: str) -> "Declared":
        """Return a copy without one resource."""
        names = {key: value for key, value in self.of_kind(kind).items() if key != name}
        return replace(self, resources={**self.resources, kind: names})

    def missing_references(self) -> list[str]:
        """Return one line for each reference to a resource that is missing."""
        found = []
        for kind, names in self.resources.items():
            for name, resource in names.items():
                found += [
                    f"{kind}/{name}: needs {needed}/{other}, which is not declared"
                    for needed, other in resource.spec.references()
                    if self.get(needed, other) is None
                ]
        return found

    def to_builtins(self) -> list[dict[str, Any]]:
        """Return plain data, ordered by kind and name."""
        return [
            self.resources[kind][name].to_builtins()
            for kind in sorted(self.resources)
            for name in sorted(self.resources[kind])
        ]


def declared_from_builtins(data: Any) -> Declared:
    """Decode a whole configuration; raises msgspec.ValidationError."""
    by_kind: dict[str, dict[str, Resource]] = {}
    for item in msgspec.convert(data, list[dict[str, Any]]):
        resource = resource_from_builtins(item)
        by_kind.setdefault(resource.kind, {})[resource.name] = resource
    return Declared(by_kind)
