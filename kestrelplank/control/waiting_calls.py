"""Operators' calls that wait in the program for the member's answer; `pending_calls` has the member's side."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from kestrelplank.control.effects import AnswerOrder, AnswerRead

Answer = TypeVar("Answer", AnswerOrder, AnswerRead)


class WaitingCalls(Generic[Answer]):
    """Calls of one kind, by ticket. The member's time-outs bound how long and how many wait.

    :param tickets: numbers that no other call of the program has.
    """

    def __init__(self, tickets: Iterator[int]) -> None:
        self._tickets = tickets
        self._futures: dict[int, asyncio.Future[Answer]] = {}

    async def call(self, submit: Callable[[int], None]) -> Answer:
        """Return the answer to the call that `submit(ticket)` hands to the member."""
        ticket = next(self._tickets)
        future = self._futures[ticket] = asyncio.get_running_loop().create_future()
        try:
            submit(ticket)
            answer: Answer = await future
            return answer
        finally:
            self._futures.pop(ticket, None)

    def resolve(self, answer: Answer) -> None:
        """Hand over the member's answer, if its call still waits."""
        future = self._futures.pop(answer.ticket, None)
        if future is not None and not future.done():
            future.set_result(answer)
