"""Requests tokens for this node's requests from the nodes that hold the token buckets.

Requests of a tenant that is far below its limit use tokens that were leased in advance and do not
wait. Other requests wait for one exchange with the bucket holder, which takes some milliseconds. If
no holder answers, the node uses local buckets, which hold only its own share of each limit.

The limits are those of tenants or of runners (``limit_scopes``). For runners' limits, ``tenant``
stands for the runner's identifier.
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

# How often a node transfers its refill time (its share of the buckets' refill, see
# ``core.token_buckets``) to a holder. This is the only cost while no tenant sends requests: four
# datagrams of about 60 bytes a second.
RENEW_SECONDS = 0.5
# A lease outlasts two renewal intervals, so one renewal may be lost.
LEASE_SECONDS = 1.2
# Timeout for a holder's answer. The holder may ask other holders during this time.
ANSWER_SECONDS = 0.06
# Attempts per holder before the next holder is asked. Switching holders spreads the tokens over
# more buckets, each of which has enough for fewer requests: with 3 of 100 datagrams lost, 0.36 of
# the tokens that a tenant was entitled to were refused with a single attempt, 0.13 with two.
ATTEMPTS_PER_HOLDER = 2
# Holders that are asked in sequence before the node uses its local buckets.
MAX_HOLDERS_ASKED = 2
# Minimum time between renewals when leases run low.
EARLY_RENEW_SECONDS = 0.1
# Retry delay for a caller whose request is missing from an answer. If no holder answers, the local
# buckets state the delay.
NO_GRANT_WAIT_SECONDS = 0.5
# How often a node that has just started checks whether it knows the other nodes, which takes a read
# of the store of about 10 ms. Requests with a limit wait until then.
START_CHECK_SECONDS = 0.015
INCARNATION_BITS = 32


@dataclass(slots=True)
class _WaitingRequest:
    """A request that waits for tokens; its result is 0 or the retry delay in seconds."""

    tenant: str
    need: TokenNeed
    result: asyncio.Future[float]


class LimitClient:
    """Keeps this node's requests within limits that all nodes share.

    Args:
        state: The node's view of the fleet.
        leases: Refill time and leased tokens of this node.
        holders: Chooses the holder to ask.
        holder: The local buckets of this node.
        link: Sends and receives datagrams.
        clock: Monotonic seconds.
        rng: Source of randomness.
        scope: The group of limits; the tenants' limits by default.
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
        self._local_question_number = 0
        self._is_first_question = True
        self._waiting: list[_WaitingRequest] = []
        self._wake = asyncio.Event()
        self._renew_at = 0.0
        self._renewed_at = 0.0
        link.handle(self._scope.answer, self._on_answer)

    async def take(self, tenant: str, limit: TenantLimit, cost: float, rank: int) -> float:
        """Take the cost of a request from the limit of its tenant or runner.

        Args:
            tenant: The tenant; for runners' limits (``runner_scope``) the runner's identifier.
            limit: The limit.
            cost: Cost of the request.
            rank: Rank of the request; the holder grants tokens to lower ranks first.

        Returns:
            0 if the request may be sent; else the seconds after which to try again.
        """
        now = self._clock()
        if self._leases.spend(tenant, cost, now):
            if self._leases.is_low(tenant, now) and now - self._renewed_at >= EARLY_RENEW_SECONDS:
                self._renew_at = now
                self._wake.set()
            return 0.0
        result: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self._waiting.append(_WaitingRequest(tenant, TokenNeed(cost, rank), result))
        self._wake.set()
        return await result

    def give_back(self, tenant: str, cost: float) -> None:
        """Return the cost of a request that no runner has run to the leased tokens."""
        now = self._clock()
        self._leases.add(tenant, cost, now + LEASE_SECONDS, now)

    async def run(self) -> None:
        """Transfer this node's refill time to holders and request tokens, until cancelled."""
        await self._state.start_gate.wait_for_first_read()
        while True:
            await self._pause(await self._work())

    async def _work(self) -> float:
        """Do the work that is due; return the seconds until more work is due."""
        # The node's share of the limits depends on the number of nodes, so wait until they are
        # known.
        if self._state.table is None or not self._state.peers_known:
            return START_CHECK_SECONDS
        if not self._scope.source.has_limits():
            self._admit_waiting()
            return RENEW_SECONDS
        if self._waiting or self._clock() >= self._renew_at:
            await self._exchange()
        return 0.0 if self._waiting else max(0.0, self._renew_at - self._clock())

    def _admit_waiting(self) -> None:
        """Admit the requests that still wait after the limits were removed."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if not entry.result.done():
                entry.result.set_result(0.0)

    async def _pause(self, seconds: float) -> None:
        """Wait for some seconds, or until a request needs tokens."""
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _exchange(self) -> None:
        """Request the tokens that are needed now, and renew the leases if that is due."""
        waiting, self._waiting = self._waiting, []
        waiting = [entry for entry in waiting if not entry.result.done()]
        for _ in range(MAX_HOLDERS_ASKED):
            now = self._clock()
            node = self._holders.own(now)
            if node is None:
                break
            answer = await self._ask_with_retry(node, waiting)
            if answer is not None:
                self._holders.note_answer(node.node_id)
                self._settle(waiting, answer)
                return
            self._holders.record_unreachable(node.node_id, self._clock())
            logger.info("no answer about limits", extra={"peer": node.node_id})
        self._local_question_number += 1
        question = self._question(waiting, self._local_question_number)
        self._settle(waiting, await self._holder.answer(question))

    async def _ask_with_retry(
        self, node: NodeEntry, waiting: list[_WaitingRequest]
    ) -> TokenAnswer | None:
        for _ in range(ATTEMPTS_PER_HOLDER):
            answer = await self._ask(node, waiting)
            if answer is not None:
                return answer
        return None

    async def _ask(self, node: NodeEntry, waiting: list[_WaitingRequest]) -> TokenAnswer | None:
        def send(number: int) -> None:
            question = self._question(waiting, number)
            self._link.send(self._scope.question, pack(question), node.address)

        return await self._answers.ask(send)

    def _question(self, waiting: list[_WaitingRequest], number: int) -> TokenQuestion:
        now = self._clock()
        needs: defaultdict[str, list[TokenNeed]] = defaultdict(list)
        for entry in waiting:
            needs[entry.tenant].append(entry.need)
        tenants: Iterable[str] = needs
        if now >= self._renew_at:
            # Random, so that not all nodes contact a holder at the same time.
            self._renew_at = now + RENEW_SECONDS * (0.9 + 0.2 * self._rng.random())
            self._renewed_at = now
            self._leases.expire(now)
            tenants = {**needs, **dict.fromkeys(self._leases.tenants())}
        tokens = [
            TenantTokens(
                tenant,
                self._leases.withdraw_tokens(tenant, now),
                needs.get(tenant, []),
                self._leases.wanted(tenant, now),
                self._scope.source.reported_rate(tenant),
            )
            for tenant in tenants
        ]
        seconds = self._leases.take_contribution(now)
        is_first, self._is_first_question = self._is_first_question, False
        return TokenQuestion(
            PROTOCOL_VERSION,
            self._state.node_id,
            self._incarnation,
            number,
            seconds,
            is_first,
            tokens,
        )

    def _settle(self, waiting: list[_WaitingRequest], answer: TokenAnswer) -> None:
        now = self._clock()
        grants = {grant.tenant: grant for grant in answer.grants}
        places: defaultdict[str, int] = defaultdict(int)
        for entry in waiting:
            place = places[entry.tenant]
            places[entry.tenant] += 1
            wait = self._wait_seconds(grants.get(entry.tenant), place)
            if not entry.result.done():
                entry.result.set_result(wait)
            elif wait == 0.0:
                # The caller disconnected while the request waited.
                self._leases.add(entry.tenant, entry.need.cost, now + LEASE_SECONDS, now)
        for grant in answer.grants:
            if grant.leased > 0:
                self._leases.add(grant.tenant, grant.leased, now + LEASE_SECONDS, now)

    def _wait_seconds(self, grant: TenantGrant | None, place: int) -> float:
        if grant is None or place >= len(grant.waits_ms):
            return NO_GRANT_WAIT_SECONDS
        wait = grant.waits_ms[place]
        return 0.0 if wait == GRANTED else max(1, wait) / MILLISECONDS

    def _on_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, TokenAnswer, peer)
        self._answers.take(answer.number, answer)
