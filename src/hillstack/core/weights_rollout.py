"""Which runners load the newest weights next.

A third of a service's runners load at a time, so that the others serve; the least loaded go first.
A version that is named while an older one is being rolled out replaces it for all runners that have
not begun.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from hillstack.core.runner_pool import Runner

CONCURRENT_SHARE = 1 / 3


def concurrent_loads(runner_count: int) -> int:
    """Return how many of a service's runners may load weights at once."""
    return max(1, math.ceil(runner_count * CONCURRENT_SHARE - 1e-9))


def runners_to_load(
    runners: Sequence[Runner],
    model: str,
    version: int,
    loading: Collection[str],
    now: float,
) -> list[Runner]:
    """Return the runners that should begin to load now.

    Args:
        runners: All runners of a service.
        model: The model.
        version: Its newest version.
        loading: Runners that are loading.
        now: Time on the node's clock.
    """
    staying = [runner for runner in runners if not runner.leaving and not runner.entry.draining]
    room = concurrent_loads(len(staying))
    room -= sum(1 for runner in staying if runner.runner_id in loading)
    behind = [
        runner
        for runner in staying
        if runner.weights_version(model) < version and runner.runner_id not in loading
    ]
    behind.sort(key=lambda runner: (now < runner.suspected_until, runner.committed_tokens(now)))
    return behind[: max(0, room)]
