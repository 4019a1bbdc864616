"""Snapshots on their way from the leader to a follower: in pieces, with a checksum of the whole, never half applied.

A follower keeps what it has of a snapshot while the checksum stays the same, so a transfer goes on where it broke off,
also from another leader that has made the same snapshot.
"""

import hashlib

import msgspec

from kestrelplank.consensus.consensus_messages import SnapshotChunk
from kestrelplank.consensus.log_entries import Snapshot

CHUNK_BYTES = 32 << 10
encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Snapshot)


def checksum(data: bytes) -> bytes:
    """What tells one snapshot's bytes from another's; 16 bytes."""
    return hashlib.blake2b(data, digest_size=16).digest()


class OutgoingSnapshot:
    """A snapshot that is sent to one follower. `offset`: all bytes before it are there."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.index = snapshot.index
        self.data = encoder.encode(snapshot)
        self.digest = checksum(self.data)
        self.offset = 0

    def piece(self, term: int, epoch: int, round_number: int) -> SnapshotChunk:
        """The next piece that the follower lacks."""
        data = self.data[self.offset : self.offset + CHUNK_BYTES]
        return SnapshotChunk(term, epoch, self.index, len(self.data), self.digest, self.offset, data, round_number)

    def confirmed(self, digest: bytes, offset: int) -> bool:
        """The follower has all before `offset`. Returns whether that is news and something is left to send."""
        if digest != self.digest or offset == self.offset or offset > len(self.data):
            return False
        self.offset = offset
        return offset < len(self.data)


class IncomingSnapshot:
    """What a follower has of a snapshot."""

    def __init__(self, digest: bytes, size: int) -> None:
        self.digest, self.size = digest, size
        self.data = bytearray()

    def take(self, piece: SnapshotChunk) -> None:
        """Adds a piece if it is the next one; others change nothing."""
        if piece.offset == len(self.data):
            self.data += piece.data

    @property
    def complete(self) -> bool:
        return len(self.data) >= self.size

    def decode(self) -> Snapshot | None:
        """The snapshot; None where the bytes are not what the checksum says."""
        data = bytes(self.data)
        if len(data) != self.size or checksum(data) != self.digest:
            return None
        try:
            return decoder.decode(data)
        except msgspec.DecodeError:
            return None
