"""Measures attempts per request while engines fail, with and without retry budgets.

The measurement runs in virtual time. The failing engines accept requests and break every stream
before its first token, so that a router notices each failure only after the engine has done work.
"""

from __future__ import annotations

import itertools
import logging
import sys
from dataclasses import dataclass
from random import Random

from hillstack.config.bundle import Bundle
from hillstack.daemon.key_value import Put
from hillstack.etcd.bundle_store import HEAD_KEY, Head, bundle_key
from hillstack.simulation.clients import Callers
from hillstack.simulation.cluster import ClusterSize, SimCluster, first_bundle
from hillstack.simulation.history import Return
from hillstack.simulation.services import EngineFaults

ENGINES = 6
FAILING_ENGINES = (2, 6)
WARM_UP_SECONDS = 6.0
STORM_SECONDS = 20.0
SETTLE_SECONDS = 15.0
REQUEST_PAUSE_SECONDS = 0.01
SEEDS = (1, 2, 3)
BUDGETS = {"without budget": 1.0, "with budget": 0.2}
MAX_ATTEMPTS = 6


@dataclass(frozen=True, slots=True)
class StormFigures:
    """Counts of requests and attempts while the engines fail."""

    requests: int
    attempts: float
    served: int


def main() -> int:
    """Run all cases and print them as a table."""
    logging.disable(logging.CRITICAL)
    titles = ("failing", "case", "seed", "completions", "attempts", "attempts each", "served whole")
    print("| " + " | ".join(titles) + " |\n" + "|---" * len(titles) + "|")
    for failing, (label, ratio), seed in itertools.product(FAILING_ENGINES, BUDGETS.items(), SEEDS):
        figures = run(seed, ratio, failing)
        per_request = figures.attempts / figures.requests
        served = figures.served / figures.requests
        cells = (f"{failing} of {ENGINES}", label, seed, figures.requests, figures.attempts)
        row = [str(cell) for cell in cells] + [f"{per_request:.3f}", f"{served:.1%}"]
        print("| " + " | ".join(row) + " |")
    return 0


def run(seed: int, ratio: float, failing: int) -> StormFigures:
    """Run one case: a seed, a retry ratio and a number of failing engines."""
    cluster = SimCluster(seed, ClusterSize(engines=ENGINES))
    _install_bundle(cluster, ratio)
    cluster.run_until(WARM_UP_SECONDS)
    for number in range(failing):
        cluster.services.engines[f"engine-{number}"].faults = EngineFaults(break_streams=1.0)
    before = _attempts(cluster)
    callers = Callers(cluster, Random(seed))
    end = WARM_UP_SECONDS + STORM_SECONDS
    cluster.scheduler.spawn(cluster.clients.loop, callers.run(end, REQUEST_PAUSE_SECONDS))
    cluster.run_until(end + SETTLE_SECONDS)
    streams = [event for event in cluster.history.of(Return) if event.key.endswith(".")]
    figures = StormFigures(
        requests=len(streams),
        attempts=_attempts(cluster) - before,
        served=sum(1 for event in streams if event.done),
    )
    cluster.scheduler.close()
    return figures


def _install_bundle(cluster: SimCluster, ratio: float) -> None:
    """Replace the first bundle with one that has other retry limits."""
    retries = {"ratio": ratio, "minimum_per_second": 1000.0 * (ratio == 1.0)}
    content = first_bundle().model_dump()
    content["retries"] = retries | {"max_attempts": MAX_ATTEMPTS}
    bundle = Bundle.model_validate(content)
    signed = cluster.partners.sign(bundle)
    puts = [
        Put(HEAD_KEY, Head(bundle.version, bundle.digest()).to_json()),
        Put(bundle_key(bundle.version), signed.model_dump_json().encode()),
    ]
    cluster.services.platform.transact([], puts)


def _attempts(cluster: SimCluster) -> float:
    total = 0.0
    for router in cluster.routers.values():
        total += router.node.metrics.attempts.labels("completion")._value.get()
    return total


if __name__ == "__main__":
    sys.exit(main())
