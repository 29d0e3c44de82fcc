"""Asks holders of token buckets for the tokens that this node's requests need.

Requests of a tenant far below its limit find tokens that were leased ahead, and wait for nothing.
Others wait for one exchange with the holder, some milliseconds. Where no holder answers, the node
holds buckets for itself alone: its own part of each limit.
"""

from __future__ import annotations

import asyncio
import logging
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from hillstack.core.bucket_holders import BucketHolders
from hillstack.core.node_directory import NodeEntry
from hillstack.core.tenant_limits import TenantLimit
from hillstack.core.token_leases import TokenLeases
from hillstack.daemon.limit_holder import MILLISECONDS, LimitHolder
from hillstack.daemon.limit_scopes import LimitScope, tenant_scope
from hillstack.daemon.peer_link import PeerLink
from hillstack.daemon.pending_answers import PendingAnswers
from hillstack.messages.limit_messages import (
    GRANTED,
    TenantGrant,
    TenantTokens,
    TokenAnswer,
    TokenNeed,
    TokenQuestion,
)
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# A node hands over its time so often. It is its only cost while no tenant sends anything: four
# datagrams of some 60 bytes a second.
RENEW_SECONDS = 0.5
# A lease lasts as long as two renewals and the loss of one.
LEASE_SECONDS = 1.2
# How long a holder's answer is waited for: it may ask other holders meanwhile.
ANSWER_SECONDS = 0.06
# A question that was lost is asked again once before another holder is asked, since tokens that lie
# with many holders serve few: with 3 of 100 datagrams lost, 0.36 of what a tenant was entitled to
# was refused without that, 0.13 with it.
QUESTIONS_TO_ONE = 2
# Holders that are asked one after another before the node holds its own part.
MOST_HOLDERS = 2
# Leases that run low are renewed no sooner.
EARLY_RENEW_SECONDS = 0.1
# Returned to a caller for whom no holder answered: by then the next one is found.
NO_HOLDER_WAIT_SECONDS = 0.5
# How often a node that has just started looks whether it knows the other nodes by now, which takes
# a read of the store of some 10 ms. No request waits for it: it is refused until they are known.
START_CHECK_SECONDS = 0.015
INCARNATION_BITS = 32


@dataclass(slots=True)
class _Waiting:
    """A request that waits for tokens; its result is 0, or after how many seconds there is room."""

    tenant: str
    need: TokenNeed
    result: asyncio.Future[float]


