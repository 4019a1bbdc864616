"""What an edge machine knows of the rest, from sessions with control members: who counts, the configuration in force,
the servers, who holds which keys. All of it is told again in full to whoever lacks it."""

from bisect import bisect_right
from enum import Enum

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus.member_messages import ServerListUpdate
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    EdgeHeartbeat,
    KeyRangesDelta,
    KeyRangesUpdate,
    KeyRangesVersion,
    MemberHeartbeat,
    RangeHolder,
    ToEdge,
)
from kestrelplank.transport.server_list import ServerList

S = 1_000_000_000
SILENT = 3 * S // 2  # a session that says nothing for so long is ended and begun anew
VOUCHED_WITHIN = S  # a member's word is believed if it answers a beat that was sent no longer ago (ns)
FALLBACK = S  # so long after the last word of any member, seeds are asked again besides the members


class Change(Enum):
    """What a message has changed."""

    CONFIGURATION = "configuration"
    LINES = "lines"
    SERVERS = "servers"
    MEMBERS = "members"


class KeyRangeTable:
    """The lines of one service, by the highest place that has come."""

    def __init__(self, place: KeyRangesVersion, lines: list[RangeHolder]) -> None:
        self.place, self.lines = place, lines
        self._firsts = [line.first for line in lines]

    def under(self, place: KeyRangesVersion, changes: list[RangeHolder]) -> "KeyRangeTable":
        """These lines with `changes`, in order and apart, laid over them."""
        lines, left = [], changes[::-1]
        for line in self.lines:
            first = line.first
            while left and left[-1].first <= line.last:
                change = left[-1]
                if first < change.first:
                    lines.append(RangeHolder(first, change.first - 1, line.server, line.address))
                first = max(first, change.last + 1)
                if change.last > line.last:
                    break  # it covers what follows too
                lines.append(left.pop())
            if first <= line.last:
                lines.append(RangeHolder(first, line.last, line.server, line.address))
        return KeyRangeTable(place, lines + left[::-1])

    def of(self, key: int) -> RangeHolder | None:
        place = bisect_right(self._firsts, key) - 1
        if place < 0 or self.lines[place].last < key or not self.lines[place].server:
            return None
        return self.lines[place]


class EdgeView:
    """One edge machine's view. `seeds`, control addresses, are asked until the first member says who counts, and again
    when no member answers. `members`: the addresses of those who count, by the newest epoch told."""

    def __init__(self, name: str, seeds: tuple[str, ...]) -> None:
        self.name, self.seeds = name, seeds
        self.members: tuple[str, ...] = ()
        self.epoch, self.term, self.leader = -1, -1, ""
        self.configuration: Configuration | None = None
        self.holders: dict[str, KeyRangeTable] = {}
        self.servers = ServerList()
        self.edges = 1
        self._heard_at: int | None = None  # when a member that counts last spoke
        self._vouched = False  # whether a current member has vouched for what is held here

    def receive(self, now: int, member: str, message: ToEdge) -> Change | None:
        """A message of the member at that address. Returns what has changed by it, if anything."""
        if member in self.members:
            self._heard_at = now
        if isinstance(message, MemberHeartbeat):
            return self._told_members(now, member, message)
        if isinstance(message, ConfigurationUpdate):
            return self._told_configuration(message)
        if isinstance(message, KeyRangesUpdate):
            return self._told_lines(message)
        if isinstance(message, KeyRangesDelta):
            return self._told_changes(message)
        return self._told_servers(now, message)

    def _told_members(self, now: int, member: str, beat: MemberHeartbeat) -> Change | None:
        """Who counts, who leads, and whether what we hold is the newest in force."""
        if beat.epoch < self.epoch:
            return None  # by a membership that is no more: it may not vouch, and knows less than we do
        self.edges = max(1, beat.edges)
        if beat.term >= self.term and beat.leader:
            self.term, self.leader = beat.term, beat.leader
        changed = bool(beat.voters) and (beat.epoch > self.epoch or not self.members)
        if changed:
            self.epoch, self.members = beat.epoch, beat.voters
        if member in self.members:
            self._heard_at = now
            if beat.current and now - beat.answers <= VOUCHED_WITHIN and self._holds(beat.version):
                self._vouched = True
        return Change.MEMBERS if changed else None

    def _holds(self, version: int | None) -> bool:
        """Whether nothing newer than what is held here is in force, if that version is."""
        if self.configuration is None:
            return False
        return version is None or version <= self.configuration.key.version

    def _told_configuration(self, news: ConfigurationUpdate) -> Change | None:
        if self.configuration is not None and news.version <= self.configuration.key.version:
            return None  # never back within a life
        found = parse_configuration(news.text).value_or(None)
        if found is None:
            return None
        self.configuration = found
        return Change.CONFIGURATION

    def _told_lines(self, news: KeyRangesUpdate) -> Change | None:
        held = self.holders.get(news.service)
        if held is not None and news.place <= held.place:
            return None
        self.holders[news.service] = KeyRangeTable(news.place, news.lines).under(news.place, news.leaving)
        return Change.LINES

    def _told_changes(self, news: KeyRangesDelta) -> Change | None:
        held = self.holders.get(news.service)
        if held is None or held.place != news.since:
            return None  # what came between is missed, or known already: our next beat says where we stand
        self.holders[news.service] = held.under(news.place, news.lines)
        return Change.LINES

    def _told_servers(self, now: int, news: ServerListUpdate) -> Change | None:
        return Change.SERVERS if self.servers.take(now, news.age_ns, news.entries) else None

    def heartbeat(self, now: int) -> EdgeHeartbeat:
        """Where this machine stands, as it says in each beat; what it lacks is sent in return."""
        return EdgeHeartbeat(
            self.name,
            self.configuration.key.version if self.configuration else None,
            {service: held.place for service, held in self.holders.items()},
            self.servers.digest() if self.servers.fetched_at is not None else None,
            now,
        )

    def ready(self) -> bool:
        """Whether requests may be taken: a current member of the newest epoch has vouched for what is held here, and a
        list of servers has come. Once it is so it stays so: what comes later is newer."""
        return self._vouched and self.servers.fetched_at is not None

    def addresses_to_dial(self, now: int) -> tuple[str, ...]:
        """Addresses of the members that a session is wanted with."""
        if self._heard_at is not None and now - self._heard_at < FALLBACK:
            return self.members
        return tuple(dict.fromkeys((*self.members, *self.seeds)))

    def decider(self, service: str) -> str | None:
        """The address of the member that decides where the keys of that service are."""
        return self.leader or None
