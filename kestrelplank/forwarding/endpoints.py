"""All servers as one edge machine sees them: which are listed, which are ejected, and the choice among them."""

from collections.abc import Iterable
from random import Random

from kestrelplank.forwarding.endpoint import Endpoint
from kestrelplank.load_balancing.outlier_ejection import OutlierEjection
from kestrelplank.time_units import SECOND
from kestrelplank.transport.server_list import READY, ListedServer

EJECTION_TIME_NS = (1 * SECOND, 2 * SECOND)  # bounds, drawn at random for each ejection
CONSECUTIVE_FAILURES = 2  # after which a server is ejected

# Factors on the expected wait when a server is chosen. Connections and traffic between zones cost money.
CONNECT_COST = 1.4  # no idle connection: one must be opened, and all edges share the server's connection limit
OTHER_ZONE_COST = 1.15
OTHER_ZONE_BODY_BYTES = 80_000  # to another zone, each multiple of this body size adds 1 to the factor
WARMING_UP_WEIGHT = 0.5  # divisor of the cost of a server that is warming up (slow start)
TIE_BREAK_JITTER = 0.3  # largest random addition to the factor, so that edges spread over servers of equal cost


class Endpoints:
    """All servers of all services.

    :param zone: of this edge machine.
    """

    def __init__(self, random: Random, zone: str) -> None:
        self._random, self._zone = random, zone
        self.by_name: dict[str, Endpoint] = {}
        self.services: dict[str, list[Endpoint]] = {}
        self._ejection = OutlierEjection(random, CONSECUTIVE_FAILURES, EJECTION_TIME_NS)
        self._last_number = 0

    def update(self, fetched_at: int, entries: Iterable[ListedServer]) -> None:
        """Replace the server list; servers that are no longer listed or are draining get no new requests.

        :param fetched_at: when the list was fetched from the platform.
        """
        listed = {}
        for entry in entries:
            listed[entry.server] = self._updated_endpoint(fetched_at, entry)
        for name, endpoint in self.by_name.items():
            if name not in listed:
                endpoint.ready = endpoint.listed = False  # requests in flight still refer to it
        self.by_name = listed
        self.services = {}
        for endpoint in listed.values():
            self.services.setdefault(endpoint.service, []).append(endpoint)

    def _updated_endpoint(self, fetched_at: int, entry: ListedServer) -> Endpoint:
        """Return the endpoint of the entry, updated; a new one if the server was not listed before."""
        endpoint = self.by_name.get(entry.server)
        if endpoint is None:
            self._last_number += 1
            endpoint = Endpoint(self._last_number, entry)
        if endpoint.ready and entry.state != READY:
            endpoint.drain_listed_at = fetched_at
        endpoint.ready, endpoint.warm_up_ends_at = entry.state == READY, fetched_at + entry.warm_up_ns
        return endpoint

    def choose(self, now: int, service: str, excluded: tuple[str, ...], body_bytes: int = 0) -> Endpoint | None:
        """Return the usable server with the lowest cost; None if no server is usable.

        :param excluded: names of the servers that this request was already sent to.
        """
        usable = [
            endpoint
            for endpoint in self.services.get(service, ())
            if endpoint.ready and endpoint.server not in excluded
        ]
        if not usable:
            return None
        healthy = self._ejection.without_ejected(now, [(endpoint.number, 1.0) for endpoint in usable])
        if len(healthy) < len(usable):
            numbers = {number for number, _ in healthy}
            usable = [endpoint for endpoint in usable if endpoint.number in numbers]
        return min(usable, key=lambda endpoint: self._cost(now, endpoint, body_bytes))

    def _cost(self, now: int, endpoint: Endpoint, body_bytes: int) -> float:
        """Return the expected wait at the server (s), times the factors that apply."""
        zone_cost = 1 if endpoint.zone == self._zone else OTHER_ZONE_COST + body_bytes / OTHER_ZONE_BODY_BYTES
        cost = endpoint.expected_wait_s(now) * zone_cost
        if not endpoint.idle_connections:
            cost *= CONNECT_COST
        cost *= 1 + TIE_BREAK_JITTER * self._random.random()
        return cost / WARMING_UP_WEIGHT if now < endpoint.warm_up_ends_at else cost

    def is_ejected(self, now: int, endpoint: Endpoint) -> bool:
        """Whether the server is ejected now, after consecutive failures."""
        return self._ejection.is_ejected(now, endpoint.number)

    def ejected(self, now: int) -> list[str]:
        """Return the names of the servers that are ejected now."""
        return [name for name, endpoint in self.by_name.items() if self.is_ejected(now, endpoint)]

    def record_outcome(self, now: int, endpoint: Endpoint, *, succeeded: bool) -> None:
        """Record whether the server served an attempt; eject it after consecutive failures."""
        if endpoint.listed:
            self._ejection.record_attempt(now, endpoint.number, succeeded)