class LimitClient:
    """Keeps this node's requests within limits that all nodes share.

    Args:
        state: What the node knows.
        leases: Time and tokens of this node.
        holders: Whom to ask.
        holder: The buckets of this node itself.
        link: Where datagrams are sent and come from.
        clock: Monotonic seconds.
        rng: Source of randomness.
        scope: Whose limits they are; those of tenants by default.
    """

    def __init__(
        self,
        state: FleetState,
        leases: TokenLeases,
        holders: BucketHolders,
        holder: LimitHolder,
        link: PeerLink,
        clock: Callable[[], float],
        rng: Random,
        scope: LimitScope | None = None,
    ) -> None:
        self._scope = scope or tenant_scope(state)
        self._state = state
        self._leases = leases
        self._holders = holders
        self._holder = holder
        self._link = link
        self._clock = clock
        self._rng = rng
        self._incarnation = rng.getrandbits(INCARNATION_BITS)
        self._answers: PendingAnswers[TokenAnswer] = PendingAnswers(ANSWER_SECONDS)
        self._own_number = 0
        self._is_first = True
        self._waiting: list[_Waiting] = []
        self._wake = asyncio.Event()
        self._renew_at = 0.0
        self._renewed_at = 0.0
        link.handle(self._scope.answer, self._take_answer)

    async def take(self, tenant: str, limit: TenantLimit, cost: float, rank: int) -> float:
        """Take a request's cost out of its tenant's limit.

        Returns:
            0 if it may be sent; else after how many seconds there is room for it.
        """
        now = self._clock()
        if self._leases.spend(tenant, cost, now):
            if self._leases.is_low(tenant, now) and now - self._renewed_at >= EARLY_RENEW_SECONDS:
                self._renew_at = now
                self._wake.set()
            return 0.0
        result: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(tenant, TokenNeed(cost, rank), result))
        self._wake.set()
        return await result

    def give_back(self, tenant: str, cost: float) -> None:
        """Take back the cost of a request that no runner has run."""
        now = self._clock()
        self._leases.add(tenant, cost, now + LEASE_SECONDS, now)

    async def run(self) -> None:
        """Hand over this node's time and ask for tokens, until cancelled."""
        await self._state.start_gate.passed()
        while True:
            await self._pause(await self._work())

    async def _work(self) -> float:
        """Do what is due; return after how many seconds something is due again."""
        # Before all nodes are known, a node's own part of the limits is not known either.
        if self._state.table is None or not self._state.peers_known:
            return START_CHECK_SECONDS
        if not self._scope.source.has_limits():
            self._let_pass()
            return RENEW_SECONDS
        if self._waiting or self._clock() >= self._renew_at:
            await self._exchange()
        return 0.0 if self._waiting else max(0.0, self._renew_at - self._clock())

    def _let_pass(self) -> None:
        """Answer requests that still wait although there is no limit any more."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if not entry.result.done():
                entry.result.set_result(0.0)

    async def _pause(self, seconds: float) -> None:
        """Wait for some seconds, or until a request comes that waits for tokens."""
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _exchange(self) -> None:
        """Ask for the tokens that are needed now, and renew the leases when it is time."""
        waiting, self._waiting = self._waiting, []
        waiting = [entry for entry in waiting if not entry.result.done()]
        for _ in range(MOST_HOLDERS):
            now = self._clock()
            node = self._holders.own(now)
            if node is None:
                break
            answer = await self._ask_twice(node, waiting)
            if answer is not None:
                self._holders.note_answer(node.node_id)
                self._settle(waiting, answer)
                return
            self._holders.note_silent(node.node_id, self._clock())
            logger.info("no answer about limits", extra={"peer": node.node_id})
        self._own_number += 1
        question = self._question(waiting, self._own_number)
        self._settle(waiting, await self._holder.answer(question))

    async def _ask_twice(self, node: NodeEntry, waiting: list[_Waiting]) -> TokenAnswer | None:
        for _ in range(QUESTIONS_TO_ONE):
            answer = await self._ask(node, waiting)
            if answer is not None:
                return answer
        return None

    async def _ask(self, node: NodeEntry, waiting: list[_Waiting]) -> TokenAnswer | None:
        def send(number: int) -> None:
            question = self._question(waiting, number)
            self._link.send(self._scope.question, pack(question), node.address)

        return await self._answers.ask(send)

    def _question(self, waiting: list[_Waiting], number: int) -> TokenQuestion:
        now = self._clock()
        needs: defaultdict[str, list[TokenNeed]] = defaultdict(list)
        for entry in waiting:
            needs[entry.tenant].append(entry.need)
        tenants: Iterable[str] = needs
        if now >= self._renew_at:
            # A little apart from node to node, so that a holder is not asked by all at once.
            self._renew_at = now + RENEW_SECONDS * (0.9 + 0.2 * self._rng.random())
            self._renewed_at = now
            self._leases.expire(now)
            tenants = {**needs, **dict.fromkeys(self._leases.tenants())}
        told = [
            TenantTokens(
                tenant,
                self._leases.take_out(tenant, now),
                needs.get(tenant, []),
                self._leases.wanted(tenant, now),
                self._scope.source.told_rate(tenant),
            )
            for tenant in tenants
        ]
        seconds = self._leases.hand_over(now)
        is_first, self._is_first = self._is_first, False
        return TokenQuestion(
            PROTOCOL_VERSION,
            self._state.node_id,
            self._incarnation,
            number,
            seconds,
            is_first,
            told,
        )

    def _settle(self, waiting: list[_Waiting], answer: TokenAnswer) -> None:
        now = self._clock()
        grants = {grant.tenant: grant for grant in answer.grants}
        places: defaultdict[str, int] = defaultdict(int)
        for entry in waiting:
            place = places[entry.tenant]
            places[entry.tenant] += 1
            granted = self._grant_wait(grants.get(entry.tenant), place)
            if not entry.result.done():
                entry.result.set_result(granted)
            elif granted == 0.0:
                # Its caller left meanwhile.
                self._leases.add(entry.tenant, entry.need.cost, now + LEASE_SECONDS, now)
        for grant in answer.grants:
            if grant.leased > 0:
                self._leases.add(grant.tenant, grant.leased, now + LEASE_SECONDS, now)

    def _grant_wait(self, grant: TenantGrant | None, place: int) -> float:
        if grant is None or place >= len(grant.waits_ms):
            return NO_HOLDER_WAIT_SECONDS
        wait = grant.waits_ms[place]
        return 0.0 if wait == GRANTED else max(1, wait) / MILLISECONDS

    def _take_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, TokenAnswer, peer)
        self._answers.take(answer.number, answer)
