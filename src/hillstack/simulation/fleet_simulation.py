"""A fleet of engines behind routers, in virtual time, for measuring routing.

Routers use the daemon's production request router, engines use the engine model. Routers receive
cache events late and with gaps and read load pages with a lag. Runs with the oracle, whose routers
read the true state of the engines, serve as a reference.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Collection
from functools import partial
from random import Random

from hillstack.config.bundle import Bundle, Routing
from hillstack.core.admission import Refusal
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Fleet, LoadReport
from hillstack.core.placement.base import Placement
from hillstack.core.prefix import FixedHashes, PrefixScope
from hillstack.core.request_router import MAX_NOTIFIED_PEERS, CompletionRequest, RequestRouter
from hillstack.messages.types import BackendKind, FillNotice, Machine
from hillstack.simulation.engine_model import (
    EngineModel,
    EngineProfile,
    EngineRequest,
    StepResult,
)
from hillstack.simulation.experiment_config import ExperimentConfig
from hillstack.simulation.fleet_entities import (
    AttemptInFlight,
    OracleRouter,
    RequestRecord,
    SimulatedEngine,
    SimulatedRouter,
)
from hillstack.simulation.workload import WORKLOADS, Arrival, WorkloadGenerator

MODEL = "model"
POOL = "engines"
REPLAY_SECONDS = 0.1
FLOOD_FACTOR = 10.0
LOCAL_DELAY_SECONDS = 0.0002
MAX_ATTEMPTS = 3
CRASH_DETECTION_SECONDS = 0.05
RESTART_SECONDS = 3.0


class FleetSimulation:
    """One run of an experiment, with one policy, rate and seed.

    Args:
        routing: Routing policy and the weights of its cost terms.
        oracle: Whether routers read the true state of the engines.
        rate: Requests offered per second.
    """

    def __init__(
        self, config: ExperimentConfig, routing: Routing, oracle: bool, rate: float, seed: int
    ) -> None:
        self.config = config
        self.now = 0.0
        self.records: list[RequestRecord] = []
        self.recomputed_blocks = 0
        self._seen_blocks: set[int] = set()
        self._rng = Random(f"fleet:{seed}")
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._action_numbers = itertools.count()
        self._rate = rate
        self._seed = seed
        self._in_flight: dict[str, AttemptInFlight] = {}
        self.bundle = _bundle(config, routing)
        self.engines = {
            f"engine-{number}": SimulatedEngine(
                f"engine-{number}", f"zone-{number % config.zones}", EngineModel(_profile(config))
            )
            for number in range(config.engines)
        }
        self._oracle = oracle
        self.routers = [self._make_router(number) for number in range(config.routers)]
        self._cut_zone: str | None = None
        self._event_loss = config.event_loss

    def run(self) -> None:
        """Run all arrivals, then continue for one deadline so that the last requests can finish."""
        workload = WORKLOADS[self.config.deployment]
        generator = WorkloadGenerator(workload, self._rate, self._seed)
        for arrival in self._with_flood(generator):
            self._schedule_at(arrival.at, partial(self._arrive, arrival))
        for number in range(self.config.routers):
            self._poll_loads(number)
        self._record_loads()
        self._schedule_failure()
        end = self.config.seconds + self.config.deadline_seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heapq.heappop(self._queue)
            action()

    def _with_flood(self, generator: WorkloadGenerator) -> list[Arrival]:
        arrivals = list(generator.arrivals(self.config.seconds))
        tenant = self.config.flood_tenant
        if not tenant:
            return arrivals
        workload = WORKLOADS[self.config.deployment]
        share = dict(workload.tenants)[tenant]
        extra = WorkloadGenerator(
            workload, self._rate * share * (FLOOD_FACTOR - 1), self._seed + 10_000
        )
        flood = [
            extra.as_tenant(arrival, tenant) for arrival in extra.arrivals(self.config.seconds)
        ]
        return sorted([*arrivals, *flood], key=lambda arrival: arrival.at)

    def _make_router(self, number: int) -> SimulatedRouter:
        fleet, index = Fleet(), CacheIndex()
        fleet.update_machines(
            Machine(engine.engine_id, BackendKind.ENGINE, POOL, engine.zone, "10.0.0.1:1")
            for engine in self.engines.values()
        )
        zone = f"zone-{number % self.config.zones}"
        rng = Random(f"router:{self._seed}:{number}")
        if self._oracle:
            request_router: RequestRouter = OracleRouter(self.bundle, fleet, index, zone, rng)
            assert isinstance(request_router, OracleRouter)
            request_router.engines = self.engines
        else:
            request_router = RequestRouter(self.bundle, fleet, index, zone, rng)
        for engine in self.engines.values():
            index.observe_incarnation(engine.engine_id, engine.incarnation_id())
            fleet.observe_status(engine.engine_id, engine.incarnation_id(), 1, False)
        return SimulatedRouter(zone, fleet, index, request_router)

    def _schedule_at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._action_numbers), action))

    def _schedule_after(self, delay: float, action: Callable[[], None]) -> None:
        self._schedule_at(self.now + delay, action)

    def _delay(self, first: str, second: str) -> float:
        return LOCAL_DELAY_SECONDS if first == second else self.config.zone_delay

    def _arrive(self, arrival: Arrival) -> None:
        scope = PrefixScope(arrival.tenant, MODEL, 1)
        record = RequestRecord(arrival, scope.cache_salt())
        self.records.append(record)
        router = self._rng.choice(self.routers)
        self._schedule_after(self.config.client_delay, lambda: self._admit(record, router))

    def _admit(self, record: RequestRecord, router: SimulatedRouter) -> None:
        arrival = record.arrival
        block_tokens = self.config.block_tokens
        record.prompt_tokens = arrival.prompt_tokens(block_tokens)
        request = CompletionRequest(
            tenant=arrival.tenant,
            model=self.bundle.models[0],
            hashes=FixedHashes(arrival.hashes(record.cache_salt)),
            prompt_tokens=record.prompt_tokens,
            output_tokens=arrival.output_tokens,
            deadline=self.now + self.config.deadline_seconds,
            urgent=arrival.request_class.urgent,
        )
        refusal = router.request_router.admit(request, self.now)
        if refusal is not None:
            self._refuse(record, router, refusal)
            return
        record.admitted_on_return = record.came_back
        self._dispatch(record, router, request, ())

    def _refuse(self, record: RequestRecord, router: SimulatedRouter, refusal: Refusal) -> None:
        """Record a refusal; with ``obey_retry_after``, the caller retries once after the wait."""
        if record.refused_at is None:
            record.refused_at = self.now
        record.retry_after = refusal.retry_after
        if self.config.obey_retry_after and not record.came_back:
            record.came_back = True
            self._schedule_after(refusal.retry_after, lambda: self._admit(record, router))

    def _dispatch(
        self,
        record: RequestRecord,
        router: SimulatedRouter,
        request: CompletionRequest,
        excluded: Collection[str],
    ) -> None:
        placement = router.request_router.place(request, self.now, excluded)
        if placement is None or record.attempts >= MAX_ATTEMPTS:
            record.refused_at = self.now
            return
        record.attempts += 1
        engine = self.engines[placement.engine_id]
        attempt_id = f"{id(record)}-{record.attempts}"
        router.request_router.started(request, placement, attempt_id, self.now)
        self._notify_peers(router, request, placement)
        attempt = AttemptInFlight(
            record, router, request, engine, attempt_id, placement, engine.incarnation
        )
        self._in_flight[attempt_id] = attempt
        engine.in_transit += 1
        self._schedule_after(self._delay(router.zone, engine.zone), lambda: self._submit(attempt))

    def _notify_peers(
        self, router: SimulatedRouter, request: CompletionRequest, placement: Placement
    ) -> None:
        notice = router.request_router.fill_of(request, placement)
        if notice is None:
            return
        others = [other for other in self.routers if other is not router]
        recipients = self._rng.sample(others, min(MAX_NOTIFIED_PEERS, len(others)))
        for other in recipients:
            if not self._is_cut(router.zone, other.zone):
                self._schedule_after(
                    self._delay(router.zone, other.zone), partial(self._receive_fill, other, notice)
                )

    def _receive_fill(self, router: SimulatedRouter, notice: FillNotice) -> None:
        router.request_router.observe_fill(notice, self.now)

    def _submit(self, attempt: AttemptInFlight) -> None:
        engine, record = attempt.engine, attempt.record
        engine.in_transit -= 1
        if not engine.alive or self._is_cut(attempt.router.zone, engine.zone):
            self._schedule_after(CRASH_DETECTION_SECONDS, lambda: self._retry(attempt))
            return
        attempt.incarnation = engine.incarnation
        engine.model.submit(
            EngineRequest(
                request_id=attempt.attempt_id,
                hashes=attempt.request.hashes.for_version(1),
                prompt_tokens=record.prompt_tokens,
                output_tokens=record.arrival.output_tokens,
                priority=record.arrival.request_class.level,
            )
        )
        self._step(engine)

    def _retry(self, attempt: AttemptInFlight) -> None:
        self._in_flight.pop(attempt.attempt_id, None)
        router = attempt.router
        engine_id = attempt.engine.engine_id
        router.fleet.observe_failure(engine_id, self.now)
        router.request_router.finished(attempt.request, attempt.placement, attempt.attempt_id)
        if attempt.record.first_token_at is not None:
            attempt.record.first_token_at = None
        self._dispatch(attempt.record, router, attempt.request, (engine_id,))

    def _step(self, engine: SimulatedEngine) -> None:
        if engine.stepping or engine.model.is_idle() or not engine.alive:
            return
        engine.stepping = True
        result = engine.model.step()
        started_incarnation = engine.incarnation
        self._schedule_after(
            result.seconds, lambda: self._step_done(engine, result, started_incarnation)
        )

    def _step_done(
        self, engine: SimulatedEngine, result: StepResult, started_incarnation: int
    ) -> None:
        if engine.incarnation != started_incarnation or not engine.alive:
            return
        engine.stepping = False
        self._count_blocks(result)
        self._publish(engine, result)
        for request in result.emitted:
            if request.emitted == 1:
                self._first_token(engine, request)
        for request in result.finished:
            self._finish(engine, request)
        self._step(engine)

    def _count_blocks(self, result: StepResult) -> None:
        for block in result.prefilled:
            if block in self._seen_blocks:
                self.recomputed_blocks += 1
            self._seen_blocks.add(block)

    def _first_token(self, engine: SimulatedEngine, request: EngineRequest) -> None:
        attempt = self._in_flight[request.request_id]
        delay = self._delay(attempt.router.zone, engine.zone)

        def arrive() -> None:
            attempt.router.request_router.first_token(engine.engine_id, attempt.attempt_id)
            attempt.record.first_token_at = self.now + self.config.client_delay

        self._schedule_after(delay, arrive)

    def _finish(self, engine: SimulatedEngine, request: EngineRequest) -> None:
        attempt = self._in_flight.pop(request.request_id)
        cached = request.cached_blocks * self.config.block_tokens

        def arrive() -> None:
            attempt.router.request_router.finished(
                attempt.request, attempt.placement, attempt.attempt_id, cached
            )
            attempt.record.cached_tokens = min(cached, attempt.record.prompt_tokens)
            attempt.record.finished_at = self.now + self.config.client_delay

        self._schedule_after(self._delay(attempt.router.zone, engine.zone), arrive)

    def _publish(self, engine: SimulatedEngine, result: StepResult) -> None:
        if not result.stored and not result.removed:
            return
        sequence = engine.sequence
        engine.sequence += 1
        incarnation_id = engine.incarnation_id()
        for router in self.routers:
            self._send_events(router, engine, incarnation_id, sequence, result)

    def _send_events(
        self,
        router: SimulatedRouter,
        engine: SimulatedEngine,
        incarnation_id: str,
        sequence: int,
        result: StepResult,
    ) -> None:
        def apply() -> None:
            router.index.stored(engine.engine_id, incarnation_id, result.stored)
            router.index.removed(engine.engine_id, incarnation_id, result.removed)

        def arrive() -> None:
            partition = router.index.partition(engine.engine_id)
            if partition is None or partition.incarnation != incarnation_id:
                return
            gap = router.index.observe_sequence(engine.engine_id, incarnation_id, sequence)
            if gap is not None:
                self._schedule_after(REPLAY_SECONDS, lambda: self._replay(router, engine.engine_id))
            apply()

        if self._rng.random() < self._event_loss or self._is_cut(router.zone, engine.zone):
            router.undelivered_events.setdefault(engine.engine_id, []).append(apply)
            return
        self._schedule_after(self.config.event_delay, arrive)

    def _replay(self, router: SimulatedRouter, engine_id: str) -> None:
        for apply in router.undelivered_events.pop(engine_id, []):
            apply()
        router.index.close_gap(engine_id)

    def _record_loads(self) -> None:
        for engine in self.engines.values():
            model = engine.model
            report = LoadReport(
                model.running,
                model.waiting,
                model.cache.usage(),
                float(model.waiting_tokens()),
            )
            engine.load_history.append((self.now, report))
        if self.now < self.config.seconds + self.config.deadline_seconds:
            self._schedule_after(0.1, self._record_loads)

    def _poll_loads(self, number: int) -> None:
        router = self.routers[number]
        cutoff = self.now - self.config.load_lag
        for engine in self.engines.values():
            if not engine.alive or self._is_cut(router.zone, engine.zone):
                router.fleet.observe_failure(engine.engine_id, self.now)
                continue
            self._observe_engine(router, engine, cutoff)
        router.index.expire(self.now)
        if self.now < self.config.seconds + self.config.deadline_seconds:
            pause = self.config.load_interval * self._rng.uniform(0.8, 1.2)
            self._schedule_after(pause, lambda: self._poll_loads(number))

    def _observe_engine(
        self, router: SimulatedRouter, engine: SimulatedEngine, cutoff: float
    ) -> None:
        if router.index.observe_incarnation(engine.engine_id, engine.incarnation_id()):
            router.undelivered_events.pop(engine.engine_id, None)
        router.fleet.observe_status(engine.engine_id, engine.incarnation_id(), 1, False)
        reports = [report for at, report in engine.load_history if at <= cutoff]
        if reports:
            router.fleet.observe_load(engine.engine_id, reports[-1], cutoff)

    def _schedule_failure(self) -> None:
        third = self.config.seconds / 3
        failure = self.config.failure
        if failure == "engine_crash":
            self._schedule_at(third, self._crash_engine)
        elif failure == "router_herd":
            self._schedule_at(third, self._restart_routers)
        elif failure == "event_loss":
            self._schedule_at(third, lambda: setattr(self, "_event_loss", 0.05))
            self._schedule_at(
                2 * third, lambda: setattr(self, "_event_loss", self.config.event_loss)
            )
        elif failure == "zone_cut":
            self._schedule_at(third, lambda: setattr(self, "_cut_zone", "zone-0"))
            self._schedule_at(2 * third, lambda: setattr(self, "_cut_zone", None))

    def _is_cut(self, first: str, second: str) -> bool:
        return first != second and self._cut_zone in (first, second)

    def _crash_engine(self) -> None:
        engine = self.engines["engine-0"]
        engine.alive = False
        for attempt in [a for a in self._in_flight.values() if a.engine is engine]:
            self._schedule_after(CRASH_DETECTION_SECONDS, partial(self._retry, attempt))
        self._schedule_after(RESTART_SECONDS, lambda: self._restart_engine(engine))

    def _restart_engine(self, engine: SimulatedEngine) -> None:
        engine.model = EngineModel(_profile(self.config))
        engine.incarnation += 1
        engine.sequence = 0
        engine.stepping = False
        engine.alive = True
        engine.load_history.clear()

    def _restart_routers(self) -> None:
        """Restart all routers except the first one.

        The restarted routers lose their state; requests that they sent go on at the engines.
        """
        for number in range(1, self.config.routers):
            new = self._make_router(number)
            old = self.routers[number]
            old.fleet, old.index, old.request_router = new.fleet, new.index, new.request_router
            old.undelivered_events.clear()
            for engine in self.engines.values():
                # As on a first subscription, the engine replays its buffered cache events.
                cached = list(engine.model.cache.references)
                self._schedule_after(
                    REPLAY_SECONDS,
                    partial(old.index.stored, engine.engine_id, engine.incarnation_id(), cached),
                )


def _profile(config: ExperimentConfig) -> EngineProfile:
    return EngineProfile(
        prefill_rate=config.prefill_rate,
        max_running=config.max_running,
        cache_blocks=config.cache_blocks,
        block_tokens=config.block_tokens,
    )


def _bundle(config: ExperimentConfig, routing: Routing) -> Bundle:
    tenants = WORKLOADS[config.deployment].tenants
    return Bundle.model_validate(
        {
            "version": 1,
            "deployment": config.deployment,
            "zones": tuple(f"zone-{number}" for number in range(config.zones)),
            "block_tokens": config.block_tokens,
            "partners": [{"name": "partner", "share": 1.0}],
            "tenants": [
                {
                    "name": name,
                    "partner": "partner",
                    "weight": share,
                    "key_hash": f"{number:064x}",
                }
                for number, (name, share) in enumerate(tenants)
            ],
            "models": [{"name": MODEL, "pool": POOL, "weights_version": 1}],
            "pools": [
                {
                    "name": POOL,
                    "kind": "engine",
                    "prefill_tokens_per_second": config.prefill_rate,
                    "max_running": config.max_running,
                }
            ],
            "priorities": [{"name": "normal", "level": 10}],
            "routing": routing.model_dump(),
            "admission": config.admission.model_dump(),
        }
    )
