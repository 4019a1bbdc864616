"""One control member without I/O.

It combines the replicated log and its state, operators' calls, the assignment of keys to servers, and updates to edge
machines. Each `handle_...` method takes one event and returns effects (`control.effects`), to be carried out in order.
"""

from random import Random
from typing import assert_never

import msgspec

from kestrelplank.configuration.route_table import Configuration
from kestrelplank.consensus import effects as consensus
from kestrelplank.consensus.consensus_messages import (
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from kestrelplank.consensus.identity import address_of
from kestrelplank.consensus.log_entries import (
    AssignRole,
    ChangeMembership,
    Entry,
    FixUsage,
    HardState,
    PutConfiguration,
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
    ReleaseReason,
    RoleReport,
    ServerListUpdate,
    SubmitOrder,
    UsageReported,
)
from kestrelplank.consensus.membership import Membership
from kestrelplank.consensus.node import ConsensusNode
from kestrelplank.control.edge_updates import EdgeUpdates
from kestrelplank.control.effects import CallServer, Effect, PushToEdges, WriteConfigurationCopy
from kestrelplank.control.member_lifecycle import MemberLifecycle
from kestrelplank.control.member_profile import MemberProfile
from kestrelplank.control.membership_reconciler import MembershipReconciler
from kestrelplank.control.operator_calls import OperatorCalls
from kestrelplank.control.peer_directory import PeerDirectory
from kestrelplank.control.replica import Replica
from kestrelplank.control.server_discovery import ServerDiscovery
from kestrelplank.control.shard_assigner import ShardAssigner
from kestrelplank.control.shard_assigners import ShardAssigners
from kestrelplank.control.singleton_roles import SingletonRoles
from kestrelplank.control.status import MemberStatus, member_status
from kestrelplank.control.usage_reporting import UsageReporting
from kestrelplank.sharding.effects import ServerCallResult
from kestrelplank.state.control_state import ControlState
from kestrelplank.state.role_table import RoleId
from kestrelplank.transport.messages import ConfigurationUpdate, EdgeHeartbeat, LoadReport, ToEdge
from kestrelplank.transport.server_list import ListedServer, ServerList
from kestrelplank.usage.messages import UsageCounts, UsageCountsReply
from kestrelplank.usage.usage_reporter import CallResult, PlatformCall


class ControlMember:
    """A control member without sockets and disk. Times are integer nanoseconds of the monotonic clock.

    The leader assigns keys, acknowledges orders and answers reads. A member that is current but does not lead forwards
    operators' calls to the leader; a member that is not current rejects them at once and tells edge machines so.

    Invariants, each with its test (`tests/control/`; most are also checked after each step of
    `test_random_faults_cause_no_double_ownership_and_lose_no_acknowledged_order`):

    - No two members lead at the same time: `test_a_leader_frozen_beyond_its_lease_is_replaced_and_all_keys_stay_owned`.
    - A configuration is put in force and acknowledged only after a majority has it on disk:
      `test_an_order_is_in_force_once_it_is_on_two_disks`.
    - An acknowledged configuration survives every tolerated loss:
      `test_no_tolerated_loss_loses_an_acknowledged_order`.
    - A version never has two texts: `test_of_two_orders_with_the_same_version_at_two_members_one_prevails`.
    - Only a leader answers a read or an order:
      `test_a_member_that_does_not_lead_answers_forwarded_calls_as_unknown`.
    - A member that is not current rejects calls at once and does not confirm its configuration to edge machines:
      `test_a_member_partitioned_for_20_s_rejects_calls_at_once_and_reports_that_it_is_not_current`.
    - A member with an empty disk has a new identity and confirms no configuration:
      `test_a_member_with_an_empty_disk_rejects_calls_and_confirms_no_configuration`.
    - Key ranges are committed before they are granted to a server, so no key has two servers:
      `test_a_power_loss_of_all_members_during_a_move_leaves_each_key_with_one_server`.
    - A stopping member transfers leadership first, and no acknowledged order is lost:
      `test_a_leader_stopped_right_after_an_order_loses_no_acknowledged_order`.

    :param identity: control address and incarnation.
    :param hard_state: read from disk, as are `snapshot` and `entries`.
    :param first_start: the system has never run before.
    """

    def __init__(
        self,
        now: int,
        random: Random,
        identity: str,
        profile: MemberProfile,
        hard_state: HardState,
        snapshot: Snapshot | None,
        entries: tuple[Entry, ...],
        first_start: bool,
    ) -> None:
        self.identity = identity
        membership = None  # read from the snapshot or the entries, or sent by the leader
        self.node = ConsensusNode(now, random, identity, membership, hard_state, entries, snapshot, first_start)
        self.state = ControlState()
        if snapshot is not None:
            self.state.restore(snapshot.state)
        self._replica = Replica(self.node, self.state, snapshot.membership if snapshot else None)
        self._servers = ServerList()
        address = address_of(identity)
        self._directory = PeerDirectory(address, profile.seeds)
        self.lifecycle = MemberLifecycle(now, address, profile, self._replica, self._directory)
        start_id = random.getrandbits(63)
        self._operator_calls = OperatorCalls(self._replica, start_id)
        self._roles = SingletonRoles(now, profile, self._replica, start_id)
        self._assigners = ShardAssigners(random, self._replica, self._servers, profile.max_key_lease_ns)
        self._reconciler = MembershipReconciler(now, profile, self._replica, self._directory)
        self._discovery = ServerDiscovery(self._replica, self._servers, self._assigners)
        usage = profile.usage
        self._usage = None if usage is None else UsageReporting(random, usage, self._replica, self._roles)
        self._edge_updates = EdgeUpdates(self._replica, self.lifecycle, self._servers, self._assigners)

    @property
    def committed_membership(self) -> Membership | None:
        """The newest membership that is committed in this member's log."""
        return self._replica.committed_membership

    @property
    def shard_assigners(self) -> dict[str, ShardAssigner]:
        """The shard assigners of this member, by service; empty once it is deposed."""
        return self._assigners.by_service

    # Events from outside.

    def handle_message(self, now: int, sender: str, message: Message) -> list[Effect]:
        """Handle a message from the member whose identity is `sender`."""
        self._directory.handle_contact(now, sender)
        match message:
            case (
                Append()
                | AppendReply()
                | VoteRequest()
                | VoteReply()
                | SnapshotChunk()
                | SnapshotReply()
                | TransferLeadership()
            ):
                self._replica.add_events(self.node.receive(now, sender, message))
            case MembershipRequest():
                self.lifecycle.handle_membership_request(now, sender, message)
            case MembershipQuery():
                self.lifecycle.handle_membership_query(now, sender)
            case MembershipUpdate():
                self._directory.handle_membership_update(now, message)
            case SubmitOrder() | ReadConfiguration() | OrderResult() | ReadResult():
                self._operator_calls.handle_message(now, sender, message)
            case ServerListUpdate():
                self._discovery.handle_server_list_update(now, message)
            case RoleReport():
                self._roles.handle_report(now, sender, message)
            case UsageReported():
                self._handle_usage_reported(message)
            case _:
                assert_never(message)
        return self._take_effects(now)

    def handle_persisted(self, now: int, number: int) -> list[Effect]:
        """Handle the report that the `Persist` with that number, and all before it, are durable."""
        self._replica.handle_persisted(now, number)
        return self._take_effects(now)

    def handle_replace_call(self, now: int, ticket: int, configuration: Configuration) -> list[Effect]:
        """Handle an operator's validated configuration; `AnswerOrder` with the ticket follows."""
        self._operator_calls.handle_replace_call(now, ticket, configuration)
        return self._take_effects(now)

    def handle_show_call(self, now: int, ticket: int) -> list[Effect]:
        """Handle an operator's read of the newest configuration; `AnswerRead` with the ticket follows."""
        self._operator_calls.handle_show_call(now, ticket)
        return self._take_effects(now)

    def handle_servers_fetched(self, now: int, entries: list[ListedServer]) -> list[Effect]:
        """Handle the platform's list of servers that this member has just fetched."""
        self._discovery.handle_fetched(now, entries)
        return self._take_effects(now)

    def handle_server_call_ended(self, now: int, call: CallServer, result: ServerCallResult) -> list[Effect]:
        """Handle the result of a grant or release."""
        self._assigners.handle_call_ended(now, call, result)
        return self._take_effects(now)

    def handle_load_report(self, now: int, report: LoadReport) -> None:
        """Record an edge machine's report on the load of servers and keys."""
        self._assigners.handle_load_report(now, report)

    def handle_edge_heartbeat(
        self, now: int, heartbeat: EdgeHeartbeat, edge_count: int, sent_version: int | None = None
    ) -> list[ToEdge]:
        """Return the messages that answer an edge machine's heartbeat.

        :param edge_count: the number of edge machines in session.
        :param sent_version: of the newest configuration sent on the connection of the heartbeat; None: none was.
        """
        return self._edge_updates.handle_edge_heartbeat(now, heartbeat, edge_count, sent_version)

    def tick(self, now: int, log_size_bytes: int = 0, wall_time_ns: int | None = None) -> list[Effect]:
        """Do all timed work that is due. Must be called at least every 50 ms.

        :param log_size_bytes: size of the log on disk.
        :param wall_time_ns: this machine's time of day, in ns since 1970; used only for usage reports.
        """
        self._replica.add_events(self.node.tick(now))
        self._handle_consensus_events(now)  # first, as the following steps depend on who leads
        self._operator_calls.tick(now)
        self._roles.tick(now)
        self.lifecycle.tick(now)
        if self.node.leads(now):
            self._reconciler.tick(now, stopping=self.lifecycle.stopping)
            if self._roles.configured:
                self._roles.assign(now, self._reconciler.candidates(now, stopping=self.lifecycle.stopping))
            self._assigners.tick(now)
        if self._usage is not None:
            self._usage.tick(now, wall_time_ns)
        self._replica.compact_if_due(log_size_bytes)
        return self._take_effects(now)

    def begin_stop(self, now: int) -> list[Effect]:
        """Give up all singleton roles, transfer leadership and ask to be replaced as a voter.

        The member keeps serving until `may_stop`.
        """
        self._roles.begin_stop(now)
        self.lifecycle.begin_stop(now)
        self._handle_consensus_events(now)
        self.lifecycle.tick(now)
        return self._take_effects(now)

    # Singleton roles.

    def role_token(self, now: int, role: RoleId) -> int | None:
        """Return the fencing token under which this member may act in a role at this moment; None: it may not.

        To be checked again right before each call is sent.
        """
        return self._roles.token(now, role)

    def handle_role_token_rejected(self, now: int, role: RoleId, token: int) -> list[Effect]:
        """Handle the rejection of a call under that token, as a higher one was seen: it is never used again."""
        self._roles.release(now, role, token, ReleaseReason.REJECTED)
        return self._take_effects(now)

    def release_role(self, now: int, role: RoleId, token: int) -> list[Effect]:
        """Give up a role that is held under that token, as what it has to call is out of this member's reach."""
        self._roles.release(now, role, token, ReleaseReason.UNREACHABLE)
        return self._take_effects(now)

    # Usage reports.

    def handle_usage_counts(self, now: int, counts: UsageCounts) -> UsageCountsReply | None:
        """Return the answer to an edge machine's counts; None if the platform wants no usage reports."""
        return None if self._usage is None else self._usage.handle_counts(now, counts)

    def may_report_usage(self, now: int, call: PlatformCall) -> bool:
        """Whether the call's token is still valid; to be checked right before it is sent."""
        return self._usage is not None and self._usage.may_send(now, call)

    def handle_usage_call_ended(self, now: int, call: PlatformCall, result: CallResult) -> list[Effect]:
        """Handle the end of a `ReportUsage`."""
        if self._usage is not None:
            self._usage.handle_call_ended(now, call, result)
        return self._take_effects(now)

    def _handle_usage_reported(self, message: UsageReported) -> None:
        if self._usage is not None:
            self._usage.handle_reported(message)

    # Queries by the program.

    def may_stop(self, now: int) -> bool:
        """Whether this member may exit, as waiting longer would make no data safer."""
        return self.lifecycle.may_stop(now) and self._roles.may_stop(now)

    def addresses_to_dial(self, now: int) -> list[str]:
        """Return the control addresses of the members to keep sessions with."""
        return self.lifecycle.addresses_to_dial(now)

    def server_fetch_due_in_ns(self, now: int) -> int | None:
        """Return the time until this member should fetch the platform's list of servers; None if it need not."""
        return self._discovery.fetch_due_in_ns(now)

    def status(self, now: int) -> MemberStatus:
        """Return the status of this member for operators, without edge machines."""
        status = member_status(now, self._replica, self.lifecycle, self._servers, self._assigners, self._roles)
        return status if self._usage is None else msgspec.structs.replace(status, usage=self._usage.status(now))

    # Effects of the consensus node (`consensus.effects`), which are events here.

    def _take_effects(self, now: int) -> list[Effect]:
        """Handle the consensus node's effects, then return all effects of the current call."""
        self._handle_consensus_events(now)
        self._assigners.resume(now)
        self._handle_consensus_events(now)
        return self._replica.take_effects()

    def _handle_consensus_events(self, now: int) -> None:
        """Handle the consensus node's effects in order until none is left."""
        events = self._replica.events
        while events:
            event = events.popleft()
            match event:
                case consensus.Send():
                    self._replica.send(event.to, event.message)
                case consensus.Persist():
                    self._replica.emit(event)
                case consensus.Applied():
                    self._handle_applied(now, event.entry)
                case consensus.Restored():
                    self._handle_restored(now, event.snapshot)
                case consensus.Elected():
                    self._handle_elected(now, event.term)
                case consensus.Deposed():
                    self._handle_deposed(event.reason)
                case _:
                    assert_never(event)

    def _handle_applied(self, now: int, entry: Entry) -> None:
        """Apply a committed entry to the state and notify every component that waits for it."""
        result = self.state.apply(entry)
        in_force, command = result.in_force, entry.command
        if isinstance(command, ChangeMembership):
            self._replica.handle_membership_committed(command.membership)
        if in_force is not None:
            self._handle_configuration_in_force(now, in_force)
        if isinstance(command, PutRecord):
            self._assigners.handle_record_committed(now, entry, command)
        if isinstance(command, AssignRole):
            self._roles.handle_applied(now)
        if isinstance(command, FixUsage) and self._usage is not None:
            self._usage.handle_applied(result.unreported_windows)
        self._operator_calls.handle_applied(entry, came_into_force=in_force is not None)

    def _handle_configuration_in_force(self, now: int, order: PutConfiguration) -> None:
        self._replica.log(f"configuration {order.version:08x} is in force: its entry is committed")
        self._replica.emit(WriteConfigurationCopy(order.version, order.text))
        self._assigners.handle_configuration()
        if self.node.leads(now):
            self._replica.emit(PushToEdges(ConfigurationUpdate(order.version, order.text)))

    def _handle_restored(self, now: int, snapshot: Snapshot) -> None:
        self.state.restore(snapshot.state)
        self._roles.handle_restored(now)
        if self._usage is not None:
            self._usage.handle_applied(())
        self._replica.handle_membership_committed(snapshot.membership)
        configuration = self.state.configuration
        version = f"configuration {configuration.version:08x}" if configuration else "no configuration"
        self._replica.log(f"installed a snapshot, {version}: the leader no longer has the entries missing here")

    def _handle_elected(self, now: int, term: int) -> None:
        self._replica.handle_elected(term)
        self._reconciler.handle_elected(now)
        self._roles.handle_elected(now)
        if self._usage is not None:
            self._usage.handle_elected(now)

    def _handle_deposed(self, reason: consensus.StepDownReason) -> None:
        self._replica.handle_deposed(reason)
        self._assigners.stop_leading()
        self._operator_calls.handle_deposed()
