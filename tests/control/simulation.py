"""A simulation of control members, their disks, servers, an edge machine and an operator on one simulated clock.

After each step the invariants are checked: no key has two owners, at most one member leads, an acknowledged
configuration is never lost, and a version never has two texts.
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
SAMPLED_KEYS = range(0, KEY_COUNT, 1024)  # keys whose owners are checked
HEARTBEAT_INTERVAL_NS, REPORT_INTERVAL_NS = 400 * MILLISECOND, 500 * MILLISECOND  # of the edge machine


class SimulatedServer:
    """A server's fencing tokens and leases, on a clock that is 2% slow."""

    def __init__(self):
        self.fencing_tokens, self.lease_ends, self.up = (
            dict.fromkeys(SAMPLED_KEYS, -1),
            dict.fromkeys(SAMPLED_KEYS, 0),
            True,
        )

    def handle_call(self, now, request, body):
        keys = [key for key in SAMPLED_KEYS if body["first"] <= key <= body["last"]]
        if isinstance(request, GrantKeyRange):
            if any(self.fencing_tokens[key] > body["fence"] for key in keys):
                return 409
            for key in keys:
                self.fencing_tokens[key], self.lease_ends[key] = body["fence"], now + body["lease_ns"] * 102 // 100
        else:
            for key in keys:
                self.fencing_tokens[key], self.lease_ends[key] = max(self.fencing_tokens[key], body["fence"]), 0
        return 200


class Order:
    """An order and its outcome; `acknowledged` is None while it is pending."""

    def __init__(self, version, text, sent_at):
        self.version, self.text, self.sent_at = version, text, sent_at
        self.acknowledged, self.in_force, self.answered_at = None, False, None


class Read:
    """A read and its outcome; `min_version`: the newest version acknowledged when the read began."""

    def __init__(self, min_version, sent_at):
        self.min_version, self.sent_at = min_version, sent_at
        self.known, self.text, self.answered_at = None, None, None


