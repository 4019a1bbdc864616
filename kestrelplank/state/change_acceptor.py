"""A proxy's part in a change of configuration: it promises, stages and uses."""

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
    """What one proxy holds.

    It keeps this where it has a disk; one that has lost it has no vote until it has been given a decided version.

    :param promised_epoch: older ones are refused.
    :param version: the one in use, with its content.
    """

    promised_epoch: int = 0
    staged: StagedChange | None = None
    version: int = 0
    content: object = None


def handle_request(state: AcceptorState, request: Request) -> tuple[AcceptorState, Reply]:
    """Return what a proxy holds after a leader's request, and its reply.

    A request that comes twice changes nothing more and is answered again. What is decided is used whoever says so, but
    never a version below the one in use.
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
