"""Syntax of INI files: sections and fields as text, each with its line number."""

import configparser
from dataclasses import dataclass, field
from typing import NamedTuple

from kestrelplank.settings.errors import InvalidSettingsError

MAX_QUOTED_CHARS = 60  # of an invalid line in an error message


class FieldText(NamedTuple):
    """The text of a field and its line, counted from 1."""

    text: str
    line: int


@dataclass(slots=True, eq=False)
class Section:
    """The text of a section: `[fault first]` has the kind `fault` and the name `first`."""

    kind: str
    name: str
    line: int
    fields: dict[str, FieldText] = field(default_factory=dict)

    def __str__(self) -> str:
        return f"[{self.kind} {self.name}]" if self.name else f"[{self.kind}]"


def parse_sections(path: str, text: str) -> list[Section]:
    """Return the sections of an INI file in the order of the file.

    :param path: the file's path, for error messages.
    :raises InvalidSettingsError: the text is not a valid INI file, or it has a duplicate section or field.
    """
    parser = _parsed(path, text)
    sections: list[Section] = []
    for line, source in enumerate(text.splitlines(), 1):  # configparser does not keep line numbers
        header = parser.SECTCRE.match(source)
        if header and header["header"] in parser:
            kind, _, name = header["header"].partition(" ")
            sections.append(Section(kind, name.strip(), line))
        elif sections:
            _add_field(sections[-1], parser, line, source)
    return sections


def _parsed(path: str, text: str) -> configparser.RawConfigParser:
    """Parse the file with the standard library."""
    parser = configparser.RawConfigParser(
        delimiters=("=",), inline_comment_prefixes=("#",), default_section="", empty_lines_in_values=False
    )
    parser.optionxform = str.strip  # type: ignore[assignment, method-assign] # the documented way to keep the case of keys
    try:
        parser.read_string(text)
    except configparser.MissingSectionHeaderError as err:
        raise InvalidSettingsError(
            "field before the first section, expected [SECTION]", file=path, line=err.lineno
        ) from None
    except configparser.DuplicateOptionError as err:
        reason = f"duplicate field {err.option}"
        raise InvalidSettingsError(reason, file=path, line=err.lineno, section=f"[{err.section}]") from None
    except configparser.DuplicateSectionError as err:
        reason = "duplicate section"
        raise InvalidSettingsError(reason, file=path, line=err.lineno, section=f"[{err.section}]") from None
    except configparser.ParsingError as err:
        line, source = err.errors[0]
        reason = f"neither a section nor a field: {source[:MAX_QUOTED_CHARS]}"
        raise InvalidSettingsError(reason, file=path, line=line) from None
    return parser


def _add_field(section: Section, parser: configparser.RawConfigParser, line: int, source: str) -> None:
    """Add the field that starts on this line, if there is one, to the section."""
    name, delimiter, _ = source.partition("=")
    name, title = name.strip(), f"{section.kind} {section.name}".strip()
    if delimiter and not source[:1].isspace() and title in parser and name in parser[title]:
        section.fields.setdefault(name, FieldText(parser[title][name], line))
