"""Where a client's request goes, how often, and when to give it up: the decisions of one edge machine. No I/O: each
call returns a step (`forwarding.steps`) that an adapter carries out.

Whether a request may be sent again is not decided here but in `forwarding.resend`; attempts, time and the budget narrow
that. What has been given up is answered at once.
"""

from random import Random
from typing import Any

from kestrelplank.forwarding.budget import Budget
from kestrelplank.forwarding.endpoints import Endpoint, Endpoints
from kestrelplank.forwarding.errors import ANSWERS, Fault
from kestrelplank.forwarding.request import ForwardedRequest
from kestrelplank.forwarding.resend import Again, Seen, Verdict, harmless, verdict
from kestrelplank.forwarding.steps import Give, Refuse, Send, Step, Wait
from kestrelplank.transport.edge_view import EdgeView

S = 1_000_000_000
MS = 1_000_000

DIALS = 4  # servers tried where nothing was sent
KEYLESS = 250 * MS  # what a refusal says for a key that nobody holds
SPREAD = 0.5  # of a time to come back: so that those who come back do not come together
LOOK = 60 * MS  # how often a request looks again whether a server has room
CONNECTIONS = 0.8  # of what a server accepts from all callers, shared by all edge members
WANTED_CONNECTIONS = 2  # one in use and one that comes up, where a server accepts as many from each edge member
HUSH = 4, 0.6  # a repeatable request is silent after so many times what is usual there, and so much of its aim
LAST = 30 * MS  # before the client's time is over, we answer it ourselves
LEAST_OFFER = 10  # a send that has less than this part of the aim as its deadline is no offer
KEY_LIMIT = 65536

NOT_BEGUN = (Seen.NO_ROOM, Seen.UNSENDABLE)  # for a reason of our own, or of the client's
SOUND = (Seen.ANSWERED, Seen.NOT_RUN)  # ends of a try that say nothing against its server


