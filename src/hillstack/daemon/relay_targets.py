"""Names the runners and KV cache stores to which nodes relay connections for each other."""

from __future__ import annotations

from hillstack.core.runner_pool import Runner
from hillstack.serving.fleet_state import FleetState


class RelayTargets:
    """Maps addresses to identifiers and back, by this node's own state.

    Args:
        state: State of this node.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def runner_at(self, address: str) -> Runner | None:
        """Return the runner that listens on an address.

        If several are known, the one that has not left is returned.
        """
        found = [runner for runner in self._state.pool.all() if runner.address == address]
        return min(found, key=lambda runner: runner.leaving, default=None)

    def target_id(self, address: str) -> str | None:
        """Return the identifier of what listens on an address; None if it is not known."""
        runner = self.runner_at(address)
        if runner is not None:
            return runner.runner_id
        return address if address in self._store_addresses() else None

    def address_of(self, target_id: str) -> str | None:
        """Return the address of a known target; None if it is unknown or must get no new work."""
        runner = self._state.pool.get(target_id)
        if runner is not None:
            return None if runner.is_leaving else runner.address
        return target_id if target_id in self._store_addresses() else None

    def siblings(self, address: str) -> list[str]:
        """Return the addresses of the other runners of the same service that have not left."""
        runner = self.runner_at(address)
        if runner is None:
            return []
        runners = self._state.pool.of_service(runner.entry.service)
        return [each.address for each in runners if each is not runner and not each.is_leaving]

    def addresses(self) -> set[str]:
        """Return the addresses of all known targets."""
        return {runner.address for runner in self._state.pool.all()} | self._store_addresses()

    def _store_addresses(self) -> set[str]:
        table = self._state.table
        return {store.address for store in table.kv_cache_stores()} if table is not None else set()
