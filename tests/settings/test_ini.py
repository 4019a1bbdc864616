from typing import Annotated, Literal

import pytest
from hypothesis import given
from hypothesis import strategies as some
from msgspec import Meta, Struct

from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import (
    Count,
    Duration,
    DurationRange,
    Flag,
    Fraction,
    Number,
    Words,
    parse_duration,
    parse_duration_range,
    parse_fraction,
)

MS = 1_000_000


class Watch(Struct):
    folder: str
    every: Duration = 200 * MS
    step: Fraction = 0.1
    weight: Number = 1.0
    most: Annotated[Count, Meta(ge=1, le=9)] = 3
    twice: Flag = False
    zones: Words = ()
    wait: DurationRange = (MS, 2 * MS)
    how: Literal["whole", "part"] = "whole"
    after: Duration | None = None


GOOD = """# an operator's file
[watch]
folder = /etc/nodes   # where they are
every = 1.5s
step = 2.5%
weight = 3e2

most = 9
twice = Yes
zones = niagara, windsor
wait = 4s..7s
how = part
after = 0

[zone windsor]
folder = w
"""


def test_valid_file_is_read_with_units_and_the_line_of_each_value():
    ini = IniFile("k.ini", GOOD)
    watch = ini.read_section("watch", Watch)
    assert watch == Watch(
        "/etc/nodes", 1500 * MS, 0.025, 300.0, 9, True, ("niagara", "windsor"), (4000 * MS, 7000 * MS), "part", 0
    )
    [(section, zone)] = ini.read_named_sections("zone", Watch)
    ini.reject_unread_sections()
    assert (section.name, section.line, zone) == ("windsor", 15, Watch("w"))
    assert ("[watch]", "most", 9, "line 8") in ini.origins and ("[zone windsor]", "most", 3, "default") in ini.origins


@pytest.mark.parametrize(
    "old, new, message",
    [
        (
            "every = 1.5s",
            "every = 1.5",
            "k.ini, line 4, [watch], field every: expected a duration such as 200ms or 1.5s, got '1.5'",
        ),
        ("every = 1.5s", "every = -1s", "line 4, [watch], field every: expected a duration of 0 or more"),
        ("every = 1.5s", "evry = 1.5s", "line 4, [watch], field evry: unknown field; did you mean every?"),
        ("every = 1.5s", "colour = red", "field colour: unknown field; expected one of folder, every,"),
        (
            "step = 2.5%",
            "step = 102%",
            "line 5, [watch], field step: expected a number from 0 to 1 or a percentage up to 100%",
        ),
        ("weight = 3e2", "weight = nan", "line 6, [watch], field weight: expected a number of 0 or more, got 'nan'"),
        ("weight = 3e2", "weight = 1e999", "line 6, [watch], field weight"),
        ("most = 9", "most = 10", "line 8, [watch], field most: expected `int` <= 9, got '10'"),
        ("most = 9", "most = 2.5", "line 8, [watch], field most: expected a whole number"),
        ("twice = Yes", "twice = perhaps", "line 9, [watch], field twice: expected yes or no"),
        (
            "zones = niagara, windsor",
            "zones = niagara,,windsor",
            "line 10, [watch], field zones: expected words separated by commas",
        ),
        (
            "wait = 4s..7s",
            "wait = 7s..4s",
            "line 11, [watch], field wait: expected a range such as 4s..7s with the shorter duration first",
        ),
        ("how = part", "how = half", "line 12, [watch], field how: invalid enum value 'half'"),
        ("after = 0", "after = soon", "line 13, [watch], field after: expected a duration"),
        ("folder = /etc/nodes", "# no folder", "line 2, [watch]: field folder of [watch]: missing"),
        ("[zone windsor]", "[zon windsor]", "line 15: unknown section [zon windsor]; did you mean zone NAME?"),
        ("most = 9", "every = 2s", "line 8, [watch]: duplicate field every"),
        ("[zone windsor]", "[watch]", "line 15, [watch]: duplicate section"),
        ("# an operator's file", "every = 1s", "line 1: field before the first section"),
        ("most = 9", "most", "line 8: neither a section nor a field"),
    ],
)
def test_invalid_file_raises_a_one_line_error_that_names_line_and_field(old, new, message):
    assert old in GOOD
    with pytest.raises(InvalidSettingsError) as raised:
        ini = IniFile("k.ini", GOOD.replace(old, new, 1))
        ini.read_section("watch", Watch)
        ini.read_named_sections("zone", Watch)
        ini.reject_unread_sections()
    assert message in str(raised.value) and str(raised.value).startswith("k.ini") and "\n" not in str(raised.value)


def test_missing_section_has_defaults_or_is_rejected_if_a_field_is_required():
    class OptionalFields(Struct):
        every: Duration = 5

    assert IniFile("k.ini", "").read_section("optional", OptionalFields) == OptionalFields(5)
    with pytest.raises(
        InvalidSettingsError, match="k.ini: field folder of \\[watch\\]: missing, and so is the section"
    ):
        IniFile("k.ini", "").read_section("watch", Watch)


@pytest.mark.parametrize(
    "data, message", [(None, "can't be read: No such file"), (b"\xff", "expected UTF-8 text, but byte 0 is not valid")]
)
def test_unreadable_file_is_rejected_with_the_reason(tmp_path, data, message):
    path = tmp_path / "k.ini"
    if data:
        path.write_bytes(data)
    with pytest.raises(InvalidSettingsError, match=message):
        IniFile.load(str(path))


@given(some.integers(0, 10**15))
def test_duration_in_ns_is_parsed_exactly(value):
    assert parse_duration(f"{value}ns") == value and parse_duration_range(f"{value}ns..{value + 1}ns") == (
        value,
        value + 1,
    )


@given(some.text(max_size=12))
def test_field_parsers_raise_only_value_errors_that_say_what_is_expected(text):
    for reader in (parse_duration, parse_duration_range, parse_fraction):
        try:
            assert reader(text) is not None
        except ValueError as err:
            assert "expected" in str(err)


@given(some.text(alphabet="[]=#a1 \n\t;", max_size=60))
def test_any_text_of_a_file_raises_only_invalid_settings_error(text):
    try:
        ini = IniFile("k.ini", text)
        ini.read_section("a", Watch)
        ini.reject_unread_sections()
    except InvalidSettingsError as err:
        assert str(err).startswith("k.ini")


def test_error_has_file_line_section_and_field_as_attributes():
    with pytest.raises(InvalidSettingsError) as raised:
        IniFile("k.ini", GOOD.replace("most = 9", "most = 10")).read_section("watch", Watch)
    error = raised.value
    assert (error.file, error.line, error.section, error.field) == ("k.ini", 8, "[watch]", "most")
    assert error.reason == "expected `int` <= 9, got '10'"
