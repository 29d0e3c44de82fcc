"""Runs routing experiments and computes the figures of each run."""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass

from hillstack.config.bundle import Routing
from hillstack.simulation.experiment_config import ExperimentConfig
from hillstack.simulation.fleet_entities import RequestRecord
from hillstack.simulation.fleet_simulation import FleetSimulation
from hillstack.simulation.statistics import percentile

CALIBRATION_RATE_PER_ENGINE = 14.0
CALIBRATION_SECONDS = 40.0
CALIBRATION_STEP = 1.06
CALIBRATION_SERVED_SHARE = 0.99
BUCKET_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class RunKey:
    """Parameters that identify one run of an experiment."""

    label: str
    load: float
    seed: int
    rate: float


@dataclass(frozen=True, slots=True)
class RunFigures:
    """The figures of one run, over the requests that arrived after the warm-up.

    Attributes:
        came_back: Refused requests that were sent again after ``Retry-After``.
        admitted_on_return: Requests admitted when they were sent again.
        lost: Requests neither served nor refused by the end of the run.
        hit_rate: Share of the prompt tokens of served requests that were cached.
        wasted: Blocks prefilled although some engine had prefilled them before, as a share of the
            prompt blocks of all requests; the warm-up counts here.
        goodput: Requests served per second.
    """

    key: RunKey
    sent: int
    refused: int
    came_back: int
    admitted_on_return: int
    served: int
    lost: int
    p50: float
    p95: float
    p99: float
    urgent_p99: float
    hit_rate: float
    wasted: float
    goodput: float
    hit_rate_over_time: tuple[tuple[float, float], ...]
    first_token_over_time: tuple[tuple[float, float], ...]
    p99_by_tenant: dict[str, float]
    served_by_tenant: dict[str, int]


def routing_of(config: ExperimentConfig, policy: str) -> tuple[Routing, bool]:
    """Return the routing settings of a policy and whether it is the oracle."""
    if policy == "oracle":
        return config.routing.model_copy(update={"policy": "full"}), True
    return config.routing.model_copy(update={"policy": policy}), False


def calibrate(config: ExperimentConfig, seed: int = 0) -> float:
    """Return the capacity in requests per second.

    The rate falls in steps until the oracle serves ``CALIBRATION_SERVED_SHARE`` of the requests,
    with a 95th percentile of the time to first token of at most 1 s.
    """
    fault_free = config.model_copy(
        update={"seconds": CALIBRATION_SECONDS, "failure": "none", "flood_tenant": ""}
    )
    rate = CALIBRATION_RATE_PER_ENGINE * config.engines
    while True:
        key = RunKey("oracle", 0.0, seed, rate)
        figures = run_one(fault_free, "oracle", key)
        if figures.served >= CALIBRATION_SERVED_SHARE * figures.sent and figures.p95 <= 1.0:
            return rate
        rate /= CALIBRATION_STEP


def run_one(config: ExperimentConfig, policy: str, key: RunKey) -> RunFigures:
    """Run one policy at one rate with one seed."""
    routing, oracle = routing_of(config, policy)
    simulation = FleetSimulation(config, routing, oracle, key.rate, key.seed)
    simulation.run()
    return reduce_run(config, key, simulation)


def reduce_run(config: ExperimentConfig, key: RunKey, run: FleetSimulation) -> RunFigures:
    """Compute the figures of a finished run."""
    counted = [r for r in run.records if r.arrival.at >= config.warm_up_seconds]
    served = [r for r in counted if r.finished_at is not None]
    refused = [r for r in counted if r.refused_at is not None and not r.admitted_on_return]
    times = [first_token_time(record) for record in served]
    urgent = [first_token_time(r) for r in served if r.arrival.request_class.urgent]
    span = config.seconds - config.warm_up_seconds
    prompt_blocks = sum(r.prompt_tokens // config.block_tokens for r in run.records)
    return RunFigures(
        key=key,
        sent=len(counted),
        refused=len(refused),
        came_back=sum(1 for r in counted if r.came_back),
        admitted_on_return=sum(1 for r in counted if r.admitted_on_return),
        served=len(served),
        lost=len(counted) - len(served) - len(refused),
        p50=percentile(times, 50),
        p95=percentile(times, 95),
        p99=percentile(times, 99),
        urgent_p99=percentile(urgent, 99),
        hit_rate=hit_rate(served),
        wasted=run.recomputed_blocks / max(1, prompt_blocks),
        goodput=len(served) / span,
        hit_rate_over_time=_over_time(config, served, hit_rate),
        first_token_over_time=_over_time(
            config, served, lambda part: percentile([first_token_time(r) for r in part], 95)
        ),
        p99_by_tenant={
            tenant: percentile(
                [first_token_time(r) for r in served if r.arrival.tenant == tenant], 99
            )
            for tenant in sorted({r.arrival.tenant for r in served})
        },
        served_by_tenant={
            tenant: sum(1 for r in served if r.arrival.tenant == tenant)
            for tenant in sorted({r.arrival.tenant for r in counted})
        },
    )


def first_token_time(record: RequestRecord) -> float:
    """Return the time from sending to the first token in seconds."""
    assert record.first_token_at is not None
    return record.first_token_at - record.arrival.at


def hit_rate(records: Sequence[RequestRecord]) -> float:
    """Return the share of the prompt tokens that were cached."""
    prompt = sum(record.prompt_tokens for record in records)
    return sum(record.cached_tokens for record in records) / prompt if prompt else 0.0


@dataclass(frozen=True, slots=True)
class Summary:
    """Median, minimum and maximum of a figure over all seeds."""

    median: float
    minimum: float
    maximum: float


def summarize(figures: Iterable[RunFigures], name: str) -> Summary:
    """Return the summary of the figure ``name`` over runs."""
    values = [float(getattr(run, name)) for run in figures]
    return Summary(statistics.median(values), min(values), max(values))


def as_json(figures: Sequence[RunFigures]) -> list[dict[str, object]]:
    """Return runs as dictionaries that can be serialized as JSON."""
    return [asdict(run) for run in figures]


def _over_time(
    config: ExperimentConfig,
    records: Sequence[RequestRecord],
    reduce: Callable[[list[RequestRecord]], float],
) -> tuple[tuple[float, float], ...]:
    points = []
    buckets = int(config.seconds / BUCKET_SECONDS)
    for number in range(buckets):
        start = number * BUCKET_SECONDS
        part = [r for r in records if start <= r.arrival.at < start + BUCKET_SECONDS]
        if part:
            points.append((start, reduce(part)))
    return tuple(points)
