"""The sends of one request under permits, and which of them may still crash their runners."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from hillstack.core.crash_ledger import SendOutcome


@dataclass(slots=True)
class PermittedSend:
    """A send under a permit.

    Attributes:
        permit: The ledger's permit, which the store may not have.
        peer_permit: The peer permit; None without one.
        runner_id: The runner; empty before the request was sent.
        abandoned_at: When this node abandoned the run, after which its runner may still crash; None
            if the run is under way or has ended.
        is_over: Whether the run can't crash its runner any more.
    """

    permit: str
    peer_permit: str | None = None
    runner_id: str = ""
    abandoned_at: float | None = None
    is_over: bool = False


@dataclass(slots=True)
class PermittedSends:
    """The sends of a request whose outcome is not recorded in its ledger.

    Attributes:
        sends: The sends under permits.
        crashed_runners: Runners that crashed under the request, also without a permit.
    """

    sends: list[PermittedSend] = field(default_factory=list)
    crashed_runners: set[str] = field(default_factory=set)

    def __bool__(self) -> bool:
        return bool(self.sends or self.crashed_runners)

    def sent(self, runner_id: str) -> None:
        """Record that the request is sent under the latest permit."""
        if self.sends and not self.sends[-1].runner_id and not self.sends[-1].is_over:
            self.sends[-1].runner_id = runner_id

    def finished(self, runner_id: str, now: float, *, may_still_run: bool) -> None:
        """Record that this node's part of the latest send has ended."""
        if not self.sends or self.sends[-1].runner_id != runner_id:
            return
        if may_still_run:
            self.sends[-1].abandoned_at = now
        else:
            self.sends[-1].is_over = True

    def will_not_be_sent(self) -> None:
        """Record that the request is not sent under its unused permits."""
        for send in self.sends:
            send.is_over = send.is_over or not send.runner_id

    def abandoned(self) -> list[PermittedSend]:
        """Return the sends whose runners may still crash although this node abandoned the runs."""
        return [
            send
            for send in self.sends
            if send.abandoned_at is not None
            and not send.is_over
            and send.runner_id not in self.crashed_runners
        ]

    def outcome(
        self, noticed_crashes: Collection[str], has_survived: Callable[[str], bool]
    ) -> SendOutcome:
        """Return what the ledger has to record: the permits that have ended, and the crashes.

        Args:
            noticed_crashes: Runners that crashed under the request according to this node.
            has_survived: Returns whether a runner that seemed to crash has not crashed.
        """
        runners = self.crashed_runners | {
            send.runner_id
            for send in self.sends
            if not send.is_over and send.runner_id in noticed_crashes
        }
        crashed = {name for name in runners if not has_survived(name)}
        ended = {send.permit for send in self.sends if send.is_over or send.runner_id in runners}
        return SendOutcome(frozenset(ended), frozenset(crashed))

    def unused_peer_permits(self, outcome: SendOutcome) -> list[str]:
        """Return the peer permits of the sends that ended without a crash."""
        return [
            send.peer_permit
            for send in self.sends
            if send.peer_permit is not None
            and send.permit in outcome.permits
            and (send.is_over or send.runner_id not in outcome.crashed)
        ]

    def recorded(self, outcome: SendOutcome) -> None:
        """Record that an outcome is in the ledger."""
        self.sends = [send for send in self.sends if send.permit not in outcome.permits]
        self.crashed_runners -= outcome.crashed
