"""Snapshots on their way from the leader to a follower: in chunks, installed complete or not at all.

A follower keeps what it has of a snapshot while the checksum stays the same. So a transfer goes on where it broke off,
also from another leader that has made the same snapshot.
"""

import hashlib

import msgspec

from kestrelplank.consensus.consensus_messages import SnapshotChunk
from kestrelplank.consensus.log_entries import Snapshot

CHUNK_BYTES = 32 << 10
DIGEST_BYTES = 16

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Snapshot)


def checksum(data: bytes) -> bytes:
    """Return the checksum that identifies an encoded snapshot."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


class OutgoingSnapshot:
    """A snapshot that the leader sends to one follower, which has all its bytes before `offset`."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.index = snapshot.index
        self.data = encoder.encode(snapshot)
        self.digest = checksum(self.data)
        self.offset = 0

    def next_chunk(self, term: int, epoch: int, heartbeat_round: int) -> SnapshotChunk:
        """Return the next chunk that the follower lacks."""
        data = self.data[self.offset : self.offset + CHUNK_BYTES]
        return SnapshotChunk(term, epoch, self.index, len(self.data), self.digest, self.offset, data, heartbeat_round)

    def confirm(self, digest: bytes, offset: int) -> bool:
        """Take in that the follower has all bytes before `offset` of the snapshot with that digest.

        Return whether the next chunk is to be sent: `offset` has changed, and the follower lacks more. It may have gone
        back, as a follower that restarted has none of the chunks.
        """
        if digest != self.digest or offset == self.offset or offset > len(self.data):
            return False
        self.offset = offset
        return offset < len(self.data)


class IncomingSnapshot:
    """A snapshot that a follower has the first bytes of, or all.

    :param digest: checksum of the complete encoded snapshot.
    :param size_bytes: of the complete encoded snapshot.
    """

    def __init__(self, digest: bytes, size_bytes: int) -> None:
        self.digest, self.size_bytes = digest, size_bytes
        self.data = bytearray()

    def add(self, chunk: SnapshotChunk) -> None:
        """Add a chunk if it is the next one; others change nothing."""
        if chunk.offset == len(self.data):
            self.data += chunk.data

    @property
    def complete(self) -> bool:
        """Whether all bytes are here; whether they are the right ones is for `decode`."""
        return len(self.data) >= self.size_bytes

    def decode(self) -> Snapshot | None:
        """Return the snapshot; None where the bytes do not fit the checksum."""
        data = bytes(self.data)
        if len(data) != self.size_bytes or checksum(data) != self.digest:
            return None
        try:
            return decoder.decode(data)
        except msgspec.DecodeError:
            return None
