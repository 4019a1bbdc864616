"""The one reader of INI files: sections and fields with units, defaults and checks.

`Ini(path, text)` parses a file whole; `one` and `each` take its sections as msgspec structs whose fields are of the
types below; `finish` refuses what nobody took. All that is wrong raises `InvalidSettings`, whose text is one line
naming file, line, section and field.
"""

import configparser
import difflib
import re
from collections.abc import Callable
from pathlib import Path
from types import NoneType, UnionType
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin

import msgspec
from msgspec import Meta

from kestrelplank.decode import LARGEST
from kestrelplank.settings.errors import InvalidSettings

Struct = TypeVar("Struct", bound=msgspec.Struct)

UNITS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
FLAGS = {"yes": True, "on": True, "true": True, "no": False, "off": False, "false": False}
NUMBER = r"[+-]?(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d+)?"


def span(text: str) -> int:
    """`1.5s`, `200ms`, `2min` as whole ns; 0 needs no unit."""
    found = re.fullmatch(rf"({NUMBER})\s*([a-z]+)?", text)
    if not found or found[2] not in UNITS and not (found[2] is None and float(found[1]) == 0):
        raise ValueError(f"expected a time such as 200ms or 1.5s, got {text!r}")
    if not 0 <= float(found[1]) < LARGEST / UNITS["h"]:
        raise ValueError(f"expected a time of 0 or more, got {text!r}")
    return round(float(found[1]) * UNITS.get(found[2], 1))


def number(text: str) -> float:
    """A number of 0 or more."""
    if not re.fullmatch(NUMBER, text) or not 0 <= float(text) < LARGEST:
        raise ValueError(f"expected a number of 0 or more, got {text!r}")
    return float(text)


def share(text: str) -> float:
    """`10%` or `0.1` as 0.1; never over 1."""
    found = number(text[:-1].rstrip()) / 100 if text.endswith("%") else number(text)
    if found > 1:
        raise ValueError(f"expected a share up to 100%, got {text!r}")
    return found


def whole(text: str) -> int:
    if not re.fullmatch(r"\+?\d{1,18}", text):
        raise ValueError(f"expected a whole number of 0 or more, got {text!r}")
    return int(text)


def flag(text: str) -> bool:
    if text.lower() not in FLAGS:
        raise ValueError(f"expected yes or no, got {text!r}")
    return FLAGS[text.lower()]


def words(text: str) -> tuple[str, ...]:
    """Words between commas; none may be empty."""
    found = tuple(word.strip() for word in text.split(",")) if text.strip() else ()
    if "" in found:
        raise ValueError(f"expected words between commas, got {text!r}")
    return found


def spans(text: str) -> tuple[int, int]:
    """`4s..7s`, a range of times; one time is a range of itself."""
    least, dots, most = text.partition("..")
    low = span(least.strip())
    high = span(most.strip()) if dots else low
    if low > high:
        raise ValueError(f"expected a range from less to more, got {text!r}")
    return low, high


def kept(text: str) -> str:
    return text


def unit(reader: Callable[[str], Any]) -> Meta:
    return Meta(extra={"reader": reader})


# The types of fields. Further bounds go on top: Annotated[Count, Meta(ge=1)].
Span = Annotated[int, unit(span)]
Spans = Annotated[tuple[int, int], unit(spans)]
Share = Annotated[float, unit(share)]
Number = Annotated[float, unit(number)]
Count = Annotated[int, unit(whole)]
Flag = Annotated[bool, unit(flag)]
Words = Annotated[tuple[str, ...], unit(words)]


def reader_of(kind: Any) -> Callable[[str], Any]:
    """What reads the text of a field of that type; of a type or None, the type's."""
    if get_origin(kind) in (Union, UnionType):
        return next((reader_of(one) for one in get_args(kind) if one is not NoneType), kept)
    for meta in getattr(kind, "__metadata__", ()):
        if "reader" in (meta.extra or {}):
            return meta.extra["reader"]
    return kept


class Section:
    """One section as it stands: its kind and name (`[fault first]`), line, and each field's text and line."""

    def __init__(self, kind: str, name: str, line: int) -> None:
        self.kind, self.name, self.line = kind, name, line
        self.fields: dict[str, tuple[str, int]] = {}

    def __str__(self) -> str:
        return f"[{self.kind} {self.name}]" if self.name else f"[{self.kind}]"


