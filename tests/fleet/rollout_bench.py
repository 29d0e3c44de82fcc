"""Nodes that decide a rollout, an in-memory store and simulated answers, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from hillstack.core.order_age import OrderAge
from hillstack.core.rollout_evidence import DELAY_BUCKETS, RolloutEvidence
from hillstack.core.rollout_judge import NO_OPINION, RolloutJudge, RolloutOpinion, opinion_of
from hillstack.core.runner_pool import RunnerEntry
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, RolloutStage, is_of_order
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.key_value import Condition, Entry, Put
from hillstack.daemon.software_rollout_duty import SoftwareRolloutDuty
from hillstack.errors import PlatformOutcomeUnknownError, PlatformUnavailableError
from hillstack.messages.rollout_reports import OutcomeCounts, RolloutReport
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.store_events import (
    NodeListed,
    RolloutDutyHeld,
    RolloutOrdered,
    RolloutRecorded,
    RolloutWithdrawn,
    RunnerListed,
    RunnerUnlisted,
    StoreEvent,
)
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import (
    APPLICATION,
    make_rng,
    make_route,
    make_state,
    make_table,
    rev,
)

OLD, NEW, NEWER = "v1", "v2", "v3"
OVER_SECONDS = 12.0
APPLY_SECONDS = 2.0
# Lease time that a renewal grants.
LEASE_TTL_SECONDS = 2.0
# Duration of a call to the store, and further wait for an answer that is lost.
CALL_SECONDS = 0.05
ANSWER_TIMEOUT_SECONDS = 0.5
REPORT_SECONDS = 0.5
RUNNERS_PER_VERSION = 3
# Answers per second of the whole service; the target version gives a tenth of them.
ANSWERS_PER_SECOND = 120.0
STATUS = {
    RolloutStage.CANARY: "running",
    RolloutStage.SHIFTING: "running",
    RolloutStage.COMPLETE: "complete",
    RolloutStage.REVERTED: "reverted",
}


def duty_key(service: str) -> str:
    """Return the key of the duty that decides the rollout of a service."""
    return f"duty/{service}"


@dataclass
class FakeStore:
    """Keys, leases, one order and one record, behind calls that can fail or take effect late.

    Attributes:
        ends: When each lease ends, by its identifier.
        is_down: Whether all calls fail.
        answers_to_lose: Number of next writes that take effect and whose answers are lost.
        writes_to_delay: Number of next writes that are kept in ``delayed_writes`` and take effect
            only when a test passes them to ``apply_write``.
        refused: Number of writes whose conditions did not hold.
        statuses: All statuses written for the operator: time, state and target.
        status_order_revisions: Revision of the order of each status in ``statuses``.
        records: All records that were written, with their times.
    """

    scheduler: Scheduler
    revision: int = 0
    keys: dict[str, tuple[Entry, int]] = field(default_factory=dict)
    ends: dict[int, float] = field(default_factory=dict)
    order: RolloutOrder | None = None
    record: RolloutRecord | None = None
    is_down: bool = False
    answers_to_lose: int = 0
    writes_to_delay: int = 0
    era: int = 0
    delayed_writes: list[tuple[RolloutRecord, StoreRevision, bool]] = field(default_factory=list)
    refused: int = 0
    statuses: list[tuple[float, str, str]] = field(default_factory=list)
    status_order_revisions: list[StoreRevision] = field(default_factory=list)
    records: list[tuple[float, RolloutRecord]] = field(default_factory=list)

    async def get(self, key: str) -> Entry | None:
        await self._call()
        return self.keys[key][0] if key in self.keys else None

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        await self._call()
        if any(condition.key in self.keys for condition in conditions):
            return None
        self.revision += 1
        for put in puts:
            self.keys[put.key] = (
                Entry(put.key, put.value, rev(self.revision)),
                put.lease_id,
            )
        return rev(self.revision)

    async def grant_lease(self, ttl_seconds: float) -> int:
        await self._call()
        self.revision += 1
        self.ends[self.revision] = self.scheduler.now + ttl_seconds
        return self.revision

    async def keep_alive(self, lease_id: int) -> bool:
        await self._call()
        if lease_id in self.ends:
            self.ends[lease_id] = self.scheduler.now + LEASE_TTL_SECONDS
        return lease_id in self.ends

    async def revoke_lease(self, lease_id: int) -> None:
        await self._call()
        self.ends[lease_id] = -1.0
        self.expire()

    async def write_rollout(
        self, record: RolloutRecord, fence: StoreRevision, update_operator_status: bool
    ) -> StoreRevision | None:
        await self._call()
        if self.writes_to_delay > 0:
            self.writes_to_delay -= 1
            self.delayed_writes.append((record, fence, update_operator_status))
            await asyncio.sleep(ANSWER_TIMEOUT_SECONDS)
            raise PlatformOutcomeUnknownError("no answer", step="write", peer="store")
        revision = self.apply_write(record, fence, update_operator_status)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            await asyncio.sleep(ANSWER_TIMEOUT_SECONDS)
            raise PlatformOutcomeUnknownError("no answer", step="write", peer="store")
        return revision

    async def read_rollout(self, service: str) -> RolloutRecord | None:
        await self._call()
        return self.record

    def apply_write(
        self, record: RolloutRecord, fence: StoreRevision, update_operator_status: bool
    ) -> StoreRevision | None:
        """Apply a write of a record if its order, its revision and its fence are current."""
        self.expire()
        order = self.order.revision if self.order is not None else NO_REVISION
        recorded = self.record.revision if self.record is not None else NO_REVISION
        duty = self.keys.get(duty_key(record.service))
        duty_revision = duty[0].mod_revision if duty is not None else NO_REVISION
        if (order, recorded, duty_revision) != (record.order_revision, record.revision, fence):
            self.refused += 1
            return None
        self.revision += 1
        self.record = RolloutRecord(
            record.service,
            record.target,
            record.order_revision,
            record.stage,
            record.reason,
            record.rejected,
            rev(self.revision),
            record.elapsed_seconds,
        )
        self.records.append((self.scheduler.now, self.record))
        if update_operator_status:
            self.statuses.append((self.scheduler.now, STATUS[record.stage], record.target))
            self.status_order_revisions.append(record.order_revision)
        return self.record.revision

    def expire(self) -> None:
        """Remove the leases that have ended, and the keys attached to them."""
        expired = {lease for lease, end in self.ends.items() if self.scheduler.now >= end}
        self.ends = {lease: end for lease, end in self.ends.items() if lease not in expired}
        self.keys = {k: v for k, v in self.keys.items() if v[1] not in expired}

    def holder(self) -> str | None:
        """Return the name of the node that holds the duty."""
        self.expire()
        held = self.keys.get(duty_key(APPLICATION))
        return held[0].value.decode() if held is not None else None

    async def _call(self) -> None:
        await asyncio.sleep(CALL_SECONDS)
        if self.is_down:
            raise PlatformUnavailableError("down", step="call", peer="store")
        self.expire()


@dataclass
class NodeObservations:
    """The evidence that one node has gathered from all reports, and its judge of each order."""

    scheduler: Scheduler
    state: FleetState
    evidence_by_service: dict[str, tuple[StoreRevision, RolloutEvidence]] = field(
        default_factory=dict
    )
    judges: dict[StoreRevision, tuple[RolloutJudge, OrderAge]] = field(default_factory=dict)

    def of(self, order: RolloutOrder) -> RolloutEvidence:
        """Return the evidence of an order; evidence of an earlier order is dropped."""
        stored = self.evidence_by_service.get(order.service)
        if stored is None or stored[0] != order.revision:
            stored = self.evidence_by_service[order.service] = (order.revision, RolloutEvidence())
        return stored[1]

    def evidence(self, service: str) -> RolloutEvidence | None:
        order = self.state.rollouts.order(service)
        return self.of(order) if order is not None else None

    def opinion(self, service: str) -> RolloutOpinion:
        order = self.state.rollouts.order(service)
        if order is None:
            return NO_OPINION
        now = self.scheduler.now
        if order.revision not in self.judges:
            age = OrderAge(now)
            judge = RolloutJudge(order.target, age.ordered_at, order.over_seconds)
            self.judges[order.revision] = judge, age
        judge, age = self.judges[order.revision]
        record = self.state.rollouts.record(service)
        if record is not None and is_of_order(record, order):
            age.note(record, now)
        judge.note_ordered_at(age.ordered_at)
        if judge.is_due(now):
            judge.evaluate(self.of(order).totals(), now)
        return opinion_of(
            judge.opinion(),
            is_reported_bad=self.of(order).is_reported_bad(),
            is_reverted=self.state.rollouts.stage(service) is RolloutStage.REVERTED,
        )


@dataclass
class Node:
    """One node that may hold the duty.

    Attributes:
        receives_store_events: Whether the node receives the changes of the store.
        receives_reports: Whether the node receives the reports of its peers.
        old_running: Requests that the node reports as running on runners of other versions.
        reports_bad: Whether the node reports that it judges the target version as bad.
        counted: Answers and failures by revision of the order and by version.
    """

    name: str
    state: FleetState
    duty: SoftwareRolloutDuty
    observed: NodeObservations
    loop: Any
    receives_store_events: bool = True
    receives_reports: bool = True
    alive: bool = True
    old_running: int = 0
    reports_bad: bool = False
    incarnation: int = 1
    counted: dict[tuple[StoreRevision, str], list[float]] = field(default_factory=dict)

    def is_reporting(self) -> bool:
        """Return whether the node serves requests and sends reports of their outcomes."""
        return self.alive and not self.loop.frozen


def entry(name: str, software: str, revision: int = 1) -> RunnerEntry:
    """Return the entry of a runner with a version of the software."""
    return RunnerEntry(
        name, APPLICATION, "10.0.0.1:1", "zone-a", 8, False, {}, rev(revision), software
    )


class RolloutBench:
    """Nodes and a store; the nodes send reports to each other every half second.

    Attributes:
        failing: Share of the target version's answers that are failures.
        has_requests: Whether the service gets requests.
    """

    def __init__(self, *names: str) -> None:
        self.scheduler = Scheduler()
        self.store = FakeStore(self.scheduler)
        self.failing = 0.0
        self.has_requests = True
        self.nodes: list[Node] = []
        self.names = names or ("node-a", "node-b")
        for name in self.names:
            self.add_node(name)

    def add_node(self, name: str) -> Node:
        """Start a node that knows all runners and nodes; it may hold the duty."""
        entries = [entry(f"old-{n}", OLD) for n in range(RUNNERS_PER_VERSION)]
        entries += [entry(f"new-{n}", NEW) for n in range(RUNNERS_PER_VERSION)]
        state = make_state(make_table(make_route()), *entries)
        state.node_id = name
        for other in self.names:
            state.apply(NodeListed(other, "10.0.0.2:1", "zone-a"), self.scheduler.now)
        observed = NodeObservations(self.scheduler, state)
        duty = SoftwareRolloutDuty(
            state,
            self.store,
            duty_key,
            observed,
            lambda: {node.name for node in self.nodes if node.alive},
            APPLY_SECONDS,
            self.scheduler.clock,
            make_rng(),
        )
        loop = self.scheduler.new_loop()
        node = Node(name, state, duty, observed, loop, incarnation=len(self.nodes) + 1)
        self.nodes.append(node)
        self.scheduler.spawn(loop, duty.run())
        return node

    def order(self, target: str = NEW, over: float = OVER_SECONDS) -> RolloutOrder:
        """Write an order to the store."""
        self.store.revision += 1
        order = RolloutOrder(APPLICATION, target, over, rev(self.store.revision))
        self.store.order = order
        return order

    def announce_order(self, order: RolloutOrder) -> None:
        """Announce an order to all nodes, as a node that knows it does while the store is down."""
        self.apply_to_nodes(RolloutOrdered(order))

    def withdraw(self) -> None:
        """Delete the order from the store and announce that to all nodes."""
        self.store.revision += 1
        self.store.order = None
        self.apply_to_nodes(RolloutWithdrawn(APPLICATION, rev(self.store.revision)))

    def list_runner(self, name: str, software: str, revision: int = 1) -> None:
        self.apply_to_nodes(RunnerListed(entry(name, software, revision)))

    def unlist_runners(self, prefix: str) -> None:
        for n in range(RUNNERS_PER_VERSION):
            self.apply_to_nodes(RunnerUnlisted(f"{prefix}-{n}", None))

    def apply_to_nodes(self, event: StoreEvent) -> None:
        """Apply an event of the store at all nodes that follow the store."""
        for node in self.nodes:
            if node.alive and node.receives_store_events:
                node.state.apply(event, self.scheduler.now)

    def kill(self, node: Node) -> None:
        node.alive = False
        self.scheduler.kill(node.loop)

    def holder(self) -> Node | None:
        name = self.store.holder()
        return next((n for n in self.nodes if n.name == name and n.alive), None)

    def run(self, seconds: float) -> None:
        """Let time pass; nodes receive the store's content and reports every half second."""
        end = self.scheduler.now + seconds
        while self.scheduler.now < end - 1e-9:
            self.scheduler.run_until(min(end, self.scheduler.now + REPORT_SECONDS))
            self._count_answers(REPORT_SECONDS)
            if not self.store.is_down:
                self._deliver_store()
            self._send_reports()

    def states(self) -> list[str]:
        """Return the states of all statuses written for the operator, in order."""
        return [state for _, state, _ in self.store.statuses]

    def stage(self) -> RolloutStage | None:
        return self.store.record.stage if self.store.record is not None else None

    def _deliver_store(self) -> None:
        if self.store.order is not None:
            self.apply_to_nodes(RolloutOrdered(self.store.order))
        if self.store.record is not None:
            self.apply_to_nodes(RolloutRecorded(self.store.record))
        self.apply_to_nodes(RolloutDutyHeld(APPLICATION, self.store.holder()))

    def _count_answers(self, seconds: float) -> None:
        order = self.store.order
        if order is None or not self.has_requests:
            return
        answering = [node for node in self.nodes if node.is_reporting()]
        for node in answering:
            for version, share in ((OLD, 0.9), (order.target, 0.1)):
                answered = share * ANSWERS_PER_SECOND * seconds / len(answering)
                counted = node.counted.setdefault((order.revision, version), [0.0, 0.0])
                counted[0] += answered
                counted[1] += answered * (self.failing if version == order.target else 0.0)

    def _send_reports(self) -> None:
        for sender in self.nodes:
            order = sender.state.rollouts.order(APPLICATION)
            if not sender.is_reporting() or order is None:
                continue
            report = self._report(sender, order)
            for receiver in self.nodes:
                if not receiver.alive or not receiver.receives_reports:
                    continue
                known = receiver.state.rollouts.order(APPLICATION)
                if known is not None and known.revision == order.revision:
                    evidence = receiver.observed.of(known)
                    evidence.merge_report(
                        sender.name, sender.incarnation, report, self.scheduler.now
                    )

    def _report(self, sender: Node, order: RolloutOrder) -> RolloutReport:
        outcomes = []
        for (revision, version), (answered, failed) in sender.counted.items():
            if revision == order.revision:
                delays = [0] * DELAY_BUCKETS
                delays[4] = int(answered)
                outcomes.append(
                    OutcomeCounts(version, "r", False, int(answered), int(failed), delays)
                )
        stage = sender.state.rollouts.stage(APPLICATION) or RolloutStage.CANARY
        old_running = sender.old_running
        return RolloutReport(
            APPLICATION,
            order.revision.number,
            stage.value,
            old_running,
            outcomes,
            sender.reports_bad,
        )
