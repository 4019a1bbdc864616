"""One server as one edge machine sees it.

Keeps this edge's requests in flight at the server, the load that the server reported, its latency, and the statistics
since the last load report to the control members.
"""

import math

from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.server_list import READY, ListedServer

LOAD_HALF_LIFE_NS = 300 * MILLISECOND  # the last reported load of other edges counts for half after this time
INITIAL_LATENCY_S = 0.15  # assumed for a server that has not answered yet
LATENCY_WEIGHT = 0.1  # of the newest sample in the moving average of latencies
MAX_LATENCY_SAMPLE_S = 2.0
NEGLIGIBLE_LOAD = 0.01  # requests
MAX_QUEUED = 4  # requests queued at a server; one beyond that might never be answered
# If a server's last load report is older than LOAD_FRESH_NS, this edge sends it at most its share of the server's
# capacity, or MIN_UNREPORTED_IN_FLIGHT requests where that share is smaller.
LOAD_FRESH_NS = 1 * SECOND
MIN_UNREPORTED_IN_FLIGHT = 2
DRAIN_SEND_FRACTION = 0.36  # of the drain time, during which a draining server may still be sent requests

ServerLoad = tuple[int, int, int]  # running, waiting, slots
EndpointStats = tuple[float, ...]  # sent in load reports; `Endpoint.stats` lists the figures in order


class Endpoint:
    """One incarnation of a server.

    :param number: unique number of this incarnation, assigned by `Endpoints`.
    """

    __slots__ = (
        "number",
        "server",
        "service",
        "address",
        "zone",
        "slots",
        "ready",
        "listed",
        "warm_up_ends_at",
        "drain_listed_at",
        "in_flight",
        "idle_connections",
        "other_edges_load",
        "load_reported_at",
        "latency_s",
        "attempts",
        "failures",
        "busy_slots_sum",
        "load_reports",
        "unqueued_log_latency_sum",
        "unqueued_answers",
    )

    def __init__(self, number: int, entry: ListedServer) -> None:
        self.number, self.server, self.service, self.address = number, entry.server, entry.service, entry.address
        self.zone, self.slots = entry.zone, max(1, entry.slots)
        self.ready, self.listed, self.warm_up_ends_at = entry.state == READY, True, 0
        self.drain_listed_at = (
            0  # when the first list that showed it draining was fetched; 0: it has not gone from ready to draining
        )
        self.in_flight = 0  # requests of this edge at the server
        self.idle_connections = 0  # connections of this edge, set by the adapter
        self.other_edges_load, self.load_reported_at = 0.0, 0  # requests, as of the last load report
        self.latency_s = INITIAL_LATENCY_S
        self.reset_stats()

    # Estimated load.

    def load(self, now: int) -> float:
        """Return the estimated number of requests at the server, of this edge and of others."""
        others = 0.0
        if self.other_edges_load > NEGLIGIBLE_LOAD:
            others = self.other_edges_load * 0.5 ** ((now - self.load_reported_at) / LOAD_HALF_LIFE_NS)
        return self.in_flight + others

    def has_capacity(self, now: int, edge_count: int) -> bool:
        """Whether the server can take one more request without its queue exceeding `MAX_QUEUED`.

        All edges may send there at once, so without a recent load report each edge sends no more than its share.

        :param edge_count: how many edge machines there are.
        """
        capacity = self.slots + MAX_QUEUED
        if now - self.load_reported_at > LOAD_FRESH_NS:
            return self.in_flight < max(MIN_UNREPORTED_IN_FLIGHT, capacity / edge_count)
        return self.load(now) < capacity

    def expected_wait_s(self, now: int) -> float:
        """Return the estimated seconds until one more request would be answered."""
        queued = max(0.0, self.load(now) + 1 - self.slots)
        return self.latency_s * (1 + queued / self.slots)

    def is_drained(self, now: int, drain_ns: int) -> bool:
        """Whether the server is about to stop, so that nothing may be sent to it; it may still hold keys.

        The server list may lag by a poll or two, and connecting takes time: so the server counts as drained well before
        the drain time is over.

        :param drain_ns: time from the platform listing a server as draining until no request may reach it.
        """
        return not self.ready and now >= self.drain_listed_at + int(drain_ns * DRAIN_SEND_FRACTION)

    # Attempts.

    def attempt_started(self) -> None:
        """Count an attempt that is about to be sent."""
        self.in_flight += 1
        self.attempts += 1
        self.idle_connections = max(0, self.idle_connections - 1)

    def attempt_discarded(self) -> None:
        """Reverse `attempt_started` for an attempt that was not sent, for a reason unrelated to the server."""
        self.in_flight -= 1
        self.attempts -= 1

    def attempt_abandoned(self) -> None:
        """Count the end of an attempt that this edge aborted: it may have run, but says nothing about the server."""
        self.in_flight -= 1

    def attempt_ended(self, now: int, succeeded: bool, duration_ns: int, load: ServerLoad | None) -> None:
        """Count the end of an attempt, and update latency and load from it.

        :param succeeded: its outcome is not a failure of the server (`forwarder.HEALTHY_SERVER_OUTCOMES`).
        :param load: the load that the server reported with its answer; None: it reported none.
        """
        self.in_flight -= 1
        self.failures += not succeeded
        if succeeded:
            sample_s = min(duration_ns / SECOND, MAX_LATENCY_SAMPLE_S)
            self.latency_s += LATENCY_WEIGHT * (sample_s - self.latency_s)
        if load is not None:
            self._load_reported(now, succeeded, duration_ns, load)

    def _load_reported(self, now: int, succeeded: bool, duration_ns: int, load: ServerLoad) -> None:
        """Update the load from an answer; the reported load includes the request that has just ended."""
        running, waiting, slots = load
        reported_requests = running + waiting
        self.other_edges_load, self.load_reported_at = max(0.0, reported_requests - self.in_flight - 1.0), now
        self.slots = max(1, slots)
        if now < self.warm_up_ends_at:
            return
        # The slots busy after this request: the next one in the queue, if any, takes its slot.
        self.busy_slots_sum += min(max(0, reported_requests - 1), self.slots)
        self.load_reports += 1
        if succeeded and duration_ns > 0 and reported_requests <= self.slots:
            self.unqueued_log_latency_sum += math.log(duration_ns / SECOND)
            self.unqueued_answers += 1

    # Statistics, for the member that assigns key ranges.

    def stats(self) -> EndpointStats:
        """Return the statistics since `reset_stats`.

        In order: attempts, failures, the sum of busy slots over the server's load reports, the number of those reports,
        the sum of the logarithms of latencies (s) of answers from a server without a queue, and their number.
        """
        return (
            self.attempts,
            self.failures,
            self.busy_slots_sum,
            self.load_reports,
            round(self.unqueued_log_latency_sum, 3),
            self.unqueued_answers,
        )

    def reset_stats(self) -> None:
        """Reset the statistics to 0, after they have been reported."""
        self.attempts, self.failures = 0, 0
        self.busy_slots_sum, self.load_reports = 0.0, 0
        self.unqueued_log_latency_sum, self.unqueued_answers = 0.0, 0
