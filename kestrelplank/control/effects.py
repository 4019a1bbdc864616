"""Effects that a control member returns. An adapter carries them out in order."""

from dataclasses import dataclass

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.member_messages import Message
from kestrelplank.sharding.effects import ServerRequest
from kestrelplank.transport.messages import ToEdge
from kestrelplank.usage.usage_reporter import PlatformCall


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send `message` to the member whose identity is `to`; it is dropped if there is no session with it."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send `message` to the member at control address `address`; it is dropped if there is no session with it."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class PushToEdges:
    """Send `message` to every edge machine in session."""

    message: ToEdge


@dataclass(frozen=True, slots=True)
class CallServer:
    """Grant or release keys at a server, then call `ControlMember.handle_server_call_ended`.

    :param leader_lease_until: end of this member's leader lease (ns): from then on no grant is sent.
    """

    service: str
    request: ServerRequest
    leader_lease_until: int


@dataclass(frozen=True, slots=True)
class ReportUsage:
    """Send the report to the platform if `ControlMember.may_report_usage` right before its first byte.

    `ControlMember.handle_usage_call_ended` follows.
    """

    call: PlatformCall


@dataclass(frozen=True, slots=True)
class AnswerOrder:
    """Answer the operator's order `ticket`.

    :param acknowledged: the order is in force or superseded; if false, its outcome is unknown and it may be sent again.
    :param in_force: this text is in force; if false, a higher version or another text of the same version is.
    """

    ticket: int
    acknowledged: bool
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class AnswerRead:
    """Answer the operator's read `ticket`.

    :param known: `text` is the newest acknowledged configuration; if false, this member can't determine it.
    :param text: None if no configuration was ever acknowledged, or `known` is false.
    """

    ticket: int
    known: bool
    text: bytes | None


@dataclass(frozen=True, slots=True)
class WriteConfigurationCopy:
    """Write a readable copy of the configuration in force next to the log; nothing waits for its completion."""

    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the program's log."""

    text: str


Effect = (
    SendMessage
    | SendToAddress
    | PushToEdges
    | CallServer
    | ReportUsage
    | AnswerOrder
    | AnswerRead
    | WriteConfigurationCopy
    | LogLine
    | Persist
)
