"""Messages between control members outside the consensus protocol, and the union of all messages.

Tags and the order of fields determine the bytes on the wire; field names do not.
"""

from enum import StrEnum

import msgspec

from kestrelplank.consensus.consensus_messages import ConsensusMessage
from kestrelplank.consensus.log_entries import PutConfiguration
from kestrelplank.consensus.membership import Membership


class MembershipRequest(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """Sent regularly by a running member to the leader, which decides from it whether that member should vote.

    :param term: term of the sender.
    :param epoch: epoch of the newest membership that the sender knows.
    :param zone: the sender's failure domain; "": unknown.
    :param eligible: whether the sender may be a voter (`quorum_member` in its settings: the platform counts the loss of
        its machine).
    :param leaving: whether the sender is about to stop.
    """

    term: int
    epoch: int
    zone: str
    eligible: bool
    leaving: bool = False


class CallId(msgspec.Struct, frozen=True, array_like=True):
    """Unique id of a call that a member forwards to the leader.

    :param member: identity of the calling member.
    :param start_id: drawn at random at each start of its process, so a result for an earlier process matches no call.
    :param number: number of the call within that process.
    """

    member: str
    start_id: int
    number: int


class SubmitOrder(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """A configuration that an operator submitted, forwarded to the leader by the member that received it."""

    call: CallId
    order: PutConfiguration


class ReadConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="read"):
    """An operator's read of the configuration in force, forwarded to the leader by the member that received it."""

    call: CallId


class OrderResult(msgspec.Struct, frozen=True, array_like=True, tag="submitted"):
    """The reply to `SubmitOrder`.

    :param acknowledged: the order is in force, or its version is not above the one in force. Else the outcome is not
        known, and the caller may retry.
    :param in_force: whether the text of this order, and not another text of the same version, is in force.
    """

    call: CallId
    acknowledged: bool
    in_force: bool = False


class ReadResult(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """The reply to `ReadConfiguration`.

    :param known: whether the sender leads, so that `text` is the newest; else `text` has no meaning.
    :param text: text of the configuration in force; None if there has never been one.
    """

    call: CallId
    known: bool
    text: bytes | None


class ServerListUpdate(msgspec.Struct, frozen=True, array_like=True, tag="servers"):
    """The platform's list of servers.

    Members forward it to each other and to edge machines; the consensus core ignores it.

    :param age_ns: age of the list when this was sent.
    :param entries: the fields of one `transport.server_list.ListedServer` each.
    """

    age_ns: int
    entries: list[tuple[str, str, str, str, int, str, int]]


class MembershipQuery(msgspec.Struct, frozen=True, array_like=True, tag="who"):
    """Sent by a member that does not know the others; any member replies with a `MembershipUpdate`."""


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """The members that the sender knows.

    :param membership: the newest membership that it knows.
    :param leader: identity of the leader; "": not known.
    :param standbys: identities of the other running members that contacted it recently.
    """

    membership: Membership
    leader: str
    standbys: tuple[str, ...]


class ReleaseReason(StrEnum):
    """Why a member has given a role up; the values are on the wire and in log lines."""

    RESTARTED = "restarted"
    STOPPING = "stopping"
    REJECTED = "token rejected"
    UNREACHABLE = "out of reach"


class ReleasedRole(msgspec.Struct, frozen=True, array_like=True):
    """A role that its holder has given up, under this token and for good: no process acts under it any more."""

    role: str
    partition: int
    token: int
    reason: ReleaseReason


class RoleReport(msgspec.Struct, frozen=True, array_like=True, tag="roles"):
    """Sent regularly by a member to the leader, which assigns singleton roles by it.

    :param start_id: drawn at random at each start of the sender's process.
    :param available: whether the sender may be assigned roles; it may not once it is stopping.
    :param released: the roles that it has given up and that are not assigned anew yet.
    """

    start_id: int
    available: bool
    released: tuple[ReleasedRole, ...] = ()


class UsageReported(msgspec.Struct, frozen=True, array_like=True, tag="reported"):
    """Sent to the leader by the member that reports usage: the platform has accepted all windows up to this one."""

    window: int


Message = (
    ConsensusMessage
    | MembershipRequest
    | SubmitOrder
    | ReadConfiguration
    | OrderResult
    | ReadResult
    | ServerListUpdate
    | MembershipQuery
    | MembershipUpdate
    | RoleReport
    | UsageReported
)
