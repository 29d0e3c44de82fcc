"""When the phases of a node's start ended."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartTimes:
    """Times on the monotonic clock.

    Attributes:
        entered_at: The program began.
        listening_at: Callers could connect; they wait from there on.
        loaded_at: The libraries were loaded.
    """

    entered_at: float
    listening_at: float
    loaded_at: float

    def phases(self, started_at: float) -> dict[str, float]:
        """Return the seconds from the program's beginning to the end of each phase."""
        ends = {"listening": self.listening_at, "loaded": self.loaded_at, "started": started_at}
        return {phase: round(at - self.entered_at, 4) for phase, at in ends.items()}
