"""Contents of changes that are mappings, a node to what is said of it: differences, merges and undos."""

from collections.abc import Mapping

from kestrelplank.state.change_leader import StaleChangeError


def changed_keys(base: Mapping[str, object], new: Mapping[str, object]) -> dict[str, object]:
    """Return what `new` changes of `base`: key to its new value, None where it is removed."""
    changed = {key: value for key, value in new.items() if base.get(key) != value}
    removed = {key: None for key in base if key not in new}
    return dict(sorted((changed | removed).items()))


def merge(base: Mapping[str, object], current: Mapping[str, object], new: Mapping[str, object]) -> dict[str, object]:
    """Apply a change made from `base` to `current`, which others have changed meanwhile.

    :raises StaleChangeError: both change the same key otherwise; the text names the keys.
    """
    theirs, ours = changed_keys(base, current), changed_keys(base, new)
    conflicts = [key for key in ours if key in theirs and ours[key] != theirs[key]]
    if conflicts:
        raise StaleChangeError(f"changed by others meanwhile: {', '.join(map(str, conflicts))}")
    merged = dict(current)
    for key, value in ours.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = value
    return merged


def undo(before: Mapping[str, object], closed: Mapping[str, object]) -> tuple[dict[str, object], list[str]]:
    """Return the content that an undo makes, and the nodes that stay closed in it.

    It is `before`, but with every node that drains or was withdrawn since left as it is.

    :param closed: those nodes, to what is said of them now.
    """
    content, kept_closed = dict(before), []
    for node in sorted(closed):
        if content.get(node) != closed[node]:
            content[node] = closed[node]
            kept_closed.append(node)
    return content, kept_closed
