"""Keeps a stream whose run was abandoned until another runner takes it up.

A stream that has begun can't be refused any more: without a further attempt its answer ends in the
middle, although the runner of the abandoned run might have completed it. So it waits until its
deadline for an attempt that can be made, also at that runner. A stream that its runner broke off is
not kept: its caller takes it up sooner itself.
"""

from __future__ import annotations

import asyncio
import logging

from hillstack.serving.job import MAX_SENDS, MAX_TAKE_UP_SENDS, Job
from hillstack.serving.types import CutCause, StreamCutError

logger = logging.getLogger(__name__)

# Pause before the first further try of a stream that no runner takes up: the time in which a full
# runner answers some requests. Each later pause is twice as long.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8


async def wait_for_attempt(job: Job, error: StreamCutError) -> None:
    """Wait before another try to place a stream, and allow one more send for it.

    Args:
        job: The request; its time limit ends the wait.
        error: Why no attempt could be made.

    Raises:
        StreamCutError: Waiting allows no further attempt.
    """
    is_kept = job.has_abandoned_run and error.cause is CutCause.NO_ATTEMPT
    if not is_kept or not job.may_run_again():
        raise error
    pause = min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2**job.waits)
    job.waits += 1
    fields = {
        "request": job.request.request_id,
        "reason": error.message,
        "failure": job.failure,
        "pause_ms": round(pause * 1000),
    }
    logger.info("stream waits for a runner", extra=fields)
    # The next try asks for a permit of its own, and takes its attempt from the retry budget when it
    # is made: the budget bounds what is sent within a window.
    job.permitted.will_not_be_sent()
    job.has_claimed_retry = False
    await asyncio.sleep(pause)
    # Runners that refused the request or were silent may accept it now.
    job.excluded.clear()
    job.max_sends = min(MAX_SENDS + MAX_TAKE_UP_SENDS, max(job.max_sends, job.sends + 1))
