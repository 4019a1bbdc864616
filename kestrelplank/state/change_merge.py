"""Differences, merges and undos of changes whose content maps each node to its attributes."""

from collections.abc import Mapping

from kestrelplank.state.change_leader import StaleChangeError


def changed_keys(base: Mapping[str, object], new: Mapping[str, object]) -> dict[str, object]:
    """Return the keys whose values differ between `base` and `new`: key to new value, None if removed."""
    changed = {key: value for key, value in new.items() if base.get(key) != value}
    removed = {key: None for key in base if key not in new}
    return dict(sorted((changed | removed).items()))


def merge(base: Mapping[str, object], current: Mapping[str, object], new: Mapping[str, object]) -> dict[str, object]:
    """Three-way merge: apply the change from `base` to `new` to `current`.

    :raises StaleChangeError: both sides changed a key to different values; the text names the keys.
    """
    current_changes, new_changes = changed_keys(base, current), changed_keys(base, new)
    conflicts = [key for key in new_changes if key in current_changes and new_changes[key] != current_changes[key]]
    if conflicts:
        raise StaleChangeError(f"keys changed to other values since the base version: {', '.join(map(str, conflicts))}")
    merged = dict(current)
    for key, value in new_changes.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = value
    return merged


def undo(before: Mapping[str, object], closed: Mapping[str, object]) -> tuple[dict[str, object], list[str]]:
    """Return the content that undoes a change, and the nodes that stay closed in it.

    The content is `before`, except that nodes which now drain or are withdrawn keep their current value.

    :param closed: the current value of each such node.
    """
    content, kept_closed = dict(before), []
    for node in sorted(closed):
        if content.get(node) != closed[node]:
            content[node] = closed[node]
            kept_closed.append(node)
    return content, kept_closed
