"""The next stage of a rollout, from what its holder knows.

Nothing is written here: a step is what the holder should write to the store.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass

from hillstack.core.rollout_evidence import ReporterState
from hillstack.core.rollout_judge import Verdict
from hillstack.core.software_rollouts import (
    TRUSTED,
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    is_of_order,
    is_trusted_before,
)
from hillstack.core.store_revision import NO_REVISION

# A target without any runner that accepts work: longer than a suspicion or a load of weights lasts,
# shorter than callers wait.
UNUSABLE_SECONDS = 1.5
# How long the target must have been alone: runners that a node has not heard of yet, or that the
# store drops and lists again, are listed within that.
ALONE_SECONDS = 1.5
# The target's runners must have this part of the old runners' places: a service that has lost one
# of two zones gets by with half.
ENOUGH_SHARE = 0.5
# The record is written anew when the age in it is so much too low: a new holder knows the age of an
# order to within that.
NOTE_AGE_SECONDS = 3.0
# Before the deadline: two tries of the last write, with a slow store.
DECIDE_MARGIN_SECONDS = 1.0
# At most this part of the order's time: a short order still keeps nine tenths.
DECIDE_MARGIN_SHARE = 0.1
DECIDED = frozenset({RolloutStage.COMPLETE, RolloutStage.REVERTED})


@dataclass(frozen=True, slots=True)
class Places:
    """Places for requests at the runners of a service that accept work.

    Attributes:
        target: At runners of the target version.
        others: At runners of all other versions.
        unusable_seconds: How long no runner of the target has accepted work.
        has_alternative: Whether a runner of another version is listed that may be used.
    """

    target: int
    others: int
    unusable_seconds: float = 0.0
    has_alternative: bool = True


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What the holder knows of a rollout.

    Attributes:
        record: The latest record of the service, of whichever order; None without one.
        age_seconds: Age of the order.
        stage_seconds: How long the record is known; 0 without one.
        finding: What the verdict rests on.
        reporters: What each node said last.
        live_nodes: Nodes that are alive, this one among them.
        apply_seconds: Time after which a change is in force on nodes that say nothing.
        passed_over: Targets of earlier orders of the service that were never trusted.
        has_lost_record: Whether a restored store no longer has the record of the order.
    """

    order: RolloutOrder
    record: RolloutRecord | None
    age_seconds: float
    stage_seconds: float
    verdict: Verdict
    finding: str
    reporters: Mapping[str, ReporterState]
    live_nodes: Set[str]
    places: Places
    apply_seconds: float
    passed_over: frozenset[str] = frozenset()
    has_lost_record: bool = False


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """What should be written.

    Attributes:
        record: With the revision of the record that it replaces; ``NO_REVISION`` if there is none.
        news: Whether the stage is another one than the operator was told.
    """

    record: RolloutRecord
    news: bool


def is_decided(order: RolloutOrder, record: RolloutRecord | None) -> bool:
    """Return whether nothing is left to be done for an order."""
    return record is not None and is_of_order(record, order) and record.stage in DECIDED


def next_step(view: RolloutView) -> RolloutStep | None:
    """Return what should be written now; None if nothing."""
    record = view.record
    if record is None or not is_of_order(record, view.order):
        return _first_step(view)
    if view.has_lost_record:
        return RolloutStep(_record(view, record.stage, record.reason), news=True)
    match record.stage:
        case RolloutStage.CANARY:
            return _after_canary(view) or _noted_age(view, record)
        case RolloutStage.SHIFTING:
            return _after_shifting(view) or _noted_age(view, record)
        case _:
            return None


def _first_step(view: RolloutView) -> RolloutStep:
    """Return the record that an order begins with; the operator is told that it is running."""
    if view.record is not None and is_trusted_before(view.order, view.record):
        record = _record(view, RolloutStage.SHIFTING, "trusted by an earlier order")
    else:
        record = _record(view, RolloutStage.CANARY, "ordered")
    return RolloutStep(record, news=True)


def _after_canary(view: RolloutView) -> RolloutStep | None:
    """Return the step away from the canary stage, if it is time for one."""
    if view.verdict is Verdict.BAD:
        return _step(view, RolloutStage.REVERTED, view.finding)
    if _is_alone(view):
        return _step(view, RolloutStage.SHIFTING, "no other version may serve")
    if view.age_seconds >= _decide_by(view.order):
        return _step(view, RolloutStage.REVERTED, "not trusted in time: " + _obstacle(view))
    if view.verdict is Verdict.GOOD and _has_enough_places(view.places):
        return _step(view, RolloutStage.SHIFTING, view.finding)
    return None


