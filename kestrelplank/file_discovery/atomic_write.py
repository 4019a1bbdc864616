"""A file written whole or not at all: whoever reads it meanwhile, or after a crash, finds the old text or the new."""

import os
import tempfile


def write_atomically(path: str, data: bytes) -> None:
    """Replaces the file at `path`, or makes it: a temporary file in the same folder, fsync, rename, fsync of the
    folder, since a rename may be forgotten by a machine that loses its power. Keeps the mode of what it replaces.
    Raises OSError, and then the old file stands and nothing is left behind."""
    folder = os.path.dirname(os.path.abspath(path))
    fd, temporary = tempfile.mkstemp(dir=folder, prefix=f".{os.path.basename(path)}.")
    try:
        with os.fdopen(fd, "wb") as file:
            file.write(data)
            file.flush()
            os.fchmod(fd, mode(path))
            os.fsync(fd)
        os.replace(temporary, path)
    except OSError:
        os.unlink(temporary)
        raise
    sync_directory(folder)


def mode(path: str) -> int:
    """The permissions of the file that stands there, or what a new one gets."""
    try:
        return os.stat(path).st_mode & 0o7777
    except FileNotFoundError:
        umask = os.umask(0)
        os.umask(umask)
        return 0o666 & ~umask


def sync_directory(folder: str) -> None:
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
