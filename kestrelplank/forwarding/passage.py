"""One request on an edge machine: the route, the server, tries, and when to give up. No I/O: `Forwarder` returns steps,
which an adapter carries out.

    ("send", stand, within)        send it there, and call `ended` with what came; `within` in ns
    ("wait", until)                call `again` at that time, or sooner where lines or servers have changed
    ("give",)                      pass the last answer on
    ("refuse", fault, after)       answer so; `after`: ns after which to come back, 0 where nothing is promised

A request that can't be repeated is sent again only with proof that it has not run: the server's own word, or no byte of
it sent. What has been given up is answered at once.
"""

from random import Random
from typing import Any

from kestrelplank.configuration.plan import Route
from kestrelplank.forwarding.kinds import ANSWERS, Fault
from kestrelplank.forwarding.stands import Endpoint, Endpoints
from kestrelplank.transport.outlook import EdgeView

S = 1_000_000_000
MS = 1_000_000
Step = tuple[Any, ...]

# How a try may end, as the adapter saw it.
ANSWERED = "answered"  # a whole answer of this request's
NOT_RUN = "not run"  # the server's own word
UNSENT = "unsent"  # no byte of it has left us
BROKEN = "broken"  # no answer, a broken one, or one that is not this request's: it may have run
SILENT = "silent"  # nothing in time: it may have run, or run yet
BUSY = "busy"  # nothing was tried: all our connections there are in use

DIALS = 4  # servers tried where nothing was sent
KEYLESS = 250 * MS  # what a refusal says for a key that nobody holds
SPREAD = 0.5  # of a time to come back: so that those who come back do not come together
LOOK = 60 * MS  # how often a request looks again whether a server has room
CONNECTIONS = 0.8  # of what a server accepts from all callers, shared by all edge members
HUSH = 4, 0.6  # a repeatable request is silent after so many times what is usual there, and so much of its aim
LAST = 30 * MS  # before the client's time is over, we answer it ourselves


class Budget:
    """Second tries that this member may still make at a service: a part of its requests, and a few saved up, so that
    all edge members together stay within the operator's bound even when they hear nothing of each other.

    Source: Finagle's and gRPC's retry budgets, see `plan.attempts.Budget`; here the saved part shrinks with members."""

    def __init__(self, ratio: float, allowance: float) -> None:
        self._ratio, self._allowance = ratio, allowance
        self._saved: dict[str, float] = {}
        self.edges = 1

    def most(self) -> float:
        return max(1.0, min(6.0, 0.5 * self._allowance / self.edges))

    def asked(self, service: str) -> None:
        self._saved[service] = min(self.most(), self._saved.get(service, self.most()) + 0.7 * self._ratio)

    def spend(self, service: str) -> bool:
        left = self._saved.get(service, self.most())
        if left < 1:
            return False
        self._saved[service] = left - 1
        return True


class ForwardedRequest:
    """A request in hand. Times in ns; `tried`: servers that something was sent to."""

    __slots__ = ("route", "service", "key", "came", "deadline", "tried", "dials", "stand", "sent_at", "met", "size")

    def __init__(self, route: Route, service: str, key: int | None, came: int, deadline: int, size: int = 0) -> None:
        self.route, self.service, self.key, self.came, self.deadline = route, service, key, came, deadline
        self.size = size
        self.tried: tuple[str, ...] = ()
        self.dials, self.sent_at = 0, 0
        self.stand: Endpoint | None = None
        self.met = ""  # of the last try


