"""The operator's INI file: optional features beyond the platform's configuration, all off without a file.

A field with `name=` has that key in the file; for other fields the key is the field's name.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import Count, Duration, Flag, Fraction, Number, Words
from kestrelplank.time_units import MILLISECOND

INI_VARIABLE = "KESTRELPLANK_INI"  # path of the file if no option gives it


class NodeFileSettings(Struct, frozen=True, kw_only=True):
    """[nodes]: node lists in watched files; off if `files` is empty."""

    # Paths; the last component may be a pattern.
    files: Words = ()
    # The source that decides which nodes exist; the other source can only remove nodes.
    authority: Literal["files", "discovery"] = "files"
    # Time for which a file must be unchanged before it is read.
    quiet_period_ns: Annotated[Duration, Meta(ge=1 * MILLISECOND, le=60_000 * MILLISECOND)] = field(
        default=200 * MILLISECOND, name="quiet"
    )
    # Interval at which files are checked, with or without events.
    poll_interval_ns: Annotated[Duration, Meta(ge=10 * MILLISECOND)] = field(default=2_000 * MILLISECOND, name="poll")
    # Whether inotify is used if available.
    events: Flag = True
    # Whether the last line must state the number of nodes.
    trailer_required: Flag = field(default=False, name="trailer")
    # Limit on the size of one file.
    max_file_bytes: Annotated[Count, Meta(ge=1)] = field(default=1 << 22, name="most_bytes")
    max_nodes: Annotated[Count, Meta(ge=1)] = field(default=10_000, name="most_nodes")
    # Fraction of the ready nodes that one change may close without confirmation.
    max_closed_fraction: Fraction = field(default=0.25, name="most_closed")
    # Time after which unchanged content counts as confirmed; 0: never.
    confirmation_period_ns: Duration = field(default=60_000 * MILLISECOND, name="stand")
    # Whether a change may leave a zone without a ready node.
    zone_may_empty: Flag = False
    # Fraction of itself by which a weight may change per second; 0: without limit.
    weight_step: Fraction = 0.1
    # Grace period of a node that was removed from the files; None: as in the platform's settings.
    grace_ns: Duration | None = field(default=None, name="grace")
    # File that keeps the node set in force across restarts; empty: not kept.
    state_path: str = field(default="", name="state")


class MembershipSettings(Struct, frozen=True, kw_only=True):
    """[members]: failure detection among assigners over datagrams, if the platform's settings allow it."""

    enabled: Flag = field(default=False, name="on")
    heartbeat_interval_ns: Annotated[Duration, Meta(ge=20 * MILLISECOND)] = field(
        default=200 * MILLISECOND, name="every"
    )
    # Values of phi (Hayashibara et al. 2004) from which a member is suspected, and considered dead.
    suspect_phi: Annotated[Number, Meta(ge=0.5)] = field(default=3.0, name="suspect")
    dead_phi: Annotated[Number, Meta(ge=0.5)] = field(default=8.0, name="dead")
    # Missed heartbeats required before a member is considered dead.
    min_missed_heartbeats: Annotated[Count, Meta(ge=1)] = field(default=5, name="grace")


class StatusSocketSettings(Struct, frozen=True, kw_only=True):
    """[status]: a Unix socket that shows a running assigner's state to its owner; off if the path is empty."""

    path: str = field(default="", name="socket")


class OperatorSettings(Struct, frozen=True, kw_only=True):
    """The sections of the operator's file."""

    nodes: NodeFileSettings
    members: MembershipSettings
    status: StatusSocketSettings


def read_operator_settings(ini: IniFile) -> OperatorSettings:
    """Read the operator's settings.

    :raises InvalidSettingsError: they cannot be used.
    """
    settings = OperatorSettings(
        nodes=ini.read_section("nodes", NodeFileSettings),
        members=ini.read_section("members", MembershipSettings),
        status=ini.read_section("status", StatusSocketSettings),
    )
    if settings.members.suspect_phi > settings.members.dead_phi:
        raise ini.error(ini.find_section("members"), "suspect", "expected a value not greater than `dead`")
    ini.reject_unread_sections()
    return settings
