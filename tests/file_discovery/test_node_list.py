import pytest
from hypothesis import given
from hypothesis import strategies as some

from kestrelplank.file_discovery.node_list import format_node_list, parse_node_list
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.state.node_set import InvalidNodeSetError, ListedNode, NodeListEntry, NodeSet, assemble

TEXT = """# toronto and windsor
[list]
confirm = 3f9a21c4

[zone toronto]
order-4.toronto.example.org = 10.1.0.18:9000
order-5.toronto.example.org = 10.1.0.19:9000 weight 1.5 cell 3   # the new one

[zone windsor]
order-1.windsor.example.org = 10.2.0.1:9000 draining
# end 3 nodes
"""


def parse(text=TEXT, max_nodes=99, trailer_required=True):
    data = text.encode() if isinstance(text, str) else text
    return parse_node_list("n.ini", data, max_nodes=max_nodes, trailer_required=trailer_required)


def test_list_is_parsed_with_line_numbers():
    assert parse() == (
        "n.ini",
        (
            NodeListEntry("order-4.toronto.example.org", ListedNode("toronto", "10.1.0.18:9000"), 6),
            NodeListEntry("order-5.toronto.example.org", ListedNode("toronto", "10.1.0.19:9000", 1.5, False, 3), 7),
            NodeListEntry("order-1.windsor.example.org", ListedNode("windsor", "10.2.0.1:9000", 1.0, True), 10),
        ),
        "3f9a21c4",
    )


@pytest.mark.parametrize(
    "old, new, expected",
    [
        (
            "10.1.0.18:9000",
            "10.1.0.18",
            "line 6, [zone toronto], field order-4.toronto.example.org: expected an IPv4 address",
        ),
        ("10.1.0.18:9000", "", "line 6, [zone toronto], field order-4.toronto.example.org: an address is missing"),
        (
            "weight 1.5",
            "weight -1.5",
            "line 7, [zone toronto], field order-5.toronto.example.org: expected a number of 0 or more",
        ),
        ("weight 1.5", "weight nan", "expected a number of 0 or more, got 'nan'"),
        ("weight 1.5", "weight 1e9", "expected a weight of at most 1e+06"),
        ("weight 1.5", "weight", "line 7"),
        ("weight 1.5", "weigth 1.5", "expected weight W, cell N or draining, got 'weigth'"),
        ("cell 3", "weight 3", "duplicate attribute weight"),
        ("cell 3", "cell 3.5", "expected a whole number"),
        (
            "order-1.windsor.example.org =",
            "order 1 =",
            "line 10, [zone windsor], field order 1: 'order 1' is not a valid node name",
        ),
        ("[zone windsor]", "[zone wind sor]", "line 9, [zone wind sor]: 'wind sor' is not a valid zone name"),
        ("[zone windsor]", "[zon windsor]", "line 9: unknown section [zon windsor]"),
        (
            "order-5.toronto",
            "order-4.toronto",
            "line 7, [zone toronto]: duplicate field order-4.toronto.example.org",
        ),
        ("confirm", "confirms", "line 3, [list], field confirms: unknown field; did you mean confirm?"),
        ("# end 3 nodes\n", "", "line 10: the last line is not `# end N nodes`: the file may be truncated"),
        ("# end 3 nodes\n", "# end 3 nodes", "line 11: the last line is not"),
        ("# end 3", "# end 4", "line 11: the last line says 4 nodes, but 3 are listed"),
    ],
)
def test_invalid_list_is_refused_with_its_line_number(old, new, expected):
    assert old in TEXT
    with pytest.raises(InvalidSettingsError) as raised:
        parse(TEXT.replace(old, new, 1))
    assert expected in str(raised.value) and str(raised.value).startswith("n.ini")


@pytest.mark.parametrize(
    "data, expected",
    [
        ("", "the file is empty"),
        (" \n\n", "the file is empty"),
        (b"\xff", "expected UTF-8 text, but byte 0 is not valid"),
    ],
)
def test_a_file_without_text_is_refused(data, expected):
    with pytest.raises(InvalidSettingsError, match=expected):
        parse(data)


def test_too_many_nodes_are_refused():
    with pytest.raises(InvalidSettingsError, match="line 9, .zone windsor.: more than 2 nodes are listed"):
        parse(max_nodes=2)


def test_optional_trailer_must_be_correct_if_present():
    assert len(parse(TEXT.replace("# end 3 nodes\n", ""), trailer_required=False).entries) == 3
    with pytest.raises(InvalidSettingsError, match="the last line says 4 nodes"):
        parse(TEXT.replace("# end 3", "# end 4"), trailer_required=False)


def test_list_truncated_at_any_byte_is_refused_if_the_trailer_is_required():
    data = TEXT.encode()
    for cut in range(len(data)):
        with pytest.raises(InvalidSettingsError):
            parse(data[:cut])


def test_one_node_in_two_zones_of_one_file_is_refused_with_both_lines():
    with pytest.raises(
        InvalidNodeSetError,
        match="n.ini, line 10: order-4.toronto.example.org stands in zone windsor and in zone toronto .n.ini, line 6.",
    ):
        assemble([parse(TEXT.replace("order-1.windsor", "order-4.toronto"))])


names = some.from_regex(r"[a-z][a-z0-9-]{0,5}[a-z0-9](\.[a-z]{2,4})?", fullmatch=True)
sets = some.dictionaries(
    names,
    some.builds(
        ListedNode,
        names,
        some.integers(0, 65535).map(lambda port: f"10.0.0.1:{port}"),
        some.floats(0, 1e6),
        some.booleans(),
        some.one_of(some.none(), some.integers(0, 10**6)),
    ),
    min_size=1,
    max_size=8,
).map(NodeSet)


@given(sets)
def test_formatted_node_set_parses_to_the_same_set(node_set):
    entries = parse(format_node_list(node_set)).entries
    assert NodeSet({entry.name: entry.listed for entry in entries}) == node_set and len(entries) == len(node_set)


@given(some.binary(max_size=80))
def test_arbitrary_bytes_raise_only_invalid_settings_errors(data):
    try:
        parse(data, trailer_required=False)
    except InvalidSettingsError as err:
        assert "\n" not in str(err)
