"""What a control member wants done. An adapter carries effects out in order."""

from dataclasses import dataclass

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.member_messages import Message
from kestrelplank.sharding.effects import ServerRequest
from kestrelplank.transport.messages import ToEdge


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send `message` to the member whose identity is `to`; it is lost where there is no session with it."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send `message` to whoever serves control at `address`; it is lost where there is no session with it."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class PushToEdges:
    """Send `message` to every edge machine in session."""

    message: ToEdge


@dataclass(frozen=True, slots=True)
class CallServer:
    """Grant or release keys at a server; then `ControlMember.handle_server_call_ended`.

    :param leader_lease_until: when this member's lease of leadership ends (ns): from then on no grant is sent.
    """

    service: str
    request: ServerRequest
    leader_lease_until: int


@dataclass(frozen=True, slots=True)
class AnswerOrder:
    """Answer the operator's order `ticket`.

    :param acknowledged: it is in force, or can't be any more; else the outcome is unknown and it may be sent again.
    :param in_force: this very text is in force; else a higher version is, or another text of the same.
    """

    ticket: int
    acknowledged: bool
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class AnswerRead:
    """Answer the operator's read `ticket`.

    :param known: `text` is the newest configuration that was acknowledged; else the newest can't be known here.
    :param text: None where no configuration was ever acknowledged, or it is not known.
    """

    ticket: int
    known: bool
    text: bytes | None


@dataclass(frozen=True, slots=True)
class KeepConfigurationCopy:
    """Keep a readable copy of the configuration in force beside the log; nothing waits for it."""

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
    | AnswerOrder
    | AnswerRead
    | KeepConfigurationCopy
    | LogLine
    | Persist
)
