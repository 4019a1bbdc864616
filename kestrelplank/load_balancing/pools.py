"""Connections of a relay to one node: which to use, when to dial, when to let go. The adapter dials and closes; here
connections are numbers that it gives. Times are whole ns.
"""

from collections import deque
from typing import NamedTuple

USE, DIAL, WAIT, SHUT = "use", "dial", "wait", "shut"


class Terms(NamedTuple):
    """`most`: connections to one node, dialled ones among them. `idle`: an unused one is closed after so long. `uses`:
    ops on one connection, 0 for no end. `grace`: ops out at a node that is withdrawn may take so long yet. `warm_up`
    and `cold_from`: a node that is new here gets that share of its weight at first, all of it after that time."""

    most: int = 64
    idle: int = 15_000_000_000
    uses: int = 0
    grace: int = 1_500_000_000
    warm_up: int = 0
    cold_from: float = 0.2


class Pool:
    """One node's connections. The one used last is used next: a few stay warm and the rest age away."""

    def __init__(self, now: int, terms: Terms) -> None:
        self._terms, self._since = terms, now
        self._idle: deque[tuple[int, int]] = deque()  # connection, since when, the youngest last
        self._busy: dict[int, int] = {}  # connection to uses so far
        self._uses: dict[int, int] = {}
        self._dialling = 0
        self.withdrawn_at: int | None = None

    def take(self, now: int) -> tuple:
        """For one op: (`use`, connection), (`dial`,), (`wait`,) as all are busy, or (`shut`,) as none may go there."""
        if self.withdrawn_at is not None:
            return (SHUT,)
        while self._idle:
            connection, since = self._idle.pop()
            if now - since < self._terms.idle:
                self._busy[connection] = self._uses.get(connection, 0)
                return USE, connection
            self._idle.append((connection, since))  # the youngest is too old: all are, and `expired` has them
            break
        if len(self._busy) + len(self._idle) + self._dialling >= self._terms.most:
            return (WAIT,)
        self._dialling += 1
        return (DIAL,)

    def bound(self, most: int) -> None:
        """So many connections from now on; those beyond are let go as they end."""
        if most != self._terms.most:
            self._terms = self._terms._replace(most=most)

    def keep_for(self, idle: int) -> None:
        """So long an unused connection is kept from now on."""
        if idle != self._terms.idle:
            self._terms = self._terms._replace(idle=idle)

    def opened(self, connection: int) -> None:
        """What was dialled is up, and busy with the op that it was dialled for."""
        self._dialling -= 1
        self._busy[connection] = 0

    def failed(self) -> None:
        """What was dialled did not come up."""
        self._dialling -= 1

    def done(self, now: int, connection: int, keep: bool) -> bool:
        """The op on it has ended; `keep`: the other side lets it be used again. Returns whether it is kept."""
        uses = self._busy.pop(connection) + 1
        over = len(self._busy) + len(self._idle) + self._dialling >= self._terms.most
        if not keep or over or self.withdrawn_at is not None or self._terms.uses and uses >= self._terms.uses:
            self._uses.pop(connection, None)
            return False
        self._uses[connection] = uses
        self._idle.append((connection, now))
        return True

    def lost(self, connection: int) -> None:
        """It has ended by itself, in use or not."""
        self._busy.pop(connection, None)
        self._uses.pop(connection, None)
        self._idle = deque(entry for entry in self._idle if entry[0] != connection)

    def expired(self, now: int) -> list[int]:
        """Connections to close now, as they have been idle too long; they are no longer ours."""
        old = []
        while self._idle and now - self._idle[0][1] >= self._terms.idle:
            old.append(self._idle.popleft()[0])
            self._uses.pop(old[-1], None)
        return old

    def withdraw(self, now: int) -> list[int]:
        """No further op goes there. Returns the idle connections, to be closed; ops that are out may end by themselves
        until `overdue`. What is being dialled is for an op that must go elsewhere."""
        if self.withdrawn_at is None:
            self.withdrawn_at = now
        idle, self._idle = [connection for connection, _ in self._idle], deque()
        for connection in idle:
            self._uses.pop(connection, None)
        return idle

    def restore(self, now: int) -> None:
        """Ops may go there again; as to a node that is new."""
        if self.withdrawn_at is not None:
            self.withdrawn_at, self._since = None, now

    def overdue(self, now: int) -> list[int]:
        """Connections whose ops have outlived the grace after a withdrawal: to be closed."""
        late = self.withdrawn_at is not None and now - self.withdrawn_at >= self._terms.grace
        return list(self._busy) if late else []

    def share(self, now: int) -> float:
        """The share of its weight that the node is given by now, as it was new here some time ago. Guards, with every
        relay doing alike, against a cold node that all find idle at once (rule 4)."""
        terms = self._terms
        if not terms.warm_up or now - self._since >= terms.warm_up:
            return 1.0
        return terms.cold_from + (1 - terms.cold_from) * (now - self._since) / terms.warm_up

    def counts(self) -> tuple[int, int, int]:
        """Busy, idle, dialling."""
        return len(self._busy), len(self._idle), self._dialling
