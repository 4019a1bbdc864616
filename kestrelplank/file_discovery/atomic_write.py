"""A file written as a whole or not at all: who reads it meanwhile, or after a crash, finds the old text or the new."""

import os
import tempfile
from pathlib import Path

PERMISSION_BITS = 0o7777


def write_atomically(path: str, data: bytes) -> None:
    """Replace the file at `path`, or make it; it keeps the mode of what it replaces.

    A temporary file in the same directory, fsync, rename, fsync of the directory, since a rename may be forgotten by a
    machine that loses its power.

    :raises OSError: it could not be written; then the old file stands and nothing is left behind.
    """
    target = Path(path).absolute()
    descriptor, temporary = tempfile.mkstemp(dir=target.parent, prefix=f".{target.name}.")
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fchmod(descriptor, permissions(target))
            os.fsync(descriptor)
        Path(temporary).replace(target)
    except OSError:
        Path(temporary).unlink()
        raise
    sync_directory(str(target.parent))


def permissions(path: Path) -> int:
    """Return the permissions of the file that is there, or those that a new one gets."""
    try:
        return path.stat().st_mode & PERMISSION_BITS
    except FileNotFoundError:
        umask = os.umask(0)
        os.umask(umask)
        return 0o666 & ~umask


def sync_directory(path: str) -> None:
    """Make the directory's entries durable.

    :raises OSError: the disk refuses.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
