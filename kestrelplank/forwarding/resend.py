"""The one place that decides whether a call may be sent again: a table from the kind of call and what was seen of it.

Whoever makes a call reports what it saw (`Seen`) and does what `verdict` says. Limits on further tries (attempts, time,
the budget) only ever narrow a verdict. docs/requests.md shows the same table with how each answer is tied to its call.

Only a server's own word, or not one byte sent, proves that a call has not run. A reset, a close, silence, a torn or
unreadable answer and one that belongs to another call prove nothing.
"""

from dataclasses import dataclass
from enum import Enum


class Call(Enum):
    """Every call that this system makes, by what a second one would do."""

    REPEATABLE = "repeatable request"  # edge to server, on an idempotent route
    SINGLE = "single request"  # edge to server, non-idempotent or upload: at most one run for each try of a client
    GRANT = "grant"  # control to server
    RELEASE = "release"  # control to server
    SERVER_LIST = "server list"  # control to platform
    ORDER = "order"  # an operator's order, passed on to the leader by the member that was asked
    READ = "read"  # an operator's read, passed on likewise
    STATE = "state"  # beats and reports between edges and members: each replaces the one before


class Seen(Enum):
    """What the caller saw of one call."""

    ANSWERED = "answered"  # a whole answer tied to this call
    FAILED = "failed"  # the same with a 5xx, without the word that it has not run
    NOT_RUN = "not run"  # the server's own word, tied to this call
    NO_ROOM = "no room"  # nothing was tried: all connections that we may have there are in use
    UNSENDABLE = "unsendable"  # it can't be put on the wire: no byte has left us, here or anywhere
    UNSENT = "unsent"  # no connection came up, or it was found ended: no byte of the call has left us
    RESET = "reset"  # after the first byte sent, before the first of an answer
    CLOSED = "closed"  # the same, by an orderly end of the connection
    TORN = "torn"  # the connection ended within an answer
    UNREADABLE = "unreadable"  # bytes that are no answer, or an answer that can't be this call's
    SILENT = "silent"  # bytes were sent and no answer came in time
    ABANDONED = "abandoned"  # we gave the call up ourselves after its first byte, as nobody waits for it


class Ran(Enum):
    """What is proved of the call at the other side."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


class Again(Enum):
    """Where the maker of the call may send it again by itself."""

    NO = "no"
    ELSEWHERE = "elsewhere"  # not to the server that has just been asked
    ANYWHERE = "anywhere"


@dataclass(frozen=True, slots=True)
class Verdict:
    """`again`: by whoever made the call. `arrived`: it may have reached the other side, so sending it again counts as a
    further try. Whoever is behind the call (client, operator) may repeat what can't be repeated only if `ran` is NO."""

    ran: Ran
    again: Again
    arrived: bool = True


DONE = Verdict(Ran.YES, Again.NO)
DONE_BADLY = Verdict(Ran.YES, Again.ANYWHERE)
TURNED_AWAY = Verdict(Ran.NO, Again.ELSEWHERE)
NOT_TRIED = Verdict(Ran.NO, Again.ANYWHERE, arrived=False)
NEVER = Verdict(Ran.NO, Again.NO, arrived=False)
OUTCOME_UNKNOWN = Verdict(Ran.UNKNOWN, Again.NO)
HARMLESS = Verdict(Ran.UNKNOWN, Again.ANYWHERE)

NO_PROOF = (Seen.RESET, Seen.CLOSED, Seen.TORN, Seen.UNREADABLE, Seen.SILENT)


def _row(
    answered: Verdict, failed: Verdict, not_run: Verdict, no_proof: Verdict, abandoned: Verdict
) -> dict[Seen, Verdict]:
    """One kind of call: what nobody tried or sent never matters, and what proves nothing is all alike."""
    return {
        Seen.ANSWERED: answered,
        Seen.FAILED: failed,
        Seen.NOT_RUN: not_run,
        Seen.NO_ROOM: NOT_TRIED,
        Seen.UNSENDABLE: NEVER,
        Seen.UNSENT: NOT_TRIED,
        **dict.fromkeys(NO_PROOF, no_proof),
        Seen.ABANDONED: abandoned,
    }


TABLE: dict[Call, dict[Seen, Verdict]] = {
    Call.REPEATABLE: _row(DONE, DONE_BADLY, TURNED_AWAY, HARMLESS, OUTCOME_UNKNOWN),
    Call.SINGLE: _row(DONE, DONE, TURNED_AWAY, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN),
    # The fence makes both harmless: the same call renews a grant, and a release is never refused. "Not run" of a grant
    # is a 409: it needs a higher fence, so it is another call.
    Call.GRANT: _row(DONE, HARMLESS, Verdict(Ran.NO, Again.NO), HARMLESS, HARMLESS),
    Call.RELEASE: _row(DONE, HARMLESS, HARMLESS, HARMLESS, HARMLESS),
    Call.SERVER_LIST: _row(DONE, HARMLESS, HARMLESS, HARMLESS, HARMLESS),
    # The operator sends an order again by itself, to any member, and the log's order makes that harmless; a member that
    # did so as well would only double it.
    Call.ORDER: _row(DONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN),
    Call.READ: _row(DONE, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN),
    Call.STATE: _row(DONE, HARMLESS, HARMLESS, HARMLESS, HARMLESS),
}


def verdict(call: Call, seen: Seen) -> Verdict:
    """What follows of such a call that ended so."""
    return TABLE[call][seen]


def harmless(call: Call) -> bool:
    """Whether such a call may be broken off while it may run: another run of it would do no harm."""
    return verdict(call, Seen.SILENT).again is not Again.NO
