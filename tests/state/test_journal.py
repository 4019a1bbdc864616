import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.decode import Malformed
from kestrelplank.state.journal import MAGIC, Journal, encode_compacted, recover

VALUES = [["epoch", 1], ["stage", 1, 1, {"a": 1}], ["decided", 1, 1, {"a": 1}]]


def written(values=VALUES):
    journal = Journal()
    for value in values:
        journal.add(value)
    return journal.take_unwritten()


def test_every_prefix_of_a_journal_is_its_first_whole_records_and_says_what_was_cut():
    data, ends = written(), []
    for cut in range(len(data) + 1):
        found = recover(data[:cut])
        assert [value for _, value in found.records] == VALUES[: len(found.records)] and data[
            : found.intact_bytes
        ] == data[:cut][: found.intact_bytes]
        assert bool(found.cut_reason) == (found.intact_bytes < cut or not cut)
        ends.append(len(found.records))
    assert ends == sorted(ends) and ends[-1] == 3


def test_every_flipped_bit_is_refused_or_cuts_no_more_than_the_last_record():
    data = written()
    for place in range(len(data) * 8):
        spoilt = bytearray(data)
        spoilt[place // 8] ^= 1 << place % 8
        try:
            found = recover(bytes(spoilt))
        except Malformed as err:
            assert "byte " in str(err)
        else:
            assert [value for _, value in found.records] == VALUES[:2] and found.cut_reason


def test_what_came_before_one_write_is_one_write_and_counts_once_it_is_on_the_disk():
    journal = Journal()
    assert [journal.add(value) for value in VALUES] == [1, 2, 3] and journal.durable_sequence == 0
    assert (
        journal.take_unwritten().startswith(MAGIC) and journal.durable_sequence == 0 and journal.take_unwritten() == b""
    )
    assert (
        journal.handle_synced() == 3 and journal.add(["more"]) == 4 and not journal.take_unwritten().startswith(MAGIC)
    )


def test_after_an_fsync_that_failed_nothing_counts_any_more():
    journal = Journal()
    journal.add(VALUES[0])
    journal.take_unwritten()
    journal.handle_failure("No space left on device")
    assert journal.handle_synced() == 0 and journal.take_unwritten() == b""
    with pytest.raises(ValueError, match="has failed: No space left"):
        journal.add(VALUES[1])


def test_a_snapshot_goes_on_where_the_records_ended():
    found = recover(encode_compacted([{"state": 1}], 3))
    journal = Journal(found.records[-1][0] + 1, True)
    assert found.records == [(3, {"state": 1})] and journal.add(["next"]) == 4


@pytest.mark.parametrize(
    "data, says", [(b"other\n", "byte 0"), (written() + written()[len(MAGIC) :], "record 1 follows 3")]
)
def test_what_is_no_journal_is_refused_with_its_place(data, says):
    with pytest.raises(Malformed, match=says):
        recover(data)


@given(some.binary(max_size=60))
def test_no_bytes_raise_anything_but_malformed(data):
    try:
        recover(MAGIC + data)
    except Malformed:
        pass