class Simulation:
    """`names`: control addresses of the first members; `losses`: the number of machine losses to tolerate."""

    def __init__(self, seed, servers=4, names=NAMES, losses=1):
        self.random, self.now = Random(seed), 1000 * SECOND
        self.seeds, self.losses = names[:3], losses
        self.disks, self.starts = {}, {}
        self.members, self.stopping = {}, {}
        self.zones, self.ineligible = {}, set()
        self.pending_writes, self.write_in_flight = {}, {}  # by member
        self.events, self.event_count = [], 0
        self.partitions, self.one_way_partitions, self.frozen = set(), set(), {}
        self.stalled = set()  # members whose disks hang
        self.write_failure_rate = 0.0  # fraction of writes that fail
        self.ticket, self.orders, self.reads = 0, {}, {}
        self.newest_acknowledged, self.text_by_version = -1, {}  # newest acknowledged version; text by version
        self.log_lines = []
        self.servers = {f"i-{number}": SimulatedServer() for number in range(servers)}
        self.server_states, self.server_addresses = dict.fromkeys(self.servers, "ready"), {}
        self.unowned_samples = 0
        self.edge, self.hot_key = EdgeView(EDGE, self.seeds), None  # `hot_key`: first key of the hot range
        self.drop_edge_pushes = False
        for name in names:
            self.start(name, first=True)

    # The machines.

    def profile(self, name, seeds=None):
        zone = self.zones.get(name, f"zone-{name.split('.')[3].split(':')[0]}")
        return MemberProfile(zone, name not in self.ineligible, tuple(seeds or self.seeds), self.losses, 6 * SECOND)

    def start(self, name, first=False, seeds=None):
        """`seeds`: seed addresses that differ from those of the first start."""
        disk = self.disks.setdefault(name, MemoryLog())
        self.starts[name] = self.starts.get(name, 0) + 1
        self.pending_writes[name], self.write_in_flight[name] = [], False
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
        """Stop a member as SIGTERM does; it exits once `may_stop`."""
        self.carry_out(name, self.members[name].begin_stop(self.now))
        self.stopping[name] = self.now

    def schedule(self, delay, action, *args):
        self.event_count += 1
        self.events.append((self.now + delay, self.event_count, action, args))

    def reaches(self, source, target):
        return (
            source == target
            or frozenset((source, target)) not in self.partitions
            and (source, target) not in self.one_way_partitions
        )

    def in_session(self, name, other):
        """Whether either member dials the other."""
        return other in self.members[name].addresses_to_dial(self.now) or (
            other in self.members and name in self.members[other].addresses_to_dial(self.now)
        )

    def carry_out(self, name, effects):
        """Carry out the member's effects."""
        start_number = self.starts[name]
        for effect in effects:
            if isinstance(effect, SendMessage | SendToAddress):
                to = effect.to if isinstance(effect, SendMessage) else effect.address
                self.send(name, to, effect.message)
            elif isinstance(effect, Persist):
                self.pending_writes[name].append(effect)
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
                self.handle_order_answer(effect)
            elif isinstance(effect, AnswerRead):
                self.handle_read_answer(effect)
            elif isinstance(effect, LogLine):
                self.log_lines.append((self.now, name, effect.text))
            else:
                assert isinstance(effect, WriteConfigurationCopy)
                self.check_version_has_one_text(effect.version, effect.text)

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
        if name in self.edge.addresses_to_dial(self.now) and self.reaches(name, EDGE) and not self.drop_edge_pushes:
            self.send_to_edge(name, message)

    def send_to_edge(self, name, message):
        if isinstance(message, ConfigurationUpdate):
            self.check_version_has_one_text(message.version, message.text)
        before = self.edge.configuration.key.version if self.edge.configuration else -1
        self.edge.receive(self.now, name, message)
        assert (self.edge.configuration.key.version if self.edge.configuration else -1) >= before

    def send_edge_heartbeats(self):
        """Send the edge machine's heartbeat to each member, and deliver the replies."""
        for name in self.edge_sessions():
            for message in self.members[name].handle_edge_heartbeat(self.now, self.edge.heartbeat(self.now), 1):
                self.send_to_edge(name, message)

    def send_load_reports(self):
        """Send the edge machine's load report: 40 requests, 80% of them for the 300 keys from `hot_key` on."""
        for name in self.edge_sessions():
            keys = [
                self.hot_key + self.random.randrange(300)
                if self.random.random() < 0.8
                else self.random.randrange(KEY_COUNT)
                for _ in range(40)
            ]
            self.members[name].handle_load_report(self.now, LoadReport("views", keys, {}))

    def edge_sessions(self):
        """The members that the edge machine is in session with."""
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
        """Start one write of all pending `Persist` effects, unless a write is in flight."""
        if self.write_in_flight[name] or not self.pending_writes[name]:
            return
        self.write_in_flight[name] = True
        batch, self.pending_writes[name] = self.pending_writes[name], []
        self.schedule(self.random.choice((3, 5, 40)) * MILLISECOND, self.complete_write, name, start_number, batch)

    def complete_write(self, name, start_number, batch):
        if self.starts[name] != start_number:
            return
        if name in self.stalled:
            self.schedule(10 * MILLISECOND, self.complete_write, name, start_number, batch)
            return
        if self.random.random() < self.write_failure_rate:
            self.schedule(300 * MILLISECOND, self.complete_write, name, start_number, batch)
            return
        self.disks[name].write(batch)
        self.report_durable(name, start_number, batch)

    def report_durable(self, name, start_number, batch):
        """Report the write as durable to the member, if it runs."""
        if self.starts[name] != start_number:
            return
        if name in self.frozen:
            self.schedule(10 * MILLISECOND, self.report_durable, name, start_number, batch)
            return
        self.write_in_flight[name] = False
        for persist in batch:
            self.carry_out(name, self.members[name].handle_persisted(self.now, persist.number))
        self.write(name, start_number)

    # The servers.

    def call_server(self, name, start_number, call, body):
        if self.starts[name] != start_number:
            return
        if name in self.frozen:  # the lease is checked when the member resumes, as in the adapter
            self.schedule(10 * MILLISECOND, self.call_server, name, start_number, call, body)
            return
        server = self.servers[call.request.server]
        is_release = isinstance(call.request, ReleaseKeyRange)
        sent = (is_release or self.now < call.leader_lease_until) and server.up  # otherwise the connection is refused
        status = None
        if sent and frozenset((name, call.request.server)) not in self.partitions:
            status = server.handle_call(self.now, call.request, body)
            if self.random.random() < 0.05:
                status = None  # the request arrived, but its response is lost
        handover = "h" if status == 200 and is_release else None
        self.schedule(
            (5 if status else 800) * MILLISECOND, self.call_ended, name, start_number, call, sent, status, handover
        )

    def call_ended(self, name, start_number, call, sent, status, handover):
        if self.starts[name] == start_number and name in self.members:
            result = ServerCallResult(sent, status, handover)
            self.carry_out(name, self.members[name].handle_server_call_ended(self.now, call, result))

    def listed_servers(self):
        return [
            ListedServer(server, "views", self.server_addresses.get(server, f"{server}:80"), "z", 2, state, 0)
            for server, state in self.server_states.items()
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
        if self.now % REPORT_INTERVAL_NS == 0 and self.hot_key is not None:
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

    # Invariants.

    def check(self):
        for key in SAMPLED_KEYS:
            holders = [name for name, server in self.servers.items() if server.up and server.lease_ends[key] > self.now]
            assert len(holders) <= 1, (key, holders, self.now)
            self.unowned_samples += not holders
        leading = [name for name, member in self.members.items() if member.node.leads(self.now)]
        assert len(leading) <= 1, (leading, self.now)

    def check_version_has_one_text(self, version, text):
        assert self.text_by_version.setdefault(version, text) == text

    def handle_order_answer(self, answer):
        order = self.orders[answer.ticket]
        assert order.acknowledged is None
        order.acknowledged, order.in_force, order.answered_at = answer.acknowledged, answer.in_force, self.now
        if answer.acknowledged:
            self.newest_acknowledged = max(self.newest_acknowledged, order.version)

    def handle_read_answer(self, answer):
        read = self.reads[answer.ticket]
        assert read.known is None
        read.known, read.text, read.answered_at = answer.known, answer.text, self.now
        if answer.known:
            version = parse_configuration(answer.text).unwrap().key.version if answer.text else -1
            assert version >= read.min_version
            if answer.text:
                self.check_version_has_one_text(version, answer.text)

    # The operator.

    def submit_order(self, name, version, **changes):
        """Submit an order to that member; return the order, which will have its outcome."""
        text = encoded(version=f"{version:08x}", **changes)
        self.ticket += 1
        order = self.orders[self.ticket] = Order(version, text, self.now)
        self.carry_out(
            name, self.members[name].handle_replace_call(self.now, self.ticket, parse_configuration(text).unwrap())
        )
        return order

    def read_configuration(self, name):
        self.ticket += 1
        read = self.reads[self.ticket] = Read(self.newest_acknowledged, self.now)
        self.carry_out(name, self.members[name].handle_show_call(self.now, self.ticket))
        return read

    def is_acknowledged(self, version):
        return any(order.acknowledged for order in self.orders.values() if order.version == version)

    # Observations.

    def versions_in_force(self):
        """The versions in force at the running members."""
        configurations = [member.state.configuration for member in self.members.values()]
        return {configuration.version if configuration else None for configuration in configurations}

    def leader(self):
        return next((name for name, member in self.members.items() if member.node.leads(self.now)), None)

    def assigner(self):
        name = self.leader()
        return name if name is not None and self.members[name].shard_assigners else None

    def followers(self):
        return [name for name in self.members if name != self.leader()]

    def voters(self):
        """Addresses of all voters in the leader's committed membership."""
        return [address_of(identity) for identity in self.members[self.leader()].committed_membership.all_voters()]

    def key_ranges(self):
        """The key ranges at the member that assigns keys."""
        name = self.assigner()
        return self.members[name].shard_assigners["views"].key_ranges.ranges if name else []

    def owned_ranges(self):
        return [(key_range.first, key_range.last, key_range.server) for key_range in self.key_ranges()]

    def has_moving_ranges(self):
        """Whether any key range is not held by a server, as during a move."""
        return any(key_range.state is not KeyRangeState.HELD for key_range in self.key_ranges())

    def all_keys_owned(self):
        return all(
            any(server.up and server.lease_ends[key] > self.now for server in self.servers.values())
            for key in SAMPLED_KEYS
        )

    def all_current(self):
        return all(member.node.current(self.now) for member in self.members.values())

    def all_are_voters(self):
        """Whether every running member is a voter of each running member's committed membership, and no membership
        change is pending."""
        known = [member.committed_membership for member in self.members.values()]
        return all(
            membership is not None and not membership.joint and member.identity in membership.voters
            for member in self.members.values()
            for membership in known
        )

    def start_up(self):
        """Submit the first configuration and run until servers own all keys."""
        self.run_for(0.5)
        first = self.submit_order(NAMES[0], 1)
        self.run_for(4)
        assert first.acknowledged and self.all_keys_owned()
        self.unowned_samples = 0
