"""The operator's own file: what this installation adds to the platform's configuration. Off where no file is named."""

from typing import Annotated, Literal

from msgspec import Meta, Struct

from kestrelplank.settings.ini import Count, Flag, Ini, Number, Share, Span, Words

MS = 1_000_000
VARIABLE = "KESTRELPLANK_INI"  # names the file where no option does


class Nodes(Struct, frozen=True, kw_only=True):
    """[nodes]: node lists in watched files. Without `files` there are none."""

    files: Words = ()  # paths, or patterns in the last part
    authority: Literal["files", "discovery"] = "files"  # who says which nodes there are; the other only takes away
    quiet: Annotated[Span, Meta(ge=1 * MS, le=60_000 * MS)] = 200 * MS  # for so long a file must not change
    poll: Annotated[Span, Meta(ge=10 * MS)] = 2_000 * MS  # files are looked at so often, events or not
    events: Flag = True  # inotify, where it is to be had
    trailer: Flag = False  # the last line must count the nodes
    most_bytes: Annotated[Count, Meta(ge=1)] = 1 << 22  # of one file
    most_nodes: Annotated[Count, Meta(ge=1)] = 10_000  # of one file
    most_closed: Share = 0.25  # of the ready nodes that one change may close without a second word
    stand: Span = 60_000 * MS  # the same content for so long is a second word; 0: it is none
    zone_may_empty: Flag = False
    weight_step: Share = 0.1  # of itself that a weight may move in a second; 0: at once
    grace: Span | None = None  # of a node that has vanished from the files; default: that of the settings
    state: str = ""  # a file that keeps what stood over a restart; none: nothing is kept


class Members(Struct, frozen=True, kw_only=True):
    """[members]: what conductors know of each other, over datagrams, where the platform's settings allow them."""

    on: Flag = False
    every: Annotated[Span, Meta(ge=20 * MS)] = 200 * MS
    suspect: Annotated[Number, Meta(ge=0.5)] = 3.0  # phi from which a member is suspected
    dead: Annotated[Number, Meta(ge=0.5)] = 8.0
    grace: Annotated[Count, Meta(ge=1)] = 5  # beats missed before which nobody is dead


class Status(Struct, frozen=True, kw_only=True):
    """[status]: a Unix socket that shows a running conductor's state to its owner."""

    socket: str = ""


class Operator(Struct, frozen=True, kw_only=True):
    nodes: Nodes
    members: Members
    status: Status


def read(ini: Ini) -> Operator:
    """What the operator's file says; InvalidSettings where any of it can't be used."""
    made = Operator(
        nodes=ini.one("nodes", Nodes), members=ini.one("members", Members), status=ini.one("status", Status)
    )
    if made.members.suspect > made.members.dead:
        raise ini.fail(ini.find("members"), "suspect", "nobody is dead before being suspected")
    ini.finish()
    return made
