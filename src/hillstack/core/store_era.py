"""Which era the store is in, as far as this node has heard.

Each answer of the store names the era. One that crosses the restore on its way, or a list that may
be old, names an earlier one than is known: what it says is of a time that the store has lost.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

logger = logging.getLogger(__name__)

STORE = "store"


class StoreEra:
    """The latest era of the store that this node has heard of.

    Attributes:
        current: The era; 0 until somebody names one, and where nobody does.
    """

    def __init__(self) -> None:
        self.current = 0
        self._is_known = False
        self._fell_to: int | None = None
        self._on_new: list[Callable[[str], None]] = []
        self._on_fallen: list[Callable[[], None]] = []

    def handle_new(self, handler: Callable[[str], None]) -> None:
        """Call a handler with who named a new era, but for the first one that is named."""
        self._on_new.append(handler)

    def handle_fallen(self, handler: Callable[[], None]) -> None:
        """Call a handler once for each lower era that the store names in new answers."""
        self._on_fallen.append(handler)

    def hear(self, era: int, source: str) -> None:
        """Take over an era that a peer or the store names.

        Args:
            era: The era.
            source: Who names it: ``STORE`` or a peer.
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

    def of_answer(self, told: int | None, asked_in: int, *, may_be_old: bool) -> int | None:
        """Return the era that an answer of the store is of; None if that has ended.

        Args:
            told: The era that it names; None if it names none.
            asked_in: The era that was known when it was asked for.
            may_be_old: Whether it may be of a time before it was asked for.
        """
        if told is None:
            return self.current if asked_in == self.current else None
        if told >= self.current:
            self.hear(told, STORE)
            return told
        if may_be_old or asked_in < self.current:
            return None
        self._note_fallen(told)
        return self.current

    def _note_fallen(self, told: int) -> None:
        """Note that the store itself names a lower era than before, which it never should."""
        if told == self._fell_to:
            return
        self._fell_to = told
        logger.error("store era fell", extra={"era": told, "before": self.current})
        for handler in self._on_fallen:
            handler()
