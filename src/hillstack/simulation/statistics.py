"""Percentiles of measured values."""

from __future__ import annotations

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, or NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(0, rank - 1)]
