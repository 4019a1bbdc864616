import gc
import json
import tracemalloc

import pytest
from assigner_parties import RecordingPolicy
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


def start_discovery(kit, watch, cached=None):
    """Start discovery against an agent that sends `watch[n]` to the n-th watch and version 5 of the list to a poll."""

    def answer(visitor, path, body):
        if "follow" in path:
            visitor.begin_stream()
            visitor.send(*watch.pop(0) if watch else ())
        else:
            visitor.reply(node_list(5, instance("s-1"), reset=True))

    agent = StubServer(kit, answer)
    discovery = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, sample_ids(), kit.events.append)
    discovery.start(cached)
    return agent, discovery


@pytest.mark.parametrize("broken", [b"{]\n", b'{"generation":9,"reset":false}\n', b"[1]\n"])
def test_watch_resumes_from_the_newest_version_after_an_invalid_line(kit, monkeypatch, broken):
    """The watch also restarts after an invalid line, whose change would be lost otherwise."""
    monkeypatch.setattr("kestrelplank.assigner.node_discovery.ANSWER_TIMEOUT_NS", 20_000 * MS)
    started = instance("s-2", "terminating", 1000.5)
    agent, discovery = start_discovery(
        kit,
        [[node_list(5, started), b"\n", broken], [node_list(6, instance("s-2"))]],
        node_list(4, instance("s-1"), {"instanceId": 7}, instance("s-1", "asleep"), reset=True),
    )
    wait_until(kit.loop, lambda: kit.counters.counts["lists_in"] == 3)
    watch_paths = [path for _, path, _ in agent.requests if "follow" in path]
    assert watch_paths == [f"/v1/endpoints?follow=1&since={version}" for version in (4, 5)]
    boot = kit.loop.from_unix(1_000_500_000)
    assert kit.counters.counts["entries_skipped"] == 2 and kit.events == [
        NodeListUpdate(NodeListKind.CACHED, [NodeEntry(0, "up", 0, 1, 1.0, None)]),
        NodeListUpdate(NodeListKind.DELTA, [NodeEntry(1, "draining", 0, 1, 1.0, boot)]),
        NodeListUpdate(NodeListKind.DELTA, [NodeEntry(1, "up", 0, 1, 1.0, None)]),
    ]
    discovery.fetch()
    wait_until(
        kit.loop, lambda: kit.events[-1] == NodeListUpdate(NodeListKind.FULL, [NodeEntry(0, "up", 0, 1, 1.0, None)])
    )
    discovery.close()
    agent.close()


def test_forgotten_node_leaves_no_state_and_its_index_is_not_reused(kit):
    agent, discovery = start_discovery(kit, [])
    checks = HealthChecks(
        kit.loop, kit.pool, kit.counters, discovery.addresses, True, 250 * MS, True, kit.events.append
    )
    runner = RoundRunner(
        kit.loop,
        kit.counters,
        RecordingPolicy(),
        MS,
        OrderQueue(kit.loop, kit.pool, kit.counters, agent.at, discovery._ids, [], 0),
        discovery,
        checks,
        None,
    )
    before = None
    for number in range(3000):
        discovery._process_list(node_list(number, instance(f"n-{number}")), None)
        checks.check(index := discovery._ids.nodes[f"n-{number}"])
        runner.forget_node(index)
        kit.events.clear()
        if number == 1000:
            gc.collect()
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
    gc.collect()
    growth = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert (
        index == 3001
        and list(discovery._ids.nodes) == ["s-1", "s-2"]
        and not discovery.addresses
        and not checks._checks
        and growth < 100_000
    )
    discovery.close()
    agent.close()


def test_cached_list_is_confirmed_when_the_agent_has_the_same_version(kit):
    agent, discovery = start_discovery(kit, [], node_list(5, instance("s-1"), reset=True))
    wait_until(kit.loop, lambda: kit.events[1:] == [NodeListUpdate(NodeListKind.DELTA, [])])
    discovery.on_answer(200, json.dumps(node_list(5, instance("s-1"), reset=True)).encode())
    assert len(kit.events) == 2
    discovery.close()
    agent.close()


def test_watch_that_lags_behind_the_agent_is_replaced(kit):
    """The agent regards as received what it wrote to a connection that has silently died."""
    agent, discovery = start_discovery(
        kit, [[node_list(4, reset=True)], [node_list(5, instance("s-1", "terminating"))]]
    )
    wait_until(
        kit.loop,
        lambda: kit.events[-1:] == [NodeListUpdate(NodeListKind.DELTA, [NodeEntry(0, "draining", 0, 1, 1.0, None)])],
    )
    assert kit.counters.counts["watches_behind"] == 1
    discovery.close()
    agent.close()


def test_failed_fetch_is_reported_as_a_failed_list(kit):
    agent = StubServer(kit)
    discovery = NodeDiscovery(kit.loop, kit.pool, kit.counters, agent.at, sample_ids(), kit.events.append)
    discovery.fetch()
    wait_until(kit.loop, lambda: kit.events == [NodeListUpdate(NodeListKind.FAILED, ())])
    discovery.close()
    agent.close()
