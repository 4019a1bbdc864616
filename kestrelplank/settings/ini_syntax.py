"""The form of an INI file: sections and fields as text, each with the line that it stands on."""

import configparser
from dataclasses import dataclass, field
from typing import NamedTuple

from kestrelplank.settings.errors import InvalidSettingsError

LONGEST_QUOTED_TEXT = 60  # characters of a wrong line that a message repeats


class FieldText(NamedTuple):
    """A field as it is written; `line` counts from 1."""

    text: str
    line: int


@dataclass(slots=True, eq=False)
class Section:
    """A section as it is written: `[fault first]` is of the kind `fault` and has the name `first`."""

    kind: str
    name: str
    line: int
    fields: dict[str, FieldText] = field(default_factory=dict)

    def __str__(self) -> str:
        return f"[{self.kind} {self.name}]" if self.name else f"[{self.kind}]"


def parse_sections(path: str, text: str) -> list[Section]:
    """Return the sections of an INI file in their order.

    :param path: the file's path, for messages.
    :raises InvalidSettingsError: the text is no INI file, or a section or field stands twice.
    """
    parser = _parsed(path, text)
    sections: list[Section] = []
    for line, source in enumerate(text.splitlines(), 1):  # configparser keeps no lines, so these are found again
        header = parser.SECTCRE.match(source)
        if header and header["header"] in parser:
            kind, _, name = header["header"].partition(" ")
            sections.append(Section(kind, name.strip(), line))
        elif sections:
            _add_field(sections[-1], parser, line, source)
    return sections


def _parsed(path: str, text: str) -> configparser.RawConfigParser:
    """Return the file as the standard library reads it."""
    parser = configparser.RawConfigParser(
        delimiters=("=",), inline_comment_prefixes=("#",), default_section="", empty_lines_in_values=False
    )
    parser.optionxform = str.strip  # type: ignore[assignment, method-assign] # the documented way to keep capitals
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as err:
        raise InvalidSettingsError("a field before the first section", file=path, line=err.lineno) from None
    except configparser.DuplicateOptionError as err:
        reason = f"the field {err.option} stands twice"
        raise InvalidSettingsError(reason, file=path, line=err.lineno, section=f"[{err.section}]") from None
    except configparser.DuplicateSectionError as err:
        reason = "the section stands twice"
        raise InvalidSettingsError(reason, file=path, line=err.lineno, section=f"[{err.section}]") from None
    except configparser.ParsingError as err:
        line, source = err.errors[0]
        reason = f"neither a section nor a field: {source[:LONGEST_QUOTED_TEXT]}"
        raise InvalidSettingsError(reason, file=path, line=line) from None
    return parser


def _add_field(section: Section, parser: configparser.RawConfigParser, line: int, source: str) -> None:
    """Add the field that begins on this line to its section, if one does."""
    name, delimiter, _ = source.partition("=")
    name, title = name.strip(), f"{section.kind} {section.name}".strip()
    if delimiter and not source[:1].isspace() and title in parser and name in parser[title]:
        section.fields.setdefault(name, FieldText(parser[title][name], line))
