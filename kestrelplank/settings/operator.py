"""The operator's own file: what this installation adds to the platform's configuration. Without a file all is off.

Fields have the program's names; `name=` gives the key of the file where it is another.
"""

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from kestrelplank.settings.ini import IniFile
from kestrelplank.settings.ini_fields import Count, Duration, Flag, Fraction, Number, Words
from kestrelplank.time_units import MILLISECOND

INI_VARIABLE = "KESTRELPLANK_INI"  # names the file where no option does


class NodeFileSettings(Struct, frozen=True, kw_only=True):
    """[nodes]: node lists in watched files. Without `files` there are none."""

    # Paths, or patterns in the last part.
    files: Words = ()
    # Who says which nodes there are; the other only takes away.
    authority: Literal["files", "discovery"] = "files"
    # For so long a file must not change before it is read.
    quiet_period_ns: Annotated[Duration, Meta(ge=1 * MILLISECOND, le=60_000 * MILLISECOND)] = field(
        default=200 * MILLISECOND, name="quiet"
    )
    # Files are looked at so often, with or without events.
    poll_interval_ns: Annotated[Duration, Meta(ge=10 * MILLISECOND)] = field(default=2_000 * MILLISECOND, name="poll")
    # Whether inotify is used where it is to be had.
    events: Flag = True
    # Whether the last line must count the nodes.
    trailer_required: Flag = field(default=False, name="trailer")
    # Of one file.
    max_file_bytes: Annotated[Count, Meta(ge=1)] = field(default=1 << 22, name="most_bytes")
    max_nodes: Annotated[Count, Meta(ge=1)] = field(default=10_000, name="most_nodes")
    # Of the ready nodes, what one change may close without a confirmation.
    max_closed_fraction: Fraction = field(default=0.25, name="most_closed")
    # The same content for so long is a confirmation; 0: it is none.
    confirmation_period_ns: Duration = field(default=60_000 * MILLISECOND, name="stand")
    zone_may_empty: Flag = False
    # Of itself that a weight may move in a second; 0: at once.
    weight_step: Fraction = 0.1
    # Of a node that has vanished from the files; None: that of the platform's settings.
    grace_ns: Duration | None = field(default=None, name="grace")
    # Keeps the set in force over a restart; empty: nothing is kept.
    state_path: str = field(default="", name="state")


class MembershipSettings(Struct, frozen=True, kw_only=True):
    """[members]: what assigners know of each other, over datagrams, where the platform's settings allow them."""

    enabled: Flag = field(default=False, name="on")
    heartbeat_interval_ns: Annotated[Duration, Meta(ge=20 * MILLISECOND)] = field(
        default=200 * MILLISECOND, name="every"
    )
    # Values of phi (Hayashibara et al. 2004) from which a member is suspected, and from which it is dead.
    suspect_phi: Annotated[Number, Meta(ge=0.5)] = field(default=3.0, name="suspect")
    dead_phi: Annotated[Number, Meta(ge=0.5)] = field(default=8.0, name="dead")
    # Heartbeats missed before which nobody is dead.
    min_missed_heartbeats: Annotated[Count, Meta(ge=1)] = field(default=5, name="grace")


class StatusSocketSettings(Struct, frozen=True, kw_only=True):
    """[status]: a Unix socket that shows a running assigner's state to its owner; none where the path is empty."""

    path: str = field(default="", name="socket")


class OperatorSettings(Struct, frozen=True, kw_only=True):
    """The sections of the operator's file."""

    nodes: NodeFileSettings
    members: MembershipSettings
    status: StatusSocketSettings


def read_operator_settings(ini: IniFile) -> OperatorSettings:
    """Return what the operator's file says.

    :raises InvalidSettingsError: some of it cannot be used.
    """
    settings = OperatorSettings(
        nodes=ini.read_section("nodes", NodeFileSettings),
        members=ini.read_section("members", MembershipSettings),
        status=ini.read_section("status", StatusSocketSettings),
    )
    if settings.members.suspect_phi > settings.members.dead_phi:
        raise ini.error(ini.find_section("members"), "suspect", "nobody is dead before being suspected")
    ini.reject_unread_sections()
    return settings
