"""The places at brittle runners that this process holds, by issuer."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

# A place that was granted, but whose request was not sent within this time, is released.
UNSENT_SECONDS = 0.1


@dataclass(slots=True)
class HeldPlaces:
    """The places that this process holds at one runner.

    Attributes:
        issuers: Issuer of each place, in the order in which they were taken.
        asked: Number of questions for a place that are not answered yet, by issuer.
        reported: Number of places that each issuer counts according to the latest messages.
        attempts: Number of attempts at the runner.
        unsent: Number of places whose attempt has not been sent yet.
        granted_at: When the latest place was granted.
    """

    issuers: list[str] = field(default_factory=list)
    asked: Counter[str] = field(default_factory=Counter)
    reported: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    unsent: int = 0
    granted_at: float = float("-inf")

    def held_from(self, issuer: str) -> int:
        """Return how many places are held from an issuer, or were asked of it."""
        return self.issuers.count(issuer) + self.asked[issuer]

    def is_misreported(self, issuer: str) -> bool:
        """Return whether an issuer counts other places than it issued, and no question is open.

        A message that was sent while another question was open counted the place asked for.
        """
        return not self.asked[issuer] and self.reported[issuer] != self.held_from(issuer)

    def grant(self, issuer: str, now: float) -> None:
        """Record a place for an attempt that is about to be sent."""
        self.issuers.append(issuer)
        self.unsent += 1
        self.granted_at = now

    def update(self, attempts: int, claimed_from: str | None, now: float) -> set[str]:
        """Adapt the places to the number of attempts; return the issuers whose count has changed.

        Args:
            attempts: Number of attempts at the runner.
            claimed_from: Issuer to claim a place from for each attempt without one; these were sent
                before this node knew that the runner is brittle. None to claim none.
            now: Time on the node's clock.
        """
        self.unsent = max(0, self.unsent - max(0, attempts - self.attempts))
        self.attempts = attempts
        if now >= self.granted_at + UNSENT_SECONDS:
            self.unsent = 0
        changed = set()
        while len(self.issuers) > attempts + self.unsent:
            changed.add(self.issuers.pop())
        while claimed_from is not None and len(self.issuers) < attempts + self.unsent:
            self.issuers.append(claimed_from)
            changed.add(claimed_from)
        return changed

    def move(self, issuers: list[str]) -> None:
        """Move the places of nodes that are no longer issuers to the first issuer."""
        self.issuers = [name if name in issuers else issuers[0] for name in self.issuers]
