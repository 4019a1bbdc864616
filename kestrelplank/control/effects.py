"""What a control member wants done. An adapter carries effects out in order."""

from dataclasses import dataclass

from kestrelplank.consensus.effects import Persist
from kestrelplank.consensus.member_messages import Message
from kestrelplank.sharding.effects import ServerRequest
from kestrelplank.transport.messages import ToEdge


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send `message` to the member of that identity; lost where no session stands."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send `message` to whoever serves control at that address; lost where no session stands."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class PushToEdges:
    """Send `message` to every edge machine in session."""

    message: ToEdge


@dataclass(frozen=True, slots=True)
class CallServer:
    """Grant or release keys at a server; then `ControlMember.handle_server_call_ended`.

    A grant is not sent any more at `lease_until` (ns), when this member's lease runs out.
    """

    service: str
    request: ServerRequest
    lease_until: int


@dataclass(frozen=True, slots=True)
class AnswerOrder:
    """The operator's order `ticket` is `acknowledged`; or nothing is known of it, and it may be sent again. `in_force`:
    this very text is; else a higher version is, or another text of the same."""

    ticket: int
    acknowledged: bool
    in_force: bool = False


@dataclass(frozen=True, slots=True)
class AnswerRead:
    """The operator's read `ticket`. `known`: `text` is the newest configuration acknowledged (None: there is none)."""

    ticket: int
    known: bool
    text: bytes | None


@dataclass(frozen=True, slots=True)
class KeepCopy:
    """Keep a readable copy of the configuration in force beside the log; nothing waits for it."""

    version: int
    text: bytes


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line in the log."""

    text: str


Effect = (
    SendMessage | SendToAddress | PushToEdges | CallServer | AnswerOrder | AnswerRead | KeepCopy | LogLine | Persist
)
