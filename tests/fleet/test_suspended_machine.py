"""Suspension of the machine, during which the monotonic clock stops.

Guards against accepting revoked keys after a suspension. Ages, bounds and timers of the event loop
were measured by the monotonic clock, so a node whose machine was suspended for 14 s without the
store served requests with keys for another 3.9 s, 17.9 s after its last update of revocations.
The first test simulates this with a monotonic clock that stops while the process is stopped. With a
clock that counts the suspended time, the node refuses such requests as soon as it is resumed.
"""

from __future__ import annotations

import asyncio
import re
import signal
from pathlib import Path

import pytest

from hillstack import clock
from hillstack.daemon.suspensions import SuspendAwareEventLoop, SuspensionWatch
from tests.fleet.deployment import Deployment, deployment, until

SOURCES = Path(__file__).parents[2] / "src" / "hillstack"
SUSPENDED_MAIN = "tests.fleet.suspended_main"
# Without the store, the node stops accepting keys before this time is over. The suspension is
# longer.
REVOKE_MS = 3_000
SUSPENSION_SECONDS = 4.0


async def _suspend(running: Deployment, seconds: float) -> None:
    for node in running.nodes:
        node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for node in running.nodes:
        node.process.send_signal(signal.SIGCONT)


def test_a_node_without_the_store_refuses_keys_after_a_suspension(tmp_path: Path) -> None:
    async def check() -> None:
        async with deployment(tmp_path) as running:
            runner = await running.add_runner("i-1")
            node = await running.add_node("node-1", main=SUSPENDED_MAIN, revoke_ms=REVOKE_MS)
            await running.call_until(node, "/safe/x", 200)
            running.store.down = True
            ran = len(runner.ran)
            await _suspend(running, SUSPENSION_SECONDS)
            assert (await running.call(node, "/safe/x", request_id="r-2")).status == 503
            assert len(runner.ran) == ran
            await until(lambda: "machine was suspended" in node.messages(), "the sleep is logged")
            running.store.down = False
            await running.call_until(node, "/safe/x", 200)

    asyncio.run(check())


def test_timers_that_expire_in_a_suspension_are_due_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    suspended_time = [0.0]
    real = clock.seconds
    monkeypatch.setattr(clock, "seconds", lambda: real() + suspended_time[0])

    async def check() -> None:
        loop = asyncio.get_running_loop()
        due = loop.create_future()
        loop.call_later(3_600.0, due.set_result, None)
        suspended_time[0] = 3_601.0
        await asyncio.wait({due}, timeout=0.0)
        await asyncio.sleep(0)
        assert due.done()

    with asyncio.Runner(loop_factory=SuspendAwareEventLoop) as runner:
        runner.run(check())


@pytest.mark.parametrize(("sleep", "told"), [(0.001, 0.0), (2.0, 2.0), (7 * 86_400.0, 604_800.0)])
def test_a_suspension_is_reported_once_with_its_length(
    monkeypatch: pytest.MonkeyPatch, sleep: float, told: float
) -> None:
    suspended = [5.0]
    monkeypatch.setattr(clock, "suspended_seconds", lambda: suspended[0])
    watch = SuspensionWatch()
    suspended[0] += sleep
    assert watch.check() == pytest.approx(told)
    assert watch.check() == 0.0


def test_without_a_boot_time_clock_the_monotonic_clock_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clock, "BOOT_CLOCK", None)
    monkeypatch.setattr("time.monotonic", lambda: 12.5)
    assert clock.seconds() == 12.5
    assert clock.suspended_seconds() == 0.0


def test_only_the_clock_module_reads_the_monotonic_clock() -> None:
    readers = {
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob("*.py")
        if re.search(r"\bmonotonic\b\(|time\.monotonic|import monotonic", path.read_text())
    }
    stand_ins = {name for name in readers if name.startswith("emulator/")}
    assert readers - stand_ins == {"clock.py"}
