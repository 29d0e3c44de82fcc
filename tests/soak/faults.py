"""Single faults that a soak injects from outside the processes, drawn from a seed.

Several faults may run at a time, also on the same node. ``fault_series`` has the faults that
inject several events in quick succession.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import Any

from hillstack.emulator.fleet_runner import RunnerFaults
from tests.processes.fault_proxy import Mode
from tests.soak.observations import STORE
from tests.soak.system import SystemUnderTest, send

Fault = Callable[[SystemUnderTest, Random], Coroutine[Any, Any, None]]


async def kill_node(system: SystemUnderTest, rng: Random) -> None:
    """Kill a node and restart it."""
    name = system.pick_node(rng)
    with system.suppress_restart(name), system.disturbance(name):
        await system.end_node(name, signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.0, 1.0))


async def kill_all_nodes(system: SystemUnderTest, rng: Random) -> None:
    """Kill all nodes at once and restart them."""
    pause = rng.uniform(0.0, 1.0)

    async def kill(name: str) -> None:
        with system.suppress_restart(name), system.disturbance(name):
            await system.end_node(name, signal.SIGKILL)
            await asyncio.sleep(pause)

    await asyncio.gather(*(kill(name) for name in system.node_names()))


async def stop_node(system: SystemUnderTest, rng: Random) -> None:
    """Stop a node gracefully and restart it."""
    name = system.pick_node(rng)
    with system.suppress_restart(name), system.disturbance(name, planned=True):
        await system.end_node(name, signal.SIGTERM)


async def pause_node(system: SystemUnderTest, rng: Random) -> None:
    """Freeze a node, sometimes for longer than its leases last."""
    name = system.pick_node(rng)
    process = system.process_of(name)
    with system.disturbance(name):
        send(process, signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        send(process, signal.SIGCONT)


async def cut_store(system: SystemUnderTest, rng: Random) -> None:
    """Disturb the connections of one node, or of all, to the store."""
    all_of_them = rng.random() < 0.4
    names = system.node_names() if all_of_them else [system.pick_node(rng)]
    mode = rng.choice((Mode.SILENT, Mode.REFUSE, Mode.DELAY, Mode.RESET_ANSWERS))
    delay = rng.uniform(0.1, 0.8)
    with system.disturbance(STORE):
        for name in names:
            system.proxy.set(f"store of {name}", mode, delay=delay)
        await asyncio.sleep(rng.uniform(0.5, 6.0))
        for name in names:
            system.proxy.set(f"store of {name}", Mode.PASS)


async def break_store(system: SystemUnderTest, rng: Random) -> None:
    """Let the store refuse requests, lose answers or lose its history."""
    store = system.deployment.store
    fault = rng.choice(("down", "lose_answers", "forget"))
    with system.disturbance(STORE):
        if fault == "forget":
            store.clear_history()
            return
        setattr(store, fault, True)
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        setattr(store, fault, False)


async def cut_runner(system: SystemUnderTest, rng: Random) -> None:
    """Disturb the connections of all nodes to one runner."""
    runner_id = system.pick_runner(rng)
    mode = rng.choice((Mode.SILENT, Mode.REFUSE, Mode.DELAY, Mode.RESET_ANSWERS))
    after = rng.randrange(0, 600)
    with system.disturbance(runner_id):
        system.proxy.set(runner_id, mode, reset_after_bytes=after, delay=rng.uniform(0.05, 0.5))
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        system.proxy.set(runner_id, Mode.PASS)


async def spoil_runner(system: SystemUnderTest, rng: Random) -> None:
    """Let a runner fail, refuse requests, hang or abort its streams."""
    runner_id = system.pick_runner(rng)
    runner = system.deployment.runners[runner_id]
    with system.disturbance(f"work of {runner_id}"):
        fault = rng.choice(
            (
                RunnerFaults(status=500),
                RunnerFaults(refuse_requests=True),
                RunnerFaults(hang=True),
                RunnerFaults(break_after=rng.randrange(1, 5)),
            )
        )
        software = runner.faults.software
        runner.faults = replace(fault, software=software)
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        runner.faults = RunnerFaults(software=software)


async def replace_runner(system: SystemUnderTest, rng: Random) -> None:
    """Remove a runner, announced or not, and add another one."""
    runner_id = system.pick_runner(rng)
    runner = system.deployment.runners[runner_id]
    with system.disturbance(runner_id):
        if rng.random() < 0.5:
            system.announce_leaving(runner_id)
            await asyncio.sleep(rng.uniform(0.5, 2.0))
        if runner_id in system.live_runners():
            system.remove_runner(runner_id)
            await system.add_runner(runner.service, runner.software)


async def change_keys(system: SystemUnderTest, rng: Random) -> None:
    """Revoke an API key and add another one."""
    system.rotate_key(rng)


async def name_weights(system: SystemUnderTest, rng: Random) -> None:
    """Announce a new version of the weights, sometimes twice in a row."""
    system.next_weights()
    if rng.random() < 0.4:
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        system.next_weights()


SINGLE_FAULTS: tuple[Fault, ...] = (
    kill_node,
    kill_all_nodes,
    stop_node,
    pause_node,
    cut_store,
    break_store,
    cut_runner,
    spoil_runner,
    replace_runner,
    change_keys,
    name_weights,
)
