"""State shared by all components of a simulation."""

from collections.abc import Callable
from random import Random

from kestrelplank.emulator.assigner_settings import max_queued_orders
from kestrelplank.emulator.node import EmulatedNode
from kestrelplank.emulator.rule_checks import RuleChecks
from kestrelplank.emulator.script import Script
from kestrelplank.emulator.seeded_random import seeded_random
from kestrelplank.emulator.service_score import ServiceScore
from kestrelplank.emulator.virtual_clock import Clock
from kestrelplank.time_units import MILLISECOND

TIME_LIMIT_TOLERANCE_NS = 300 * MILLISECOND  # granted by the protocol's specification for time limits over sockets


class Environment:
    """The script, random generators, the clock, the nodes, and the measurements.

    :param on_node_dropped: called with the number of a node that failed from overload; all connections to it end.
    """

    def __init__(self, script: Script, seed: int, clock: Clock, on_node_dropped: Callable[[int], None]) -> None:
        self.script, self.seed, self.clock = script, seed, clock
        self.started_at = clock.now()
        self.op_type_names, self.op_types = list(script.op_types), list(script.op_types.values())
        rules = script.rules
        self.rules = RuleChecks(rules.bare, rules.grace, max_queued_orders(script), TIME_LIMIT_TOLERANCE_NS)
        self.score = ServiceScore(script, self.started_at)
        self._on_node_dropped = on_node_dropped
        self.nodes = [self._make_node(number) for number in range(script.site.nodes)]
        self.node_started_at: list[int | None] = [None] * script.site.nodes  # None: before the simulation

    def _make_node(self, number: int) -> EmulatedNode:
        random = self.random("node", number)
        return EmulatedNode(
            self.script.node_kind, random, self.started_at, self._op_ran, lambda: self._node_fell(number)
        )

    def random(self, *names: object) -> Random:
        """Return the random generator of the component with that name."""
        return seeded_random(self.seed, *names)

    def zone_of_node(self, node: int) -> int:
        """Return the zone that a node is in."""
        return node % len(self.script.site.zones)

    @property
    def ends_at(self) -> int:
        """When clients stop requesting ops."""
        return self.started_at + self.script.site.length

    def _op_ran(self, number: int, op_type: int) -> None:
        once_only = self.op_types[op_type].effect == "once-only"
        self.rules.op_ran(number, self.op_type_names[op_type], once_only=once_only)

    def _node_fell(self, node: int) -> None:
        self.score.fallen_nodes.append(node)
        self._on_node_dropped(node)
