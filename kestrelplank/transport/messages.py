"""Messages between edge machines and control members, and the envelope of messages between control members.

Protocol:

- An edge machine sends an `EdgeHeartbeat` at every heartbeat interval to each control member with which it has a
  session. The member answers with a `MemberHeartbeat`, followed by updates of what the heartbeat shows to be outdated:
  a `ConfigurationUpdate`, a `KeyRangesUpdate` for each service, a `ServerListUpdate`.
- Changes between heartbeats are pushed to all edge machines in session: a new configuration as a `ConfigurationUpdate`;
  a changed server list as a `ServerListUpdate`; all key ranges as a `KeyRangesUpdate` when a leader begins to assign
  them, then those that it recorded, or that their holder is releasing, as a `KeyRangesDelta`.
- Twice a second an edge machine sends a `LoadReport` for each service to the member that assigns the service's keys.
- Where usage is reported, an edge machine sends `UsageCounts` with each heartbeat, which the member answers with a
  `UsageCountsReply` (`usage.messages`).
- Every message between control members is sent in an `Envelope`.

Messages are encoded as msgpack arrays: the tag and the order of fields are part of the wire format, names of fields are
not.
"""

import msgspec

from kestrelplank.consensus.member_messages import Message, ServerListUpdate
from kestrelplank.usage.messages import UsageCounts, UsageCountsReply


class KeyRangesVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The version of a service's key ranges. Versions are compared field by field; the greater is the newer.

    :param term: term of the leader that recorded them.
    :param record: number of the record in that term.
    :param notice: number of the leader's announcements since that record that ranges are being released.
    """

    term: int = 0
    record: int = 0
    notice: int = 0


class RangeHolder(msgspec.Struct, frozen=True, array_like=True):
    """The server that holds the keys from `first` to `last`, both included.

    :param server: "" if no server holds them, or the holder is releasing them.
    """

    first: int
    last: int
    server: str
    address: str


# From an edge machine to a control member.


class EdgeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="edge"):
    """The versions that an edge machine has; the member answers with updates of outdated ones.

    :param edge: the machine's name.
    :param configuration_version: of the configuration in force at the machine; None: none yet.
    :param key_ranges: versions of the machine's key ranges, by service.
    :param server_list_digest: digest of the machine's server list; None: none yet.
    :param sent_at: ns on the machine's own monotonic clock; the answer returns it.
    """

    edge: str
    configuration_version: int | None
    key_ranges: dict[str, KeyRangesVersion]
    server_list_digest: int | None
    sent_at: int = 0


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """An edge machine's statistics of a service since its last report.

    :param keys: the shard keys of the requests, one for each request.
    :param servers: by server, the figures of a `sharding.attempt_window.ServerReport`.
    """

    service: str
    keys: list[int]
    servers: dict[str, tuple[float, ...]]


# From a control member to an edge machine.


class MemberHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A member's state, sent in answer to each `EdgeHeartbeat`.

    :param epoch: of the newest membership committed at the sender.
    :param leader: control address of the leader in `term` that the sender knows; "": none.
    :param is_current: whether the sender's state is current, so that its `configuration_version` is the one in force.
    :param configuration_version: None if there is no configuration yet.
    :param voters: control addresses of that membership's voters; during a change, of both the old and the new ones.
    :param edge_count: number of edge machines in session with the sender.
    :param heartbeat_sent_at: `sent_at` of the heartbeat that this answers; the state is not older than that.
    """

    epoch: int
    term: int
    leader: str
    is_current: bool
    configuration_version: int | None
    voters: tuple[str, ...]
    edge_count: int
    heartbeat_sent_at: int = 0


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """The configuration in force, as the operator sent it."""

    version: int
    text: bytes


class KeyRangesUpdate(msgspec.Struct, frozen=True, array_like=True, tag="lines"):
    """All key ranges of a service as recorded in the log, and those whose release by their holders has begun since."""

    service: str
    version: KeyRangesVersion
    key_ranges: list[RangeHolder]
    releasing: list[RangeHolder] = []


class KeyRangesDelta(msgspec.Struct, frozen=True, array_like=True, tag="changed"):
    """The key ranges that changed from `base_version` to `version`; it applies only to that base version."""

    service: str
    base_version: KeyRangesVersion
    version: KeyRangesVersion
    key_ranges: list[RangeHolder]


ViewUpdate = MemberHeartbeat | ConfigurationUpdate | KeyRangesUpdate | KeyRangesDelta | ServerListUpdate
"""Messages that update an edge machine's view (`transport.edge_view`)."""
ToEdge = ViewUpdate | UsageCountsReply


# Between control members.


class Envelope(msgspec.Struct, frozen=True, array_like=True, tag="member"):
    """A message of one control member to another.

    :param sender: the sender's identity.
    :param receiver: the receiver's identity; "": any member at the address. A message for a former incarnation is
        dropped by the receiver.
    """

    sender: str
    receiver: str
    message: Message


ToMember = Envelope | EdgeHeartbeat | LoadReport | UsageCounts

_encoder = msgspec.msgpack.Encoder()
_edge_decoder: msgspec.msgpack.Decoder[ToEdge] = msgspec.msgpack.Decoder(ToEdge)
_member_decoder: msgspec.msgpack.Decoder[ToMember] = msgspec.msgpack.Decoder(ToMember)


def encode(message: ToEdge | ToMember) -> bytes:
    """Return the message as msgpack."""
    return _encoder.encode(message)


def decode_at_edge(body: bytes) -> ToEdge:
    """Return the message for an edge machine that `body` encodes.

    :raises ValueError: `body` is not such a message.
    """
    return _edge_decoder.decode(body)


def decode_at_member(body: bytes) -> ToMember:
    """Return the message for a control member that `body` encodes.

    :raises ValueError: `body` is not such a message.
    """
    return _member_decoder.decode(body)
