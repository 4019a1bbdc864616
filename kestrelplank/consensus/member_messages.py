"""Messages between control members beside the consensus protocol, and the union of all messages.

Tags and the order of fields decide the bytes on the wire; names of fields do not.
"""

import msgspec

from kestrelplank.consensus.consensus_messages import ConsensusMessage
from kestrelplank.consensus.log_entries import PutConfiguration
from kestrelplank.consensus.membership import Membership


class MembershipRequest(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """A running member's regular message to the leader: what the leader must know to decide whether it should vote.

    :param term: the sender's.
    :param epoch: of the newest membership that the sender knows.
    :param zone: the sender's failure domain; "": unknown.
    :param eligible: whether the sender may vote, as the platform counts the loss of its machine.
    :param leaving: whether the sender is about to stop.
    """

    term: int
    epoch: int
    zone: str
    eligible: bool
    leaving: bool = False


class CallId(msgspec.Struct, frozen=True, array_like=True):
    """The identity of a call that a member forwards to the leader, never used twice.

    :param member: identity of the calling member.
    :param start_id: drawn at each start of its process, so an answer to a former process matches nothing.
    :param number: of the call within that process.
    """

    member: str
    start_id: int
    number: int


class SubmitOrder(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """An operator's configuration, forwarded to the leader by the member that was asked."""

    call: CallId
    order: PutConfiguration


class ReadConfiguration(msgspec.Struct, frozen=True, array_like=True, tag="read"):
    """An operator's read of the configuration in force, forwarded to the leader by the member that was asked."""

    call: CallId


class OrderResult(msgspec.Struct, frozen=True, array_like=True, tag="submitted"):
    """The answer to `SubmitOrder`.

    :param acknowledged: the order is in force, or its version is not above the one in force. Else nothing is known of
        it, and the caller may try again.
    :param in_force: whether the text of this order, and not another one of the same version, is in force.
    """

    call: CallId
    acknowledged: bool
    in_force: bool = False


class ReadResult(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """The answer to `ReadConfiguration`.

    :param known: whether the sender leads, so that `text` is the newest; else `text` says nothing.
    :param text: of the configuration in force; None where none ever was.
    """

    call: CallId
    known: bool
    text: bytes | None


class ServerListUpdate(msgspec.Struct, frozen=True, array_like=True, tag="servers"):
    """The platform's list of servers.

    Members pass it on to each other and to edge machines; the consensus core does nothing with it.

    :param age_ns: time since the list was fetched, when this was sent.
    :param entries: the fields of a `transport.server_list.ListedServer` each.
    """

    age_ns: int
    entries: list[tuple[str, str, str, str, int, str, int]]


class MembershipQuery(msgspec.Struct, frozen=True, array_like=True, tag="who"):
    """A member that does not know the others asks for the membership; any member answers with a `MembershipUpdate`."""


class MembershipUpdate(msgspec.Struct, frozen=True, array_like=True, tag="members"):
    """What the sender knows of the members.

    :param membership: the newest that it knows.
    :param leader: identity of the leader as far as it knows; "": nobody.
    :param standbys: identities of the other running members that it has heard lately.
    """

    membership: Membership
    leader: str
    standbys: tuple[str, ...]


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
)