class Forwarder:
    """All requests of one edge member."""

    def __init__(
        self, random: Random, view: EdgeView, zone: str, ratio: float, allowance: float, drain: int = 5 * S // 2
    ) -> None:
        """`ratio`, `allowance`: the operator's bound on further tries. `drain`: ns after the platform lists a server as
        leaving after which no request may reach it."""
        self._random, self.view, self._drain = random, view, drain
        self.endpoints = Endpoints(random, zone)
        self.budget = Budget(ratio, allowance)
        self.keys: dict[str, list[int]] = {}  # that requests came for since the last report, by service

    # A request's way.

    def begin(
        self, now: int, host: str, path: str, key: str | None, within: int, size: int = 0
    ) -> tuple[ForwardedRequest | None, Step]:
        """A request has come whole, its body `size` bytes; its client waits `within` ns. Returns the request in hand
        (None where it is refused at the door) and the first step."""
        configuration = self.view.configuration
        if configuration is None:
            return None, self._refuse(Fault.NOT_READY, 300 * MS)
        route = configuration.route(host, path)
        if route is None:
            return None, Refuse(Fault.NO_ROUTE)
        service = configuration.services[route.service(self._random)]
        number = None
        if service.sharded:
            if key is None or not key.isdecimal() or int(key) >= KEY_LIMIT:
                return None, Refuse(Fault.BAD_REQUEST)
            number = int(key)
            self.keys.setdefault(service.name, []).append(number)
        self.budget.asked(service.name)
        deadline = now + min(within, route.timeout)
        request = ForwardedRequest(route, service.name, service.connections, number, now, deadline, size)
        return request, self._next(now, request)

    def again(self, now: int, request: ForwardedRequest) -> Step:
        """The wait is over, or something has changed."""
        return self._next(now, request)

    def ended(self, now: int, request: ForwardedRequest, seen: Seen, load: tuple[int, int, int] | None = None) -> Step:
        """The try that was out has ended so; `load`: what the server told of its load, if it did."""
        endpoint = request.endpoint
        if seen in NOT_BEGUN:
            request.endpoint = None
            self.endpoints.never_began(endpoint)
            if seen is Seen.NO_ROOM:
                return self._crowded(now, request, endpoint)
            return self._refuse(Fault.BAD_REQUEST, 0, request)
        self.endpoints.ended(now, endpoint, seen in SOUND, now - request.sent_at, load)
        found = verdict(request.call, seen)
        request.ended(seen, found, endpoint.server)
        if found.again is Again.NO or not self._another_try(now, request, found):
            return self._give_up(request)
        return self._next(now, request)

    def connections(self, request: ForwardedRequest) -> int:
        """How many connections to one server of its service this member may have, with all edge members alike."""
        share = int(CONNECTIONS * request.connections / self.view.edge_count)
        least = WANTED_CONNECTIONS if WANTED_CONNECTIONS * self.view.edge_count <= request.connections else 1
        return max(least, share)

    @staticmethod
    def may_abandon(request: ForwardedRequest) -> bool:
        """Whether a try that is out may be broken off once the client has gone."""
        return harmless(request.call)

    # Decisions.

    def _another_try(self, now: int, request: ForwardedRequest, found: Verdict) -> bool:
        """Whether limits leave room for a try that the verdict allows."""
        if not found.arrived:
            return request.dials < DIALS
        return (
            len(request.tried) < request.route.attempts
            and now + 2 * LAST < request.deadline
            and self.budget.spend(request.service)
        )

    def _give_up(self, request: ForwardedRequest) -> Step:
        """No further try follows the one that has just ended."""
        if request.last_seen is Seen.ANSWERED:
            return Give()
        if request.last_seen is Seen.NOT_RUN:
            return self._refuse(Fault.FULL, request.route.aim // 4, request)
        if request.last_seen is Seen.UNSENT:
            return self._refuse(Fault.NO_SERVER, request.route.aim // 2, request)
        return self._refuse(Fault.UNKNOWN_OUTCOME, 0, request)

    def _next(self, now: int, request: ForwardedRequest) -> Step:
        """Where the request goes now."""
        if now + max(LAST, request.route.aim // LEAST_OFFER) >= request.deadline:
            return self._refuse(Fault.TOO_LATE, 0, request)
        if request.key is None:
            return self._any_server(now, request)
        return self._holder(now, request)

    def _any_server(self, now: int, request: ForwardedRequest) -> Step:
        endpoint = self.endpoints.choose(now, request.service, request.tried, request.size)
        if endpoint is None:
            return self._refuse(Fault.NO_SERVER, request.route.aim // 2, request)
        if not endpoint.room(now, self.view.edge_count):
            return self._crowded(now, request, endpoint)
        return self._send(now, request, endpoint)

    def _holder(self, now: int, request: ForwardedRequest) -> Step:
        held = self.view.key_ranges.get(request.service)
        holder = held.holder_of(request.key) if held else None
        endpoint = self.endpoints.by_name.get(holder.server) if holder else None
        if endpoint is None or self._useless(now, request, endpoint):
            return self._keyless(now, request)
        if not endpoint.room(now, self.view.edge_count):
            return self._crowded(now, request, endpoint)
        return self._send(now, request, endpoint)

    def _useless(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> bool:
        """Whether nothing should go to the holder now, though it is the only one that could serve the key."""
        if endpoint.closed(now, self._drain):
            return True
        if not endpoint.ready and endpoint.server in request.tried:
            return True
        if request.last_seen is Seen.NOT_RUN and endpoint.server == request.tried[-1]:
            return True  # it holds the key no longer: another holder is about to be told
        return bool(request.dials) and self.endpoints.avoided(now, endpoint)

    def _keyless(self, now: int, request: ForwardedRequest) -> Step:
        """Nobody holds the key, as far as is known: worth the wait that a move takes."""
        until = request.came + request.route.aim // 2
        if now >= until:
            return self._refuse(Fault.NO_HOLDER, KEYLESS, request)
        return Wait(until)

    def _crowded(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> Step:
        """The only server that may run it has enough in hand: what hangs there can't be taken back, so it waits here
        while its aim can still be met."""
        left = request.came + request.route.aim - int(endpoint.took * S)
        if now >= left:
            return self._refuse(Fault.FULL, min(request.route.aim, int(endpoint.wait(now) * S)) // 2, request)
        return Wait(min(left, now + LOOK))

    def _send(self, now: int, request: ForwardedRequest, endpoint: Endpoint) -> Step:
        request.endpoint, request.sent_at = endpoint, now
        self.endpoints.began(endpoint)
        within = request.deadline - now
        if self._may_hush(request):
            usual = int(HUSH[0] * endpoint.took * S)
            within = min(within, max(usual, int(HUSH[1] * request.route.aim)))
        return Send(endpoint, within)

    def _may_hush(self, request: ForwardedRequest) -> bool:
        """Whether silence may end this try before its deadline: only where another server may do it as well, and only
        if the table lets what was silent be sent again."""
        return (
            request.key is None
            and len(request.tried) + 1 < request.route.attempts
            and len(self.endpoints.services.get(request.service, ())) > 1
            and harmless(request.call)
        )

    def _refuse(self, fault: Fault, after: int, request: ForwardedRequest | None = None) -> Step:
        """An answer of our own. Where a try may have run nothing is promised, and the last server's own answer, if
        there was one, goes before ours."""
        if request is not None and request.may_have_run:
            if request.last_seen is Seen.FAILED:
                return Give()
            return Refuse(Fault.TIMED_OUT if request.last_seen is Seen.SILENT else Fault.UNKNOWN_OUTCOME)
        spread = int(after * (1 + SPREAD * self._random.random()))
        return Refuse(fault, spread if ANSWERS[fault].promises else 0)

    # What was met.

    def report(self) -> dict[str, dict[str, Any]]:
        """Of each service divided by key, since the last time: the keys asked for, and by server what was met there
        (`Endpoint.met`)."""
        found: dict[str, dict[str, Any]] = {}
        for service in self.view.key_ranges:
            servers = {}
            for endpoint in self.endpoints.services.get(service, ()):
                if endpoint.tries or endpoint.told_times:
                    servers[endpoint.server] = endpoint.met()
                    endpoint.forget()
            found[service] = {"keys": self.keys.pop(service, []), "servers": servers}
        return found
