"""Holds token buckets for the nodes that transfer their refill time to this node.

The limits are those of tenants or of runners (``limit_scopes``). For runners' limits, ``tenant``
stands for the runner's identifier.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from random import Random

from hillstack.core.bucket_holders import BucketHolders
from hillstack.core.node_directory import NodeEntry
from hillstack.core.tenant_limits import TenantLimit
from hillstack.core.token_buckets import TokenBuckets
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
    TransferAnswer,
    TransferQuestion,
)
from hillstack.messages.packing import pack, unpack
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.serving.fleet_state import FleetState

# How long to wait for tokens of another holder: ten round trips between zones. Tokens that arrive
# later are still added to the bucket, for the next requests.
TRANSFER_SECONDS = 0.02
# Other holders that are asked at once: all of them if there are few zones, a random sample if there
# are many, so that the cost of a request over the limit does not grow with the number of zones.
MAX_HOLDERS_ASKED = 4
# Transfers whose late answers are still accepted: as many as can be in progress in a second.
MAX_OPEN_TRANSFERS = 512
# Pause before the other holders are asked again for tokens of a tenant of which they had too few.
SHORTAGE_PAUSE_SECONDS = 0.05
# Retry delay while this node does not know a tenant's limit; the configuration arrives soon.
UNKNOWN_WAIT_SECONDS = 0.2
# How often idle buckets and expired shortage pauses are removed.
EXPIRE_SECONDS = 2.0
MILLISECONDS = 1_000.0
# Transfer numbers start at random, so that the numbers of two processes on a machine do not
# collide: a late answer to the earlier process would be accepted by the later one and its tokens
# counted twice.
NUMBER_BITS = 32


class LimitHolder:
    """Answers requests for tokens.

    Args:
        state: The node's view of the fleet.
        buckets: The buckets of this node.
        holders: The other holders of buckets.
        link: Sends and receives datagrams.
        clock: Monotonic seconds.
        rng: Source of randomness.
        scope: The group of limits; the tenants' limits by default.
    """

    def __init__(
        self,
        state: FleetState,
        buckets: TokenBuckets,
        holders: BucketHolders,
        link: PeerLink,
        clock: Callable[[], float],
        rng: Random,
        scope: LimitScope | None = None,
    ) -> None:
        self._scope = scope or tenant_scope(state)
        self._state = state
        self._buckets = buckets
        self._holders = holders
        self._link = link
        self._clock = clock
        self._rng = rng
        first_number = rng.getrandbits(NUMBER_BITS)
        self._transfers: PendingAnswers[TransferAnswer] = PendingAnswers(
            TRANSFER_SECONDS, first_number
        )
        # In the order in which the transfers were requested.
        self._open_transfers: dict[int, None] = {}
        self._shortage_until: dict[str, float] = {}
        self._expire_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        link.handle(self._scope.question, self._on_question)
        link.handle(self._scope.transfer_question, self._on_transfer_question)
        link.handle(self._scope.transfer_answer, self._on_transfer_answer)

    async def answer(self, question: TokenQuestion) -> TokenAnswer:
        """Answer a question; request tokens from other holders if the local ones do not suffice."""
        return await self._complete(question, self._apply(question))

    async def _complete(self, question: TokenQuestion, missing: dict[str, float]) -> TokenAnswer:
        if missing:
            await self._gather(missing)
        return self._decide(question)

    def _on_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, TokenQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None or not self._state.peers_known or self._is_repeated(question):
            return
        missing = self._apply(question)
        if not missing:
            self._send_answer(self._decide(question), node)
            return
        task = asyncio.get_running_loop().create_task(self._answer_late(question, missing, node))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer_late(
        self, question: TokenQuestion, missing: dict[str, float], node: NodeEntry
    ) -> None:
        self._send_answer(await self._complete(question, missing), node)

    def _send_answer(self, answer: TokenAnswer, node: NodeEntry) -> None:
        self._link.send(self._scope.answer, pack(answer), node.address)

    def _is_repeated(self, question: TokenQuestion) -> bool:
        return self._buckets.is_repeated(question.node_id, question.incarnation, question.number)

    def _limit(self, tenant: str, reported_rate: float = 0.0) -> TenantLimit | None:
        return self._scope.source.limit_of(tenant, reported_rate)

    def _apply(self, question: TokenQuestion) -> dict[str, float]:
        """Apply the refill time and returned tokens; return the missing tokens by tenant."""
        now = self._clock()
        self._expire(now)
        self._buckets.contribute(
            question.node_id,
            question.incarnation,
            question.number,
            question.seconds,
            self._state.nodes.budget_node_count(now),
            now,
            is_first=question.is_first,
        )
        missing: dict[str, float] = {}
        for entry in question.tenants:
            limit = self._limit(entry.tenant, entry.rate)
            if limit is None:
                continue
            self._buckets.end_lease(entry.tenant, limit, question.node_id, entry.returned, now)
            if not entry.needs:
                continue
            cost = sum(need.cost for need in entry.needs)
            rank = max(need.rank for need in entry.needs)
            shortfall = self._buckets.missing(entry.tenant, limit, cost, rank, now)
            if shortfall > 0 and now >= self._shortage_until.get(entry.tenant, now):
                missing[entry.tenant] = shortfall
        return missing

    def _decide(self, question: TokenQuestion) -> TokenAnswer:
        grants = [self._grant(question.node_id, entry) for entry in question.tenants]
        return TokenAnswer(PROTOCOL_VERSION, question.number, grants)

    def _grant(self, node_id: str, entry: TenantTokens) -> TenantGrant:
        limit = self._limit(entry.tenant, entry.rate)
        if limit is None:
            waits = [round(UNKNOWN_WAIT_SECONDS * MILLISECONDS)] * len(entry.needs)
            return TenantGrant(entry.tenant, waits)
        now = self._clock()
        waits = [0] * len(entry.needs)
        for place in sorted(range(len(waits)), key=lambda place: entry.needs[place].rank):
            waits[place] = self._wait_ms(entry.tenant, limit, entry.needs[place], now)
        leased = self._buckets.lease(entry.tenant, limit, node_id, entry.ahead, now)
        return TenantGrant(entry.tenant, waits, leased)

    def _wait_ms(self, tenant: str, limit: TenantLimit, need: TokenNeed, now: float) -> int:
        if self._buckets.take_tokens(tenant, limit, need.cost, need.rank, now):
            return GRANTED
        wait = self._buckets.wait_seconds(tenant, limit, need.cost, need.rank, now)
        return round(wait * MILLISECONDS)

    async def _gather(self, missing: dict[str, float]) -> None:
        """Request missing tokens from the other holders, and wait for them for a short time."""
        others = self._holders.others(self._clock())
        if len(others) > MAX_HOLDERS_ASKED:
            others = self._rng.sample(others, MAX_HOLDERS_ASKED)
        asked = [self._ask(node, missing) for node in others]
        given: defaultdict[str, float] = defaultdict(float)
        for answer in await asyncio.gather(*asked):
            for tenant, tokens in (answer.given if answer is not None else {}).items():
                given[tenant] += tokens
        now = self._clock()
        for tenant, tokens in missing.items():
            if given[tenant] < tokens:
                self._shortage_until[tenant] = now + SHORTAGE_PAUSE_SECONDS

    async def _ask(self, node: NodeEntry, wanted: dict[str, float]) -> TransferAnswer | None:
        def send(number: int) -> None:
            self._open_transfers[number] = None
            if len(self._open_transfers) > MAX_OPEN_TRANSFERS:
                del self._open_transfers[next(iter(self._open_transfers))]
            question = TransferQuestion(PROTOCOL_VERSION, number, self._state.node_id, wanted)
            self._link.send(self._scope.transfer_question, pack(question), node.address)

        return await self._transfers.ask(send)

    def _on_transfer_question(self, payload: bytes, peer: str) -> None:
        question = unpack(payload, TransferQuestion, peer)
        node = self._state.nodes.get(question.node_id)
        if node is None:
            return
        now = self._clock()
        given: dict[str, float] = {}
        for tenant, wanted in question.wanted.items():
            limit = self._limit(tenant)
            if limit is not None:
                given[tenant] = self._buckets.transfer_out(tenant, limit, wanted, now)
        answer = TransferAnswer(PROTOCOL_VERSION, question.number, given)
        self._link.send(self._scope.transfer_answer, pack(answer), node.address)

    def _on_transfer_answer(self, payload: bytes, peer: str) -> None:
        answer = unpack(payload, TransferAnswer, peer)
        if answer.number not in self._open_transfers:
            return
        del self._open_transfers[answer.number]
        now = self._clock()
        for tenant, tokens in answer.given.items():
            limit = self._limit(tenant)
            if limit is not None:
                self._buckets.transfer_in(tenant, limit, tokens, now)
        self._transfers.take(answer.number, answer)

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_SECONDS
        self._buckets.expire(self._limit, now)
        self._shortage_until = {
            t: until for t, until in self._shortage_until.items() if until > now
        }
