"""Recovery of a log file's content from its bytes at a start.

- Torn last frame: power was lost during its write. It was never acknowledged, and is truncated.
- Damaged frame before an intact one, or damaged head: the disk lost or changed synced data, so the member's votes and
  acknowledgements can't be relied on. The disk counts as empty, and the member gets a new incarnation.

Damage to the last frame after its sync can't be distinguished from a power loss during its write (R. Alagappan et al.,
Protocol-Aware Recovery for Consensus-Based Storage, FAST 2018).
"""

from collections.abc import Sequence
from dataclasses import dataclass

from kestrelplank.storage.entries import replace_from
from kestrelplank.storage.frames import Frame, frames_after, head_frame
from kestrelplank.storage.records import Batch, Head, LogContent, decode_batch, decode_head


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The content of a log file, and the data about its frames that appending needs."""

    content: LogContent
    salt: bytes
    last_frame: Frame
    frame_count: int


def recover(data: bytes) -> RecoveredLog:
    """Decode the bytes of a log file.

    :raises CorruptLogError: the disk lost or changed synced data.
    :raises LogFormatError: the format is not supported by this release.
    """
    first_frame = head_frame(data)
    head = decode_head(first_frame)
    frames = [first_frame, *frames_after(data, head.salt, first_frame)]
    content = replay(head, [decode_batch(frame) for frame in frames[1:]])
    return RecoveredLog(content, head.salt, frames[-1], len(frames))


def replay(head: Head, batches: Sequence[Batch]) -> LogContent:
    """Return the content of a file with this head, followed by these batches in order."""
    hard_state = head.hard_state
    entries = list(head.entries)
    for batch in batches:
        hard_state = batch.hard_state or hard_state
        replace_from(entries, batch.entries)
    return LogContent(head.incarnation, hard_state, head.snapshot, tuple(entries))
