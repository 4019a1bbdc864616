"""The configurations of a soak: documents that an operator sends, and what each permits."""

from enum import Enum

import msgspec

from kestrelplank.rehearsal.loopback import HOST_NAME
from kestrelplank.rehearsal.services import SERVICES

INVALID_TIMEOUT_S = 601


class Defect(Enum):
    """Why a configuration is invalid."""

    SHARED_KEY = "shared_key"
    UNKNOWN_SERVICE = "unknown_service"
    CUT_SHORT = "cut_short"
    ZERO_WEIGHTS = "zero_weights"
    EMPTY_HOST = "empty_host"
    LONG_TIMEOUT = "long_timeout"
    SAME_PREFIX = "same_prefix"


class PlannedRoute(msgspec.Struct, frozen=True):
    """A route: `weights` holds the weight of each service."""

    prefix: str
    route_type: str
    weights: dict[str, int]
    public_access: bool = False

    @property
    def services(self) -> list[str]:
        """The services that get requests of this route."""
        return [name for name, weight in self.weights.items() if weight > 0]

    def document(self) -> dict[str, object]:
        """Return the route as it stands in a configuration."""
        split = [{"target_service": name, "weight": weight} for name, weight in self.weights.items()]
        target = {"target_service": split[0]["target_service"]} if len(split) == 1 else {"traffic_split": split}
        return {
            "name": self.prefix.strip("/").replace("/", "-"),
            "path_prefix": self.prefix,
            "route_type": self.route_type,
            "timeout_s": 2.5,
            "target_latency_s": 0.5,
            "priority": 1,
            "max_attempts": 2,
            "public_access": self.public_access,
            **target,
        }


class PlannedTenant(msgspec.Struct, frozen=True):
    """A tenant and its keys."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


class Ran(msgspec.Struct, frozen=True):
    """A request was handled by a server of this service, under this tenant's name (None: no name)."""

    service: str
    tenant: str | None


class Refused(msgspec.Struct, frozen=True):
    """A request was refused by the gateway itself with this status."""

    status: int


Handling = Ran | Refused
NOT_FOUND, UNAUTHORIZED = Refused(404), Refused(401)


class PlannedConfiguration(msgspec.Struct, frozen=True):
    """One version of the configuration; `tenants` is None if no request needs a key."""

    version: int
    routes: tuple[PlannedRoute, ...]
    tenants: tuple[PlannedTenant, ...] | None = None
    defect: Defect | None = None
    change: str = "first"

    def route(self, path: str) -> PlannedRoute | None:
        """Return the route with the longest prefix of the path."""
        matching = [route for route in self.routes if path.startswith(route.prefix)]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    def tenant_of(self, api_key: str) -> str | None:
        """Return the name of the tenant that holds the key."""
        return next((tenant.name for tenant in self.tenants or () if api_key in tenant.api_keys), None)

    def permits(self, path: str, api_key: str | None, handling: Handling) -> bool:
        """Whether a gateway with this version in force may handle a request so."""
        route = self.route(path)
        if route is None:
            return handling == NOT_FOUND
        if self.tenants is None:
            return isinstance(handling, Ran) and handling.service in route.services
        tenant = self.tenant_of(api_key) if api_key is not None else None
        if tenant is None and not (route.public_access and api_key is None):
            return handling == UNAUTHORIZED
        return isinstance(handling, Ran) and handling.service in route.services and handling.tenant == tenant

    def text(self) -> bytes:
        """Return the document to send."""
        hosts = [{"host_name": HOST_NAME, "host_routes": [route.document() for route in self.routes]}]
        document: dict[str, object] = {
            "config_version": f"{self.version:08x}",
            "service_table": [{"name": service.name, "sharded": service.is_sharded} for service in SERVICES],
            "limits": {"max_header_bytes": 16384, "header_timeout_s": 5, "idle_timeout_s": 15},
            "virtual_hosts": hosts,
        }
        if self.tenants is not None:
            document["tenants"] = [msgspec.to_builtins(tenant) for tenant in self.tenants]
        return _with_defect(document, self.defect)


def _with_defect(document: dict[str, object], defect: Defect | None) -> bytes:
    """Return the document's text, made invalid by that defect."""
    hosts = document["virtual_hosts"]
    assert isinstance(hosts, list)
    routes = hosts[0]["host_routes"]
    if defect is Defect.SHARED_KEY:
        tenants = document.get("tenants")
        assert isinstance(tenants, list)
        tenants.append({"name": "copy", "api_keys": [next(t["api_keys"][0] for t in tenants if t["api_keys"])]})
    elif defect is Defect.UNKNOWN_SERVICE:
        routes.append(PlannedRoute("/unknown-service/", "idempotent", {"nowhere": 1}).document())
    elif defect is Defect.ZERO_WEIGHTS:
        split = [{"target_service": service.name, "weight": 0} for service in SERVICES]
        routes.append({**PlannedRoute("/zero/", "idempotent", {}).document(), "traffic_split": split})
    elif defect is Defect.EMPTY_HOST:
        hosts.append({"host_name": "", "host_routes": []})
    elif defect is Defect.LONG_TIMEOUT:
        routes[0]["timeout_s"] = INVALID_TIMEOUT_S
    elif defect is Defect.SAME_PREFIX:
        routes.append(routes[0])
    text = msgspec.json.encode(document)
    return text[: len(text) // 2] if defect is Defect.CUT_SHORT else text
