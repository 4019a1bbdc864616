"""Which client connections a relay holds: at most so many, and when one too many comes, the client that has most gives.

Guards against one client that opens connections without end, by mistake or not, and against connections that say
nothing. Harm: many clients behind one address are taken for one. Times are whole ns.
"""

from typing import NamedTuple

ADMIT, REFUSE = "admit", "refuse"
LINGER = 1_000_000_000  # ns without a request after which a connection may be closed while we stop


class Terms(NamedTuple):
    """`most`: connections in all. `each`: of one client, as long as others come for room. `head`: a request's head must
    have come within that. `idle`: a connection may stand between requests for so long."""

    most: int = 1000
    each: int = 100
    head: int = 5_000_000_000
    idle: int = 60_000_000_000


class Held:
    """One connection: since when it is in its state; `busy` while a request is in hand."""

    __slots__ = ("client", "since", "state")

    def __init__(self, client: str, now: int) -> None:
        self.client, self.since, self.state = client, now, "new"


class Admission:
    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self._held: dict[int, Held] = {}  # in order of arrival
        self._by_client: dict[str, dict[int, None]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def came(self, now: int, connection: int, client: str) -> tuple[str, int | None]:
        """A client connects. Returns (`admit`, whom to push out for it or None) or (`refuse`, None)."""
        push = None
        if len(self._held) >= self.terms.most:
            fullest = max(self._by_client, key=lambda name: len(self._by_client[name]))
            mine = len(self._by_client.get(client, ()))
            if mine >= self.terms.each or mine >= len(self._by_client[fullest]):
                return REFUSE, None
            push = self._oldest_idle(fullest)
            if push is None:
                return REFUSE, None
            self.gone(push)
        self._held[connection] = Held(client, now)
        self._by_client.setdefault(client, {})[connection] = None
        return ADMIT, push

    def _oldest_idle(self, client: str) -> int | None:
        """Of a client's connections the one that has longest had no request in hand."""
        idle = [connection for connection in self._by_client[client] if self._held[connection].state != "busy"]
        return min(idle, key=lambda connection: self._held[connection].since, default=None)

    def state(self, now: int, connection: int, state: str) -> None:
        """`head`: the first byte of a request has come; `busy`: its head is whole; `idle`: it has been answered."""
        held = self._held.get(connection)
        if held is not None and held.state != state:
            held.state, held.since = state, now

    def gone(self, connection: int) -> None:
        held = self._held.pop(connection, None)
        if held is not None:
            mine = self._by_client[held.client]
            del mine[connection]
            if not mine:
                del self._by_client[held.client]

    def late(self, now: int, stopping: bool = False) -> list[tuple[int, str]]:
        """Connections to close, with why: a head that does not come, or nothing for too long. While we stop that is
        `LINGER`: a request that is on its way on a kept connection must still find us, and is told to leave with its
        answer; closed at once, it would be lost without a word."""
        found = []
        for connection, held in self._held.items():
            since = now - held.since
            if stopping and held.state in ("new", "idle") and since >= LINGER:
                found.append((connection, "idle"))
                continue
            if held.state in ("new", "head") and since >= self.terms.head:
                found.append((connection, "no whole head came"))
            elif held.state == "idle" and since >= self.terms.idle:
                found.append((connection, "idle"))
        return found
