"""Another writer puts entries among those of the runners that no runner has written.

The fault is drawn only if it is chosen by name, so that older seeds give the same schedules.
"""

from __future__ import annotations

import asyncio
import itertools
from random import Random

from hillstack.platform import names
from tests.fleet.odd_entries import odd_values
from tests.soak.faults import Fault
from tests.soak.system import SystemUnderTest

ENTRIES_AT_A_TIME = (1, 4)
SERIES = (2, 5)
_numbers = itertools.count(1)


async def write_odd_entries(system: SystemUnderTest, rng: Random) -> None:
    """Write some odd entries at a time, change a key while they are there, then remove them.

    Nothing changes for callers, and each node applies the changes.
    """
    written: list[str] = []
    try:
        for _ in range(rng.randint(*SERIES)):
            written += _write(system, rng)
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            system.rotate_key(rng)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
    finally:
        for key in written:
            system.deployment.store.remove(key)


def _write(system: SystemUnderTest, rng: Random) -> list[str]:
    """Write some odd entries; return their keys."""
    chosen = rng.sample(list(odd_values()), rng.randint(*ENTRIES_AT_A_TIME))
    keys = [f"{names.RUNNERS_PREFIX}odd-{next(_numbers)}-{name}" for name, _ in chosen]
    for key, (_, value) in zip(keys, chosen, strict=True):
        system.deployment.store.put(key, value)
    return keys


ODD_ENTRY_FAULTS: tuple[Fault, ...] = (write_odd_entries,)
