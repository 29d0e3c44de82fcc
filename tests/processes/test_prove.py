"""Long tests of real processes under load and faults; ``make prove`` runs them."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Iterator

import pytest
from local_fleet import LocalFleet, RouterHandle, get_json, post_json

from hillstack.simulation.history import Accept, Execute, Return
from tests.processes.driver import Driver, Faults
from tests.processes.fault_proxy import FaultProxy, Mode

pytestmark = pytest.mark.prove

SECONDS = 8.0
KEY_SETTLE_SECONDS = 2.5


@pytest.fixture
def proxy() -> Iterator[FaultProxy]:
    running = FaultProxy()
    yield running
    running.close()


@pytest.fixture
def fleet(proxy: FaultProxy) -> Iterator[LocalFleet]:
    # A short silence timeout, so that silent engines are detected within the test.
    overrides = {"backends.silence_timeout_seconds": "2"}
    with LocalFleet(
        "tampere", engines=3, proxy_address=proxy.front, overrides=overrides
    ) as running:
        yield running


def prove(fleet: LocalFleet, driver: Driver, faults: Faults) -> None:
    violations = driver.run(SECONDS, faults)
    assert not violations, violations[:5]
    assert driver.counts.get("200 ran", 0) > 20, driver.counts
    print(f"\n  returns: {driver.counts}, executions: {len(driver.history.of(Execute))}")


async def settle() -> None:
    await asyncio.sleep(KEY_SETTLE_SECONDS)


def restart(router: RouterHandle) -> None:
    router.process.kill()
    router.process.start()


def test_killed_router(fleet: LocalFleet) -> None:
    async def faults() -> None:
        for router in (*fleet.routers, fleet.routers[0]):
            await asyncio.sleep(1.5)
            router.process.kill()
            await asyncio.sleep(0.5)
            router.process.start()

    prove(fleet, Driver(fleet), faults)


def test_frozen_router(fleet: LocalFleet) -> None:
    async def faults() -> None:
        await settle()
        fleet.routers[1].process.signal(signal.SIGSTOP)
        await asyncio.sleep(4.0)
        fleet.routers[1].process.signal(signal.SIGCONT)

    prove(fleet, Driver(fleet), faults)


def test_killed_engine(fleet: LocalFleet) -> None:
    async def faults() -> None:
        await settle()
        fleet.processes["engine-0"].kill()
        await asyncio.sleep(2.0)
        fleet.processes["engine-0"].start()
        await asyncio.sleep(1.0)
        fleet.processes["engine-1"].kill()

    prove(fleet, Driver(fleet), faults)


def test_herd_restart_while_the_platform_is_down(fleet: LocalFleet) -> None:
    async def faults() -> None:
        await settle()
        post_json(fleet.platform, "/emulator/faults", {"outage": True})
        for router in fleet.routers[1:]:
            restart(router)
        await asyncio.sleep(3.0)
        restart(fleet.routers[0])
        await asyncio.sleep(1.0)
        post_json(fleet.platform, "/emulator/faults", {})

    prove(fleet, Driver(fleet), faults)


@pytest.mark.parametrize(
    "mode",
    [Mode.SILENT, Mode.REFUSE, Mode.RESET_ANSWERS, Mode.DELAY],
    ids=lambda mode: mode.value,
)
def test_faulty_links_to_back_ends(fleet: LocalFleet, proxy: FaultProxy, mode: Mode) -> None:
    async def faults() -> None:
        await settle()
        for name in ("engine-0", "application-0", "application-1"):
            proxy.set(name, mode, reset_after_bytes=700, delay=0.3)
        await asyncio.sleep(3.0)
        for name in proxy.states:
            proxy.set(name, Mode.PASS)

    prove(fleet, Driver(fleet), faults)


def test_crossed_and_lost_answers(fleet: LocalFleet) -> None:
    async def faults() -> None:
        await settle()
        engine, first, second = (
            fleet.addresses[name] for name in ("engine-0", "application-0", "application-1")
        )
        post_json(engine, "/emulator/faults", {"cross_answers": True})
        post_json(first, "/emulator/faults", {"cross_answers": True})
        post_json(second, "/emulator/faults", {"lose_answers": True})
        await asyncio.sleep(3.0)
        for address in (engine, first, second):
            post_json(address, "/emulator/faults", {})

    prove(fleet, Driver(fleet), faults)


def test_planned_stop_cuts_no_request(fleet: LocalFleet) -> None:
    driver = Driver(fleet)

    async def faults() -> None:
        await settle()
        stopping = fleet.routers.pop(0)  # the load balancer takes the router out of rotation
        await asyncio.sleep(0.05)
        code = await asyncio.to_thread(stopping.process.stop)
        assert code == 0

    prove(fleet, driver, faults)
    broken = [event for event in driver.history.of(Return) if event.status == 0]
    assert not broken, broken[:3]
    assert all(event.done for event in driver.history.of(Return) if event.expected)


def test_racing_operators_and_lost_answers(fleet: LocalFleet) -> None:
    driver = Driver(fleet)

    async def roll_out(name: str, ratio: float) -> None:
        for round_number in range(3):
            await asyncio.to_thread(roll_out_once, name, ratio + round_number / 100)

    def roll_out_once(name: str, ratio: float) -> None:
        source, target = (fleet.folder / f"{name}-{kind}.json" for kind in ("old", "new"))
        target.with_suffix(".signed.json").unlink(missing_ok=True)
        fleet.cli("bundle", "fetch", str(source), "--platform", fleet.platform)
        fleet.cli("bundle", "next", str(source), str(target))
        content = json.loads(target.read_text())
        content["retries"]["ratio"] = ratio
        target.write_text(json.dumps(content))
        done = fleet.rollout(target, wait=False)
        assert done.returncode in (0, 4), (done.returncode, done.stderr)
        if done.returncode == 0:
            result = json.loads(done.stdout)
            driver.history.add(Accept(0.0, name, result["version"], result["digest"]))

    async def faults() -> None:
        post_json(fleet.platform, "/emulator/faults", {"lose_answers": 2})
        async with asyncio.TaskGroup() as group:
            group.create_task(roll_out("left", 0.3))
            group.create_task(roll_out("right", 0.5))

    prove(fleet, driver, faults)
    assert len(driver.history.of(Accept)) >= 3
    highest = max(event.version for event in driver.history.of(Accept))
    versions = {get_json(r.callers, "/status")["bundle"]["version"] for r in fleet.routers}
    assert versions == {highest}
