"""Ends attempts whose answers nobody waits for any more."""

from __future__ import annotations

import asyncio

from hillstack.serving.ports import RunnerAnswer


async def end_attempt(sending: asyncio.Future[RunnerAnswer]) -> None:
    """Cancel an attempt whose answer has not been passed on, and wait until it has ended.

    Its connection is closed before the request is sent to another runner. An answer whose head
    arrived in the same event loop iteration is closed too, which makes the runner stop.
    """
    sending.cancel()
    await asyncio.wait({sending})
    if not sending.cancelled() and sending.exception() is None:
        sending.result().close()
