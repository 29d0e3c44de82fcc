"""A fault that delays datagrams between regions while a rollout of weights makes no progress.

It is drawn only if it is chosen by name, so that older seeds give the same schedules as before.
"""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import AbstractContextManager
from dataclasses import replace
from random import Random

from tests.fleet.builders import ENGINES
from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest
from tests.soak.weights_promises import MAX_OLD_WEIGHTS_SECONDS

# Delay of each datagram in addition to the one-way latency between regions.
DATAGRAM_DELAY_SECONDS = (0.3, 0.6)
# Time past their bound for which engines still have the older weights.
EXTRA_SECONDS = 4.0


async def keep_older_weights(system: SystemUnderTest, rng: Random) -> None:
    """Announce weights that no engine loads until long after the older weights' bound."""
    engines = system.runners_of(ENGINES)
    delays: AbstractContextManager[None] = contextlib.nullcontext()
    if system.regions is not None:
        delays = system.regions.delayed_datagrams(rng, *DATAGRAM_DELAY_SECONDS)
    for engine in engines:
        engine.faults = replace(engine.faults, refuse_weights_orders=True)
    with delays:
        system.next_weights()
        await asyncio.sleep(MAX_OLD_WEIGHTS_SECONDS + EXTRA_SECONDS)
    for engine in engines:
        engine.faults = replace(engine.faults, refuse_weights_orders=False)


WEIGHTS_FAULTS: tuple[Fault, ...] = (keep_older_weights,)
