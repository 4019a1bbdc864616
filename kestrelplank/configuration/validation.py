"""Validation of a document's values: known services, distinct routes and keys, time-outs and weights within bounds.

Each function raises InvalidFieldError for the first invalid field, in this order: version, services, then hosts and
routes in the order of the document, then tenants. No reason contains a tenant's key. Other fields, such as `limits` and
`max_attempts`, are not checked here.
"""

import math
import re
from typing import NamedTuple

from kestrelplank.configuration.document import (
    ConfigurationDocument,
    HostDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
    TrafficSplitDocument,
)
from kestrelplank.configuration.errors import InvalidFieldError
from kestrelplank.configuration.route_table import RouteType

MAX_ROUTE_TIMEOUT_S = 600
ROUTE_TYPES = tuple(RouteType)
VERSION = re.compile(r"[0-9a-fA-F]{1,16}")


class _KeyPath(NamedTuple):
    """The place of a key in the document: the index of its tenant, and its own among the tenant's keys."""

    tenant: int
    key: int

    def __str__(self) -> str:
        return f"tenants[{self.tenant}].api_keys[{self.key}]"


def validate(document: ConfigurationDocument) -> None:
    """Check a document whose fields have the right types.

    :raises InvalidFieldError: a field has an invalid value.
    """
    if not VERSION.fullmatch(document.config_version):
        raise InvalidFieldError(
            "config_version", f"{document.config_version!r} is not a hexadecimal number of 1 to 16 digits"
        )
    service_names = _validated_service_names(document.service_table)
    prefixes_by_host: dict[str, set[str]] = {}
    for index, host in enumerate(document.virtual_hosts):
        prefixes = prefixes_by_host.setdefault(host.host_name.lower(), set())
        _validate_host(host, f"virtual_hosts[{index}]", service_names, prefixes)
    if document.tenants is not None:
        _validate_tenants(document.tenants)


def _validated_service_names(service_table: list[ServiceDocument]) -> set[str]:
    """Return the names of the services, after checking that they are not empty and distinct."""
    names = {service.name for service in service_table}
    if len(names) != len(service_table) or "" in names:
        raise InvalidFieldError("service_table", "names must not be empty and must be distinct")
    return names


def _validate_host(host: HostDocument, path: str, service_names: set[str], prefixes: set[str]) -> None:
    """Check a host and its routes.

    :param path: the path of the host in the document.
    :param prefixes: the path prefixes of earlier entries of the same host; those of this entry are added to them.
    """
    if not host.host_name.strip():
        raise InvalidFieldError(f"{path}.host_name", "must not be empty")
    for index, route in enumerate(host.host_routes):
        route_path = f"{path}.host_routes[{index}]"
        _validate_route(route, route_path, service_names)
        if route.path_prefix in prefixes:
            reason = f"{route.path_prefix!r} is given twice for host {host.host_name!r}; prefixes must be distinct"
            raise InvalidFieldError(f"{route_path}.path_prefix", reason)
        prefixes.add(route.path_prefix)


def _validate_route(route: RouteDocument, path: str, service_names: set[str]) -> None:
    """Check a route, except that its prefix is distinct."""
    if route.route_type not in ROUTE_TYPES:
        raise InvalidFieldError(f"{path}.route_type", f"{route.route_type!r} is not one of {', '.join(ROUTE_TYPES)}")
    if not 0 < route.timeout_s <= MAX_ROUTE_TIMEOUT_S:
        reason = f"{route.timeout_s} is out of range; expected seconds above 0 and at most {MAX_ROUTE_TIMEOUT_S}"
        raise InvalidFieldError(f"{path}.timeout_s", reason)
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        raise InvalidFieldError(f"{path}.path_prefix", f"{route.path_prefix!r} must begin and end with a slash")
    if route.target_service is not None and route.target_service not in service_names:
        raise InvalidFieldError(f"{path}.target_service", f"{route.target_service!r} is not in service_table")
    if route.traffic_split is not None:
        _validate_traffic_split(route.traffic_split, f"{path}.traffic_split", service_names)
    elif route.target_service is None:
        raise InvalidFieldError(f"{path}.target_service", "missing; expected target_service or traffic_split")


def _validate_traffic_split(split: list[TrafficSplitDocument], path: str, service_names: set[str]) -> None:
    """Check the services of a traffic split, and that at least one weight is above 0."""
    for index, target in enumerate(split):
        if target.target_service not in service_names:
            raise InvalidFieldError(
                f"{path}[{index}].target_service", f"{target.target_service!r} is not in service_table"
            )
        if not 0 <= target.weight < math.inf:
            raise InvalidFieldError(f"{path}[{index}].weight", f"{target.weight} is not a finite number of at least 0")
    if not sum(target.weight for target in split) > 0:
        raise InvalidFieldError(path, "the weights add up to 0; at least one must be above 0")


def _validate_tenants(tenants: list[TenantDocument]) -> None:
    """Check that names are distinct and fit for a header, and that no two tenants share a key."""
    name_paths: dict[str, str] = {}
    key_paths: dict[str, _KeyPath] = {}
    for index, tenant in enumerate(tenants):
        path = f"tenants[{index}]"
        _validate_tenant_name(tenant.name, f"{path}.name", name_paths)
        for key_index, api_key in enumerate(tenant.api_keys):
            _validate_api_key(api_key, _KeyPath(index, key_index), key_paths)


def _validate_tenant_name(name: str, path: str, paths: dict[str, str]) -> None:
    """Check a tenant's name, and add it to the `paths` of earlier names."""
    if not name.strip():
        raise InvalidFieldError(path, "must not be empty")
    if name != name.strip():
        raise InvalidFieldError(path, "must not begin or end with white space, which headers can't carry")
    if not name.isprintable():
        raise InvalidFieldError(path, "must consist of printable characters")
    if name in paths:
        raise InvalidFieldError(path, f"{name!r} is the name of {paths[name]} too; names must be distinct")
    paths[name] = path


def _validate_api_key(api_key: str, path: _KeyPath, paths: dict[str, _KeyPath]) -> None:
    """Check a key, and add it to the `paths` of earlier keys; one tenant may have a key twice."""
    if not api_key:
        raise InvalidFieldError(str(path), "must not be empty")
    earlier = paths.setdefault(api_key, path)
    if earlier.tenant != path.tenant:
        raise InvalidFieldError(str(path), f"is the key of {earlier} too; tenants must not share a key")
