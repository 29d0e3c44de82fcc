"""Decides the rollout of one service while this node holds the service's rollout duty.

All nodes observe and judge the rollout, so that the next holder of the duty knows as much as the
previous one, but only the holder writes. A write takes effect only if the order, the record and the
duty still have the revisions that the decision was based on. A holder that was paused, or whose
write arrives late, therefore changes nothing.
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

# A node whose last report is older counts as silent: more than three of the longest intervals
# between reports (0.8 s).
REPORT_FRESH_SECONDS = 3.0
# Maximum number of nodes listed in one log line.
MAX_LOGGED_NODES = 10


class RolloutStore(Protocol):
    """The store calls that a decision needs; each raises ``PlatformError`` if it fails."""

    async def write_rollout(
        self, record: RolloutRecord, fence: StoreRevision, update_operator_status: bool
    ) -> StoreRevision | None:
        """Replace a record if the order, the record and the duty have the given revisions.

        Args:
            record: The new record; its revision is that of the record to replace.
            fence: Expected revision of the duty's key.
            update_operator_status: Whether the operator's status is written in the same
                transaction.

        Returns:
            The revision of the new record, or None if a condition failed.
        """
        ...

    async def read_rollout(self, service: str) -> RolloutRecord | None:
        """Return the record of a service, or None."""
        ...


class Observations(Protocol):
    """The observations of all nodes on the current rollouts."""

    def evidence(self, service: str) -> RolloutEvidence | None:
        """Return the evidence on the current order; None if there is none yet."""
        ...

    def opinion(self, service: str) -> RolloutOpinion:
        """Return this node's opinion of the current order's target version."""
        ...


@dataclass(slots=True)
class _Watch:
    """State of one order as observed by this node, in times of the node's clock.

    Attributes:
        order: The order.
        age: Age of the order.
        stage: Stage of the order's latest record; None without a record.
        stage_seen_at: When the stage was first seen.
        usable_at: When a runner of the target version was last seen ready to accept work, or, if
            none has been, when the order was first seen.
    """

    order: RolloutOrder
    age: OrderAge
    stage: RolloutStage | None = None
    stage_seen_at: float = 0.0
    usable_at: float = 0.0


class RolloutDecider:
    """Observes the rollout of one service, and decides it while the duty is held.

    Args:
        service: The service.
        state: The node's view of the fleet.
        store: Where records and statuses are written.
        observations: The observations of all nodes.
        live_nodes: Returns the live nodes, including this one.
        apply_seconds: Time after which a change is assumed to be in force on silent nodes.
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

    def has_undecided_order(self) -> bool:
        """Return whether there is a current order that is not decided yet."""
        order = self._state.rollouts.order(self._service)
        return order is not None and not self._is_settled(order)

    def _is_settled(self, order: RolloutOrder) -> bool:
        """Return whether an order is decided and the store has the record of it."""
        has_lost_record = self._state.rollouts.has_lost_record(self._service)
        return is_decided(order, self._record()) and not has_lost_record

    def observe(self) -> RolloutView | None:
        """Update the observed state; return the view, or None without an order to decide."""
        order = self._state.rollouts.order(self._service)
        if order is None:
            self._watch = None
            return None
        watch = self._watch
        if watch is None or watch.order.identity != order.identity:
            watch = self._watch = self._start_watch(order)
        watch.order = order
        self._observe_record(watch)
        if self._is_settled(order):
            return None
        return self._view(watch)

    async def advance(self, view: RolloutView, fence: StoreRevision) -> None:
        """Write the next step of the rollout, if there is one."""
        step = next_step(view)
        if step is None:
            return
        self._log_step(view, step)
        try:
            revision = await self._store.write_rollout(step.record, fence, step.notifies_operator)
        except PlatformOutcomeUnknownError as error:
            logger.warning("rollout step without an answer", extra=self._log_fields(error))
            await self._reload_record()
            return
        except PlatformError as error:
            logger.warning("rollout step not written", extra=self._log_fields(error))
            return
        if revision is None:
            logger.info("rollout step refused", extra=self._log_fields())
            await self._reload_record()
            return
        self._apply_record(step.record, revision)

    async def _reload_record(self) -> None:
        """Read the record again, since it is unknown whether the last write took effect."""
        try:
            record = await self._store.read_rollout(self._service)
        except PlatformError as error:
            # The next step has the same conditions, so it fails if this write took effect.
            logger.warning("could not read the rollout record", extra=self._log_fields(error))
            return
        if record is not None:
            self._apply_record(record, record.revision)

    def _apply_record(self, record: RolloutRecord, revision: StoreRevision) -> None:
        written = replace(record, revision=revision)
        self._state.apply(RolloutRecorded(written), self._clock())

    def _record(self) -> RolloutRecord | None:
        return self._state.rollouts.record(self._service)

    def _start_watch(self, order: RolloutOrder) -> _Watch:
        now = self._clock()
        return _Watch(order, OrderAge(now), usable_at=now)

    def _observe_record(self, watch: _Watch) -> None:
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
            watch.age.apply_peer_age(evidence.ordered_at)
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
            untrusted_targets=self._state.rollouts.untrusted_targets(self._service),
            has_lost_record=self._state.rollouts.has_lost_record(self._service),
        )

    def _reporters(self, now: float) -> dict[str, ReporterState]:
        """Return the state of each node whose last report is fresh."""
        evidence = self._observations.evidence(self._service)
        if evidence is None:
            return {}
        reporters = evidence.reporters(now)
        return {
            node_id: reporter
            for node_id, reporter in reporters.items()
            if now - reporter.received_at < REPORT_FRESH_SECONDS
        }

    def _places(self, watch: _Watch, now: float) -> Places:
        """Return the slots of the runners that accept work, by version."""
        runners = self._state.pool.of_service(self._service)
        accepting = [runner for runner in runners if runner.accepts(now)]
        target = [r for r in accepting if r.entry.software == watch.order.target]
        others = [r for r in accepting if r.entry.software != watch.order.target]
        if target:
            watch.usable_at = now
        return Places(
            _total_slots(target),
            _total_slots(others),
            now - watch.usable_at,
            any(self._is_usable_alternative(runner, watch.order, now) for runner in runners),
        )

    def _is_usable_alternative(self, runner: Runner, order: RolloutOrder, now: float) -> bool:
        """Return whether a runner has another version that may be used, and stays in service."""
        version = runner.entry.software
        if version == order.target or not runner.will_accept(now):
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
            "waited_for": waited_for(view)[:MAX_LOGGED_NODES],
            "rejected": list(step.record.rejected),
        }
        changed = view.record is None or view.record.stage is not step.record.stage
        logger.info("rollout step" if changed else "rollout goes on", extra=fields)

    def _log_fields(self, error: PlatformError | None = None) -> dict[str, object]:
        fields: dict[str, object] = {"service": self._service}
        return fields | error_fields(error) if error is not None else fields


def _total_slots(runners: list[Runner]) -> int:
    return sum(runner.entry.slots for runner in runners)
