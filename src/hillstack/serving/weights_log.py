"""Log fields of the time bound until which runners with older weights may be used."""

from __future__ import annotations

from hillstack.core.weights_versions import Announcement
from hillstack.logs import rounded_seconds


def bound_fields(named: Announcement, grace_seconds: float, now: float) -> dict[str, object]:
    """Return the log fields of a named version's time bound.

    Args:
        named: The named version.
        grace_seconds: Time after the naming for which older versions may be used.
        now: Time on the node's clock.
    """
    return {
        "source": named.told_by,
        "named_seconds_ago": rounded_seconds(now - named.acknowledged_after),
        "due_in_seconds": rounded_seconds(named.not_before + grace_seconds - now),
        "bound_by": named.cause,
    }
