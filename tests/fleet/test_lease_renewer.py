"""The loop that renews the lease on a duty."""

from __future__ import annotations

from typing import Any

from hillstack.daemon.lease_renewer import RENEW_SECONDS, LeaseRenewer
from hillstack.errors import PlatformOutcomeUnknownError
from hillstack.simulation.virtual_loop import Scheduler


class UnansweredLease:
    """A held lease that ends while its renewal gets no answer."""

    def __init__(self) -> None:
        self.has_ended = False

    def fence(self) -> int | None:
        return None if self.has_ended else 7

    async def renew_or_acquire(self) -> None:
        self.has_ended = True
        raise PlatformOutcomeUnknownError("no answer", step="renew lease", peer="store")


class NoSlot:
    """A node whose turn to acquire the duty has not begun."""

    async def has_begun(self) -> bool:
        return False


# Guards against a duty that counts as held after its lease has ended during a failed renewal.
def test_a_duty_is_not_held_after_a_failed_renewal_of_an_ended_lease() -> None:
    scheduler = Scheduler()
    lease: Any = UnansweredLease()
    slot: Any = NoSlot()
    held: list[bool] = []
    scheduler.spawn(scheduler.new_loop(), LeaseRenewer(lease, slot, held.append).run())
    scheduler.run_until(RENEW_SECONDS + 0.01)
    scheduler.close()
    assert held == [False]
