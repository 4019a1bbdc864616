import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.interface import ALL_TABLES
from kestrelplank.state.table_orders import ClearTable, RequestAcknowledgement, SetAdmission, SetEndpoint, SetWithdrawn
from kestrelplank.state.tables import MessageGapError, Tables, UpdateRejectedError


def new_tables(*assigners):
    tables = Tables(4, 3, 1)
    for assigner in assigners or (0,):
        tables.begin_stream(assigner)
    for table in range(4):
        tables.set_table(table, table % max(1, len(assigners)), {table: 1.0, 9: 2.0})
    return tables


def state_of(tables):
    return [
        (tables.available(table), tables.retry_mode(table), [tables.admitted_share(table, kind) for kind in range(3)])
        for table in range(4)
    ]


def test_message_is_applied_completely_and_returns_its_watermarks():
    tables = new_tables()
    changed, watermarks = tables.apply(
        0, 0, [SetEndpoint(1, 5, 2.0), SetEndpoint(1, 9, 0), SetWithdrawn(2, True), RequestAcknowledgement(77)]
    )
    assert (changed, watermarks) == ([1, 2], [77])
    assert tables.available(1) == ((1, 1.0), (5, 2.0)) and tables.available(2) == ((9, 2.0),)


def test_duplicate_message_changes_nothing_and_returns_its_watermarks_again():
    tables = new_tables()
    tables.apply(0, 0, [SetEndpoint(1, 5, 2.0)])
    tables.apply(0, 1, [SetEndpoint(1, 5, 0), RequestAcknowledgement(3)])
    before = state_of(tables)
    assert tables.apply(0, 0, [SetEndpoint(1, 5, 2.0), RequestAcknowledgement(2)]) == ([], [2])
    assert tables.apply(0, 1, [SetEndpoint(1, 5, 0), RequestAcknowledgement(3)]) == ([], [3])
    assert state_of(tables) == before and tables.available(1) == ((1, 1.0), (9, 2.0))


def test_skipped_message_number_is_a_gap_and_a_new_stream_starts_at_0():
    tables = new_tables()
    with pytest.raises(MessageGapError, match="received message 1, expected 0"):
        tables.apply(0, 1, [SetEndpoint(1, 5, 2.0)])
    tables.apply(0, 0, [SetWithdrawn(9, True)])
    tables.begin_stream(0)
    assert tables.apply(0, 0, [SetEndpoint(1, 5, 2.0)])[0] == [1]
    assert tables.available(1) == ((1, 1.0), (5, 2.0)) and tables.withdrawn(0) == [9]  # both outlive the stream


@pytest.mark.parametrize(
    "order, message_text",
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
def test_message_with_an_invalid_order_changes_nothing(order, message_text):
    tables = new_tables()
    before = state_of(tables)
    with pytest.raises(UpdateRejectedError, match=message_text) as error:
        tables.apply(0, 0, [SetEndpoint(1, 5, 2.0), SetWithdrawn(9, True), order])
    assert "order 2" in str(error.value) and state_of(tables) == before
    assert tables.apply(0, 0, [SetEndpoint(1, 5, 2.0)])[0] == [1]  # its number is still expected


def test_message_of_an_assigner_without_a_stream_is_rejected():
    with pytest.raises(UpdateRejectedError, match="assigner 7 has no open stream"):
        new_tables().apply(7, 0, [])


def test_withdrawal_applies_to_the_tables_that_the_assigner_owns():
    tables = new_tables(0, 1)
    assert tables.apply(0, 0, [SetWithdrawn(9, True)])[0] == [0, 2]
    assert tables.available(0) == ((0, 1.0),) and tables.available(1) == ((1, 1.0), (9, 2.0))
    tables.set_table(0, 1, {0: 1.0, 9: 2.0})  # now owned by the other assigner
    assert tables.available(0) == ((0, 1.0), (9, 2.0))
    assert tables.apply(0, 1, [SetWithdrawn(9, False)])[0] == [2] and tables.withdrawn(0) == []


def test_lower_admission_share_applies_and_setting_a_table_resets_its_share():
    tables = new_tables()
    tables.apply(0, 0, [SetAdmission(ALL_TABLES, 0b011, 0.5, 0), SetAdmission(1, 0b110, 0.7, 1)])
    assert [[tables.admitted_share(table, kind) for kind in range(3)] for table in (0, 1)] == [
        [0.5, 0.5, 1.0],
        [0.5, 0.5, 0.7],
    ]
    assert (tables.retry_mode(0), tables.retry_mode(1)) == (0, 1)
    tables.set_table(1, 0, {1: 1.0})
    assert tables.admitted_share(1, 2) == 1.0 and tables.retry_mode(1) == 0


def test_cleared_table_has_no_nodes_and_no_admission_share():
    tables = new_tables()
    tables.apply(0, 0, [SetAdmission(1, 0, 0.5, 0), ClearTable(1)])
    assert tables.available(1) == () and tables.admitted_share(1, 0) == 1.0 and tables.weights(1) == {}


orders = some.one_of(
    some.builds(SetEndpoint, some.integers(0, 3), some.integers(0, 5), some.sampled_from((0, 1.0, 2.5))),
    some.builds(SetWithdrawn, some.integers(0, 5), some.booleans()),
    some.builds(ClearTable, some.integers(0, 3)),
)


@given(some.lists(some.tuples(some.integers(0, 1), some.lists(orders, max_size=6)), max_size=12))
def test_available_nodes_equal_those_of_a_simple_replay(messages):
    tables, weights, withdrawn, numbers = (
        new_tables(0, 1),
        [{table: 1.0, 9: 2.0} for table in range(4)],
        ({}, {}),
        [0, 0],
    )
    owner = [table % 2 for table in range(4)]
    for assigner, message in messages:
        message = [order for order in message if isinstance(order, SetWithdrawn) or owner[order.table] == assigner]
        tables.apply(assigner, numbers[assigner], message)
        numbers[assigner] += 1
        for order in message:
            if isinstance(order, SetEndpoint):
                if order.weight:
                    weights[order.table][order.node] = order.weight
                else:
                    weights[order.table].pop(order.node, None)
            elif isinstance(order, ClearTable):
                weights[order.table].clear()
            else:
                withdrawn[assigner][order.node] = order.withdrawn
        for table in range(4):
            assert dict(tables.available(table)) == {
                node: weight for node, weight in weights[table].items() if not withdrawn[owner[table]].get(node)
            }
