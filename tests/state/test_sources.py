import pytest

from kestrelplank.state.sources import DISCOVERY, FILES, Blend


def entry(node, condition="up", zone=0, weight=1.0, boot=None):
    return (node, condition, zone, None, weight, boot)


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
    blend, told = Blend(FILES), {}
    for side, listed in (
        ((FILES, files), (DISCOVERY, discovery)) if files_first else ((DISCOVERY, discovery), (FILES, files))
    ):
        told.update({entry[0]: entry for entry in blend.take(side, "full", [listed] if listed else [])[1]})
    assert told.get(1, entry(1, "removed"))[1] == holds  # who is gone need not stand in a whole list


def test_zone_and_weight_are_the_authoritys_and_the_later_start_counts():
    blend = Blend(FILES)
    blend.take(FILES, "full", [entry(1, zone=0, weight=2.0, boot=5)])
    assert blend.take(DISCOVERY, "delta", [entry(1, zone=1, weight=9.0, boot=7)]) == (
        "delta",
        [entry(1, zone=0, weight=2.0, boot=7)],
    )
    assert blend.take(DISCOVERY, "delta", [entry(1, zone=1, weight=9.0, boot=3)])[1] == [
        entry(1, zone=0, weight=2.0, boot=5)
    ]


def test_what_the_authority_does_not_list_is_not_told_and_is_gone_once_it_is_dropped():
    blend = Blend(DISCOVERY)
    assert blend.take(FILES, "full", [entry(1), entry(2)]) == ("delta", [])
    assert blend.take(DISCOVERY, "cached", [entry(1), entry(3)]) == ("cached", [entry(1), entry(3)])
    assert blend.take(DISCOVERY, "full", [entry(3)]) == ("full", [entry(3)])
    assert blend.take(DISCOVERY, "full", [entry(1), entry(3)]) == ("full", [entry(1), entry(3)])
    assert blend.take(DISCOVERY, "delta", [entry(3, "removed")]) == ("delta", [entry(3, "removed")])


def test_a_whole_list_of_the_other_that_lacks_a_node_takes_it_away():
    blend = Blend(FILES)
    blend.take(FILES, "full", [entry(1), entry(2)])
    blend.take(DISCOVERY, "full", [entry(1), entry(2)])
    assert blend.take(DISCOVERY, "full", [entry(2)]) == ("delta", [entry(1, "removed")])


def test_what_changes_nothing_is_not_told_again_and_what_was_forgotten_is():
    blend = Blend(FILES)
    blend.take(FILES, "full", [entry(1)])
    assert blend.take(FILES, "delta", [entry(1)]) == ("delta", [])
    blend.forget(1)
    assert blend.take(FILES, "delta", [entry(1)]) == ("delta", [entry(1)])
