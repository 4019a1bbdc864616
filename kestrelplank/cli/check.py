"""`kestrelplank check FILE...`: validates operator's files, relay's files, scripts, and node lists as one set."""

import sys
from enum import StrEnum

import click

from kestrelplank.command_output import ExitCode, print_error
from kestrelplank.settings.errors import InvalidSettingsError
from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.operator import NodeFileSettings, read_operator_settings
from kestrelplank.settings.reference_proxy import read_reference_proxy_settings
from kestrelplank.state.node_set import InvalidNodeSetError, NodeList, assemble


class FileKind(StrEnum):
    """The kind of a file, as the command prints it."""

    REFERENCE_PROXY = "relay's file"
    SCRIPT = "script"
    NODE_LIST = "node list"
    OPERATOR = "operator's file"


@click.command()
@click.argument("paths", metavar="FILE...", nargs=-1, required=True, type=click.Path())
def command(paths: tuple[str, ...]) -> None:
    """Validate files; all node lists among them are also checked together as one set."""
    unusable, node_lists = False, []
    for path in paths:
        try:
            kind, node_list = check_file(path)
            print(f"{path}: {kind}, good")
        except InvalidSettingsError as err:
            unusable = True
            print_error(err)
        else:
            node_lists += [node_list] if node_list else []
    if node_lists and not unusable:
        unusable = not check_node_set(node_lists)
    sys.exit(ExitCode.INVALID_INPUT if unusable else ExitCode.DONE)


def check_file(path: str) -> tuple[FileKind, NodeList | None]:
    """Read a file by its kind; return the kind and, for a node list, its content.

    :raises InvalidSettingsError: the file is invalid.
    """
    ini = IniFile.load(path)
    kind = kind_of(ini)
    match kind:
        case FileKind.SCRIPT:
            from kestrelplank.emulator.script import read_script

            read_script(ini)
        case FileKind.REFERENCE_PROXY:
            read_reference_proxy_settings(ini)
        case FileKind.NODE_LIST:
            from kestrelplank.cli.nodes.files import read_node_lists

            return kind, read_node_lists([path], NodeFileSettings())[0]
        case FileKind.OPERATOR:
            read_operator_settings(ini)
    return kind, None


def kind_of(ini: IniFile) -> FileKind:
    """Return the kind of a file, by its sections."""
    section_kinds = {section.kind for section in ini.sections}
    if "relay" in section_kinds:
        return FileKind.REFERENCE_PROXY
    if "site" in section_kinds:
        return FileKind.SCRIPT
    return FileKind.NODE_LIST if section_kinds & {"zone", "list"} else FileKind.OPERATOR


def check_node_set(node_lists: list[NodeList]) -> bool:
    """Return whether node lists form one valid set; print a summary of the set, or each conflict."""
    try:
        node_set = assemble(node_lists)
    except InvalidNodeSetError as err:
        for conflict in err.conflicts:
            print_error(conflict)
        return False
    print(
        f"{len(node_set)} nodes, {len(node_set.ready_nodes())} ready, in {len(node_set.zones)} zones; "
        f"hash {node_set.short_hash}"
    )
    return True
