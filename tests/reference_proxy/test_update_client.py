import json

import pytest
from parties import MS, Kit, StubServer, wait_until

from kestrelplank.decode import Ids, text
from kestrelplank.load_balancing.operations import Verdict
from kestrelplank.reference_proxy.proxy_io import ProxyIo
from kestrelplank.reference_proxy.update_client import UpdateClient, UpdateSourceSettings
from kestrelplank.state.tables import Tables


class Site:
    """A stub update source whose messages the test chooses, and the update client of relay 17."""

    def __init__(self, *initial_messages):
        self.kit, self.initial_messages, self.changed_tables, self.failures_left = Kit(), initial_messages, [], 0
        self.update_source = StubServer(self.kit, self.handle_request)
        self.tables, self.ids = Tables(4, 2, 1), Ids(text)
        self.client = UpdateClient(
            ProxyIo(self.kit.loop, self.kit.pool, self.kit.counters),
            UpdateSourceSettings(self.update_source.at, 17, "a", ["look", "place"]),
            self.ids,
            self.tables,
            {},
            self.changed_tables.append,
        )

    def handle_request(self, connection, path, body):
        if path.startswith("/v1/tables"):
            connection.begin_stream()
            connection.send(*self.initial_messages)
        elif self.failures_left:
            self.failures_left -= 1
            connection.connection.close("broken off")
        else:
            connection.reply({})

    def streams(self):
        return [connection for connection in self.update_source.connections if connection.path.startswith("/v1/tables")]

    def posts(self, path):
        return [json.loads(body) for _, target, body in self.update_source.requests if target == path]

    def send(self, *lines):
        self.streams()[-1].send(*lines)

    def wait(self, condition):
        wait_until(self.kit.loop, condition)

    def count(self, name):
        return self.kit.counters.counts[name]

    def weights(self, table):
        return {self.ids.node_ids[node]: weight for node, weight in self.tables.available(table)}

    def close(self):
        self.client.close()
        self.update_source.close()
        self.kit.loop.close()


def message(kind, **fields):
    return {"type": kind, "object": fields}


INITIAL_MESSAGES = (
    message("node", name="s-1", address="127.0.0.1:1", zone="a"),
    message("joined", source=0),
    message("table", table=1, source=0, lines={"s-1": 1.0, "s-2": 2.0}),
    {},
)


@pytest.fixture
def make_site():
    sites = []

    def make(*initial_messages):
        sites.append(Site(*initial_messages))
        sites[-1].wait(lambda: sites[-1].streams())
        return sites[-1]

    yield make
    for site in sites:
        site.close()


def test_state_and_orders_are_applied_and_watermarks_acknowledged(make_site):
    site = make_site(*INITIAL_MESSAGES)
    site.wait(lambda: site.changed_tables == [[1]])
    assert site.weights(1) == {"s-1": 1.0, "s-2": 2.0} and site.client.addresses == {
        site.ids.node("s-1"): "127.0.0.1:1"
    }
    site.send(
        message(
            "orders", source=0, number=0, orders=[["line", 2, "s-3", 1.5], ["take_out", "s-2", True], ["mark", 905]]
        )
    )
    site.wait(lambda: site.posts("/v1/done"))
    assert site.posts("/v1/done") == [{"relay": 17, "source": 0, "mark": 905}]
    assert site.weights(1) == {"s-1": 1.0} and sorted(site.changed_tables[-1]) == [1, 2]


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
    site = make_site(*INITIAL_MESSAGES)
    site.wait(lambda: site.changed_tables)
    site.send(
        message("orders", source=0, number=0, orders=[["line", 2, "s-3", 1.5]]) if "number=3" in str(line) else {}
    )
    site.initial_messages = (*INITIAL_MESSAGES, message("table", table=2, source=0, lines={"s-9": 1.0}))
    site.send(line)
    site.wait(lambda: site.count(counter) == 1)
    assert site.weights(1) == {"s-1": 1.0, "s-2": 2.0}
    site.wait(lambda: len(site.streams()) == 2 and site.weights(2) == {"s-9": 1.0})
    site.send(message("orders", source=0, number=0, orders=[["line", 2, "s-9", 0]]))  # numbered from 0 again
    site.wait(lambda: site.weights(2) == {})


def test_acknowledgement_is_retried_and_a_repeated_message_has_no_second_effect(make_site):
    site = make_site(*INITIAL_MESSAGES)
    site.wait(lambda: site.changed_tables)
    site.failures_left = 3
    order = message("orders", source=0, number=0, orders=[["line", 1, "s-1", 0], ["mark", 5]])
    site.send(order)
    site.wait(lambda: len(site.posts("/v1/done")) == 4)
    changes = len(site.changed_tables)
    site.send(order)
    site.wait(lambda: len(site.posts("/v1/done")) == 5)
    assert len(site.changed_tables) == changes and site.weights(1) == {"s-2": 2.0}


def test_attempts_and_ops_are_summed_in_a_report(make_site):
    site = make_site(*INITIAL_MESSAGES)
    site.wait(lambda: site.changed_tables)
    node = site.ids.node("s-1")
    for succeeded in (True, True, False):
        site.client.record_attempt(1, node, succeeded, 30 * MS)
        site.client.record_op(1, 0, Verdict.ACKED if succeeded else Verdict.ABORTED)
    site.wait(lambda: site.posts("/v1/reports"))
    assert site.posts("/v1/reports")[0] == {
        "relay": 17,
        "zone": "a",
        "span": 1000.0,
        "heat": [[1, "look", 3, 1]],
        "tries": [["s-1", 0, 3, 1, 30.0]],
    }


def test_post_queue_is_bounded_and_drops_reports_before_acknowledgements(make_site):
    site = make_site(*INITIAL_MESSAGES)
    site.wait(lambda: site.changed_tables)
    site.failures_left = 10**9
    for turn in range(200):
        site.client._posts.add("/v1/reports" if turn % 2 else "/v1/done", {"turn": turn})
    assert len(site.client._posts._posts) == 64 and site.count("posts_dropped") == 136
    assert all(path == "/v1/done" for path, _ in site.client._posts._posts)


def test_tables_are_kept_when_the_update_source_is_lost(make_site):
    site = make_site(*INITIAL_MESSAGES)
    site.wait(lambda: site.changed_tables)
    site.update_source.close()
    site.wait(lambda: site.count("tables_broken") >= 2)
    assert site.weights(1) == {"s-1": 1.0, "s-2": 2.0} and site.client._stream_began_at is None
