"""Updates of the server list: outdated lists are ignored and drains are kept."""

from kestrelplank.time_units import SECOND
from kestrelplank.transport.server_list import DRAINING, READY, ServerList


def entry(name, state=READY):
    return (name, "views", f"{name}:80", "z", 2, state, 0)


def test_a_list_fetched_earlier_never_replaces_one_fetched_later():
    servers = ServerList()
    assert servers.update(10 * SECOND, 0, [entry("s"), entry("t")])
    assert not servers.update(11 * SECOND, 3 * SECOND, [entry("s")])  # delayed on the way
    assert set(servers.entries) == {"s", "t"}
    assert servers.update(12 * SECOND, SECOND // 2, [entry("s")]) and set(servers.entries) == {"s"}


def test_a_draining_server_stays_draining_while_it_is_listed():
    servers = ServerList()
    servers.update(10 * SECOND, 0, [entry("s", DRAINING)])
    assert not servers.update(11 * SECOND, 0, [entry("s")]) and servers.entries["s"].state == DRAINING
