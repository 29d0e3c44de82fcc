"""Requests that reach a node before it has read the store for the first time."""

from __future__ import annotations

import asyncio

FIRST_READ_WAIT_SECONDS = 1.0


class StartGate:
    """Holds requests until the first read of the store has ended, well or not.

    A read takes some ten milliseconds; a refusal in that time would cost the caller a retry. A
    store that does not answer holds nobody up for longer than the bound.
    """

    def __init__(self) -> None:
        self._tried = asyncio.Event()

    def open(self) -> None:
        """Note that the first read has ended: requests are served or refused from now on."""
        self._tried.set()

    async def passed(self) -> None:
        """Wait for the first read, for a bounded time."""
        if self._tried.is_set():
            return
        try:
            async with asyncio.timeout(FIRST_READ_WAIT_SECONDS):
                await self._tried.wait()
        except TimeoutError:
            return
