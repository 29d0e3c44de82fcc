"""Header fields that are expected in a runner's answer.

Any other field may be a new signal of the runners that hillstack does not handle yet.
"""

from __future__ import annotations

from collections.abc import Iterable

from hillstack.platform import names

_STANDARD_FIELDS = (
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
_RUNNER_FIELDS = (
    names.BRITTLE,
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
KNOWN_FIELDS = frozenset(name.lower() for name in (*_STANDARD_FIELDS, *_RUNNER_FIELDS))


def unknown_fields(fields: Iterable[str]) -> list[str]:
    """Return the header fields of an answer that are not expected."""
    return [name for name in fields if name.lower() not in KNOWN_FIELDS]
