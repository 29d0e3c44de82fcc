"""Rendezvous hashing: chooses the owner of a key among nodes, stable as nodes join and leave."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def score(key: str, node_id: str) -> int:
    """Return the weight of a node for a key."""
    return xxh3_64_intdigest(f"{key}\x00{node_id}".encode())


def owner(key: str, node_ids: Iterable[str]) -> str | None:
    """Return the node with the highest score, or None when there are no nodes."""
    return max(node_ids, key=lambda node_id: (score(key, node_id), node_id), default=None)


def ranked(key: str, node_ids: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of their score."""
    return sorted(node_ids, key=lambda node_id: (score(key, node_id), node_id), reverse=True)
