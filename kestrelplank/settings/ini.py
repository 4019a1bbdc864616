"""Reader of INI files: sections become msgspec structs whose fields have the types of `ini_fields`.

`IniFile(path, text)` parses a file, `read_section` and `read_named_sections` read its sections, and
`reject_unread_sections` rejects unknown sections. Errors are raised as InvalidSettingsError.
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
MIN_SIMILARITY = 0.6  # of a known name that is suggested in place of an unknown one, from 0 to 1


class FieldOrigin(NamedTuple):
    """A field that was read, and the origin of its value: `line 4`, or `default`."""

    section: str
    field: str
    value: object
    origin: str


class IniFile:
    """An INI file, which records the sections that have been read.

    :param path: the file's path, for error messages.
    :raises InvalidSettingsError: the text is not a valid INI file.
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

        :raises InvalidSettingsError: it cannot be read, or is not a valid INI file.
        """
        try:
            return cls(path, Path(path).read_bytes().decode())
        except OSError as err:
            raise InvalidSettingsError(f"can't be read: {err.strerror}", file=path) from None
        except UnicodeDecodeError as err:
            raise InvalidSettingsError(f"expected UTF-8 text, but byte {err.start} is not valid", file=path) from None

    def error(self, section: Section | None, field: str | None, reason: str) -> InvalidSettingsError:
        """Return an error for the caller to raise; it names the line of the field, if given, or of the section."""
        if section is None:
            return InvalidSettingsError(reason, file=self.path)
        line = section.fields[field].line if field in section.fields else section.line
        return InvalidSettingsError(reason, file=self.path, line=line, section=str(section), field=field or "")

    def find_section(self, kind: str, name: str = "") -> Section | None:
        """Return the section of that kind and name, or None."""
        return next((section for section in self.sections if (section.kind, section.name) == (kind, name)), None)

    def read_section(self, kind: str, struct: type[Struct]) -> Struct:
        """Return the unnamed section of that kind, with defaults if the file does not have it.

        :raises InvalidSettingsError: a field cannot be used, or is missing.
        """
        self._known_titles[kind] = None
        section = self.find_section(kind)
        if section is None:
            return self._read(Section(kind, "", 0), struct)
        self._mark_read(section)
        return self._read(section, struct)

    def read_named_sections(self, kind: str, struct: type[Struct]) -> list[tuple[Section, Struct]]:
        """Return all named sections of that kind, in the order of the file.

        :raises InvalidSettingsError: a field cannot be used, or is missing.
        """
        return [(section, self._read(section, struct)) for section in self.named_sections(kind)]

    def named_sections(self, kind: str) -> list[Section]:
        """Return all named sections of that kind as text, for callers whose field names are not fixed."""
        self._known_titles[f"{kind} NAME"] = None
        sections = [section for section in self.sections if section.kind == kind and section.name]
        for section in sections:
            self._mark_read(section)
        return sections

    def reject_unread_sections(self) -> None:
        """Reject the file if it has sections that have not been read.

        :raises InvalidSettingsError: there is such a section; the first one is named.
        """
        for section in self._unread:
            title = f"{section.kind} NAME" if section.name else section.kind
            reason = f"unknown section {section}{suggestion(title, self._known_titles)}"
            raise InvalidSettingsError(reason, file=self.path, line=section.line)

    def _mark_read(self, section: Section) -> None:
        """Record that the section has been read."""
        self._unread = [other for other in self._unread if other is not section]

    def _read(self, section: Section, struct: type[Struct]) -> Struct:
        """Return a section as a struct; the keys of the file are the struct's encoded field names."""
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
        for name in section.fields:
            if name not in fields:
                raise self.error(section, name, "unknown field" + suggestion(name, fields))
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
        """Return the error for a missing field without a default; a section that is not in the file has line 0."""
        if section.line:
            return self.error(section, None, f"field {name} of {section}: missing")
        return self.error(None, None, f"field {name} of {section}: missing, and so is the section")

    def _value(self, section: Section, name: str, field_type: object) -> object:
        """Return the value of a field, checked against the bounds of its type."""
        text = section.fields[name].text.strip()
        try:
            value: object = msgspec.convert(reader_of(field_type)(text), field_type)
        except msgspec.ValidationError as err:
            message = str(err)
            raise self.error(section, name, f"{message[:1].lower()}{message[1:]}, got {text!r}") from None
        except ValueError as err:
            raise self.error(section, name, str(err)) from None
        return value


def suggestion(name: str, known_names: Iterable[str]) -> str:
    """Return `; did you mean x?` if a known name is similar, otherwise a list of the known names, if there are any."""
    known = list(known_names)
    close = difflib.get_close_matches(name, known, 1, MIN_SIMILARITY)
    if close:
        return f"; did you mean {close[0]}?"
    return f"; expected one of {', '.join(known)}" if known else ""
