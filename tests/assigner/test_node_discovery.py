import gc
import json
import tracemalloc

import pytest
from assigner_parties import Rounds
from parties import MS, StubServer, instance, node_list, sample_ids, wait_until

from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.assigner.node_discovery import NodeDiscovery
from kestrelplank.assigner.order_queue import OrderQueue
from kestrelplank.assigner.rounds import RoundRunner
from kestrelplank.interface import (
    NodeEntry,
    NodeListKind,
    NodeListUpdate,
)


def discovering(kit, watch, known=None):
    """`watch` holds what each watch in turn is told; asked for the whole list, the agent has version 5."""

    def answer(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
            visitor.send(*watch.pop(0) if watch else ())
        else:
            visitor.reply(node_list(5, instance("s-1"), reset=True))

    agent = StubServer(kit, answer)
    made = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, sample_ids(), kit.events.append)
    made.start(known)
    return agent, made


@pytest.mark.parametrize("broken", [b"{]\n", b'{"generation":9,"reset":false}\n', b"[1]\n"])
def test_the_watch_goes_on_from_the_newest_list(kit, monkeypatch, broken):
    """Also after one that can't be read: what it changed would be lost else."""
    monkeypatch.setattr("kestrelplank.assigner.node_discovery.ANSWER_TIMEOUT_NS", 20_000 * MS)
    started = instance("s-2", "terminating", 1000.5)
    agent, made = discovering(
        kit,
        [[node_list(5, started), b"\n", broken], [node_list(6, instance("s-2"))]],
        node_list(4, instance("s-1"), {"instanceId": 7}, instance("s-1", "asleep"), reset=True),
    )
    wait_until(kit.loop, lambda: kit.counters.counts["lists_in"] == 3)
    watched = [path for _, path, _ in agent.requests if "follow" in path]
    assert watched == [f"/v1/endpoints?follow=1&since={version}" for version in (4, 5)]
    boot = kit.loop.from_unix(1_000_500_000)
    assert kit.counters.counts["entries_skipped"] == 2 and kit.events == [
        NodeListUpdate(NodeListKind.CACHED, [NodeEntry(0, "up", 0, 1, 1.0, None)]),
        NodeListUpdate(NodeListKind.DELTA, [NodeEntry(1, "draining", 0, 1, 1.0, boot)]),
        NodeListUpdate(NodeListKind.DELTA, [NodeEntry(1, "up", 0, 1, 1.0, None)]),
    ]
    made.fetch()
    wait_until(
        kit.loop, lambda: kit.events[-1] == NodeListUpdate(NodeListKind.FULL, [NodeEntry(0, "up", 0, 1, 1.0, None)])
    )
    made.close()
    agent.close()


def test_a_node_that_is_forgotten_leaves_nothing_and_its_index_is_not_used_again(kit):
    agent, made = discovering(kit, [])
    probes = HealthChecks(kit.loop, kit.pool, kit.counters, made.addresses, True, 250 * MS, True, kit.events.append)
    conductor = RoundRunner(
        kit.loop,
        kit.counters,
        Rounds(),
        MS,
        OrderQueue(kit.loop, kit.pool, kit.counters, agent.at, made._ids, [], 0),
        made,
        probes,
        None,
    )
    before = None
    for number in range(3000):
        made._take(node_list(number, instance(f"n-{number}")), None)
        probes.check(index := made._ids.nodes[f"n-{number}"])
        conductor.forget_node(index)
        kit.events.clear()
        if number == 1000:
            gc.collect()
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
    gc.collect()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert (
        index == 3001
        and list(made._ids.nodes) == ["s-1", "s-2"]
        and not made.addresses
        and not probes._checks
        and grown < 100_000
    )
    made.close()
    agent.close()


def test_what_was_remembered_is_the_list_where_nothing_has_changed(kit):
    agent, made = discovering(kit, [], node_list(5, instance("s-1"), reset=True))
    wait_until(kit.loop, lambda: kit.events[1:] == [NodeListUpdate(NodeListKind.DELTA, [])])
    made.on_answer(200, json.dumps(node_list(5, instance("s-1"), reset=True)).encode())
    assert len(kit.events) == 2
    made.close()
    agent.close()


def test_a_watch_that_lies_behind_what_the_agent_has_is_replaced(kit):
    """It counts as told what the agent wrote to a connection that has silently died."""
    agent, made = discovering(kit, [[node_list(4, reset=True)], [node_list(5, instance("s-1", "terminating"))]])
    wait_until(
        kit.loop,
        lambda: kit.events[-1:] == [NodeListUpdate(NodeListKind.DELTA, [NodeEntry(0, "draining", 0, 1, 1.0, None)])],
    )
    assert kit.counters.counts["watches_behind"] == 1
    made.close()
    agent.close()


def test_a_list_that_does_not_come_is_a_failed_update(kit):
    agent = StubServer(kit)
    made = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, sample_ids(), kit.events.append)
    made.fetch()
    wait_until(kit.loop, lambda: kit.events == [NodeListUpdate(NodeListKind.FAILED, ())])
    made.close()
    agent.close()
