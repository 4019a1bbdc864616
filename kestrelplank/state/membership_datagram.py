"""Encoding of the datagrams with heartbeats and zone sums that assigners exchange: at most 256 bytes."""

import struct
from typing import NamedTuple

MAX_DATAGRAM_BYTES = 256
FORMAT_VERSION = 1
HEADER = struct.Struct("!BBHI")  # format version, member count, zone count, sender
MEMBER = struct.Struct("!HII")  # number, incarnation, heartbeat
ZONE = struct.Struct("!BHHH")  # zone, demand, capacity, ready nodes
MAX_ZONE_VALUE = 0xFFFF  # larger demand, capacity and node counts are sent as this


class MalformedDatagramError(ValueError):
    """A datagram is not valid in this format; the text says why."""


class MemberHeartbeat(NamedTuple):
    """The newest known heartbeat of a member, and the incarnation that sent it."""

    number: int
    incarnation: int
    heartbeat: int


class ZoneSums(NamedTuple):
    """A zone's demand and capacity as the sender sees them, in ops per second, and its number of ready nodes."""

    zone: int
    demand: int
    capacity: int
    ready: int


class MembershipDatagram(NamedTuple):
    """A decoded datagram; the sender's own heartbeat comes first."""

    sender: int
    members: list[MemberHeartbeat]
    zones: list[ZoneSums]


def encode(sender: int, members: list[MemberHeartbeat], zones: list[ZoneSums]) -> bytes:
    """Return an encoded datagram; members at the end that do not fit are left out."""
    zones = zones[: (MAX_DATAGRAM_BYTES - HEADER.size - MEMBER.size) // ZONE.size]
    max_members = (MAX_DATAGRAM_BYTES - HEADER.size - len(zones) * ZONE.size) // MEMBER.size
    members = members[:max_members]
    parts = [HEADER.pack(FORMAT_VERSION, len(members), len(zones), sender)]
    parts += [MEMBER.pack(*member) for member in members]
    parts += [ZONE.pack(sums.zone, *(min(MAX_ZONE_VALUE, max(0, value)) for value in sums[1:])) for sums in zones]
    return b"".join(parts)


def decode(body: bytes) -> MembershipDatagram:
    """Decode a datagram.

    :raises MalformedDatagramError: it is not valid in this format.
    """
    if len(body) < HEADER.size:
        raise MalformedDatagramError(f"{len(body)} bytes, shorter than the header")
    format_version, member_count, zone_count, sender = HEADER.unpack_from(body)
    if format_version != FORMAT_VERSION:
        raise MalformedDatagramError(f"format version {format_version} is not supported")
    zones_start = HEADER.size + member_count * MEMBER.size
    if len(body) != zones_start + zone_count * ZONE.size or not member_count:
        raise MalformedDatagramError("its length does not match its member and zone counts")
    members = [MemberHeartbeat(*fields) for fields in MEMBER.iter_unpack(body[HEADER.size : zones_start])]
    zones = [ZoneSums(*fields) for fields in ZONE.iter_unpack(body[zones_start:])]
    return MembershipDatagram(sender, members, zones)
