"""A node in which following the store fails, and a runner's entry can't be applied.

This module is run in place of ``hillstack.daemon.fleet_main``. Polls of the store fail while the
file exists that the environment variable ``FAULT_FILE`` names. The entry of ``ODD_RUNNER`` raises
an error when it is applied, as a fault in the node's own code would.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

FAULT_FILE_VARIABLE = "FAULT_FILE"
# Name of this module.
FAULTY_MAIN = "tests.fleet.faulty_main"
ODD_RUNNER = "odd"


def main() -> None:
    """Run a node with faults."""
    from hillstack.daemon.plain_http import load_http_client

    load_http_client()
    from hillstack.daemon.store_sync import StoreSync
    from hillstack.serving.fleet_state import FleetState

    poll, add_runner = StoreSync._poll, FleetState._add_runner

    async def failing_poll(self: Any, revision: Any) -> Any:
        if Path(os.environ[FAULT_FILE_VARIABLE]).exists():
            raise RuntimeError("injected fault")
        return await poll(self, revision)

    def failing_add(self: Any, entry: Any, now: float) -> None:
        if entry.directory_name == ODD_RUNNER:
            raise RuntimeError("injected fault")
        add_runner(self, entry, now)

    setattr(StoreSync, "_poll", failing_poll)  # noqa: B010
    setattr(FleetState, "_add_runner", failing_add)  # noqa: B010
    from hillstack.daemon.fleet_main import main as node_main

    node_main()


if __name__ == "__main__":
    main()