class Forwarder:
    """All requests of one edge member."""

    def __init__(
        self, random: Random, outlook: EdgeView, zone: str, ratio: float, allowance: float, drain: int = 5 * S // 2
    ) -> None:
        """`drain`: ns after the platform lists a server as leaving after which no request may reach it."""
        self._random, self.outlook, self._drain = random, outlook, drain
        self.stands = Endpoints(random, zone)
        self.budget = Budget(ratio, allowance)
        self.keys: dict[str, list[int]] = {}  # that requests came for since the last report, by service

    def begin(
        self, now: int, host: str, path: str, key: str | None, within: int, size: int = 0
    ) -> tuple[ForwardedRequest | None, Step]:
        """A request has come whole, its body `size` bytes; its client waits `within` ns. A passage and the first
        step."""
        timetable = self.outlook.timetable
        if timetable is None:
            return None, self._refuse(Fault.NOT_READY, 300 * MS)
        route = timetable.route(host, path)
        if route is None:
            return None, ("refuse", Fault.NO_ROUTE, 0)
        service = route.service(self._random)
        number = None
        if timetable.services[service].sharded:
            if key is None or not key.isdecimal() or int(key) > 65535:
                return None, ("refuse", Fault.BAD_REQUEST, 0)
            number = int(key)
            self.keys.setdefault(service, []).append(number)
        self.budget.asked(service)
        passage = ForwardedRequest(route, service, number, now, now + min(within, route.timeout), size)
        return passage, self._next(now, passage)

    def again(self, now: int, passage: ForwardedRequest) -> Step:
        """The wait is over, or something has changed."""
        return self._next(now, passage)

    def ended(
        self, now: int, passage: ForwardedRequest, outcome: str, status: int, load: tuple[int, int, int] | None
    ) -> Step:
        """The try that was out has ended so. `status` of an answer, else 0."""
        stand, passage.stand, passage.met = passage.stand, None, outcome
        if outcome == BUSY:
            self.stands.never_began(stand)
            return self._crowded(now, passage, stand)
        good = outcome == ANSWERED and status < 500
        self.stands.ended(now, stand, good or outcome == NOT_RUN, now - passage.sent_at, load)
        if outcome == UNSENT:
            passage.dials += 1
        else:
            passage.tried = (*passage.tried, stand.server)
        if outcome == ANSWERED and (status < 500 or not passage.route.repeatable or not self._may_again(now, passage)):
            return ("give",)
        if outcome in (ANSWERED, BROKEN, SILENT):
            if (
                not passage.route.repeatable
                or not self._may_again(now, passage)
                or not self.budget.spend(passage.service)
            ):
                return ("refuse", Fault.UNKNOWN_OUTCOME if outcome == BROKEN else Fault.TIMED_OUT, 0)
            return self._next(now, passage)
        if outcome == NOT_RUN and (not self._may_again(now, passage) or not self.budget.spend(passage.service)):
            return self._refuse(Fault.FULL, passage.route.aim // 4)
        if passage.dials >= DIALS:
            return self._refuse(Fault.NO_SERVER, passage.route.aim // 2)
        return self._next(now, passage)

    def _may_again(self, now: int, passage: ForwardedRequest) -> bool:
        return len(passage.tried) < passage.route.attempts and now + 2 * LAST < passage.deadline

    def _next(self, now: int, passage: ForwardedRequest) -> Step:
        """Where the request goes now."""
        if now + LAST >= passage.deadline:
            return self._refuse(Fault.TOO_LATE, 0)
        if passage.key is None:
            stand = self.stands.choose(now, passage.service, passage.tried, passage.size)
            if stand is None:
                return self._refuse(Fault.NO_SERVER, passage.route.aim // 2)
            if not stand.room(now, self.outlook.edges):
                return self._crowded(now, passage, stand)
            return self._send(now, passage, stand)
        held = self.outlook.holders.get(passage.service)
        holder = held.of(passage.key) if held else None
        stand = self.stands.by_name.get(holder.server) if holder else None
        if (
            stand is None
            or stand.closed(now, self._drain)
            or not stand.ready
            and stand.server in passage.tried
            or (passage.met == NOT_RUN and stand.server == passage.tried[-1])
        ):
            return self._keyless(now, passage)
        if passage.dials and self.stands.avoided(now, stand):
            return self._keyless(now, passage)
        if not stand.room(now, self.outlook.edges):
            return self._crowded(now, passage, stand)
        return self._send(now, passage, stand)

    def _keyless(self, now: int, passage: ForwardedRequest) -> Step:
        """Nobody holds the key, as far as is known: worth the wait that a move takes."""
        until = passage.came + passage.route.aim // 2
        if now >= until:
            return self._refuse(Fault.NO_HOLDER, KEYLESS)
        return ("wait", until)

    def _crowded(self, now: int, passage: ForwardedRequest, stand: Endpoint) -> Step:
        """The only server that may run it has enough in hand: what hangs there can't be taken back, so it waits here
        while its aim can still be met."""
        left = passage.came + passage.route.aim - int(stand.took * S)
        if now >= left:
            return self._refuse(Fault.FULL, min(passage.route.aim, int(stand.wait(now) * S)) // 2)
        return ("wait", min(left, now + LOOK))

    def _send(self, now: int, passage: ForwardedRequest, stand: Endpoint) -> Step:
        passage.stand, passage.sent_at = stand, now
        self.stands.began(stand)
        within = passage.deadline - now
        # What is silent for long at a server that others stand beside is worth another try there; a key has one holder.
        if (
            passage.route.repeatable
            and passage.key is None
            and len(passage.tried) + 1 < passage.route.attempts
            and len(self.stands.services.get(passage.service, ())) > 1
        ):
            within = min(within, max(int(HUSH[0] * stand.took * S), int(HUSH[1] * passage.route.aim)))
        return ("send", stand, within)

    def connections(self, service: str) -> int:
        """How many connections to one server of that service this member may have, with all edge members alike."""
        most = self.outlook.timetable.services[service].connections if self.outlook.timetable else 0
        return max(2, int(CONNECTIONS * most / self.outlook.edges))

    def _refuse(self, fault: Fault, after: int) -> Step:
        spread = int(after * (1 + SPREAD * self._random.random()))
        return ("refuse", fault, spread if ANSWERS[fault].promises else 0)

    def report(self) -> dict[str, dict[str, Any]]:
        """Of each service divided by key, since the last time: the keys asked for, and by server what was met there
        (`Endpoint.met`)."""
        found: dict[str, dict[str, Any]] = {}
        for service in self.outlook.holders:
            servers = {}
            for stand in self.stands.services.get(service, ()):
                if stand.tries or stand.told_times:
                    servers[stand.server] = stand.met()
                    stand.forget()
            found[service] = {"keys": self.keys.pop(service, []), "servers": servers}
        return found
