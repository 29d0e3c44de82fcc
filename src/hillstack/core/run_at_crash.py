"""A run of a request that was on a runner when the runner crashed."""

from __future__ import annotations

from dataclasses import dataclass, replace

# A run is settled once this time has passed since the first bytes of its answer: it is an unlikely
# cause of a crash and continues on another runner without restriction. Four times the age at which
# fatal runs were observed to crash their runners.
SETTLED_SECONDS = 0.5
# Weight of a run that has just settled; a run that has not settled has weight 1. The weight falls
# with the age of the answer to MIN_WEIGHT, so that a request which crashes runners late is still
# detected eventually.
JUST_SETTLED_WEIGHT = 0.2
MIN_WEIGHT = 0.02
# Added to both ages before they are compared. Runs wait in their runner's queue for some time, so a
# difference of this size is not significant.
AGE_SLACK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class RunAtCrash:
    """A run of a request that was on a runner when the runner crashed.

    Attributes:
        age: Seconds from the sending of the request to the crash.
        answering: Seconds from the first bytes of the answer to the crash; None before them.
        content: Content name of the request; 0 if it is not known.
        part_ids: The parts of its prompt that other prompts may contain too; empty in the runs that
            peers report.
    """

    age: float
    answering: float | None = None
    content: int = 0
    part_ids: tuple[str, ...] = ()

    @property
    def weight(self) -> float:
        """Weight of the run as a possible cause, relative to the other runs at the crash."""
        if not self.is_settled:
            return 1.0
        assert self.answering is not None
        return max(MIN_WEIGHT, JUST_SETTLED_WEIGHT * SETTLED_SECONDS / self.answering)

    @property
    def is_settled(self) -> bool:
        """Whether the answer had been under way for too long to be a likely cause."""
        return self.answering is not None and self.answering > SETTLED_SECONDS

    def until(self, seconds_before: float) -> RunAtCrash:
        """Return the run as it was some seconds earlier."""
        answering = self.answering
        if answering is not None:
            answering = None if answering < seconds_before else answering - seconds_before
        return replace(self, age=self.age - seconds_before, answering=answering)

    def similarity(self, other: RunAtCrash) -> float:
        """Return the similarity of two runs' ages when their runners crashed, at most 1."""
        if self.answering is not None and other.answering is not None:
            own, others = self.answering, other.answering
        else:
            own, others = self.age, other.age
        low, high = sorted((own + AGE_SLACK_SECONDS, others + AGE_SLACK_SECONDS))
        return low / high
