"""Control members, their disks, servers, an edge machine and an operator on one clock that the test moves.

After each step the rules are checked: no key is held by two servers, an acknowledged configuration is never gone, and a
number has one text, whoever is asked or told.
"""

from random import Random

from configuration.test_parsing import encoded
from storage.memory import MemoryLog

from kestrelplank.configuration.parsing import parse_configuration
from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.identity import address_of
from kestrelplank.control.bootstrap import start_member
from kestrelplank.control.effects import (
    AnswerOrder,
    AnswerRead,
    CallServer,
    LogLine,
    PushToEdges,
    SendMessage,
    SendToAddress,
    WriteConfigurationCopy,
)
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.sharding.effects import GrantKeyRange, ReleaseKeyRange, ServerCallResult
from kestrelplank.sharding.key_range import KEY_COUNT, KeyRangeState
from kestrelplank.time_units import MILLISECOND, SECOND
from kestrelplank.transport.edge_view import EdgeView
from kestrelplank.transport.messages import ConfigurationUpdate, LoadReport
from kestrelplank.transport.server_list import ListedServer

NAMES = ("10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
FOURTH, FIFTH = "10.0.0.4:80", "10.0.0.5:80"
EDGE = "edge"
PROBES = range(0, KEY_COUNT, 1024)  # keys that are watched
HEARTBEAT_INTERVAL_NS, REPORT_INTERVAL_NS = 400 * MILLISECOND, 500 * MILLISECOND  # of the edge machine


class Holding:
    """The fencing tokens and leases that a server has, on a clock 2% slow."""

    def __init__(self):
        self.fences, self.until, self.up = dict.fromkeys(PROBES, -1), dict.fromkeys(PROBES, 0), True

    def take(self, now, request, body):
        keys = [key for key in PROBES if body["first"] <= key <= body["last"]]
        if isinstance(request, GrantKeyRange):
            if any(self.fences[key] > body["fence"] for key in keys):
                return 409
            for key in keys:
                self.fences[key], self.until[key] = body["fence"], now + body["lease_ns"] * 102 // 100
        else:
            for key in keys:
                self.fences[key], self.until[key] = max(self.fences[key], body["fence"]), 0
        return 200


class Order:
    """What became of an order: `acknowledged` None while it is under way."""

    def __init__(self, version, text, sent_at):
        self.version, self.text, self.sent_at = version, text, sent_at
        self.acknowledged, self.in_force, self.answered_at = None, False, None


class Read:
    """What became of a read; `least`: the newest version acknowledged when it began."""

    def __init__(self, least, sent_at):
        self.least, self.sent_at = least, sent_at
        self.known, self.text, self.answered_at = None, None, None


class Simulation:
    """`names`: machines of the first start, by control address; `losses`: how many the platform lets be lost."""

    def __init__(self, seed, servers=4, names=NAMES, losses=1):
        self.random, self.now = Random(seed), 1000 * SECOND
        self.seeds, self.losses = names[:3], losses
        self.disks, self.starts = {}, {}
        self.members, self.stopping = {}, {}
        self.zones, self.ineligible = {}, set()
        self.waiting, self.writing = {}, {}  # writes of each member
        self.events, self.count = [], 0
        self.cut, self.one_way, self.frozen = set(), set(), {}
        self.stalled = set()  # members whose disks hang
        self.refuses = 0.0  # part of all writes that a disk refuses
        self.ticket, self.orders, self.reads = 0, {}, {}
        self.acknowledged, self.texts = -1, {}  # newest version acknowledged; by version its one text
        self.logged = []
        self.servers = {f"i-{number}": Holding() for number in range(servers)}
        self.state, self.addresses = dict.fromkeys(self.servers, "ready"), {}
        self.unowned_probes = 0
        self.edge, self.hot = EdgeView(EDGE, self.seeds), None  # the edge machine, and where it sends most
        self.edge_loses_pushes = False
        for name in names:
            self.start(name, first=True)

    # The machines.

    def profile(self, name, seeds=None):
        zone = self.zones.get(name, f"zone-{name.split('.')[3].split(':')[0]}")
        return MemberProfile(zone, name not in self.ineligible, tuple(seeds or self.seeds), self.losses, 6 * SECOND)

    def start(self, name, first=False, seeds=None):
        """`seeds`: what the platform names, where it is not what it was at first."""
        disk = self.disks.setdefault(name, MemoryLog())
        self.starts[name] = self.starts.get(name, 0) + 1
        self.waiting[name], self.writing[name] = [], False
        self.members[name] = start_member(
            self.now, Random(self.random.random()), name, self.profile(name, seeds), disk, first
        )

    def kill(self, name, wipe=False):
        del self.members[name]
        self.stopping.pop(name, None)
        self.starts[name] += 1
        if wipe:
            self.disks[name] = MemoryLog()

    def stop(self, name):
        """SIGTERM: it ends when it may."""
        self.carry_out(name, self.members[name].begin_stop(self.now))
        self.stopping[name] = self.now

    def schedule(self, delay, what, *given):
        self.count += 1
        self.events.append((self.now + delay, self.count, what, given))

    def reaches(self, one, other):
        return one == other or frozenset((one, other)) not in self.cut and (one, other) not in self.one_way

    def in_session(self, one, other):
        """Whether one of the two dials the other."""
        return other in self.members[one].addresses_to_dial(self.now) or (
            other in self.members and one in self.members[other].addresses_to_dial(self.now)
        )

    def carry_out(self, name, effects):
        """Carries out what the member wants done."""
        start_number = self.starts[name]
        for effect in effects:
            if isinstance(effect, SendMessage | SendToAddress):
                to = effect.to if isinstance(effect, SendMessage) else effect.address
                self.send(name, to, effect.message)
            elif isinstance(effect, Persist):
                self.waiting[name].append(effect)
                self.write(name, start_number)
            elif isinstance(effect, CallServer):
                keys = effect.request.key_range
                body = {"first": keys.first, "last": keys.last, "fence": keys.fencing_token}
                body["lease_ns"] = getattr(effect.request, "lease_ns", 0)
                self.schedule(
                    self.random.choice((1, 3)) * MILLISECOND, self.call_server, name, start_number, effect, body
                )
            elif isinstance(effect, PushToEdges):
                self.push(name, effect.message)
            elif isinstance(effect, AnswerOrder):
                self.order_answered(effect)
            elif isinstance(effect, AnswerRead):
                self.read_answered(effect)
            elif isinstance(effect, LogLine):
                self.logged.append((self.now, name, effect.text))
            else:
                assert isinstance(effect, WriteConfigurationCopy)
                self.check_one_text(effect.version, effect.text)

    # Messages.

    def send(self, name, to, message):
        address = address_of(to)
        if self.in_session(name, address):
            sender = self.members[name].identity
            self.schedule(self.random.choice((1, 2, 9)) * MILLISECOND, self.deliver, name, sender, address, to, message)

    def deliver(self, origin, sender, name, to, message):
        if name not in self.members or not self.reaches(origin, name):
            return
        if name in self.frozen:
            self.schedule(10 * MILLISECOND, self.deliver, origin, sender, name, to, message)
        elif to in (name, self.members[name].identity):
            self.carry_out(name, self.members[name].handle_message(self.now, sender, message))

    def push(self, name, message):
        if name in self.edge.addresses_to_dial(self.now) and self.reaches(name, EDGE) and not self.edge_loses_pushes:
            self.send_to_edge(name, message)

    def send_to_edge(self, name, message):
        if isinstance(message, ConfigurationUpdate):
            self.check_one_text(message.version, message.text)
        before = self.edge.configuration.key.version if self.edge.configuration else -1
        self.edge.receive(self.now, name, message)
        assert (self.edge.configuration.key.version if self.edge.configuration else -1) >= before

    def send_edge_heartbeats(self):
        """The edge machine's heartbeat to each member."""
        for name in self.edge_sessions():
            for message in self.members[name].handle_edge_heartbeat(self.now, self.edge.heartbeat(self.now), 1):
                self.send_to_edge(name, message)

    def send_load_reports(self):
        """The edge machine's report: 40 requests, most of them for the keys from `hot` on."""
        for name in self.edge_sessions():
            keys = [
                self.hot + self.random.randrange(300)
                if self.random.random() < 0.8
                else self.random.randrange(KEY_COUNT)
                for _ in range(40)
            ]
            self.members[name].handle_load_report(self.now, LoadReport("views", keys, {}))

    def edge_sessions(self):
        """Members that the edge machine is in session with."""
        return [
            name
            for name in self.edge.addresses_to_dial(self.now)
            if name in self.members
            and name not in self.frozen
            and self.reaches(name, EDGE)
            and self.reaches(EDGE, name)
        ]

    # The disks.

    def write(self, name, start_number):
        """All that waits in one write, after the one under way."""
        if self.writing[name] or not self.waiting[name]:
            return
        self.writing[name] = True
        batch, self.waiting[name] = self.waiting[name], []
        self.schedule(self.random.choice((3, 5, 40)) * MILLISECOND, self.written, name, start_number, batch)

    def written(self, name, start_number, batch):
        if self.starts[name] != start_number:
            return
        if name in self.stalled:
            self.schedule(10 * MILLISECOND, self.written, name, start_number, batch)
            return
        if self.random.random() < self.refuses:
            self.schedule(300 * MILLISECOND, self.written, name, start_number, batch)
            return
        self.disks[name].write(batch)
        self.durable(name, start_number, batch)

    def durable(self, name, start_number, batch):
        """The member hears of it, if it runs."""
        if self.starts[name] != start_number:
            return
        if name in self.frozen:
            self.schedule(10 * MILLISECOND, self.durable, name, start_number, batch)
            return
        self.writing[name] = False
        for persist in batch:
            self.carry_out(name, self.members[name].handle_persisted(self.now, persist.number))
        self.write(name, start_number)

    # The servers.

    def call_server(self, name, start_number, call, body):
        if self.starts[name] != start_number:
            return
        if name in self.frozen:  # it looks at its lease when it is thawed, as the adapter does
            self.schedule(10 * MILLISECOND, self.call_server, name, start_number, call, body)
            return
        holding = self.servers[call.request.server]
        releases = isinstance(call.request, ReleaseKeyRange)
        sent = (releases or self.now < call.leader_lease_until) and holding.up  # one that is down answers no dial
        status = None
        if sent and frozenset((name, call.request.server)) not in self.cut:
            status = holding.take(self.now, call.request, body)
            if self.random.random() < 0.05:
                status = None  # it arrived, and its answer is lost
        handover = "h" if status == 200 and releases else None
        self.schedule(
            (5 if status else 800) * MILLISECOND, self.call_ended, name, start_number, call, sent, status, handover
        )

    def call_ended(self, name, start_number, call, sent, status, handover):
        if self.starts[name] == start_number and name in self.members:
            result = ServerCallResult(sent, status, handover)
            self.carry_out(name, self.members[name].handle_server_call_ended(self.now, call, result))

    def listed_servers(self):
        return [
            ListedServer(server, "views", self.addresses.get(server, f"{server}:80"), "z", 2, state, 0)
            for server, state in self.state.items()
        ]

    # Time.

    def step(self):
        self.now += 10 * MILLISECOND
        for name in [name for name, until in self.frozen.items() if until <= self.now]:
            del self.frozen[name]
        while True:
            due = [event for event in self.events if event[0] <= self.now]
            if not due:
                break
            event = min(due, key=lambda event: event[:2])
            self.events.remove(event)
            event[2](*event[3])
        if self.now % (50 * MILLISECOND) == 0:
            for name in list(self.members):
                if name not in self.frozen:
                    self.tick(name)
        if self.now % HEARTBEAT_INTERVAL_NS == 0:
            self.send_edge_heartbeats()
        if self.now % REPORT_INTERVAL_NS == 0 and self.hot is not None:
            self.send_load_reports()
        self.check()

    def tick(self, name):
        member = self.members[name]
        self.carry_out(name, member.tick(self.now, self.disks[name].size_bytes))
        if member.server_fetch_due_in_ns(self.now) == 0:
            self.carry_out(name, member.handle_servers_fetched(self.now, self.listed_servers()))
        if name in self.stopping and member.may_stop(self.now):
            self.kill(name)

    def run_for(self, seconds):
        for _ in range(round(seconds * 100)):
            self.step()

    # The rules.

    def check(self):
        for key in PROBES:
            holders = [
                server for server, holding in self.servers.items() if holding.up and holding.until[key] > self.now
            ]
            assert len(holders) <= 1, (key, holders, self.now)
            self.unowned_probes += not holders
        leading = [name for name, member in self.members.items() if member.node.leads(self.now)]
        assert len(leading) <= 1, (leading, self.now)

    def check_one_text(self, version, text):
        assert self.texts.setdefault(version, text) == text

    def order_answered(self, answer):
        order = self.orders[answer.ticket]
        assert order.acknowledged is None
        order.acknowledged, order.in_force, order.answered_at = answer.acknowledged, answer.in_force, self.now
        if answer.acknowledged:
            self.acknowledged = max(self.acknowledged, order.version)

    def read_answered(self, answer):
        found = self.reads[answer.ticket]
        assert found.known is None
        found.known, found.text, found.answered_at = answer.known, answer.text, self.now
        if answer.known:
            version = parse_configuration(answer.text).unwrap().key.version if answer.text else -1
            assert version >= found.least
            if answer.text:
                self.check_one_text(version, answer.text)

    # The operator.

    def put(self, name, version, **changes):
        """Sends an order to that member; returns what becomes of it."""
        text = encoded(version=f"{version:08x}", **changes)
        self.ticket += 1
        order = self.orders[self.ticket] = Order(version, text, self.now)
        self.carry_out(
            name, self.members[name].handle_replace_call(self.now, self.ticket, parse_configuration(text).unwrap())
        )
        return order

    def show(self, name):
        self.ticket += 1
        found = self.reads[self.ticket] = Read(self.acknowledged, self.now)
        self.carry_out(name, self.members[name].handle_show_call(self.now, self.ticket))
        return found

    def is_acknowledged(self, version):
        return any(order.acknowledged for order in self.orders.values() if order.version == version)

    # What can be seen.

    def versions(self):
        """The versions in force at the members."""
        found = [member.state.configuration for member in self.members.values()]
        return {force.version if force else None for force in found}

    def leader(self):
        return next((name for name, member in self.members.items() if member.node.leads(self.now)), None)

    def assigner(self):
        name = self.leader()
        return name if name is not None and self.members[name].shard_assigners else None

    def followers(self):
        return [name for name in self.members if name != self.leader()]

    def voters(self):
        """Addresses of all voters, as the leader has it."""
        return [address_of(one) for one in self.members[self.leader()].committed_membership.all_voters()]

    def key_ranges(self):
        """The key ranges at the member that assigns them."""
        name = self.assigner()
        return self.members[name].shard_assigners["views"].key_ranges.ranges if name else []

    def owned_ranges(self):
        return [(line.first, line.last, line.server) for line in self.key_ranges()]

    def moving(self):
        """Whether some key range is on its way from one server to another."""
        return any(line.state is not KeyRangeState.HELD for line in self.key_ranges())

    def all_held(self):
        return all(
            any(holding.up and holding.until[key] > self.now for holding in self.servers.values()) for key in PROBES
        )

    def all_current(self):
        return all(member.node.current(self.now) for member in self.members.values())

    def all_are_voters(self):
        """Whether every member that runs is a voter of a membership that each of them knows to be committed, with no
        change under way: whoever lost a disk is one again."""
        known = [member.committed_membership for member in self.members.values()]
        return all(
            counts is not None and not counts.joint and member.identity in counts.voters
            for member in self.members.values()
            for counts in known
        )

    def begin(self):
        """Until servers hold all keys by the first configuration."""
        self.run_for(0.5)
        first = self.put(NAMES[0], 1)
        self.run_for(4)
        assert first.acknowledged and self.all_held()
        self.unowned_probes = 0
