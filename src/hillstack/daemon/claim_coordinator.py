"""Claims idempotency keys at a majority of zones, over the network."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from hillstack.core.claims import ClaimRound, ClaimVerdict, replicas_of
from hillstack.core.control import ControlState
from hillstack.daemon.ports import Peers
from hillstack.errors import PeerError
from hillstack.messages.types import (
    ClaimComplete,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    StoredAnswer,
)

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_SECONDS = 1.0
COMPLETE_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """The result of a claim round.

    Attributes:
        answer: The stored answer of an earlier execution, if a replica had it.
        replicas: The replicas that were asked; they get the later release or completion.
    """

    verdict: ClaimVerdict
    answer: StoredAnswer | None
    replicas: tuple[str, ...]


class ClaimCoordinator:
    """Claims keys at one replica in each zone.

    Args:
        control: The member list, and the claims stored on this node.
        client: Sends requests to other nodes.
        wall_clock: Seconds since the epoch.
    """

    def __init__(
        self,
        control: ControlState,
        client: Peers,
        wall_clock: Callable[[], float],
    ) -> None:
        self._control = control
        self._membership = control.membership
        self._client = client
        self._wall_clock = wall_clock
        self._background: set[asyncio.Task[Any]] = set()

    async def claim(self, request: ClaimRequest, zones: tuple[str, ...]) -> ClaimResult:
        """Ask a replica in each zone, and return once further replies cannot change the result."""
        replicas = replicas_of(request.key, zones, self._membership.by_zone())
        claim_round = ClaimRound(replicas)
        asked = {zone: node_id for zone, node_id in replicas.items() if node_id is not None}
        for zone in replicas.keys() - asked.keys():
            claim_round.on_reply(zone, None)
        pending = {
            asyncio.create_task(self._ask(zone, node_id, request))
            for zone, node_id in asked.items()
        }
        while pending and not claim_round.can_end_early():
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for zone, reply in sorted((task.result() for task in done), key=lambda pair: pair[0]):
                claim_round.on_reply(zone, reply)
        verdict = claim_round.verdict()
        self._run_in_background(pending)
        return ClaimResult(
            verdict or ClaimVerdict.NO_MAJORITY, claim_round.answer(), tuple(asked.values())
        )

    def release(self, request: ClaimRequest, result: ClaimResult) -> None:
        """Release a claim at all replicas, in the background."""
        message = ClaimRelease(request.key, request.attempt_id)
        for node_id in result.replicas:
            self._run_in_background({asyncio.create_task(self._notify(node_id, message))})

    async def complete(
        self, request: ClaimRequest, result: ClaimResult, answer: StoredAnswer
    ) -> None:
        """Send the answer to all replicas and wait until the calls to a majority have ended."""
        message = ClaimComplete(request.key, request.attempt_id, answer)
        pending = {
            asyncio.create_task(self._notify(node_id, message)) for node_id in result.replicas
        }
        needed = len(result.replicas) // 2 + 1
        finished = 0
        while pending and finished < needed:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            finished += len(done)
        self._run_in_background(pending)

    async def _ask(
        self, zone: str, node_id: str, request: ClaimRequest
    ) -> tuple[str, ClaimReply | None]:
        if node_id == self._membership.own.node_id:
            return zone, self._control.claim(request, self._wall_clock())
        address = self._membership.address_of(node_id)
        if address is None:
            return zone, None
        try:
            reply = await self._client.call(address, request, CLAIM_TIMEOUT_SECONDS)
        except PeerError as error:
            logger.info("claim request failed", extra={"peer": error.peer, "step": error.step})
            return zone, None
        return zone, reply if isinstance(reply, ClaimReply) else None

    async def _notify(self, node_id: str, message: ClaimRelease | ClaimComplete) -> None:
        if node_id == self._membership.own.node_id:
            self._control.claims.apply(message)
            return
        address = self._membership.address_of(node_id)
        if address is None:
            return
        try:
            await self._client.call(address, message, COMPLETE_TIMEOUT_SECONDS)
        except PeerError as error:
            logger.info("claim update failed", extra={"peer": error.peer, "step": error.step})

    def _run_in_background(self, tasks: Iterable[asyncio.Task[Any]]) -> None:
        for task in tasks:
            self._background.add(task)
            task.add_done_callback(self._background.discard)
