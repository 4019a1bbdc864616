"""Snapshot transfer from the leader to a follower: in chunks, installed completely or not at all.

A follower keeps the chunks of a snapshot while the checksum stays the same. So a transfer resumes where it stopped,
even from another leader that has created the same snapshot.
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
    """A snapshot that is sent to one follower, which has all bytes before `offset`."""

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
        """Record that the follower has all bytes before `offset` of the snapshot with that digest.

        Return whether to send the next chunk: `offset` has changed, and bytes are missing. It may have decreased, as a
        follower that restarted has none of the chunks.
        """
        if digest != self.digest or offset == self.offset or offset > len(self.data):
            return False
        self.offset = offset
        return offset < len(self.data)


class IncomingSnapshot:
    """A snapshot that a follower is receiving.

    :param digest: checksum of the complete encoded snapshot.
    :param size_bytes: of the complete encoded snapshot.
    """

    def __init__(self, digest: bytes, size_bytes: int) -> None:
        self.digest, self.size_bytes = digest, size_bytes
        self.data = bytearray()

    def add(self, chunk: SnapshotChunk) -> None:
        """Append a chunk if it is the next one; ignore any other."""
        if chunk.offset == len(self.data):
            self.data += chunk.data

    @property
    def complete(self) -> bool:
        """Whether all bytes have arrived; `decode` verifies them."""
        return len(self.data) >= self.size_bytes

    def decode(self) -> Snapshot | None:
        """Return the snapshot; None if the bytes do not match the checksum or can't be decoded."""
        data = bytes(self.data)
        if len(data) != self.size_bytes or checksum(data) != self.digest:
            return None
        try:
            return decoder.decode(data)
        except msgspec.DecodeError:
            return None
