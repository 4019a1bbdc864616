"""The one reader of INI files: sections as msgspec structs, whose fields are of the types of `ini_fields`.

`IniFile(path, text)` parses a file; `read_section` and `read_named_sections` take its sections;
`reject_unread_sections` refuses what nobody asked for. All that is wrong raises InvalidSettingsError.
"""

import difflib
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec

from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini_fields import reader_of
from kestrelplank.settings.ini_syntax import Section, parse_sections

Struct = TypeVar("Struct", bound=msgspec.Struct)
LEAST_LIKENESS = 0.6  # from which a name is proposed in place of one that is not known


class FieldOrigin(NamedTuple):
    """A field that was read, and where its value came from: `line 4`, or `default`."""

    section: str
    field: str
    value: object
    origin: str


class IniFile:
    """An INI file, and which of its sections have been read.

    :param path: the file's path, for messages.
    :raises InvalidSettingsError: the text is no INI file.
    """

    def __init__(self, path: str, text: str) -> None:
        self.path = path
        self.origins: list[FieldOrigin] = []  # in the order in which fields were read
        self.sections = parse_sections(path, text)
        self._unread = list(self.sections)
        self._known_titles: dict[str, None] = {}

    @classmethod
    def load(cls, path: str) -> "IniFile":
        """Read the file at `path`.

        :raises InvalidSettingsError: it cannot be read, or is no INI file.
        """
        try:
            return cls(path, Path(path).read_bytes().decode())
        except OSError as err:
            raise InvalidSettingsError(f"can't be read: {err.strerror}", file=path) from None
        except UnicodeDecodeError as err:
            raise InvalidSettingsError(f"not text: byte {err.start} is no UTF-8", file=path) from None

    def error(self, section: Section | None, field: str | None, reason: str) -> InvalidSettingsError:
        """Return what to raise where fields do not go together; it names the field's line, or else the section's."""
        if section is None:
            return InvalidSettingsError(reason, file=self.path)
        line = section.fields[field].line if field in section.fields else section.line
        return InvalidSettingsError(reason, file=self.path, line=line, section=str(section), field=field or "")

    def find_section(self, kind: str, name: str = "") -> Section | None:
        """Return the section of that kind and name, if there is one."""
        return next((section for section in self.sections if (section.kind, section.name) == (kind, name)), None)

    def read_section(self, kind: str, struct: type[Struct]) -> Struct:
        """Return the section of that kind, which has no name; its defaults where there is none.

        :raises InvalidSettingsError: a field cannot be used, or is missing.
        """
        self._known_titles[kind] = None
        section = self.find_section(kind)
        if section is None:
            return self._read(Section(kind, "", 0), struct)
        self._mark_read(section)
        return self._read(section, struct)

    def read_named_sections(self, kind: str, struct: type[Struct]) -> list[tuple[Section, Struct]]:
        """Return all sections of that kind, each with a name of its own, in the order of the file.

        :raises InvalidSettingsError: a field cannot be used, or is missing.
        """
        return [(section, self._read(section, struct)) for section in self.named_sections(kind)]

    def named_sections(self, kind: str) -> list[Section]:
        """Return the same as they are written, for who reads fields whose names are not known beforehand."""
        self._known_titles[f"{kind} NAME"] = None
        sections = [section for section in self.sections if section.kind == kind and section.name]
        for section in sections:
            self._mark_read(section)
        return sections

    def reject_unread_sections(self) -> None:
        """Refuse a file with sections that nobody asked for.

        :raises InvalidSettingsError: there is one; the first is named.
        """
        for section in self._unread:
            title = f"{section.kind} NAME" if section.name else section.kind
            reason = f"no section is called {section}{proposal(title, self._known_titles)}"
            raise InvalidSettingsError(reason, file=self.path, line=section.line)

    def _mark_read(self, section: Section) -> None:
        """Note that somebody asked for that section."""
        self._unread = [other for other in self._unread if other is not section]

    def _read(self, section: Section, struct: type[Struct]) -> Struct:
        """Return a section as a struct; fields have the names that the struct encodes them by."""
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
        for name in section.fields:
            if name not in fields:
                raise self.error(section, name, "no field is called that" + proposal(name, fields))
        values = {}
        for name, field in fields.items():
            if name in section.fields:
                values[field.name] = self._value(section, name, field.type)
                origin = f"line {section.fields[name].line}"
            elif field.required:
                raise self._missing(section, name)
            else:
                origin = "default"
            self.origins.append(FieldOrigin(str(section), name, values.get(field.name, field.default), origin))
        return struct(**values)

    def _missing(self, section: Section, name: str) -> InvalidSettingsError:
        """Return what to raise where a field without a default is not given; a section of line 0 is not there."""
        if section.line:
            return self.error(section, None, f"field {name} of {section}: missing")
        return self.error(None, None, f"field {name} of {section}: missing, as is its section")

    def _value(self, section: Section, name: str, field_type: object) -> object:
        """Return a field's value, checked against the bounds of its type."""
        text = section.fields[name].text.strip()
        try:
            value: object = msgspec.convert(reader_of(field_type)(text), field_type)
        except msgspec.ValidationError as err:
            message = str(err)
            raise self.error(section, name, f"{message[:1].lower()}{message[1:]}, got {text!r}") from None
        except ValueError as err:
            raise self.error(section, name, str(err)) from None
        return value


def proposal(name: str, known_names: Iterable[str]) -> str:
    """Return `; is x meant?` where a known name is near, else `; there are` and the known names."""
    known = list(known_names)
    close = difflib.get_close_matches(name, known, 1, LEAST_LIKENESS)
    if close:
        return f"; is {close[0]} meant?"
    return f"; there are {', '.join(known)}" if known else ""
