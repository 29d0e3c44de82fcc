"""Decides which engines load which weights version next."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from hillstack.config.bundle import Bundle
from hillstack.core.fleet import Backend, Fleet


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to an engine to load a weights version."""

    engine_id: str
    address: str
    weights_version: int


def next_orders(
    bundle: Bundle, fleet: Fleet, in_progress: Collection[str], now: float
) -> list[LoadOrder]:
    """Return the load orders to send now.

    Engines whose weights version differs from the bundle's are reloaded, least loaded first. No
    more engines reload at once than the pool allows, and never all engines of a pool that has
    several.
    """
    orders = []
    for model in bundle.models:
        pool = next(pool for pool in bundle.pools if pool.name == model.pool)
        engines = fleet.accepting(pool.name, now)
        behind = _behind(engines, model.weights_version)
        at_once = min(pool.max_concurrent_loads, max(1, len(engines) - 1))
        running = sum(1 for e in engines if e.machine.machine_id in in_progress)
        waiting = [e for e in behind if e.machine.machine_id not in in_progress]
        for engine in sorted(waiting, key=_load)[: max(0, at_once - running)]:
            machine = engine.machine
            orders.append(LoadOrder(machine.machine_id, machine.address, model.weights_version))
    return orders


def _behind(engines: Iterable[Backend], weights_version: int) -> list[Backend]:
    return [e for e in engines if e.weights_version not in (0, weights_version)]


def _load(engine: Backend) -> tuple[int, str]:
    return engine.running(), engine.machine.machine_id
