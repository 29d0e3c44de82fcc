"""Placement policies by name."""

from __future__ import annotations

from hillstack.config.bundle import Routing
from hillstack.core.placement.base import PlacementPolicy
from hillstack.core.placement.cache_aware import CacheAware
from hillstack.core.placement.full import CostWeights, Full
from hillstack.core.placement.least_loaded import LeastLoaded
from hillstack.core.placement.prefix_hash import PrefixHash
from hillstack.core.placement.round_robin import RoundRobin


def make_policy(routing: Routing) -> PlacementPolicy:
    """Return the policy that a bundle names."""
    if routing.policy == "round_robin":
        return RoundRobin()
    if routing.policy == "least_loaded":
        return LeastLoaded()
    if routing.policy == "prefix_hash":
        return PrefixHash()
    if routing.policy == "cache_aware":
        return CacheAware()
    weights = CostWeights(
        wait=routing.wait_weight,
        recompute=routing.recompute_weight,
        congestion=routing.congestion_weight,
        eviction=routing.eviction_weight,
        home_discount=routing.home_discount,
        untrusted_discount=routing.untrusted_discount,
    )
    return Full(weights)
