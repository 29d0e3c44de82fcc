"""Runs the experiments of both deployments on all cores and prints their tables in Markdown.

The parts are: policies at several loads, ablations of the full policy, failures, a flooding tenant,
numbers of routers, retries after ``Retry-After``, and overload.
"""

from __future__ import annotations

import argparse
import itertools
import statistics
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hillstack.simulation.experiment import RunFigures, RunKey, calibrate, run_one
from hillstack.simulation.experiment_config import ExperimentConfig, load_experiment
from hillstack.simulation.report import group_runs, plot, table
from hillstack.simulation.workload import WORKLOADS

ROOT = Path(__file__).resolve().parent.parent
DEPLOYMENTS = ("tampere", "lagos")
ABLATION_LOAD = 0.95
FAILURE_LOAD = 0.8
FLOOD_LOAD = 0.8
RETRY_LOAD = 1.5
ROUTER_COUNTS = (1, 3, 12, 30)
RECOVERED_SHARE = 0.97
ABLATIONS: dict[str, dict[str, Any]] = {
    "full": {},
    "without congestion": {"congestion_weight": 0.0},
    "without home": {"home_discount": 0.0},
    "with home": {"home_discount": 0.2},
    "without eviction cost": {"eviction_weight": 0.0},
    "without gap discount": {"untrusted_discount": 1.0},
    "without following fills": {"follow_fills": False},
}
FAILURES = ("none", "engine_crash", "router_herd", "event_loss", "zone_cut")


@dataclass(frozen=True, slots=True)
class Job:
    """One run of an experiment, as a job for a worker process."""

    part: str
    config: ExperimentConfig
    policy: str
    key: RunKey


