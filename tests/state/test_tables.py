import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.interface import ALL_TABLES
from kestrelplank.state.tables import Gap, Refused, Tables


def made(*sources):
    tables = Tables(4, 3, 1)
    for source in sources or (0,):
        tables.joined(source)
    for table in range(4):
        tables.read(table, table % max(1, len(sources)), {table: 1.0, 9: 2.0})
    return tables


def all_of(tables):
    return [
        (tables.open(table), tables.again(table), [tables.share(table, kind) for kind in range(3)])
        for table in range(4)
    ]


def test_a_message_takes_effect_whole_and_answers_its_marks():
    tables = made()
    changed, marks = tables.apply(0, 0, [("line", 1, 5, 2.0), ("line", 1, 9, 0), ("take_out", 2, True), ("mark", 77)])
    assert (changed, marks) == ([1, 2], [77])
    assert tables.open(1) == ((1, 1.0), (5, 2.0)) and tables.open(2) == ((9, 2.0),)


def test_a_message_that_comes_again_changes_nothing_and_is_answered_again():
    tables = made()
    tables.apply(0, 0, [("line", 1, 5, 2.0)])
    tables.apply(0, 1, [("line", 1, 5, 0), ("mark", 3)])
    before = all_of(tables)
    assert tables.apply(0, 0, [("line", 1, 5, 2.0), ("mark", 2)]) == ([], [2])
    assert tables.apply(0, 1, [("line", 1, 5, 0), ("mark", 3)]) == ([], [3])
    assert all_of(tables) == before and tables.open(1) == ((1, 1.0), (9, 2.0))


def test_a_message_before_its_turn_is_a_gap_and_a_new_stream_begins_anew():
    tables = made()
    with pytest.raises(Gap, match="message 1 came where 0 is due"):
        tables.apply(0, 1, [("line", 1, 5, 2.0)])
    tables.apply(0, 0, [("take_out", 9, True)])
    tables.joined(0)
    assert tables.apply(0, 0, [("line", 1, 5, 2.0)])[0] == [1]
    assert tables.open(1) == ((1, 1.0), (5, 2.0)) and tables.withdrawn(0) == [9]  # which outlive the stream


@pytest.mark.parametrize(
    "order, says",
    [
        (("line", 4, 1, 1.0), "no table has the number 4"),
        (("line", 0, 1, -1.0), "no weight"),
        (("line", 0, 1, float("nan")), "no weight"),
        (("clear", -1), "no table"),
        (("level", 0, 0, -0.1, 1), "no level"),
        (("level", 9, 0, 1.0, 1), "no table"),
        (("level", 0, 0, 1.0, 2), "needs no proof"),
        (("erase", 0), "no order"),
    ],
)
def test_a_message_with_an_order_that_cannot_be_used_changes_nothing_at_all(order, says):
    tables = made()
    before = all_of(tables)
    with pytest.raises(Refused, match=says) as found:
        tables.apply(0, 0, [("line", 1, 5, 2.0), ("take_out", 9, True), order])
    assert "order 2" in str(found.value) and all_of(tables) == before
    assert tables.apply(0, 0, [("line", 1, 5, 2.0)])[0] == [1]  # its number is still due


def test_who_has_no_stream_orders_nothing():
    with pytest.raises(Refused, match="no stream"):
        made().apply(7, 0, [])


def test_a_withdrawal_holds_for_the_tables_of_whoever_ordered_it():
    tables = made(0, 1)
    assert tables.apply(0, 0, [("take_out", 9, True)])[0] == [0, 2]
    assert tables.open(0) == ((0, 1.0),) and tables.open(1) == ((1, 1.0), (9, 2.0))
    tables.read(0, 1, {0: 1.0, 9: 2.0})  # given into the other's charge
    assert tables.open(0) == ((0, 1.0), (9, 2.0))
    assert tables.apply(0, 1, [("take_out", 9, False)])[0] == [2] and tables.withdrawn(0) == []


def test_of_two_levels_the_lower_holds_and_a_table_given_anew_has_none():
    tables = made()
    tables.apply(0, 0, [("level", ALL_TABLES, 0b011, 0.5, 0), ("level", 1, 0b110, 0.7, 1)])
    assert [[tables.share(table, kind) for kind in range(3)] for table in (0, 1)] == [[0.5, 0.5, 1.0], [0.5, 0.5, 0.7]]
    assert (tables.again(0), tables.again(1)) == (0, 1)
    tables.read(1, 0, {1: 1.0})
    assert tables.share(1, 2) == 1.0 and tables.again(1) == 0


def test_a_cleared_table_has_no_lines_and_no_levels():
    tables = made()
    tables.apply(0, 0, [("level", 1, 0, 0.5, 0), ("clear", 1)])
    assert tables.open(1) == () and tables.share(1, 0) == 1.0 and tables.lines(1) == {}


orders = some.one_of(
    some.tuples(some.just("line"), some.integers(0, 3), some.integers(0, 5), some.sampled_from((0, 1.0, 2.5))),
    some.tuples(some.just("take_out"), some.integers(0, 5), some.booleans()),
    some.tuples(some.just("clear"), some.integers(0, 3)),
)


@given(some.lists(some.tuples(some.integers(0, 1), some.lists(orders, max_size=6)), max_size=12))
def test_open_lines_are_those_that_a_plain_replay_of_the_orders_leaves(messages):
    tables, lines, out, numbers = made(0, 1), [{table: 1.0, 9: 2.0} for table in range(4)], ({}, {}), [0, 0]
    owner = [table % 2 for table in range(4)]
    for source, message in messages:
        message = [order for order in message if order[0] == "take_out" or owner[order[1]] == source]
        tables.apply(source, numbers[source], message)
        numbers[source] += 1
        for word, *fields in message:
            if word == "line":
                lines[fields[0]].pop(fields[1], None) if not fields[2] else lines[fields[0]].update(
                    {fields[1]: fields[2]}
                )
            elif word == "clear":
                lines[fields[0]].clear()
            else:
                out[source][fields[0]] = fields[1]
        for table in range(4):
            assert dict(tables.open(table)) == {
                node: weight for node, weight in lines[table].items() if not out[owner[table]].get(node)
            }
