"""Runs a simulated deployment under randomly drawn faults, which may overlap.

All draws come from a seed, so that a failing run can be repeated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from hillstack.simulation.checker import Violation, check
from hillstack.simulation.clients import Callers, Operator
from hillstack.simulation.cluster import PLATFORM_ZONE, ZONES, ClusterSize, SimCluster
from hillstack.simulation.history import Fault, Final, History, Leave
from hillstack.simulation.services import ApplicationFaults, EngineFaults

WARM_UP_SECONDS = 6.0
FAULTS_END_SECONDS = 30.0
CALLERS_END_SECONDS = 36.0
RUN_SECONDS = 55.0
REQUEST_PAUSE_SECONDS = 0.12
ROLLOUT_PAUSE_SECONDS = 3.0
FAULTS_PER_RUN = (2, 6)
MACHINE_LIST_LAG_SECONDS = 1.0
DRAINING_STATUS_LAG_SECONDS = 2.0

Action = Callable[[], None]


@dataclass(frozen=True, slots=True)
class RunResult:
    """History, rule violations and injected faults of one run."""

    seed: int
    history: History
    violations: tuple[Violation, ...]
    faults: tuple[str, ...]


def run_seed(seed: int, routers_per_zone: int = 1) -> RunResult:
    """Run one seed; the same seed always gives the same history and violations."""
    cluster = SimCluster(seed, ClusterSize(routers_per_zone=routers_per_zone))
    chaos = Chaos(cluster, Random(f"chaos:{seed}"))
    cluster.run_until(WARM_UP_SECONDS)
    chaos.schedule()
    clients = _start_clients(cluster, seed)
    cluster.run_until(RUN_SECONDS)
    for client in clients:
        # Raises the exception of a failed client: its history would be incomplete, and the rules
        # would pass over it. A client that is not done may still be retrying.
        if client.done():
            client.result()
    for name, router in cluster.routers.items():
        version = router.node.adopter.version
        cluster.history.add(Final(cluster.scheduler.now, name, version))
    faults = tuple(event.text for event in cluster.history.of(Fault))
    events = History(list(cluster.history.events))
    cluster.scheduler.close()
    return RunResult(seed, events, tuple(check(events)), faults)


def _start_clients(cluster: SimCluster, seed: int) -> list[asyncio.Task[None]]:
    callers = Callers(cluster, Random(f"callers:{seed}"))
    loop = cluster.clients.loop
    coroutines = [callers.run(CALLERS_END_SECONDS, REQUEST_PAUSE_SECONDS)]
    for name in ("operator-a", "operator-b"):
        operator = Operator(cluster, name, cluster.clients, Random(f"{name}:{seed}"))
        coroutines.append(operator.run(CALLERS_END_SECONDS, ROLLOUT_PAUSE_SECONDS))
    return [cluster.scheduler.spawn(loop, coroutine) for coroutine in coroutines]


class Chaos:
    """Draws faults at random and injects them into a cluster."""

    def __init__(self, cluster: SimCluster, rng: Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self._fault_kinds: list[Callable[[float, float], None]] = [
            self._kill_router,
            self._kill_router,
            self._restart_most_routers,
            self._freeze_router,
            self._cut_zone,
            self._cut_from_platform,
            self._degrade_network,
            self._platform_outage,
            self._platform_slow,
            self._platform_loses_answers,
            self._crash_engine,
            self._corrupt_streams,
            self._degrade_applications,
            self._drain_application,
        ]

    def schedule(self) -> None:
        """Draw the faults of this run and schedule them.

        All faults end by ``FAULTS_END_SECONDS``, so that the cluster can recover before the end of
        the run.
        """
        for _ in range(self._rng.randint(*FAULTS_PER_RUN)):
            start = self._rng.uniform(WARM_UP_SECONDS, FAULTS_END_SECONDS - 4.0)
            end = self._rng.uniform(start + 0.5, FAULTS_END_SECONDS)
            self._rng.choice(self._fault_kinds)(start, end)

    def _at(self, when: float, node: str, text: str, action: Action) -> None:
        def apply() -> None:
            self._cluster.history.add(Fault(when, node, text))
            action()

        self._cluster.scheduler.at(when, apply)

    def _kill_router(self, start: float, end: float) -> None:
        name = self._rng.choice(self._cluster.router_names())
        self._kill_and_restart(name, start, end)

    def _restart_most_routers(self, start: float, end: float) -> None:
        names = self._cluster.router_names()
        survivors = self._rng.choice((0, 1))
        end = min(end, start + 3.0)
        for name in self._rng.sample(names, len(names) - survivors):
            self._kill_and_restart(name, start, end)

    def _kill_and_restart(self, name: str, start: float, end: float) -> None:
        cluster = self._cluster

        def restart() -> None:
            cluster.kill_router(name)
            cluster.start_router(name)

        self._at(start, name, "kill", lambda: cluster.kill_router(name))
        self._at(end, name, "restart", restart)

    def _freeze_router(self, start: float, end: float) -> None:
        cluster = self._cluster
        name = self._rng.choice(cluster.router_names())

        def thaw() -> None:
            cluster.routers[name].peers.loop.frozen = False

        def freeze() -> None:
            cluster.routers[name].peers.loop.frozen = True

        self._at(start, name, "freeze", freeze)
        self._at(end, name, "thaw", thaw)

    def _cut_zone(self, start: float, end: float) -> None:
        zone = self._rng.choice(ZONES)
        others = [other for other in ZONES if other != zone]
        if self._rng.random() < 0.5:
            others = [self._rng.choice(others)]
        self._cut([(zone, other) for other in others], zone, start, end)

    def _cut_from_platform(self, start: float, end: float) -> None:
        zone = self._rng.choice(ZONES)
        self._cut([(zone, PLATFORM_ZONE)], zone, start, end)

    def _cut(self, pairs: list[tuple[str, str]], zone: str, start: float, end: float) -> None:
        cuts = self._cluster.network.conditions.cuts
        blocked = set(pairs) | {(second, first) for first, second in pairs}
        if len(pairs) > 1 and self._rng.random() < 0.3:
            blocked = set(pairs)  # one direction only
        self._at(start, zone, f"cut {sorted(blocked)}", lambda: cuts.update(blocked))
        self._at(end, zone, "heal", lambda: cuts.difference_update(blocked))

    def _degrade_network(self, start: float, end: float) -> None:
        network = self._cluster.network
        loss, duplication = self._rng.uniform(0, 0.4), self._rng.uniform(0, 0.3)
        extra = self._rng.uniform(0, 0.2)

        def begin() -> None:
            network.conditions = replace(
                network.conditions, loss=loss, duplication=duplication, extra_delay=extra
            )

        def finish() -> None:
            network.conditions = replace(
                network.conditions, loss=0.0, duplication=0.0, extra_delay=0.0
            )

        self._at(start, "network", f"loss {loss:.2f} delay {extra:.2f}", begin)
        self._at(end, "network", "network well", finish)

    def _platform_outage(self, start: float, end: float) -> None:
        faults = self._cluster.services.platform.faults
        self._at(start, "platform", "outage", lambda: setattr(faults, "outage", True))
        self._at(end, "platform", "outage over", lambda: setattr(faults, "outage", False))

    def _platform_slow(self, start: float, end: float) -> None:
        faults = self._cluster.services.platform.faults
        delay = self._rng.uniform(0.5, 4.0)
        self._at(start, "platform", f"slow {delay:.1f}", lambda: setattr(faults, "delay", delay))
        self._at(end, "platform", "fast", lambda: setattr(faults, "delay", 0.0))

    def _platform_loses_answers(self, start: float, end: float) -> None:
        faults = self._cluster.services.platform.faults
        self._at(start, "platform", "loses answers", lambda: setattr(faults, "lose_answers", 0.6))
        self._at(end, "platform", "keeps answers", lambda: setattr(faults, "lose_answers", 0.0))

    def _crash_engine(self, start: float, end: float) -> None:
        cluster = self._cluster
        number = self._rng.randrange(cluster.size.engines)
        name = f"engine-{number}"

        def restart() -> None:
            cluster.crash_engine(number)
            cluster.start_engine(number)

        self._at(start, name, "crash", lambda: cluster.crash_engine(number))
        self._at(end, name, "restart", restart)

    def _corrupt_streams(self, start: float, end: float) -> None:
        faults = EngineFaults(
            break_streams=self._rng.choice((0.0, 0.1)),
            cross_streams=self._rng.choice((0.0, 0.3)),
            end_silently=self._rng.choice((0.0, 0.1)),
            ignore_resume=self._rng.choice((False, True)),
        )
        engines = sorted(self._cluster.services.engines)
        for name in self._rng.choice((engines, [self._rng.choice(engines)])):
            engine = self._cluster.services.engines[name]
            self._at(start, name, f"{faults}", partial(setattr, engine, "faults", faults))
            finish = partial(setattr, engine, "faults", EngineFaults())
            self._at(end, name, "streams well", finish)

    def _degrade_applications(self, start: float, end: float) -> None:
        faults = ApplicationFaults(
            lose_answers=self._rng.choice((0.0, 0.3)),
            cross_answers=self._rng.choice((0.0, 0.3)),
            delay=self._rng.choice((0.02, 1.0)),
        )
        for name, application in self._cluster.services.applications.items():
            begin = partial(setattr, application, "faults", faults)
            finish = partial(setattr, application, "faults", ApplicationFaults())
            self._at(start, name, f"{faults}", begin)
            self._at(end, name, "application well", finish)

    def _drain_application(self, start: float, end: float) -> None:
        platform = self._cluster.services.platform
        name = self._rng.choice(sorted(self._cluster.services.applications))
        application = self._cluster.services.applications[name]

        def list_leaving() -> None:
            platform.machines[name] = replace(platform.machines[name], leaving=True)

        def report_draining() -> None:
            application.draining = True

        def begin() -> None:
            self._cluster.history.add(Leave(start, name))

        # The application's status page may report draining later than the machine list does, so
        # that the list is tested too. The status page always reports it in the end: nodes that are
        # cut off from the machine list and from their peers have no other source.
        draining_status_at = start + self._rng.choice((0.0, DRAINING_STATUS_LAG_SECONDS))
        self._at(start, name, "leaves", begin)
        self._at(start + MACHINE_LIST_LAG_SECONDS, name, "listed as leaving", list_leaving)
        self._at(draining_status_at, name, "says that it leaves", report_draining)
