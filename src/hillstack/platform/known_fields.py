"""Header fields that a runner's answer is known to carry.

Any other one may be something new that runners say of themselves, which nobody reads yet.
"""

from __future__ import annotations

from collections.abc import Iterable

from hillstack.platform import names

_STANDARD = (
    "Accept-Ranges",
    "Age",
    "Cache-Control",
    "Connection",
    "Content-Disposition",
    "Content-Encoding",
    "Content-Language",
    "Content-Length",
    "Content-Location",
    "Content-Range",
    "Content-Type",
    "Date",
    "ETag",
    "Expires",
    "Last-Modified",
    "Location",
    "Pragma",
    "Server",
    "Set-Cookie",
    "Trailer",
    "Transfer-Encoding",
    "Vary",
    "Via",
)
_OF_RUNNERS = (
    names.INSTANCE,
    names.KEEP_ALIVE,
    names.LEAVING,
    names.NOT_EXECUTED,
    names.REQUEST_ID,
    names.REQUEST_LIMIT,
    names.RETRY_AFTER,
    names.SIGNATURE,
    names.VERSIONS,
)
KNOWN_FIELDS = frozenset(name.lower() for name in (*_STANDARD, *_OF_RUNNERS))


def unknown_fields(fields: Iterable[str]) -> list[str]:
    """Return the names among those of an answer that are not known."""
    return [name for name in fields if name.lower() not in KNOWN_FIELDS]
