"""The differences between two configurations: limits, services, tenants, and routes field by field.

Fields of routes have the names and units of the document. Limits have shorter names and are in ns or bytes; a service
that differs is reported with all its fields; of a tenant, never its keys. The command line prints these names and
values, so they must not change.
"""

from typing import NamedTuple

from kestrelplank.configuration.route_table import Configuration, Route, Service
from kestrelplank.configuration.tenants import Tenant, TenantIndex
from kestrelplank.time_units import SECOND

ADDED, DROPPED, KEYS_CHANGED = "added", "dropped", "api_keys changed"
DOCUMENT_FIELD_NAMES = {
    "route_type": "route_type",
    "timeout_ns": "timeout_s",
    "latency_target_ns": "target_latency_s",
    "priority": "priority",
    "max_attempts": "max_attempts",
    "traffic_split": "traffic_split",
    "public_access": "public_access",
}
LIMIT_NAMES = {
    "max_body_bytes": "max_body",
    "max_header_bytes": "max_header",
    "idle_timeout_ns": "idle",
    "header_timeout_ns": "header_wait",
}

Value = str | int | float | None
ServiceValue = tuple[str | int | bool, ...] | None


class Difference(NamedTuple):
    """One difference, as the command line prints it.

    `host` and `prefix` are empty for limits, services and tenants. For a route that only one configuration has, `field`
    is `added` or `dropped` and both values are None; for a tenant, its name comes before.
    """

    host: str
    prefix: str
    field: str
    old: Value | ServiceValue
    new: Value | ServiceValue

    def __str__(self) -> str:
        subject = f"{self.host}{self.prefix}" if self.host else "all"
        if self.old is self.new is None:
            return f"{subject}: {self.field}"
        return f"{subject}: {self.field} {self.old} -> {self.new}"


def differences(old: Configuration, new: Configuration) -> list[Difference]:
    """Return all differences: limits, services by name, tenants by name, then routes by host and prefix."""
    changes = _limit_differences(old, new)
    for name in sorted(old.services.keys() | new.services.keys()):
        changes += _service_differences(name, old.services.get(name), new.services.get(name))
    changes += _tenant_differences(old.tenants, new.tenants)
    for host in sorted(old.routes_by_host.keys() | new.routes_by_host.keys()):
        old_routes, new_routes = old.routes_by_host.get(host, {}), new.routes_by_host.get(host, {})
        for prefix in sorted(old_routes.keys() | new_routes.keys()):
            changes += _route_differences(host, prefix, old_routes.get(prefix), new_routes.get(prefix))
    return changes


def _limit_differences(old: Configuration, new: Configuration) -> list[Difference]:
    """Return the differing limits on clients; times are in ns."""
    return [
        Difference("", "", printed_name, getattr(old, name), getattr(new, name))
        for name, printed_name in LIMIT_NAMES.items()
        if getattr(old, name) != getattr(new, name)
    ]


def _service_differences(name: str, old: Service | None, new: Service | None) -> list[Difference]:
    """Return one difference if the service differs, with all its fields except the name, in the order of `Service`."""
    if old == new:
        return []
    return [Difference("", "", f"service {name}", old and tuple(old[1:]), new and tuple(new[1:]))]


def _tenant_differences(old: TenantIndex | None, new: TenantIndex | None) -> list[Difference]:
    """Return whether requests need a key, if that differs, then the differences of each tenant by name."""
    changes: list[Difference] = []
    if (old is None) != (new is None):
        changes.append(Difference("", "", "api_key_required", old is not None, new is not None))
    old_tenants, new_tenants = ({} if index is None else index.tenants for index in (old, new))
    old_keys, new_keys = ({} if index is None else index.key_digests() for index in (old, new))
    for name in sorted(old_tenants.keys() | new_tenants.keys()):
        changes += _one_tenant_differences(name, old_tenants.get(name), new_tenants.get(name))
        if name in old_keys and name in new_keys and old_keys[name] != new_keys[name]:
            changes.append(Difference("", "", f"tenant {name} {KEYS_CHANGED}", None, None))
    return changes


def _one_tenant_differences(name: str, old: Tenant | None, new: Tenant | None) -> list[Difference]:
    """Return the differences of the tenant with that name, except those of its keys."""
    if old is None or new is None:
        return [Difference("", "", f"tenant {name} {ADDED if old is None else DROPPED}", None, None)]
    if old.priority == new.priority:
        return []
    return [Difference("", "", f"tenant {name} priority", old.priority, new.priority)]


def _route_differences(host: str, prefix: str, old: Route | None, new: Route | None) -> list[Difference]:
    """Return the differences of the route with that host and prefix."""
    if old is None or new is None:
        return [Difference(host, prefix, ADDED if old is None else DROPPED, None, None)]
    return [
        Difference(host, prefix, printed_name, _document_value(old, name), _document_value(new, name))
        for name, printed_name in DOCUMENT_FIELD_NAMES.items()
        if getattr(old, name) != getattr(new, name)
    ]


def _document_value(route: Route, name: str) -> Value:
    """Return a route's field in the units of the document: times in seconds, a traffic split as one line of text."""
    match name:
        case "timeout_ns":
            return route.timeout_ns / SECOND
        case "latency_target_ns":
            return route.latency_target_ns / SECOND
        case "traffic_split":
            return _format_traffic_split(route.traffic_split)
        case _:
            value: Value = getattr(route, name)
            return value


def _format_traffic_split(split: tuple[tuple[str, float], ...]) -> str:
    """Return the name of a single service, or all services with their weights."""
    if len(split) == 1:
        return split[0][0]
    return ", ".join(f"{service} {weight:g}" for service, weight in split)
