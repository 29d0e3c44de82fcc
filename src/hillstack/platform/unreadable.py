"""Items of the store that can't be read: told once each, and counted."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable

from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.change_log import StoredItem
from hillstack.errors import PlatformError
from hillstack.logs import error_fields

logger = logging.getLogger(__name__)

# Each node reads the whole store again each few seconds. Beyond so many keys at a time the oldest
# are told again.
MAX_KEYS = 512
# What decoders say may quote the value, which may be as long as the store allows.
MAX_ERROR_CHARACTERS = 200


class UnreadableItems:
    """Notes items that can't be read.

    Args:
        on_new: Called for each one that was not noted before.
    """

    def __init__(self, on_new: Callable[[], None] = lambda: None) -> None:
        self._on_new = on_new
        self._revisions: OrderedDict[str, StoreRevision] = OrderedDict()

    def note(self, item: StoredItem, error: PlatformError) -> None:
        """Note an item, and tell of it unless that was done for this revision."""
        if self._revisions.get(item.key) == item.revision:
            return
        self._revisions[item.key] = item.revision
        self._revisions.move_to_end(item.key)
        while len(self._revisions) > MAX_KEYS:
            self._revisions.popitem(last=False)
        fields = error_fields(error) | {"revision": str(item.revision)}
        shortened = {
            name: value[:MAX_ERROR_CHARACTERS] if isinstance(value, str) else value
            for name, value in fields.items()
        }
        logger.error("item can't be read", extra=shortened)
        self._on_new()
