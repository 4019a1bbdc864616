"""The acceptor side of a configuration change: a proxy answers a leader's prepare, stage and use requests."""

from typing import NamedTuple, assert_never

from kestrelplank.state.change_messages import (
    Fenced,
    Prepare,
    Promise,
    Reply,
    Request,
    Stage,
    Staged,
    StagedChange,
    Use,
    Using,
)


class AcceptorState(NamedTuple):
    """A proxy's durable state.

    A proxy that has lost it must not vote until it has received a decided version.

    :param promised_epoch: requests of older epochs are rejected.
    :param staged: the change that is stored but not yet known to be decided.
    :param version: the version in use; `content` is its content.
    """

    promised_epoch: int = 0
    staged: StagedChange | None = None
    version: int = 0
    content: object = None


def handle_request(state: AcceptorState, request: Request) -> tuple[AcceptorState, Reply]:
    """Return a proxy's state after a leader's request, and its reply.

    A duplicate request changes nothing and gets the same kind of reply. A `Use` request is accepted whatever its epoch,
    as its version is decided, but the version in use never decreases.
    """
    if isinstance(request, Use):
        state = _use(state, request)
        return state, Using(request.epoch, state.version)
    if request.epoch < state.promised_epoch:
        return state, Fenced(request.epoch, state.promised_epoch)
    state = state._replace(promised_epoch=request.epoch)
    match request:
        case Prepare(epoch):
            return state, Promise(epoch, state.version, state.content, state.staged)
        case Stage(epoch, version, content):
            if version <= state.version:
                return state, Using(epoch, state.version)
            return state._replace(staged=StagedChange(version, epoch, content)), Staged(epoch, version)
        case _:
            assert_never(request)


def _use(state: AcceptorState, request: Use) -> AcceptorState:
    if request.version <= state.version:
        return state
    staged = state.staged if state.staged and state.staged.version > request.version else None
    return state._replace(version=request.version, content=request.content, staged=staged)
