"""The crash of a runner under a prompt part, as reports and later contact show it."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from hillstack.core.run_at_crash import RunAtCrash


@dataclass(frozen=True, slots=True)
class PartCrash:
    """The crash of a runner, on this node's clock, and the oldest run there with a part.

    Attributes:
        latest_reported_at: The latest time of the crash in any report.
    """

    crashed_at: float
    run: RunAtCrash
    latest_reported_at: float = -math.inf

    @property
    def began_at(self) -> float:
        """When the run was sent."""
        return self.crashed_at - self.run.age

    def after_contact(self, contact_at: float) -> PartCrash | None:
        """Return the crash after contact with the runner; None if all reports are refuted."""
        if self.crashed_at > contact_at:
            return self
        if self.latest_reported_at <= contact_at:
            return None
        return replace(self, crashed_at=self.latest_reported_at)

    def merged(self, reported: PartCrash) -> PartCrash:
        """Return the crash after a further report: the earliest time, and the oldest run."""
        crashed_at = min(self.crashed_at, reported.crashed_at)
        latest = max(self.crashed_at, self.latest_reported_at, reported.crashed_at)
        oldest = self.run if self.run.age >= reported.run.age else reported.run
        return PartCrash(crashed_at, oldest, latest)
