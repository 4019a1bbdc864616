"""Which route, tenant and service a request gets, by one version of the configuration."""

from collections.abc import Sequence
from random import Random

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.forwarding.authentication import authenticate
from kestrelplank.forwarding.errors import ConfigurationUnconfirmedError, RouteNotFoundError
from kestrelplank.forwarding.request import Admission
from kestrelplank.forwarding.retry_after import NOT_READY_RETRY_AFTER_NS, jittered
from kestrelplank.forwarding.traffic_split import TrafficSplitter
from kestrelplank.transport.edge_view import EdgeView


class Admissions:
    """Decides on the admission of one edge machine's requests.

    :param max_unconfirmed_ns: how long keys are accepted without a current member's confirmation of the configuration;
        None: without limit.
    """

    def __init__(self, random: Random, view: EdgeView, max_unconfirmed_ns: int | None) -> None:
        self._random, self._view, self._max_unconfirmed_ns = random, view, max_unconfirmed_ns
        self._splitter = TrafficSplitter(random)

    def decide(
        self, now: int, configuration: Configuration, host: str, path: str, authorizations: Sequence[bytes]
    ) -> Admission:
        """Return the configuration's decisions: first the route, then the tenant, then the service.

        :param authorizations: the values of all `Authorization` headers.
        :raises RequestError: the configuration does not allow the request, or has been unconfirmed for too long.
        """
        route = configuration.route(host, path)
        if route is None:
            raise RouteNotFoundError
        has_tenants = configuration.tenants is not None
        if has_tenants and (authorizations or not route.public_access):
            self._require_confirmation(now)
        tenant = authenticate(configuration, route, authorizations)
        service = configuration.services[self._splitter.choose(configuration, route)]
        return Admission(route, service, has_tenants, tenant)

    def _require_confirmation(self, now: int) -> None:
        """Raise `ConfigurationUnconfirmedError` if the configuration has been unconfirmed for too long."""
        limit_ns = self._max_unconfirmed_ns
        if limit_ns is not None and not self._view.is_confirmed(now, limit_ns):
            raise ConfigurationUnconfirmedError(jittered(self._random, NOT_READY_RETRY_AFTER_NS))
