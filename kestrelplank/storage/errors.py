"""Errors of a member's log file, by what went wrong."""


class StorageError(Exception):
    """The root of this package's errors."""


class CorruptLogError(StorageError):
    """The file lacks something that had been synced; the text says what."""


class LogFormatError(StorageError, ValueError):
    """The file is intact, but another release wrote it in a format that this one does not know."""


class MissingEntryError(StorageError, ValueError):
    """An entry does not follow the one before it; nothing was written."""

    def __init__(self, index: int, last_index: int) -> None:
        super().__init__(f"entry {index} does not follow {last_index}")


class NoIncarnationError(StorageError, ValueError):
    """A write came before `LogFile.store_incarnation` gave the disk its member's incarnation."""

    def __init__(self) -> None:
        super().__init__("no incarnation is kept yet")


class IncarnationMismatchError(StorageError, ValueError):
    """The disk keeps the incarnation of another member already."""

    def __init__(self, kept: str, given: str) -> None:
        super().__init__(f"this disk is {kept}'s, not {given}'s")


class LogReplacedError(StorageError, OSError):
    """The open file is no longer the one that the next start will read."""
