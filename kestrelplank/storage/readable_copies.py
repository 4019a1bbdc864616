"""Plain copies of the newest configurations, for operators to read; the program never reads them."""

import logging
from pathlib import Path

from kestrelplank.file_discovery.atomic_write import write_atomically

PREFIX, SUFFIX = "configuration-", ".json"
TEMPORARY_PREFIX = f".{PREFIX}"  # names of copies that are being written
MAX_COPIES = 2
OWNER_ONLY = 0o600  # a configuration contains the tenants' API keys
log = logging.getLogger("storage")


def write_readable_copy(folder: Path, version: int, text: bytes) -> None:
    """Write a configuration as a plain file, and remove all but the newest copies; errors are only logged."""
    try:
        write_atomically(str(folder / copy_name(version)), text, mode=OWNER_ONLY)
        for path in readable_copies(folder)[:-MAX_COPIES]:
            path.unlink()
    except OSError as err:
        log.warning("Storage: can't write the plain copy of configuration %08x: %s", version, err)


def copy_name(version: int) -> str:
    """Return the file name of a copy; names sort by version."""
    return f"{PREFIX}{version:016x}{SUFFIX}"


def readable_copies(folder: Path) -> list[Path]:
    """Return the copies in the folder, oldest version first."""
    return sorted(path for path in folder.iterdir() if path.name.startswith(PREFIX) and path.name.endswith(SUFFIX))
