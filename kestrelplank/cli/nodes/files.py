"""Reads the files of the `nodes` commands: the operator's file, its node lists, and the state file."""

import glob
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from kestrelplank.command_output import ExitCode, exit_on_invalid_settings, print_error
from kestrelplank.file_discovery.node_files import load_state, read_bounded_file
from kestrelplank.file_discovery.node_list import parse_node_list
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.operator import INI_VARIABLE, NodeFileSettings, read_operator_settings
from kestrelplank.state.node_set import InvalidNodeSetError, NodeList
from kestrelplank.state.node_set_in_force import StoredNodeSet


@contextmanager
def exit_on_unusable_files() -> Iterator[None]:
    """End the command if the files are invalid, with a line for each conflict or a single reason."""
    try:
        with exit_on_invalid_settings():
            yield
    except InvalidNodeSetError as err:
        for conflict in err.conflicts:
            print_error(conflict)
        sys.exit(ExitCode.INVALID_INPUT)
    except OSError as err:
        print_error(f"{err.filename}: can't be read: {err.strerror}")
        sys.exit(ExitCode.INVALID_INPUT)


def read_node_file_settings(path: str | None) -> NodeFileSettings:
    """Return the settings of node lists in the operator's file.

    :raises InvalidSettingsError: no file is named, or it can't be read or is invalid.
    """
    if not path:
        raise InvalidSettingsError(f"no operator's file: name one with --ini or {INI_VARIABLE}")
    return read_operator_settings(IniFile.load(path)).nodes


def read_node_lists(paths: Iterable[str], settings: NodeFileSettings) -> list[NodeList]:
    """Return the node lists in these files; the settings' limits apply to each."""
    return [
        parse_node_list(
            path,
            read_bounded_file(path, settings.max_file_bytes),
            max_nodes=settings.max_nodes,
            trailer_required=settings.trailer_required,
        )
        for path in paths
    ]


def expand_patterns(settings: NodeFileSettings) -> list[str]:
    """Return the files that match the operator's patterns; a path without wildcards is returned even if missing."""
    paths: dict[str, None] = {}
    for pattern in settings.files:
        matches = sorted(glob.glob(pattern))  # noqa: PTH207 - Path.glob takes no absolute pattern
        if not matches and not glob.has_magic(pattern):
            matches = [pattern]
        paths.update(dict.fromkeys(matches))
    return list(paths)


def read_state(settings: NodeFileSettings) -> StoredNodeSet | None:
    """Return the node set in force, its version and the history of versions; None if there is no state file."""
    return load_state(settings.state_path) if settings.state_path else None
