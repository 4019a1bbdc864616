"""One control member without I/O: the replicated log, what it adds up to, operators' calls, who decides for keys, and
what edge machines are told. Each call returns effects (`control.effects`), to be carried out in order.

Whoever leads the log decides for every sharded service, confirms orders and answers reads. Another member that is
current passes operators' calls on to the leader; one that is not refuses them at once, and tells edge machines so.
"""

from collections import deque
from dataclasses import dataclass
from random import Random

from kestrelplank.configuration.plan import Configuration
from kestrelplank.consensus import effects as consensus
from kestrelplank.consensus.membership import Candidate, plan_membership, successor
from kestrelplank.consensus.messages import (
    CallId,
    ChangeMembership,
    Command,
    Entry,
    HardState,
    Membership,
    MembershipNews,
    Message,
    OrderResult,
    PutConfiguration,
    PutRecord,
    ReadConfiguration,
    ReadResult,
    RequestMembership,
    ServerListNews,
    Snapshot,
    SubmitOrder,
    WhoCounts,
    address_of,
)
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.control import deciding
from kestrelplank.control.deciding import Record, ServiceDecider, lines_news, read_record
from kestrelplank.control.directory import Directory
from kestrelplank.control.effects import (
    AnswerOrder,
    AnswerRead,
    CallServer,
    Effect,
    KeepCopy,
    LogLine,
    PushToEdges,
    SendMessage,
    SendToAddress,
)
from kestrelplank.control.operator_calls import Caller, Passed, PassedCalls, PassedOn, PendingOrders, Ticket
from kestrelplank.control.status import LineStatus, MemberStatus, PeerStatus, ServiceStatus
from kestrelplank.sharding.lines import Line, Server
from kestrelplank.state.control_state import ApplyResult, ControlState
from kestrelplank.transport.messages import ConfigurationNews, EdgeBeat, LoadReport, MemberBeat, RecordPlace, ToEdge
from kestrelplank.transport.server_list import READY, ServerList

S = 1_000_000_000
ASK = 300_000_000  # ns between requests of a member that is no voter, or that is about to stop
TELL = S  # ns between a voter's words to the leader on where it is
SEARCH_AFTER = S  # a member that has not been current for so long looks for the others anywhere
POLL, POLL_RANK = S // 2, S // 2  # how old the platform's list may become, and how much older by rank
COMPACT_FROM = 256 << 10  # bytes of the log on disk, besides twice the state, from which it is cut short
STOP_MARGIN = 3 * S // 2  # of the grace, for what is in hand when a member stops
STOP_CALM = S  # a member that stops waits so long for what might be done for its place


@dataclass(frozen=True, slots=True)
class Place:
    """What the platform says of this member: its zone, whether its machine's loss counts, the control addresses that it
    names, how many machines may be lost at once, and how long a member may take to stop (ns)."""

    zone: str
    eligible: bool
    seeds: tuple[str, ...]
    machine_losses: int
    grace: int

    @property
    def target_voters(self) -> int:
        return 2 * self.machine_losses + 1


@dataclass(slots=True)
class Laying:
    """A record of a service that is on its way into the log."""

    index: int
    term: int


