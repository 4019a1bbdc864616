"""Which server each line of a sharded service shall be at: the decision module's greedy pass (`policy.Policy`), told
in its own words. Lines are its slices, servers its nodes, a decider's report period its period.

What is ours round the pass: heat is told from a longer window than the pass averages over, as a server here meets a few
requests a second; a server's weight is the part of all requests that it can take without its queue costing more than
another's; and a line hotter than a part of a mean server's load is cut where its heat is, for moving it whole would
only move the trouble. The part cut off goes to the server where it fits, as a slice without a line does.
"""

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Mapping, Sequence
from heapq import heapify, heapreplace
from typing import Any

from kestrelplank.interface import (
    EndpointStored,
    Event,
    NodeEntry,
    NodeListUpdate,
    NodeReport,
    OpTypeSettings,
    PolicySettings,
    SliceOwnership,
    SliceReport,
    SliceSplit,
)
from kestrelplank.policy import Policy
from kestrelplank.sharding.key_ranges import FREE, HELD, KEYS, LEAVING, KeyRange, KeyRanges, Server

S = 1_000_000_000
PERIOD = S // 2  # of reports; the pass averages five
ROUND = S // 10  # how often the pass looks at what is due, where nothing new was told
WINDOW, NEWEST = 12 * S, 3 * S // 2  # heat is told from so much; from the newest where that is clearly more or less
FORGETS = 0.985  # a period, of what is known of a server's speed
KNOWN = 14.0  # answers that the usual time weighs against a server's own
SLOWEST, FASTEST = 0.4, 2.0  # bounds of a server's speed against the median
LEAST_SHARE = 0.1  # of what a server could do, that it is worth at least
CLEAR = 3.0  # deviations of chance
CUT = 0.4  # part of a mean server's load beyond which a line is cut, as the pass splits elsewhere
FLOOR = 0.02  # of all heat, spread evenly over the keys
LEAST = 10  # requests of a line in the window before it is cut: fewer say nothing
MOST_LINES = 6  # a server, before nothing is cut any more
JOIN_FROM, COOL = 5, 0.1  # lines a server from which cool neighbours become one; part of a mean server's load
COLD_FROM, WARM_UP = 0.5, 3 * S  # a server that has just started is slow for so long


class Orders:
    """What the pass orders, gathered: slice to node. All else that it can order has no meaning here."""

    def __init__(self) -> None:
        self.lines: dict[int, int] = {}

    def set_endpoint(self, table: int, node: int, weight: float) -> None:
        if weight:
            self.lines[table] = node

    def pass_over(self, *given: Any) -> None:
        """Proxies here are told by the record, and ask for what they lack."""

    clear_table = set_withdrawn = set_admission = request_acknowledgement = bind_proxy = check_health = pass_over
    send_to_peers = share_loads = watch_nodes = fetch_nodes = set_timer = forget_node = log = pass_over


class Pace:
    """How long a server works on a request, without its queue, by two ways that err apart. Little's law: requests at
    work over answers a second, as what leaves sees the same of its queue as time does (PASTA, and level crossing); and
    the answers that left no queue behind, by the mean of their logarithms, which a long one does not spoil."""

    __slots__ = ("work", "told", "logs", "alone")

    def __init__(self, parts: Sequence[float] = (0.0, 0.0, 0.0, 0.0)) -> None:
        self.work, self.told, self.logs, self.alone = parts

    def parts(self) -> list[float]:
        """What is known, for who decides next."""
        return [round(part, 2) for part in (self.work, self.told, self.logs, self.alone)]

    def add(self, span: float, busy: float, told: float, logs: float, alone: float) -> None:
        """What a period of `span` seconds told: slots at work in sum, by how many answers; and of those that left no
        queue the logarithms of their times, by how many."""
        for name, more in (
            ("work", busy / told * span if told else 0.0),
            ("told", told),
            ("logs", logs),
            ("alone", alone),
        ):
            setattr(self, name, getattr(self, name) * FORGETS + more)

    def known(self) -> float:
        """How much it is worth, in answers."""
        return self.told + self.alone if self.told and self.work > 0 else 0.0

    def log(self, offset: float) -> float:
        """Logarithm of the seconds. `offset`: by how much the mean of all servers' logarithms lies below that of their
        mean time."""
        return (self.told * math.log(self.work / self.told) + self.logs + offset * self.alone) / self.known()


