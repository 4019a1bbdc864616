"""A compiled configuration: its version, services and limits, and the table that finds a request's route."""

import string
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import quote

from kestrelplank.configuration.authority import host_of, parse_authority
from kestrelplank.configuration.document import (
    ConfigurationDocument,
    HostDocument,
    RouteDocument,
    ServiceDocument,
)
from kestrelplank.configuration.tenants import TenantIndex, tenant_index
from kestrelplank.time_units import seconds_to_ns

# These are compared as they are, although RFC 3986 allows some of them only in percent-encoded form.
URI_CHARACTERS = string.punctuation + string.digits + string.ascii_letters


class RouteType(StrEnum):
    """The operator's classification of a route's requests: whether they may run twice, and whether bodies are large."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class VersionKey(NamedTuple):
    """The key by which configurations are compared: the operator's version number, then a digest of the text."""

    version: int
    digest: str


class Service(NamedTuple):
    """A service that routes lead to.

    `max_connections` is the number of connections that one server accepts from all callers. The keys of a sharded
    service are divided among its servers; a server that takes over keys without a handover serves them slowly for
    `prewarm_ns`.
    """

    name: str
    health_check_path: str
    max_connections: int
    sharded: bool
    prewarm_ns: int


class Route(NamedTuple):
    """A route of a host. `traffic_split` names services with weights, which add up to more than 0.

    With tenants in force, only requests of routes with `public_access` are served without a key.
    """

    host: str
    path_prefix: str
    route_type: RouteType
    timeout_ns: int
    latency_target_ns: int
    priority: int
    max_attempts: int
    traffic_split: tuple[tuple[str, float], ...]
    public_access: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether a request of this route may run more than once."""
        return self.route_type == RouteType.IDEMPOTENT

    def service_at(self, point: float) -> str:
        """Return the name of the service whose section of the unit interval, divided by weight, contains `point`."""
        remaining = point * sum(weight for _, weight in self.traffic_split)
        for name, weight in self.traffic_split:
            remaining -= weight
            if remaining < 0:
                return name
        # Rounding left a remainder: use the last service whose weight is not 0.
        return next(name for name, weight in reversed(self.traffic_split) if weight > 0)


class Configuration:
    """A valid configuration, compiled for look-up.

    :param key: by which it is compared with other configurations.
    :param text: the document, byte for byte as it was sent.
    :param document: the parsed and validated text.
    :param former: a configuration whose index of tenants is used again if the list of tenants is unchanged.
    """

    def __init__(
        self, key: VersionKey, text: bytes, document: ConfigurationDocument, former: "Configuration | None" = None
    ) -> None:
        self.key, self.text = key, text
        self.tenants: TenantIndex | None = tenant_index(document.tenants, None if former is None else former.tenants)
        limits = document.limits
        self.max_body_bytes, self.max_header_bytes = limits.max_body_bytes, limits.max_header_bytes
        self.idle_timeout_ns = seconds_to_ns(limits.idle_timeout_s)
        self.header_timeout_ns = seconds_to_ns(limits.header_timeout_s)
        self.services = {service.name: _service(service) for service in document.service_table}
        self.routes_by_host: dict[str, dict[str, Route]] = {}  # `host_of` its name, then encoded path prefix
        for host in document.virtual_hosts:
            routes = self.routes_by_host.setdefault(host_of(host.host_name), {})
            routes.update((encoded_prefix(route.path_prefix), _route(host, route)) for route in host.host_routes)

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix.

        :param host: as `Host` names it; its case and a port are ignored.
        :param path: as it was sent, so that a percent-encoded slash is none, without query and fragment.
        """
        routes = self.routes_by_host.get(host)
        if routes is None:
            authority = parse_authority(host)
            routes = None if authority is None else self.routes_by_host.get(authority.host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:  # every route's prefix ends with a slash
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def encoded_prefix(path_prefix: str) -> str:
    """Return the prefix as it occurs in paths: characters that a URI can't contain are percent-encoded."""
    return quote(path_prefix, safe=URI_CHARACTERS)


def _service(service: ServiceDocument) -> Service:
    """Compile a service of the document."""
    return Service(
        name=service.name,
        health_check_path=service.health_check_path,
        max_connections=service.max_connections,
        sharded=service.sharded,
        prewarm_ns=seconds_to_ns(service.prewarm_s),
    )


def _route(host: HostDocument, route: RouteDocument) -> Route:
    """Compile a route of the document."""
    return Route(
        host=host.host_name,
        path_prefix=route.path_prefix,
        route_type=RouteType(route.route_type),
        timeout_ns=seconds_to_ns(route.timeout_s),
        latency_target_ns=seconds_to_ns(route.target_latency_s),
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        traffic_split=_traffic_split(route),
        public_access=route.public_access,
    )


def _traffic_split(route: RouteDocument) -> tuple[tuple[str, float], ...]:
    """Return the services of a route with their weights; a single service has the weight 1."""
    if route.traffic_split is not None:
        return tuple((target.target_service, target.weight) for target in route.traffic_split)
    if route.target_service is None:
        raise ValueError("route has neither target_service nor traffic_split; expected a validated document")
    return ((route.target_service, 1.0),)
