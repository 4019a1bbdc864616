"""A member's disk: the operator's word as plain files, written whole and sealed with a checksum; who the counted
members are; and the registers of claims in lmdb. All calls block: an adapter makes them in a thread of its own."""

import logging
import os
import shutil
from zlib import crc32

import lmdb
import msgspec

from kestrelplank.configuration.plan import Configuration, read
from kestrelplank.decode import Malformed
from kestrelplank.files.whole import sync_folder, write_whole
from kestrelplank.sharding.claims import Register
from kestrelplank.state.sealed import sealed, unsealed

FORM = 1
MAP_BYTES = 16 << 20
KEPT = 2  # versions of the word
ROLL = "roll.json"
PROMISES = "registers"  # lmdb's folder
COMMIT = b"\0commit"  # the number of the commit that wrote it last
log = logging.getLogger("storage")


class Store:
    """The folder of one member. A disk on which anything acknowledged turns out torn is not believed any more: it
    vouches for nothing, as an empty one, until the others have told all they have. What a loss of power can leave of a
    write that was not acknowledged is told apart from that: temporary files, and commits that never were."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._registers: lmdb.Environment | None = None
        os.makedirs(folder, exist_ok=True)
        for name in os.listdir(folder):
            if name.startswith("."):
                os.unlink(os.path.join(folder, name))
        try:
            self._open()
            self.registers()
        except (lmdb.Error, Malformed, msgspec.DecodeError) as err:
            log.warning("Storage: promises can't be used, so this disk counts as empty: %s", err)
            self._doubt()
            self.close()
            shutil.rmtree(os.path.join(folder, PROMISES))
            self._open()

    def _open(self) -> None:
        self._registers = lmdb.open(
            os.path.join(self.folder, PROMISES),
            map_size=MAP_BYTES,
            lock=False,
            readahead=False,
            meminit=False,
            max_readers=4,
        )

    def _doubt(self) -> None:
        """From now on this disk vouches for nothing."""
        try:
            os.unlink(os.path.join(self.folder, ROLL))
        except FileNotFoundError:
            return
        sync_folder(self.folder)

    def roll(self) -> tuple[str, ...] | None:
        """The counted members, if this disk has ever vouched for anything and may be believed."""
        for name in self._words():
            if self._unsealed(name) is None:  # it was written whole before it had that name
                self._doubt()
                os.unlink(os.path.join(self.folder, name))
        found = self._unsealed(ROLL)
        return tuple(found["members"]) if found else None

    def keep_roll(self, members: tuple[str, ...]) -> None:
        """From now on this disk vouches for what it holds."""
        write_whole(os.path.join(self.folder, ROLL), sealed(FORM, {"members": list(members)}))

    def word(self) -> Configuration | None:
        """The highest configuration that is there whole."""
        best: Configuration | None = None
        for name in self._words():
            found = self._unsealed(name)
            timetable = read(found["text"].encode()).value_or(None) if found else None
            if timetable is not None and (best is None or timetable.key > best.key):
                best = timetable
        return best

    def keep_word(self, timetable: Configuration) -> None:
        """Writes a configuration, and removes those that it has long overtaken. Raises OSError."""
        name = f"word-{timetable.key.version:016x}-{timetable.key.digest}.json"
        write_whole(os.path.join(self.folder, name), sealed(FORM, {"text": timetable.text.decode()}))
        for old in self._words()[:-KEPT]:
            os.unlink(os.path.join(self.folder, old))

    def registers(self) -> dict[str, Register]:
        """Promises and records by service. Raises lmdb.Error, Malformed or DecodeError where they can't be used."""
        found = {}
        with self._registers.begin() as reading:
            for service, data in reading.cursor():
                if service != COMMIT:
                    found[service.decode()] = self._register(data)
            # A torn page of lmdb's own may show an older commit under the newest number.
            if int.from_bytes(reading.get(COMMIT, b"")) != reading.id():
                raise Malformed("an older commit than the last one")
        return found

    @staticmethod
    def _register(data: bytes) -> Register:
        body, seal = data[:-4], data[-4:]
        if crc32(body).to_bytes(4) != seal:
            raise Malformed("torn or changed: its checksum does not hold")
        promised, ballot, seq, record = msgspec.msgpack.decode(body)
        return Register(tuple(promised), tuple(ballot), seq, record)

    def keep_registers(self, registers: dict[str, Register]) -> None:
        """Writes these, all or none. What is there never goes back: a write that the disk refused may be tried again
        after a later one. Raises lmdb.Error."""
        with self._registers.begin(write=True) as writing:
            for service, register in registers.items():
                held = writing.get(service.encode())
                if held is not None:
                    register = register.with_all_of(self._register(held))
                body = msgspec.msgpack.encode(tuple(register))
                writing.put(service.encode(), body + crc32(body).to_bytes(4))
            writing.put(COMMIT, writing.id().to_bytes(8))

    def close(self) -> None:
        if self._registers is not None:
            self._registers.close()

    def _words(self) -> list[str]:
        return sorted(name for name in os.listdir(self.folder) if name.startswith("word-"))

    def _unsealed(self, name: str) -> dict | None:
        try:
            with open(os.path.join(self.folder, name), "rb") as file:
                return unsealed(FORM, file.read())
        except FileNotFoundError:
            return None
        except (OSError, Malformed) as err:
            log.warning("Storage: %s can't be used: %s", name, err)
            return None
