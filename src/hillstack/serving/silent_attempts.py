"""Decides when an attempt that receives no bytes is given up for another one."""

from __future__ import annotations

from hillstack.core.runner_pool import SILENCE_SECONDS, Runner
from hillstack.serving.job import Job

# A request abandons a runner that is silent for longer than the allowed pauses of 0.5 and 0.6 s.
SILENCE_LIMIT_SECONDS = 0.7
# A request abandons a connection that is silent for this long while its runner sends on others. It
# lies between the operating system's timeouts, which take up to 2 s (1.2 s for sent bytes, the
# second keepalive probe for a wait), and the 3.2 s after which callers of known deployments abandon
# a stream.
CONNECTION_SILENCE_SECONDS = 2.5


def silence_reason(job: Job, runner: Runner, now: float) -> str | None:
    """Return why the current attempt of a request counts as silent; None if it does not."""
    if runner.is_silent(now) and now - runner.last_contact_at >= SILENCE_LIMIT_SECONDS:
        return "the runner is silent"
    if now - job.silent_since >= CONNECTION_SILENCE_SECONDS:
        return "the connection is silent"
    return None


def is_path_lost(job: Job, runner: Runner, now: float) -> bool:
    """Return whether the attempt's connection was cut off from a runner that a peer reaches.

    Bytes that arrived after the path was found lost came through a relay, or over a connection that
    still works.
    """
    is_quiet = now - job.received_at >= SILENCE_SECONDS
    return is_quiet and job.received_at < runner.path_lost_at
