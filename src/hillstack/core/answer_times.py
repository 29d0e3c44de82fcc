"""How much later than expected the answers of a service come, and when one is overdue.

The estimate is that of TCP's retransmission timeout (RFC 6298): a smoothed mean and a smoothed mean
deviation, of which four are added. So what counts as overdue follows the work that a service does,
and how well this node can foresee it, instead of a figure of one deployment.
"""

from __future__ import annotations

from dataclasses import dataclass

# Weights of the latest answer, and the number of deviations, as in RFC 6298.
MEAN_SMOOTHING = 1 / 8
DEVIATION_SMOOTHING = 1 / 4
DEVIATIONS = 4.0
# Before any answer was seen: twice the ordinary work of the slowest application seen (0.45 s).
INITIAL_SECONDS = 0.9
# Below it, one lost datagram or a pause of this process would pass for a silent runner.
MIN_SECONDS = 0.4
# A third of the shortest deadline seen (3 s): later a second try would come too late.
MAX_SECONDS = 1.2


@dataclass(slots=True)
class _Estimate:
    mean: float
    deviation: float


class AnswerTimes:
    """The lateness of answers by service."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, service: str, expected: float, took: float) -> None:
        """Note an answer that was expected after some seconds and took some."""
        late = max(0.0, took - expected)
        known = self._estimates.get(service)
        if known is None:
            self._estimates[service] = _Estimate(late, late / 2)
            return
        known.deviation += DEVIATION_SMOOTHING * (abs(late - known.mean) - known.deviation)
        known.mean += MEAN_SMOOTHING * (late - known.mean)

    def overdue_after(self, service: str, expected: float) -> float:
        """Return after how many seconds an answer that is expected after some is overdue."""
        known = self._estimates.get(service)
        if known is None:
            return expected + INITIAL_SECONDS
        margin = known.mean + DEVIATIONS * known.deviation
        return expected + min(MAX_SECONDS, max(MIN_SECONDS, margin))
