import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.interface import ALL_TABLES
from kestrelplank.state.table_orders import ClearTable, RequestAcknowledgement, SetAdmission, SetEndpoint, SetWithdrawn
from kestrelplank.state.tables import MessageGapError, Tables, UpdateRejectedError


def made(*sources):
    tables = Tables(4, 3, 1)
    for source in sources or (0,):
        tables.begin_stream(source)
    for table in range(4):
        tables.set_table(table, table % max(1, len(sources)), {table: 1.0, 9: 2.0})
    return tables


def all_of(tables):
    return [
        (tables.available(table), tables.retry_mode(table), [tables.admitted_share(table, kind) for kind in range(3)])
        for table in range(4)
    ]


def test_a_message_takes_effect_completely_and_returns_its_watermarks():
    tables = made()
    changed, watermarks = tables.apply(
        0, 0, [SetEndpoint(1, 5, 2.0), SetEndpoint(1, 9, 0), SetWithdrawn(2, True), RequestAcknowledgement(77)]
    )
    assert (changed, watermarks) == ([1, 2], [77])
    assert tables.available(1) == ((1, 1.0), (5, 2.0)) and tables.available(2) == ((9, 2.0),)


def test_a_message_that_comes_again_changes_nothing_and_returns_its_watermarks_again():
    tables = made()
    tables.apply(0, 0, [SetEndpoint(1, 5, 2.0)])
    tables.apply(0, 1, [SetEndpoint(1, 5, 0), RequestAcknowledgement(3)])
    before = all_of(tables)
    assert tables.apply(0, 0, [SetEndpoint(1, 5, 2.0), RequestAcknowledgement(2)]) == ([], [2])
    assert tables.apply(0, 1, [SetEndpoint(1, 5, 0), RequestAcknowledgement(3)]) == ([], [3])
    assert all_of(tables) == before and tables.available(1) == ((1, 1.0), (9, 2.0))


def test_a_message_before_its_turn_is_a_gap_and_a_new_stream_begins_at_0():
    tables = made()
    with pytest.raises(MessageGapError, match="received message 1, expected 0"):
        tables.apply(0, 1, [SetEndpoint(1, 5, 2.0)])
    tables.apply(0, 0, [SetWithdrawn(9, True)])
    tables.begin_stream(0)
    assert tables.apply(0, 0, [SetEndpoint(1, 5, 2.0)])[0] == [1]
    assert tables.available(1) == ((1, 1.0), (5, 2.0)) and tables.withdrawn(0) == [9]  # which outlive the stream


@pytest.mark.parametrize(
    "order, says",
    [
        (SetEndpoint(4, 1, 1.0), "table 4 does not exist"),
        (SetEndpoint(0, 1, -1.0), "weight -1.0, expected a finite number >= 0"),
        (SetEndpoint(0, 1, float("nan")), "weight nan, expected a finite number >= 0"),
        (ClearTable(-1), "table -1 does not exist"),
        (SetAdmission(0, 0, -0.1, 1), "admission share -0.1, expected a finite number >= 0"),
        (SetAdmission(9, 0, 1.0, 1), "table 9 does not exist"),
        (SetAdmission(0, 0, 1.0, 2), "retry mode 2 is not supported"),
    ],
)
def test_a_message_with_an_order_that_cannot_be_used_changes_nothing_at_all(order, says):
    tables = made()
    before = all_of(tables)
    with pytest.raises(UpdateRejectedError, match=says) as found:
        tables.apply(0, 0, [SetEndpoint(1, 5, 2.0), SetWithdrawn(9, True), order])
    assert "order 2" in str(found.value) and all_of(tables) == before
    assert tables.apply(0, 0, [SetEndpoint(1, 5, 2.0)])[0] == [1]  # its number is still due


def test_an_assigner_without_a_stream_orders_nothing():
    with pytest.raises(UpdateRejectedError, match="assigner 7 has no open stream"):
        made().apply(7, 0, [])


def test_a_withdrawal_holds_for_the_tables_that_its_assigner_owns():
    tables = made(0, 1)
    assert tables.apply(0, 0, [SetWithdrawn(9, True)])[0] == [0, 2]
    assert tables.available(0) == ((0, 1.0),) and tables.available(1) == ((1, 1.0), (9, 2.0))
    tables.set_table(0, 1, {0: 1.0, 9: 2.0})  # given into the other's charge
    assert tables.available(0) == ((0, 1.0), (9, 2.0))
    assert tables.apply(0, 1, [SetWithdrawn(9, False)])[0] == [2] and tables.withdrawn(0) == []


def test_of_two_admission_shares_the_lower_holds_and_a_table_set_anew_has_none():
    tables = made()
    tables.apply(0, 0, [SetAdmission(ALL_TABLES, 0b011, 0.5, 0), SetAdmission(1, 0b110, 0.7, 1)])
    assert [[tables.admitted_share(table, kind) for kind in range(3)] for table in (0, 1)] == [
        [0.5, 0.5, 1.0],
        [0.5, 0.5, 0.7],
    ]
    assert (tables.retry_mode(0), tables.retry_mode(1)) == (0, 1)
    tables.set_table(1, 0, {1: 1.0})
    assert tables.admitted_share(1, 2) == 1.0 and tables.retry_mode(1) == 0


def test_a_cleared_table_has_no_nodes_and_no_admission_shares():
    tables = made()
    tables.apply(0, 0, [SetAdmission(1, 0, 0.5, 0), ClearTable(1)])
    assert tables.available(1) == () and tables.admitted_share(1, 0) == 1.0 and tables.weights(1) == {}


orders = some.one_of(
    some.builds(SetEndpoint, some.integers(0, 3), some.integers(0, 5), some.sampled_from((0, 1.0, 2.5))),
    some.builds(SetWithdrawn, some.integers(0, 5), some.booleans()),
    some.builds(ClearTable, some.integers(0, 3)),
)


@given(some.lists(some.tuples(some.integers(0, 1), some.lists(orders, max_size=6)), max_size=12))
def test_available_nodes_are_those_that_a_plain_replay_of_the_orders_leaves(messages):
    tables, weights, withdrawn, numbers = made(0, 1), [{table: 1.0, 9: 2.0} for table in range(4)], ({}, {}), [0, 0]
    owner = [table % 2 for table in range(4)]
    for source, message in messages:
        message = [order for order in message if isinstance(order, SetWithdrawn) or owner[order.table] == source]
        tables.apply(source, numbers[source], message)
        numbers[source] += 1
        for order in message:
            if isinstance(order, SetEndpoint):
                if order.weight:
                    weights[order.table][order.node] = order.weight
                else:
                    weights[order.table].pop(order.node, None)
            elif isinstance(order, ClearTable):
                weights[order.table].clear()
            else:
                withdrawn[source][order.node] = order.withdrawn
        for table in range(4):
            assert dict(tables.available(table)) == {
                node: weight for node, weight in weights[table].items() if not withdrawn[owner[table]].get(node)
            }
