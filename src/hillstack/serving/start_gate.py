"""Holds requests that reach a node before it has the data to serve them well."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

# A read of the store takes about 10 ms; callers wait one second for a new connection.
FIRST_READ_WAIT_SECONDS = 1.0
# Longest wait of a prompt for the contents of caches. Tokens prefilled again after a start cost
# 0.014 with this wait and 0.022 without it (measure and unit: docs/DECISIONS.md).
CACHES_WAIT_SECONDS = 0.15


class StartGate:
    """Holds requests until the store has been read, and prompts until cached parts are known.

    A read of the store takes about ten milliseconds; a refusal during that time would cost the
    caller a retry. The contents of caches are known a little later; without them, many prompts
    would be prefilled again at the same time. Both waits are bounded.

    Peers report runner crashes before they report cached parts, so a node that has just started
    does not send requests that they know to be fatal.
    """

    def __init__(self) -> None:
        self._first_read_done = asyncio.Event()
        self._caches_known = asyncio.Event()
        self._known_holders: set[str] = set()

    def open(self) -> None:
        """Record that the first read has ended: from now on requests are served or rejected."""
        self._first_read_done.set()

    @property
    def caches_known(self) -> bool:
        """Whether prompts pass the gate: caches are known, or a prompt has waited long enough."""
        return self._caches_known.is_set()

    def mark_cache_known(self, holder_id: str) -> None:
        """Record that the cached parts of a holder are known."""
        self._known_holders.add(holder_id)

    def expect_caches(self, holder_ids: Collection[str]) -> None:
        """Let prompts pass if the cached parts of all these holders are already known."""
        if self._known_holders.issuperset(holder_ids):
            self._caches_known.set()

    def open_for_prompts(self) -> None:
        """Let prompts pass, whether cached parts are known or not."""
        self._caches_known.set()

    async def wait_for_first_read(self, patience_seconds: float = FIRST_READ_WAIT_SECONDS) -> None:
        """Wait for the first read, for a bounded time and no longer than the caller waits."""
        await _bounded_wait(self._first_read_done, min(FIRST_READ_WAIT_SECONDS, patience_seconds))

    async def wait_for_caches(self) -> None:
        """Wait for the first read, and then for a bounded time until cached parts are known."""
        await self.wait_for_first_read()
        if not self.caches_known:
            await _bounded_wait(self._caches_known, CACHES_WAIT_SECONDS)
            self.open_for_prompts()


async def _bounded_wait(event: asyncio.Event, seconds: float) -> None:
    if event.is_set():
        return
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return
