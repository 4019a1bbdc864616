"""A configuration as the operator sends it: checked whole, then compiled for look-up.

`read` takes the bytes and returns a `Configuration` or why they are refused; nothing half read ever leaves here.
"""

import hashlib
import math
import re
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import msgspec
from returns.result import Failure, Result, Success
from serde import deserialize, disabled

from kestrelplank.settings.errors import InvalidSettings
from kestrelplank.settings.platform import checked, ns

IDEMPOTENT, NON_IDEMPOTENT, UPLOAD = "idempotent", "non_idempotent", "upload"
KINDS = (IDEMPOTENT, NON_IDEMPOTENT, UPLOAD)
LONGEST = 600  # s, of a route's timeout
VERSION = re.compile(r"[0-9a-fA-F]{1,16}")
Number = int | float


@deserialize(type_check=disabled)
@dataclass
class SplitForm:
    target_service: str
    weight: Number


@deserialize(type_check=disabled)
@dataclass
class RouteForm:
    path_prefix: str
    route_type: str
    timeout_s: Number
    name: str = ""
    target_latency_s: Number = 1.0
    priority: int = 0
    target_service: str | None = None
    traffic_split: list[SplitForm] | None = None
    max_attempts: int = 1


@deserialize(type_check=disabled)
@dataclass
class HostForm:
    host_name: str
    host_routes: list[RouteForm]


@deserialize(type_check=disabled)
@dataclass
class ServiceForm:
    name: str
    health_check_path: str = "/health"
    max_connections: int = 100
    sharded: bool = False
    prewarm_s: Number = 0.0


@deserialize(type_check=disabled)
@dataclass
class LimitsForm:
    max_header_bytes: int = 16384
    max_body_bytes: int = 67108864
    header_timeout_s: Number = 5
    idle_timeout_s: Number = 15


@deserialize(type_check=disabled)
@dataclass
class Form:
    config_version: str
    service_table: list[ServiceForm]
    virtual_hosts: list[HostForm]
    limits: LimitsForm = field(default_factory=LimitsForm)


class Key(NamedTuple):
    """What configurations are compared by: the higher version prevails, of equal ones the higher digest, so that two
    that were sent under one number still settle alike everywhere."""

    version: int
    digest: str


NOTHING = Key(-1, "")


class Service(NamedTuple):
    """A service: where its servers are asked for their health, the connections one accepts from all callers, whether
    it is divided by key, and how long (ns) keys without a handover are slow."""

    name: str
    health_path: str
    connections: int
    sharded: bool
    prewarm: int


class Route(NamedTuple):
    """A route; times in ns. `split`: services and weights, the weights adding up to more than 0."""

    host: str
    prefix: str
    kind: str
    timeout: int
    aim: int
    priority: int
    attempts: int
    split: tuple[tuple[str, float], ...]

    @property
    def repeatable(self) -> bool:
        return self.kind == IDEMPOTENT

    def service(self, random: Random) -> str:
        """The service that a request goes to, by weight."""
        if len(self.split) == 1:
            return self.split[0][0]
        left = random.random() * sum(weight for _, weight in self.split)
        for name, weight in self.split:
            left -= weight
            if left < 0:
                return name
        return next(name for name, weight in reversed(self.split) if weight > 0)


class Configuration:
    """A configuration that has passed all checks. `text` is it as it was sent."""

    def __init__(self, key: Key, text: bytes, form: Form) -> None:
        self.key, self.text = key, text
        self.max_body, self.max_header = form.limits.max_body_bytes, form.limits.max_header_bytes
        self.idle, self.header_wait = ns(form.limits.idle_timeout_s), ns(form.limits.header_timeout_s)
        self.services = {
            one.name: Service(one.name, one.health_check_path, one.max_connections, one.sharded, ns(one.prewarm_s))
            for one in form.service_table
        }
        self.hosts: dict[str, dict[str, Route]] = {}
        for host in form.virtual_hosts:
            places = self.hosts.setdefault(host.host_name.lower(), {})
            for one in host.host_routes:
                split = (
                    ((one.target_service, 1.0),)
                    if one.traffic_split is None
                    else tuple((part.target_service, part.weight) for part in one.traffic_split)
                )
                places[one.path_prefix] = Route(
                    host.host_name,
                    one.path_prefix,
                    one.route_type,
                    ns(one.timeout_s),
                    ns(one.target_latency_s),
                    one.priority,
                    max(1, one.max_attempts),
                    split,
                )

    def route(self, host: str, path: str) -> Route | None:
        """The route of that host whose prefix is the longest that begins the path; a port in `host` is not heeded."""
        places = self.hosts.get(host.rsplit(":", 1)[0].lower() if ":" in host else host.lower())
        if places is None:
            return None
        end = path.rfind("/")
        while end >= 0:  # every prefix ends with a slash, so only these places can be one's end
            found = places.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None


def faults(form: Form) -> str | None:
    """What makes a configuration invalid though it could be read, as `field: why`, or None."""
    if not VERSION.fullmatch(form.config_version):
        return f"config_version: {form.config_version!r} is no hexadecimal number"
    services = {service.name for service in form.service_table}
    if len(services) != len(form.service_table) or "" in services:
        return "service_table: names must be given, each once"
    places: dict[tuple[str, str], None] = {}
    for at, host in enumerate(form.virtual_hosts):
        where = f"virtual_hosts[{at}]"
        if not host.host_name.strip():
            return f"{where}.host_name: empty"
        for number, route in enumerate(host.host_routes):
            place = f"{where}.host_routes[{number}]"
            wrong = route_faults(route, services)
            if wrong:
                return f"{place}.{wrong}"
            if (host.host_name.lower(), route.path_prefix) in places:
                return f"{place}.path_prefix: {route.path_prefix!r} stands twice on {host.host_name!r}"
            places[host.host_name.lower(), route.path_prefix] = None
    return None


def route_faults(route: RouteForm, services: set[str]) -> str | None:
    """The same for one route."""
    if route.route_type not in KINDS:
        return f"route_type: {route.route_type!r} is none of {', '.join(KINDS)}"
    if not 0 < route.timeout_s <= LONGEST:
        return f"timeout_s: {route.timeout_s} is not above 0 and at most {LONGEST}"
    if not route.path_prefix.startswith("/") or not route.path_prefix.endswith("/"):
        return f"path_prefix: {route.path_prefix!r} does not begin and end with a slash"
    if route.traffic_split is None:
        if route.target_service is None:
            return "target_service: missing, and no traffic_split"
        return None if route.target_service in services else f"target_service: {route.target_service!r} is unknown"
    for at, part in enumerate(route.traffic_split):
        if part.target_service not in services:
            return f"traffic_split[{at}].target_service: {part.target_service!r} is unknown"
        if not 0 <= part.weight < math.inf:
            return f"traffic_split[{at}].weight: {part.weight} is not 0 or more"
    if not sum(part.weight for part in route.traffic_split) > 0:
        return "traffic_split: the weights add up to 0"
    return None


def read(text: bytes) -> Result[Configuration, str]:
    """The configuration in these bytes, or why it is refused: one line that names the field, or the byte where it
    stops being JSON."""
    try:
        data: Any = msgspec.json.decode(text)
        form = checked(Form, data)
    except msgspec.DecodeError as err:
        return Failure(f"not whole: {err}")
    except (InvalidSettings, RecursionError) as err:
        return Failure(str(err))
    wrong = faults(form)
    if wrong:
        return Failure(wrong)
    key = Key(int(form.config_version, 16), hashlib.blake2b(text, digest_size=12).hexdigest())
    return Success(Configuration(key, text, form))
