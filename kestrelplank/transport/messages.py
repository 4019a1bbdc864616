"""Messages between the gateway's processes: those of edge machines, and the envelope of members' messages.

What is sent when:

- An edge machine sends each control member in session an `EdgeHeartbeat` at every heartbeat interval. The member
  answers with a `MemberHeartbeat`, followed by whatever the heartbeat shows to be missing: a `ConfigurationUpdate`, a
  `KeyRangesUpdate` a service, a `ServerListUpdate`.
- What changes between heartbeats is pushed to all edge machines in session: a `ConfigurationUpdate`, and as a
  `KeyRangesDelta` what the leader recorded of a service, or that a range is leaving its holder.
- An edge machine sends a `LoadReport` a service to the member that assigns the service's keys, twice a second.
- Every message between control members travels in an `Envelope`.

All are msgpack arrays: the tag and the order of the fields are the wire, names of fields are not on it.
"""

import msgspec

from kestrelplank.consensus.member_messages import Message, ServerListUpdate


class KeyRangesVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The version of a service's key ranges. Versions are compared field by field; the greater is the newer.

    :param term: of the leader that recorded them.
    :param record: number of the record in that term.
    :param notice: how many times the leader has announced, since that record, that ranges are leaving their holders.
    """

    term: int = 0
    record: int = 0
    notice: int = 0


class RangeHolder(msgspec.Struct, frozen=True, array_like=True):
    """Who holds the keys from `first` to `last`, both included.

    :param server: "" where nobody does, or where the range is just leaving its holder.
    """

    first: int
    last: int
    server: str
    address: str


# From an edge machine to a control member.


class EdgeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="edge"):
    """The versions that an edge machine has, so that it is sent what it lacks.

    :param edge: the machine's name.
    :param configuration_version: of the configuration that it has in force, None: none yet.
    :param key_ranges: the version of the key ranges that it has, by service.
    :param server_list_digest: of the list of servers that it has, None: none yet.
    :param sent_at: ns on its own steady clock, which the answer gives back.
    """

    edge: str
    configuration_version: int | None
    key_ranges: dict[str, KeyRangesVersion]
    server_list_digest: int | None
    sent_at: int = 0


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """What an edge machine saw of a service since its last report.

    :param keys: the shard keys of the requests, one for each.
    :param servers: by server, the numbers of a `sharding.attempt_window.ServerReport`.
    """

    service: str
    keys: list[int]
    servers: dict[str, tuple[float, ...]]


# From a control member to an edge machine.


class MemberHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """What a member knows, sent in answer to each `EdgeHeartbeat`.

    :param epoch: of the newest membership that is committed here.
    :param leader: control address of who leads in `term` as far as is known here, "": nobody.
    :param is_current: whether the sender is current, so that its `configuration_version` is the one in force.
    :param configuration_version: None where there is no configuration yet.
    :param voters: control addresses of the voters of that membership, on both sides of a change.
    :param edge_count: edge machines in session with the sender.
    :param heartbeat_sent_at: `sent_at` of the heartbeat that this answers: nothing said here is older than that.
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
    """All key ranges of a service as recorded in the log, and those that are being released by their holders since."""

    service: str
    version: KeyRangesVersion
    key_ranges: list[RangeHolder]
    leaving: list[RangeHolder] = []


class KeyRangesDelta(msgspec.Struct, frozen=True, array_like=True, tag="changed"):
    """The key ranges that changed from `base_version` to `version`; it applies to exactly that base version."""

    service: str
    base_version: KeyRangesVersion
    version: KeyRangesVersion
    key_ranges: list[RangeHolder]


ToEdge = MemberHeartbeat | ConfigurationUpdate | KeyRangesUpdate | KeyRangesDelta | ServerListUpdate


# Between control members.


class Envelope(msgspec.Struct, frozen=True, array_like=True, tag="member"):
    """A message of one control member to another.

    :param sender: the sender's identity.
    :param receiver: the identity that it is for, "": whoever is at the address. The receiver drops a message for a
        former incarnation.
    """

    sender: str
    receiver: str
    message: Message


ToMember = Envelope | EdgeHeartbeat | LoadReport

_encoder = msgspec.msgpack.Encoder()
_edge_decoder: msgspec.msgpack.Decoder[ToEdge] = msgspec.msgpack.Decoder(ToEdge)
_member_decoder: msgspec.msgpack.Decoder[ToMember] = msgspec.msgpack.Decoder(ToMember)


def encode(message: ToEdge | ToMember) -> bytes:
    """Return a message as msgpack."""
    return _encoder.encode(message)


def decode_at_edge(body: bytes) -> ToEdge:
    """Return the message for an edge machine that `body` encodes.

    :raises ValueError: it encodes none.
    """
    return _edge_decoder.decode(body)


def decode_at_member(body: bytes) -> ToMember:
    """Return the message for a control member that `body` encodes.

    :raises ValueError: it encodes none.
    """
    return _member_decoder.decode(body)
