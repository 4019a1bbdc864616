from assigner_parties import RecordingPolicy
from parties import MS, order_queue, sample_ids, wait_until

from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.interface import (
    ProxyLeft,
)


def test_round_collects_events_and_waits_while_the_order_queue_is_full(kit):
    queue = order_queue(kit)
    policy = RecordingPolicy()
    runner = RoundRunner(
        kit.loop,
        kit.counters,
        policy,
        5 * MS,
        queue,
        NodeDiscovery(kit.loop, kit.pool, kit.counters, "127.0.0.1:1", sample_ids(), kit.events.append),
        HealthChecks(kit.loop, kit.pool, kit.counters, {}, False, MS, False, kit.events.append),
        None,
    )
    for number in range(9):
        runner.on_event(ProxyLeft(number))
    wait_until(kit.loop, lambda: policy.rounds)
    assert [len(events) for events in policy.rounds] == [9] and queue._client.bodies == [[("put", 0)]]
    queue._queued_bytes += 1 << 20
    runner.on_event(ProxyLeft(1))
    wait_until(kit.loop, lambda: kit.counters.counts["rounds_held_up"])
    assert len(policy.rounds) == 1
    queue._queued_bytes -= 1 << 20
    wait_until(kit.loop, lambda: len(policy.rounds) == 2)
