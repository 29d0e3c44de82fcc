"""Decides the next stage of a rollout from the state that its lease holder knows.

This module does not write to the store: a step is what the lease holder should write.
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

# Time without any target runner that accepts work after which the rollout is reverted: longer than
# the first suspicion of a runner (0.6 s) or a load of weights, shorter than callers wait.
# Suspicions after repeated failures (up to 4 s) or a refused connection (3 s) last longer than
# this.
UNUSABLE_SECONDS = 1.5
# How long this node must have seen the canary stage before the target may be accepted because no
# other version can serve. Runners that a node does not know yet, or that the store removes and
# lists again, are listed within this time.
ONLY_VERSION_SECONDS = 1.5
# The target's runners must have at least this share of the old runners' places: a service that has
# lost one of two zones runs with half of its places.
MIN_PLACES_SHARE = 0.5
# The record is rewritten when the age in it lags by this much, so that a new lease holder knows the
# age of the order to within this time.
AGE_UPDATE_SECONDS = 3.0
# Time reserved before the deadline: two attempts of the last write to a slow store.
DECIDE_MARGIN_SECONDS = 1.0
# Greatest share of the order's time reserved before the deadline; a short order still keeps nine
# tenths of its time.
DECIDE_MARGIN_SHARE = 0.1
DECIDED = frozenset({RolloutStage.COMPLETE, RolloutStage.REVERTED})


@dataclass(frozen=True, slots=True)
class Places:
    """Request slots of a service's runners that accept work.

    Attributes:
        target: Slots at runners of the target version.
        others: Slots at runners of all other versions.
        unusable_seconds: How long no runner of the target version has accepted work.
        has_alternative: Whether a usable runner of another version is listed.
    """

    target: int
    others: int
    unusable_seconds: float = 0.0
    has_alternative: bool = True


@dataclass(frozen=True, slots=True)
class RolloutView:
    """State of a rollout as its lease holder knows it.

    Attributes:
        order: The current order.
        record: The latest record of the service, of any order; None if there is none.
        age_seconds: Age of the order.
        stage_seconds: How long this node has seen the current stage; 0 without a record.
        verdict: The verdict on the target version.
        finding: The evidence for the verdict.
        reporters: The latest reported state of each node.
        live_nodes: Nodes that are alive, including this one.
        places: Request slots of the service's runners.
        apply_seconds: Time after which a change is in force even on nodes that send no report.
        untrusted_targets: Targets of earlier orders of the service that were never trusted.
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
    untrusted_targets: frozenset[str] = frozenset()
    has_lost_record: bool = False


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A record to be written to the store.

    Attributes:
        record: The record, with the revision of the record that it replaces; ``NO_REVISION`` if
            there is none.
        notifies_operator: Whether the operator must be notified of the stage.
    """

    record: RolloutRecord
    notifies_operator: bool


def is_decided(order: RolloutOrder, record: RolloutRecord | None) -> bool:
    """Return whether the rollout of an order is complete or reverted."""
    return record is not None and is_of_order(record, order) and record.stage in DECIDED


def next_step(view: RolloutView) -> RolloutStep | None:
    """Return the step to write now; None if there is none."""
    record = view.record
    if record is None or not is_of_order(record, view.order):
        return _first_step(view)
    if view.has_lost_record:
        return RolloutStep(_record(view, record.stage, record.reason), notifies_operator=True)
    match record.stage:
        case RolloutStage.CANARY:
            return _after_canary(view) or _age_update(view, record)
        case RolloutStage.SHIFTING:
            return _after_shifting(view) or _age_update(view, record)
        case _:
            return None


def _first_step(view: RolloutView) -> RolloutStep:
    """Return the first record of an order, which notifies the operator that the rollout runs."""
    if view.record is not None and is_trusted_before(view.order, view.record):
        record = _record(view, RolloutStage.SHIFTING, "trusted by an earlier order")
    else:
        record = _record(view, RolloutStage.CANARY, "ordered")
    return RolloutStep(record, notifies_operator=True)


def _after_canary(view: RolloutView) -> RolloutStep | None:
    """Return the step that ends the canary stage; None if the stage continues."""
    if view.verdict is Verdict.BAD:
        return _step(view, RolloutStage.REVERTED, view.finding)
    if _is_only_usable_version(view):
        return _step(view, RolloutStage.SHIFTING, "no other version may serve")
    if view.age_seconds >= _decision_deadline(view.order):
        return _step(
            view, RolloutStage.REVERTED, "not trusted in time: " + _missing_trust_reason(view)
        )
    if view.verdict is Verdict.GOOD and _has_enough_places(view.places):
        return _step(view, RolloutStage.SHIFTING, view.finding)
    return None


def _decision_deadline(order: RolloutOrder) -> float:
    """Return the age of the order at which a target that is not trusted yet is reverted."""
    margin = min(DECIDE_MARGIN_SECONDS, DECIDE_MARGIN_SHARE * order.over_seconds)
    return order.over_seconds - margin


def _is_only_usable_version(view: RolloutView) -> bool:
    """Return whether only the target can serve, as when the operator returns to an older version.

    The stage must have lasted for ``ONLY_VERSION_SECONDS``, so that runners that are being listed
    again are known.
    """
    places = view.places
    if places.has_alternative or not places.target:
        return False
    return view.stage_seconds >= ONLY_VERSION_SECONDS


def _after_shifting(view: RolloutView) -> RolloutStep | None:
    """Return the step that ends the shifting stage; None if the stage continues.

    The deadline does not revert a rollout in this stage: the version is trusted and gets the
    traffic.
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

    A live node that reports that it no longer uses them is not waited for. A node without reports
    applies the change within ``apply_seconds``, or serves nothing.
    """
    has_time_passed = view.stage_seconds >= view.apply_seconds
    silent = set(view.reporters) - view.live_nodes if not has_time_passed else set()
    waited_nodes = {
        node_id
        for node_id in view.live_nodes
        if not _has_drained(view.reporters.get(node_id), has_time_passed)
    }
    return sorted(waited_nodes | silent)


def _has_drained(reporter: ReporterState | None, has_time_passed: bool) -> bool:
    """Return whether a live node certainly has no requests at old runners and will send none."""
    if reporter is None:
        return has_time_passed
    follows = reporter.stage in TRUSTED
    return reporter.old_running == 0 and (follows or has_time_passed)


def _has_enough_places(places: Places) -> bool:
    """Return whether the target's runners have enough slots for the traffic."""
    return places.target > 0 and places.target >= MIN_PLACES_SHARE * places.others


