"""Errors of a member's log file."""


class StorageError(Exception):
    """Base class of this package's errors."""


class CorruptLogError(StorageError):
    """The file is damaged: synced data is missing or changed. The text says where."""


class LogFormatError(StorageError, ValueError):
    """The file is intact, but has a format that this release does not support."""


class MissingEntryError(StorageError, ValueError):
    """An entry's index is not contiguous with the last one; nothing was written."""

    def __init__(self, index: int, last_index: int) -> None:
        super().__init__(f"entry {index} is not contiguous with the last entry {last_index}")


class NoIncarnationError(StorageError, ValueError):
    """A write was attempted before `LogFile.store_incarnation`."""

    def __init__(self) -> None:
        super().__init__("no incarnation is stored on this disk yet")


class IncarnationMismatchError(StorageError, ValueError):
    """The disk already stores the incarnation of another member."""

    def __init__(self, stored: str, given: str) -> None:
        super().__init__(f"this disk stores incarnation {stored}, expected {given}")


class LogReplacedError(StorageError, OSError):
    """The open file is not the one at the log's path any more, which the next start reads."""
