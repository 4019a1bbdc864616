"""What the members replicate and keep on disk: commands, log entries, snapshots and the hard state.

Tags and the order of fields decide the bytes on disk and on the wire; names of fields do not.
"""

import msgspec

from kestrelplank.consensus.membership import Membership


class Noop(msgspec.Struct, frozen=True, array_like=True, tag="noop"):
    """The first entry of each term.

    Once it is committed, all that earlier terms committed is known to the leader.
    """


class PutConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="configuration"):
    """An operator's configuration, already checked.

    It comes into force if its version is above the one in force when it is applied; else it changes nothing.

    :param digest: tells this text from another one of the same version.
    """

    version: int
    digest: str
    text: bytes


class PutRecord(msgspec.Struct, frozen=True, array_like=True, tag="record"):
    """The record of one sharded service: its key ranges, and what is known of its servers.

    :param record: msgpack of the shard assigner's own form, opaque here.
    """

    service: str
    record: bytes


class ChangeMembership(msgspec.Struct, frozen=True, array_like=True, tag="membership"):
    """A new membership. It counts from the moment that it is in a member's log, committed or not."""

    membership: Membership


Command = Noop | PutConfiguration | PutRecord | ChangeMembership


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log: a command, with the term of the leader that appended it."""

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
    """What a member must not forget over a restart, besides its log ("HardState" as in etcd's raft).

    :param term: the newest term it knows.
    :param voted_for: whom it voted for in that term; "": nobody.
    :param leader: who led that term, as far as it knows; "": nobody.
    """

    term: int = 0
    voted_for: str = ""
    leader: str = ""
