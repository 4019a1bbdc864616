"""Files and records written by commit 4f929ce must decode to the recorded values, and encode to the recorded bytes.

`data/4f929ce/README.md` describes how they were recorded.
"""

import json
import os
import shutil
from pathlib import Path

import msgspec
import pytest
from by_position import by_position
from consensus.test_recorded_bytes import COMMANDS

from kestrelplank.consensus import snapshots
from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.log_entries import Command, Entry, HardState, Snapshot
from kestrelplank.control.shard_record import encode_record, read_record
from kestrelplank.decode import MalformedError
from kestrelplank.sharding.timing import LEASE_DURATION_NS
from kestrelplank.state import journal
from kestrelplank.state.change_guard import ChangeLimits
from kestrelplank.state.control_state import ControlState
from kestrelplank.state.node_set_in_force import NodeSetInForce, decode_stored_node_set
from kestrelplank.state.sealed import decode_checksummed, encode_checksummed
from kestrelplank.state.tables import Tables
from kestrelplank.storage.log_file import LogFile

COMMANDS_ADDED_SINCE = {"role", "usage"}  # their bytes are recorded in tests/consensus/test_recorded_bytes.py
DATA = Path(__file__).parent / "data" / "4f929ce"


def values(name):
    return json.loads((DATA / name).read_text())


LOG_FILES = values("log_files/values.json")


def loaded(folder):
    """Return what a start loads from the folder: incarnation, hard state, snapshot, entries."""
    log = LogFile(os.fspath(folder))
    content = log.load()
    log.close()
    return [
        by_position(value) for value in (content.incarnation, content.hard_state, content.snapshot, content.entries)
    ]


def copied(name, folder):
    return Path(shutil.copytree(DATA / "log_files" / name, folder / name))


# A control member's disk.


@pytest.mark.parametrize("name", LOG_FILES["files"])
def test_log_file_loads_to_the_recorded_values(name, tmp_path):
    folder = copied(name, tmp_path)
    assert loaded(folder) == LOG_FILES["files"][name]["loaded"]
    assert loaded(folder) == LOG_FILES["files"][name]["loaded"]  # loading may have changed the file


@pytest.mark.parametrize("name", [name for name, file in LOG_FILES["files"].items() if "writes" in file])
def test_log_file_of_the_recorded_writes_has_the_recorded_bytes(name, tmp_path, monkeypatch):
    salt = bytes.fromhex(LOG_FILES["salt"])
    monkeypatch.setattr(os, "urandom", lambda size: salt[:size])
    log = LogFile(os.fspath(tmp_path))
    log.load()
    log.store_incarnation(LOG_FILES["incarnation"])
    for persists in LOG_FILES["files"][name]["writes"]:
        log.write(
            [
                Persist(
                    number,
                    msgspec.convert(hard_state, HardState | None),
                    msgspec.convert(snapshot, Snapshot | None),
                    msgspec.convert(entries, tuple[Entry, ...]),
                )
                for number, hard_state, snapshot, entries in persists
            ]
        )
    log.close()
    assert (tmp_path / "log").read_bytes() == (DATA / "log_files" / name / "log").read_bytes()


def test_loading_a_log_file_does_not_change_it(tmp_path):
    folder = copied("compacted", tmp_path)
    loaded(folder)
    assert (folder / "log").read_bytes() == (DATA / "log_files/compacted/log").read_bytes()


def test_torn_tail_is_truncated(tmp_path):
    folder = copied("torn_tail", tmp_path)
    loaded(folder)
    assert (DATA / "log_files/appended/log").read_bytes().startswith((folder / "log").read_bytes())


