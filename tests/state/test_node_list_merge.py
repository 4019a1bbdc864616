import pytest

from kestrelplank.interface import NodeEntry
from kestrelplank.state.node_list_merge import NodeListMerge, NodeSource


def entry(node, condition="up", zone=0, weight=1.0, boot=None):
    return NodeEntry(node, condition, zone, None, weight, boot)


@pytest.mark.parametrize(
    "files, discovery, expected",
    [
        (entry(1), entry(1, "draining"), "draining"),
        (entry(1), entry(1, "removed"), "removed"),
        (entry(1, "draining"), entry(1), "draining"),
        (entry(1), entry(1), "up"),
        (entry(1), None, "up"),
    ],
)
@pytest.mark.parametrize("files_first", [True, False])
def test_discovery_can_only_worsen_a_condition_if_files_are_the_authority(files, discovery, expected, files_first):
    merge, reported = NodeListMerge(NodeSource.FILES), {}
    for source, listed in (
        ((NodeSource.FILES, files), (NodeSource.DISCOVERY, discovery))
        if files_first
        else ((NodeSource.DISCOVERY, discovery), (NodeSource.FILES, files))
    ):
        reported.update({entry[0]: entry for entry in merge.update(source, "full", [listed] if listed else [])[1]})
    assert reported.get(1, entry(1, "removed"))[1] == expected  # a complete list may omit a removed node


def test_authority_decides_zone_and_weight_and_the_later_start_counts():
    merge = NodeListMerge(NodeSource.FILES)
    merge.update(NodeSource.FILES, "full", [entry(1, zone=0, weight=2.0, boot=5)])
    assert merge.update(NodeSource.DISCOVERY, "delta", [entry(1, zone=1, weight=9.0, boot=7)]) == (
        "delta",
        [entry(1, zone=0, weight=2.0, boot=7)],
    )
    assert merge.update(NodeSource.DISCOVERY, "delta", [entry(1, zone=1, weight=9.0, boot=3)])[1] == [
        entry(1, zone=0, weight=2.0, boot=5)
    ]


def test_node_not_listed_by_the_authority_is_not_reported_or_is_removed():
    merge = NodeListMerge(NodeSource.DISCOVERY)
    assert merge.update(NodeSource.FILES, "full", [entry(1), entry(2)]) == ("delta", [])
    assert merge.update(NodeSource.DISCOVERY, "cached", [entry(1), entry(3)]) == ("cached", [entry(1), entry(3)])
    assert merge.update(NodeSource.DISCOVERY, "full", [entry(3)]) == ("full", [entry(3)])
    assert merge.update(NodeSource.DISCOVERY, "full", [entry(1), entry(3)]) == ("full", [entry(1), entry(3)])
    assert merge.update(NodeSource.DISCOVERY, "delta", [entry(3, "removed")]) == ("delta", [entry(3, "removed")])


def test_node_missing_from_a_complete_list_of_the_other_source_is_removed():
    merge = NodeListMerge(NodeSource.FILES)
    merge.update(NodeSource.FILES, "full", [entry(1), entry(2)])
    merge.update(NodeSource.DISCOVERY, "full", [entry(1), entry(2)])
    assert merge.update(NodeSource.DISCOVERY, "full", [entry(2)]) == ("delta", [entry(1, "removed")])


def test_unchanged_entry_is_not_reported_again_until_it_is_forgotten():
    merge = NodeListMerge(NodeSource.FILES)
    merge.update(NodeSource.FILES, "full", [entry(1)])
    assert merge.update(NodeSource.FILES, "delta", [entry(1)]) == ("delta", [])
    merge.forget(1)
    assert merge.update(NodeSource.FILES, "delta", [entry(1)]) == ("delta", [entry(1)])
