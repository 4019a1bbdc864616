"""Tables as one relay holds them, told by several conductors, and what they let it send to.

Each conductor's orders come as numbered messages over a stream. A message takes effect whole, once, and in order; one
that comes again changes nothing and is answered again, as its answer may be lost. What a table holds outlives the
stream it came on, as do withdrawals: a relay that has lost its conductor goes on with what it has.
"""

from collections.abc import Callable, Sequence
from math import isfinite
from typing import Any

from kestrelplank.interface import ALL_TABLES

AGAIN = (0, 1)  # ways of trying again that a relay of ours follows: not at all; once, with proof


class Refused(ValueError):
    """A message that can't be applied; the text says why. Nothing of it has taken effect."""


class Gap(Refused):
    """A message came before the one ahead of it: the stream has lost something and must begin anew."""


class Source:
    """One conductor as this relay knows it: `expects` is the number of the next message on its present stream."""

    def __init__(self) -> None:
        self.expects = 0
        self.out: dict[int, None] = {}  # nodes withdrawn, in order
        self.shares: dict[int, float] = {}  # op type to the share let in, for all its tables
        self.again: int | None = None


def with_line(lines: dict[int, float], node: int, weight: float) -> dict[int, float]:
    """A table's lines with that one set; a weight of 0 takes it away. `lines` stays as it is."""
    found = dict(lines)
    if weight:
        found[node] = weight
    else:
        found.pop(node, None)
    return found


