"""Background tasks that end: they start again; while they keep failing, the node is not ready."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import pytest

from hillstack.daemon.background_tasks import (
    MAX_FAILURES,
    MAX_RESTART_SECONDS,
    SOUND_SECONDS,
    BackgroundTasks,
)
from hillstack.simulation.virtual_loop import Scheduler, VirtualLoop


@dataclass
class Bench:
    """Background tasks in virtual time."""

    scheduler: Scheduler = field(default_factory=Scheduler)
    starts: Counter[str] = field(default_factory=Counter)
    failed: list[str] = field(default_factory=list)
    fails: set[str] = field(default_factory=set)
    loop: VirtualLoop = field(init=False)
    tasks: BackgroundTasks = field(init=False)

    def __post_init__(self) -> None:
        self.loop = self.scheduler.new_loop()
        self.tasks = BackgroundTasks(self.scheduler.clock, self.failed.append)

    def start(self, name: str, run_seconds: float = 0.05, **options: Any) -> None:
        async def run() -> None:
            self.starts[name] += 1
            while True:
                await asyncio.sleep(run_seconds)
                if name in self.fails:
                    raise RecursionError("injected fault")

        async def begin() -> None:
            self.tasks.start(name, run, **options)

        self.scheduler.spawn(self.loop, begin())


@pytest.fixture
def bench() -> Iterator[Bench]:
    bench = Bench()
    yield bench
    bench.scheduler.close()


# Guards against a task whose end nobody notices: its duty stayed undone for good.
def test_a_task_that_fails_starts_again(bench: Bench) -> None:
    bench.fails.add("sync")
    bench.start("sync")
    bench.scheduler.run_until(0.06)
    assert bench.failed == ["sync"]
    bench.fails.clear()
    bench.scheduler.run_until(1.0)
    assert bench.starts["sync"] == 2
    assert bench.tasks.failing() == []


def test_a_task_that_returns_counts_as_failed(bench: Bench) -> None:
    async def run() -> None:
        bench.starts["short"] += 1

    async def begin() -> None:
        bench.tasks.start("short", run)

    bench.scheduler.spawn(bench.loop, begin())
    bench.scheduler.run_until(1.0)
    assert bench.starts["short"] >= MAX_FAILURES
    assert bench.tasks.failing() == ["short"]


# Guards against a task that ends unnoticed because a call that it waits for was cancelled: the
# error is no ``Exception``, and looked like the end of the node.
def test_a_task_that_ends_with_a_cancelled_call_starts_again(bench: Bench) -> None:
    async def run() -> None:
        bench.starts["sync"] += 1
        call = asyncio.create_task(asyncio.sleep(1.0))
        await asyncio.sleep(0.0)
        call.cancel()
        await call

    async def begin() -> None:
        bench.tasks.start("sync", run)

    bench.scheduler.spawn(bench.loop, begin())
    bench.scheduler.run_until(1.0)
    assert bench.starts["sync"] >= MAX_FAILURES
    assert bench.tasks.failing() == ["sync"]


def test_a_task_that_keeps_failing_is_reported_until_it_has_run_for_a_while(bench: Bench) -> None:
    bench.start("sound")
    bench.fails.add("sync")
    bench.start("sync")
    bench.scheduler.run_until(30.0)
    assert bench.tasks.failing() == ["sync"]
    bench.fails.clear()
    bench.scheduler.run_until(30.0 + MAX_RESTART_SECONDS)
    assert bench.tasks.failing() == ["sync"]
    bench.scheduler.run_until(30.0 + MAX_RESTART_SECONDS + SOUND_SECONDS)
    assert bench.tasks.failing() == []
    assert bench.starts["sound"] == 1


def test_starts_of_a_failing_task_are_spaced(bench: Bench) -> None:
    bench.fails.add("sync")
    bench.start("sync", 0.0)
    bench.scheduler.run_until(60.0)
    assert 60.0 / MAX_RESTART_SECONDS <= bench.starts["sync"] < 25


def test_a_task_that_is_not_required_is_not_reported(bench: Bench) -> None:
    bench.fails.add("metrics")
    bench.start("metrics", is_required=False)
    bench.scheduler.run_until(5.0)
    assert bench.failed.count("metrics") > MAX_FAILURES
    assert bench.tasks.failing() == []


def test_cancelled_tasks_do_not_start_again(bench: Bench) -> None:
    bench.start("sync")
    bench.scheduler.run_until(1.0)
    bench.scheduler.spawn(bench.loop, bench.tasks.cancel())
    bench.scheduler.run_until(20.0)
    assert bench.starts["sync"] == 1
    assert bench.failed == []


# Guards against a pause that overflows after a thousand failures, which ended the task for good.
def test_a_task_that_has_failed_for_hours_still_starts_again(bench: Bench) -> None:
    bench.fails.add("sync")
    bench.start("sync", 0.0)
    hours = 3 * 3_600.0
    bench.scheduler.run_until(hours)
    starts = bench.starts["sync"]
    assert starts > 1_024
    bench.scheduler.run_until(hours + 2 * MAX_RESTART_SECONDS)
    assert bench.starts["sync"] > starts
