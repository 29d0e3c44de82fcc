"""Any order of crashes under a fatal part, of successes without it, and of trials.

The judge has to stop requests with the part, whatever other parts they and the bystanders hold, and
may not stop requests without it for good.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.part_crashes import (
    MAX_PARTS,
    MIN_CONTRAST,
    MIN_FATAL_CRASHES,
    PartCrashes,
    PartSuspicion,
)
from hillstack.core.run_at_crash import RunAtCrash

FATAL = 0
SOUND_PARTS = (1, 2, 3, 4)
# Short, so that no play reaches the first pause after which a fatal part is tried again.
STEP_SECONDS = 0.1

Sound = st.sets(st.sampled_from(SOUND_PARTS), min_size=1)


class PartJudge(RuleBasedStateMachine):
    """Requests with and without a fatal part, at runners that nobody else crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.record = PartCrashes()
        self.now = 0.0
        self.crashes = 0
        # Successes since the first crash.
        self.successes = 0
        # Crashes since both were enough, each under a request that was sent as a suspect.
        self.suspect_crashes = 0

    def must_be_stopped(self) -> bool:
        return self.crashes >= MIN_FATAL_CRASHES and self.successes >= MIN_CONTRAST

    def suspicion(self, parts: set[int]) -> PartSuspicion:
        return self.record.judge(sorted(parts), self.now).suspicion

    @rule(others=Sound, bystander=Sound)
    def send_with_the_part(self, others: set[int], bystander: set[int]) -> None:
        """Send a request with the part beside another one, unless it is refused."""
        self.now += STEP_SECONDS
        suspicion = self.suspicion({FATAL, *others})
        if suspicion is PartSuspicion.FATAL:
            return
        is_trial = suspicion is PartSuspicion.SUSPECT
        parts = {FATAL, *others} if is_trial else {FATAL, *others, *bystander}
        if self.must_be_stopped():
            self.suspect_crashes += 1
        self.crashes += 1
        self.record.record(f"i-{self.crashes}", self.now, dict.fromkeys(parts, RunAtCrash(0.05)))

    @rule(parts=Sound)
    def send_without_the_part(self, parts: set[int]) -> None:
        """Send a sound request, which succeeds and clears its parts."""
        self.now += STEP_SECONDS
        suspicion = self.suspicion(parts)
        assert suspicion is not PartSuspicion.FATAL, f"{parts} refused"
        self.successes += self.crashes > 0
        self.record.record_success(parts, self.now)
        for part in parts:
            if self.record.is_evidence(part, self.now):
                self.record.clear(part, self.now)
        assert self.suspicion(parts) is PartSuspicion.NONE

    @rule(number=st.integers(1, 20), parts=Sound)
    def repeat_a_report(self, number: int, parts: set[int]) -> None:
        """Repeat the report of a crash with the parts that are not cleared."""
        known = self.record.runs_at(f"i-{number}")
        runs = {part: found.run for part, found in known.items() if part in parts}
        crashed_at = min((found.crashed_at for found in known.values()), default=0.0)
        if runs:
            self.record.record(f"i-{number}", crashed_at, runs)

    @invariant()
    def requests_with_the_part_are_stopped(self) -> None:
        """Then a request is sent only where it tells two parts apart."""
        assert self.suspect_crashes <= len(SOUND_PARTS)
        if self.must_be_stopped():
            assert self.suspicion({FATAL, *SOUND_PARTS}) is PartSuspicion.FATAL

    @invariant()
    def the_record_is_consistent(self) -> None:
        for runner_id in self.record.runner_ids():
            for part in self.record.runs_at(runner_id):
                assert runner_id in self.record.crashes(part)
        assert len(self.record.fatal_parts()) <= MAX_PARTS


TestPartJudge = PartJudge.TestCase
