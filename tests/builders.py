"""Builders of bundles, keysets and members for tests."""

from __future__ import annotations

from typing import Any

from hillstack.config.bundle import Bundle, Keyset
from hillstack.config.signing import SignedBundle, generate_key, sign
from hillstack.messages.types import Member, MemberState

ZONES = ("zone-a", "zone-b", "zone-c")


class Signers:
    """Partners with generated keys that sign bundles."""

    def __init__(self, names: tuple[str, ...] = ("alpha", "beta"), version: int = 1) -> None:
        pairs = {name: generate_key() for name in names}
        self.private = {name: pair[0] for name, pair in pairs.items()}
        public = {name: pair[1] for name, pair in pairs.items()}
        self.keyset = Keyset(version=version, threshold=len(names), keys=public)

    def sign(self, bundle: Bundle, names: tuple[str, ...] | None = None) -> SignedBundle:
        """Return the bundle with the signatures of the named partners, by default of all."""
        unsigned = SignedBundle(payload=bundle.canonical().decode())
        signatures = tuple(
            sign(unsigned.signed_bytes(), name, self.private[name])
            for name in names or tuple(self.private)
        )
        return unsigned.model_copy(update={"signatures": signatures})


def make_bundle(**changes: Any) -> Bundle:
    """Return a small valid bundle with some fields changed."""
    content: dict[str, Any] = {
        "version": 1,
        "deployment": "test",
        "zones": ZONES,
        "block_tokens": 100,
        "partners": [{"name": "alpha", "share": 1.0}, {"name": "beta", "share": 1.0}],
        "tenants": [
            {"name": "tenant-a", "partner": "alpha", "key_hash": "a" * 64},
            {"name": "tenant-b", "partner": "beta", "key_hash": "b" * 64},
        ],
        "models": [{"name": "model", "pool": "engines", "weights_version": 1}],
        "pools": [
            {"name": "engines", "kind": "engine"},
            {"name": "applications", "kind": "application"},
        ],
        "priorities": [
            {"name": "urgent", "level": 0, "urgent": True},
            {"name": "normal", "level": 10},
        ],
        "routes": [
            {
                "name": "book",
                "method": "POST",
                "path": "/bookings",
                "pool": "applications",
                "repeatable": False,
                "priority": "normal",
            },
            {
                "name": "look-up",
                "method": "GET",
                "path": "/bookings",
                "pool": "applications",
                "repeatable": True,
                "priority": "urgent",
            },
        ],
    }
    return Bundle.model_validate(content | changes)


def child_of(parent: Bundle, **changes: Any) -> Bundle:
    """Return the next version of a bundle, which names the given one as its parent."""
    content = {
        "version": parent.version + 1,
        "parent_digest": parent.digest(),
        "signed_by_keyset": parent.keyset_version,
    }
    return Bundle.model_validate(parent.model_dump() | content | changes)


def make_member(node_id: str, zone: str = "zone-a", **changes: Any) -> Member:
    """Return a member in state ``ALIVE``."""
    fields: dict[str, Any] = {
        "node_id": node_id,
        "region": "region",
        "zone": zone,
        "address": f"127.0.0.1:{7000 + sum(node_id.encode())}",
        "incarnation": 1,
        "state": MemberState.ALIVE,
    }
    return Member(**(fields | changes))