class Tables:
    """`tables` tables numbered from 0, `op_types` kinds of op. `usual_again` holds until a conductor orders another
    way of trying again. What may be picked is worked out once a change, not once an op."""

    def __init__(self, tables: int, op_types: int, usual_again: int) -> None:
        self.size, self._op_types, self._usual = tables, op_types, usual_again
        self._lines: list[dict[int, float]] = [{}] * tables  # never changed in place: relays may share them
        self._open: list[tuple[tuple[int, float], ...] | None] = [None] * tables
        self._source: list[int | None] = [None] * tables  # who has charge of the table
        self._levels: dict[int, dict[int, float]] = {}
        self._again: dict[int, int] = {}
        self._sources: dict[int, Source] = {}

    # What comes in.

    def joined(self, source: int) -> None:
        """A stream to that conductor begins: its messages are numbered from 0 again."""
        self._sources.setdefault(source, Source()).expects = 0

    def read(self, table: int, source: int, lines: dict[int, float]) -> None:
        """What the store holds for a table that is given into a conductor's charge; its levels begin anew."""
        self._lines[table], self._source[table], self._open[table] = lines, source, None
        self._levels.pop(table, None)
        self._again.pop(table, None)

    def apply(self, source: int, number: int, orders: Sequence[tuple]) -> tuple[list[int], list[int]]:
        """Takes a message of orders (`line`, `clear`, `take_out`, `level`, `mark` with the fields of the interface's
        writer). Returns the tables whose open lines may have changed, and the marks to be answered. A message
        known already only has its marks answered again. Raises Refused, with nothing changed."""
        known = self._sources.get(source)
        if known is None:
            raise Refused(f"conductor {source} has no stream here")
        marks = [order[1] for order in orders if order[0] == "mark"]
        if number < known.expects:
            return [], marks
        if number > known.expects:
            raise Gap(f"message {number} came where {known.expects} is due")
        for place, order in enumerate(orders):
            why = self._unusable(order)
            if why:
                raise Refused(f"order {place}: {why}")
        known.expects += 1
        changed = self._carry_out(source, known, orders)
        for table in changed:
            self._open[table] = None
        return list(changed), marks

    def _carry_out(self, source: int, known: Source, orders: Sequence[tuple]) -> dict[int, None]:
        """Orders that have been checked take effect. Returns the tables whose open lines may have changed, in order."""
        changed: dict[int, None] = {}
        turned: dict[int, None] = {}  # nodes withdrawn or let in again
        for word, *fields in orders:
            if word == "line":
                table, node, weight = fields
                self._lines[table] = with_line(self._lines[table], node, weight)
                changed[table] = None
            elif word == "clear":
                self.read(fields[0], source, {})
                changed[fields[0]] = None
            elif word == "take_out":
                self._set_withdrawn(known, *fields)
                turned[fields[0]] = None
            elif word == "level":
                self._set_level(known, *fields)
        if turned:  # one walk a message, however many nodes a zone's loss withdraws
            changed.update(
                (table, None)
                for table, lines in enumerate(self._lines)
                if self._source[table] == source and not turned.keys().isdisjoint(lines)
            )
        return changed

    def _unusable(self, order: tuple) -> str:
        word, *fields = order
        if word in ("line", "clear") and not 0 <= fields[0] < len(self._lines):
            return f"no table has the number {fields[0]}"
        if word == "line" and not (isfinite(fields[2]) and fields[2] >= 0):
            return f"{fields[2]} is no weight"
        if word == "level":
            table, _, share, again = fields
            if table != ALL_TABLES and not 0 <= table < len(self._lines):
                return f"no table has the number {table}"
            if not (isfinite(share) and share >= 0):
                return f"{share} is no level"
            if again not in AGAIN:
                return f"way {again} of trying again needs no proof"
        return "" if word in ("line", "clear", "take_out", "level", "mark") else f"no order is called {word!r}"

    def _set_withdrawn(self, known: Source, node: int, out: bool) -> None:
        if out:
            known.out[node] = None
        else:
            known.out.pop(node, None)

    def _set_level(self, known: Source, table: int, op_types: int, share: float, again: int) -> None:
        shares = known.shares if table == ALL_TABLES else self._levels.setdefault(table, {})
        for place in range(self._op_types):
            if not op_types or op_types >> place & 1:
                shares[place] = share
        if table == ALL_TABLES:
            known.again = again
        else:
            self._again[table] = again

    # What survives this relay's process.

    def kept(self, name_of: Callable[[int], str]) -> dict[str, Any]:
        """All that holds, with nodes by name: for a file. Streams and the numbers of messages are of one life only."""
        return {
            "lines": [{name_of(node): weight for node, weight in lines.items()} for lines in self._lines],
            "sources": [
                [source, [name_of(node) for node in known.out], list(known.shares.items()), known.again]
                for source, known in self._sources.items()
            ],
            "charge": self._source,
            "levels": [[table, list(shares.items())] for table, shares in self._levels.items()],
            "again": list(self._again.items()),
        }

    def restore(self, kept: dict[str, Any], node_of: Callable[[str], int]) -> None:
        """Takes what `kept` gave. Raises Refused where it is of another number of tables; nothing is taken then."""
        if len(kept["lines"]) != self.size or len(kept["charge"]) != self.size:
            raise Refused(f"{len(kept['lines'])} tables were kept, {self.size} are configured")
        self._lines = [{node_of(name): weight for name, weight in lines.items()} for lines in kept["lines"]]
        self._source, self._open = list(kept["charge"]), [None] * self.size
        for source, out, shares, again in kept["sources"]:
            known = self._sources[source] = Source()
            known.out, known.shares, known.again = dict.fromkeys(map(node_of, out)), dict(shares), again
        self._levels = {table: dict(shares) for table, shares in kept["levels"]}
        self._again = dict(kept["again"])

    # What holds.

    def known(self, source: int) -> bool:
        """Whether a stream to that conductor has stood before."""
        return source in self._sources

    def lines(self, table: int) -> dict[int, float]:
        return self._lines[table]

    def source(self, table: int) -> int | None:
        return self._source[table]

    def withdrawn(self, source: int) -> list[int]:
        return list(self._sources[source].out) if source in self._sources else []

    def open(self, table: int) -> tuple[tuple[int, float], ...]:
        """Lines that may be picked, as (node, weight): of those, none is withdrawn by who has charge."""
        found = self._open[table]
        if found is None:
            known = self._sources.get(self._source[table])
            out = known.out if known else {}
            found = tuple((node, weight) for node, weight in self._lines[table].items() if node not in out)
            self._open[table] = found
        return found

    def share(self, table: int, op_type: int) -> float:
        """The share of such ops to let in: the lower of the table's own and that for all of its conductor's."""
        known = self._sources.get(self._source[table])
        own = self._levels.get(table, {}).get(op_type, 1.0) if self._levels else 1.0
        return min(own, known.shares.get(op_type, 1.0) if known else 1.0)

    def again(self, table: int) -> int:
        """The way of trying again: the table's own, or its conductor's, or the usual one."""
        if table in self._again:
            return self._again[table]
        known = self._sources.get(self._source[table])
        return self._usual if known is None or known.again is None else known.again
