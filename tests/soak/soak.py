"""A soak: callers send requests to real nodes while faults drawn from a seed are injected.

The promises are checked on what callers and runners observe, not on the nodes' own state.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec

from tests.soak.callers import Callers
from tests.soak.earlier_builds import unpack_build
from tests.soak.fault_series import FAULTS
from tests.soak.faults import Fault
from tests.soak.observations import CallerRequest, Observations
from tests.soak.promises import find_violations
from tests.soak.recovery import Recovery
from tests.soak.system import NODE_COUNT, SystemUnderTest

# File beside the nodes' logs to which the observations are written if a promise was broken.
OBSERVATIONS_FILE = "observations.json"
# Numbers of callers of each kind: with a new connection for each request, and with persistent
# connections. The emulated runners and store run in the soak's own process, which more callers
# per node would make late.
MIN_CALLERS = 4
CALLERS_PER_NODE = 0.15
FAULT_PAUSE_SECONDS = 1.2
MIN_FAULT_PAUSE_SECONDS = 0.4
CHECK_SECONDS = 0.05
LAG_CHECK_SECONDS = 0.02
# The time limits of the promises leave enough room for smaller lags.
MIN_RECORDED_LAG_SECONDS = 0.005
SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class SoakResult:
    """The result of a soak.

    Attributes:
        violations: Descriptions of broken promises; empty if all were kept.
        results: Number of requests by kind and status, and of some other outcomes.
        faults: The injected faults, each with its start time in seconds.
        recovery_seconds: Seconds until each condition of the recovery was met after the faults.
        worst_lag: Longest delay, in seconds, of the soak's own tasks.
    """

    seed: int
    violations: list[str] = field(default_factory=list)
    results: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    recovery_seconds: dict[str, float] = field(default_factory=dict)
    worst_lag: float = 0.0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The parameters of a soak.

    Attributes:
        seconds: Length of the period in which faults begin.
        node_count: Number of node processes under test.
        faults: Faults to draw from.
        earlier: Commits of earlier builds with which nodes start, in turn; empty for this build.
    """

    seconds: float
    node_count: int = NODE_COUNT
    faults: tuple[Fault, ...] = FAULTS
    earlier: tuple[str, ...] = ()

    @property
    def callers(self) -> int:
        """Return the number of callers of each kind."""
        return max(MIN_CALLERS, round(CALLERS_PER_NODE * self.node_count))

    @property
    def fault_pause(self) -> float:
        """Return the mean seconds between the starts of two faults; shorter with more nodes."""
        return max(MIN_FAULT_PAUSE_SECONDS, FAULT_PAUSE_SECONDS * NODE_COUNT / self.node_count)


async def soak(seed: int, plan: SoakPlan, folder: Path) -> SoakResult:
    """Run one soak."""
    rng = Random(seed)
    result = SoakResult(seed)
    earlier = [unpack_build(commit, folder) for commit in plan.earlier]
    system = SystemUnderTest(
        folder, plan.node_count, has_regions=has_regions(seed), earlier=earlier
    )
    await system.start()
    rng_of_callers = Random(seed + 1)
    callers = Callers(
        system.observations,
        system.callable_nodes,
        system.weighted_keys,
        system.fatal,
        rng_of_callers,
    )
    calling = [
        asyncio.create_task(work())
        for work in (callers.run, callers.run_on_persistent_connections)
        for _ in range(plan.callers)
    ]
    watching = [asyncio.create_task(work(system)) for work in (_supervise_nodes, _measure_lag)]
    try:
        await _inject(system, draw_schedule(rng, plan), result)
        recovery = Recovery(system, callers)
        await recovery.check()
        result.violations += recovery.violations
        result.recovery_seconds = recovery.times
    finally:
        for task in (*calling, *watching):
            task.cancel()
        await asyncio.gather(*calling, *watching, return_exceptions=True)
        await asyncio.sleep(SETTLE_SECONDS)
        result.violations += find_violations(system.observations)
        result.worst_lag = max((lag for _, lag in system.observations.lags), default=0.0)
        result.violations += system.unexpected_ends
        result.violations += system.log_problems()
        sent = system.observations.sent
        result.results = Counter(f"{s.kind} {_outcome(s)}" for s in sent)
        result.results |= _rollout_outcomes(system.observations)
        result.results |= _resumed_outcomes(system.observations)
        result.results["met a silence"] = len(system.silenced)
        result.results["over kept connections"] = sum(s.reused for s in sent)
        await system.close()
    if result.violations:
        (folder / OBSERVATIONS_FILE).write_bytes(msgspec.json.encode(system.observations))
    return result


def _rollout_outcomes(seen: Observations) -> Counter[str]:
    outcomes = Counter(
        f"{'bad' if each.is_bad else 'good'} version {each.states[-1] if each.states else 'untold'}"
        for each in seen.rollouts.values()
    )
    outcomes["runners ended by requests"] = len(seen.runner_ends)
    return outcomes


def _resumed_outcomes(seen: Observations) -> Counter[str]:
    tries = sum(stream.tries for stream in seen.resumed)
    continued = sum(stream.continued for stream in seen.resumed)
    return Counter({"tries to take a stream up": tries, "tries that went on": continued})


def _outcome(request: CallerRequest) -> str:
    if request.status is None and request.closed_at is not None:
        return "closed by its caller"
    return str(request.status or "broken off")


async def _supervise_nodes(system: SystemUnderTest) -> None:
    while True:
        await system.check_processes()
        await asyncio.sleep(CHECK_SECONDS)


async def _measure_lag(system: SystemUnderTest) -> None:
    """Record when the soak's own tasks run late: callers and runners then record times too late."""
    while True:
        due_at = time.monotonic() + LAG_CHECK_SECONDS
        await asyncio.sleep(LAG_CHECK_SECONDS)
        now = time.monotonic()
        if now - due_at > MIN_RECORDED_LAG_SECONDS:
            system.observations.lags.append((now, now - due_at))


async def _inject(
    system: SystemUnderTest, schedule: list[tuple[float, Fault, int]], result: SoakResult
) -> None:
    """Inject the scheduled faults, several at a time, and wait until all have ended."""
    began_at = time.monotonic()
    async with asyncio.TaskGroup() as running:
        for starts_at, fault, seed in schedule:
            await asyncio.sleep(began_at + starts_at - time.monotonic())
            result.faults.append(f"{starts_at:.1f} {fault.__name__}")
            running.create_task(fault(system, Random(seed)))


def has_regions(seed: int) -> bool:
    """Return whether a soak with this seed has two regions: those with odd seeds do."""
    return seed % 2 == 1


def draw_schedule(rng: Random, plan: SoakPlan) -> list[tuple[float, Fault, int]]:
    """Draw the start time, the fault and the seed of each injection.

    Each fault has its own seed, so that delays in a run don't change what is drawn.
    """
    schedule: list[tuple[float, Fault, int]] = []
    starts_at = 0.0
    while starts_at < plan.seconds:
        schedule.append((starts_at, rng.choice(plan.faults), rng.getrandbits(32)))
        starts_at += rng.expovariate(1 / plan.fault_pause)
    return schedule


def run(seed: int, plan: SoakPlan, folder: Path | None = None) -> SoakResult:
    """Run one soak; logs go to ``folder``, or to a temporary folder that is removed."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(soak(seed, plan, folder))
    with tempfile.TemporaryDirectory() as made:
        return asyncio.run(soak(seed, plan, Path(made)))