# Of a server, since the last report: tries, failures, slots at work as told in sum, and by how many answers; of those
# that left no queue the logarithms of their seconds in sum, and how many.
Met = tuple[int, int, float, int, float, int]


class Placement:
    """One service's placement while we decide for it."""

    def __init__(
        self, now: int, seed: int, lines: KeyRanges, target: int, known: Mapping[str, Sequence[float]] | None = None
    ) -> None:
        """`known`: what who decided before us had learnt of servers, as `learnt` said there."""
        self._lines, self._orders = lines, Orders()
        self._seed, self._target = seed, target
        self._pass: Policy | None = None  # made with the first lines: its periods count from then on
        self._given = 0  # numbers of slices
        self._numbers: dict[int, KeyRange] = {}
        self._of: dict[KeyRange, int] = {}
        self._nodes: dict[str, int] = {}
        self._names: dict[int, str] = {}
        self._zones: dict[str, int] = {}
        self._keys: deque[tuple[int, list[int]]] = deque()  # when told, and the keys asked for
        self._fresh_keys: list[int] = []  # told since the last period
        self._sorted: list[int] = []  # all of these, and the newest
        self._newest: list[int] = []
        self._changed: set[KeyRange] = set()  # lines whose newest requests clearly differ from what was usual
        self._met: deque[tuple[int, Mapping[str, Met]]] = deque()
        self._sums: dict[str, list[int]] = {}  # of these by server: tries, failures and reports
        self._fresh: dict[str, list[float]] = {}  # what servers told since the last period
        self._paces: dict[str, Pace] = {name: Pace(parts) for name, parts in (known or {}).items()}
        self._worth: dict[str, float] = {}  # by server: what a slot of it is worth
        self._told_at, self._round_at = now, now
        self._began: int | None = None  # when the first requests that we were told of came
        self._roster_due = True
        self._joining: dict[KeyRange, KeyRange] = {}  # line on its way to the server of the one before it

    def learnt(self) -> dict[str, list[float]]:
        """What is known of each server, for the record: else each new decider would begin with none."""
        return {name: pace.parts() for name, pace in self._paces.items() if pace.known() >= 1}

    def report(self, now: int, keys: list[int], servers: Mapping[str, Met]) -> None:
        """One edge member's: keys asked for, and what it met of servers."""
        if keys and self._began is None:
            self._began = now - PERIOD
        self._keys.append((now, keys))
        self._fresh_keys += keys
        self._met.append((now, servers))
        for name, (tries, failed, *told) in servers.items():
            sums = self._sums.setdefault(name, [0, 0, 0])
            sums[0] += tries
            sums[1] += failed
            sums[2] += 1
            held = self._fresh.setdefault(name, [0.0, 0.0, 0.0, 0.0])
            for place, more in enumerate(told):
                held[place] += more

    def listed(self) -> None:
        self._roster_due = True

    def turn(self, now: int) -> None:
        """Tells the pass what has come, and gives its orders to the lines."""
        if self._pass is None:
            self._pass = Policy(now, self._seed, settings(self._target))
            self._deal()
        events: list[Event] = []
        if self._roster_due:
            self._roster_due = False
            servers = self._lines.servers.values()
            cold = sum(server.warm_at > now for server in servers)
            # Where most are cold the service itself has just started: then cold ones are what there is.
            entries = [self._entry(now, server, 2 * cold < len(servers)) for server in servers]
            events.append(NodeListUpdate("full", entries))
        for line in self._lines.lines:
            if line not in self._of and line not in self._joining:
                number = self._number(line)
                events.append(SliceOwnership(number, True))
                if line.server and line.state == HELD:
                    events.append(EndpointStored(number, self._node(line.server), 1.0))
        if now - self._told_at >= PERIOD:
            events += self._told(now)
            self._told_at = now
        if events or now >= self._round_at:
            self._round_at = now + ROUND
            self._pass.round(now, events, self._orders)
            for number, node in self._orders.lines.items():
                self._order(now, self._numbers[number], self._names[node])
                self._round_at = now  # a line that has one owner is given in two steps
            self._orders.lines.clear()
        for line in self._lines.free():
            server = self._lines.servers.get(line.heir or "")
            if server is not None and server.ready:
                self._lines.give(line, server)

    def _deal(self) -> None:
        """Keys that nobody ever held, and of which nobody knows anything yet: dealt out evenly by weight, neighbours to
        different servers, as busy keys lie close together."""
        servers = [server for server in self._lines.servers.values() if server.ready]
        fullest = [((place + 1) / len(servers) / server.slots, place) for place, server in enumerate(servers)]
        heapify(fullest)
        for line in self._lines.lines if servers else ():
            if not line.server:
                load, place = fullest[0]
                self._lines.give(line, servers[place])
                heapreplace(fullest, (load + 1 / servers[place].slots, place))

    def _order(self, now: int, line: KeyRange, name: str) -> None:
        if line.state == HELD and line.server != name:
            self._lines.leave(now, line, name)
        elif line.state == LEAVING or line.state == FREE:
            line.heir = name

    def _number(self, line: KeyRange) -> int:
        self._given += 1
        self._numbers[self._given], self._of[line] = line, self._given
        return self._given

    def _node(self, name: str) -> int:
        if name not in self._nodes:
            self._nodes[name] = len(self._nodes)
            self._names[self._nodes[name]] = name
        return self._nodes[name]

    def _entry(self, now: int, server: Server, heed_cold: bool) -> NodeEntry:
        zone = self._zones.setdefault(server.zone, len(self._zones))
        boot = server.warm_at - WARM_UP if heed_cold and server.warm_at > now else None
        weight = server.slots * self._worth.get(server.name, 1.0)
        return NodeEntry(self._node(server.name), "up" if server.ready else "draining", zone, None, weight, boot)

    # Heat.

    def _told(self, now: int) -> list[Event]:
        """What a period of reports comes to, in the pass's words."""
        self._expire(now)
        span = PERIOD if self._began is None else max(PERIOD, min(WINDOW, now - self._began))
        heats = self._heats(now, span)
        events: list[Event] = []
        self._judge_servers(now, max(len(self._sorted) / span, len(self._newest) / min(span, NEWEST)) * S)
        total = sum(heats.values())
        ready = sum(server.ready for server in self._lines.servers.values())
        if total and ready:
            events += self._cuts(heats, total / ready)
            events += self._joins(now, heats, total / ready)
        for line, heat in heats.items():
            if line in self._of:
                events.append(SliceReport(self._of[line], 0, heat * PERIOD / S, 0, PERIOD))
        # A server counts for its lines' heat, as it was in each of the last five periods: so a line that has moved
        # weighs on both ends until these have run out, and not for as long as the window of its heat.
        loads: dict[str, float] = {}
        for line, heat in heats.items():
            loads[line.server] = loads.get(line.server, 0.0) + heat * PERIOD / S
        for name, (tries, failed, _) in self._sums.items():
            if name in self._lines.servers:
                zone, load = self._zones.get(self._lines.servers[name].zone), loads.get(name, 0.0)
                failing = load * failed / tries if tries else 0.0
                events.append(NodeReport(self._node(name), zone, load, failing, 0, PERIOD, {}))
        return events

    def _expire(self, now: int) -> None:
        """Takes what is older than the window out of the sorted keys and the sums, and what is new into them: both are
        told twice a second of twelve, so only what has changed is gone through."""
        expired: list[int] = []
        while self._keys and now - self._keys[0][0] > WINDOW:
            expired += self._keys.popleft()[1]
        # The fresh ones first, as some of them may be too old already; sorted runs are merged, not sorted again.
        self._sorted = without(sorted(self._sorted + sorted(self._fresh_keys)), sorted(expired))
        self._fresh_keys.clear()
        while self._met and now - self._met[0][0] >= WINDOW:
            for name, (tries, failed, *_) in self._met.popleft()[1].items():
                sums = self._sums[name]
                sums[0] -= tries
                sums[1] -= failed
                sums[2] -= 1
                if not sums[2]:
                    del self._sums[name]

    def _judge_servers(self, now: int, asked: float) -> None:
        """`asked`: requests a second. A server's weight is its part of them by which the mean time of all is least:
        what it can do a second, less its part of the room there is, which goes by the square root of that. So fast
        servers have less room for each request than slow ones, where one that queues waits for longer.

        Source: the square-root rule of Bell and Stidham (1983) for servers side by side."""
        for name in [name for name in self._paces if name not in self._lines.servers]:
            del self._paces[name]
        for name in self._lines.servers if self._fresh else ():
            told = self._fresh.get(name, (0.0, 0.0, 0.0, 0.0))
            self._paces.setdefault(name, Pace()).add((now - self._told_at) / S, *told)
        self._fresh.clear()
        met = {name: pace for name, pace in self._paces.items() if pace.known() >= 1}
        if not met:
            return
        alone = sum(pace.alone for pace in met.values())
        offset = math.log(sum(pace.work for pace in met.values()) / sum(pace.told for pace in met.values()))
        offset -= sum(pace.logs for pace in met.values()) / alone if alone else 0.0
        logs = {name: pace.log(offset) for name, pace in met.items()}
        usual = sorted(logs.values())[len(logs) // 2]
        rates = dict.fromkeys(self._lines.servers, math.exp(-usual))  # of a slot, a second
        for name, own in logs.items():
            faster = (usual - own) * met[name].known() / (met[name].known() + KNOWN)
            rates[name] *= min(FASTEST, max(SLOWEST, math.exp(faster)))
        can = {name: rates[name] * server.slots for name, server in self._lines.servers.items()}
        room = max(0.0, sum(can.values()) - asked)
        room /= sum(math.sqrt(rate) for rate in can.values())
        worth = {
            name: rates[name] / math.exp(-usual) * max(LEAST_SHARE, 1 - room / math.sqrt(can[name])) for name in can
        }
        if any(abs(one / self._worth.get(name, 1.0) - 1) > 0.1 for name, one in worth.items()):
            self._worth, self._roster_due = worth, True

    def _heats(self, now: int, span: int) -> dict[KeyRange, float]:
        """Requests a second by line."""
        lines = self._lines.lines
        ends = [line.last for line in lines]
        counts = counted(self._sorted, ends)
        self._newest = sorted(key for at, keys in self._keys if now - at <= NEWEST for key in keys)
        short = min(span, NEWEST)
        heats, self._changed = {}, set()
        for line, count, new in zip(lines, counts, counted(self._newest, ends)):
            usual = count * short / span
            if abs(new - usual) > CLEAR * max(1.0, usual) ** 0.5:
                self._changed.add(line)
                heats[line] = new / short * S
            else:
                heats[line] = count / span * S
        # No line is weightless, or all that nobody asked for lately would go to the one server that looks idlest.
        usual = FLOOR * max(sum(heats.values()), len(self._lines.servers)) / KEYS
        return {line: heat + usual * (line.last - line.first + 1) for line, heat in heats.items()}

    def _cuts(self, heats: dict[KeyRange, float], mean: float) -> list[Event]:
        """Cuts what is too hot, the hottest first, each once a period."""
        events: list[Event] = []
        room = MOST_LINES * max(1, len(self._lines.servers)) - len(self._lines.lines)
        hot = [
            line
            for line, heat in heats.items()
            if heat > CUT * mean
            and line.last > line.first
            and line.state == HELD
            and line.laid
            and not line.flying
            and line in self._of
        ]
        for line in sorted(hot, key=lambda line: (-heats[line], line.first))[: max(0, room)]:
            keys = within(self._newest, line) if line in self._changed else []
            if len(keys) < LEAST:
                keys = within(self._sorted, line)
            if len(keys) < LEAST:
                continue
            at = min(max(keys[len(keys) // 2], line.first + 1), line.last)
            share = (len(keys) - bisect_right(keys, at - 1)) / len(keys)
            if not 0.05 < share < 0.95:
                continue  # one key has it all: nothing to be had by a cut
            other = self._lines.cut(line, at)
            number = self._number(other)
            events.append(SliceSplit(self._of[line], number, share))
            heats[other], heats[line] = heats[line] * share, heats[line] * (1 - share)
        return events

    def _joins(self, now: int, heats: dict[KeyRange, float], mean: float) -> list[Event]:
        """Makes cool neighbours one line again, a pair a period, so that there is room for cuts where the heat goes
        next. The pass knows no more of a line that goes to its neighbour's server for that."""
        lines = self._lines.lines
        place = {line: at for at, line in enumerate(lines)}
        for line, before in list(self._joining.items()):
            at = place.get(line, 0)
            stands = at > 0 and lines[at - 1] is before and before.state == HELD
            if stands and self._lines.joinable(before, line):
                self._lines.join(before, line)
                del self._joining[line]
                heats[before] += heats.pop(line)
            elif not stands or line.state == HELD and line.server != before.server:
                del self._joining[line]  # the other has gone elsewhere: the pass is told of this one anew
        if self._joining or len(lines) <= JOIN_FROM * len(self._lines.servers):
            return []
        pairs = [
            (line.server != other.server, other.last - other.first, line.first, line, other)
            for line, other in zip(lines, lines[1:])
            if heats[line] + heats[other] < COOL * mean
            and line.state == other.state == HELD
            and line.laid
            and other.laid
            and line in self._of
            and other in self._of
        ]
        if not pairs:
            return []
        *_, line, other = min(pairs, key=lambda pair: pair[:3])  # few keys change hands
        self._joining[other] = line
        if other.server != line.server:
            self._lines.leave(now, other, line.server)
        number = self._of.pop(other)
        del self._numbers[number]
        return [SliceOwnership(number, False)]


def without(keys: list[int], expired: list[int]) -> list[int]:
    """The sorted keys less one for each of the sorted `expired`, all of which are among them."""
    left: list[int] = []
    begin = 0
    for key in expired:
        at = bisect_left(keys, key, begin)
        left += keys[begin:at]
        begin = at + 1
    left += keys[begin:]
    return left


def within(keys: list[int], line: KeyRange) -> list[int]:
    """Those of the sorted keys that lie in the line."""
    return keys[bisect_left(keys, line.first) : bisect_right(keys, line.last)]


def counted(keys: list[int], ends: list[int]) -> list[int]:
    """How many of the sorted keys lie in each line, given where lines end."""
    below = [bisect_right(keys, end) for end in ends]
    return [upto - before for before, upto in zip([0, *below], below)]


def settings(target: int) -> PolicySettings:
    """What the pass is made with. Lines have one owner; there is no channel to keep short, and no level to set."""
    return PolicySettings(
        message_overhead=0,
        queue_limit=1e9,
        message_limit=0,
        message_window_ns=S,
        orders_per_s=1e9,
        subscribes_to_nodes=False,
        report_interval_ns=PERIOD,
        load_window_ns=WINDOW,
        overload_multiple=4.0,
        only_draining_binds=False,
        cold_capacity_share=COLD_FROM,
        warm_up_ns=WARM_UP,
        exclusive_slices=True,
        initial_retry_mode=1,
        pick="random",
        admission="",
        op_types=(OpTypeSettings(target, 1.0),),
        withdrawal_deadline_ns=3 * S,
        write_timeout_ns=0,
        ownership_lease_ns=0,
        peers_may_talk=False,
        assigners=1,
    )