def main() -> int:
    """Run the experiments and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="run one part only")
    parser.add_argument("--plots", type=Path, help="folder for plots")
    arguments = parser.parse_args()
    started = time.monotonic()
    configs = {
        name: load_experiment(ROOT / f"deploy/{name}/experiment.toml") for name in DEPLOYMENTS
    }
    with ProcessPoolExecutor() as pool:
        capacities = dict(zip(configs, pool.map(calibrate, configs.values()), strict=True))
        for name, config in configs.items():
            jobs = _jobs(config, capacities[name], arguments.only)
            results = list(pool.map(_run, jobs, chunksize=1))
            print(f"\n## {name}: capacity {capacities[name]:.1f} requests a second\n")
            _print_parts(jobs, results)
            if arguments.plots:
                runs = _runs_of_part(jobs, results, "policies")
                plot(runs, WORKLOADS[name].shift_seconds, arguments.plots, name)
    print(f"\n{time.monotonic() - started:.0f} s in all")
    return 0


def _run(job: Job) -> RunFigures:
    return run_one(job.config, job.policy, job.key)


def _jobs(config: ExperimentConfig, capacity: float, only: str | None) -> list[Job]:
    jobs = []

    def add(part: str, changed: ExperimentConfig, policy: str, label: str, load: float) -> None:
        for seed in config.seeds:
            key = RunKey(label, load, seed, capacity * load)
            jobs.append(Job(part, changed, policy, key))

    for load in config.loads:
        for policy in config.policies:
            add("policies", config, policy, policy, load)
    for label, change in ABLATIONS.items():
        routing = config.routing.model_copy(update=change)
        changed = config.model_copy(update={"routing": routing})
        add("ablation", changed, "full", label, ABLATION_LOAD)
    for failure in FAILURES:
        changed = config.model_copy(update={"failure": failure})
        add("failures", changed, "full", failure, FAILURE_LOAD)
    smallest = WORKLOADS[config.deployment].tenants[-1][0]
    flooded = config.model_copy(update={"flood_tenant": smallest})
    add("flood", config, "full", "calm", FLOOD_LOAD)
    add("flood", flooded, "full", f"flood by {smallest}", FLOOD_LOAD)
    for routers, shared in itertools.product(ROUTER_COUNTS, (False, True)):
        routing = config.routing.model_copy(update={"share_fills": shared})
        changed = config.model_copy(update={"routers": routers, "routing": routing})
        label = f"{routers} routers, fills {'shared' if shared else 'not shared'}"
        add("routers", changed, "full", label, ABLATION_LOAD)
    obedient = config.model_copy(update={"obey_retry_after": True})
    add("retry", obedient, "full", "callers obey", RETRY_LOAD)
    for load in (1.0, 1.5):
        add("overload", config, "full", "full", load)
    return [job for job in jobs if only in (None, job.part)]


def _runs_of_part(
    jobs: Sequence[Job], results: Sequence[RunFigures], part: str
) -> list[RunFigures]:
    return [run for job, run in zip(jobs, results, strict=True) if job.part == part]


def _print_parts(jobs: Sequence[Job], results: Sequence[RunFigures]) -> None:
    for part in ("policies", "ablation", "routers", "overload"):
        if runs := _runs_of_part(jobs, results, part):
            print(f"### {part}\n\n{table(runs)}\n")
    if runs := _runs_of_part(jobs, results, "failures"):
        _print_failures(runs)
    if runs := _runs_of_part(jobs, results, "retry"):
        _print_retries(runs)
    if runs := _runs_of_part(jobs, results, "flood"):
        _print_flood(runs)


def _print_failures(runs: list[RunFigures]) -> None:
    print("### failures (in the middle third)\n")
    print(
        "| failure | lost | hit rate before / during / after | p95 s before / during / after |"
        " back to 97 % of the hit rate after |"
    )
    print("|---|---|---|---|---|")
    for (_, label), group in group_runs(runs).items():
        hits = [_thirds(run.hit_rate_over_time) for run in group]
        waits = [_thirds(run.first_token_over_time) for run in group]
        recovered = [_recovery(run.hit_rate_over_time) for run in group]
        lost = statistics.median(run.lost for run in group)
        print(
            f"| {label} | {lost:.0f} | {_medians(hits, '.1%')} | {_medians(waits, '.3f')} | "
            f"{statistics.median(recovered):.0f} s |"
        )
    print()


def _thirds(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    third = (points[-1][0] + 2.0) / 3
    parts: list[list[float]] = [[], [], []]
    for at, value in points:
        parts[min(2, int(at // third))].append(value)
    first, second, last = (statistics.mean(part) for part in parts)
    return first, second, last


def _medians(values: list[tuple[float, float, float]], spec: str) -> str:
    medians = [statistics.median(column) for column in zip(*values, strict=True)]
    return " / ".join(format(median, spec) for median in medians)


def _recovery(points: Sequence[tuple[float, float]]) -> float:
    """Return the seconds from the start of the failure until the hit rate has recovered."""
    third = (points[-1][0] + 2.0) / 3
    before = statistics.mean(value for at, value in points if at < third)
    for at, value in points:
        if at >= third and value >= RECOVERED_SHARE * before:
            return at - third
    return float("nan")


def _print_retries(runs: list[RunFigures]) -> None:
    print("### callers who come back after Retry-After\n")
    print("| load | seed | sent | refused at first | admitted on their return |")
    print("|---|---|---|---|---|")
    for run in runs:
        share = run.admitted_on_return / max(1, run.came_back)
        print(
            f"| {run.key.load:.0%} | {run.key.seed} | {run.sent} | {run.came_back} | {share:.1%} |"
        )
    print()


def _print_flood(runs: list[RunFigures]) -> None:
    print("### a tenant at ten times its rate\n")
    print("| case | refused | p99 s by tenant |")
    print("|---|---|---|")
    for (_, label), group in group_runs(runs).items():
        tenants = sorted(group[0].p99_by_tenant)
        medians = {
            tenant: statistics.median(run.p99_by_tenant.get(tenant, 0.0) for run in group)
            for tenant in tenants
        }
        refused = statistics.median(run.refused for run in group)
        cells = ", ".join(f"{tenant} {value:.2f}" for tenant, value in medians.items())
        print(f"| {label} | {refused:.0f} | {cells} |")
    print()


if __name__ == "__main__":
    sys.exit(main())
