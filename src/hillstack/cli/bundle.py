"""``hillstack bundle``: commands that create, sign, roll out and inspect bundles."""

from __future__ import annotations

import asyncio
import difflib
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, TypeVar

import aiohttp
import typer
from pydantic import ValidationError

from hillstack import clock
from hillstack.cli.exits import ExitCode, errors_to_exit_codes
from hillstack.cli.output import Output, OutputOption, emit, print_table
from hillstack.cli.status import fetch_status_page
from hillstack.config.bundle import (
    Bundle,
    Keyset,
    Partner,
    Priority,
    Tenant,
    describe_validation,
    parse_bundle,
)
from hillstack.config.signing import (
    SignedBundle,
    SignedKeyset,
    generate_key,
    parse_signed_bundle,
    sign,
    verify_bundle,
)
from hillstack.errors import BundleError, PeerError
from hillstack.etcd.bundle_store import BundleStore
from hillstack.etcd.key_value import KeyValueClient

app = typer.Typer(help="Make, sign and roll out bundles.", no_args_is_help=True)

Result = TypeVar("Result")

SignedFile = Annotated[Path, typer.Argument(help="Signed bundle (JSON).")]
BundleFile = Annotated[Path, typer.Argument(help="Bundle (JSON).")]
KeysetFile = Annotated[Path, typer.Option("--keyset", help="Root keyset (JSON).")]
Platform = Annotated[
    list[str], typer.Option("--platform", help="Key-value service, IP:PORT. May stand often.")
]
IN_FORCE_POLL_SECONDS = 0.1


@app.command()
def init(
    path: Annotated[Path, typer.Argument(help="File to write.")],
    deployment: Annotated[str, typer.Option(help="Name of the deployment.")],
    zones: Annotated[str, typer.Option(help="Zones, separated by commas.")],
    output: OutputOption = Output.TEXT,
) -> None:
    """Write a first bundle to start from."""
    with errors_to_exit_codes():
        if path.exists():
            raise BundleError("the file exists", step="init", peer=str(path))
        try:
            bundle = Bundle(
                version=1,
                deployment=deployment,
                zones=tuple(zones.split(",")),
                partners=(Partner(name="partner-a", share=1.0),),
                tenants=(Tenant(name="tenant-a", partner="partner-a", key_hash="0" * 64),),
                models=(),
                pools=(),
                priorities=(Priority(name="normal", level=10),),
            )
        except ValidationError as error:
            raise BundleError(describe_validation(error), step="init") from error
        write_bundle(path, bundle)
    emit(output, {"path": str(path), "version": 1}, f"{path}: written")


@app.command()
def keygen(
    partner: Annotated[str, typer.Argument(help="Partner that the key belongs to.")],
    private: Annotated[Path, typer.Option(help="File for the private key (hex).")],
    output: OutputOption = Output.TEXT,
) -> None:
    """Make a partner's key pair; prints the public key."""
    with errors_to_exit_codes():
        private_key, public_key = generate_key()
        try:
            private.touch(mode=0o600, exist_ok=False)
        except OSError as error:
            raise BundleError(str(error.strerror), step="keygen", peer=str(private)) from error
        private.write_text(private_key + "\n")
    fields = {"partner": partner, "public_key": public_key}
    emit(output, fields, f"{partner} {public_key}")


@app.command()
def validate(path: BundleFile, output: OutputOption = Output.TEXT) -> None:
    """Check a bundle and print its digest."""
    with errors_to_exit_codes():
        bundle = read_bundle(path)
    fields = {"version": bundle.version, "digest": bundle.digest(), "valid": True}
    emit(output, fields, f"{path}: valid, version {bundle.version}, digest {bundle.digest()}")


