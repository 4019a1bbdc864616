"""One control member without I/O: the replicated log, what it adds up to, operators' calls, who decides for keys, and
what edge machines are told. Each call returns effects (`control.effects`), to be carried out in order.

Whoever leads the log decides for every sharded service, confirms orders and answers reads. Another member that is
current passes operators' calls on to the leader; one that is not refuses them at once, and tells edge machines so.
"""

from random import Random

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus import effects as consensus
from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.log_entries import (
    ChangeMembership,
    Entry,
    HardState,
    PutRecord,
    Snapshot,
)
from kestrelplank.consensus.member_messages import (
    MembershipQuery,
    MembershipRequest,
    MembershipUpdate,
    Message,
    OrderResult,
    ReadConfiguration,
    ReadResult,
    ServerListUpdate,
    SubmitOrder,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.control.effects import CallServer, Effect, KeepCopy, PushToEdges
from kestrelplank.control.member_lifecycle import MemberLifecycle
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.membership_reconciler import MembershipReconciler
from kestrelplank.control.operator_calls import OperatorCalls
from kestrelplank.control.peer_directory import PeerDirectory
from kestrelplank.control.replica import Replica
from kestrelplank.control.shard_assigner import ShardAssigner
from kestrelplank.control.shard_assigners import ShardAssigners
from kestrelplank.control.shard_record import key_ranges_update
from kestrelplank.control.status import MemberStatus, peer_status, service_status
from kestrelplank.sharding.effects import ServerCallResult
from kestrelplank.state.control_state import ApplyResult, ControlState
from kestrelplank.transport.messages import (
    ConfigurationUpdate,
    EdgeHeartbeat,
    KeyRangesVersion,
    LoadReport,
    MemberHeartbeat,
    ToEdge,
)
from kestrelplank.transport.server_list import ListedServer, ServerList

S = 1_000_000_000
POLL, POLL_RANK = S // 2, S // 2  # how old the platform's list may become, and how much older by rank


class ControlMember:
    """The member `identity`. `hard_state`, `snapshot` and `entries` are what its disk has; `first_start`: the system
    has never run before. Times are whole ns of the steady clock."""

    def __init__(
        self,
        now: int,
        random: Random,
        identity: str,
        place: MemberProfile,
        hard_state: HardState,
        snapshot: Snapshot | None,
        entries: tuple[Entry, ...],
        first_start: bool,
    ) -> None:
        self.identity = identity
        self.node = ConsensusNode(now, random, identity, None, hard_state, entries, snapshot, first_start)
        self.state = ControlState()
        if snapshot is not None:
            self.state.restore(snapshot.state)
        self.replica = Replica(self.node, self.state, snapshot.membership if snapshot else None)
        self.servers = ServerList()
        self.directory = PeerDirectory(address_of(identity), place.seeds)
        self.lifecycle = MemberLifecycle(now, address_of(identity), place, self.replica, self.directory)
        self._calls = OperatorCalls(self.replica, random.getrandbits(63))
        self._keys = ShardAssigners(random, self.replica, self.servers)
        self._voters = MembershipReconciler(now, place, self.replica, self.directory)

    @property
    def committed(self) -> Membership | None:
        """The newest membership that is committed in our log."""
        return self.replica.committed

    @property
    def shard_assigners(self) -> dict[str, ShardAssigner]:
        """By service, while this member leads."""
        return self._keys.by_service

    # What comes in.

    def receive(self, now: int, sender: str, message: Message) -> list[Effect]:
        """A message of the member `sender`."""
        self.directory.heard(now, sender)
        if isinstance(message, MembershipRequest):
            self.lifecycle.on_request(now, sender, message)
        elif isinstance(message, MembershipQuery):
            self.lifecycle.tell_members(now, sender)
        elif isinstance(message, MembershipUpdate):
            self.directory.told(now, message)
        elif isinstance(message, SubmitOrder):
            self._calls.on_submit(now, sender, message)
        elif isinstance(message, ReadConfiguration):
            self._calls.on_read(now, sender, message)
        elif isinstance(message, OrderResult):
            self._calls.on_order_result(sender, message)
        elif isinstance(message, ReadResult):
            self._calls.on_read_result(sender, message)
        elif isinstance(message, ServerListUpdate):
            self._listed(now, message.age_ns, message.entries)
        else:
            self.replica.add(self.node.receive(now, sender, message))
        return self._done(now)

    def persisted(self, now: int, number: int) -> list[Effect]:
        """The `Persist` with that number is durable, and all before it."""
        self.replica.persisted(now, number)
        return self._done(now)

    def put(self, now: int, ticket: int, configuration: Configuration) -> list[Effect]:
        """The operator sends a configuration that has passed the checks; `AnswerOrder` follows."""
        self._calls.put(now, ticket, configuration)
        return self._done(now)

    def show(self, now: int, ticket: int) -> list[Effect]:
        """The operator asks for the newest configuration; `AnswerRead` follows."""
        self._calls.show(now, ticket)
        return self._done(now)

    def fetched(self, now: int, entries: list[ListedServer]) -> list[Effect]:
        """The platform's list, fetched by us right now."""
        changed = self._listed(now, 0, entries)
        news = self.servers.update_message(now)
        for voter in self.replica.voters():
            if voter != self.identity:
                self.replica.send(voter, news)
        if changed:
            self.replica.emit(PushToEdges(news))
        return self._done(now)

    def handle_server_call_ended(self, now: int, call: CallServer, result: ServerCallResult) -> list[Effect]:
        """A grant or release has ended."""
        self._keys.handle_call_ended(now, call, result)
        return self._done(now)

    def load_report(self, now: int, report: LoadReport) -> None:
        """What an edge machine has seen of servers and keys."""
        self._keys.handle_load_report(now, report)

    def tick(self, now: int, log_size: int = 0) -> list[Effect]:
        """What is due, at least every 50 ms. `log_size`: bytes of the log on disk."""
        self.replica.add(self.node.tick(now))
        self._settle(now)
        self._calls.expire(now)
        self.lifecycle.tick(now)
        if self.node.leads(now):
            self._voters.tick(now, self.lifecycle.stopping)
            self._keys.tick(now)
        self.replica.compact(log_size)
        return self._done(now)

    def stop(self, now: int) -> list[Effect]:
        """This member is told to stop; it goes on serving until `may_stop`."""
        self.lifecycle.stop(now)
        self._settle(now)
        self.lifecycle.tick(now)
        return self._done(now)

    def may_stop(self, now: int) -> bool:
        """Whether nothing more can be done for what this member holds."""
        return self.lifecycle.may_stop(now)

    def addresses_to_dial(self, now: int) -> list[str]:
        """Control addresses of the members that a session is wanted with."""
        return self.lifecycle.addresses_to_dial(now)

    # What the log wants done.

    def _done(self, now: int) -> list[Effect]:
        self._settle(now)
        return self.replica.take_effects()

    def _settle(self, now: int) -> None:
        """Takes what the node wants done, in order, until it wants nothing more."""
        events = self.replica.events
        while events:
            event = events.popleft()
            if isinstance(event, consensus.Send):
                self.replica.send(event.to, event.message)
            elif isinstance(event, consensus.Persist):
                self.replica.emit(event)
            elif isinstance(event, consensus.Applied):
                self._applied(now, event.entry)
            elif isinstance(event, consensus.Restored):
                self._restored(event.snapshot)
            elif isinstance(event, consensus.Elected):
                self.replica.log(f"leads, term {event.term}")
                self._voters.elected(now)
            else:
                self.replica.log("leads no longer")
                self._keys.stop_leading()
                self._calls.deposed()

    def _applied(self, now: int, entry: Entry) -> None:
        result = self.state.apply(entry)
        command = entry.command
        if isinstance(command, ChangeMembership):
            self.replica.counts(command.membership)
        if result.in_force is not None:
            self._in_force(now, result)
        if isinstance(command, PutRecord):
            self._keys.handle_record_committed(now, entry, command)
        self._calls.applied(entry, result.in_force is not None)

    def _in_force(self, now: int, result: ApplyResult) -> None:
        order = result.in_force
        assert order is not None
        self.replica.log(f"configuration {order.version:08x} is in force")
        self.replica.emit(KeepCopy(order.version, order.text))
        self._keys.keep_only(self.replica.sharded())
        if self.node.leads(now):
            self.replica.emit(PushToEdges(ConfigurationUpdate(order.version, order.text)))

    def _restored(self, snapshot: Snapshot) -> None:
        self.state.restore(snapshot.state)
        self.replica.counts(snapshot.membership)
        force = self.state.configuration
        self.replica.log(
            f"has taken a snapshot, configuration {force.version:08x}" if force else "has taken a snapshot"
        )

    # The platform's list.

    def list_due(self, now: int) -> int | None:
        """ns until this member should fetch the list, unless another has told a newer one by then. None: it is no
        voter, so it need not."""
        others = [voter for voter in self.replica.voters() if voter != self.node.leader]
        if self.identity != self.node.leader and self.identity not in others:
            return None
        rank = 0 if self.identity == self.node.leader else others.index(self.identity) + 1
        age = self.servers.age_ns(now)
        return 0 if age is None else max(0, POLL + rank * POLL_RANK - age)

    def _listed(self, now: int, age: int, entries: list[tuple]) -> bool:
        changed = self.servers.update(now, age, entries)
        if changed:
            self._keys.handle_server_list(now)
        return changed

    # What edge machines are told.

    def on_edge_heartbeat(self, now: int, beat: EdgeHeartbeat, edges: int) -> list[ToEdge]:
        """An edge machine says where it stands; `edges`: how many are in session. Returns what it is told: our own
        beat, and all that it lacks."""
        answers: list[ToEdge] = [self._member_beat(now, beat, edges)]
        force = self.state.configuration
        if force is not None and (beat.configuration_version is None or beat.configuration_version < force.version):
            answers.append(ConfigurationUpdate(force.version, force.text))
        for service in self.replica.sharded():
            assigner, record = self._keys.leading_assigner(now, service), self.replica.record(service)
            place = assigner.version if assigner else record.version
            if beat.key_ranges.get(service, KeyRangesVersion()) < place:
                answers.append(assigner.update() if assigner else key_ranges_update(service, record))
        if self.servers.fetched_at is not None and beat.server_list_digest != self.servers.digest():
            answers.append(self.servers.update_message(now))
        return answers

    def _member_beat(self, now: int, beat: EdgeHeartbeat, edges: int) -> MemberHeartbeat:
        counts, force = self.lifecycle.committed(), self.state.configuration
        return MemberHeartbeat(
            counts.epoch if counts else -1,
            self.node.term,
            address_of(self.node.leader),
            self.node.current(now),
            force.version if force else None,
            tuple(map(address_of, counts.all_voters())) if counts else (),
            edges,
            beat.sent_at,
        )

    # What others ask.

    def status(self, now: int) -> MemberStatus:
        """This member as an operator sees it."""
        node, force, counts = self.node, self.state.configuration, self.lifecycle.committed()
        voters = counts.all_voters() if counts else ()
        age = self.servers.age_ns(now)
        return MemberStatus(
            member=self.identity,
            state=node.catch_up_state(now),
            term=node.term,
            leader=node.leader,
            leads=node.leads(now),
            current=node.current(now),
            epoch=counts.epoch if counts else None,
            voters=list(voters),
            standbys=[one for one in self.directory.running(now) if one not in voters],
            stopping=self.lifecycle.stopping,
            commit=node.commit_index,
            applied=node.applied_index,
            last=node.log.last_index,
            in_force=f"{force.version:08x}" if force else None,
            peers={name: peer_status(now, peer, node.commit_index) for name, peer in sorted(node.peers.items())},
            servers=len(self.servers.entries),
            list_age_s=None if age is None else round(age / S, 3),
            services={
                service: service_status(now, self._keys.leading_assigner(now, service), self.replica.record(service))
                for service in self.replica.sharded()
            },
        )
