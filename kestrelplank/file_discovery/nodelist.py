"""A node list in a file: its text to a checked part, and back.

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
from kestrelplank.sockets.connection import address
from kestrelplank.state.nodeset import Line, Listed, NodeSet, Part

NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,251}[A-Za-z0-9])?", re.ASCII)
END = re.compile(r"#\s*end (\d{1,9}) nodes?\s*")
LARGEST_WEIGHT = 1e6


class Head(Struct):
    confirm: str = ""


def node(ini: IniFile, section: Section, name: str) -> Line:
    """One line of a zone: address, and after it `weight W`, `cell N` and `draining` in any order."""
    text, line = section.fields[name]
    try:
        if not NAME.fullmatch(name):
            raise ValueError(f"{name[:60]!r} is no name for a node")
        at, *words = text.split()
        address(at)
        found: dict[str, object] = {}
        while words:
            word = words.pop(0)
            if word in found:
                raise ValueError(f"{word} stands twice")
            if word == "draining":
                found[word] = True
            elif word in ("weight", "cell") and words:
                found[word] = (parse_number if word == "weight" else parse_count)(words.pop(0))
            else:
                raise ValueError(f"expected weight W, cell N or draining, got {word!r}")
        if found.get("weight", 0.0) > LARGEST_WEIGHT:
            raise ValueError(f"a weight is at most {LARGEST_WEIGHT:g}")
    except ValueError as err:
        raise ini.error(section, name, str(err) if text.strip() else "an address is missing") from None
    return Line(name, Listed(section.name, at, **found), line)


def read(path: str, data: bytes, most_nodes: int, trailer: bool) -> Part:
    """The part that a file's bytes make. Raises InvalidSettingsError, naming file and line. `trailer`: the last line
    must be `# end N nodes`, which proves that nothing is missing; where one stands it must be true in any case."""
    try:
        text = data.decode()
    except UnicodeDecodeError as err:
        raise InvalidSettingsError(f"{path}: not text: byte {err.start} is no UTF-8") from None
    rows = text.rstrip().splitlines()
    if not rows:
        raise InvalidSettingsError(f"{path}: the file is empty")
    ini, lines = IniFile(path, text), []
    head = ini.read_section("list", Head)
    for section in ini.named_sections("zone"):
        if not NAME.fullmatch(section.name):
            raise ini.error(section, None, f"{section.name[:60]!r} is no name for a zone")
        lines += [node(ini, section, name) for name in section.fields]
        if len(lines) > most_nodes:
            raise ini.error(section, None, f"more than {most_nodes} nodes are listed")
    ini.reject_unread_sections()
    end = END.fullmatch(rows[-1])
    if trailer and not (end and text.endswith("\n")):
        raise InvalidSettingsError(
            f"{path}, line {len(rows)}: the last line is not `# end N nodes`: the file may be cut short"
        )
    if end and int(end[1]) != len(lines):
        raise InvalidSettingsError(
            f"{path}, line {len(rows)}: {end[1]} nodes are announced and {len(lines)} are listed"
        )
    return Part(path, tuple(lines), head.confirm)


def written(nodes: NodeSet) -> str:
    """The text of a list that is read back as that set, with its trailer."""
    rows, zone = [], None
    for name, listed in sorted(nodes.nodes.items(), key=lambda item: (item[1].zone, item[0])):
        if listed.zone != zone:
            rows += [""] * bool(rows) + [f"[zone {listed.zone}]"]
            zone = listed.zone
        more = "" if listed.weight == 1.0 else f" weight {listed.weight!r}"
        more += "" if listed.cell is None else f" cell {listed.cell}"
        rows.append(f"{name} = {listed.address}{more}{' draining' if listed.draining else ''}")
    return "\n".join([*rows, f"# end {len(nodes)} nodes"]) + "\n"
