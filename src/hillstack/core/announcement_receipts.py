"""Which nodes have reported that they know an announced weights version."""

from __future__ import annotations

from collections.abc import Iterable


class AnnouncementReceipts:
    """The newest version of each model that each node has reported to know."""

    def __init__(self) -> None:
        self._versions: dict[tuple[str, str], int] = {}

    def note(self, node_id: str, model: str, version: int) -> None:
        """Record that a node knows a version."""
        key = (node_id, model)
        self._versions[key] = max(version, self._versions.get(key, 0))

    def all_know(self, node_ids: Iterable[str], model: str, version: int) -> bool:
        """Return whether all of the nodes know a version or a newer one."""
        return all(self._versions.get((node_id, model), 0) >= version for node_id in node_ids)

    def forget(self, node_id: str) -> None:
        """Drop what a removed node has reported."""
        self._versions = {key: each for key, each in self._versions.items() if key[0] != node_id}
