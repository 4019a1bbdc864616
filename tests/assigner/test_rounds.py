from assigner_parties import Rounds
from parties import MS, order_queue, sample_ids, wait_until

from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.interface import (
    ProxyLeft,
)


def test_a_round_gathers_what_came_and_waits_while_orders_pile_up(kit):
    made = order_queue(kit)
    policy = Rounds()
    conductor = RoundRunner(
        kit.loop,
        kit.counters,
        policy,
        5 * MS,
        made,
        NodeDiscovery(kit.loop, kit.pool, kit.counters, "127.0.0.1:1", sample_ids(), kit.events.append),
        HealthChecks(kit.loop, kit.pool, kit.counters, {}, False, MS, False, kit.events.append),
        None,
    )
    for number in range(9):
        conductor.on_event(ProxyLeft(number))
    wait_until(kit.loop, lambda: policy.held)
    assert [len(events) for events in policy.held] == [9] and made._client.bodies == [[("put", 0)]]
    made._queued_bytes += 1 << 20
    conductor.on_event(ProxyLeft(1))
    wait_until(kit.loop, lambda: kit.counters.counts["rounds_held_up"])
    assert len(policy.held) == 1
    made._queued_bytes -= 1 << 20
    wait_until(kit.loop, lambda: len(policy.held) == 2)
