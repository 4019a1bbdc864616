"""Compatibility with the messages of commit 4f929ce: the same values have the same bytes, and decode to the same values."""

import json
import typing
from pathlib import Path

import msgspec
import pytest
from by_position import by_position
from consensus import test_recorded_bytes

from kestrelplank.state import membership_datagram
from kestrelplank.transport.messages import Envelope, ToEdge, ToMember, decode_at_edge, decode_at_member, encode
from kestrelplank.transport.server_list import READY, ServerList
from kestrelplank.transport.wire import COMPRESSED_FLAG, encode_frame, uncompressed_body
from kestrelplank.usage.messages import UsageCounts, UsageCountsReply, WindowCounts

ADDED_SINCE = {"roles", "reported"}  # their bytes are recorded in tests/consensus/test_recorded_bytes.py
DATA = Path(__file__).parent / "data" / "4f929ce"
MESSAGES = json.loads((DATA / "wire_messages.json").read_text())
FRAMES = json.loads((DATA / "wire_frames.json").read_text())
DECODERS = {"to a member": (ToMember, decode_at_member), "to an edge machine": (ToEdge, decode_at_edge)}


def examples(suffix=""):
    return [
        pytest.param(*DECODERS[receiver], example, id=f"{receiver}-{index}-{example['tag']}")
        for receiver in DECODERS
        for index, example in enumerate(MESSAGES[receiver + suffix])
    ]


def tag_of(message_type):
    return message_type.__struct_config__.tag


@pytest.mark.parametrize("union, decode, example", examples())
def test_a_message_has_the_same_bytes_for_the_same_value(union, decode, example):
    body = bytes.fromhex(example["body"])
    message = decode(body)
    assert by_position(message) == example["value"]
    assert encode(message) == body
    assert encode(msgspec.convert(example["value"], union)) == body


@pytest.mark.parametrize("union, decode, example", examples(", only read"))
def test_a_message_with_fewer_fields_or_integers_for_floats_decodes_to_the_same_value(union, decode, example):
    message = decode(bytes.fromhex(example["body"]))
    assert by_position(message) == example["value"]


# Messages between edge machines and members that were added since, by tag, with their bytes.
LATER_TO_MEMBERS = {
    "usage": (
        UsageCounts(
            "edge-1",
            77,
            1000,
            1_800_000_000_000_000_000,
            359999999,
            [WindowCounts(360000000, {"a": 3, "b": 0})],
            55,
            400,
        ),
        "99a57573616765a6656467652d314dcd03e8cf18fae27693b40000ce157529ff9192ce15752a0082a16103a1620037cd0190",
    ),
}
LATER_TO_EDGES = {
    "usage": (
        UsageCountsReply(1000, 55, 1_800_000_000_000_000_001, 359999998),
        "95a57573616765cd03e837cf18fae27693b40001ce157529fe",
    ),
}


@pytest.mark.parametrize(
    "decode, message, expected",
    [
        *((decode_at_member, *example) for example in LATER_TO_MEMBERS.values()),
        *((decode_at_edge, *example) for example in LATER_TO_EDGES.values()),
    ],
)
def test_a_message_added_later_has_the_recorded_bytes(decode, message, expected):
    assert encode(message).hex() == expected
    assert decode(bytes.fromhex(expected)) == message


def test_every_type_of_message_has_an_example():
    envelope_contents = typing.get_args(typing.get_type_hints(Envelope)["message"])
    to_members = {tag_of(kind) for kind in (*typing.get_args(ToMember), *envelope_contents) if kind is not Envelope}
    later_to_members = {*LATER_TO_MEMBERS, *ADDED_SINCE}
    assert {example["tag"] for example in MESSAGES["to a member"]} == to_members - later_to_members
    assert ADDED_SINCE <= {tag_of(type(message)) for message in test_recorded_bytes.MESSAGES.values()}
    to_edges = {tag_of(kind) for kind in typing.get_args(ToEdge)}
    assert {example["tag"] for example in MESSAGES["to an edge machine"]} == to_edges - {*LATER_TO_EDGES}


def test_a_short_message_has_the_same_frame():
    frame = bytes.fromhex(FRAMES["plain"]["frame"])
    message = decode_at_edge(frame[4:])
    assert by_position(message) == FRAMES["plain"]["value"]
    assert encode_frame(message) == frame


def test_a_compressed_frame_is_decoded():
    frame = bytes.fromhex(FRAMES["compressed"]["frame"])
    header = int.from_bytes(frame[:4])
    assert header == (len(frame) - 4 | COMPRESSED_FLAG)
    message = decode_at_edge(uncompressed_body(frame[4:], True))
    assert by_position(message) == FRAMES["compressed"]["value"]
    encoded = encode_frame(message)
    assert int.from_bytes(encoded[:4]) & COMPRESSED_FLAG and uncompressed_body(encoded[4:], True) == uncompressed_body(
        frame[4:], True
    )


def test_an_assigners_datagram_has_the_same_bytes_for_the_same_value():
    example = json.loads((DATA / "membership_datagram.json").read_text())
    sender, members, zones = example["given"]
    body = membership_datagram.encode(
        sender, [tuple(member) for member in members], [membership_datagram.ZoneSums(*zone) for zone in zones]
    )
    assert body.hex() == example["bytes"]
    assert by_position(membership_datagram.decode(body)) == example["value"]


def test_a_list_of_servers_has_the_same_digest():
    example = json.loads((DATA / "server_list_digest.json").read_text())
    servers = ServerList()
    servers.update(10, 0, [tuple(row) for row in example["rows"]])
    assert servers.digest() == example["digest"]
    ready_again = [(*row[:5], READY, row[6]) for row in example["rows"]]
    servers.update(20, 0, ready_again)  # a drain is kept, so the list does not change
    assert servers.digest() == example["digest"]
