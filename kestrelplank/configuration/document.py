"""The JSON document in which operators send a configuration, with its field names and units.

Unknown fields are ignored. Only `parsing`, `validation` and `route_table` read these classes; times are in seconds here
and in nanoseconds everywhere else.
"""

from dataclasses import field

from kestrelplank.settings.checked_dataclasses import checked_dataclass

Seconds = int | float


@checked_dataclass
class TrafficSplitDocument:
    """A service that gets a share of a route's requests, in proportion to its weight."""

    target_service: str
    weight: int | float


@checked_dataclass
class RouteDocument:
    """A route of a host, to one service or to several with weights."""

    path_prefix: str
    route_type: str
    timeout_s: Seconds
    name: str = ""
    target_latency_s: Seconds = 1.0
    priority: int = 0
    target_service: str | None = None
    traffic_split: list[TrafficSplitDocument] | None = None
    max_attempts: int = 1
    public_access: bool = False


@checked_dataclass
class HostDocument:
    """A host and its routes."""

    host_name: str
    host_routes: list[RouteDocument]


@checked_dataclass
class ServiceDocument:
    """A service that routes may refer to."""

    name: str
    health_check_path: str = "/health"
    max_connections: int = 100
    sharded: bool = False
    prewarm_s: Seconds = 0.0


@checked_dataclass
class TenantDocument:
    """A tenant with the keys that its requests carry. The keys are secret: they belong in no log line or error text."""

    name: str
    api_keys: list[str] = field(repr=False)
    priority: int | None = None


@checked_dataclass
class LimitsDocument:
    """Limits on the size of clients' requests and on the time that clients may take."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: Seconds = 5
    idle_timeout_s: Seconds = 15


@checked_dataclass
class ConfigurationDocument:
    """The top level of the document; `config_version` is a hexadecimal number.

    Without `tenants`, no request needs a key; with an empty list, no key is known.
    """

    config_version: str
    service_table: list[ServiceDocument]
    virtual_hosts: list[HostDocument]
    limits: LimitsDocument = field(default_factory=LimitsDocument)
    tenants: list[TenantDocument] | None = None
