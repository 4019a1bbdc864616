import pytest
from parties import MS, StubServer, wait_until

from kestrelplank.assigner.health_checks import HealthChecks
from kestrelplank.interface import (
    HealthChecked,
)


@pytest.mark.parametrize(
    "status, body, verdict, load",
    [
        (200, b"inflight=7,util=0.5,moon=2", "ok", {"in_flight": 7.0, "utilization": 0.5}),
        (503, b"", "full", {}),
        (200, b"util=much", "ok", {}),
        (404, b"", "failed", {}),
        (None, b"", "broken", {}),
    ],
)
def test_health_check_reports_verdict_and_load_of_the_node(kit, status, body, verdict, load):
    node = StubServer(
        kit, lambda visitor, path, _: visitor.reply(body, status) if status else visitor.connection.close("broken off")
    )
    checks = HealthChecks(kit.loop, kit.pool, kit.counters, {0: node.at}, True, 250 * MS, True, kit.events.append)
    checks.check(0)
    wait_until(kit.loop, lambda: kit.events)
    checked = kit.events[0]
    assert isinstance(checked, HealthChecked)
    assert (checked.node, checked.verdict, checked.load) == (0, verdict, load)
    checks.check(0)
    wait_until(kit.loop, lambda: len(kit.events) == 2)
    assert len(node.connections) == (1 if status else 2) and node.requests[0][1] == "/status/load"
    checks.check(1)
    assert kit.counters.counts["probes_not_sent"] == 1
    checks.close()
    node.close()
