import json

import pytest
from parties import MS, Kit, StubServer, wait_until

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
        wait_until(self.kit.loop, condition)

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
def site():
    made = []

    def make(*standing):
        made.append(Site(*standing))
        made[-1].wait(lambda: made[-1].streams())
        return made[-1]

    yield make
    for one in made:
        one.close()


def test_what_stands_and_messages_are_taken_and_marks_answered(site):
    here = site(*STANDING)
    here.wait(lambda: here.changed == [[1]])
    assert here.lines(1) == {"s-1": 1.0, "s-2": 2.0} and here.control.addresses == {here.ids.node("s-1"): "127.0.0.1:1"}
    here.tell(
        message(
            "orders", source=0, number=0, orders=[["line", 2, "s-3", 1.5], ["take_out", "s-2", True], ["mark", 905]]
        )
    )
    here.wait(lambda: here.posts("/v1/done"))
    assert here.posts("/v1/done") == [{"relay": 17, "source": 0, "mark": 905}]
    assert here.lines(1) == {"s-1": 1.0} and sorted(here.changed[-1]) == [1, 2]


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
def test_what_cannot_be_used_ends_the_stream_and_what_was_applied_stays_until_all_is_told_anew(site, line, counter):
    here = site(*STANDING)
    here.wait(lambda: here.changed)
    here.tell(
        message("orders", source=0, number=0, orders=[["line", 2, "s-3", 1.5]]) if "number=3" in str(line) else {}
    )
    here.standing = (*STANDING, message("table", table=2, source=0, lines={"s-9": 1.0}))
    here.tell(line)
    here.wait(lambda: here.count(counter) == 1)
    assert here.lines(1) == {"s-1": 1.0, "s-2": 2.0}
    here.wait(lambda: len(here.streams()) == 2 and here.lines(2) == {"s-9": 1.0})
    here.tell(message("orders", source=0, number=0, orders=[["line", 2, "s-9", 0]]))  # numbered from 0 again
    here.wait(lambda: here.lines(2) == {})


def test_an_answer_to_a_mark_is_sent_until_it_is_taken_and_a_message_that_comes_again_takes_no_second_effect(site):
    here = site(*STANDING)
    here.wait(lambda: here.changed)
    here.fails = 3
    order = message("orders", source=0, number=0, orders=[["line", 1, "s-1", 0], ["mark", 5]])
    here.tell(order)
    here.wait(lambda: len(here.posts("/v1/done")) == 4)
    changes = len(here.changed)
    here.tell(order)
    here.wait(lambda: len(here.posts("/v1/done")) == 5)
    assert len(here.changed) == changes and here.lines(1) == {"s-2": 2.0}


def test_what_was_met_is_reported_each_second_and_only_while_joined(site):
    here = site(*STANDING)
    here.wait(lambda: here.changed)
    node = here.ids.node("s-1")
    for good in (True, True, False):
        here.control.attempt_ended(1, node, good, 30 * MS)
        here.control.op_ended(1, 0, Verdict.ACKED if good else Verdict.ABORTED)
    here.wait(lambda: here.posts("/v1/reports"))
    assert here.posts("/v1/reports")[0] == {
        "relay": 17,
        "zone": "a",
        "span": 1000.0,
        "heat": [[1, "look", 3, 1]],
        "tries": [["s-1", 0, 3, 1, 30.0]],
    }


def test_posts_that_pile_up_are_bounded_and_marks_outlast_reports(site):
    here = site(*STANDING)
    here.wait(lambda: here.changed)
    here.fails = 10**9
    for turn in range(200):
        here.control._posts.add("/v1/reports" if turn % 2 else "/v1/done", {"turn": turn})
    assert len(here.control._posts._posts) == 64 and here.count("posts_dropped") == 136
    assert all(path == "/v1/done" for path, _ in here.control._posts._posts)


def test_a_relay_without_a_hub_keeps_its_tables(site):
    here = site(*STANDING)
    here.wait(lambda: here.changed)
    here.hub.close()
    here.wait(lambda: here.count("tables_broken") >= 2)
    assert here.lines(1) == {"s-1": 1.0, "s-2": 2.0} and here.control._joined_at is None
