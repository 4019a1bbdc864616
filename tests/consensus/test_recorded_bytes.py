"""The encoded bytes of each message, command and durable record, as recorded at commit 4f929ce or when it was added.

Field names may change; the bytes exchanged between members of different releases, and on their disks, may not.
"""

import msgspec
import pytest

from kestrelplank.consensus.consensus_messages import (
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from kestrelplank.consensus.log_entries import (
    AssignRole,
    ChangeMembership,
    Command,
    Entry,
    FixUsage,
    HardState,
    Noop,
    PutConfiguration,
    PutRecord,
    Snapshot,
)
from kestrelplank.consensus.member_messages import (
    CallId,
    MembershipQuery,
    MembershipRequest,
    MembershipUpdate,
    Message,
    OrderResult,
    ReadConfiguration,
    ReadResult,
    ReleasedRole,
    ReleaseReason,
    RoleReport,
    ServerListUpdate,
    SubmitOrder,
    UsageReported,
)
from kestrelplank.consensus.membership import Membership

MEMBERSHIP = Membership(3, ("a/1", "b/2"), ("a/1", "c/3"), {"a/1": "north"})
ORDER = PutConfiguration(7, "digest", b"text")
CALL = CallId("a/1", 5, 6)

MESSAGES = {
    "97a4766f746504030b02c3c3": VoteRequest(4, 3, 11, 2, True, True),
    "97a4766f746504030b02c2c2": VoteRequest(4, 3, 11, 2),
    "95a5766f7465640403c3c3": VoteReply(4, 3, True, True),
    "9aa6617070656e6404030a0291930b0494ad636f6e66696775726174696f6e07a6646967657374c4047465787409084dce53724e00": Append(
        4, 3, 10, 2, (Entry(11, 4, ORDER),), 9, 8, 77, 1_400_000_000
    ),
    "9aa6617070656e6404030a029009080000": Append(4, 3, 10, 2, (), 9, 8),
    "97a8617070656e6465640403c30b084e": AppendReply(4, 3, True, 11, 8, 78),
    "99a57069656365040309ce00010000c41030313233343536373839616263646566cd8000c4046461746108": SnapshotChunk(
        4, 3, 9, 65_536, b"0123456789abcdef", 32_768, b"data", 8
    ),
    "96ab70696563652d74616b656e0403c41030313233343536373839616263646566ce0001000008": SnapshotReply(
        4, 3, b"0123456789abcdef", 65_536, 8
    ),
    "93a87472616e736665720403": TransferLeadership(4, 3),
    "96a46a6f696e0403a56e6f727468c3c3": MembershipRequest(4, 3, "north", True, True),
    "93a67375626d697493a3612f31050694ad636f6e66696775726174696f6e07a6646967657374c40474657874": SubmitOrder(
        CALL, ORDER
    ),
    "92a47265616493a3612f310506": ReadConfiguration(CALL),
    "94a97375626d697474656493a3612f310506c3c3": OrderResult(CALL, True, True),
    "94a5666f756e6493a3612f310506c3c40474657874": ReadResult(CALL, True, b"text"),
    "93a7736572766572730c9197a173a168a170a17a01a5726561647902": ServerListUpdate(
        12, [("s", "h", "p", "z", 1, "ready", 2)]
    ),
    "91a377686f": MembershipQuery(),
    "94a76d656d62657273940392a3612f31a3622f3292a3612f31a3632f3381a3612f31a56e6f727468a3612f3191a3642f34": MembershipUpdate(
        MEMBERSHIP, "a/1", ("d/4",)
    ),
    "94a5726f6c657305c39194ac75736167655f7265706f7274000bae746f6b656e2072656a6563746564": RoleReport(
        5, True, (ReleasedRole("usage_report", 0, 11, ReleaseReason.REJECTED),)
    ),
    "92a87265706f727465640c": UsageReported(12),
}
COMMANDS = {
    "91a46e6f6f70": Noop(),
    "94ad636f6e66696775726174696f6e07a6646967657374c40474657874": ORDER,
    "93a67265636f7264a773657276696365c4067265636f7264": PutRecord("service", b"record"),
    "92aa6d656d62657273686970940392a3612f31a3622f3292a3612f31a3632f3381a3612f31a56e6f727468": ChangeMembership(
        MEMBERSHIP
    ),
    "96a4726f6c65ac75736167655f7265706f727400a3612f3105c3": AssignRole("usage_report", 0, "a/1", 5, True),
    "94a5757361676507c4027b7d05": FixUsage(7, b"{}", 5),
}
RECORDS = {
    "930b0494ad636f6e66696775726174696f6e07a6646967657374c40474657874": Entry(11, 4, ORDER),
    "940902940392a3612f31a3622f3292a3612f31a3632f3381a3612f31a56e6f727468c4057374617465": Snapshot(
        9, 2, MEMBERSHIP, b"state"
    ),
    "9304a3612f31a3622f32": HardState(4, "a/1", "b/2"),
}


def encoded(value):
    return msgspec.msgpack.encode(value).hex()


@pytest.mark.parametrize("recorded, message", MESSAGES.items())
def test_a_message_has_the_recorded_bytes(recorded, message):
    assert encoded(message) == recorded
    assert msgspec.msgpack.decode(bytes.fromhex(recorded), type=Message) == message


@pytest.mark.parametrize("recorded, command", COMMANDS.items())
def test_a_command_has_the_recorded_bytes(recorded, command):
    assert encoded(command) == recorded
    assert msgspec.msgpack.decode(bytes.fromhex(recorded), type=Command) == command


@pytest.mark.parametrize("recorded, record", RECORDS.items())
def test_a_durable_record_has_the_recorded_bytes(recorded, record):
    assert encoded(record) == recorded
    assert msgspec.msgpack.decode(bytes.fromhex(recorded), type=type(record)) == record
