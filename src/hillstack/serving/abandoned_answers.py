"""Closes answers of runners whose callers have left."""

from __future__ import annotations

import asyncio

from hillstack.serving.ports import RunnerAnswer


def close_pending_answer(sending: asyncio.Future[RunnerAnswer]) -> None:
    """Close an answer whose head arrived in the event loop iteration in which the caller left.

    Closing the answer makes the runner stop.
    """
    if sending.done() and not sending.cancelled() and sending.exception() is None:
        sending.result().close()
