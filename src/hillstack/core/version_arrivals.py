"""Holds back a newly listed software version while its rollout order may still be on its way.

Runners of a target version may be listed before the order that limits their requests. A version
that is first listed after another version of its service therefore gets no requests for a while. If
no order arrives, it is used from then on.
"""

from __future__ import annotations

import math

# Runners take some seconds to start, and their order may follow only when they are ready; the
# existing runners serve meanwhile. A version without an order after this time is meant to be used.
HOLD_SECONDS = 10.0
# Greatest number of stored versions per service, the oldest dropped first: many years of rollouts.
MAX_VERSIONS = 1_000


class VersionArrivals:
    """Records until when each version of each service is held back."""

    def __init__(self) -> None:
        # By service and version.
        self._held_until: dict[str, dict[str, float]] = {}
        self._last_until = -math.inf

    def listed(self, service: str, version: str, now: float, *, at_start: bool) -> None:
        """Record a listed runner.

        Args:
            service: The runner's service.
            version: Version of the runner's software.
            now: Time on the node's clock.
            at_start: Whether the runner was listed when this node first read the directory.
        """
        versions = self._held_until.setdefault(service, {})
        if version in versions:
            return
        is_first = at_start or not versions
        until = -math.inf if is_first else now + HOLD_SECONDS
        versions[version] = until
        self._last_until = max(self._last_until, until)
        if len(versions) > MAX_VERSIONS:
            del versions[next(iter(versions))]

    def any_held(self, now: float) -> bool:
        """Return whether any version of any service is held back."""
        return now < self._last_until

    def is_held(self, service: str, version: str, now: float) -> bool:
        """Return whether a version is held back."""
        return now < self._held_until.get(service, {}).get(version, -math.inf)
