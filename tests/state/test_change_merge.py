"""Merges and undos must keep all changes or report the conflict."""

from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.state.change_leader import StaleChangeError
from kestrelplank.state.change_merge import changed_keys, merge, undo

contents = some.dictionaries(some.sampled_from("abcde"), some.integers(1, 3), max_size=5)


@given(contents, contents, contents)
def test_merge_contains_both_changes_or_fails_with_the_conflicting_keys(base, current, new):
    current_changes, new_changes = changed_keys(base, current), changed_keys(base, new)
    conflicts = sorted(
        key for key in new_changes if key in current_changes and new_changes[key] != current_changes[key]
    )
    try:
        merged = merge(base, current, new)
    except StaleChangeError as err:
        assert conflicts and str(err).endswith(", ".join(conflicts))
        return
    assert not conflicts and changed_keys(base, merged) == dict(sorted((current_changes | new_changes).items()))


@given(contents, some.dictionaries(some.sampled_from("abcde"), some.just(0), max_size=3))
def test_undo_restores_the_former_content_except_for_closed_nodes(before, closed):
    content, kept_closed = undo(before, closed)
    for node in "abcde":
        assert content.get(node) == (closed[node] if node in closed else before.get(node))
    assert kept_closed == sorted(closed)
