"""Rollouts of weights that do not get on, beside words between nodes that are late.

They are drawn only where they are asked for by name: what older seeds play stays as it was.
"""

from __future__ import annotations

import asyncio
import contextlib
from contextlib import AbstractContextManager
from dataclasses import replace
from random import Random

from tests.fleet.builders import ENGINES
from tests.soak.faults import Fault
from tests.soak.system import SoakedSystem
from tests.soak.weights_promises import VERSION_SECONDS

# How much longer than one way between regions a word takes.
LATE_SECONDS = (0.3, 0.6)
# So long after their bound older weights are still there to be used.
BEYOND_SECONDS = 4.0


async def keep_older_weights(system: SoakedSystem, rng: Random) -> None:
    """Name weights that no engine loads until long after older ones must not be used any more."""
    engines = system.runners_of(ENGINES)
    words: AbstractContextManager[None] = contextlib.nullcontext()
    if system.regions is not None:
        words = system.regions.late_words(rng, *LATE_SECONDS)
    for engine in engines:
        engine.faults = replace(engine.faults, keep_weights=True)
    with words:
        system.next_weights()
        await asyncio.sleep(VERSION_SECONDS + BEYOND_SECONDS)
    for engine in engines:
        engine.faults = replace(engine.faults, keep_weights=False)


WEIGHTS_FAULTS: tuple[Fault, ...] = (keep_older_weights,)
