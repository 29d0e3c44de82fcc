"""Which version of a model's weights a request may still begin on.

Each version that is named must be the oldest in use a bounded time after its announcement was
acknowledged. A node knows the announcement only up to an interval: it was not there when the last
answer before was asked for. The earlier end counts.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Announcement:
    """A version that was named, no earlier than ``not_before`` on this node's clock."""

    version: int
    not_before: float


class WeightsVersions:
    """The versions named for each model.

    Args:
        grace_seconds: Time after an announcement until which older versions may be used.
    """

    def __init__(self, grace_seconds: float) -> None:
        self._grace = grace_seconds
        self._announced: dict[str, list[Announcement]] = {}

    def announce(self, model: str, version: int, not_before: float) -> bool:
        """Note a version; return whether it is newer than all known ones."""
        known = self._announced.setdefault(model, [])
        if known and known[-1].version >= version:
            return False
        known.append(Announcement(version, not_before))
        return True

    def restart(self, not_before: float) -> None:
        """Count the grace of all versions from a time on: it counts only in stable stretches."""
        for model, known in self._announced.items():
            self._announced[model] = [
                Announcement(entry.version, max(entry.not_before, not_before)) for entry in known
            ]

    def newest(self, model: str) -> int:
        """Return the newest version, 0 when none is known."""
        known = self._announced.get(model)
        return known[-1].version if known else 0

    def oldest_allowed(self, model: str, begins_at: float) -> int:
        """Return the oldest version on which a request may begin at a time."""
        allowed = 0
        for announcement in self._announced.get(model, ()):
            if begins_at < announcement.not_before + self._grace:
                break
            allowed = announcement.version
        return allowed

    def named_after(self, model: str, version: int) -> float:
        """Return when the next version above ``version`` was named; infinite when none was."""
        for announcement in self._announced.get(model, ()):
            if announcement.version > version:
                return announcement.not_before
        return float("inf")

    def deadline(self, model: str, version: int) -> float:
        """Return when runners older than the next version above ``version`` must not be used."""
        return self.named_after(model, version) + self._grace

    def models(self) -> list[str]:
        """Return the models for which versions were named."""
        return list(self._announced)
