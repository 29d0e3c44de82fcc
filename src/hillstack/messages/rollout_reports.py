"""What a node tells its peers of a rollout of software: what it saw of both versions so far."""

from __future__ import annotations

import msgspec

from hillstack.core.store_revision import StoreRevision


class OutcomeCounts(msgspec.Struct, array_like=True, frozen=True):
    """Outcomes that one node saw of one version on one route, since it saw the order.

    Attributes:
        version: Version of the runners' software.
        busy: Whether the runners had half of their places taken or more.
        answered: Attempts that ended well or badly through the runner's doing.
        failed: Those of them that ended badly.
        delays: How many answers took how long, by powers of the square root of two: entry ``i``
            counts those whose time to the first bytes was about ``2 ** (i / 2 - 2)`` times what was
            expected.
    """

    version: str
    route: str
    busy: bool
    answered: int
    failed: int
    delays: list[int]


class RolloutReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node saw of one rollout; counts only rise within one process.

    Attributes:
        order_revision: The order that it is about.
        stage: The stage that the node follows now (``RolloutStage``).
        old_running: Its attempts that are still at runners of other versions than the target.
        bad: Whether it has enough evidence that the target version is bad.
        order_age_ms: How old the order is, as far as it knows, counted from the sending. It comes
            late by its way and can only be too young; of all that is told the oldest counts.
        store_era: The era of the store that the order's revision is of; None if the sender knows
            none.
    """

    service: str
    order_revision: int
    stage: str
    old_running: int
    outcomes: list[OutcomeCounts] = []
    bad: bool = False
    order_age_ms: int = 0
    store_era: int | None = None

    def order(self, known: StoreRevision | None) -> StoreRevision:
        """Return the revision of the order that it is about.

        Args:
            known: The order that stands: a sender that knows no eras can mean no other one, if the
                number is the same.
        """
        if self.store_era is not None:
            return StoreRevision(self.store_era, self.order_revision)
        if known is not None and known.number == self.order_revision:
            return known
        return StoreRevision(0, self.order_revision)
