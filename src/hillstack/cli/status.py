"""``hillstack status``: shows nodes and back ends as one router sees them."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated, Any

import aiohttp
import typer

from hillstack.answer_bodies import read_json
from hillstack.cli.exits import errors_to_exit_codes
from hillstack.cli.output import Output, OutputOption, print_table
from hillstack.errors import PeerError

TIMEOUT_SECONDS = 5.0


def show(
    router: Annotated[str, typer.Option(help="Caller address of a router, IP:PORT.")],
    output: OutputOption = Output.TEXT,
) -> None:
    """Show nodes, back ends and bundle versions as one router sees them."""
    with errors_to_exit_codes():
        content = asyncio.run(fetch_status_page(router))
    if output is Output.JSON:
        typer.echo(json.dumps(content, indent=2))
        return
    bundle = content["bundle"]
    typer.echo(f"bundle in force: version {bundle['version']} ({bundle['digest'][:12]})")
    nodes = [content["node"], *content["members"]]
    print_table(
        ("node", "zone", "state", "bundle", "address"),
        [(n["id"], n["zone"], n["state"], n["bundle_version"], n["address"]) for n in nodes],
    )
    print_table(
        ("back end", "kind", "zone", "takes work", "weights", "running", "waiting", "cache"),
        [
            (
                b["id"],
                b["kind"],
                b["zone"],
                "yes" if b["accepts_work"] else "no",
                b["weights_version"],
                b["running"],
                b["waiting"],
                f"{b['cache_usage']:.0%}",
            )
            for b in content["backends"]
        ],
    )


async def fetch_status_page(router: str) -> dict[str, Any]:
    """Return a router's status page.

    Raises:
        PeerError: The page could not be read.
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{router}/status") as response,
        ):
            response.raise_for_status()
            content: dict[str, Any] = await read_json(response)
            return content
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise PeerError(repr(error), step="read status", peer=router) from error
