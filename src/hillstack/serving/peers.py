"""Notices to other nodes that serving a request causes."""

from __future__ import annotations

from typing import Protocol

from hillstack.core.runner_pool import Runner
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.messages.runner_ends import RunnerEndNotice


class PeerNotifier(Protocol):
    """Queues notices for the peers and sends them in batches soon after, without a guarantee."""

    def placed(self, notice: PlacementNotice) -> None:
        """Report a request that was sent to a runner."""
        ...

    def prompt_prefilled(self, number: int) -> None:
        """Report that the prompt of the placement with this number is prefilled."""
        ...

    def load_changed(self, runner: Runner) -> None:
        """Report that this node's load on a runner has changed."""
        ...

    def suspected(self, runner: Runner) -> None:
        """Report that a runner is silent or accepts no connections."""
        ...

    def report_runner_crash(self, notice: RunnerEndNotice) -> None:
        """Report immediately that a runner crashed while it ran requests of this node."""
        ...

    def send_runner_crashes(self, node_id: str, notices: list[RunnerEndNotice]) -> None:
        """Report runner crashes to one peer."""
        ...
