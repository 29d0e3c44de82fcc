"""Runs a node in this process, after its libraries are loaded."""

from __future__ import annotations

import asyncio
from pathlib import Path

from hillstack.config.fleet_settings import load_fleet_settings
from hillstack.daemon.early_listeners import EarlyListeners
from hillstack.daemon.fleet_node import FleetNode
from hillstack.daemon.start_times import StartTimes
from hillstack.daemon.suspensions import SuspendAwareEventLoop
from hillstack.logs import configure_bounded_logging


def run_process(path: Path, listeners: EarlyListeners, times: StartTimes) -> None:
    """Run a node until it is stopped.

    Args:
        path: Settings file.
        listeners: Sockets that are already listening.
        times: When the startup phases so far ended.

    Raises:
        SettingsError: The settings are invalid.
    """
    settings = load_fleet_settings(path)
    configure_bounded_logging(settings.log.level, settings.node.id, settings.log.lines_per_second)

    async def run() -> None:
        await FleetNode(settings, listeners, times, path).run()

    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(run())
