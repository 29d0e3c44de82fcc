"""``hillstack emulator``: emulated engines, applications and platform services."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import typer

from hillstack.cli.exits import ExitCode

app = typer.Typer(help="Stand-ins for the systems that hillstack meets.", no_args_is_help=True)

Listen = Annotated[str, typer.Option(help="HTTP address, IP:PORT.")]


@app.command()
def engine(
    listen: Listen,
    events: Annotated[str, typer.Option(help="Address of the cache event stream.")],
    replay: Annotated[str, typer.Option(help="Address that replays cache events.")],
    model: Annotated[str, typer.Option(help="Model served.")],
    block_tokens: Annotated[int, typer.Option(help="Tokens in a cache block.")] = 1_000,
    cache_blocks: Annotated[int, typer.Option(help="Blocks in the cache.")] = 400,
    prefill_rate: Annotated[float, typer.Option(help="Prompt tokens a second.")] = 8_000.0,
    max_running: Annotated[int, typer.Option(help="Requests in the batch.")] = 32,
    weights_version: Annotated[int, typer.Option(help="Weights version at the start.")] = 1,
    adapter: Annotated[
        list[str] | None, typer.Option(help="Adapter served as a model. May stand often.")
    ] = None,
    load_lag: Annotated[float, typer.Option(help="Age of the load page in seconds.")] = 0.2,
    event_delay: Annotated[float, typer.Option(help="Delay of events in seconds.")] = 0.05,
    event_loss: Annotated[float, typer.Option(help="Share of event batches lost.")] = 0.0,
) -> None:
    """Run an emulated engine with vLLM's interface."""
    from hillstack.emulator.engine import EmulatedEngine, EngineOptions
    from hillstack.emulator.server import run_emulator
    from hillstack.simulation.engine_model import EngineProfile

    profile = EngineProfile(prefill_rate, max_running, cache_blocks, block_tokens)
    options = EngineOptions(
        model=model,
        address=listen,
        events_address=events,
        replay_address=replay,
        profile=profile,
        weights_version=weights_version,
        adapters=tuple(adapter or ()),
        load_lag=load_lag,
        event_delay=event_delay,
        event_loss=event_loss,
    )
    run_emulator(EmulatedEngine(options).app(), listen, f"engine-{listen}")


@app.command()
def application(
    listen: Listen,
    name: Annotated[str, typer.Option(help="Name in its records.")],
) -> None:
    """Run an emulated application that records each execution."""
    from hillstack.emulator.application import EmulatedApplication
    from hillstack.emulator.server import run_emulator

    run_emulator(EmulatedApplication(name).app(), listen, name)


@app.command()
def platform(
    listen: Listen,
    machines: Annotated[Path, typer.Option(help="Machine list (TOML, [[machines]]).")],
    rate_limit: Annotated[float, typer.Option(help="Key-value requests a second.")] = 200.0,
) -> None:
    """Run an emulated platform: key-value service and machine list."""
    from hillstack.emulator.platform import EmulatedPlatform
    from hillstack.emulator.server import run_emulator

    try:
        content = tomllib.loads(machines.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        typer.echo(f"error: {machines}: {error}", err=True)
        raise typer.Exit(ExitCode.INVALID) from error
    platform_app = EmulatedPlatform(content.get("machines", []), rate_limit).app()
    run_emulator(platform_app, listen, "platform")