def test_log_file_damaged_before_its_end_counts_as_empty(tmp_path):
    folder = copied("appended", tmp_path)
    data = bytearray((folder / "log").read_bytes())
    data[len(data) // 2] ^= 1
    (folder / "log").write_bytes(data)
    assert loaded(folder) == [None, by_position(HardState()), None, []]


def test_recorded_log_files_contain_every_kind_of_command():
    commands = [entry[2][0] for file in LOG_FILES["files"].values() for entry in file["loaded"][3]]
    kinds = {kind.__struct_config__.tag for kind in Command.__args__}
    assert set(commands) == kinds - COMMANDS_ADDED_SINCE
    assert COMMANDS_ADDED_SINCE <= {type(command).__struct_config__.tag for command in COMMANDS.values()}


def test_configuration_copy_has_the_recorded_name_and_bytes(tmp_path):
    copies = sorted((DATA / "log_files/compacted").glob("configuration-*"))
    assert len(copies) == 2
    log = LogFile(os.fspath(tmp_path))
    for copy in copies:
        log.write_configuration_copy(json.loads(copy.read_bytes())["version"], copy.read_bytes())
    assert [(path.name, path.read_bytes()) for path in sorted(tmp_path.glob("configuration-*"))] == [
        (path.name, path.read_bytes()) for path in copies
    ]


@pytest.mark.parametrize("name", values("control_state_snapshots.json"))
def test_control_state_snapshot_is_restored_to_the_recorded_values(name):
    example = values("control_state_snapshots.json")[name]
    data = bytes.fromhex(example["bytes"])
    state = ControlState()
    state.restore(data)
    assert by_position(state.configuration) == example["value"]["configuration"]
    assert {service: record.hex() for service, record in state.records.items()} == example["value"]["records"]
    assert state.version == example["value"]["version"]
    assert state.snapshot() == data


def test_snapshot_sent_to_a_follower_has_the_recorded_bytes_and_checksum():
    example = values("consensus_snapshot.json")
    data = bytes.fromhex(example["bytes"])
    snapshot = snapshots.decoder.decode(data)
    assert by_position(snapshot) == example["value"]
    assert snapshots.encoder.encode(snapshot) == data
    assert snapshots.checksum(data).hex() == example["digest"]


@pytest.mark.parametrize("name", values("key_ranges_records.json"))
def test_key_ranges_record_is_read_to_the_recorded_values(name):
    example = values("key_ranges_records.json")[name]
    data = bytes.fromhex(example["bytes"])
    record = read_record(data)
    *found, max_lease_ns = by_position(record)
    assert found == example["value"] and max_lease_ns == LEASE_DURATION_NS
    if name == "record":
        assert encode_record(record) == data


# Other durable files.


@pytest.mark.parametrize("name", values("journals/values.json"))
def test_journal_is_read_to_the_recorded_values(name):
    found = journal.recover((DATA / "journals" / name).read_bytes())
    assert by_position(list(found)) == values("journals/values.json")[name]


def test_journal_of_the_recorded_values_has_the_recorded_bytes():
    records = [value for _, value in values("journals/values.json")["appended"][0]]
    new_journal = journal.Journal()
    for value in records:
        new_journal.add(value)
    assert new_journal.take_unwritten() == (DATA / "journals/appended").read_bytes()
    (first, _), *_ = compacted = values("journals/values.json")["compacted"][0]
    assert (
        journal.encode_compacted([value for _, value in compacted], first) == (DATA / "journals/compacted").read_bytes()
    )


def test_node_set_is_read_to_the_recorded_values_and_encoded_to_the_recorded_bytes():
    data = (DATA / "node_list_state").read_bytes()
    nodes, version, history = decode_stored_node_set(data)
    assert {
        "nodes": {name: list(listed) for name, listed in nodes.nodes.items()},
        "hash": nodes.hash,
        "version": version,
        "history": [list(entry) for entry in history],
    } == values("node_list_state.values.json")
    assert NodeSetInForce(ChangeLimits(0.25, 0, False), nodes, version, history).encode() == data
    with pytest.raises(MalformedError):
        decode_stored_node_set(data[:-3])


def test_tables_are_read_to_the_recorded_values_and_encoded_to_the_recorded_bytes():
    data, expected = (DATA / "reference_proxy_state").read_bytes(), values("reference_proxy_state.values.json")
    found = decode_checksummed(1, data)
    assert found == expected["unsealed"]
    node_ids = expected["node_ids"]
    names = {node: name for name, node in node_ids.items()}
    tables = Tables(expected["tables"], expected["op_types"], expected["usual_again"])
    tables.restore(found["tables"], node_ids.__getitem__)
    every = range(expected["tables"])
    assert [{names[node]: weight for node, weight in tables.weights(table).items()} for table in every] == expected[
        "lines"
    ]
    assert [[[names[node], weight] for node, weight in tables.available(table)] for table in every] == expected["open"]
    assert [tables.owner(table) for table in every] == expected["source"]
    shares = [[tables.admitted_share(table, op_type) for op_type in range(expected["op_types"])] for table in every]
    assert shares == expected["share"]
    assert [tables.retry_mode(table) for table in every] == expected["again"]
    assert {
        source: [names[node] for node in tables.withdrawn(int(source))] for source in expected["withdrawn"]
    } == expected["withdrawn"]
    state = {"at": found["at"], "tables": tables.content(names.__getitem__), "addresses": found["addresses"]}
    assert encode_checksummed(1, state) == data
