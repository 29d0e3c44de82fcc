"""Logging and counting of store items that can't be decoded, once per revision of an item."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.change_log import StoredItem
from hillstack.errors import PlatformError
from hillstack.logs import error_fields

logger = logging.getLogger(__name__)

# Each node reloads the whole store every few seconds. If more keys than this are unreadable at the
# same time, the items that were reported first are reported again.
MAX_REPORTED_KEYS = 512
# Decoding errors may quote the value, which may be as long as the store allows.
MAX_ERROR_CHARACTERS = 200


class UnreadableItems:
    """Logs each unreadable item once per revision.

    Args:
        on_reported: Called each time an item is logged.
    """

    def __init__(self, on_reported: Callable[[], None] = lambda: None) -> None:
        self._on_reported = on_reported
        self._reported_revisions: OrderedDict[str, StoreRevision] = OrderedDict()

    def report(self, item: StoredItem, error: PlatformError) -> None:
        """Log an unreadable item, unless this revision of it was already logged."""
        if self._reported_revisions.get(item.key) == item.revision:
            return
        self._reported_revisions[item.key] = item.revision
        self._reported_revisions.move_to_end(item.key)
        while len(self._reported_revisions) > MAX_REPORTED_KEYS:
            self._reported_revisions.popitem(last=False)
        fields = error_fields(error) | {"revision": str(item.revision)}
        shortened = {
            name: value[:MAX_ERROR_CHARACTERS] if isinstance(value, str) else value
            for name, value in fields.items()
        }
        logger.error("item can't be read", extra=shortened)
        self._on_reported()
