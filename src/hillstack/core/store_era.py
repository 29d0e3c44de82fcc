"""Tracks the store's era, which rises with each restore of the store from a backup.

Each answer of the store contains the era. An answer that was under way during the restore, or a
stale list, contains an earlier era than the known one: its content was lost in the restore.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

logger = logging.getLogger(__name__)

STORE = "store"


class StoreEra:
    """The latest era of the store that is known to this node.

    Attributes:
        current: The era; 0 until the store or a peer has reported one.
    """

    def __init__(self) -> None:
        self.current = 0
        self._is_known = False
        self._decreased_to: int | None = None
        self._on_new: list[Callable[[str], None]] = []
        self._on_decreased: list[Callable[[], None]] = []

    def handle_new(self, handler: Callable[[str], None]) -> None:
        """Register a handler that is called with the source of each new era except the first."""
        self._on_new.append(handler)

    def handle_decreased(self, handler: Callable[[], None]) -> None:
        """Register a handler that is called when new answers of the store contain a lower era."""
        self._on_decreased.append(handler)

    def observe(self, era: int, source: str) -> None:
        """Apply an era that a peer or the store reported.

        Args:
            era: The era.
            source: The source of the era: ``STORE`` or a peer.
        """
        was_known, self._is_known = self._is_known, True
        if era <= self.current:
            return
        before, self.current = self.current, era
        if not was_known:
            return
        logger.warning("store restored", extra={"era": era, "before": before, "told_by": source})
        for handler in self._on_new:
            handler(source)

    def era_of_answer(
        self, reported: int | None, era_at_request: int, *, allow_stale: bool
    ) -> int | None:
        """Record the era in an answer of the store and return the era to which its content belongs.

        None if the answer must be discarded, since its era has ended. An answer to a new request
        that wrongly contains a lower era is reported, and counts as of the current era.

        Args:
            reported: The era in the answer; None if the answer contains none.
            era_at_request: The era known to this node when the request was sent.
            allow_stale: Whether the answer may show a state from before the request was sent.
        """
        if reported is None:
            return self.current if era_at_request == self.current else None
        if reported >= self.current:
            self.observe(reported, STORE)
            return reported
        if allow_stale or era_at_request < self.current:
            return None
        self._report_decreased(reported)
        return self.current

    def _report_decreased(self, reported: int) -> None:
        """Report that the store's era decreased, which must never happen."""
        if reported == self._decreased_to:
            return
        self._decreased_to = reported
        logger.error("store era fell", extra={"era": reported, "before": self.current})
        for handler in self._on_decreased:
            handler()
