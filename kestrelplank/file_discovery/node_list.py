"""A node list in a file: its text to a checked part of a set, and back.

[list]
confirm = 3f9a21c4          # the set in force that this replaces, where much of it goes

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
from kestrelplank.state.nodeset import Line, Listed, NodeSet, Part

NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9])?", re.ASCII)
TRAILER = re.compile(r"#\s*end (\d{1,9}) nodes?\s*")
LARGEST_WEIGHT = 1e6
LONGEST_QUOTED_NAME = 60  # characters of a wrong name that a message repeats


class ListHeader(Struct):
    """[list]: `confirm` is the hash of the set that the list means to replace."""

    confirm: str = ""


def parse_node_list(path: str, data: bytes, *, max_nodes: int, trailer_required: bool) -> Part:
    """Return what a file's bytes list.

    :param path: the file's path, for messages.
    :param trailer_required: the last line must be `# end N nodes`, which proves that nothing is missing; where there
        is one it must be true in any case.
    :raises InvalidSettingsError: it is no valid list; file and line are named.
    """
    try:
        text = data.decode()
    except UnicodeDecodeError as err:
        raise InvalidSettingsError(f"not text: byte {err.start} is no UTF-8", file=path) from None
    if not text.strip():
        raise InvalidSettingsError("the file is empty", file=path)
    ini = IniFile(path, text)
    header = ini.read_section("list", ListHeader)
    lines = _parse_zones(ini, max_nodes)
    ini.reject_unread_sections()
    _check_trailer(path, text, len(lines), trailer_required=trailer_required)
    return Part(path, tuple(lines), header.confirm)


def _parse_zones(ini: IniFile, max_nodes: int) -> list[Line]:
    """Return the nodes of all zones in the order of the file."""
    lines: list[Line] = []
    for section in ini.named_sections("zone"):
        if not NAME.fullmatch(section.name):
            raise ini.error(section, None, f"{section.name[:LONGEST_QUOTED_NAME]!r} is no name for a zone")
        lines += [_parse_node(ini, section, name) for name in section.fields]
        if len(lines) > max_nodes:
            raise ini.error(section, None, f"more than {max_nodes} nodes are listed")
    return lines


def _parse_node(ini: IniFile, section: Section, name: str) -> Line:
    """Return one line of a zone: an address, and after it `weight W`, `cell N` and `draining` in any order."""
    text, line = section.fields[name]
    try:
        if not NAME.fullmatch(name):
            raise ValueError(f"{name[:LONGEST_QUOTED_NAME]!r} is no name for a node")
        address, *words = text.split()
        check_address(address)
        return Line(name, _with_attributes(Listed(section.name, address), words), line)
    except ValueError as err:
        raise ini.error(section, name, str(err) if text.strip() else "an address is missing") from None


def _with_attributes(listed: Listed, words: list[str]) -> Listed:
    """Return a node with what the words after its address say; raises ValueError where they say nothing."""
    seen: set[str] = set()
    remaining = iter(words)
    for word in remaining:
        if word in seen:
            raise ValueError(f"{word} stands twice")
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
    if listed.weight > LARGEST_WEIGHT:
        raise ValueError(f"a weight is at most {LARGEST_WEIGHT:g}")
    return listed


def _check_trailer(path: str, text: str, listed: int, *, trailer_required: bool) -> None:
    """Raise InvalidSettingsError where the last line counts other nodes, or does not count them and must.

    :param listed: how many nodes are listed.
    """
    rows = text.rstrip().splitlines()
    trailer = TRAILER.fullmatch(rows[-1])
    if trailer_required and not (trailer and text.endswith("\n")):
        reason = "the last line is not `# end N nodes`: the file may be cut short"
        raise InvalidSettingsError(reason, file=path, line=len(rows))
    if trailer and int(trailer[1]) != listed:
        reason = f"{trailer[1]} nodes are announced and {listed} are listed"
        raise InvalidSettingsError(reason, file=path, line=len(rows))


def format_node_list(nodes: NodeSet) -> str:
    """Return the text of a list that is read back as that set, with its trailer."""
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
