"""A proxy's tables and node addresses in a file, so that a restarted proxy can serve without its update source."""

import time
from pathlib import Path

from kestrelplank.assigner.counters import Counters
from kestrelplank.decode import Ids, MalformedError
from kestrelplank.file_discovery.atomic_write import write_atomically
from kestrelplank.state.sealed import decode_checksummed, encode_checksummed
from kestrelplank.state.tables import Tables, UpdateRejectedError

FORMAT_VERSION = 1


class TablesFile:
    """The tables file, written only after changes; with an empty path nothing is read or written."""

    def __init__(self, path: str, counters: Counters, ids: Ids, tables: Tables, addresses: dict[int, str]) -> None:
        self._path, self._counters = path, counters
        self._ids, self._tables, self._addresses = ids, tables, addresses
        self._has_changes = False

    def mark_changed(self) -> None:
        """Record that the tables have changed since they were last written."""
        self._has_changes = True

    def restore(self) -> bool:
        """Read tables and addresses from the file; return whether it held any that can be used."""
        if not self._path:
            return False
        try:
            restored = decode_checksummed(FORMAT_VERSION, Path(self._path).read_bytes())
            self._tables.restore(restored["tables"], self._ids.node)
            self._addresses.update((self._ids.node(name), at) for name, at in restored["addresses"].items())
        except FileNotFoundError:
            return False
        except (OSError, MalformedError, UpdateRejectedError) as err:
            self._counters.record_fault("tables_not_restored", f"{self._path}: {err}")
            return False
        self._counters.info("tables_restored", age_s=round(time.time() - restored["at"], 1))
        return bool(restored["at"])

    def save(self) -> None:
        """Write the current tables if they have changed since the last write."""
        if not (self._has_changes and self._path):
            return
        self._has_changes = False
        names = self._ids.node_ids
        content = {
            "at": time.time(),
            "tables": self._tables.content(lambda node: str(names[node])),
            "addresses": {names[node]: at for node, at in self._addresses.items()},
        }
        try:
            write_atomically(self._path, encode_checksummed(FORMAT_VERSION, content))
        except OSError as err:
            self._counters.record_fault("tables_not_kept", f"{self._path}: {err.strerror}")
