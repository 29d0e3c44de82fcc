"""Bundles in the key-value service: the head and the history.

The head names version and digest of the accepted bundle. A roll-out writes head and bundle in one
transaction that holds only while the head is still the parent, so that it happens wholly or not
at all, and one of several racing roll-outs wins.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from hillstack.config.bundle import GENESIS_PARENT, Bundle
from hillstack.config.signing import SignedBundle, parse_signed_bundle
from hillstack.daemon.key_value import Put, ValueIs
from hillstack.daemon.ports import KeyValue
from hillstack.errors import (
    BundleError,
    PlatformOutcomeUnknownError,
    RolloutConflictError,
)

HEAD_KEY = "/hillstack/head"
BUNDLE_PREFIX = "/hillstack/bundles/"
SETTLE_TRIES = 5


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted bundle's version and digest."""

    version: int
    digest: str

    def to_json(self) -> bytes:
        """Return the stored form."""
        return json.dumps({"version": self.version, "digest": self.digest}).encode()


def parse_head(value: bytes) -> Head:
    """Parse a stored head.

    Raises:
        BundleError: It is malformed.
    """
    try:
        content = json.loads(value)
        return Head(int(content["version"]), str(content["digest"]))
    except (ValueError, KeyError, TypeError) as error:
        raise BundleError(f"malformed head: {error!r}", step="read head") from error


class BundleStore:
    """Reads and rolls out bundles."""

    def __init__(self, client: KeyValue) -> None:
        self._client = client

    async def head(self) -> Head | None:
        """Return the head, or None before the first roll-out."""
        entry = await self._client.get(HEAD_KEY)
        return parse_head(entry.value) if entry else None

    async def bundle(self, version: int) -> SignedBundle | None:
        """Return an accepted bundle by version."""
        entry = await self._client.get(bundle_key(version))
        return parse_signed_bundle(entry.value, entry.key) if entry else None

    async def latest(self) -> SignedBundle | None:
        """Return the accepted bundle that the head names."""
        head = await self.head()
        return await self.bundle(head.version) if head else None

    async def history(self, limit: int) -> list[SignedBundle]:
        """Return the newest accepted bundles, newest first."""
        entries = await self._client.list_prefix(BUNDLE_PREFIX, limit)
        return [parse_signed_bundle(entry.value, entry.key) for entry in entries]

    async def roll_out(self, signed: SignedBundle, bundle: Bundle) -> None:
        """Make a bundle the head, if its parent still is.

        A lost answer is settled by reading back which digest stands at the bundle's version.

        Raises:
            RolloutConflictError: Another bundle is the head; the message names it.
            PlatformOutcomeUnknownError: It could not be settled whether it took effect.
            PlatformError: It did not take effect.
        """
        head = Head(bundle.version, bundle.digest())
        conditions = [ValueIs(HEAD_KEY, _parent_head(bundle))]
        puts = [
            Put(HEAD_KEY, head.to_json()),
            Put(bundle_key(bundle.version), signed.model_dump_json().encode()),
        ]
        try:
            revision = await self._client.transact(conditions, puts)
        except PlatformOutcomeUnknownError:
            revision = None
        if revision is None:
            await self._settle(head)

    async def _settle(self, own: Head) -> None:
        """Return if the own bundle was accepted; raise naming the winner otherwise."""
        error: PlatformOutcomeUnknownError | None = None
        for _ in range(SETTLE_TRIES):
            try:
                accepted = await self.bundle(own.version)
                current = await self.head()
            except PlatformOutcomeUnknownError as lost:
                error = lost
                continue
            if accepted is not None and accepted.bundle().digest() == own.digest:
                return
            raise RolloutConflictError(_conflict_text(own, current), step="roll out")
        raise error or PlatformOutcomeUnknownError("not settled", step="roll out")


def bundle_key(version: int) -> str:
    """Return the key of an accepted bundle."""
    return f"{BUNDLE_PREFIX}{version:012d}"


def _parent_head(bundle: Bundle) -> bytes | None:
    if bundle.parent_digest == GENESIS_PARENT:
        return None
    return Head(bundle.version - 1, bundle.parent_digest).to_json()


def _conflict_text(own: Head, current: Head | None) -> str:
    if current is None:
        return f"version {own.version} has no parent in force"
    return (
        f"version {own.version} ({own.digest[:12]}) was not accepted: "
        f"the head is version {current.version} ({current.digest[:12]})"
    )
