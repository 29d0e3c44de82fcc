"""Decides the rollout of one service while this node holds the duty of it.

All nodes watch and judge, so that the next holder knows as much as the one before; only the holder
writes. What it writes holds only if order, record and duty are still those that it decided on, so
a holder that was paused, or whose write comes late, changes nothing.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Set
from dataclasses import dataclass, replace
from typing import Protocol

from hillstack.core.order_age import OrderAge
from hillstack.core.rollout_evidence import ReporterState, RolloutEvidence
from hillstack.core.rollout_judge import RolloutOpinion
from hillstack.core.rollout_plan import (
    Places,
    RolloutStep,
    RolloutView,
    is_decided,
    next_step,
    waited_for,
)
from hillstack.core.runner_pool import Runner
from hillstack.core.software_rollouts import (
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    VersionAccess,
    is_of_order,
)
from hillstack.core.store_revision import StoreRevision
from hillstack.errors import PlatformError, PlatformOutcomeUnknownError
from hillstack.logs import error_fields
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import RolloutRecorded

logger = logging.getLogger(__name__)

# A node that has said nothing for longer counts as silent: more than three of the longest pauses
# between reports (0.8 s).
REPORT_FRESH_SECONDS = 3.0
# Nodes that one line of the log names.
MOST_LOGGED_NODES = 10


class RolloutStore(Protocol):
    """The calls that a decision needs; each raises ``PlatformError`` when it fails."""

    async def write_rollout(
        self, record: RolloutRecord, fence: StoreRevision, tell_operator: bool
    ) -> StoreRevision | None:
        """Replace a record if order, record and duty still have the revisions that it names.

        Args:
            record: The record, with the revision of the one that it replaces.
            fence: Revision of the duty's key.
            tell_operator: Whether the operator's status is written with it.

        Returns:
            The revision of the new record, or None if a condition does not hold.
        """
        ...

    async def read_rollout(self, service: str) -> RolloutRecord | None:
        """Return the record of a service, or None."""
        ...


class Observations(Protocol):
    """What all nodes saw of the rollouts that stand."""

    def evidence(self, service: str) -> RolloutEvidence | None:
        """Return what was seen of the order that stands; None if nothing is known yet."""
        ...

    def opinion(self, service: str) -> RolloutOpinion:
        """Return what this node holds of the target of the order that stands."""
        ...


@dataclass(slots=True)
class _Watch:
    """What this node noted of one order, on its own clock.

    Attributes:
        stage: Stage of the order's latest record; None without one.
        stage_seen_at: When that stage was first seen.
        usable_at: When a runner of the target last accepted work, or the order was seen.
    """

    order: RolloutOrder
    age: OrderAge
    stage: RolloutStage | None = None
    stage_seen_at: float = 0.0
    usable_at: float = 0.0


class RolloutDecider:
    """Watches the rollout of one service, and decides it while the duty is held.

    Args:
        service: The service.
        state: What the node knows.
        store: Where record and status are written.
        observations: What all nodes saw.
        live_nodes: Returns the nodes that are alive.
        apply_seconds: Time after which a change is in force on nodes that say nothing.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        service: str,
        state: FleetState,
        store: RolloutStore,
        observations: Observations,
        live_nodes: Callable[[], Set[str]],
        apply_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self._service = service
        self._state = state
        self._store = store
        self._observations = observations
        self._live_nodes = live_nodes
        self._apply_seconds = apply_seconds
        self._clock = clock
        self._watch: _Watch | None = None

    def is_wanted(self) -> bool:
        """Return whether an order stands that is not decided yet."""
        order = self._state.rollouts.order(self._service)
        return order is not None and not self._is_settled(order)

    def _is_settled(self, order: RolloutOrder) -> bool:
        """Return whether an order is decided, and the store says so."""
        has_lost_record = self._state.rollouts.has_lost_record(self._service)
        return is_decided(order, self._record()) and not has_lost_record

    def look(self) -> RolloutView | None:
        """Watch and judge; return what is known, or None without an order to decide."""
        order = self._state.rollouts.order(self._service)
        if order is None:
            self._watch = None
            return None
        watch = self._watch
        if watch is None or watch.order.identity != order.identity:
            watch = self._watch = self._begin(order)
        watch.order = order
        self._note_record(watch)
        if self._is_settled(order):
            return None
        return self._view(watch)

    async def advance(self, view: RolloutView, fence: StoreRevision) -> None:
        """Write the next step if there is one."""
        step = next_step(view)
        if step is None:
            return
        self._log_step(view, step)
        try:
            revision = await self._store.write_rollout(step.record, fence, step.news)
        except PlatformOutcomeUnknownError as error:
            logger.warning("rollout step without an answer", extra=self._fields(error))
            await self._settle()
            return
        except PlatformError as error:
            logger.warning("rollout step not written", extra=self._fields(error))
            return
        if revision is None:
            logger.info("rollout step refused", extra=self._fields())
            await self._settle()
            return
        self._take(step.record, revision)

    async def _settle(self) -> None:
        """Take over the record as it stands: the last write may or may not have taken effect."""
        try:
            record = await self._store.read_rollout(self._service)
        except PlatformError as error:
            # The next step is written under the same conditions, so it can't come on top.
            logger.warning("rollout record not read", extra=self._fields(error))
            return
        if record is not None:
            self._take(record, record.revision)

    def _take(self, record: RolloutRecord, revision: StoreRevision) -> None:
        written = replace(record, revision=revision)
        self._state.apply(RolloutRecorded(written), self._clock())

    def _record(self) -> RolloutRecord | None:
        return self._state.rollouts.record(self._service)

    def _begin(self, order: RolloutOrder) -> _Watch:
        now = self._clock()
        return _Watch(order, OrderAge(now), usable_at=now)

    def _note_record(self, watch: _Watch) -> None:
        record = self._record()
        if record is None or not is_of_order(record, watch.order):
            return
        now = self._clock()
        watch.age.note(record, now)
        if record.stage is not watch.stage:
            watch.stage = record.stage
            watch.stage_seen_at = now

    def _view(self, watch: _Watch) -> RolloutView:
        now = self._clock()
        opinion = self._observations.opinion(self._service)
        evidence = self._observations.evidence(self._service)
        if evidence is not None:
            watch.age.note_told(evidence.ordered_at)
        return RolloutView(
            order=watch.order,
            record=self._record(),
            age_seconds=now - watch.age.ordered_at,
            stage_seconds=now - watch.stage_seen_at if watch.stage is not None else 0.0,
            verdict=opinion.verdict,
            finding=opinion.reason,
            reporters=self._reporters(now),
            live_nodes=self._live_nodes(),
            places=self._places(watch, now),
            apply_seconds=self._apply_seconds,
            passed_over=self._state.rollouts.left_undecided(self._service),
            has_lost_record=self._state.rollouts.has_lost_record(self._service),
        )

    def _reporters(self, now: float) -> dict[str, ReporterState]:
        evidence = self._observations.evidence(self._service)
        if evidence is None:
            return {}
        reporters = evidence.reporters(now)
        return {
            node_id: reporter
            for node_id, reporter in reporters.items()
            if now - reporter.heard_at < REPORT_FRESH_SECONDS
        }

    def _places(self, watch: _Watch, now: float) -> Places:
        runners = self._state.pool.of_service(self._service)
        accepting = [runner for runner in runners if runner.accepts(now)]
        target = [r for r in accepting if r.entry.software == watch.order.target]
        others = [r for r in accepting if r.entry.software != watch.order.target]
        if target:
            watch.usable_at = now
        return Places(
            _slots(target),
            _slots(others),
            now - watch.usable_at,
            any(self._is_alternative(runner, watch.order, now) for runner in runners),
        )

    def _is_alternative(self, runner: Runner, order: RolloutOrder, now: float) -> bool:
        """Return whether a runner of another version is listed and may be used."""
        version = runner.entry.software
        if version == order.target or not runner.stays(now):
            return False
        return self._state.rollouts.access(self._service, version) is not VersionAccess.CLOSED

    def _log_step(self, view: RolloutView, step: RolloutStep) -> None:
        fields: dict[str, object] = {
            "service": self._service,
            "target": view.order.target,
            "order_revision": str(view.order.revision),
            "stage": step.record.stage,
            "reason": step.record.reason,
            "age_seconds": round(view.age_seconds, 2),
            "verdict": view.verdict.value,
            "finding": view.finding,
            "target_places": view.places.target,
            "other_places": view.places.others,
            "waited_for": waited_for(view)[:MOST_LOGGED_NODES],
            "rejected": list(step.record.rejected),
        }
        changed = view.record is None or view.record.stage is not step.record.stage
        logger.info("rollout step" if changed else "rollout goes on", extra=fields)

    def _fields(self, error: PlatformError | None = None) -> dict[str, object]:
        fields: dict[str, object] = {"service": self._service}
        return fields | error_fields(error) if error is not None else fields


def _slots(runners: list[Runner]) -> int:
    return sum(runner.entry.slots for runner in runners)
