"""Bounds the time in which requests may fetch cached parts under the salt of a weights version.

A salt names the version that a request was sent for. A stream that continues while its runner loads
a newer version keeps its salt. If the runner preempts it, the prompt is prefilled again with the
newer weights, and the parts lie under the old salt: at the runner, and in a store to which the
runner saves them. A request that begins on the old version must not fetch them.

Two bounds keep the last fetch under a salt before the first load of a newer version is done:

- A fetch begins within ``source_valid_seconds`` after the node's latest proof that no newer version
  was announced. Once the node has learned of a newer one, it also begins within
  ``MIN_LOAD_SECONDS`` of that.
- The holder of the duty orders a load only when all listed nodes have reported that they know the
  announcement, or ``order_delay_seconds`` after it learned of the announcement itself.

Both ways, less time passes between the bound and the order than a load takes. The second way needs
no message, so it covers nodes that are cut off.
"""

from __future__ import annotations

# Share of the time within which runners must load an announced version. A smaller one stops all
# fetches in a short outage of the store, in which nobody proves anything; the rest is left for
# loads that wait for a node which does not report.
VALID_SHARE = 0.5
# Less than the shortest time from the decision to load until a runner serves the new weights: the
# load, 0.38 s on known deployments, and its announcement to the other nodes, 0.03 s.
MIN_LOAD_SECONDS = 0.4


def source_valid_seconds(grace_seconds: float) -> float:
    """Return how long after a proof a fetch may begin.

    Args:
        grace_seconds: Time after an announcement during which older versions may be used.
    """
    return VALID_SHARE * grace_seconds


def order_delay_seconds(grace_seconds: float) -> float:
    """Return how long after it learned of an announcement a holder waits before its first order."""
    return max(0.0, source_valid_seconds(grace_seconds) - MIN_LOAD_SECONDS)
