"""Traffic of tenants with limits to a network of nodes, and a checker of the admitted requests."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from random import Random

from hillstack.core.routing_table import RoutingTable, TenantEntry
from hillstack.core.tenant_limits import LimitUnit, TenantLimit
from tests.fleet.builders import make_route, make_table
from tests.fleet.node_network import TOLERANCE, NodeNetwork, SimulatedNode

LONG_PROMPT = 9_190
SHORT_PROMPT = 875
LONG_SHARE = 0.35
MEAN_COST = LONG_SHARE * LONG_PROMPT + (1 - LONG_SHARE) * SHORT_PROMPT


def limited_table(*limits: TenantLimit, version: int = 1) -> RoutingTable:
    """Return a configuration with one tenant per limit."""
    keys = {
        f"key-{number}": TenantEntry(f"tenant-{number}", limit=limit)
        for number, limit in enumerate(limits)
    }
    return make_table(make_route(), version=version, keys=keys)


def token_limit(rate: float, burst: float | None = None) -> TenantLimit:
    return TenantLimit(rate, rate if burst is None else burst, LimitUnit.TOKENS, 200)


@dataclass
class NominalBucket:
    """Reference for the entitlement of a tenant: a single bucket that sees all of its requests."""

    limit: TenantLimit
    level: float = 0.0
    at: float = 0.0

    def take(self, cost: float, now: float) -> bool:
        self.level = min(self.limit.burst, self.level + (now - self.at) * self.limit.rate)
        self.at = now
        if self.level < cost:
            return False
        self.level -= cost
        return True


@dataclass
class TenantRecord:
    """Requests of a tenant: sent, admitted, and refused although the tenant was entitled."""

    limit: TenantLimit
    nominal: NominalBucket
    ran: list[tuple[float, float]] = field(default_factory=list)
    asked: int = 0
    entitled: int = 0
    refused_entitled: int = 0
    waits: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)

    def worst_window(self) -> float:
        """Return the highest total cost admitted in any window."""
        inside: deque[tuple[float, float]] = deque()
        total = worst = 0.0
        for at, cost in sorted(self.ran):
            inside.append((at, cost))
            total += cost
            while at - inside[0][0] >= TOLERANCE.window_seconds:
                total -= inside.popleft()[1]
            worst = max(worst, total)
        return worst


class LimitTraffic:
    """Sends requests of one tenant to nodes of a network.

    Args:
        network: The nodes.
        number: The tenant's number in the configuration.
        limit: The tenant's limit.
        seed: Determines times, costs and target nodes of the requests.
        homes: How many nodes the tenant's callers use.
    """

    def __init__(
        self, network: NodeNetwork, number: int, limit: TenantLimit, seed: int, homes: int
    ) -> None:
        self._network = network
        self._rng = Random(f"{seed}/{number}")
        self.tenant = f"tenant-{number}"
        self.limit = limit
        now = network.scheduler.now
        self.record = TenantRecord(limit, NominalBucket(limit, limit.burst, now))
        self._homes = self._rng.sample(sorted(network.nodes), min(homes, len(network.nodes)))

    def send(self, seconds: float, times_rate: float) -> None:
        """Send requests at random times in the next seconds, at a multiple of the limit's rate."""
        scheduler = self._network.scheduler
        at, end = scheduler.now, scheduler.now + seconds
        while True:
            at += self._rng.expovariate(times_rate * self.limit.rate / MEAN_COST)
            if at >= end:
                return
            is_long = self._rng.random() < LONG_SHARE
            scheduler.at(at, lambda is_long=is_long: self._arrive(is_long))  # type: ignore[misc]

    def _arrive(self, is_long: bool) -> None:
        node = self._network.nodes.get(self._rng.choice(self._homes))
        if node is None or node.loop.frozen:
            return
        cost = LONG_PROMPT if is_long else SHORT_PROMPT
        now = self._network.scheduler.now
        record = self.record
        record.asked += 1
        entitled = record.nominal.take(cost, now)
        record.entitled += entitled
        self._network.scheduler.spawn(node.loop, self._ask(node, cost, entitled, now))

    async def _ask(self, node: SimulatedNode, cost: float, entitled: bool, asked_at: float) -> None:
        limit = node.state.table.limit_of(self.tenant) if node.state.table else None
        if limit is None:
            return
        rank = 1 if cost == LONG_PROMPT else 0
        try:
            async with asyncio.timeout(1.0):
                wait = await node.limits.take(self.tenant, limit, cost, rank)
        except TimeoutError:
            wait = 1.0
        now = self._network.scheduler.now
        if wait <= 0:
            self.record.ran.append((now, cost))
            self.record.delays.append(now - asked_at)
            return
        self.record.waits.append(wait)
        self.record.refused_entitled += entitled
