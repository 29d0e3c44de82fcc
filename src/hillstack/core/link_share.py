"""Limits the bytes that one node sends over the narrow link between regions."""

from __future__ import annotations

# Share of the link for requests to the other region's runners. The rest is for the store, the
# messages between nodes and retransmissions. At 30 Mbit/s this half carries 150 long prompts of
# 12 KB per second, more than a region of 35 runners receives.
REQUEST_BANDWIDTH_SHARE = 0.5
# Size of the bucket in seconds of the node's share. Requests arrive at a node in bursts, and when a
# region has lost its runners the first requests must already be forwarded.
BURST_SECONDS = 2.0
# Smallest bucket: room for the longest prompt observed (55 KB) and its answer.
MIN_BURST_BYTES = 64_000.0
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class LinkShare:
    """A token bucket of bytes, filled at this node's share of the link.

    Each node limits itself to an equal share of the bandwidth that the nodes of its region may use
    together, so that the nodes need not coordinate.

    Args:
        link_megabits: Bandwidth of the link between regions in each direction, in Mbit/s.
    """

    def __init__(self, link_megabits: float) -> None:
        bits = link_megabits * BITS_PER_MEGABIT * REQUEST_BANDWIDTH_SHARE
        self._region_bytes_per_second = bits / BITS_PER_BYTE
        self._bytes_left = MIN_BURST_BYTES
        self._refilled_at: float | None = None

    def allows(self, size: float, nodes: int, now: float) -> bool:
        """Return whether ``size`` bytes may be sent now.

        Args:
            size: Bytes of the request and its answer.
            nodes: Number of nodes in this node's region, this node included.
            now: Time on the node's clock.
        """
        self._refill(max(1, nodes), now)
        return size <= self._bytes_left

    def spend(self, size: float) -> None:
        """Subtract sent bytes from the bucket."""
        self._bytes_left -= size

    def _refill(self, nodes: int, now: float) -> None:
        rate = self._region_bytes_per_second / nodes
        capacity = max(MIN_BURST_BYTES, rate * BURST_SECONDS)
        elapsed = now - self._refilled_at if self._refilled_at is not None else BURST_SECONDS
        self._refilled_at = now
        self._bytes_left = min(capacity, self._bytes_left + rate * max(0.0, elapsed))
