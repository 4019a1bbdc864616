import pytest

from kestrelplank.interface import NodeEntry
from kestrelplank.state.node_list_merge import NodeListMerge, NodeSource


def entry(node, condition="up", zone=0, weight=1.0, boot=None):
    return NodeEntry(node, condition, zone, None, weight, boot)


@pytest.mark.parametrize(
    "files, discovery, holds",
    [
        (entry(1), entry(1, "draining"), "draining"),
        (entry(1), entry(1, "removed"), "removed"),
        (entry(1, "draining"), entry(1), "draining"),
        (entry(1), entry(1), "up"),
        (entry(1), None, "up"),
    ],
)
@pytest.mark.parametrize("files_first", [True, False])
def test_where_files_are_the_authority_discovery_may_only_take_away(files, discovery, holds, files_first):
    merge, told = NodeListMerge(NodeSource.FILES), {}
    for side, listed in (
        ((NodeSource.FILES, files), (NodeSource.DISCOVERY, discovery))
        if files_first
        else ((NodeSource.DISCOVERY, discovery), (NodeSource.FILES, files))
    ):
        told.update({entry[0]: entry for entry in merge.update(side, "full", [listed] if listed else [])[1]})
    assert told.get(1, entry(1, "removed"))[1] == holds  # who is gone need not stand in a whole list


def test_zone_and_weight_are_the_authoritys_and_the_later_start_counts():
    merge = NodeListMerge(NodeSource.FILES)
    merge.update(NodeSource.FILES, "full", [entry(1, zone=0, weight=2.0, boot=5)])
    assert merge.update(NodeSource.DISCOVERY, "delta", [entry(1, zone=1, weight=9.0, boot=7)]) == (
        "delta",
        [entry(1, zone=0, weight=2.0, boot=7)],
    )
    assert merge.update(NodeSource.DISCOVERY, "delta", [entry(1, zone=1, weight=9.0, boot=3)])[1] == [
        entry(1, zone=0, weight=2.0, boot=5)
    ]


def test_what_the_authority_does_not_list_is_not_told_and_is_gone_once_it_is_dropped():
    merge = NodeListMerge(NodeSource.DISCOVERY)
    assert merge.update(NodeSource.FILES, "full", [entry(1), entry(2)]) == ("delta", [])
    assert merge.update(NodeSource.DISCOVERY, "cached", [entry(1), entry(3)]) == ("cached", [entry(1), entry(3)])
    assert merge.update(NodeSource.DISCOVERY, "full", [entry(3)]) == ("full", [entry(3)])
    assert merge.update(NodeSource.DISCOVERY, "full", [entry(1), entry(3)]) == ("full", [entry(1), entry(3)])
    assert merge.update(NodeSource.DISCOVERY, "delta", [entry(3, "removed")]) == ("delta", [entry(3, "removed")])


def test_a_whole_list_of_the_other_that_lacks_a_node_takes_it_away():
    merge = NodeListMerge(NodeSource.FILES)
    merge.update(NodeSource.FILES, "full", [entry(1), entry(2)])
    merge.update(NodeSource.DISCOVERY, "full", [entry(1), entry(2)])
    assert merge.update(NodeSource.DISCOVERY, "full", [entry(2)]) == ("delta", [entry(1, "removed")])


def test_what_changes_nothing_is_not_told_again_and_what_was_forgotten_is():
    merge = NodeListMerge(NodeSource.FILES)
    merge.update(NodeSource.FILES, "full", [entry(1)])
    assert merge.update(NodeSource.FILES, "delta", [entry(1)]) == ("delta", [])
    merge.forget(1)
    assert merge.update(NodeSource.FILES, "delta", [entry(1)]) == ("delta", [entry(1)])
