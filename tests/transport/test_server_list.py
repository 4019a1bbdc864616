"""Which of two lists of servers is the newer, and what of it is kept."""

from kestrelplank.time_units import SECOND
from kestrelplank.transport.server_list import DRAINING, READY, ServerList


def entry(name, state=READY):
    return (name, "views", f"{name}:80", "z", 2, state, 0)


def test_of_two_lists_the_one_fetched_later_holds_whenever_it_comes():
    servers = ServerList()
    assert servers.update(10 * SECOND, 0, [entry("s"), entry("t")])
    assert not servers.update(11 * SECOND, 3 * SECOND, [entry("s")])  # held up on its way
    assert set(servers.entries) == {"s", "t"}
    assert servers.update(12 * SECOND, SECOND // 2, [entry("s")]) and set(servers.entries) == {"s"}


def test_a_drain_is_never_taken_back():
    servers = ServerList()
    servers.update(10 * SECOND, 0, [entry("s", DRAINING)])
    assert not servers.update(11 * SECOND, 0, [entry("s")]) and servers.entries["s"].state == DRAINING
