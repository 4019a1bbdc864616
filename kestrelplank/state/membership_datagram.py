"""The datagrams by which assigners tell each other who is alive, and sums of zones: at most 256 bytes."""

import struct
from typing import NamedTuple

MAX_DATAGRAM_BYTES = 256
FORMAT_VERSION = 1
HEADER = struct.Struct("!BBHI")  # format, members that follow, zones that follow, sender
MEMBER = struct.Struct("!HII")  # number, incarnation, heartbeat
ZONE = struct.Struct("!BHHH")  # zone, demand, capacity, ready nodes
MAX_FIGURE = 0xFFFF  # of a zone; larger ones are sent as this


class MalformedDatagramError(ValueError):
    """A datagram that is none of ours; the text says why."""


class MemberHeartbeat(NamedTuple):
    """The newest heartbeat known of a member, in the incarnation that sent it."""

    number: int
    incarnation: int
    heartbeat: int


class ZoneSums(NamedTuple):
    """A zone's demand and capacity as a sender sees them, in whole ops a second, and its ready nodes."""

    zone: int
    demand: int
    capacity: int
    ready: int


class MembershipDatagram(NamedTuple):
    """What one datagram says; the sender's own heartbeat comes first."""

    sender: int
    members: list[MemberHeartbeat]
    zones: list[ZoneSums]


def encode(sender: int, members: list[MemberHeartbeat], zones: list[ZoneSums]) -> bytes:
    """Return one datagram; members that do not fit are left out, from the end."""
    zones = zones[: (MAX_DATAGRAM_BYTES - HEADER.size - MEMBER.size) // ZONE.size]
    room = (MAX_DATAGRAM_BYTES - HEADER.size - len(zones) * ZONE.size) // MEMBER.size
    members = members[:room]
    parts = [HEADER.pack(FORMAT_VERSION, len(members), len(zones), sender)]
    parts += [MEMBER.pack(*member) for member in members]
    parts += [ZONE.pack(sums.zone, *(min(MAX_FIGURE, max(0, figure)) for figure in sums[1:])) for sums in zones]
    return b"".join(parts)


def decode(body: bytes) -> MembershipDatagram:
    """Return what a datagram says.

    :raises MalformedDatagramError: it is no message of this format.
    """
    if len(body) < HEADER.size:
        raise MalformedDatagramError(f"{len(body)} bytes")
    format_version, member_count, zone_count, sender = HEADER.unpack_from(body)
    if format_version != FORMAT_VERSION:
        raise MalformedDatagramError(f"form {format_version} is not known")
    zones_start = HEADER.size + member_count * MEMBER.size
    if len(body) != zones_start + zone_count * ZONE.size or not member_count:
        raise MalformedDatagramError("its length is not what it says")
    members = [MemberHeartbeat(*fields) for fields in MEMBER.iter_unpack(body[HEADER.size : zones_start])]
    zones = [ZoneSums(*fields) for fields in ZONE.iter_unpack(body[zones_start:])]
    return MembershipDatagram(sender, members, zones)
