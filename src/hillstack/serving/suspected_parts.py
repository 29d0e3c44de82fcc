"""What is known of a single request with suspected parts: its answer, permits and ledgers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hillstack.core.crash_counts import REPEATED_RETENTION_SECONDS
from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.part_crashes import (
    SURVIVAL_MARGIN_SECONDS,
    PartCrashes,
    PartSuspicion,
    PartVerdict,
)
from hillstack.core.part_trials import FATAL_MARK
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job

# How long requests with more suspected parts give way to one with fewer.
FEWEST_RETENTION_SECONDS = 5.0


class TrialOrder:
    """Lets requests with fewer suspected parts go first: their runs tell these parts apart."""

    def __init__(self) -> None:
        # The fewest suspected parts of a request with a part, and when it was seen.
        self._fewest: dict[int, tuple[int, float]] = {}

    def may_go(self, part: int, suspected: int, now: float) -> bool:
        """Return whether no request with fewer suspected parts was seen lately.

        Args:
            part: The part whose permit the request needs.
            suspected: Number of its suspected parts.
            now: Time on the node's clock.
        """
        fewest, seen_at = self._fewest.get(part, (suspected, now))
        if suspected > fewest and now - seen_at < FEWEST_RETENTION_SECONDS:
            return False
        self._fewest[part] = suspected, now
        return True


def has_long_answered(job: Job) -> bool:
    """Return whether a stream that goes on elsewhere had outlasted the crashes under its parts."""
    if job.first_event_at is None or job.last_event_at is None:
        return False
    return job.last_event_at - job.first_event_at > SURVIVAL_MARGIN_SECONDS


def is_resumed(job: Job) -> bool:
    """Return whether the latest run of a request went on with a stream that another run began."""
    if job.request.last_event_id is not None:
        return True
    return job.first_event_at is not None and job.first_event_at < job.sent_at


def has_unused_permit(job: Job, part: int) -> bool:
    """Return whether a request has a permit for a part under which it was not sent yet."""
    permitted = job.part_permits.get(part)
    return permitted is not None and any(not send.runner_id for send in permitted.sends)


def likeliest_part(parts: Iterable[int], crashes: PartCrashes) -> int:
    """Return the suspected part of a request that needs the permit.

    Only one does, so that requests with several suspected parts do not wait for each other.
    """
    return max(parts, key=lambda part: (len(crashes.crashes(part)), part))


def known_ledger(state: FleetState, part: int, now: float) -> CrashLedger:
    """Return the ledger of a part that a node knows, without runners that have not crashed."""
    ledger = state.part_ledgers.get(part, now) or CrashLedger()
    survivors = state.part_ledgers.survivors(part, state.runner_crashes.contacts.latest)
    return ledger.without_survivors(survivors.__contains__)


def with_ledgers(verdict: PartVerdict, ledgers: Mapping[int, CrashLedger]) -> PartVerdict:
    """Return a verdict together with that on parts of which only the ledgers are known."""
    for part, ledger in ledgers.items():
        if ledger.is_exhausted(()) and FATAL_MARK in ledger.crashed:
            return PartVerdict(PartSuspicion.FATAL, (part,), REPEATED_RETENTION_SECONDS)
    if not ledgers:
        return verdict
    return PartVerdict(PartSuspicion.SUSPECT, tuple(sorted({*verdict.parts, *ledgers})))
