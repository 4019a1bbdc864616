"""Parses and formats a node list, a file that lists some or all nodes of a set.

[list]
confirm = 3f9a21c4          # confirms a large change: hash of the set in force that this list may replace

[zone toronto]
order-4.toronto.example.org = 10.1.0.18:9000
order-5.toronto.example.org = 10.1.0.19:9000 weight 1.5 cell 3
order-6.toronto.example.org = 10.1.0.20:9000 draining
# end 3 nodes
"""

import re

from msgspec import Struct

from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import parse_count, parse_number
from kestrelplank.settings.ini_syntax import Section
from kestrelplank.sockets.connection import address as check_address
from kestrelplank.state.node_set import ListedNode, NodeList, NodeListEntry, NodeSet

NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9])?", re.ASCII)
TRAILER = re.compile(r"#\s*end (\d{1,9}) nodes?\s*")
MAX_WEIGHT = 1e6
MAX_QUOTED_NAME_LENGTH = 60  # characters of an invalid name quoted in a message


class ListHeader(Struct):
    """The section [list]: `confirm` is the hash of the set in force that the list may replace."""

    confirm: str = ""


def parse_node_list(path: str, data: bytes, *, max_nodes: int, trailer_required: bool) -> NodeList:
    """Return the node list in a file's bytes.

    :param path: the file's path, for messages.
    :param trailer_required: whether the last line must be `# end N nodes`, which detects truncation. A trailer that is
        present must be correct in any case.
    :raises InvalidSettingsError: the list is invalid; the message names file and line.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as err:
        raise InvalidSettingsError(f"expected UTF-8 text, but byte {err.start} is not valid", file=path) from None
    if not text.strip():
        raise InvalidSettingsError("the file is empty", file=path)
    ini = IniFile(path, text)
    header = ini.read_section("list", ListHeader)
    entries = _parse_zones(ini, max_nodes)
    ini.reject_unread_sections()
    _check_trailer(path, text, len(entries), trailer_required=trailer_required)
    return NodeList(path, tuple(entries), header.confirm)


def _parse_zones(ini: IniFile, max_nodes: int) -> list[NodeListEntry]:
    """Return the nodes of all zones in file order."""
    entries: list[NodeListEntry] = []
    for section in ini.named_sections("zone"):
        if not NAME.fullmatch(section.name):
            raise ini.error(section, None, f"{section.name[:MAX_QUOTED_NAME_LENGTH]!r} is not a valid zone name")
        entries += [_parse_node(ini, section, name) for name in section.fields]
        if len(entries) > max_nodes:
            raise ini.error(section, None, f"more than {max_nodes} nodes are listed")
    return entries


def _parse_node(ini: IniFile, section: Section, name: str) -> NodeListEntry:
    """Parse a node's line: an address, followed by `weight W`, `cell N` and `draining` in any order."""
    text, line = section.fields[name]
    try:
        if not NAME.fullmatch(name):
            raise ValueError(f"{name[:MAX_QUOTED_NAME_LENGTH]!r} is not a valid node name")
        address, *words = text.split()
        check_address(address)
        return NodeListEntry(name, _with_attributes(ListedNode(section.name, address), words), line)
    except ValueError as err:
        raise ini.error(section, name, str(err) if text.strip() else "an address is missing") from None


def _with_attributes(listed: ListedNode, words: list[str]) -> ListedNode:
    """Return a node with the attributes that follow its address.

    :raises ValueError: an attribute is invalid or duplicate.
    """
    seen: set[str] = set()
    remaining = iter(words)
    for word in remaining:
        if word in seen:
            raise ValueError(f"duplicate attribute {word}")
        seen.add(word)
        value = next(remaining, None) if word in ("weight", "cell") else None
        if word == "draining":
            listed = listed._replace(draining=True)
        elif word == "weight" and value is not None:
            listed = listed._replace(weight=parse_number(value))
        elif word == "cell" and value is not None:
            listed = listed._replace(cell=parse_count(value))
        else:
            raise ValueError(f"expected weight W, cell N or draining, got {word!r}")
    if listed.weight > MAX_WEIGHT:
        raise ValueError(f"expected a weight of at most {MAX_WEIGHT:g}")
    return listed


def _check_trailer(path: str, text: str, listed: int, *, trailer_required: bool) -> None:
    """Check the trailer.

    :param listed: number of nodes in the list.
    :raises InvalidSettingsError: the trailer's number is wrong, or a required trailer is missing.
    """
    rows = text.rstrip().splitlines()
    trailer = TRAILER.fullmatch(rows[-1])
    if trailer_required and not (trailer and text.endswith("\n")):
        reason = "the last line is not `# end N nodes`: the file may be truncated"
        raise InvalidSettingsError(reason, file=path, line=len(rows))
    if trailer and int(trailer[1]) != listed:
        reason = f"the last line says {trailer[1]} nodes, but {listed} are listed"
        raise InvalidSettingsError(reason, file=path, line=len(rows))


def format_node_list(nodes: NodeSet) -> str:
    """Return the text of a node list, with a trailer, that parses to this set."""
    rows: list[str] = []
    zone = None
    for name, listed in sorted(nodes.nodes.items(), key=lambda item: (item[1].zone, item[0])):
        if listed.zone != zone:
            rows += [""] * bool(rows) + [f"[zone {listed.zone}]"]
            zone = listed.zone
        weight = "" if listed.weight == 1.0 else f" weight {listed.weight!r}"
        cell = "" if listed.cell is None else f" cell {listed.cell}"
        rows.append(f"{name} = {listed.address}{weight}{cell}{' draining' if listed.draining else ''}")
    return "\n".join([*rows, f"# end {len(nodes)} nodes"]) + "\n"
