"""The platform's settings file (TOML): the identity, addresses and limits of a gateway process.

It is read once and checked completely; unknown fields are ignored. The dataclasses have the names and units of the
file.
"""

import os
import tomllib
from dataclasses import field
from pathlib import Path
from typing import NamedTuple

from kestrelplank.settings.checked_dataclasses import checked_dataclass, decode_checked
from kestrelplank.settings.errors import InvalidSettingsError

SETTINGS_VARIABLE = "KESTRELPLANK_SETTINGS"
MAX_PORT = 65535


@checked_dataclass
class Limits:
    """`local_system.limits`: resources of the machine that this process may use."""

    memory_mb: int | float = 256


@checked_dataclass
class LocalSystem:
    """`local_system`: this machine. `initial_boot` is whether the whole system starts for the first time."""

    node_name: str
    ip_address: str
    zone: str
    initial_boot: bool = False
    quorum_member: bool = True
    data_directory: str | None = None
    limits: Limits = field(default_factory=Limits)


@checked_dataclass
class Network:
    """`network`: ports of the gateway, seed machines, and the addresses at which this process listens, by service."""

    internal_port_range: list[int]
    seed_nodes: list[str]
    listen_addresses: dict[str, str]


@checked_dataclass
class CloudApi:
    """`platform.cloud_api`: the API through which the platform lists the servers and takes reports.

    `duties` are the kinds of reports that it wants; `duty_rate_s` is how many it accepts in a second from all machines.
    """

    address: str
    duties: list[str] = field(default_factory=list)
    duty_rate_s: int | float = 1


@checked_dataclass
class Bounds:
    """`policy_terms.bounds`: limits that the platform imposes on a process."""

    grace_s: int | float = 6
    drain_s: int | float = 2.5
    retry_budget_ratio: int | float = 0.2
    retry_allowance: int | float = 30
    max_hold_s: int | float = 10
    revocation_closed: bool = False  # whether a machine out of touch stops accepting keys after `revoke_s`
    revoke_s: int | float = 5
    report_interval_s: int | float = 5
    usage_delay_s: int | float = 10
    fencing_enabled: bool = False
    lease_s: int | float = 3


@checked_dataclass
class FaultTolerance:
    """`policy_terms.fault_tolerance`: how many of the machines whose loss counts may be lost at the same time."""

    machine_losses: int = 1


class PlatformSettings(NamedTuple):
    """The platform's settings for one process; each field is a table of the file."""

    local_system: LocalSystem
    network: Network
    cloud_api: CloudApi
    bounds: Bounds
    fault_tolerance: FaultTolerance = FaultTolerance()

    def listen_address(self, name: str) -> tuple[str, int]:
        """Return the host and port at which this process listens for `name`.

        :raises InvalidSettingsError: the file has no address for it, or one without a valid port.
        """
        address = self.network.listen_addresses.get(name)
        if address is None:
            raise InvalidSettingsError("missing", field=f"network.listen_addresses.{name}")
        return parse_address(address, f"network.listen_addresses.{name}")

    def internal_port(self) -> int:
        """Return the first internal port, which carries traffic between members and edges on all machines."""
        return self.network.internal_port_range[0]


def load_from_environment() -> PlatformSettings:
    """Read the settings file whose path is in the environment variable `SETTINGS_VARIABLE`.

    :raises InvalidSettingsError: the variable is not set, or the file cannot be used.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise InvalidSettingsError("not set, expected the path of the settings file", field=SETTINGS_VARIABLE)
    return load(path)


def load(path: str) -> PlatformSettings:
    """Read the settings file at `path`.

    :raises InvalidSettingsError: it cannot be used; the text names file and field.
    """
    try:
        with Path(path).open("rb") as file:
            settings = _decode(tomllib.load(file))
        _check_values(settings)
    except OSError as err:
        raise InvalidSettingsError(err.strerror or str(err), file=path) from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise InvalidSettingsError(str(err), file=path) from err
    except InvalidSettingsError as err:
        raise InvalidSettingsError(err.reason, file=path, field=err.field) from err
    return settings


def _decode(data: dict[str, object]) -> PlatformSettings:
    """Return the tables that this program uses, with the type of each field checked."""
    return PlatformSettings(
        local_system=decode_checked(LocalSystem, _table(data, "local_system"), "local_system"),
        network=decode_checked(Network, _table(data, "network"), "network"),
        cloud_api=decode_checked(CloudApi, _table(data, "platform.cloud_api"), "platform.cloud_api"),
        bounds=decode_checked(Bounds, _table(data, "policy_terms.bounds"), "policy_terms.bounds"),
        fault_tolerance=decode_checked(
            FaultTolerance, _table(data, "policy_terms.fault_tolerance"), "policy_terms.fault_tolerance"
        ),
    )


def _table(data: object, path: str) -> object:
    """Return the table at that dotted path, or an empty one."""
    for name in path.split("."):
        data = data.get(name, {}) if isinstance(data, dict) else {}
    return data


def _check_values(settings: PlatformSettings) -> None:
    """Raise InvalidSettingsError if the value of a field is out of range."""
    if not settings.network.internal_port_range or not settings.network.seed_nodes:
        raise InvalidSettingsError("internal_port_range and seed_nodes must not be empty", field="network")
    positive = {
        "policy_terms.bounds.max_hold_s": settings.bounds.max_hold_s,
        "policy_terms.bounds.revoke_s": settings.bounds.revoke_s,
        "policy_terms.bounds.report_interval_s": settings.bounds.report_interval_s,
        "policy_terms.bounds.usage_delay_s": settings.bounds.usage_delay_s,
        "platform.cloud_api.duty_rate_s": settings.cloud_api.duty_rate_s,
    }
    for name, value in positive.items():
        if value <= 0:
            raise InvalidSettingsError(f"expected a number greater than 0, got {value}", field=name)
    if settings.bounds.lease_s < 0:
        raise InvalidSettingsError(
            f"expected 0 or more, got {settings.bounds.lease_s}", field="policy_terms.bounds.lease_s"
        )
    losses = settings.fault_tolerance.machine_losses
    if losses < 0:
        raise InvalidSettingsError(
            f"expected 0 or more, got {losses}", field="policy_terms.fault_tolerance.machine_losses"
        )
    for index, address in enumerate(settings.network.seed_nodes):
        parse_address(address, f"network.seed_nodes[{index}]")
    parse_address(settings.cloud_api.address, "platform.cloud_api.address")


def parse_address(address: str, field: str = "address") -> tuple[str, int]:
    """Split an address such as `10.0.0.1:80` into host and port.

    :param field: the name of the address in error messages.
    :raises InvalidSettingsError: it is not a host and a port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise InvalidSettingsError(f"expected HOST:PORT with a port from 1 to 65535, got {address!r}", field=field)
    return host, int(port)
