"""A client's request at an edge machine, from its admission to its answer: all decisions, without I/O.

An adapter calls `Forwarder.admit` for each request that was received in full, then carries out one step after the
other (`forwarding.steps`) until the client has its answer:

    admit ─> next_step ─> Send ─> attempt_ended ─┬─> ForwardAnswer
                │  ▲        │ ▲      │           │
                │  └── Wait │ └──────┤ retry     ├─> Refuse
                │           └─> retry_early      │
                └────────────────────────────────┘

The states between the steps are those of `forwarding.request.RequestState`. `forwarding.retry_policy` decides whether a
request may be retried; attempts, deadline and retry budget limit that further.
"""

from collections.abc import Sequence
from random import Random

from kestrelplank.configuration.route_table import Service
from kestrelplank.forwarding.admission import Admissions
from kestrelplank.forwarding.endpoint import Endpoint, EndpointStats, ServerLoad
from kestrelplank.forwarding.endpoints import Endpoints
from kestrelplank.forwarding.errors import (
    AttemptTimeoutError,
    BadRequestError,
    DeadlineTooNearError,
    NoKeyHolderError,
    NoServerError,
    NotReadyError,
    OutcomeUnknownError,
    RequestError,
    ServersFullError,
)
from kestrelplank.forwarding.request import ForwardedRequest
from kestrelplank.forwarding.retry_after import NO_HOLDER_RETRY_AFTER_NS, NOT_READY_RETRY_AFTER_NS, jittered
from kestrelplank.forwarding.retry_budget import RetryBudget
from kestrelplank.forwarding.retry_policy import CallOutcome, RetryTarget, Verdict, is_idempotent, verdict
from kestrelplank.forwarding.steps import ForwardAnswer, Refuse, Send, Step, Wait
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.edge_view import EdgeView

SHARD_KEYS = 65_536

# Deadline.
ANSWER_MARGIN_NS = 30 * MILLISECOND  # kept before the deadline for an answer of the gateway's own
MIN_ATTEMPT_DIVISOR = 10  # an attempt needs at least latency target / 10 before the deadline

# Attempts.
MAX_UNSENT_ATTEMPTS = 4  # of one request, whose connections failed; not counted towards `max_attempts`
# Nothing was sent, for a reason unrelated to the server.
NOT_STARTED_OUTCOMES = (CallOutcome.NO_CONNECTION_FREE, CallOutcome.UNSENDABLE, CallOutcome.NOT_SENT)
HEALTHY_SERVER_OUTCOMES = (CallOutcome.ANSWERED, CallOutcome.NOT_EXECUTED)  # not failures of the server
# An attempt that another server may repeat may be retried early: after this multiple of the server's average latency,
# but not before this fraction of the latency target.
EARLY_TIMEOUT_LATENCIES = 4
EARLY_TIMEOUT_TARGET_FRACTION = 0.6
EARLY_RETRY_INTERVAL_NS = 60 * MILLISECOND  # between two calls of `retry_early` for one attempt

# Waiting.
CAPACITY_POLL_INTERVAL_NS = 60 * MILLISECOND  # how often a waiting request checks a server's capacity

# Connections.
CONNECTION_SHARE = 0.8  # of a server's connection limit, divided among all edges
WANTED_CONNECTIONS = 2  # per edge, where the server's limit allows: one in use, one being opened


