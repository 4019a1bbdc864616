"""Operators' calls in the program that wait for the member's answer; `pending_calls` is the member's counterpart."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from kestrelplank.control.effects import AnswerOrder, AnswerRead

Answer = TypeVar("Answer", AnswerOrder, AnswerRead)


class WaitingCalls(Generic[Answer]):
    """Calls of one kind, by ticket. The member's time-outs and limits bound their waiting time and number.

    :param tickets: numbers that are unique among all calls of the program.
    """

    def __init__(self, tickets: Iterator[int]) -> None:
        self._tickets = tickets
        self._futures: dict[int, asyncio.Future[Answer]] = {}

    async def call(self, submit: Callable[[int], None]) -> Answer:
        """Submit a call to the member by `submit(ticket)` and return its answer."""
        ticket = next(self._tickets)
        future = self._futures[ticket] = asyncio.get_running_loop().create_future()
        try:
            submit(ticket)
            answer: Answer = await future
            return answer
        finally:
            self._futures.pop(ticket, None)

    def resolve(self, answer: Answer) -> None:
        """Deliver the member's answer if its call is still waiting."""
        future = self._futures.pop(answer.ticket, None)
        if future is not None and not future.done():
            future.set_result(answer)
