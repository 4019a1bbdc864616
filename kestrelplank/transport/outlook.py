"""What an edge member knows of the rest, from sessions with control members: who they are, the configuration in force,
the servers, who holds which keys. All of it is told again in full to whoever asks."""

from bisect import bisect_right
from typing import Any, NamedTuple

from kestrelplank.configuration.plan import Configuration, Key, read
from kestrelplank.transport.roster import ServerList

S = 1_000_000_000
SILENT = 3 * S // 2  # a session that says nothing for so long is ended and begun anew


class Holder(NamedTuple):
    """Who holds the keys from `first` to `last`, both included; no server: nobody."""

    first: int
    last: int
    server: str
    address: str


At = tuple[tuple[int, str], int]  # ballot and number of a record


class Holders:
    """The lines of one service, by the highest (ballot, number) that has come."""

    def __init__(self, at: At, lines: list[Holder]) -> None:
        self.at, self.lines = at, lines
        self._firsts = [line.first for line in lines]

    def under(self, at: At, changes: list[Holder]) -> "Holders":
        """These lines with `changes`, in order and apart, laid over them."""
        lines, left = [], changes[::-1]
        for line in self.lines:
            first = line.first
            while left and left[-1].first <= line.last:
                change = left[-1]
                if first < change.first:
                    lines.append(line._replace(first=first, last=change.first - 1))
                first = max(first, change.last + 1)
                if change.last > line.last:
                    break  # it covers what follows too
                lines.append(left.pop())
            if first <= line.last:
                lines.append(line._replace(first=first))
        return Holders(at, lines + left[::-1])

    def of(self, key: int) -> Holder | None:
        place = bisect_right(self._firsts, key) - 1
        if place < 0 or self.lines[place].last < key or not self.lines[place].server:
            return None
        return self.lines[place]


class EdgeView:
    """One edge member's view. `seeds` stand for the members until the first of these says who they are."""

    def __init__(self, name: str, seeds: tuple[str, ...]) -> None:
        self.name, self.members = name, seeds
        self.known = False  # whether a member has said who they are
        self.timetable: Configuration | None = None
        self.holders: dict[str, Holders] = {}
        self.roster = ServerList()
        self.edges = 1
        self.vouched: dict[str, Key | None] = {}  # by member that may be believed: what it said is in force

    def frame(self, now: int, member: str, frame: dict[str, Any]) -> str | None:
        """A frame of a member. Returns what has changed by it: word, lines, roster or members."""
        word = frame["t"]
        if word == "beat":
            if frame["whole"]:
                self.vouched[member] = Key(*frame["key"]) if frame["key"] else None
            self.edges = max(1, frame["edges"])
            return self._told_members(frame["members"])
        if word == "members":
            return self._told_members(frame["members"])
        if word == "word":
            if self.timetable is not None and Key(*frame["key"]) <= self.timetable.key:
                return None  # never back within a life
            found = read(frame["text"]).value_or(None)
            if found is None:
                return None
            self.timetable = found
            self.vouched[member] = found.key
            return "word"
        if word in ("lines", "changed", "leaving"):
            return self._told_lines(frame)
        if word == "roster":
            return "roster" if self.roster.take(now, frame["age"], frame["list"]) else None
        return None

    def _told_lines(self, frame: dict[str, Any]) -> str | None:
        """All lines of a service, those that differ from an earlier record, or those that just leave their servers."""
        word, service, held = frame["t"], frame["service"], self.holders.get(frame["service"])
        at = ((frame["at"][0][0], frame["at"][0][1]), frame["at"][1])
        lines = [Holder(*parts) for parts in frame["lines"]]
        if word == "lines":
            if held is not None and at <= held.at:
                return None
            self.holders[service] = Holders(at, lines)
        elif held is None or held.at != ((frame["since"][0][0], frame["since"][0][1]), frame["since"][1]):
            return None  # what came between is missed, or known already: our next beat says where we stand
        else:
            self.holders[service] = held.under(at, lines)
        return "lines"

    def _told_members(self, members: list[str]) -> str | None:
        found = tuple(members)
        if not found or found == self.members and self.known:
            return None
        self.members, self.known = found, True
        return "members"

    def stand(self) -> dict[str, Any]:
        """Where this member stands, as it says in each beat; what it lacks is sent in return."""
        return {
            "t": "at",
            "edge": self.name,
            "key": self.timetable.key if self.timetable else None,
            "lines": {service: held.at for service, held in self.holders.items()},
            "roster": self.roster.digest() if self.roster.fetched_at is not None else None,
        }

    def ready(self) -> bool:
        """Whether a majority of the members vouches for nothing newer than what is held here."""
        if self.timetable is None or not self.known or self.roster.fetched_at is None:
            return False
        agree = sum(
            member in self.vouched and (self.vouched[member] is None or self.vouched[member] <= self.timetable.key)
            for member in self.members
        )
        return agree >= len(self.members) // 2 + 1

    def decider(self, service: str) -> str | None:
        """The member that laid down the lines held here."""
        held = self.holders.get(service)
        return held.at[0][1] if held else None
