"""Questions in datagrams that wait for their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Answer = TypeVar("Answer")


class PendingAnswers(Generic[Answer]):
    """Numbers questions, and hands each answer to whoever asked.

    Args:
        timeout_seconds: How long an answer is waited for.
        first_number: Where numbers begin.
    """

    def __init__(self, timeout_seconds: float, first_number: int = 0) -> None:
        self._timeout = timeout_seconds
        self._number = first_number
        self._waiting: dict[int, asyncio.Future[Answer]] = {}

    async def ask(self, send: Callable[[int], None]) -> Answer | None:
        """Return the answer to a question, or None if none came in time.

        Args:
            send: Sends the question under a number, which comes back in the answer.
        """
        self._number += 1
        number = self._number
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

    def take(self, number: int, answer: Answer) -> None:
        """Hand over an answer, if anybody still waits for it."""
        waiting = self._waiting.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
