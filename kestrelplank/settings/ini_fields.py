"""Types of fields in INI files, each with the function that reads its text.

Further bounds go on top: `Annotated[Count, Meta(ge=1)]`.
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
    """Return `1.5s`, `200ms` or `2min` as whole ns; 0 needs no unit.

    :raises ValueError: the text is no time of 0 or more.
    """
    match = re.fullmatch(rf"({NUMBER})\s*([a-z]+)?", text)
    amount = float(match[1]) if match else math.nan
    unit = match[2] if match else None
    if unit is None and amount == 0:
        unit = "ns"
    if unit not in NS_PER_UNIT:
        raise ValueError(f"expected a time such as 200ms or 1.5s, got {text!r}")
    if not 0 <= amount < MAX_NUMBER / NS_PER_UNIT["h"]:
        raise ValueError(f"expected a time of 0 or more, got {text!r}")
    return round(amount * NS_PER_UNIT[unit])


def parse_duration_range(text: str) -> tuple[int, int]:
    """Return `4s..7s` as two times in ns; one time is a range of itself.

    :raises ValueError: the text is no range, or one from more to less.
    """
    least, dots, most = text.partition("..")
    low = parse_duration(least.strip())
    high = parse_duration(most.strip()) if dots else low
    if low > high:
        raise ValueError(f"expected a range from less to more, got {text!r}")
    return low, high


def parse_number(text: str) -> float:
    """Return a number of 0 or more.

    :raises ValueError: the text is none.
    """
    if not re.fullmatch(NUMBER, text) or not 0 <= float(text) < MAX_NUMBER:
        raise ValueError(f"expected a number of 0 or more, got {text!r}")
    return float(text)


def parse_fraction(text: str) -> float:
    """Return `10%` or `0.1` as 0.1.

    :raises ValueError: the text is no number from 0 to 1.
    """
    fraction = parse_number(text[:-1].rstrip()) / 100 if text.endswith("%") else parse_number(text)
    if fraction > 1:
        raise ValueError(f"expected a share up to 100%, got {text!r}")
    return fraction


def parse_count(text: str) -> int:
    """Return a whole number of 0 or more.

    :raises ValueError: the text is none.
    """
    if not re.fullmatch(r"\+?\d{1,18}", text):
        raise ValueError(f"expected a whole number of 0 or more, got {text!r}")
    return int(text)


def parse_flag(text: str) -> bool:
    """Return yes or no, in one of their spellings.

    :raises ValueError: the text is neither.
    """
    if text.lower() not in FLAGS:
        raise ValueError(f"expected yes or no, got {text!r}")
    return FLAGS[text.lower()]


def parse_words(text: str) -> tuple[str, ...]:
    """Return the words between commas.

    :raises ValueError: a word is empty.
    """
    words = tuple(word.strip() for word in text.split(",")) if text.strip() else ()
    if "" in words:
        raise ValueError(f"expected words between commas, got {text!r}")
    return words


def _read_by(reader: Reader) -> Meta:
    """Return the annotation of a type whose text that function reads."""
    return Meta(extra={"reader": reader})


Duration = Annotated[int, _read_by(parse_duration)]  # ns
DurationRange = Annotated[tuple[int, int], _read_by(parse_duration_range)]  # ns
Fraction = Annotated[float, _read_by(parse_fraction)]
Number = Annotated[float, _read_by(parse_number)]
Count = Annotated[int, _read_by(parse_count)]
Flag = Annotated[bool, _read_by(parse_flag)]
Words = Annotated[tuple[str, ...], _read_by(parse_words)]


def reader_of(field_type: object) -> Reader:
    """Return what reads the text of a field of that type; of `X | None` that of X, and else the text as it is."""
    if get_origin(field_type) in (Union, UnionType):
        return next((reader_of(member) for member in get_args(field_type) if member is not NoneType), str)
    for annotation in getattr(field_type, "__metadata__", ()):
        reader: Reader | None = (annotation.extra or {}).get("reader")
        if reader is not None:
            return reader
    return str