def _missing_trust_reason(view: RolloutView) -> str:
    """Return why the target was not trusted by the deadline."""
    if not view.places.target:
        return "no runner of the target accepts work"
    if view.verdict is Verdict.GOOD:
        return f"{view.places.target} places at the target for {view.places.others} at the others"
    return view.finding


def _age_update(view: RolloutView, record: RolloutRecord) -> RolloutStep | None:
    """Return a step that only updates the order's age, for a later lease holder.

    None if the age in the record is recent enough.
    """
    if view.age_seconds - record.elapsed_seconds < AGE_UPDATE_SECONDS:
        return None
    return RolloutStep(_record(view, record.stage, record.reason), notifies_operator=False)


def _step(view: RolloutView, stage: RolloutStage, reason: str) -> RolloutStep:
    return RolloutStep(
        _record(view, stage, reason), notifies_operator=stage is not RolloutStage.SHIFTING
    )


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
    """Return all versions that must not be used.

    The target of the current order is one of them only if the given stage is ``REVERTED``.
    """
    order, before = view.order, view.record
    rejected = set(view.untrusted_targets)
    if before is not None:
        rejected.update(before.rejected)
        if not is_of_order(before, order) and before.stage not in TRUSTED:
            rejected.add(before.target)
    rejected.discard(order.target)
    if stage is RolloutStage.REVERTED:
        rejected.add(order.target)
    return tuple(sorted(rejected))