class Forwarder:
    """All requests of one edge machine.

    Invariants, each with its test in `tests/forwarding/test_forwarder.py`:

    - A non-idempotent request that may have run is neither retried nor answered as not run
      (`test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_refused_as_not_run`).
    - A request keeps the route that it was admitted with
      (`test_a_request_keeps_its_route_when_the_configuration_changes`).
    - Route and key of a request are judged by the same version of the configuration
      (`test_route_and_key_are_judged_by_the_same_version`).
    - States follow `TRANSITIONS` (`test_request_states_follow_the_transition_table`).
    - An attempt is ended early only if its retry starts in the same call
      (`test_an_attempt_goes_on_after_its_early_time_out_unless_its_retry_can_start`), and never around a planned stop:
      while this edge shuts down (`test_no_attempt_is_ended_early_while_the_edge_shuts_down`), and just after its start
      (`test_no_attempt_is_ended_early_just_after_the_start`).
    - Every attempt that is started is ended or discarded
      (`test_a_request_without_a_free_connection_waits_and_is_not_counted_as_an_attempt`), also after
      the client has disconnected (`test_no_attempt_is_started_after_the_client_has_disconnected`).

    :param zone: of this edge machine.
    :param retry_ratio: retries per request that the operator allows all edges together.
    :param retry_allowance: retries beyond that ratio, also for all edges together.
    :param drain_ns: time from the platform listing a server as draining until no request may reach it.
    :param max_unconfirmed_ns: how long keys are accepted without a current member's confirmation of the configuration;
        None: without limit.
    """

    def __init__(
        self,
        random: Random,
        view: EdgeView,
        zone: str,
        retry_ratio: float,
        retry_allowance: float,
        drain_ns: int = 5 * SECOND // 2,
        max_unconfirmed_ns: int | None = None,
    ) -> None:
        self._random, self.view, self._drain_ns = random, view, drain_ns
        self.endpoints = Endpoints(random, zone)
        self.retry_budget = RetryBudget(retry_ratio, retry_allowance)
        self.shutting_down = False  # set by the owner: clients are owed the answers that servers are working on
        self.early_retries_from = 0  # set by the owner: monotonic time; no attempt is ended early before it
        self._admissions = Admissions(random, view, max_unconfirmed_ns)
        self.requested_keys: dict[str, list[int]] = {}  # by service, since the last report

    # 1. Admission: configuration, route, tenant, service, shard key, deadline.

    def admit(
        self,
        now: int,
        host: str,
        path: str,
        shard_key: str | None,
        client_timeout_ns: int,
        body_bytes: int = 0,
        authorizations: Sequence[bytes] = (),
    ) -> ForwardedRequest:
        """Admit a request that was received in full.

        :param client_timeout_ns: the time that its client still waits.
        :param authorizations: the values of all its `Authorization` headers.
        :raises RequestError: the request is refused; no state is kept for it.
        """
        configuration = self.view.configuration  # one version judges the whole request
        if configuration is None:
            raise NotReadyError(jittered(self._random, NOT_READY_RETRY_AFTER_NS))
        admission = self._admissions.decide(now, configuration, host, path, authorizations)
        key = self._shard_key(admission.service, shard_key)
        self.retry_budget.deposit(admission.service.name)
        deadline_at = now + min(client_timeout_ns, admission.route.timeout_ns)
        return ForwardedRequest(admission, key, now, deadline_at, body_bytes)

    def _shard_key(self, service: Service, shard_key: str | None) -> int | None:
        """Return the shard key, and record it for the load report; None if the service is not sharded."""
        if not service.sharded:
            return None
        if shard_key is None or not shard_key.isdecimal() or int(shard_key) >= SHARD_KEYS:
            raise BadRequestError
        key = int(shard_key)
        self.requested_keys.setdefault(service.name, []).append(key)
        return key

    # 2. Choice of a server.

    def next_step(self, now: int, request: ForwardedRequest) -> Step:
        """Decide where the request goes: after its admission, after a wait, and before a retry."""
        if now + _min_attempt_ns(request) >= request.deadline_at:
            return self._refuse(request, DeadlineTooNearError)
        if request.key is None:
            return self._to_any_server(now, request)
        return self._to_key_holder(now, request, request.key)

    def _to_any_server(self, now: int, request: ForwardedRequest) -> Step:
        endpoint = self._choose(now, request, request.attempted_servers)
        if endpoint is None and request.ended_early:
            endpoint = self._choose(now, request, ())  # its client is owed an answer until the deadline
        if endpoint is None:
            return self._refuse(request, NoServerError, request.route.latency_target_ns // 2)
        if not endpoint.has_capacity(now, self.view.edge_count):
            return self._wait_for_capacity(now, request, endpoint)
        return self._start_attempt(now, request, endpoint)

    def _choose(self, now: int, request: ForwardedRequest, excluded: tuple[str, ...]) -> Endpoint | None:
        return self.endpoints.choose(now, request.service, excluded, request.body_bytes)

    def _to_key_holder(self, now: int, request: ForwardedRequest, key: int) -> Step:
        ranges = self.view.key_ranges.get(request.service)
        holder = ranges.holder_of(key) if ranges else None
        endpoint = self.endpoints.by_name.get(holder.server) if holder else None
        if endpoint is None or self._is_unusable_holder(now, request, endpoint):
            return self._wait_for_holder(now, request)
        if not endpoint.has_capacity(now, self.view.edge_count):
            return self._wait_for_capacity(now, request, endpoint)
        return self._start_attempt(now, request, endpoint)

    def _is_unusable_holder(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> bool:
        """Whether the request must not be sent to the key holder now, although no other server could serve the key."""
        if endpoint.is_drained(now, self._drain_ns):
            return True
        if not endpoint.ready and endpoint.server in request.attempted_servers:
            return True  # draining or no longer listed, and has failed: the key is about to move
        if request.last_outcome is CallOutcome.NOT_EXECUTED and endpoint.server == request.attempted_servers[-1]:
            return True  # it no longer holds the key: an update will name the new holder
        return bool(request.unsent_attempts) and self.endpoints.is_ejected(now, endpoint)

    # 3. Waiting at the edge: once sent to a server, a request can't be withdrawn, nor be refused as not run.

    def _wait_for_holder(self, now: int, request: ForwardedRequest) -> Step:
        """Wait for a new holder of the key for up to half the latency target, then refuse."""
        until = request.received_at + request.route.latency_target_ns // 2
        if now >= until:
            return self._refuse(request, NoKeyHolderError, NO_HOLDER_RETRY_AFTER_NS)
        request.begin_wait()
        return Wait(until)

    def _wait_for_capacity(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> Step:
        """Wait for capacity at the server while the latency target can still be met, then refuse.

        A request whose attempt was ended early waits until its deadline, as that attempt might have been answered.
        """
        until = request.received_at + request.route.latency_target_ns - int(endpoint.latency_s * SECOND)
        if request.ended_early:
            until = request.deadline_at - _min_attempt_ns(request)
        if now >= until:
            expected_wait_ns = int(endpoint.expected_wait_s(now) * SECOND)
            return self._refuse(request, ServersFullError, min(request.route.latency_target_ns, expected_wait_ns) // 2)
        request.begin_wait()
        return Wait(min(until, now + CAPACITY_POLL_INTERVAL_NS))

    # 4. Attempts and their time-outs.

    def _start_attempt(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> Send:
        """Send the request, with all the time left until its deadline."""
        request.start_attempt(now, endpoint)
        endpoint.attempt_started()
        return Send(endpoint, request.deadline_at - now, self._early_timeout_ns(request, endpoint))

    def _early_timeout_ns(self, request: ForwardedRequest, endpoint: Endpoint) -> int | None:
        """Return when the attempt may be retried early; None if the policy or the route's attempts forbid it."""
        attempts = len(request.attempted_servers) + 1
        if request.key is not None or attempts >= request.route.max_attempts or not is_idempotent(request.call_kind):
            return None
        latency_based_ns = int(EARLY_TIMEOUT_LATENCIES * endpoint.latency_s * SECOND)
        return max(latency_based_ns, int(EARLY_TIMEOUT_TARGET_FRACTION * request.route.latency_target_ns))

    def retry_early(self, now: int, request: ForwardedRequest) -> Send | None:
        """End the attempt in flight, whose early time-out is over, and start its retry; None: the attempt goes on.

        Other requests compete for all that a retry needs: a server with capacity, a connection, a retry in the budget.
        So it is taken here, where the attempt is ended, and not counted on when the attempt starts.
        """
        endpoint = request.endpoint
        assert endpoint is not None  # an attempt is in flight
        if request.client_gone or now + _min_attempt_ns(request) >= request.deadline_at:
            return None
        if not self.retry_budget.has_retry(request.service):
            return None  # many attempts are slow: this one says little about its server
        self._record_overdue(now, request, endpoint)
        other = self._choose(now, request, (*request.attempted_servers, endpoint.server))
        if self._is_in_planned_stop(now) or other is None or not self._can_start(now, request, other):
            return None
        self.retry_budget.try_withdraw(request.service)
        self._end_attempt(now, request, endpoint, CallOutcome.TIMEOUT, None)
        request.ended_early = True
        return self._start_attempt(now, request, other)

    def _is_in_planned_stop(self, now: int) -> bool:
        """Whether this machine is being stopped, or may be in the time of a stop before this process was started."""
        return self.shutting_down or now < self.early_retries_from

    def attempt_stalled(self, now: int, request: ForwardedRequest) -> None:
        """Record that the server leaves the attempt in flight unread: other requests avoid it, and the attempt goes on.

        A server may read a request late and answer it in time, so that alone ends no attempt.
        """
        if request.endpoint is not None:
            self._record_overdue(now, request, request.endpoint)

    def _record_overdue(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> None:
        """Count the attempt as a failure of its server, once, so that other requests avoid the server."""
        if not request.overdue:
            request.overdue = True
            self.endpoints.record_outcome(now, endpoint, succeeded=False)

    def _can_start(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> bool:
        """Whether the server has capacity, and this edge a connection to it that is free or may be opened."""
        free_connection = endpoint.in_flight < self.max_connections(request)
        return free_connection and endpoint.has_capacity(now, self.view.edge_count)

    def max_connections(self, request: ForwardedRequest) -> int:
        """Return how many connections this edge may have to a server of the service; all edges have equal shares."""
        share = int(CONNECTION_SHARE * request.max_connections / self.view.edge_count)
        min_connections = (
            WANTED_CONNECTIONS if WANTED_CONNECTIONS * self.view.edge_count <= request.max_connections else 1
        )
        return max(min_connections, share)

    @staticmethod
    def may_abandon(request: ForwardedRequest) -> bool:
        """Whether an attempt in flight may be aborted once the client has disconnected."""
        return is_idempotent(request.call_kind)

    # 5. The end of an attempt: retry or give up.

    @staticmethod
    def client_disconnected(request: ForwardedRequest) -> None:
        """Record that the client has disconnected: later steps are not carried out, so no attempt is started."""
        request.client_gone = True

    def attempt_ended(
        self, now: int, request: ForwardedRequest, outcome: CallOutcome, load: ServerLoad | None = None
    ) -> Step:
        """Return the step after an attempt that has ended.

        :param load: the load that the server reported; None: it reported none.
        """
        endpoint = request.endpoint
        assert endpoint is not None  # an attempt is in flight
        if outcome in NOT_STARTED_OUTCOMES:
            return self._handle_unsent(now, request, endpoint, outcome)
        result = self._end_attempt(now, request, endpoint, outcome, load)
        if result.retry is RetryTarget.NONE or not self._may_retry(now, request, result):
            return self._give_up(request, outcome)
        return self.next_step(now, request)

    def _end_attempt(
        self, now: int, request: ForwardedRequest, endpoint: Endpoint, outcome: CallOutcome, load: ServerLoad | None
    ) -> Verdict:
        """Record the end of the attempt at its server and in the request; return the policy's verdict on it."""
        if self._is_inconclusive(now, request, endpoint, outcome):
            endpoint.attempt_abandoned()
        else:
            succeeded = outcome in HEALTHY_SERVER_OUTCOMES
            if succeeded or not request.overdue:
                self.endpoints.record_outcome(now, endpoint, succeeded=succeeded)
            endpoint.attempt_ended(now, succeeded, now - request.sent_at, load)
        result = verdict(request.call_kind, outcome)
        request.end_attempt(endpoint.server, outcome, result)
        return result

    @staticmethod
    def _is_inconclusive(now: int, request: ForwardedRequest, endpoint: Endpoint, outcome: CallOutcome) -> bool:
        """Whether this edge ended the attempt before the server could have been expected to answer."""
        if outcome is CallOutcome.ABANDONED:
            return True
        return outcome is CallOutcome.TIMEOUT and now - request.sent_at < int(endpoint.latency_s * SECOND)

    def _handle_unsent(self, now: int, request: ForwardedRequest, endpoint: Endpoint, outcome: CallOutcome) -> Step:
        """Return the step after an attempt of which nothing was sent, for a reason unrelated to the server."""
        request.discard_attempt()
        endpoint.attempt_discarded()
        if outcome is CallOutcome.NO_CONNECTION_FREE:
            return self._wait_for_capacity(now, request, endpoint)
        return self._refuse(request, BadRequestError)

    def _may_retry(self, now: int, request: ForwardedRequest, result: Verdict) -> bool:
        """Whether client, attempts, deadline and retry budget permit the retry that the policy allows."""
        if request.client_gone:
            return False
        if not result.counts_as_attempt:
            return request.unsent_attempts < MAX_UNSENT_ATTEMPTS
        return (
            len(request.attempted_servers) < request.route.max_attempts
            and now + 2 * ANSWER_MARGIN_NS < request.deadline_at
            and self.retry_budget.try_withdraw(request.service)
        )

    def _give_up(self, request: ForwardedRequest, outcome: CallOutcome) -> Step:
        """Return the final step after an attempt that ended with `outcome` and is not retried."""
        if outcome is CallOutcome.ANSWERED:
            return self._forward_answer(request)
        if outcome is CallOutcome.NOT_EXECUTED:
            return self._refuse(request, ServersFullError, request.route.latency_target_ns // 4)
        if outcome is CallOutcome.CONNECT_FAIL:
            return self._refuse(request, NoServerError, request.route.latency_target_ns // 2)
        return self._refuse(request, OutcomeUnknownError)

    # 6. The answer.

    @staticmethod
    def _forward_answer(request: ForwardedRequest) -> Step:
        request.forward_answer()
        return ForwardAnswer()

    def _refuse(self, request: ForwardedRequest, error: type[RequestError], retry_after_ns: int = 0) -> Step:
        """End the request without a further attempt: with `error`, unless an attempt may have run.

        If one may have run, the client gets the last 5xx answer of a server, or else 504 or 502.

        :param retry_after_ns: the error's `retry_after_ns` before jitter.
        """
        if not request.may_have_run:
            request.refuse()
            return Refuse(error(jittered(self._random, retry_after_ns)))
        if request.has_error_answer:
            return self._forward_answer(request)
        request.refuse()
        if request.last_outcome is CallOutcome.TIMEOUT:
            return Refuse(AttemptTimeoutError())
        return Refuse(OutcomeUnknownError())

    # Statistics, for the member that assigns key ranges.

    def take_load_reports(self) -> dict[str, tuple[list[int], dict[str, EndpointStats]]]:
        """Return the statistics of each sharded service since the last call, and reset them.

        For each: the shard keys of its requests, and `Endpoint.stats` of each server that had attempts or load reports.
        """
        reports = {}
        for service in self.view.key_ranges:
            servers = {}
            for endpoint in self.endpoints.services.get(service, ()):
                if endpoint.attempts or endpoint.load_reports:
                    servers[endpoint.server] = endpoint.stats()
                    endpoint.reset_stats()
            reports[service] = self.requested_keys.pop(service, []), servers
        return reports


def _min_attempt_ns(request: ForwardedRequest) -> int:
    """Return the time before the deadline without which no attempt is started."""
    return max(ANSWER_MARGIN_NS, request.route.latency_target_ns // MIN_ATTEMPT_DIVISOR)
