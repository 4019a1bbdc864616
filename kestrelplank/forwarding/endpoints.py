"""Servers as one edge member sees them: own requests out, what they told of their load, how long their answers take,
and who is avoided for a while."""

import math
from collections.abc import Iterable
from random import Random

from kestrelplank.load_balancing.attempts import Avoidance
from kestrelplank.transport.server_list import READY, ListedServer

S = 1_000_000_000
FADES = 300_000_000  # ns in which what a server told of its load loses half of its meaning
USUAL = 0.15  # s that a request takes at a server that has not answered yet
SPELL = (1 * S, 2 * S)  # for which a server is avoided at which tries have failed in a row
STRIKES = 2
QUEUE = 4  # requests that may wait at a server: beyond that it might take one that it never answers
HEARD, UNHEARD = 1 * S, 2  # so many requests of ours at least at a server that has not told its load for so long
CLOSES = 0.36  # of the time for which a server that leaves may still be sent requests
DIALLED = 1.4  # a server to which a connection must be made first seems slower by so much: they are priced, and all
# edges share what a server accepts
COLD = 0.5  # the weight of a server that is still slow after its start
AWAY, AWAY_BYTES = 1.15, 80_000  # bytes between zones are priced: a server in another seems slower by so much, and by
# as much again as it takes for a body of so many bytes


class Endpoint:
    """One server (one life of it)."""

    __slots__ = (
        "number",
        "server",
        "service",
        "address",
        "zone",
        "slots",
        "ready",
        "warm_at",
        "own",
        "told",
        "told_at",
        "took",
        "left_at",
        "tries",
        "failed",
        "told_busy",
        "told_times",
        "alone_logs",
        "alone_times",
        "listed",
        "kept",
    )

    def __init__(self, number: int, entry: ListedServer) -> None:
        self.number, self.server, self.service, self.address = number, entry.server, entry.service, entry.address
        self.zone, self.slots = entry.zone, max(1, entry.slots)
        self.ready, self.warm_at, self.listed = entry.state == READY, 0, True
        self.own, self.told, self.told_at, self.took = 0, 0.0, 0, USUAL
        self.kept = 0  # our connections there that nobody uses, as the adapter says
        self.left_at = 0  # when the list was fetched that shows it leaving; 0: the first that shows it does
        self.forget()

    def forget(self) -> None:
        """What has been met there is reported, and counted anew: tries and failures; what it told, slots at work and
        how often; and of answers that left no queue the logarithms of their seconds, and how many."""
        self.tries, self.failed = 0, 0
        self.told_busy, self.told_times, self.alone_logs, self.alone_times = 0.0, 0, 0.0, 0

    def met(self) -> tuple[int, int, float, int, float, int]:
        """What has been met there since then."""
        return (self.tries, self.failed, self.told_busy, self.told_times, round(self.alone_logs, 3), self.alone_times)

    def load(self, now: int) -> float:
        """Requests that it has in hand, ours and others', as far as is known."""
        others = self.told * 0.5 ** ((now - self.told_at) / FADES) if self.told > 0.01 else 0.0
        return self.own + others

    def room(self, now: int, edges: int) -> bool:
        """Whether it can take one more and keep its queue short. All `edges` may send there at once: who has not heard
        lately what it has in hand, or never will, sends no more than its part, or two, until it has."""
        most = self.slots + QUEUE
        if now - self.told_at > HEARD:
            return self.own < max(UNHEARD, most / edges)
        return self.load(now) < most

    def closed(self, now: int, drain: int) -> bool:
        """Whether nothing may go there any more, though it may hold keys: it leaves, and `drain` ns after the platform
        says so are near. The list may be older by a poll or two than what it shows, and a connection takes time."""
        return not self.ready and now >= self.left_at + int(drain * CLOSES)

    def wait(self, now: int) -> float:
        """Seconds until a further request would be done there, as estimated."""
        over = max(0.0, self.load(now) + 1 - self.slots)
        return self.took * (1 + over / self.slots)


