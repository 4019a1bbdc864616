"""What the members replicate and store on disk: commands, log entries, snapshots and the hard state.

Tags and the order of fields determine the bytes on disk and on the wire; field names do not.
"""

import msgspec

from kestrelplank.consensus.membership import Membership


class Noop(msgspec.Struct, frozen=True, array_like=True, tag="noop"):
    """The first entry of each term.

    Once it is committed, the leader knows every entry that earlier terms committed.
    """


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """An operator's configuration, already validated.

    It takes effect if its version is above the one in force when it is applied; else it changes nothing.

    :param digest: distinguishes this text from another text of the same version.
    """

    version: int
    digest: str
    text: bytes


class PutRecord(msgspec.Struct, frozen=True, array_like=True, tag="record"):
    """The record of one sharded service: its key ranges, and what is known about its servers.

    :param record: encoded with msgpack by the shard assigner, opaque here.
    """

    service: str
    record: bytes


class ChangeMembership(msgspec.Struct, frozen=True, array_like=True, tag="membership"):
    """A new membership, in effect as soon as it is in a member's log, committed or not."""

    membership: Membership


class FixUsage(msgspec.Struct, frozen=True, array_like=True, tag="usage"):
    """The content of the usage report of one window; it changes nothing if that window or a later one is fixed already.

    :param content: the JSON text to send to the platform.
    :param reported_through: the platform has accepted the reports of this window and all earlier ones; -1: of none.
    """

    window: int
    content: bytes
    reported_through: int = -1


class AssignRole(msgspec.Struct, frozen=True, array_like=True, tag="role"):
    """A singleton role is assigned to a member's process; the entry's log index is its fencing token.

    :param role: name of the role.
    :param partition: number of the role's partition.
    :param holder: identity of the member.
    :param start_id: id of its process, see `member_messages.RoleReport`.
    :param former_may_act: whether a former holder may act until it knows of its loss.
    """

    role: str
    partition: int
    holder: str
    start_id: int
    former_may_act: bool


Command = Noop | PutConfiguration | PutRecord | ChangeMembership | AssignRole | FixUsage


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log: a command and the term of the leader that appended it."""

    index: int
    term: int
    command: Command


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The replicated state after all entries up to `index`.

    :param index: log index of the last entry that the snapshot covers.
    :param term: term of that entry.
    :param membership: the newest membership up to that entry.
    :param state: the replicated state, encoded by `state/control_state`; opaque here.
    """

    index: int
    term: int
    membership: Membership
    state: bytes


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a member must keep across a restart besides its log ("HardState" as in etcd's raft).

    :param term: the newest term it knows.
    :param voted_for: identity of the candidate that it voted for in that term; "": none.
    :param leader: identity of the leader of that term; "": not known.
    """

    term: int = 0
    voted_for: str = ""
    leader: str = ""
