"""Recovery of a log file's content from its bytes, at a start.

- A last frame that is torn: power was lost while it was written. It was never acknowledged, and is cut off.
- A torn frame with an intact one behind it, or a torn head: the disk lost what it had synced. Nothing that the member
  promised can be relied on, so the disk counts as empty, and the member takes a new identity.

A disk that damages the last frame after it was synced can't be told from a loss of power in that write (R. Alagappan et
al., Protocol-Aware Recovery for Consensus-Based Storage, FAST 2018).
"""

from collections.abc import Sequence
from dataclasses import dataclass

from kestrelplank.storage.entries import replace_from
from kestrelplank.storage.frames import Frame, frames_after, head_frame
from kestrelplank.storage.records import Batch, Head, LogContent, decode_batch, decode_head


@dataclass(frozen=True, slots=True)
class RecoveredLog:
    """The content of a log file, and what appending to it needs to know of its frames."""

    content: LogContent
    salt: bytes
    last_frame: Frame
    frame_count: int


def recover(data: bytes) -> RecoveredLog:
    """Return what a log file's bytes contain.

    :raises CorruptLogError: the disk lost what it had synced.
    :raises LogFormatError: another release wrote the file.
    """
    first_frame = head_frame(data)
    head = decode_head(first_frame)
    frames = [first_frame, *frames_after(data, head.salt, first_frame)]
    content = replay(head, [decode_batch(frame) for frame in frames[1:]])
    return RecoveredLog(content, head.salt, frames[-1], len(frames))


def replay(head: Head, batches: Sequence[Batch]) -> LogContent:
    """Return what a file holds that begins with this head and has these batches in order."""
    hard_state = head.hard_state
    entries = list(head.entries)
    for batch in batches:
        hard_state = batch.hard_state or hard_state
        replace_from(entries, batch.entries)
    return LogContent(head.incarnation, hard_state, head.snapshot, tuple(entries))
