"""The holder of each key after changes of key ranges."""

from random import Random

from kestrelplank.transport.key_range_table import KeyRangeTable
from kestrelplank.transport.messages import KeyRangesVersion, RangeHolder


def test_changed_ranges_replace_exactly_their_own_keys():
    random = Random(7)
    for _ in range(300):

        def random_ranges(max_ranges, name):
            ends = sorted(random.sample(range(40), random.randrange(1, max_ranges)))
            return [RangeHolder(first, last - 1, f"{name}{first}", "") for first, last in zip([0, *ends], [*ends, 40])]

        old = KeyRangeTable(KeyRangesVersion(1, 1), random_ranges(9, "old"))
        changes = [key_range for key_range in random_ranges(12, "new") if random.random() < 0.4]
        new = old.updated(KeyRangesVersion(1, 2), changes)
        assert [key_range.first for key_range in new.key_ranges] == [
            0,
            *(key_range.last + 1 for key_range in new.key_ranges[:-1]),
        ]
        for key in range(40):
            expected = next(
                (key_range for key_range in changes if key_range.first <= key <= key_range.last), old.holder_of(key)
            )
            assert new.holder_of(key).server == expected.server