class Endpoints:
    """All servers of all services."""

    def __init__(self, random: Random, zone: str) -> None:
        self._random, self._zone = random, zone
        self.by_name: dict[str, Endpoint] = {}
        self.services: dict[str, list[Endpoint]] = {}
        self._avoidance = Avoidance(random, STRIKES, SPELL)
        self._given = 0

    def listed(self, now: int, fetched_at: int, entries: Iterable[ListedServer]) -> None:
        """A new list has come: who is gone or draining gets nothing new."""
        seen = {}
        for entry in entries:
            endpoint = self.by_name.get(entry.server)
            if endpoint is None:
                self._given += 1
                endpoint = Endpoint(self._given, entry)
            if endpoint.ready and entry.state != READY:
                endpoint.left_at = fetched_at
            endpoint.ready, endpoint.warm_at = entry.state == READY, fetched_at + entry.warm_up_ns
            seen[entry.server] = endpoint
        for name, endpoint in self.by_name.items():
            if name not in seen:
                endpoint.ready = endpoint.listed = False  # nobody finds it any more
        self.by_name = seen
        self.services = {}
        for endpoint in seen.values():
            self.services.setdefault(endpoint.service, []).append(endpoint)

    def choose(self, now: int, service: str, tried: tuple[str, ...], size: int = 0) -> Endpoint | None:
        """The server with the least wait of all that may be used, for a body of `size` bytes; None where there is
        none."""
        open_ = [
            endpoint for endpoint in self.services.get(service, ()) if endpoint.ready and endpoint.server not in tried
        ]
        if not open_:
            return None
        sound = self._avoidance.sound(now, [(endpoint.number, 1.0) for endpoint in open_])
        if len(sound) < len(open_):
            kept = {number for number, _ in sound}
            open_ = [endpoint for endpoint in open_ if endpoint.number in kept]
        return min(open_, key=lambda endpoint: self._cost(now, endpoint, size))

    def _cost(self, now: int, endpoint: Endpoint, size: int) -> float:
        cost = endpoint.wait(now) * (1 if endpoint.zone == self._zone else AWAY + size / AWAY_BYTES)
        if not endpoint.kept:
            cost *= DIALLED
        cost *= 1 + 0.3 * self._random.random()  # equals are not all taken for the same one
        return cost / COLD if now < endpoint.warm_at else cost

    def avoided(self, now: int, endpoint: Endpoint) -> bool:
        """Whether tries there have failed in a row just now."""
        return not self._avoidance.sound(now, [(endpoint.number, 1.0), (0, 1.0)])[0][0] == endpoint.number

    def began(self, endpoint: Endpoint) -> None:
        endpoint.own += 1
        endpoint.tries += 1
        endpoint.kept = max(0, endpoint.kept - 1)

    def never_began(self, endpoint: Endpoint) -> None:
        """What was begun there was not sent, for a reason of our own."""
        endpoint.own -= 1
        endpoint.tries -= 1

    def ended(self, now: int, endpoint: Endpoint, good: bool, took: int, load: tuple[int, int, int] | None) -> None:
        """A try there has ended. `took`: ns; `load`: running, waiting and slots, as the server told."""
        endpoint.own -= 1
        endpoint.failed += not good
        if endpoint.listed:
            self._avoidance.ended(now, endpoint.number, good)
        if good:
            endpoint.took += 0.1 * (min(took / S, 2.0) - endpoint.took)
        if load is not None:
            endpoint.told, endpoint.told_at = max(0.0, load[0] + load[1] - endpoint.own - 1.0), now
            endpoint.slots = max(1, load[2])
            if now >= endpoint.warm_at:
                # What is left at work when this one has gone: the next in its queue has begun by then.
                endpoint.told_busy += min(max(0, load[0] + load[1] - 1), endpoint.slots)
                endpoint.told_times += 1
                if good and took > 0 and load[0] + load[1] <= endpoint.slots:
                    endpoint.alone_logs += math.log(took / S)
                    endpoint.alone_times += 1
