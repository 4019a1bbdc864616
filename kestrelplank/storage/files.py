"""Operations on files that the log file is built from. All block, and raise OSError where the disk refuses."""

import logging
import os
import tempfile
from pathlib import Path

from kestrelplank.file_discovery.atomic_write import sync_directory

log = logging.getLogger("storage")


def make_folder(folder: Path) -> None:
    """Make the folder, and those above it, where they are missing, durably."""
    if folder.is_dir():
        return
    parent = folder.absolute().parent
    make_folder(parent)
    folder.mkdir(parents=True, exist_ok=True)
    sync_directory(str(parent))


def replace_file(path: Path, data: bytes, temporary_prefix: str) -> int:
    """Put a new file in the place of the one at `path`, complete or not at all, and return its open descriptor.

    Until the folder is synced, a loss of power may bring the old file back under the name.
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
    """Cut the file to that size, and sync it."""
    os.ftruncate(fd, size_bytes)
    os.fsync(fd)


def read_all(fd: int) -> bytes:
    """Return the file's content from its first byte on."""
    with os.fdopen(os.dup(fd), "rb") as file:
        return file.read()


def remove_if_possible(path: Path) -> None:
    """Remove a temporary file; where the disk refuses, the next start removes it (`remove_leftovers`)."""
    try:
        path.unlink()
    except OSError as err:
        log.warning("Storage: leaving %s until the next start, as it can't be removed: %s", path, err)


def remove_leftovers(folder: Path, prefixes: tuple[str, ...]) -> None:
    """Remove the files in the folder whose names begin with one of these."""
    for path in list(folder.iterdir()):
        if path.name.startswith(prefixes):
            path.unlink()
