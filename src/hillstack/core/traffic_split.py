"""Splits the requests of a route over services by weight.

Uses smooth weighted round robin: over a cycle each service gets exactly its share, interleaved as
evenly as the weights allow, so that the shares are met approximately for few requests too.
"""

from __future__ import annotations

from collections.abc import Sequence

from hillstack.core.routing_table import Route, ServiceShare


class TrafficSplit:
    """Chooses the service of each request, with separate balances for each route."""

    def __init__(self) -> None:
        self._balances: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        balances = self._balances_of(route.name, route.shares)
        total = 0.0
        for share in route.shares:
            balances[share.service] += share.weight
            total += share.weight
        chosen = max(route.shares, key=lambda share: balances[share.service]).service
        balances[chosen] -= total
        return chosen

    def _balances_of(self, route: str, shares: Sequence[ServiceShare]) -> dict[str, float]:
        balances = self._balances.get(route)
        names = {share.service for share in shares}
        if balances is None or balances.keys() != names:
            balances = self._balances[route] = dict.fromkeys(names, 0.0)
        return balances
