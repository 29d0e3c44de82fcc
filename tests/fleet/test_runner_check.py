"""The check whether a runner still runs, after an answer has ended with its connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from hillstack.daemon.path_monitor import ProbeResult
from hillstack.daemon.relayed_link import RelayRoute
from hillstack.daemon.runner_check import CHECK_SECONDS, RunnerCheck
from hillstack.simulation.virtual_loop import Scheduler

ADDRESS = "10.0.0.1:8000"
ROUTE = RelayRoute("node-2", "10.0.0.2", "i-1", ADDRESS)
CALL_SECONDS = 0.01


class FakeProbe:
    """Answers each call with the next result, and all further calls with the last one."""

    def __init__(self, *results: ProbeResult) -> None:
        self._results = list(results)
        self.routes: list[RelayRoute | None] = []

    async def probe(self, target_id: str, address: str, route: RelayRoute | None) -> ProbeResult:
        self.routes.append(route)
        await asyncio.sleep(CALL_SECONDS)
        return self._results.pop(0) if len(self._results) > 1 else self._results[0]


class CountedCalls:
    def __init__(self) -> None:
        self.charged = 0

    async def room_for_call(self, runner_id: str, patience_seconds: float) -> bool:
        self.charged += 1
        return True


class FakeRoutes:
    """Peers that answer from a time on."""

    def __init__(self, clock: Callable[[], float], known_at: float) -> None:
        self._clock = clock
        self._known_at = known_at

    async def routes(self, address: str, max_age: float) -> list[RelayRoute]:
        return [ROUTE] if self._clock() >= self._known_at else []


def check(
    probe: FakeProbe, *, is_lost: bool = False, peers_known_at: float = 0.0
) -> tuple[bool, float]:
    """Check a runner; return whether it runs, and how long the check took."""
    scheduler = Scheduler()
    routes = FakeRoutes(scheduler.clock, peers_known_at)
    calls = CountedCalls()
    runner_check = RunnerCheck(probe, calls, routes, lambda _: is_lost)
    found: list[tuple[bool, float]] = []

    async def run() -> None:
        found.append((await runner_check.is_running("i-1", ADDRESS), scheduler.now))

    scheduler.spawn(scheduler.new_loop(), run())
    scheduler.run_until(10.0)
    # Each call counts against the limit that the runner announces.
    assert calls.charged >= len(probe.routes)
    return found[0]


# Guards against LOST: a whole answer without a length was cut, since its runner had reset two new
# connections in a row.
@pytest.mark.parametrize("silent_calls", [1, 2, 4])
def test_a_runner_that_resets_new_connections_for_a_while_is_found_running(
    silent_calls: int,
) -> None:
    results = [ProbeResult.SILENT] * silent_calls
    is_running, _ = check(FakeProbe(*results, ProbeResult.ANSWERED))
    assert is_running


# Guards against the same where the path to the runner is lost and peers answer late.
def test_a_runner_that_only_peers_reach_is_found_running_once_they_answer() -> None:
    probe = FakeProbe(ProbeResult.ANSWERED)
    is_running, _ = check(probe, is_lost=True, peers_known_at=0.3)
    assert is_running and probe.routes == [ROUTE]


@pytest.mark.parametrize("result", [ProbeResult.REFUSED, ProbeResult.OTHER_PROCESS])
def test_a_process_that_has_ended_is_found_at_once(result: ProbeResult) -> None:
    is_running, took = check(FakeProbe(result))
    assert not is_running and took < 0.1


def test_the_check_of_a_silent_runner_is_bounded() -> None:
    is_running, took = check(FakeProbe(ProbeResult.SILENT))
    assert not is_running and took <= CHECK_SECONDS
