"""One assigner's policy: takes the events of a round, decides in steps, and orders."""

from collections.abc import Iterable
from typing import assert_never

from kestrelplank import interface
from kestrelplank.policy import parameters
from kestrelplank.policy.balancing import balance
from kestrelplank.policy.channel import Channel
from kestrelplank.policy.ejection import eject_unhealthy
from kestrelplank.policy.evacuation import evacuate, relieve_cold_nodes
from kestrelplank.policy.load_shedding import LoadShedder
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.policy.publication import Publisher
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState

ROUND_TIMER = "beat"  # a name on the wire


class Policy:
    """All decisions of one assigner.

    The order of steps in a round, and that in which nodes and slices became known, are part of the decisions
    (`test_recorded_day_gives_the_recorded_orders`). A withdrawal leaves no slice without an endpoint, but late in its
    deadline (`test_a_withdrawal_waits_for_the_slice_it_would_leave_without_an_endpoint`). An exclusive slice has one
    owner at a time (`test_an_exclusive_slice_opens_only_when_the_old_owner_is_surely_done`).
    """

    def __init__(self, now: int, seed: int, settings: interface.PolicySettings) -> None:
        self.state = state = AssignerState(now, seed, settings)
        self.nodes, self.slices = state.nodes, state.slices
        self.channel, self.shedder = Channel(settings), LoadShedder(settings)
        self.publisher = Publisher(state, self.channel, self.shedder)
        self.talks = settings.peers_may_talk and settings.assigners > 1
        self.listed = False  # a list of this incarnation has come
        self._subscribe_at: int | None = now
        self._period_ends_at = now + state.period_ns
        self._retry_mode = settings.initial_retry_mode
        self._slices_reported = False  # since cold nodes were last relieved
        self._next_round_at, self._next_balancing_at = now, now + parameters.BALANCING_INTERVAL_NS

    def round(self, now: int, events: Iterable[interface.Event], out: interface.OrderWriter) -> None:
        """Take all that has happened since the last round, and order what follows."""
        for event in events:
            self.handle(now, event)
        self._subscribe_to_nodes(now, out)
        while now >= self._period_ends_at:
            self.close_period(now)
        self._set_retry_mode(out)
        evacuate(self.state, now)
        if self._slices_reported and now >= self.state.moves_from_at:
            self._slices_reported = False
            relieve_cold_nodes(self.state, now)
        if now >= self._next_balancing_at:
            self._next_balancing_at = now + self._balancing_interval_ns()
            self.balance(now)
            self.state.share_loads_at = now
        self._decide_withdrawals(now)
        if now >= self._next_round_at:
            self._next_round_at = now + parameters.ROUND_INTERVAL_NS
            out.set_timer(self._next_round_at, ROUND_TIMER)
            self._release_gone_nodes(now, out)
        if self.slices:  # else no proxy would get or acknowledge it
            self.publisher.publish(now, out)
        self._share_loads(now, out)

    # Steps.

    def _subscribe_to_nodes(self, now: int, out: interface.OrderWriter) -> None:
        due = self._subscribe_at is not None and now >= self._subscribe_at
        if due and self.state.settings.subscribes_to_nodes:
            out.watch_nodes(True)
            self._subscribe_at = None

    def close_period(self, now: int) -> None:
        """End a report period, and judge the fleet by it."""
        self._period_ends_at += self.state.period_ns
        for node in self.nodes.values():
            node.close_period()
        for owned in self.slices.values():
            owned.close_period()
        self.shedder.close_period(self.nodes.values())
        self.eject_unhealthy(now)

    def eject_unhealthy(self, now: int) -> None:
        """Eject unhealthy nodes."""
        eject_unhealthy(now, self.nodes.values(), self.shedder.strained)

    def balance(self, now: int) -> None:
        """Run the ordinary balancing pass."""
        balance(self.state, now)

    def _balancing_interval_ns(self) -> int:
        """Return the time to the next pass.

        Spread by chance where assigners hear each other: so each sees what others have moved.
        """
        interval_ns = parameters.BALANCING_INTERVAL_NS
        return interval_ns // 2 + int(self.state.random.random() * interval_ns) if self.talks else interval_ns

    def _set_retry_mode(self, out: interface.OrderWriter) -> None:
        if self._retry_mode != parameters.RETRY_MODE:
            out.set_admission(interface.ALL_TABLES, 0, 1.0, parameters.RETRY_MODE)
            self._retry_mode = parameters.RETRY_MODE

    def _decide_withdrawals(self, now: int) -> None:
        """Withdraw nodes that must be; let others in again, but only once no table names them without need."""
        for index, node in self.nodes.items():
            if node.must_withdraw(now) == node.withdrawn or node.withdrawn and self._has_endpoint_to_remove(index):
                continue
            node.withdrawn, node.withdrawal_changed_at, node.order_due = not node.withdrawn, now, True

    def _has_endpoint_to_remove(self, index: int) -> bool:
        return any(index in owned.ordered and index not in owned.desired for owned in self.slices.values())

    def _release_gone_nodes(self, now: int, out: interface.OrderWriter) -> None:
        """Make orders due that waited for this, and let in, then forget nodes long gone and in no table: ids pile up.

        One that only the store names is removed once lists would name it. The price: ejections are forgotten as well.
        """
        named = {index for owned in self.slices.values() for index in (*owned.desired, *owned.ordered)}
        for index, node in list(self.nodes.items()):
            if node.joined_order_due:  # once for all proxies that joined since the last time
                node.order_due, node.joined_order_due = True, False
            unchanged_ns = now - node.withdrawal_changed_at
            idle = index not in named and unchanged_ns > parameters.LONGEST_EJECTION_NS and not node.sums().attempts
            if idle and node.state in (NodeState.REMOVED, NodeState.DROPPED):
                node.state, node.emptied = NodeState.UNLISTED, True
            elif idle and node.state is NodeState.UNLISTED:
                if not node.withdrawn and not (node.order_due and self.slices):
                    del self.nodes[index]
                    out.forget_node(index)
            elif index in named and node.state is NodeState.UNLISTED and self._list_would_name(now, unchanged_ns):
                node.state = NodeState.REMOVED

    def _list_would_name(self, now: int, known_ns: int) -> bool:
        """Whether a list would by now tell of a node that only the store has named, so long ago."""
        lists_bind = self.listed and not self.state.settings.only_draining_binds
        settled = lists_bind or now >= self.state.moves_from_at
        return known_ns > self.state.settings.withdrawal_deadline_ns // 3 and settled

    def _share_loads(self, now: int, out: interface.OrderWriter) -> None:
        if self.talks and now >= self.state.share_loads_at:
            self.state.share_loads_at = now + parameters.BALANCING_INTERVAL_NS // 2
            loads = self.state.slice_loads()
            out.share_loads({index: ops for index, ops in loads.items() if self.nodes[index].state is NodeState.UP})

    # Events.

    def handle(self, now: int, event: interface.Event) -> None:  # noqa: C901, PLR0912  one case an event
        """Take one event."""
        match event:
            case interface.SliceReport():
                self._handle_slice_report(event)
            case interface.NodeReport():
                if event.node in self.nodes:
                    self.nodes[event.node].add_report(event)
            case interface.WatermarkAcknowledged():
                self.channel.acknowledge(event.proxy, event.watermark)
            case interface.PeerLoads():
                self._handle_peer_loads(now, event)
            case interface.NodeListUpdate():
                self._handle_node_list(now, event)
            case interface.SliceOwnership():
                self._handle_ownership(now, event)
            case interface.EndpointStored():
                self._handle_stored_endpoint(now, event)
            case interface.SliceSplit():
                self.slices[event.new_slice] = self.slices[event.slice].split_off(event.new_slice, event.share)
            case interface.ProxyJoined():
                self._handle_joined_proxy(now, event)
            case interface.ProxyLeft():
                self.channel.leave(now, event.proxy)
                self.state.proxies_left_until = now + self.state.settings.ownership_lease_ns
            case interface.ProxyReport() | interface.HealthChecked() | interface.PeerMessage() | interface.TimerFired():
                pass  # decide nothing yet
            case _:
                assert_never(event)

    def _handle_slice_report(self, report: interface.SliceReport) -> None:
        if report.slice in self.slices:
            self.slices[report.slice].current_ops += report.ops
            self._slices_reported = True
            self.shedder.count(report.op_type, report.ops)

    def _handle_peer_loads(self, now: int, event: interface.PeerLoads) -> None:
        self.state.peers_heard_at[event.sender] = now
        for index, ops in event.loads:
            if index in self.nodes:
                self.nodes[index].peer_loads[event.sender] = ops, now

    def _handle_node_list(self, now: int, update: interface.NodeListUpdate) -> None:
        if update.kind == interface.NodeListKind.FAILED:
            self._subscribe_at = now + interface.SECOND // 2 + int(self.state.random.random() * interface.SECOND)
            return
        self.listed = self.listed or update.kind != interface.NodeListKind.CACHED
        is_delta = update.kind == interface.NodeListKind.DELTA
        for node in () if is_delta else self.nodes.values():
            if node.state is not NodeState.UNLISTED:
                node.state = self._state_once_removed(node)
        for entry in update.entries:
            self._handle_node_entry(now, interface.NodeEntry(*entry), is_delta)

    def _handle_node_entry(self, now: int, entry: interface.NodeEntry, is_delta: bool) -> None:
        node = self.state.node(entry.node, now)
        if node.state is NodeState.UNLISTED and is_delta:
            node.filling = True
        # An older list may come again: only a later start counts, and no drain is taken back without one.
        started_at = entry.started_at
        started = started_at is not None and (node.started_at is None or started_at > node.started_at)
        if started_at is not None and started:
            node.started_at = started_at
            if now - started_at < self.state.settings.warm_up_ns:
                self._handle_restart(now, node)
        if entry.condition == interface.NodeCondition.REMOVED:
            node.state = self._state_once_removed(node)
        elif node.state is not NodeState.DRAINING or started:
            node.state = NodeState(entry.condition)
        node.zone, node.weight = entry.zone, entry.weight or 1.0

    def _handle_restart(self, now: int, node: Node) -> None:
        """Mark a node as cold, and as flapping if it has started not long ago.

        Slices must not follow a flapping node back each time; the price: a sound one that is started twice idles.
        """
        node.emptied, node.filling = False, True
        node.periods.clear()
        node.recent_starts = (*(at for at in node.recent_starts if now - at < parameters.FLAP_WINDOW_NS), now)
        starts = len(node.recent_starts)
        if starts > 1:
            node.flapping_until = now + min(2 * parameters.LONGEST_EJECTION_NS, parameters.EJECTION_NS << starts - 1)

    def _state_once_removed(self, node: Node) -> NodeState:
        """Return the state of a node that a list drops: where only draining binds it works until it fails."""
        sound = self.state.settings.only_draining_binds and node.state in (NodeState.UP, NodeState.DROPPED)
        return NodeState.DROPPED if sound else NodeState.REMOVED

    def _handle_ownership(self, now: int, event: interface.SliceOwnership) -> None:
        if event.owned:
            settings = self.state.settings
            owned = self.slices[event.slice] = Slice(event.slice)
            # For an empty table: another assigner may have closed it, while writes to its node still run.
            owned.opens_at = now + settings.ownership_lease_ns + settings.write_timeout_ns
            self.state.moves_from_at = now + parameters.PERIODS * self.state.period_ns
        else:
            self.slices.pop(event.slice, None)

    def _handle_stored_endpoint(self, now: int, event: interface.EndpointStored) -> None:
        owned = self.slices.get(event.slice)
        if owned is not None and event.weight > 0:
            node = self.state.node(event.node, now)
            # A withdrawal that was ordered before the proxies had this table may not hold.
            node.joined_order_due = node.joined_order_due or node.withdrawn
            owned.desired[event.node] = owned.ordered[event.node] = event.weight

    def _handle_joined_proxy(self, now: int, event: interface.ProxyJoined) -> None:
        """Plan the withdrawals that a proxy must be told of.

        A proxy keeps withdrawals when we restart: one not taken back leaves it without an endpoint, one missed lets it
        send (rules 1, 3). One that was here before missed what was ordered since: more would fill the channel.
        """
        applied_until = self.channel.join(now, event.proxy)
        here_before = applied_until >= 0
        self.state.former_incarnation = self.state.former_incarnation or not event.fresh and not here_before
        for node in self.nodes.values():
            missed = not here_before or node.ordered_at is not None and node.ordered_at >= applied_until
            node.joined_order_due = node.joined_order_due or node.withdrawn or not event.fresh and missed
