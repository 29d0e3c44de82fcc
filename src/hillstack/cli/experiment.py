"""``hillstack experiment``: simulated routing experiments and load on a running deployment."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated

import typer

from hillstack.cli.exits import ExitCode, errors_to_exit_codes
from hillstack.cli.output import Output, OutputOption

app = typer.Typer(help="Measure routing in virtual time or drive load.", no_args_is_help=True)


@app.command()
def run(
    config: Annotated[Path, typer.Argument(help="Experiment (TOML).")],
    plots: Annotated[Path | None, typer.Option(help="Folder for plots.")] = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Run all policies, loads and seeds of an experiment, one after the other."""
    from hillstack.simulation.experiment import RunKey, as_json, calibrate, run_one
    from hillstack.simulation.experiment_config import load_experiment
    from hillstack.simulation.report import plot, table
    from hillstack.simulation.workload import WORKLOADS

    with errors_to_exit_codes():
        loaded = load_experiment(config)
    capacity = calibrate(loaded)
    typer.echo(f"capacity: {capacity:.1f} requests a second", err=True)
    runs = [
        run_one(loaded, policy, RunKey(policy, load, seed, capacity * load))
        for load in loaded.loads
        for policy in loaded.policies
        for seed in loaded.seeds
    ]
    if plots is not None:
        plot(runs, WORKLOADS[loaded.deployment].shift_seconds, plots, loaded.deployment)
    if output is Output.JSON:
        typer.echo(json.dumps({"capacity": capacity, "runs": as_json(runs)}))
    else:
        typer.echo(table(runs))


@app.command()
def live(
    router: Annotated[list[str], typer.Option(help="Caller address, IP:PORT. May stand often.")],
    workload: Annotated[str, typer.Option(help="Workload: tampere or lagos.")],
    model: Annotated[str, typer.Option(help="Model to ask for.")],
    keys: Annotated[Path, typer.Option(help="Bearer tokens by tenant (JSON).")],
    rate: Annotated[float, typer.Option(help="Completions per second.")] = 10.0,
    seconds: Annotated[float, typer.Option(help="Length of the run.")] = 30.0,
    seed: Annotated[int, typer.Option(help="Seed of the arrivals.")] = 1,
    output: OutputOption = Output.TEXT,
) -> None:
    """Drive a workload through running routers before emulated engines and check the answers."""
    from hillstack.emulator.load_driver import LoadDriver, LoadPlan
    from hillstack.simulation.workload import WORKLOADS

    if workload not in WORKLOADS:
        typer.echo(f"error: no workload {workload!r}", err=True)
        raise typer.Exit(ExitCode.INVALID)
    try:
        tokens = json.loads(keys.read_text())
    except (OSError, ValueError) as error:
        typer.echo(f"error: {keys}: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error
    plan = LoadPlan(router, tokens, WORKLOADS[workload], model, "", "", rate, 0.0, seconds, seed)
    result = asyncio.run(LoadDriver(plan).run(lambda elapsed, partial: None))
    figures = {
        "sent": result.sent,
        "served": result.served,
        "refused": result.refused,
        "failed": result.failed,
        "wrong": result.wrong,
        "hit_rate": result.hit_rate(),
        "first_token_p50": result.first_token_seconds(50),
        "first_token_p99": result.first_token_seconds(99),
    }
    if output is Output.JSON:
        typer.echo(json.dumps(figures))
    else:
        for name, value in figures.items():
            typer.echo(f"{name:<18}{value:>12.4g}")
    if result.wrong:
        raise typer.Exit(ExitCode.FAILED)
