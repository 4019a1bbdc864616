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


def test_a_file_is_read_with_its_units_and_each_value_knows_its_line():
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
    "old, new, says",
    [
        (
            "every = 1.5s",
            "every = 1.5",
            "k.ini, line 4, [watch], field every: expected a time such as 200ms or 1.5s, got '1.5'",
        ),
        ("every = 1.5s", "every = -1s", "line 4, [watch], field every: expected a time of 0 or more"),
        ("every = 1.5s", "evry = 1.5s", "line 4, [watch], field evry: no field is called that; is every meant?"),
        ("every = 1.5s", "colour = red", "field colour: no field is called that; there are folder, every,"),
        ("step = 2.5%", "step = 102%", "line 5, [watch], field step: expected a share up to 100%"),
        ("weight = 3e2", "weight = nan", "line 6, [watch], field weight: expected a number of 0 or more, got 'nan'"),
        ("weight = 3e2", "weight = 1e999", "line 6, [watch], field weight"),
        ("most = 9", "most = 10", "line 8, [watch], field most: expected `int` <= 9, got '10'"),
        ("most = 9", "most = 2.5", "line 8, [watch], field most: expected a whole number"),
        ("twice = Yes", "twice = perhaps", "line 9, [watch], field twice: expected yes or no"),
        (
            "zones = niagara, windsor",
            "zones = niagara,,windsor",
            "line 10, [watch], field zones: expected words between",
        ),
        ("wait = 4s..7s", "wait = 7s..4s", "line 11, [watch], field wait: expected a range from less to more"),
        ("how = part", "how = half", "line 12, [watch], field how: invalid enum value 'half'"),
        ("after = 0", "after = soon", "line 13, [watch], field after: expected a time"),
        ("folder = /etc/nodes", "# no folder", "line 2, [watch]: field folder of [watch]: missing"),
        ("[zone windsor]", "[zon windsor]", "line 15: no section is called [zon windsor]; is zone NAME meant?"),
        ("most = 9", "every = 2s", "line 8, [watch]: the field every stands twice"),
        ("[zone windsor]", "[watch]", "line 15, [watch]: the section stands twice"),
        ("# an operator's file", "every = 1s", "line 1: a field before the first section"),
        ("most = 9", "most", "line 8: neither a section nor a field"),
    ],
)
def test_an_invalid_file_is_refused_in_one_line_that_names_line_and_field(old, new, says):
    assert old in GOOD
    with pytest.raises(InvalidSettingsError) as raised:
        ini = IniFile("k.ini", GOOD.replace(old, new, 1))
        ini.read_section("watch", Watch)
        ini.read_named_sections("zone", Watch)
        ini.reject_unread_sections()
    assert says in str(raised.value) and str(raised.value).startswith("k.ini") and "\n" not in str(raised.value)


def test_a_section_that_is_missing_has_its_defaults_or_is_refused():
    class Easy(Struct):
        every: Duration = 5

    assert IniFile("k.ini", "").read_section("easy", Easy) == Easy(5)
    with pytest.raises(InvalidSettingsError, match="k.ini: field folder of \\[watch\\]: missing, as is its section"):
        IniFile("k.ini", "").read_section("watch", Watch)


@pytest.mark.parametrize("data, says", [(None, "can't be read: No such file"), (b"\xff", "byte 0 is no UTF-8")])
def test_a_file_that_cannot_be_read_is_refused_with_the_reason(tmp_path, data, says):
    path = tmp_path / "k.ini"
    if data:
        path.write_bytes(data)
    with pytest.raises(InvalidSettingsError, match=says):
        IniFile.load(str(path))


@given(some.integers(0, 10**15))
def test_a_time_written_in_ns_is_read_as_it_was(value):
    assert parse_duration(f"{value}ns") == value and parse_duration_range(f"{value}ns..{value + 1}ns") == (
        value,
        value + 1,
    )


@given(some.text(max_size=12))
def test_no_text_of_a_field_raises_anything_but_what_is_said(text):
    for reader in (parse_duration, parse_duration_range, parse_fraction):
        try:
            assert reader(text) is not None
        except ValueError as err:
            assert "expected" in str(err)


@given(some.text(alphabet="[]=#a1 \n\t;", max_size=60))
def test_no_text_of_a_file_raises_anything_but_invalid_settings(text):
    try:
        ini = IniFile("k.ini", text)
        ini.read_section("a", Watch)
        ini.reject_unread_sections()
    except InvalidSettingsError as err:
        assert str(err).startswith("k.ini")


def test_a_refusal_knows_file_line_section_and_field_apart():
    with pytest.raises(InvalidSettingsError) as raised:
        IniFile("k.ini", GOOD.replace("most = 9", "most = 10")).read_section("watch", Watch)
    error = raised.value
    assert (error.file, error.line, error.section, error.field) == ("k.ini", 8, "[watch]", "most")
    assert error.reason == "expected `int` <= 9, got '10'"
