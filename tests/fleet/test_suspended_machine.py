"""A machine that is suspended: its monotonic clock does not count the time.

Seen: a node whose machine had slept for 14 s without the store served requests with keys for
another 3.9 s, 17.9 s after it had last heard of revocations; a node that was only stopped refuses
at once.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from tests.fleet.deployment import Deployment, deployment, until

SLEEPING_MAIN = "tests.fleet.suspended_main"
# The node distrusts keys for less than that without the store.
REVOKE_MS = 3_000
SLEEP_SECONDS = 4.0


async def _suspend(running: Deployment, seconds: float) -> None:
    for node in running.nodes:
        node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for node in running.nodes:
        node.process.send_signal(signal.SIGCONT)


def test_a_node_that_slept_without_the_store_serves_no_keys_when_it_wakes(tmp_path: Path) -> None:
    async def check() -> None:
        async with deployment(tmp_path) as running:
            runner = await running.add_runner("i-1")
            node = await running.add_node("node-1", main=SLEEPING_MAIN, revoke_ms=REVOKE_MS)
            await running.call_until(node, "/safe/x", 200)
            running.store.down = True
            ran = len(runner.ran)
            await _suspend(running, SLEEP_SECONDS)
            assert (await running.call(node, "/safe/x", request_id="r-2")).status == 503
            assert len(runner.ran) == ran
            await until(lambda: "machine was suspended" in node.messages(), "the sleep is logged")
            running.store.down = False
            await running.call_until(node, "/safe/x", 200)

    asyncio.run(check())
