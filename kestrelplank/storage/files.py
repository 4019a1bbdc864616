"""File operations for the log file. All block, and raise OSError if the disk fails."""

import logging
import os
import tempfile
from pathlib import Path

from kestrelplank.file_discovery.atomic_write import sync_directory

log = logging.getLogger("storage")


def create_folder(folder: Path) -> None:
    """Create the folder and its missing parents durably."""
    if folder.is_dir():
        return
    parent = folder.absolute().parent
    create_folder(parent)
    folder.mkdir(parents=True, exist_ok=True)
    sync_directory(str(parent))


def replace_file(path: Path, data: bytes, temporary_prefix: str) -> int:
    """Atomically replace the file at `path` and return the open descriptor of the new one.

    Until the folder is synced, the old file may reappear under the name after a power loss.
    """
    fd, temporary = tempfile.mkstemp(dir=path.parent, prefix=temporary_prefix)
    try:
        write_at(fd, data, 0)
        os.fsync(fd)
        Path(temporary).replace(path)
    except OSError:
        os.close(fd)
        remove_if_possible(Path(temporary))
        raise
    return fd


def write_at(fd: int, data: bytes, offset: int) -> None:
    """Write all of the data at `offset`."""
    remaining = memoryview(data)
    while remaining:
        written = os.pwrite(fd, remaining, offset)
        remaining, offset = remaining[written:], offset + written


def truncate_durably(fd: int, size_bytes: int) -> None:
    """Truncate the file to that size, and sync it."""
    os.ftruncate(fd, size_bytes)
    os.fsync(fd)


def read_all(fd: int) -> bytes:
    """Return the file's complete content."""
    with os.fdopen(os.dup(fd), "rb") as file:
        return file.read()


def remove_if_possible(path: Path) -> None:
    """Remove a temporary file; if that fails, the next start removes it (`remove_leftovers`)."""
    try:
        path.unlink()
    except OSError as err:
        log.warning("Storage: leaving %s until the next start, as it can't be removed: %s", path, err)


def remove_leftovers(folder: Path, prefixes: tuple[str, ...]) -> None:
    """Remove the files in the folder whose names start with one of the prefixes."""
    for path in list(folder.iterdir()):
        if path.name.startswith(prefixes):
            path.unlink()
