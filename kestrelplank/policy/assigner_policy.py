"""One assigner's policy: processes the events of a round, decides in steps and issues orders."""

from collections.abc import Iterable
from typing import assert_never

from kestrelplank import interface
from kestrelplank.policy import parameters
from kestrelplank.policy.balancing import balance
from kestrelplank.policy.channel import Channel
from kestrelplank.policy.ejection import eject_unhealthy
from kestrelplank.policy.evacuation import evacuate, relieve_warming_nodes
from kestrelplank.policy.load_shedding import LoadShedder
from kestrelplank.policy.node import Node, NodeState
from kestrelplank.policy.publication import Publisher
from kestrelplank.policy.slices import Slice
from kestrelplank.policy.state import AssignerState

ROUND_TIMER = "beat"  # the timer's name on the wire


class Policy:
    """All decisions of one assigner.

    Decisions depend on the order of steps in a round and on the order in which nodes and slices became known
    (`test_recorded_day_gives_the_recorded_orders`). A withdrawal never leaves a slice without an endpoint
    (`test_withdrawal_is_ordered_only_with_a_replacement_endpoint_for_the_slice`), except that of a restarted node, or
    late in its deadline (`test_late_drains_and_restarts_are_withdrawn_without_a_replacement_endpoint`). An exclusive
    slice has one owner at a time (`test_exclusive_slice_opens_only_after_its_old_owner_has_surely_stopped`).
    """

    def __init__(self, now: int, seed: int, settings: interface.PolicySettings) -> None:
        self.state = state = AssignerState(now, seed, settings)
        self.nodes, self.slices = state.nodes, state.slices
        self.channel, self.shedder = Channel(settings), LoadShedder(settings)
        self.publisher = Publisher(state, self.channel, self.shedder)
        self.shares_loads = settings.peers_may_talk and settings.assigners > 1
        self.list_received = False  # this incarnation has received a node list
        self._subscribe_at: int | None = now
        self._period_ends_at = now + state.period_ns
        self._retry_mode = settings.initial_retry_mode
        self._slices_reported = False  # since the last call of relieve_warming_nodes
        self._next_round_at, self._next_balancing_at = now, now + parameters.BALANCING_INTERVAL_NS

    def round(self, now: int, events: Iterable[interface.Event], out: interface.OrderWriter) -> None:
        """Process all events since the last round, decide, and write the resulting orders to `out`."""
        for event in events:
            self.handle(now, event)
        self._subscribe_to_nodes(now, out)
        while now >= self._period_ends_at:
            self.close_period(now)
        self._set_retry_mode(out)
        evacuate(self.state, now)
        if self._slices_reported and now >= self.state.moves_allowed_at:
            self._slices_reported = False
            relieve_warming_nodes(self.state, now)
        if now >= self._next_balancing_at:
            self._next_balancing_at = now + self._balancing_interval_ns()
            self.balance(now)
            self.state.share_loads_at = now
        self._decide_withdrawals(now)
        if now >= self._next_round_at:
            self._next_round_at = now + parameters.ROUND_INTERVAL_NS
            out.set_timer(self._next_round_at, ROUND_TIMER)
            self._forget_removed_nodes(now, out)
        if self.slices:  # without slices no proxy would receive or acknowledge the orders
            self.publisher.publish(now, out)
        self._share_loads(now, out)

    # Steps.

    def _subscribe_to_nodes(self, now: int, out: interface.OrderWriter) -> None:
        due = self._subscribe_at is not None and now >= self._subscribe_at
        if due and self.state.settings.subscribes_to_nodes:
            out.watch_nodes(True)
            self._subscribe_at = None

    def close_period(self, now: int) -> None:
        """End a report period, then update load shedding and ejections."""
        self._period_ends_at += self.state.period_ns
        for node in self.nodes.values():
            node.close_period()
        for owned in self.slices.values():
            owned.close_period()
        self.shedder.close_period(self.nodes.values())
        self.eject_unhealthy(now)

    def eject_unhealthy(self, now: int) -> None:
        """Eject unhealthy nodes."""
        eject_unhealthy(now, self.nodes.values(), self.shedder.overloaded)

    def balance(self, now: int) -> None:
        """Run the ordinary balancing pass."""
        balance(self.state, now)

    def _balancing_interval_ns(self) -> int:
        """Return the time to the next pass.

        Randomised where assigners share loads, so that each sees what the others have moved.
        """
        interval_ns = parameters.BALANCING_INTERVAL_NS
        return interval_ns // 2 + int(self.state.random.random() * interval_ns) if self.shares_loads else interval_ns

    def _set_retry_mode(self, out: interface.OrderWriter) -> None:
        if self._retry_mode != parameters.RETRY_MODE:
            out.set_admission(interface.ALL_TABLES, 0, 1.0, parameters.RETRY_MODE)
            self._retry_mode = parameters.RETRY_MODE

    def _decide_withdrawals(self, now: int) -> None:
        """Withdraw nodes where required; readmit the others once their unwanted endpoints are removed from tables."""
        for index, node in self.nodes.items():
            if node.must_withdraw(now) == node.withdrawn or node.withdrawn and self._has_endpoints_to_remove(index):
                continue
            node.withdrawn, node.withdrawal_changed_at, node.order_due = not node.withdrawn, now, True

    def _has_endpoints_to_remove(self, index: int) -> bool:
        return any(index in owned.ordered and index not in owned.desired for owned in self.slices.values())

    def _forget_removed_nodes(self, now: int, out: interface.OrderWriter) -> None:
        """Mark orders for joined proxies as due, then readmit and forget nodes that are long gone and in no table.

        Without this their ids accumulate. A node that is only in the store counts as removed once a list should have
        named it. Cost: the ejections of a forgotten node are forgotten as well.
        """
        referenced = {index for owned in self.slices.values() for index in (*owned.desired, *owned.ordered)}
        for index, node in list(self.nodes.items()):
            if node.joined_order_due:  # one order for all proxies that joined since the last timed round
                node.order_due, node.joined_order_due = True, False
            unchanged_ns = now - node.withdrawal_changed_at
            idle = index not in referenced and unchanged_ns > parameters.MAX_EJECTION_NS and not node.sums().attempts
            if idle and node.state in (NodeState.REMOVED, NodeState.DROPPED):
                node.state, node.former_slices_removed = NodeState.UNLISTED, True
            elif idle and node.state is NodeState.UNLISTED:
                if not node.withdrawn and not (node.order_due and self.slices):
                    del self.nodes[index]
                    out.forget_node(index)
            elif index in referenced and node.state is NodeState.UNLISTED and self._list_overdue(now, unchanged_ns):
                node.state = NodeState.REMOVED

    def _list_overdue(self, now: int, known_for_ns: int) -> bool:
        """Whether a list should by now have named a node that only the store has named, `known_for_ns` ago."""
        list_removals_bind = self.list_received and not self.state.settings.only_draining_binds
        settling_over = list_removals_bind or now >= self.state.moves_allowed_at
        return known_for_ns > self.state.settings.withdrawal_deadline_ns // 3 and settling_over

    def _share_loads(self, now: int, out: interface.OrderWriter) -> None:
        if self.shares_loads and now >= self.state.share_loads_at:
            self.state.share_loads_at = now + parameters.BALANCING_INTERVAL_NS // 2
            loads = self.state.slice_loads()
            out.share_loads({index: ops for index, ops in loads.items() if self.nodes[index].state is NodeState.UP})

    # Events.

    def handle(self, now: int, event: interface.Event) -> None:  # noqa: C901, PLR0912  one case per event
        """Update the state by one event."""
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
                pass  # no decision uses these yet
            case _:
                assert_never(event)

    def _handle_slice_report(self, report: interface.SliceReport) -> None:
        if report.slice in self.slices:
            self.slices[report.slice].current_ops += report.ops
            self._slices_reported = True
            self.shedder.count(report.op_type, report.ops)

    def _handle_peer_loads(self, now: int, event: interface.PeerLoads) -> None:
        self.state.peer_loads_received_at[event.sender] = now
        for index, ops in event.loads:
            if index in self.nodes:
                self.nodes[index].peer_loads[event.sender] = ops, now

    def _handle_node_list(self, now: int, update: interface.NodeListUpdate) -> None:
        if update.kind == interface.NodeListKind.FAILED:
            self._subscribe_at = now + interface.SECOND // 2 + int(self.state.random.random() * interface.SECOND)
            return
        self.list_received = self.list_received or update.kind != interface.NodeListKind.CACHED
        is_delta = update.kind == interface.NodeListKind.DELTA
        for node in () if is_delta else self.nodes.values():
            if node.state is not NodeState.UNLISTED:
                node.state = self._state_after_removal(node)
        for entry in update.entries:
            self._handle_node_entry(now, interface.NodeEntry(*entry), is_delta)

    def _handle_node_entry(self, now: int, entry: interface.NodeEntry, is_delta: bool) -> None:
        node = self.state.node(entry.node, now)
        if node.state is NodeState.UNLISTED and is_delta:
            node.awaiting_load = True
        # An older list may arrive again: only a later start counts, and only a later start ends a drain.
        started_at = entry.started_at
        started = started_at is not None and (node.started_at is None or started_at > node.started_at)
        if started_at is not None and started:
            node.started_at = started_at
            if now - started_at < self.state.settings.warm_up_ns:
                self._handle_restart(now, node)
        if entry.condition == interface.NodeCondition.REMOVED:
            node.state = self._state_after_removal(node)
        elif node.state is not NodeState.DRAINING or started:
            node.state = NodeState(entry.condition)
        node.zone, node.weight = entry.zone, entry.weight or 1.0

    def _handle_restart(self, now: int, node: Node) -> None:
        """Record a node's restart, and mark the node as flapping if it also started recently.

        Slices must not move back to a flapping node each time. Cost: a healthy node that is started twice idles.
        """
        node.former_slices_removed, node.awaiting_load = False, True
        node.periods.clear()
        node.recent_starts = (*(at for at in node.recent_starts if now - at < parameters.FLAP_WINDOW_NS), now)
        starts = len(node.recent_starts)
        if starts > 1:
            node.flapping_until = now + min(2 * parameters.MAX_EJECTION_NS, parameters.MIN_EJECTION_NS << starts - 1)

    def _state_after_removal(self, node: Node) -> NodeState:
        """Return the state of a node that a list omits or removes: DROPPED if it works and only draining binds."""
        still_works = self.state.settings.only_draining_binds and node.state in (NodeState.UP, NodeState.DROPPED)
        return NodeState.DROPPED if still_works else NodeState.REMOVED

    def _handle_ownership(self, now: int, event: interface.SliceOwnership) -> None:
        if event.owned:
            settings = self.state.settings
            owned = self.slices[event.slice] = Slice(event.slice)
            # For an empty table: another assigner may have closed it while writes to its node are in flight.
            owned.opens_at = now + settings.ownership_lease_ns + settings.write_timeout_ns
            self.state.moves_allowed_at = now + parameters.LOAD_PERIODS * self.state.period_ns
        else:
            self.slices.pop(event.slice, None)

    def _handle_stored_endpoint(self, now: int, event: interface.EndpointStored) -> None:
        owned = self.slices.get(event.slice)
        if owned is not None and event.weight > 0:
            node = self.state.node(event.node, now)
            # A withdrawal that was ordered before the proxies had this table may not apply to it.
            node.joined_order_due = node.joined_order_due or node.withdrawn
            owned.desired[event.node] = owned.ordered[event.node] = event.weight

    def _handle_joined_proxy(self, now: int, event: interface.ProxyJoined) -> None:
        """Mark the withdrawals that must be ordered again for a proxy that joined.

        A proxy keeps its withdrawals when the assigner restarts. A stale one can leave it without an endpoint; if it
        missed one, it keeps sending to the node (rules 1, 3). A proxy known before is sent only those that it may have
        missed, to keep the queue short.
        """
        applied_until = self.channel.join(now, event.proxy)
        known_before = applied_until >= 0
        self.state.proxies_from_former_incarnation = (
            self.state.proxies_from_former_incarnation or not event.fresh and not known_before
        )
        for node in self.nodes.values():
            missed = not known_before or node.ordered_at is not None and node.ordered_at >= applied_until
            node.joined_order_due = node.joined_order_due or node.withdrawn or not event.fresh and missed
