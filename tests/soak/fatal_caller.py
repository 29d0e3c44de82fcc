"""A caller that sends only the fatal request of a soak, when a test tells it to."""

from __future__ import annotations

from random import Random

from tests.soak.callers import Callers
from tests.soak.observations import CallerRequest
from tests.soak.system import SystemUnderTest


class FatalRequestCaller:
    """Calls single nodes.

    Args:
        system: The system, to whose fatal requests exactly one has been added.
    """

    def __init__(self, system: SystemUnderTest) -> None:
        self._system = system
        self._callers = Callers(
            system.observations, system.callable_nodes, system.keys, system.fatal, _ZeroRandom()
        )

    async def call(self, name: str) -> CallerRequest:
        """Send the fatal request to a node and wait for its answer."""
        return await self._callers.call_once(self._system.node(name), may_close_early=False)


class _ZeroRandom(Random):
    """A source of randomness with which callers always draw the fatal request."""

    def random(self) -> float:
        return 0.0
