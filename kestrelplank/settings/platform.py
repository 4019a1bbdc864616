"""The platform's settings file (TOML), which tells a process of the gateway who and where it is.

Read once whole, checked by pyserde; fields that are not known here are skipped. Times come out in ns.
"""

import dataclasses
import os
import tomllib
import types
import typing
from dataclasses import dataclass, field
from functools import cache
from typing import Any, NamedTuple

from serde import SerdeError, deserialize, disabled, from_dict

from kestrelplank.settings.errors import InvalidSettings

VARIABLE = "KESTRELPLANK_SETTINGS"
NS = 1_000_000_000


@deserialize(type_check=disabled)
@dataclass
class Limits:
    memory_mb: int | float = 256


@deserialize(type_check=disabled)
@dataclass
class Local:
    node_name: str
    ip_address: str
    zone: str
    initial_boot: bool = False
    quorum_member: bool = True
    data_directory: str | None = None
    limits: Limits = field(default_factory=Limits)


@deserialize(type_check=disabled)
@dataclass
class Network:
    internal_port_range: list[int]
    seed_nodes: list[str]
    listen_addresses: dict[str, str]


@deserialize(type_check=disabled)
@dataclass
class CloudApi:
    address: str


@deserialize(type_check=disabled)
@dataclass
class Bounds:
    grace_s: int | float = 6
    drain_s: int | float = 2.5
    retry_budget_ratio: int | float = 0.2
    retry_allowance: int | float = 30


@deserialize(type_check=disabled)
@dataclass
class FaultTolerance:
    """How many of the machines whose loss counts may be lost at once."""

    machine_losses: int = 1


class Settings(NamedTuple):
    """One process's settings, as the platform wrote them; each part is a table of the file."""

    local_system: Local
    network: Network
    cloud: CloudApi
    bounds: Bounds
    fault_tolerance: FaultTolerance = FaultTolerance()

    def listen(self, name: str) -> tuple[str, int]:
        """Where this process listens for what it serves; InvalidSettings where the file does not say."""
        address = self.network.listen_addresses.get(name)
        if address is None:
            raise InvalidSettings(f"network.listen_addresses.{name}: missing")
        return endpoint(address, f"network.listen_addresses.{name}")

    def telegraph_port(self) -> int:
        """The first of the ports that are ours, alike on all machines of a day."""
        return self.network.internal_port_range[0]


TABLES = (
    ("local_system", Local),
    ("network", Network),
    ("platform.cloud_api", CloudApi),
    ("policy_terms.bounds", Bounds),
    ("policy_terms.fault_tolerance", FaultTolerance),
)


def endpoint(address: str, where: str = "address") -> tuple[str, int]:
    """`10.0.0.1:80` as host and port; InvalidSettings where it is none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise InvalidSettings(f"{where}: {address!r} is no address with a port")
    return host, int(port)


def ns(seconds: float) -> int:
    """Seconds at the door as whole ns inside."""
    return round(seconds * NS)


def table(data: dict[str, Any], path: str) -> Any:
    """The table at that dotted path, an empty one where there is none."""
    for name in path.split("."):
        data = data.get(name, {}) if isinstance(data, dict) else {}
    return data


PLAIN = (str, int, float, bool, type(None))


@cache
def parts_of(kind: Any) -> tuple[tuple[str, Any, bool, tuple[type, ...]], ...] | None:
    """Of a checked class each field's name, type, whether it must be given, and plain types that surely fit; None of
    anything else."""
    if not dataclasses.is_dataclass(kind):
        return None
    hints = typing.get_type_hints(kind)
    return tuple(
        (
            part.name,
            hints[part.name],
            part.default is dataclasses.MISSING and part.default_factory is dataclasses.MISSING,
            tuple(
                one
                for one in (typing.get_args(hints[part.name]) or (hints[part.name],))
                if one in PLAIN and typing.get_origin(hints[part.name]) not in (list, dict)
            ),
        )
        for part in dataclasses.fields(kind)
    )


def misfit(kind: Any, value: Any, where: str) -> str | None:
    """Where and how a decoded value does not fit a checked class: `field.path: what is wrong`, or None. The library's
    own checks take a quarter of a second to make when a program starts, and do not always name the place."""
    if type(value) is kind:
        return None
    form = parts_of(kind)
    if form is not None:
        if not isinstance(value, dict):
            return f"{where or 'top'}: expected a table, got {type(value).__name__}"
        for name, inner, needed, plain in form:
            if name in value:
                if type(value[name]) in plain:
                    continue
                found = misfit(inner, value[name], f"{where}.{name}" if where else name)
            else:
                found = f"{where}.{name}: missing" if needed else None
            if found:
                return found.lstrip(".")
        return None
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        fits = any(misfit(one, value, where) is None for one in inner)
        return None if fits else f"{where}: {value!r} does not fit"
    if origin in (list, dict):
        if not isinstance(value, origin):
            return f"{where}: expected a {'list' if origin is list else 'table'}, got {type(value).__name__}"
        parts = enumerate(value) if origin is list else value.items()
        return next(filter(None, (misfit(inner[-1], part, f"{where}[{at}]") for at, part in parts)), None)
    if not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        return f"{where}: {value!r} is no {kind.__name__}"
    return None


def checked(kind: type, data: Any, where: str = "") -> Any:
    """`data` as the checked class `kind`; InvalidSettings, naming the field, where it does not fit."""
    wrong = misfit(kind, data, where)
    if wrong:
        raise InvalidSettings(wrong)
    try:
        return from_dict(kind, data)
    except SerdeError as err:
        raise InvalidSettings(f"{where or 'top'}: {str(err).splitlines()[0]}") from err


def read(path: str) -> Settings:
    """The settings in that file; InvalidSettings, in one line that names file and field, where they can't be used."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
        found = Settings(*(checked(kind, table(data, path), path) for path, kind in TABLES))
        if not found.network.internal_port_range or not found.network.seed_nodes:
            raise InvalidSettings("network: internal_port_range and seed_nodes must not be empty")
        if found.fault_tolerance.machine_losses < 0:
            raise InvalidSettings(
                f"policy_terms.fault_tolerance.machine_losses: {found.fault_tolerance.machine_losses} is below 0"
            )
        for place, address in enumerate(found.network.seed_nodes):
            endpoint(address, f"network.seed_nodes[{place}]")
        endpoint(found.cloud.address, "platform.cloud_api.address")
    except OSError as err:
        raise InvalidSettings(f"{path}: {err.strerror}") from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, InvalidSettings) as err:
        raise InvalidSettings(f"{path}: {err}") from err
    return found


def from_environment() -> Settings:
    """The settings file that the platform names in the environment."""
    path = os.environ.get(VARIABLE)
    if not path:
        raise InvalidSettings(f"{VARIABLE}: not set")
    return read(path)