def _decide_by(order: RolloutOrder) -> float:
    """Return the age in seconds at which a version that is not trusted yet is given up."""
    margin = min(DECIDE_MARGIN_SECONDS, DECIDE_MARGIN_SHARE * order.over_seconds)
    return order.over_seconds - margin


def _is_alone(view: RolloutView) -> bool:
    """Return whether only the target can serve: the operator went back to the version before.

    The stage must have lasted for a while: runners that are being listed anew have come by then.
    """
    places = view.places
    if places.has_alternative or not places.target:
        return False
    return view.stage_seconds >= ALONE_SECONDS


def _after_shifting(view: RolloutView) -> RolloutStep | None:
    """Return the step away from shifting, if it is time for one.

    The deadline reverts nothing here: the version is trusted and has the traffic.
    """
    if view.verdict is Verdict.BAD:
        return _step(view, RolloutStage.REVERTED, view.finding)
    if view.places.unusable_seconds >= UNUSABLE_SECONDS:
        return _step(view, RolloutStage.REVERTED, "no runner of the target accepts work")
    if not _has_enough_places(view.places) or waited_for(view):
        return None
    return _step(view, RolloutStage.COMPLETE, "no node uses the old runners any more")


def waited_for(view: RolloutView) -> list[str]:
    """Return the nodes that may still use the old runners.

    A node that is alive and says that it doesn't is believed at once. One that is silent follows a
    change when the time for it has passed, or serves nothing.
    """
    has_time_passed = view.stage_seconds >= view.apply_seconds
    silent = set(view.reporters) - view.live_nodes if not has_time_passed else set()
    waited = {
        node_id
        for node_id in view.live_nodes
        if not _has_left(view.reporters.get(node_id), has_time_passed)
    }
    return sorted(waited | silent)


def _has_left(reporter: ReporterState | None, has_time_passed: bool) -> bool:
    """Return whether a live node has surely nothing at old runners, now and from now on."""
    if reporter is None:
        return has_time_passed
    follows = reporter.stage in TRUSTED
    return reporter.old_running == 0 and (follows or has_time_passed)


def _has_enough_places(places: Places) -> bool:
    """Return whether the target's runners can take the traffic."""
    return places.target > 0 and places.target >= ENOUGH_SHARE * places.others


def _obstacle(view: RolloutView) -> str:
    """Return why a version was not trusted by the deadline."""
    if not view.places.target:
        return "no runner of the target accepts work"
    if view.verdict is Verdict.GOOD:
        return f"{view.places.target} places at the target for {view.places.others} at the others"
    return view.finding


def _noted_age(view: RolloutView, record: RolloutRecord) -> RolloutStep | None:
    """Return the same stage with the order's age, for a holder that comes after this one."""
    if view.age_seconds - record.elapsed_seconds < NOTE_AGE_SECONDS:
        return None
    return RolloutStep(_record(view, record.stage, record.reason), news=False)


def _step(view: RolloutView, stage: RolloutStage, reason: str) -> RolloutStep:
    return RolloutStep(_record(view, stage, reason), news=stage is not RolloutStage.SHIFTING)


def _record(view: RolloutView, stage: RolloutStage, reason: str) -> RolloutRecord:
    order, before = view.order, view.record
    return RolloutRecord(
        order.service,
        order.target,
        order.revision,
        stage,
        reason,
        _rejected(view, stage),
        before.revision if before is not None else NO_REVISION,
        view.age_seconds,
    )


def _rejected(view: RolloutView, stage: RolloutStage) -> tuple[str, ...]:
    """Return all versions that must not be used, but for the target of an order that stands."""
    order, before = view.order, view.record
    rejected = set(view.passed_over)
    if before is not None:
        rejected.update(before.rejected)
        if not is_of_order(before, order) and before.stage not in TRUSTED:
            rejected.add(before.target)
    rejected.discard(order.target)
    if stage is RolloutStage.REVERTED:
        rejected.add(order.target)
    return tuple(sorted(rejected))
