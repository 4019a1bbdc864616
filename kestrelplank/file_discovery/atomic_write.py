"""Replaces a file atomically: a concurrent reader, or a reader after a crash, sees the old content or the new."""

import os
import tempfile
from pathlib import Path

PERMISSION_BITS = 0o7777


def write_atomically(path: str, data: bytes, mode: int | None = None) -> None:
    """Replace or create the file at `path`.

    Writes and syncs a temporary file in the same directory, renames it, and syncs the directory, as a rename that is
    not synced may be lost in a power failure.

    :param mode: the file's permissions; by default those of the file that is replaced.
    :raises OSError: the file could not be written; the old file is unchanged and the temporary file removed.
    """
    target = Path(path).absolute()
    descriptor, temporary = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fchmod(descriptor, permissions(target) if mode is None else mode)
            os.fsync(descriptor)
        Path(temporary).replace(target)
    except OSError:
        Path(temporary).unlink()
        raise
    sync_directory(str(target.parent))


def permissions(path: Path) -> int:
    """Return the permissions of an existing file, or those that a new file gets by the umask."""
    try:
        return path.stat().st_mode & PERMISSION_BITS
    except FileNotFoundError:
        umask = os.umask(0)
        os.umask(umask)
        return 0o666 & ~umask


def sync_directory(path: str) -> None:
    """Make the directory's entries durable.

    :raises OSError: the directory could not be opened or synced.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
