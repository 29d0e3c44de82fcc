"""Times at which the phases of a node's startup ended."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartTimes:
    """Startup times in seconds of the node's clock.

    Attributes:
        entered_at: The program started.
        listening_at: The listening sockets were open; callers can connect and wait in the backlog.
        loaded_at: The libraries were loaded.
    """

    entered_at: float
    listening_at: float
    loaded_at: float

    def phases(self, started_at: float) -> dict[str, float]:
        """Return the seconds from the start of the program to the end of each phase."""
        ends = {"listening": self.listening_at, "loaded": self.loaded_at, "started": started_at}
        return {phase: round(at - self.entered_at, 4) for phase, at in ends.items()}