class ControlMember:
    """The member `identity`. `hard_state`, `snapshot` and `entries` are what its disk has; `first_start`: the system
    has never run before. Times are whole ns of the steady clock."""

    def __init__(
        self,
        now: int,
        random: Random,
        identity: str,
        place: Place,
        hard_state: HardState,
        snapshot: Snapshot | None,
        entries: tuple[Entry, ...],
        first_start: bool,
    ) -> None:
        self.identity, self.address, self.place = identity, address_of(identity), place
        self._random = random
        self.node = ConsensusNode(now, random, identity, None, hard_state, entries, snapshot, first_start)
        self.state = ControlState()
        if snapshot is not None:
            self.state.restore(snapshot.state)
        self.committed: Membership | None = snapshot.membership if snapshot else None
        self.servers = ServerList()
        self.directory = Directory(self.address, place.seeds)
        self.deciders: dict[str, ServiceDecider] = {}
        self._laying: dict[str, Laying] = {}
        self._records: dict[str, tuple[bytes, Record]] = {}  # decoded, by service
        self._orders = PendingOrders()
        self._passed = PassedCalls(identity, random.getrandbits(63))
        self._from_node: deque[consensus.Effect] = deque()
        self._effects: list[Effect] = []
        self._elected_at = now
        self._current_at: int | None = None  # when this member last was current in this life
        self._started_at = now
        self._ask_at = now
        self._compacting: int | None = None  # the number of the write that cuts the log short
        self._stop_at: int | None = None

    # What comes in.

    def receive(self, now: int, sender: str, message: Message) -> list[Effect]:
        """A message of the member `sender`."""
        self.directory.heard(now, sender)
        if isinstance(message, RequestMembership):
            self._on_request(now, sender, message)
        elif isinstance(message, WhoCounts):
            self._tell_members(now, sender)
        elif isinstance(message, MembershipNews):
            self.directory.told(now, message)
        elif isinstance(message, SubmitOrder):
            self._submit(now, PassedOn(sender, message.call), message.order)
        elif isinstance(message, ReadConfiguration):
            self._read(now, PassedOn(sender, message.call))
        elif isinstance(message, OrderResult):
            self._on_order_result(sender, message)
        elif isinstance(message, ReadResult):
            self._on_read_result(sender, message)
        elif isinstance(message, ServerListNews):
            self._listed(now, message.age, message.entries)
        else:
            self._from_node.extend(self.node.receive(now, sender, message))
        return self._done(now)

    def persisted(self, now: int, number: int) -> list[Effect]:
        """The `Persist` with that number is durable, and all before it."""
        if self._compacting is not None and number >= self._compacting:
            self._compacting = None
        self._from_node.extend(self.node.persisted(now, number))
        return self._done(now)

    def put(self, now: int, ticket: int, configuration: Configuration) -> list[Effect]:
        """The operator sends a configuration that has passed the checks; `AnswerOrder` follows."""
        order = PutConfiguration(configuration.key.version, configuration.key.digest, configuration.text)
        if self.node.leads(now):
            self._submit(now, Ticket(ticket), order)
        elif self._can_pass_on(now):
            call = self._passed.add(now, ticket, self.node.leader, reads=False)
            self._send(self.node.leader, SubmitOrder(call, order))
        else:
            self._effects.append(AnswerOrder(ticket, False))
        return self._done(now)

    def show(self, now: int, ticket: int) -> list[Effect]:
        """The operator asks for the newest configuration; `AnswerRead` follows."""
        if self.node.leads(now):
            self._read(now, Ticket(ticket))
        elif self._can_pass_on(now):
            call = self._passed.add(now, ticket, self.node.leader, reads=True)
            self._send(self.node.leader, ReadConfiguration(call))
        else:
            self._effects.append(AnswerRead(ticket, False, None))
        return self._done(now)

    def fetched(self, now: int, entries: list[tuple]) -> list[Effect]:
        """The platform's list, fetched by us right now."""
        changed = self._listed(now, 0, entries)
        news = self.servers.news(now)
        for voter in self._voters():
            if voter != self.identity:
                self._send(voter, news)
        if changed:
            self._effects.append(PushToEdges(news))
        return self._done(now)

    def called(
        self, now: int, service: str, action: str, line: Line, sent: bool, status: int | None, handover: str | None
    ) -> list[Effect]:
        """A grant or release has ended. `sent`: something of it left us; `status`: the answer's, None without one."""
        decider = self.deciders.get(service)
        if decider is not None and decider.called(now, action, line, sent, status, handover):
            self._work(now, decider)
        return self._done(now)

    def tick(self, now: int, log_size: int = 0) -> list[Effect]:
        """What is due, at least every 50 ms. `log_size`: bytes of the log on disk."""
        self._from_node.extend(self.node.tick(now))
        self._settle(now)
        if self.node.current(now):
            self._current_at = now
        self._expire(now)
        if now >= self._ask_at:
            self._ask(now)
        if self.node.leads(now):
            self._lead(now)
        self._compact(log_size)
        return self._done(now)

    # Sessions.

    def searching(self, now: int) -> bool:
        """Whether the others have to be looked for anywhere, as those known here do not make this member current."""
        if self._current_at is None:
            known = self.node.membership is not None
            return not known or now - self._started_at >= SEARCH_AFTER
        return now - self._current_at >= SEARCH_AFTER

    def addresses_to_dial(self, now: int) -> list[str]:
        """Control addresses of the members that a session is wanted with."""
        newest = self._newest()
        known = [*self._voters(), *(newest.everybody() if newest else ())]
        addresses = dict.fromkeys(map(address_of, known))
        if self.searching(now):
            addresses.update(dict.fromkeys(self.directory.places(now)))
        addresses.pop(self.address, None)
        return list(addresses)

    # Edge machines.

    def edge_beat(self, now: int, beat: EdgeBeat, edges: int) -> list[ToEdge]:
        """An edge machine says where it stands; `edges`: how many are in session. Returns what it is told: our own
        beat, and all that it lacks."""
        answers: list[ToEdge] = [self._member_beat(now, beat, edges)]
        force = self.state.configuration
        if force is not None and (beat.version is None or beat.version < force.version):
            answers.append(ConfigurationNews(force.version, force.text))
        for service in self._sharded():
            decider = self.deciders.get(service) if self.node.leads(now) else None
            record = self._record(service)
            place = decider.place if decider else record.place
            if beat.lines.get(service, RecordPlace()) < place:
                answers.append(decider.news() if decider else lines_news(service, record))
        if self.servers.fetched_at is not None and beat.servers != self.servers.digest():
            answers.append(self.servers.news(now))
        return answers

    def load_report(self, now: int, report: LoadReport) -> None:
        """What an edge machine has seen of servers and keys."""
        decider = self.deciders.get(report.service)
        if decider is not None:
            decider.placing.report(now, report.keys, report.servers)

    def _member_beat(self, now: int, beat: EdgeBeat, edges: int) -> MemberBeat:
        counts = self._committed()
        force = self.state.configuration
        return MemberBeat(
            counts.epoch if counts else -1,
            self.node.term,
            address_of(self.node.leader),
            self.node.current(now),
            force.version if force else None,
            tuple(map(address_of, counts.everybody())) if counts else (),
            edges,
            beat.sent_at,
        )

    # The platform's list.

    def list_due(self, now: int) -> int | None:
        """ns until this member should fetch the list, unless another has told a newer one by then. None: it is no
        voter, so it need not."""
        voters = [voter for voter in self._voters() if voter != self.node.leader]
        if self.identity != self.node.leader and self.identity not in voters:
            return None
        rank = 0 if self.identity == self.node.leader else voters.index(self.identity) + 1
        age = self.servers.age(now)
        return 0 if age is None else max(0, POLL + rank * POLL_RANK - age)

    def _listed(self, now: int, age: int, entries: list[tuple]) -> bool:
        if not self.servers.take(now, age, entries):
            return False
        for service, decider in self.deciders.items():
            decider.listed(now, self._servers_of(service))
        return True

    def _servers_of(self, service: str) -> list[Server]:
        fetched_at = self.servers.fetched_at or 0
        return [
            Server(entry.server, entry.address, entry.zone, entry.slots, entry.state == READY, fetched_at + entry.warm)
            for entry in self.servers.entries.values()
            if entry.service == service
        ]

    # Orders and reads of the operator.

    def _can_pass_on(self, now: int) -> bool:
        known = self.node.leader not in ("", self.identity)
        return known and self.node.current(now) and not self._passed.full()

    def _submit(self, now: int, caller: Caller, order: PutConfiguration) -> None:
        """An order to be put in force by us, the leader."""
        if not self.node.leads(now):
            self._answer_order(caller, False)
        elif self.state.acknowledges(order):
            self._answer_order(caller, True, self.state.holds(order))
        elif self._orders.full():
            self._answer_order(caller, False)
        elif not self._orders.attach(now, caller, order):
            index = self._propose(now, order)
            if index is None:
                self._answer_order(caller, False)
            else:
                self._orders.add(now, caller, order, index, self.node.term)

    def _read(self, now: int, caller: Caller) -> None:
        """A read to be answered by us, the leader: all that was ever acknowledged is applied here while we lead."""
        known = self.node.leads(now)
        force = self.state.configuration if known else None
        text = force.text if force else None
        if isinstance(caller, Ticket):
            self._effects.append(AnswerRead(caller.number, known, text))
        else:
            self._send(caller.sender, ReadResult(caller.call, known, text))

    def _answer_order(self, caller: Caller, acknowledged: bool, in_force: bool = False) -> None:
        if isinstance(caller, Ticket):
            self._effects.append(AnswerOrder(caller.number, acknowledged, in_force))
        else:
            self._send(caller.sender, OrderResult(caller.call, acknowledged, in_force))

    def _on_order_result(self, sender: str, result: OrderResult) -> None:
        passed = self._answered(sender, result.call, reads=False)
        if passed is not None:
            self._effects.append(AnswerOrder(passed.ticket, result.acknowledged, result.in_force))

    def _on_read_result(self, sender: str, result: ReadResult) -> None:
        passed = self._answered(sender, result.call, reads=True)
        if passed is not None:
            self._effects.append(AnswerRead(passed.ticket, result.known, result.text))

    def _answered(self, sender: str, call: CallId, reads: bool) -> Passed | None:
        return self._passed.answered(sender, call, reads)

    def _expire(self, now: int) -> None:
        """Ends calls that have waited too long."""
        for caller in self._orders.expired(now):
            self._answer_order(caller, False)
        for passed in self._passed.expired(now, self.node.leader):
            if passed.reads:
                self._effects.append(AnswerRead(passed.ticket, False, None))
            else:
                self._effects.append(AnswerOrder(passed.ticket, False))

    # The log.

    def _propose(self, now: int, command: Command) -> int | None:
        index, effects = self.node.propose(now, command)
        self._from_node.extend(effects)
        return index

    def _done(self, now: int) -> list[Effect]:
        self._settle(now)
        effects, self._effects = self._effects, []
        return effects

    def _settle(self, now: int) -> None:
        """Takes what the node wants done, in order, until it wants nothing more."""
        while self._from_node:
            effect = self._from_node.popleft()
            if isinstance(effect, consensus.Send):
                self._send(effect.to, effect.message)
            elif isinstance(effect, consensus.Persist):
                self._effects.append(effect)
            elif isinstance(effect, consensus.Applied):
                self._applied(now, effect.entry)
            elif isinstance(effect, consensus.Restored):
                self._restored(effect.snapshot)
            elif isinstance(effect, consensus.Elected):
                self._elected(now, effect.term)
            else:
                self._deposed()

    def _applied(self, now: int, entry: Entry) -> None:
        result = self.state.apply(entry)
        if isinstance(entry.command, ChangeMembership):
            self._counts(entry.command.membership)
        if result.in_force is not None:
            self._in_force(now, result)
        if isinstance(entry.command, PutRecord):
            self._recorded(now, entry)
        acknowledged, unknown = self._orders.applied(entry)
        for caller in acknowledged:
            self._answer_order(caller, True, result.in_force is not None)
        for caller in unknown:
            self._answer_order(caller, False)

    def _in_force(self, now: int, result: ApplyResult) -> None:
        order = result.in_force
        assert order is not None
        self._log(f"configuration {order.version:08x} is in force")
        self._effects.append(KeepCopy(order.version, order.text))
        sharded = self._sharded()
        for service in [service for service in self.deciders if service not in sharded]:
            self._let_go(service)
        if self.node.leads(now):
            self._effects.append(PushToEdges(ConfigurationNews(order.version, order.text)))

    def _restored(self, snapshot: Snapshot) -> None:
        self.state.restore(snapshot.state)
        self._counts(snapshot.membership)
        force = self.state.configuration
        self._log(f"has taken a snapshot, configuration {force.version:08x}" if force else "has taken a snapshot")

    def _counts(self, membership: Membership) -> None:
        if self.committed is None or membership.epoch > self.committed.epoch:
            self.committed = membership
            self._log(f"epoch {membership.epoch}: {', '.join(membership.everybody())} count")

    def _compact(self, log_size: int) -> None:
        if self._compacting is not None or log_size <= COMPACT_FROM:
            return
        state = self.state.snapshot()
        if log_size <= COMPACT_FROM + 2 * len(state):
            return
        effects = self.node.compact(state)
        self._from_node.extend(effects)
        for effect in effects:
            if isinstance(effect, consensus.Persist):
                self._compacting = effect.number

    # Leading.

    def _elected(self, now: int, term: int) -> None:
        self._elected_at = now
        self._log(f"leads, term {term}")

    def _deposed(self) -> None:
        self._log("leads no longer")
        for service in list(self.deciders):
            self._let_go(service)
        for caller in self._orders.drop():
            self._answer_order(caller, False)

    def _lead(self, now: int) -> None:
        """What a leader does in each tick."""
        self._care_for_members(now)
        if self.servers.fetched_at is None:
            return
        for service in self._sharded():
            decider = self.deciders.get(service)
            if decider is None:
                decider = self._decide_for(now, service)
            self._work(now, decider)

    def _decide_for(self, now: int, service: str) -> ServiceDecider:
        seed = self._random.getrandbits(32)
        decider = ServiceDecider(
            now,
            service,
            self.node.term,
            self._record(service),
            self._servers_of(service),
            self._target(service),
            seed,
        )
        self.deciders[service] = decider
        self._log(f"deciding for {service}, term {self.node.term}")
        self._effects.append(PushToEdges(decider.news()))
        return decider

    def _let_go(self, service: str) -> None:
        del self.deciders[service]
        self._laying.pop(service, None)
        self._log(f"no longer deciding for {service}")

    def _work(self, now: int, decider: ServiceDecider) -> None:
        """Does what is due for a service's lines."""
        if not self.node.leads(now):
            return
        for step in decider.work(now, self.servers.changed_at):
            if isinstance(step, deciding.Lay):
                index = self._propose(now, PutRecord(decider.service, step.record))
                if index is not None:
                    self._laying[decider.service] = Laying(index, self.node.term)
            elif isinstance(step, deciding.Tell):
                self._effects.append(PushToEdges(step.news))
            elif isinstance(step, deciding.Bare):
                line, seconds = step.line, step.spell / S
                self._log(f"{decider.service}: keys {line.first}-{line.last} had no holder for {seconds:.3f} s")
            elif isinstance(step, deciding.Still):
                first, last, server = step.line.first, step.line.last, step.line.server or "nobody"
                self._log(f"{decider.service}: keys {first}-{last} still have no holder, last was {server}")
            else:
                self._effects.append(
                    CallServer(
                        step.action, decider.service, step.server, step.address, step.line, self.node.lease_until
                    )
                )

    def _recorded(self, now: int, entry: Entry) -> None:
        """A record of a service is committed; if it is the one that we proposed last, grants may follow."""
        service = entry.command.service
        laying, decider = self._laying.get(service), self.deciders.get(service)
        if laying is None or decider is None or (laying.index, laying.term) != (entry.index, entry.term):
            return
        del self._laying[service]
        told = decider.recorded(now)
        if self.node.leads(now):
            self._effects.append(PushToEdges(told.news))
            self._work(now, decider)

    # Who counts.

    def _care_for_members(self, now: int) -> None:
        """Sends the log to those that asked for it, and changes who counts where that is due."""
        counted = self._voters()
        asking = [standby.identity for standby in self.directory.standbys(now) if standby.identity not in counted]
        for identity in asking:
            self.node.add_learner(identity)
        for identity in [identity for identity in self.node.learners if identity not in asking]:
            self.node.remove_learner(identity)
        membership = self.node.membership
        if membership is None or membership.joint or membership != self.committed:
            return
        candidates = self._candidates(now)
        plan = plan_membership(now, membership, candidates, self.identity, self.place.target_voters)
        if plan is not None and self._propose(now, ChangeMembership(plan)) is not None:
            self._log(f"proposes epoch {plan.epoch}: {', '.join(plan.voters)} instead of {', '.join(plan.outgoing)}")
        elif plan is None and successor(now, membership, candidates, self.identity) is not None:
            self._log("hands leadership over")
            self._from_node.extend(self.node.transfer(now))

    def _candidates(self, now: int) -> list[Candidate]:
        """What the leader knows of each member that runs or counts."""
        asked = {standby.identity: standby for standby in self.directory.standbys(now)}
        found = [
            Candidate(
                self.identity, self.place.zone, self.place.eligible, self._stop_at is not None, now, caught_up=True
            )
        ]
        for identity in dict.fromkeys((*self._voters(), *asked)):
            if identity == self.identity:
                continue
            standby, peer = asked.get(identity), self.node.peers.get(identity)
            heard_at = peer.heard_at if peer is not None and peer.heard_at else 0
            if identity in self._voters():
                heard_at = max(heard_at, self._elected_at)
            if standby is not None:
                heard_at = max(heard_at, standby.heard_at)
            found.append(
                Candidate(
                    identity,
                    standby.request.zone if standby else "",
                    standby.request.eligible if standby else True,
                    standby.request.leaving if standby else False,
                    heard_at,
                    peer is not None and peer.caught_up(self.node.commit),
                )
            )
        return found

    def _on_request(self, now: int, sender: str, request: RequestMembership) -> None:
        self.directory.requested(now, sender, request)
        if not self.node.leads(now):
            self._tell_members(now, sender)

    def _tell_members(self, now: int, to: str) -> None:
        """Who counts and who leads, for a member that asks."""
        counts = self._committed()
        if counts is None:
            return
        voters = counts.everybody()
        standbys = tuple(one for one in self.directory.running(now) if one not in voters)
        self._send(to, MembershipNews(counts, self.node.leader or self.directory.leader, standbys))

    def _ask(self, now: int) -> None:
        """Looks for the others, and tells the leader that we run: whoever is no voter in the hope to become one."""
        searching, stopping = self.searching(now), self._stop_at is not None
        self._ask_at = now + (TELL if self._is_voter() and not searching and not stopping else ASK)
        if searching:
            for address in self.addresses_to_dial(now):
                self._effects.append(SendToAddress(address, WhoCounts()))
        place = self.place
        request = RequestMembership(self.node.term, self.node.epoch, place.zone, place.eligible, stopping)
        for identity in self._leaders(searching):
            self._send(identity, request)
            if stopping:
                self._send(identity, WhoCounts())

    def _leaders(self, searching: bool) -> list[str]:
        """Who leads as far as is known; while that is doubtful, all that may."""
        if self.node.leader and not searching:
            found = [self.node.leader]
        else:
            newest = self._newest()
            found = [self.directory.leader, *(newest.everybody() if newest else ())]
        return [identity for identity in dict.fromkeys(found) if identity not in ("", self.identity)]

    # Stopping.

    def stop(self, now: int) -> list[Effect]:
        """This member is told to stop: it asks that another take its place, and goes on serving until `may_stop`."""
        if self._stop_at is None:
            self._stop_at, self._ask_at = now, now
            self.node.may_campaign = False
            self._from_node.extend(self.node.transfer(now))
            self._settle(now)
            self._ask(now)
        return self._done(now)

    def may_stop(self, now: int) -> bool:
        """Whether nothing more can be done for what this member holds: it does not count any more, or the others have
        it and nobody could take its place, or its time is up."""
        if self._stop_at is None:
            return False
        if not self._is_voter():
            return True
        if now >= self._stop_at + self.place.grace - STOP_MARGIN:
            return True
        if now < self._stop_at + STOP_CALM or self.directory.others_run(now):
            return False
        return self.node.commit == self.node.log.last_index and self.node.current(now)

    # What others ask.

    def status(self, now: int) -> MemberStatus:
        """This member as an operator sees it."""
        node, force, counts = self.node, self.state.configuration, self._committed()
        voters = counts.everybody() if counts else ()
        age = self.servers.age(now)
        return MemberStatus(
            member=self.identity,
            state=node.catching_up(now),
            term=node.term,
            leader=node.leader,
            leads=node.leads(now),
            current=node.current(now),
            epoch=counts.epoch if counts else None,
            voters=list(voters),
            standbys=[one for one in self.directory.running(now) if one not in voters],
            stopping=self._stop_at is not None,
            commit=node.commit,
            applied=node.applied,
            last=node.log.last_index,
            in_force=f"{force.version:08x}" if force else None,
            peers={
                name: PeerStatus(
                    match=peer.match,
                    heard_s=round((now - peer.heard_at) / S, 3) if peer.heard_at else None,
                    caught_up=peer.caught_up(node.commit),
                )
                for name, peer in sorted(node.peers.items())
            },
            servers=len(self.servers.entries),
            list_age_s=None if age is None else round(age / S, 3),
            services={service: self._service_status(now, service) for service in self._sharded()},
        )

    def _service_status(self, now: int, service: str) -> ServiceStatus:
        decider, record = self.deciders.get(service), self._record(service)
        lines = decider.lines.lines if decider else ()
        return ServiceStatus(
            decides=decider is not None and self.node.leads(now),
            term=record.term,
            record=record.number,
            bare_s=round(decider.bare(), 3) if decider else None,
            lines=[
                LineStatus(line.first, line.last, line.server, line.fence, line.state, round((line.until - now) / S, 3))
                for line in lines
            ],
            learnt=decider.placing.learnt() if decider else record.learnt,
        )

    # What several of the above need.

    def _send(self, to: str, message: Message) -> None:
        self._effects.append(SendMessage(to, message))

    def _log(self, text: str) -> None:
        self._effects.append(LogLine(text))

    def _voters(self) -> tuple[str, ...]:
        """All that count by the newest membership in our log, committed or not."""
        return self.node.membership.everybody() if self.node.membership else ()

    def _newest(self) -> Membership | None:
        """The newest membership known, in our log or by what others told."""
        told, own = self.directory.news, self.node.membership
        return told if own is None or (told is not None and told.epoch > own.epoch) else own

    def _is_voter(self) -> bool:
        """Whether this member counts, as far as it knows."""
        newest = self._newest()
        return newest is not None and self.identity in newest.everybody()

    def _committed(self) -> Membership | None:
        """The newest membership that is known to be committed, by our log or by what others told."""
        told = self.directory.news
        if self.committed is None or (told is not None and told.epoch > self.committed.epoch):
            return told
        return self.committed

    def _sharded(self) -> list[str]:
        force = self.state.parsed
        return [service.name for service in force.services.values() if service.sharded] if force else []

    def _target(self, service: str) -> int:
        """Within which time (ns) the requests of a service should be answered."""
        routes = [route for places in self.state.parsed.hosts.values() for route in places.values()]
        aims = [route.aim for route in routes if any(name == service for name, _ in route.split)]
        return min(aims, default=S)

    def _record(self, service: str) -> Record:
        """The newest record of a service in the log."""
        data = self.state.records.get(service)
        if data is None:
            return deciding.NOTHING
        known = self._records.get(service)
        if known is None or known[0] is not data:
            known = self._records[service] = (data, read_record(data))
        return known[1]
