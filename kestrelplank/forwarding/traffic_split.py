"""Chooses a service from a route's `traffic_split`, so that even short windows of requests match the weights.

Each edge machine steps through the unit interval by the golden ratio, modulo 1; a request is sent to the service whose
section of the interval contains the point. This sequence is as evenly spread as any additive one: of `n` consecutive
points, each section gets its share within about `log(n)`. Every edge starts at a random point, so that the errors of
many edges cancel without coordination.

Source: H. Weyl, *Über die Gleichverteilung von Zahlen mod. Eins* (1916); D. Knuth, *The Art of Computer Programming*,
volume 3, section 6.4 (why the golden ratio). Alternatives: docs/requests.md, "Shares of a traffic split".
"""

from random import Random

from kestrelplank.configuration.route_table import Configuration, Route

GOLDEN_RATIO_FRACTION = 0.6180339887498949  # (sqrt(5) - 1) / 2


class TrafficSplitter:
    """The next point of each split route at one edge machine.

    Invariant: in any window of one edge's requests, each service's share is within a few requests of its weight
    (`test_every_window_of_one_edge_matches_the_weights`), also across a change of weights
    (`test_changed_weights_apply_from_the_next_request`).
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._configuration: Configuration | None = None
        self._points: dict[tuple[str, str], float] = {}  # by host and path prefix

    def choose(self, configuration: Configuration, route: Route) -> str:
        """Return the name of the service for the next request of the route."""
        if len(route.traffic_split) == 1:
            return route.traffic_split[0][0]
        if configuration is not self._configuration:
            self._drop_removed_routes(configuration)
        key = route.host, route.path_prefix
        point = self._points.get(key)
        if point is None:
            point = self._random.random()
        self._points[key] = (point + GOLDEN_RATIO_FRACTION) % 1.0
        return route.service_at(point)

    def _drop_removed_routes(self, configuration: Configuration) -> None:
        """Drop the points of routes that the configuration does not have."""
        self._configuration = configuration
        routes = configuration.routes_by_host
        self._points = {
            (host, prefix): point
            for (host, prefix), point in self._points.items()
            if prefix in routes.get(host.lower(), {})
        }
