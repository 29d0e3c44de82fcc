"""Starts the successors of crashed runners in virtual time, and removes the crashed ones."""

from __future__ import annotations

from tests.fleet.fatal_world import World

# From a crash until the successor starts, and until the directory lacks the crashed runner.
RESTART_SECONDS = 3.0
DIRECTORY_SECONDS = 3.6


class RunnerRestarts:
    """Restarts the runners of a world.

    Args:
        world: The world.
        restart_seconds: Time from a crash until the successor starts.
    """

    def __init__(self, world: World, restart_seconds: float = RESTART_SECONDS) -> None:
        self._world = world
        self._restart_seconds = restart_seconds
        self._restarts: list[tuple[float, str]] = []
        self._removals: list[tuple[float, str]] = []
        self._ended: set[str] = set()
        self._started = 0

    def step(self, now: float) -> None:
        """Do what is due."""
        for runner in self._world.runners.ended():
            if runner.runner_id not in self._ended:
                self._ended.add(runner.runner_id)
                self._restarts.append((now + self._restart_seconds, runner.runner_id))
                self._removals.append((now + DIRECTORY_SECONDS, runner.runner_id))
        for due in [due for due in self._restarts if now >= due[0]]:
            self._restarts.remove(due)
            self._started += 1
            self._world.start_runner(f"j-{self._started}")
        for due in [due for due in self._removals if now >= due[0]]:
            self._removals.remove(due)
            self._world.unlist_runner(due[1])
