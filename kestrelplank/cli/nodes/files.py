"""What the `nodes` commands read: the operator's file, the node lists that it names, and the set that is in force."""

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
def refusing_unusable_files() -> Iterator[None]:
    """End the command with a line for each conflict, or the one reason, why the files cannot be used."""
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
    """Return what the operator's file says of node lists.

    :raises InvalidSettingsError: there is no such file, or it cannot be used.
    """
    if not path:
        raise InvalidSettingsError(f"no operator's file: name one with --ini or {INI_VARIABLE}")
    return read_operator_settings(IniFile.load(path)).nodes


def read_node_lists(paths: Iterable[str], settings: NodeFileSettings) -> list[NodeList]:
    """Return the node lists in these files, each of which the settings' bounds hold for."""
    return [
        parse_node_list(
            path,
            read_bounded_file(path, settings.max_file_bytes),
            max_nodes=settings.max_nodes,
            trailer_required=settings.trailer_required,
        )
        for path in paths
    ]


def paths_of(settings: NodeFileSettings) -> list[str]:
    """Return the files that the operator's patterns name; a path without a pattern must be there."""
    paths: dict[str, None] = {}
    for pattern in settings.files:
        matches = sorted(glob.glob(pattern))  # noqa: PTH207 - Path.glob takes no absolute pattern
        if not matches and not glob.has_magic(pattern):
            matches = [pattern]
        paths.update(dict.fromkeys(matches))
    return list(paths)


def read_state(settings: NodeFileSettings) -> StoredNodeSet | None:
    """Return the set in force, its version and the versions before it; None where no state is kept."""
    return load_state(settings.state_path) if settings.state_path else None
