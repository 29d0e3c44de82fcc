"""Faults of answers: bytes that belong to no request, and answers without a length."""

from __future__ import annotations

import asyncio
import time
from random import Random

from tests.fleet.builders import ENGINES
from tests.processes.stray_answers import ALL_KINDS, StrayAnswers, StrayKind
from tests.soak.faults import Fault
from tests.soak.system import ObservedRunner, SystemUnderTest

STRAY_SHARE = 0.3
# How long a runner is given to have an open stream before it is killed.
MAX_STREAM_WAIT_SECONDS = 3.0
POLL_SECONDS = 0.005


async def send_stray_answers(system: SystemUnderTest, rng: Random) -> None:
    """Let some runners send stray answers before the answers of requests and calls."""
    await _send_stray_answers(system, rng, STRAY_SHARE, ALL_KINDS)


async def repeat_refusals(system: SystemUnderTest, rng: Random) -> None:
    """Let some runners repeat each refusal before the next answer on its connection."""
    await _send_stray_answers(system, rng, 1.0, (StrayKind.REPEAT,))


async def _send_stray_answers(
    system: SystemUnderTest, rng: Random, share: float, kinds: tuple[StrayKind, ...]
) -> None:
    chosen = _choose_runners(system, rng)
    for runner_id in chosen:
        stray = StrayAnswers(Random(rng.random()), share, kinds)
        system.proxy.states[runner_id].stray_answers = stray
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for runner_id in chosen:
        system.proxy.states[runner_id].stray_answers = None


async def end_answers_by_close(system: SystemUnderTest, rng: Random) -> None:
    """Let some runners end answers with their connections, and kill one while streams are open."""
    chosen = _choose_runners(system, rng)
    for runner_id in chosen:
        system.proxy.states[runner_id].ends_answers_by_close = True
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    engines = [each.runner_id for each in system.runners_of(ENGINES) if each.runner_id in chosen]
    if engines:
        await _kill_while_streams_are_open(system, rng.choice(engines))
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    for runner_id in chosen:
        system.proxy.states[runner_id].ends_answers_by_close = False


async def _kill_while_streams_are_open(system: SystemUnderTest, runner_id: str) -> None:
    runner = system.deployment.runners[runner_id]
    assert isinstance(runner, ObservedRunner)
    ends_at = time.monotonic() + MAX_STREAM_WAIT_SECONDS
    while not runner.streams and time.monotonic() < ends_at:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
    if runner_id not in system.live_runners():
        return
    with system.disturbance(runner_id):
        system.end_runner(runner_id)
        await system.add_runner(runner.service, runner.software)


def _choose_runners(system: SystemUnderTest, rng: Random) -> list[str]:
    live_runners = system.live_runners()
    return rng.sample(live_runners, min(len(live_runners), rng.randrange(1, 5)))


ANSWER_FAULTS: tuple[Fault, ...] = (send_stray_answers, repeat_refusals, end_answers_by_close)
