"""Matches datagram answers to the questions that are waiting for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Answer = TypeVar("Answer")


class PendingAnswers(Generic[Answer]):
    """Numbers questions and passes each answer to the caller that asked.

    Args:
        timeout_seconds: Time after which a question fails.
        start_after: The first question gets the number after this one.
    """

    def __init__(self, timeout_seconds: float, start_after: int = 0) -> None:
        self._timeout = timeout_seconds
        self._number = start_after
        self._waiting: dict[int, asyncio.Future[Answer]] = {}

    async def ask(self, send: Callable[[int], None]) -> Answer | None:
        """Return the answer to a question, or None on timeout.

        Args:
            send: Sends the question with a number, which the answer repeats.
        """
        number = self.next_number()
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = answered
        send(number)
        try:
            async with asyncio.timeout(self._timeout):
                return await answered
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def next_number(self) -> int:
        """Return the number of the next question, or of a message without an answer."""
        self._number += 1
        return self._number

    def take(self, number: int, answer: Answer) -> None:
        """Deliver an answer if a caller still waits for it."""
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
