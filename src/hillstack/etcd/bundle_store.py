"""Stores bundles in the key-value service: a head and the history of accepted bundles.

The head holds the version and the digest of the latest accepted bundle. A roll-out writes the new
head and the new bundle in one transaction, conditional on the head still being the parent of the
new bundle. The roll-out is therefore atomic, and only one of several concurrent roll-outs succeeds.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

from hillstack.config.bundle import GENESIS_PARENT, Bundle
from hillstack.config.signing import SignedBundle, parse_signed_bundle
from hillstack.daemon.key_value import Put, ValueIs
from hillstack.daemon.ports import KeyValue
from hillstack.decoding import parse_json
from hillstack.errors import (
    BundleError,
    PlatformOutcomeUnknownError,
    RolloutConflictError,
)

HEAD_KEY = "/hillstack/head"
BUNDLE_PREFIX = "/hillstack/bundles/"
OUTCOME_READ_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class Head:
    """Version and digest of the latest accepted bundle."""

    version: int
    digest: str

    def to_json(self) -> bytes:
        """Return the head as JSON, as stored in the key-value service."""
        return json.dumps({"version": self.version, "digest": self.digest}).encode()


def parse_head(value: bytes) -> Head:
    """Parse a stored head.

    Raises:
        BundleError: The head is malformed.
    """
    try:
        content = parse_json(value)
        return Head(int(content["version"]), str(content["digest"]))
    except (ValueError, KeyError, TypeError) as error:
        raise BundleError(f"malformed head: {error!r}", step="read head") from error


class BundleStore:
    """Reads bundles from the key-value service and rolls out new ones."""

    def __init__(self, client: KeyValue) -> None:
        self._client = client

    async def head(self) -> Head | None:
        """Return the head, or None before the first roll-out."""
        entry = await self._client.get(HEAD_KEY)
        return parse_head(entry.value) if entry else None

    async def bundle(self, version: int) -> SignedBundle | None:
        """Return the accepted bundle with the given version, or None if there is none."""
        entry = await self._client.get(bundle_key(version))
        return parse_signed_bundle(entry.value, entry.key) if entry else None

    async def latest(self) -> SignedBundle | None:
        """Return the accepted bundle that the head refers to, or None before the first roll-out."""
        head = await self.head()
        return await self.bundle(head.version) if head else None

    async def history(self, limit: int) -> list[SignedBundle]:
        """Return the newest accepted bundles, newest first."""
        entries = await self._client.list_prefix(BUNDLE_PREFIX, limit)
        return [parse_signed_bundle(entry.value, entry.key) for entry in entries]

    async def roll_out(self, signed: SignedBundle, bundle: Bundle) -> None:
        """Make a bundle the head if its parent is the current head.

        If the answer to the transaction is lost, the outcome is determined by reading the digest
        that is stored for the bundle's version.

        Raises:
            RolloutConflictError: Another bundle is the head; the message names that bundle.
            PlatformOutcomeUnknownError: It is unknown whether the roll-out took effect.
            PlatformError: The roll-out did not take effect.
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
            await self._resolve_outcome(head)

    async def _resolve_outcome(self, proposed: Head) -> None:
        """Return if the proposed bundle was accepted; otherwise raise an error with the head."""
        error: PlatformOutcomeUnknownError | None = None
        for _ in range(OUTCOME_READ_ATTEMPTS):
            try:
                accepted = await self.bundle(proposed.version)
                current = await self.head()
            except PlatformOutcomeUnknownError as caught:
                error = caught
                continue
            if accepted is not None and accepted.bundle().digest() == proposed.digest:
                return
            raise RolloutConflictError(_conflict_text(proposed, current), step="roll out")
        raise error or PlatformOutcomeUnknownError("outcome not determined", step="roll out")


def bundle_key(version: int) -> str:
    """Return the key under which the accepted bundle of a version is stored."""
    return f"{BUNDLE_PREFIX}{version:012d}"


def _parent_head(bundle: Bundle) -> bytes | None:
    if bundle.parent_digest == GENESIS_PARENT:
        return None
    return Head(bundle.version - 1, bundle.parent_digest).to_json()


def _conflict_text(proposed: Head, current: Head | None) -> str:
    if current is None:
        return f"version {proposed.version} has no parent in force"
    return (
        f"version {proposed.version} ({proposed.digest[:12]}) was not accepted: "
        f"the head is version {current.version} ({current.digest[:12]})"
    )