@app.command()
def diff(
    old: BundleFile,
    new: BundleFile,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show what changes between two bundles."""
    with errors_to_exit_codes():
        texts = [read_bundle(path).model_dump_json(indent=2) for path in (old, new)]
    lines = list(
        difflib.unified_diff(
            texts[0].splitlines(), texts[1].splitlines(), str(old), str(new), lineterm="", n=2
        )
    )
    text = "\n".join(lines) or "no difference"
    emit(output, {"equal": not lines, "diff": lines}, text)


@app.command("next")
def make_next(
    path: BundleFile,
    target: Annotated[Path, typer.Argument(help="File to write.")],
    output: OutputOption = Output.TEXT,
) -> None:
    """Write the child of a bundle: next version, parent digest set, content the same."""
    with errors_to_exit_codes():
        parent = read_bundle(path)
        child = parent.model_copy(
            update={
                "version": parent.version + 1,
                "parent_digest": parent.digest(),
                "signed_by_keyset": parent.keyset_version,
            }
        )
        write_bundle(target, child)
    fields = {"path": str(target), "version": child.version}
    emit(output, fields, f"{target}: version {child.version}")


@app.command("sign")
def sign_bundle(
    path: BundleFile,
    signed_path: Annotated[Path, typer.Option("--signed", help="Signed bundle to add to.")],
    partner: Annotated[str, typer.Option(help="Partner that signs.")],
    private: Annotated[Path, typer.Option(help="File with the private key.")],
    keysets: Annotated[
        Path | None, typer.Option(help="Signed keysets since the root (JSON list).")
    ] = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Add a partner's signature to a bundle."""
    with errors_to_exit_codes():
        bundle = read_bundle(path)
        payload = bundle.canonical().decode()
        existing = (
            read_signed(signed_path) if signed_path.exists() else SignedBundle(payload=payload)
        )
        if existing.payload != payload:
            raise BundleError("is of another bundle", step="sign", peer=str(signed_path))
        signature = sign(existing.signed_bytes(), partner, _read(private).strip())
        others = tuple(entry for entry in existing.signatures if entry.partner != partner)
        chain = _read_keysets(keysets) if keysets else existing.keysets
        signed = SignedBundle(payload=payload, signatures=(*others, signature), keysets=chain)
        signed_path.write_text(signed.model_dump_json() + "\n")
    signers = [entry.partner for entry in signed.signatures]
    fields = {"path": str(signed_path), "signed_by": signers}
    emit(output, fields, f"{signed_path}: signed by {', '.join(signers)}")


@app.command()
def rollout(
    path: SignedFile,
    keyset: KeysetFile,
    platform: Platform,
    router: Annotated[
        str | None, typer.Option(help="Router to ask whether it is in force everywhere.")
    ] = None,
    wait: Annotated[float, typer.Option(help="Seconds to wait for all nodes.")] = 15.0,
    output: OutputOption = Output.TEXT,
) -> None:
    """Make a signed bundle the accepted one, and wait until all nodes have it in force."""
    with errors_to_exit_codes():
        signed = read_signed(path)
        bundle = verify_bundle(signed, read_keyset(keyset))
        asyncio.run(_run_with_store(platform, lambda store: store.roll_out(signed, bundle)))
        behind = asyncio.run(_wait_in_force(router, bundle.version, wait)) if router else []
    fields = {
        "version": bundle.version,
        "digest": bundle.digest(),
        "accepted": True,
        "in_force_everywhere": not behind if router else None,
        "behind": behind,
    }
    text = f"version {bundle.version} accepted ({bundle.digest()[:12]})"
    if router:
        text += f"\nnot yet in force on: {', '.join(behind)}" if behind else "\nin force everywhere"
    emit(output, fields, text)
    if behind:
        raise typer.Exit(ExitCode.INCOMPLETE)


@app.command()
def status(platform: Platform, output: OutputOption = Output.TEXT) -> None:
    """Show the accepted version."""
    with errors_to_exit_codes():
        head = asyncio.run(_run_with_store(platform, lambda store: store.head()))
    fields = {"version": head.version if head else 0, "digest": head.digest if head else ""}
    emit(output, fields, f"accepted: version {fields['version']} ({str(fields['digest'])[:12]})")


@app.command()
def fetch(
    target: Annotated[Path, typer.Argument(help="File to write the bundle to.")],
    platform: Platform,
    output: OutputOption = Output.TEXT,
) -> None:
    """Write the accepted bundle to a file."""
    with errors_to_exit_codes():
        signed = asyncio.run(_run_with_store(platform, lambda store: store.latest()))
        if signed is None:
            raise BundleError("no bundle was accepted yet", step="fetch")
        bundle = signed.bundle()
        write_bundle(target, bundle)
    fields = {"path": str(target), "version": bundle.version}
    emit(output, fields, f"{target}: written")


@app.command()
def history(
    platform: Platform,
    limit: Annotated[int, typer.Option(help="Most versions shown.")] = 20,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show the accepted versions, newest first."""
    with errors_to_exit_codes():
        entries = asyncio.run(_run_with_store(platform, lambda store: store.history(limit)))
    rows = []
    for signed in entries:
        bundle = signed.bundle()
        signers = ",".join(entry.partner for entry in signed.signatures)
        rows.append((bundle.version, bundle.digest(), signers))
    if output is Output.JSON:
        names = ("version", "digest", "signed_by")
        typer.echo(json.dumps([dict(zip(names, row, strict=True)) for row in rows]))
    else:
        print_table(("version", "digest", "signed by"), rows)


def read_bundle(path: Path) -> Bundle:
    """Read and check a bundle file.

    Raises:
        BundleError: The file can't be read or the bundle is invalid.
    """
    return parse_bundle(_read(path), str(path))


def read_signed(path: Path) -> SignedBundle:
    """Read a signed bundle file.

    Raises:
        BundleError: The file can't be read or is malformed.
    """
    return parse_signed_bundle(_read(path), str(path))


def read_keyset(path: Path) -> Keyset:
    """Read a keyset file.

    Raises:
        BundleError: The file can't be read or is malformed.
    """
    try:
        return Keyset.model_validate_json(_read(path))
    except ValidationError as error:
        raise BundleError(describe_validation(error), step="parse", peer=str(path)) from error


def write_bundle(path: Path, bundle: Bundle) -> None:
    """Write a bundle as indented JSON, so that it can be edited by hand."""
    path.write_text(bundle.model_dump_json(indent=2) + "\n")


def _read(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise BundleError(str(error), step="read file", peer=str(path)) from error


def _read_keysets(path: Path) -> tuple[SignedKeyset, ...]:
    try:
        return tuple(SignedKeyset.model_validate(entry) for entry in json.loads(_read(path)))
    except ValidationError as error:
        raise BundleError(describe_validation(error), step="parse", peer=str(path)) from error


async def _run_with_store(
    platform: list[str], work: Callable[[BundleStore], Awaitable[Result]]
) -> Result:
    """Run an operation on the bundle store over an HTTP session of its own."""
    async with aiohttp.ClientSession() as session:
        return await work(BundleStore(KeyValueClient(platform, session)))


async def _wait_in_force(router: str, version: int, wait: float) -> list[str]:
    """Wait until all running nodes have the version in force.

    Returns:
        The nodes that still lack the version after ``wait`` seconds; empty if there are none.
    """
    deadline = clock.seconds() + wait
    while True:
        behind = await _nodes_behind(router, version)
        if not behind or clock.seconds() >= deadline:
            return behind
        await asyncio.sleep(IN_FORCE_POLL_SECONDS)


async def _nodes_behind(router: str, version: int) -> list[str]:
    """Return the running nodes with an older bundle, or the router if it can't be reached."""
    try:
        content = await fetch_status_page(router)
    except PeerError:
        return [router]
    nodes = [content["node"], *content["members"]]
    return [
        str(node["id"])
        for node in nodes
        if node["state"] in ("alive", "suspect") and node["bundle_version"] < version
    ]
