"""Typed messages between the gateway's processes: those of edge machines, and the envelope round members' messages.

Every message between control members travels in an `Envelope`, which names its sender and whom it is for.
"""

import msgspec

from kestrelplank.consensus.member_messages import Message, ServerListUpdate


class KeyRangesVersion(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Which lines of a service are meant: the term of the leader that recorded them, the number of the record in that
    term, and how many notices of leaving ranges it has told on top of that record."""

    term: int = 0
    record: int = 0
    notice: int = 0


class RangeHolder(msgspec.Struct, frozen=True, array_like=True):
    """Who holds the keys from `first` to `last`, both included; `server` "": nobody, or it just leaves its holder."""

    first: int
    last: int
    server: str
    address: str


# From an edge machine to a control member.


class EdgeHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="edge"):
    """Where an edge machine stands: the version that it goes by (None: none yet), the place of the lines that it has by
    service, and the digest of its list of servers (None: none yet). What it lacks is sent in return. `sent_at`: ns on
    its own steady clock, which the answer gives back."""

    edge: str
    version: int | None
    lines: dict[str, KeyRangesVersion]
    servers: int | None
    sent_at: int = 0


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """What an edge machine saw of a service since its last report: the keys asked for, and by server what
    `sharding.placing` says of tries, failures and load."""

    service: str
    keys: list[int]
    servers: dict[str, tuple[float, ...]]


# From a control member to an edge machine.


class MemberHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Told in answer to each `EdgeHeartbeat`. `epoch`, `voters`: the newest membership that is committed here, control
    addresses; `term`, `leader`: who leads as far as is known here ("": nobody). `current`: the sender may vouch that
    `version` (None: no configuration yet) is in force. `edges`: edge machines in session with it. `answers`: `sent_at`
    of the beat that this answers, so that the edge machine knows how old this word is at most."""

    epoch: int
    term: int
    leader: str
    current: bool
    version: int | None
    voters: tuple[str, ...]
    edges: int
    answers: int = 0


class ConfigurationUpdate(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """The configuration in force, as the operator sent it."""

    version: int
    text: bytes


class KeyRangesUpdate(msgspec.Struct, frozen=True, array_like=True, tag="lines"):
    """All lines of a service as recorded, and the ranges that just leave their holders."""

    service: str
    place: KeyRangesVersion
    lines: list[RangeHolder]
    leaving: list[RangeHolder] = []


class KeyRangesDelta(msgspec.Struct, frozen=True, array_like=True, tag="changed"):
    """What is other at `place` than it was at `since`; of use only to who stands at `since`."""

    service: str
    since: KeyRangesVersion
    place: KeyRangesVersion
    lines: list[RangeHolder]


ToEdge = MemberHeartbeat | ConfigurationUpdate | KeyRangesUpdate | KeyRangesDelta | ServerListUpdate


# Between control members.


class Envelope(msgspec.Struct, frozen=True, array_like=True, tag="member"):
    """`sender`: the identity of the member that sends it; `to`: the identity it is for, "": whoever is at the address.
    A message for a former incarnation is nobody's."""

    sender: str
    to: str
    message: Message


ToMember = Envelope | EdgeHeartbeat | LoadReport

_encoder = msgspec.msgpack.Encoder()
_to_edge = msgspec.msgpack.Decoder(ToEdge)
_to_member = msgspec.msgpack.Decoder(ToMember)


def encode(message: ToEdge | ToMember) -> bytes:
    """A message as msgpack."""
    return _encoder.encode(message)


def decode_at_edge(body: bytes) -> ToEdge:
    """A message for an edge machine. Raises ValueError where it is none."""
    return _to_edge.decode(body)


def decode_at_member(body: bytes) -> ToMember:
    """A message for a control member. Raises ValueError where it is none."""
    return _to_member.decode(body)