class Ini:
    def __init__(self, path: str, text: str) -> None:
        self.path = path
        self.origins: list[tuple[str, str, Any, str]] = []  # section, field, value, where it came from
        self.sections = self._parse(text)
        self._left = {id(section): section for section in self.sections}
        self._kinds: dict[str, None] = {}

    @classmethod
    def of(cls, path: str) -> "Ini":
        """The file at `path`; one that can't be read is InvalidSettings."""
        try:
            return cls(path, Path(path).read_bytes().decode())
        except OSError as err:
            raise InvalidSettings(f"{path}: can't be read: {err.strerror}") from None
        except UnicodeDecodeError as err:
            raise InvalidSettings(f"{path}: not text: byte {err.start} is no UTF-8") from None

    def _parse(self, text: str) -> list[Section]:
        """configparser reads the form, and says where it breaks; it keeps no lines, so these are found again."""
        parser = configparser.RawConfigParser(
            delimiters=("=",), inline_comment_prefixes=("#",), default_section="", empty_lines_in_values=False
        )
        parser.optionxform = str.strip
        try:
            parser.read_string(text)
        except configparser.MissingSectionHeaderError as err:
            raise InvalidSettings(f"{self.path}, line {err.lineno}: a field before the first section") from None
        except (configparser.DuplicateSectionError, configparser.DuplicateOptionError) as err:
            what = f"field {err.option}" if isinstance(err, configparser.DuplicateOptionError) else "section"
            raise InvalidSettings(f"{self.path}, line {err.lineno}, [{err.section}]: the {what} stands twice") from None
        except configparser.ParsingError as err:
            line, source = err.errors[0]
            raise InvalidSettings(f"{self.path}, line {line}: neither a section nor a field: {source[:60]}") from None
        sections: list[Section] = []
        for place, raw in enumerate(text.splitlines(), 1):
            header = parser.SECTCRE.match(raw)
            if header and header["header"] in parser:
                kind, _, name = header["header"].partition(" ")
                sections.append(Section(kind, name.strip(), place))
                continue
            field = raw.partition("=")[0].strip()
            title = f"{sections[-1].kind} {sections[-1].name}".strip() if sections else ""
            if sections and not raw[:1].isspace() and "=" in raw and title in parser and field in parser[title]:
                sections[-1].fields.setdefault(field, (parser[title][field], place))
        return sections

    def fail(self, section: Section | None, field: str | None, why: str) -> InvalidSettings:
        """What to raise where fields do not go together: names the field's line, or else the section's."""
        if section is None:
            return InvalidSettings(f"{self.path}: {why}")
        line = section.fields[field][1] if field in section.fields else section.line
        where = f", field {field}" if field else ""
        return InvalidSettings(f"{self.path}, line {line}, {section}{where}: {why}")

    def find(self, kind: str, name: str = "") -> Section | None:
        return next((section for section in self.sections if (section.kind, section.name) == (kind, name)), None)

    def one(self, kind: str, struct: type[Struct]) -> Struct:
        """The section of that kind, which has no name; its defaults where it does not stand."""
        self._kinds[kind] = None
        section = self.find(kind) or Section(kind, "", 0)
        self._left.pop(id(section), None)
        return self._read(section, struct)

    def each(self, kind: str, struct: type[Struct]) -> list[tuple[Section, Struct]]:
        """All sections of that kind, each with a name of its own, in the order of the file."""
        return [(section, self._read(section, struct)) for section in self.named(kind)]

    def named(self, kind: str) -> list[Section]:
        """The same as they stand, for whoever reads fields of other names than ours."""
        self._kinds[f"{kind} NAME"] = None
        found = [section for section in self.sections if section.kind == kind and section.name]
        for section in found:
            self._left.pop(id(section), None)
        return found

    def finish(self) -> None:
        """Raises InvalidSettings where a section stands that nobody took."""
        for section in self._left.values():
            raise InvalidSettings(
                f"{self.path}, line {section.line}: no section is called {section}"
                + nearest(f"{section.kind} NAME" if section.name else section.kind, self._kinds)
            )

    def _read(self, section: Section, struct: type[Struct]) -> Struct:
        fields = {field.encode_name: field for field in msgspec.structs.fields(struct)}
        for name in section.fields:
            if name not in fields:
                raise self.fail(section, name, "no field is called that" + nearest(name, fields))
        values = {}
        for name, field in fields.items():
            if name in section.fields:
                values[name] = self._value(section, name, field.type)
                where = f"line {section.fields[name][1]}"
            elif field.required:
                what = "missing" if section.line else "missing, as is its section"
                raise self.fail(section if section.line else None, None, f"field {name} of {section}: {what}")
            else:
                where = "default"
            value = values.get(name, field.default)
            self.origins.append((str(section), name, value, where))
        return struct(**{fields[name].name: value for name, value in values.items()})

    def _value(self, section: Section, name: str, kind: Any) -> Any:
        text = section.fields[name][0].strip()
        try:
            return msgspec.convert(reader_of(kind)(text), kind)
        except (ValueError, msgspec.ValidationError) as err:
            raise self.fail(
                section,
                name,
                f"{str(err)[:1].lower()}{str(err)[1:]}, got {text!r}"
                if isinstance(err, msgspec.ValidationError)
                else str(err),
            ) from None


def nearest(name: str, among: Any) -> str:
    """`; is x meant?` where something near is known, else what there is."""
    known = list(among)
    close = difflib.get_close_matches(name, known, 1, 0.6)
    return f"; is {close[0]} meant?" if close else f"; there are {', '.join(known)}" if known else ""
