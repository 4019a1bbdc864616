"""Contents of changes put together, and undone."""

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.change_leader import StaleChangeError
from kestrelplank.state.change_merge import changed_keys, merge, undo

contents = some.dictionaries(some.sampled_from("abcde"), some.integers(1, 3), max_size=5)


@given(contents, contents, contents)
def test_a_merge_has_both_changes_or_is_refused_by_name(base, current, new):
    theirs, mine = changed_keys(base, current), changed_keys(base, new)
    clash = sorted(key for key in mine if key in theirs and mine[key] != theirs[key])
    try:
        found = merge(base, current, new)
    except StaleChangeError as err:
        assert clash and str(err).endswith(", ".join(clash))
        return
    assert not clash and changed_keys(base, found) == dict(sorted((theirs | mine).items()))


@given(contents, some.dictionaries(some.sampled_from("abcde"), some.just(0), max_size=3))
def test_an_undo_brings_back_what_was_but_for_what_is_closed(before, closed):
    found, stays = undo(before, closed)
    for node in "abcde":
        assert found.get(node) == (closed[node] if node in closed else before.get(node))
    assert stays == sorted(closed)
