"""Connects the permits of suspects with the store, the peers and the runners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hillstack.core.runner_pool import Runner
from hillstack.daemon.path_monitor import ProbeResult, TargetProbe
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.peer_permits import PeerPermits
from hillstack.serving.crash_knowledge import CrashKnowledge, Knowledge, PartKnowledge
from hillstack.serving.crash_permits import CrashPermits
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.ledger_recorder import LedgerRecorder
from hillstack.serving.ledger_store import LedgerStore, LimitedLedgerStore
from hillstack.serving.permit_voter import PermitVoter
from hillstack.serving.run_survival import RunSurvival
from hillstack.serving.suspect_permits import PermitServices


def make_permit_services(
    state: FleetState,
    store: LedgerStore,
    part_store: LedgerStore,
    link: PeerLink,
    probe: TargetProbe,
    is_isolated: Callable[[], bool],
    clock: Callable[[], float],
) -> PermitServices:
    """Return what a node needs to acquire permits and to end them.

    Args:
        state: State of the node.
        store: The ledgers of all nodes for requests.
        part_store: The same for prompt parts.
        link: Sends and receives datagrams.
        probe: Calls a runner over a new connection.
        is_isolated: Returns whether the node does not receive the notices of another region.
        clock: Monotonic seconds.
    """
    ledgers = LimitedLedgerStore(store)
    knowledge = CrashKnowledge(state.runner_crashes, state.crash_ledgers, clock)
    part_ledgers = LimitedLedgerStore(part_store)
    part_knowledge = PartKnowledge(
        state.part_crashes, state.runner_crashes, state.part_ledgers, clock
    )
    voter = PermitVoter(state.runner_crashes, knowledge, part_knowledge, clock)
    peers = PeerPermits(state, voter, link)

    async def answers_call(runner: Runner) -> bool:
        result = await probe.probe(runner.runner_id, runner.address, None)
        return result is ProbeResult.ANSWERED

    survival = RunSurvival(state.pool, clock, answers_call)

    def make_services(
        of: Knowledge, ledgers: LimitedLedgerStore, parts: PermitServices | None = None
    ) -> PermitServices:
        permits = CrashPermits(ledgers, state.node_id, clock, is_isolated, peers)
        recorder = LedgerRecorder(ledgers, asyncio.create_task)
        return PermitServices(of, permits, peers, recorder, survival, parts)

    return make_services(knowledge, ledgers, make_services(part_knowledge, part_ledgers))
