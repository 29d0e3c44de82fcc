"""Real nodes that know of one crash, whose store answers slowly and whose notices come late.

Guards against callers whose streams break because one request crashed four runners and more: each
node waited for its permit in vain, sent the request without one, and had not heard of the others.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from hillstack.core.crash_ledger import MAX_CRASHES
from tests.fleet.builders import ENGINES
from tests.fleet.deployment import until
from tests.processes.fault_proxy import Mode
from tests.processes.own_hosts import own_host
from tests.soak.fatal_caller import FatalRequestCaller
from tests.soak.regions import REGION_OF_ZONE, Regions
from tests.soak.system import SystemUnderTest

NODES = 4
MORE_ENGINES = 6
# Delay of each call to the store and, again, of its answer.
STORE_DELAY_SECONDS = 0.25
# Delay of the notices after those of the first crash. A node that has received nothing from the
# other region for 3 s would count as isolated.
MIN_NOTICE_SECONDS, MAX_NOTICE_SECONDS = 1.5, 2.0
TRIES = 2


class SlowPeers(Regions):
    """Regions with slow links between all nodes, also of one region."""

    def _publish_front(self, zone: str, address: str, front: str) -> None:
        for other in REGION_OF_ZONE:
            self._fronts[other][address] = front


def all_know_a_crash(system: SystemUnderTest) -> bool:
    """Return whether each node has seen a crash or read of one in a notice."""
    logs = (node.log_path.read_text() for node in system.deployment.nodes)
    return all("runner ended" in log or "runner end reported" in log for log in logs)


def test_a_request_crashes_at_most_three_runners_while_store_and_notices_are_slow(
    tmp_path: Path,
) -> None:
    async def crashes() -> int:
        system = SystemUnderTest(tmp_path, NODES, has_regions=True)
        system.regions = regions = SlowPeers(system.proxy, own_host())
        try:
            await system.start()
            for _ in range(MORE_ENGINES):
                await system.add_runner(ENGINES)
            system.fatal.add("stream")
            caller = FatalRequestCaller(system)
            for name in system.node_names():
                system.proxy.set(f"store of {name}", Mode.DELAY, delay=STORE_DELAY_SECONDS)
            first = asyncio.create_task(caller.call("node-1"))
            await until(lambda: bool(system.observations.runner_ends), "the first crash")
            await until(lambda: all_know_a_crash(system), "the notices of the first crash")
            with regions.delayed_datagrams(Random(1), MIN_NOTICE_SECONDS, MAX_NOTICE_SECONDS):
                for _ in range(TRIES):
                    await asyncio.gather(*(caller.call(name) for name in system.node_names()))
            await first
            return len(system.observations.runner_ends)
        finally:
            await system.close()

    assert 1 <= asyncio.run(crashes()) <= MAX_CRASHES
