"""Types of fields in INI files, each with the function that parses its text.

Bounds can be added: `Annotated[Count, Meta(ge=1)]`.
"""

import math
import re
from collections.abc import Callable
from types import NoneType, UnionType
from typing import Annotated, Union, get_args, get_origin

from msgspec import Meta

from kestrelplank.decode import MAX_NUMBER

NS_PER_UNIT = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000, "h": 3_600_000_000_000}
FLAGS = {"yes": True, "on": True, "true": True, "no": False, "off": False, "false": False}
NUMBER = r"[+-]?(?:\d+(?:\.\d*)?|\.\d+)(?:[eE][+-]?\d+)?"

Reader = Callable[[str], object]


def parse_duration(text: str) -> int:
    """Parse a duration such as `1.5s`, `200ms` or `2min` to whole ns; 0 needs no unit.

    :raises ValueError: the text is not a duration of 0 or more, or it is too long.
    """
    match = re.fullmatch(rf"({NUMBER})\s*([a-z]+)?", text)
    amount = float(match[1]) if match else math.nan
    unit = match[2] if match else None
    if unit is None and amount == 0:
        unit = "ns"
    if unit not in NS_PER_UNIT:
        raise ValueError(f"expected a duration such as 200ms or 1.5s, got {text!r}")
    if not 0 <= amount < MAX_NUMBER / NS_PER_UNIT["h"]:
        raise ValueError(f"expected a duration of 0 or more that is not too long, got {text!r}")
    return round(amount * NS_PER_UNIT[unit])


def parse_duration_range(text: str) -> tuple[int, int]:
    """Parse a range such as `4s..7s` to its lower and upper bounds in ns; a single duration is both bounds.

    :raises ValueError: the text is not a range, or its lower bound is greater than its upper bound.
    """
    lower, dots, upper = text.partition("..")
    low = parse_duration(lower.strip())
    high = parse_duration(upper.strip()) if dots else low
    if low > high:
        raise ValueError(f"expected a range such as 4s..7s with the shorter duration first, got {text!r}")
    return low, high


def parse_number(text: str) -> float:
    """Parse a number of 0 or more.

    :raises ValueError: the text is not such a number.
    """
    if not re.fullmatch(NUMBER, text) or not 0 <= float(text) < MAX_NUMBER:
        raise ValueError(f"expected a number of 0 or more, got {text!r}")
    return float(text)


def parse_fraction(text: str) -> float:
    """Parse a fraction such as `10%` or `0.1`.

    :raises ValueError: the text is not a number from 0 to 1 or a percentage from 0% to 100%.
    """
    fraction = parse_number(text[:-1].rstrip()) / 100 if text.endswith("%") else parse_number(text)
    if fraction > 1:
        raise ValueError(f"expected a number from 0 to 1 or a percentage up to 100%, got {text!r}")
    return fraction


def parse_count(text: str) -> int:
    """Parse a whole number of 0 or more.

    :raises ValueError: the text is not such a number.
    """
    if not re.fullmatch(r"\+?\d{1,18}", text):
        raise ValueError(f"expected a whole number of 0 or more, got {text!r}")
    return int(text)


def parse_flag(text: str) -> bool:
    """Parse a boolean, written as one of `FLAGS` in any letter case.

    :raises ValueError: the text is none of them.
    """
    if text.lower() not in FLAGS:
        raise ValueError(f"expected yes or no (or on, off, true, false), got {text!r}")
    return FLAGS[text.lower()]


def parse_words(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of words.

    :raises ValueError: a word is empty.
    """
    words = tuple(word.strip() for word in text.split(",")) if text.strip() else ()
    if "" in words:
        raise ValueError(f"expected words separated by commas, none of them empty, got {text!r}")
    return words


def _read_by(reader: Reader) -> Meta:
    """Return the type annotation that names the function that parses the field."""
    return Meta(extra={"reader": reader})


Duration = Annotated[int, _read_by(parse_duration)]  # ns
DurationRange = Annotated[tuple[int, int], _read_by(parse_duration_range)]  # ns
Fraction = Annotated[float, _read_by(parse_fraction)]
Number = Annotated[float, _read_by(parse_number)]
Count = Annotated[int, _read_by(parse_count)]
Flag = Annotated[bool, _read_by(parse_flag)]
Words = Annotated[tuple[str, ...], _read_by(parse_words)]


def reader_of(field_type: object) -> Reader:
    """Return the function that parses a field of that type; for `X | None` that of X, and `str` by default."""
    if get_origin(field_type) in (Union, UnionType):
        return next((reader_of(member) for member in get_args(field_type) if member is not NoneType), str)
    for annotation in getattr(field_type, "__metadata__", ()):
        reader: Reader | None = (annotation.extra or {}).get("reader")
        if reader is not None:
            return reader
    return str
