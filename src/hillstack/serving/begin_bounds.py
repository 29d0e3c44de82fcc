"""Until when an attempt may begin at its runner."""

from __future__ import annotations

import math

from hillstack.serving.fleet_state import FleetState
from hillstack.serving.types import Dispatch

# Interval at which waiting attempts are checked; an attempt is abandoned that much earlier.
CHECK_SECONDS = 0.15


def begin_due(state: FleetState, model: str, dispatch: Dispatch) -> float:
    """Return when an attempt that has not begun has to be abandoned, as newer weights are due.

    An attempt that fetches cached parts has to begin earlier (``cache_sources``).
    """
    version = dispatch.weights_version
    if version is None:
        return math.inf
    due = state.versions.deadline(model, version)
    if dispatch.fetch_from is not None:
        proved_at = state.freshness.proved_at()
        due = min(due, state.versions.fetch_until(model, version, proved_at))
    return due - CHECK_SECONDS
