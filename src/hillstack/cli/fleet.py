"""``hillstack fleet``: runs a fleet node, traces requests in its logs and lists rollouts."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated, Any

import typer

from hillstack.cli.exits import ExitCode, errors_to_exit_codes
from hillstack.cli.output import Output, OutputOption, print_table
from hillstack.config.fleet_settings import load_fleet_settings
from hillstack.platform.connections import make_store_session
from hillstack.platform.rollouts import RolloutSummary
from hillstack.platform.store import MetadataStore

app = typer.Typer(help="Run a fleet's node, and follow requests and rollouts.")

# A trace includes runner events from this long before the first line of the request.
CONTEXT_SECONDS = 2.0
ROLLOUT_FIELDS = ("service", "order", "target", "told", "stage", "age", "reason", "rejected")
HIDDEN_FIELDS = ("time", "level", "logger", "message", "node")
# Log messages about runners that a trace includes.
RUNNER_EVENTS = (
    "runner suspected",
    "runner changed",
    "runner gone",
    "weights served",
    "order answered",
)


@app.command()
def run(
    settings: Annotated[Path, typer.Option(help="Settings file (TOML).")],
    check: Annotated[bool, typer.Option("--check", help="Check the settings and exit.")] = False,
) -> None:
    """Run a node until SIGTERM."""
    with errors_to_exit_codes():
        load_fleet_settings(settings)
    if check:
        typer.echo(f"{settings}: valid")
        return
    from hillstack.daemon.fleet_main import run_node

    with errors_to_exit_codes():
        run_node(settings)


@app.command()
def trace(
    request: Annotated[str, typer.Argument(help="Identifier of the request.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of the nodes (JSON lines).")],
) -> None:
    """Print what the nodes decided about a request, and what they learned of its runners."""
    lines = [line for path in logs for line in read_log_lines(path)]
    selected = select_trace_lines(request, lines)
    if not selected:
        typer.echo(f"error: no line of request {request}", err=True)
        raise typer.Exit(ExitCode.INVALID)
    for line in selected:
        typer.echo(format_line(line))


@app.command()
def rollouts(
    store: Annotated[str, typer.Option(help="Address of the metadata store, IP:PORT.")],
    output: OutputOption = Output.TEXT,
) -> None:
    """Print how far the rollouts of software are, and why, as the store tells."""
    with errors_to_exit_codes():
        rows = [rollout_row(line) for line in asyncio.run(_read_rollouts(store))]
    if output is Output.JSON:
        typer.echo(json.dumps(rows, indent=2))
        return
    if not rows:
        typer.echo("no rollouts")
        return
    print_table(ROLLOUT_FIELDS, [[row[name] for name in ROLLOUT_FIELDS] for row in rows])


async def _read_rollouts(address: str) -> list[RolloutSummary]:
    session = make_store_session()
    try:
        return await MetadataStore(address, session).rollout_summaries()
    finally:
        await session.close()


def rollout_row(line: RolloutSummary) -> dict[str, object]:
    """Return the table row of a rollout.

    A record that belongs to an earlier order is ignored, so that its stage is not shown for the
    current order.
    """
    order, record = line.order, line.record
    if order is not None and record is not None and record.order_revision != order.revision:
        record = None
    target = order.target if order is not None else record.target if record is not None else ""
    return {
        "service": line.service,
        "order": "stands" if order is not None else "none",
        "target": target,
        "told": line.state or "nothing",
        "stage": record.stage.value if record is not None else "not begun",
        "age": round(record.elapsed_seconds, 1) if record is not None else 0.0,
        "reason": record.reason if record is not None else "",
        "rejected": " ".join(record.rejected) if record is not None else "",
    }


def read_log_lines(path: Path) -> list[dict[str, Any]]:
    """Return the JSON records of a log file.

    Text before the first brace of a line is ignored. Lines without a JSON object that has a
    message are skipped.
    """
    lines = []
    for raw in path.read_text(errors="replace").splitlines():
        _, brace, rest = raw.partition("{")
        try:
            line = json.loads(brace + rest)
        except ValueError:
            continue
        if isinstance(line, dict) and "message" in line:
            lines.append(line)
    return lines


def select_trace_lines(request: str, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the log lines of a request and of events of its runners, ordered by time.

    Runner events are included if a node that handled the request logged them between
    ``CONTEXT_SECONDS`` before the first line of the request and its last line.
    """
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return []
    nodes = {line.get("node") for line in request_lines}
    runners = {line["runner"] for line in request_lines if "runner" in line}
    first, last = request_lines[0]["time"], request_lines[-1]["time"]
    runner_lines = [
        line
        for line in lines
        if line.get("node") in nodes
        and line.get("runner") in runners
        and line["message"] in RUNNER_EVENTS
        and _context_start(first) <= line["time"] <= last
    ]
    return sorted(request_lines + runner_lines, key=lambda line: str(line["time"]))


def format_line(line: dict[str, Any]) -> str:
    """Format a log line as time, node, message and remaining fields."""
    fields = " ".join(f"{key}={line[key]}" for key in line if key not in HIDDEN_FIELDS)
    return f"{line['time']}  {line.get('node', '-'):18}  {line['message']:22}  {fields}"


def _context_start(time: str) -> str:
    """Return the time ``CONTEXT_SECONDS`` earlier, as text, or the minute if it began later."""
    head, _, seconds = time.rpartition(":")
    value = float(seconds.replace(",", ".")) - CONTEXT_SECONDS
    return f"{head}:{value:06.3f}".replace(".", ",") if value >= 0 else head
