import json

import pytest
from parties import MS, Kit, StubServer, until

from kestrelplank.decode import Ids, text
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.reference_proxy.update_client import UpdateClient, UpdateSourceSettings
from kestrelplank.state.tables import Tables


class Site:
    """A hub that says what a test wants, and the control side of relay 17."""

    def __init__(self, *standing):
        self.kit, self.standing, self.changed, self.fails = Kit(), standing, [], 0
        self.hub = StubServer(self.kit, self.asked)
        self.tables, self.ids = Tables(4, 2, 1), Ids(text)
        self.control = UpdateClient(
            ProxyIo(self.kit.loop, self.kit.pool, self.kit.counters),
            UpdateSourceSettings(self.hub.at, 17, "a", ["look", "place"]),
            self.ids,
            self.tables,
            {},
            self.changed.append,
        )

    def asked(self, visitor, path, body):
        if path.startswith("/v1/tables"):
            visitor.begin_stream()
            visitor.send(*self.standing)
        elif self.fails:
            self.fails -= 1
            visitor.connection.close("broken off")
        else:
            visitor.reply({})

    def streams(self):
        return [visitor for visitor in self.hub.connections if visitor.path.startswith("/v1/tables")]

    def posts(self, path):
        return [json.loads(body) for _, to, body in self.hub.requests if to == path]

    def tell(self, *lines):
        self.streams()[-1].send(*lines)

    def wait(self, condition):
        until(self.kit.loop, condition)

    def count(self, name):
        return self.kit.counters.counts[name]

    def lines(self, table):
        return {self.ids.node_ids[node]: weight for node, weight in self.tables.available(table)}

    def close(self):
        self.control.close()
        self.hub.close()
        self.kit.loop.close()


def message(kind, **fields):
    return {"type": kind, "object": fields}


STANDING = (
    message("node", name="s-1", address="127.0.0.1:1", zone="a"),
    message("joined", source=0),
    message("table", table=1, source=0, lines={"s-1": 1.0, "s-2": 2.0}),
    {},
)


@pytest.fixture
def make_site():
    sites = []

    def make(*standing):
        sites.append(Site(*standing))
        sites[-1].wait(lambda: sites[-1].streams())
        return sites[-1]

    yield make
    for site in sites:
        site.close()


def test_state_and_orders_are_applied_and_watermarks_acknowledged(make_site):
    site = make_site(*STANDING)
    site.wait(lambda: site.changed == [[1]])
    assert site.lines(1) == {"s-1": 1.0, "s-2": 2.0} and site.control.addresses == {site.ids.node("s-1"): "127.0.0.1:1"}
    site.tell(
        message(
            "orders", source=0, number=0, orders=[["line", 2, "s-3", 1.5], ["take_out", "s-2", True], ["mark", 905]]
        )
    )
    site.wait(lambda: site.posts("/v1/done"))
    assert site.posts("/v1/done") == [{"relay": 17, "source": 0, "mark": 905}]
    assert site.lines(1) == {"s-1": 1.0} and sorted(site.changed[-1]) == [1, 2]


@pytest.mark.parametrize(
    "line, counter",
    [
        (message("orders", source=0, number=3, orders=[]), "tables_refused"),
        (
            message("orders", source=0, number=0, orders=[["line", 1, "s-1", 9.0], ["line", 9, "s-1", 1.0]]),
            "tables_refused",
        ),
        (message("orders", source=7, number=0, orders=[]), "tables_refused"),
        (message("orders", source=0, number=0, orders=[["line", 1, "s-1"]]), "tables_unreadable"),
        (message("orders", source=0, number=0, orders=[["erase", 1]]), "tables_unreadable"),
        (message("orders", source=0, number=0, orders=[["line", 1, "s-1", 9.0], ["erase", 0]]), "tables_unreadable"),
        (message("orders", source=0, number=0, orders="all"), "tables_unreadable"),
        (message("table", table=4, source=0, lines={}), "tables_unreadable"),
        (message("table", table=1, source=0, lines={"s-1": -1}), "tables_unreadable"),
        (message("spell"), "tables_unreadable"),
        (b"{\n", "tables_unreadable"),
        (b"5\n", "tables_unreadable"),
        ({"type": "orders"}, "tables_unreadable"),
    ],
)
def test_unusable_message_ends_the_stream_and_keeps_the_tables_until_the_next_stream(make_site, line, counter):
    site = make_site(*STANDING)
    site.wait(lambda: site.changed)
    site.tell(
        message("orders", source=0, number=0, orders=[["line", 2, "s-3", 1.5]]) if "number=3" in str(line) else {}
    )
    site.standing = (*STANDING, message("table", table=2, source=0, lines={"s-9": 1.0}))
    site.tell(line)
    site.wait(lambda: site.count(counter) == 1)
    assert site.lines(1) == {"s-1": 1.0, "s-2": 2.0}
    site.wait(lambda: len(site.streams()) == 2 and site.lines(2) == {"s-9": 1.0})
    site.tell(message("orders", source=0, number=0, orders=[["line", 2, "s-9", 0]]))  # numbered from 0 again
    site.wait(lambda: site.lines(2) == {})


def test_acknowledgement_is_retried_and_a_repeated_message_has_no_second_effect(make_site):
    site = make_site(*STANDING)
    site.wait(lambda: site.changed)
    site.fails = 3
    order = message("orders", source=0, number=0, orders=[["line", 1, "s-1", 0], ["mark", 5]])
    site.tell(order)
    site.wait(lambda: len(site.posts("/v1/done")) == 4)
    changes = len(site.changed)
    site.tell(order)
    site.wait(lambda: len(site.posts("/v1/done")) == 5)
    assert len(site.changed) == changes and site.lines(1) == {"s-2": 2.0}


def test_attempts_and_ops_are_summed_in_a_report(make_site):
    site = make_site(*STANDING)
    site.wait(lambda: site.changed)
    node = site.ids.node("s-1")
    for good in (True, True, False):
        site.control.record_attempt(1, node, good, 30 * MS)
        site.control.record_op(1, 0, Verdict.ACKED if good else Verdict.ABORTED)
    site.wait(lambda: site.posts("/v1/reports"))
    assert site.posts("/v1/reports")[0] == {
        "relay": 17,
        "zone": "a",
        "span": 1000.0,
        "heat": [[1, "look", 3, 1]],
        "tries": [["s-1", 0, 3, 1, 30.0]],
    }


def test_post_queue_is_bounded_and_drops_reports_before_acknowledgements(make_site):
    site = make_site(*STANDING)
    site.wait(lambda: site.changed)
    site.fails = 10**9
    for turn in range(200):
        site.control._posts.add("/v1/reports" if turn % 2 else "/v1/done", {"turn": turn})
    assert len(site.control._posts._posts) == 64 and site.count("posts_dropped") == 136
    assert all(path == "/v1/done" for path, _ in site.control._posts._posts)


def test_tables_are_kept_when_the_update_source_is_lost(make_site):
    site = make_site(*STANDING)
    site.wait(lambda: site.changed)
    site.hub.close()
    site.wait(lambda: site.count("tables_broken") >= 2)
    assert site.lines(1) == {"s-1": 1.0, "s-2": 2.0} and site.control._stream_began_at is None
