"""Reports that nodes send to their peers about the outcomes of both versions in a rollout."""

from __future__ import annotations

import msgspec

from hillstack.core.store_revision import StoreRevision


class OutcomeCounts(msgspec.Struct, array_like=True, frozen=True):
    """Attempt outcomes of one version on one route, counted by one node since it saw the order.

    Attributes:
        version: Version of the runners' software.
        busy: Whether at least half of the runners' slots were in use.
        answered: Attempts whose success or failure is attributable to the runner.
        failed: The failed attempts among ``answered``.
        delays: Histogram of the time to the first bytes, whose bucket bounds increase by a factor
            of the square root of two: entry ``i`` counts the successful answers that took about
            ``2 ** (i / 2 - 2)`` times the expected time.
    """

    version: str
    route: str
    busy: bool
    answered: int
    failed: int
    delays: list[int]


class RolloutReport(msgspec.Struct, array_like=True, frozen=True):
    """A node's observations of one rollout; the counts only increase within one process.

    Attributes:
        order_revision: Revision of the rollout order.
        stage: Rollout stage (``RolloutStage``) that the node currently follows.
        old_running: Number of the node's attempts still running at runners of other versions than
            the target version.
        bad: Whether the node has enough evidence that the target version is bad.
        order_age_ms: Age of the order when the report was sent, as known to the sender. The age
            omits the network delay and is therefore a lower bound; receivers use the highest age
            of all reports.
        store_era: Era of the store to which the order's revision belongs; None if the sender
            supports no eras.
    """

    service: str
    order_revision: int
    stage: str
    old_running: int
    outcomes: list[OutcomeCounts] = []
    bad: bool = False
    order_age_ms: int = 0
    store_era: int | None = None

    def order(self, current: StoreRevision | None) -> StoreRevision:
        """Return the revision of the order that the report is about, including the store's era.

        Args:
            current: Revision of the receiver's current order. Its era is used for a report without
                an era whose revision number is the same; other reports without an era get era 0.
        """
        if self.store_era is not None:
            return StoreRevision(self.store_era, self.order_revision)
        if current is not None and current.number == self.order_revision:
            return current
        return StoreRevision(0, self.order_revision)
