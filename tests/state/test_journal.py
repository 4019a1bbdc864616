import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.decode import MalformedError
from kestrelplank.state.journal import MAGIC, Journal, encode_compacted, recover

VALUES = [["epoch", 1], ["stage", 1, 1, {"a": 1}], ["decided", 1, 1, {"a": 1}]]


def journal_bytes(values=VALUES):
    journal = Journal()
    for value in values:
        journal.add(value)
    return journal.take_unwritten()


def test_any_prefix_recovers_its_complete_records_and_reports_the_truncation():
    data, record_counts = journal_bytes(), []
    for length in range(len(data) + 1):
        recovered = recover(data[:length])
        assert [value for _, value in recovered.records] == VALUES[: len(recovered.records)] and data[
            : recovered.intact_bytes
        ] == data[:length][: recovered.intact_bytes]
        assert bool(recovered.truncation_reason) == (recovered.intact_bytes < length or not length)
        record_counts.append(len(recovered.records))
    assert record_counts == sorted(record_counts) and record_counts[-1] == 3


def test_any_flipped_bit_is_rejected_or_truncates_only_the_last_record():
    data = journal_bytes()
    for bit in range(len(data) * 8):
        corrupted = bytearray(data)
        corrupted[bit // 8] ^= 1 << bit % 8
        try:
            recovered = recover(bytes(corrupted))
        except MalformedError as err:
            assert "byte " in str(err)
        else:
            assert [value for _, value in recovered.records] == VALUES[:2] and recovered.truncation_reason


def test_records_added_before_a_write_share_it_and_are_durable_after_the_sync():
    journal = Journal()
    assert [journal.add(value) for value in VALUES] == [1, 2, 3] and journal.durable_sequence == 0
    assert (
        journal.take_unwritten().startswith(MAGIC) and journal.durable_sequence == 0 and journal.take_unwritten() == b""
    )
    assert (
        journal.handle_synced() == 3 and journal.add(["more"]) == 4 and not journal.take_unwritten().startswith(MAGIC)
    )


def test_no_record_is_durable_after_a_failed_fsync():
    journal = Journal()
    journal.add(VALUES[0])
    journal.take_unwritten()
    journal.handle_failure("No space left on device")
    assert journal.handle_synced() == 0 and journal.take_unwritten() == b""
    with pytest.raises(ValueError, match="has failed: No space left"):
        journal.add(VALUES[1])


def test_compacted_journal_continues_the_sequence():
    recovered = recover(encode_compacted([{"state": 1}], 3))
    journal = Journal(recovered.records[-1][0] + 1, True)
    assert recovered.records == [(3, {"state": 1})] and journal.add(["next"]) == 4


@pytest.mark.parametrize(
    "data, message", [(b"other\n", "byte 0"), (journal_bytes() + journal_bytes()[len(MAGIC) :], "record 1 follows 3")]
)
def test_invalid_journal_is_rejected_with_the_offset(data, message):
    with pytest.raises(MalformedError, match=message):
        recover(data)


@given(some.binary(max_size=60))
def test_arbitrary_bytes_raise_only_malformed(data):
    try:
        recover(MAGIC + data)
    except MalformedError:
        pass
