"""Entry of a node of the fleet, without the command line's libraries.

The settings file is the first argument, or named by the variable ``HILLSTACK_CONFIG``.
"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from hillstack.config.fleet_settings import FleetSettings, load_fleet_settings
from hillstack.daemon.fleet_node import FleetNode
from hillstack.errors import SettingsError
from hillstack.logs import configure_bounded_logging

SETTINGS_VARIABLE = "HILLSTACK_CONFIG"
EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Run a node until it is stopped."""
    path = Path(sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = load_fleet_settings(path)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from None
    run_node(settings, path)


def run_node(settings: FleetSettings, path: Path) -> None:
    """Run a node with settings that were read from a file."""
    configure_bounded_logging(settings.log.level, settings.node.id, settings.log.lines_per_second)

    async def run() -> None:
        await FleetNode(settings, path).run()

    asyncio.run(run())


if __name__ == "__main__":
    main()
