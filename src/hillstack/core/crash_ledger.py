"""The crashes of runners under one request, and the permits for its sends, shared by all nodes.

A request that was running when a runner crashed is sent again only with a permit. Permits are
issued by compare-and-set on the request's ledger in the platform's store, and the last one within
the bound only together with the peer permit (``peer_permits``). While the store does not
answer, that one is the only permit. So the request crashes no more than ``MAX_CRASHES`` runners,
whatever the nodes know of one another. Its tries that were sent before the first crash was known
have no permit; their crashes are counted as well.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Maximum number of runners that one request may crash.
MAX_CRASHES = 3
# Crashes and permits, together, up to which a ledger alone issues permits. The last send within the
# bound needs the peer permit (``peer_permits``) as well, which nodes get without the store too. So
# it is sent once, with or without the store.
MAX_LEDGER_CRASHES = MAX_CRASHES - 1
# Longest time for which a ledger is stored after its last change. After that a request counts as
# new, as it does when its verdict expires. It is shorter than the time to the first trial of a
# fatal request (``runner_crashes.FATAL_REFUSAL_SECONDS``), which would not get a permit.
MAX_RETENTION_SECONDS = 58.0
# All ledgers that a node writes within this time share a lease, so some are stored this much
# shorter.
LEASE_REUSE_SECONDS = 10.0
# How long a node keeps a ledger that the store has no longer, unless a success cleared its name. A
# store that is restored from an older copy lacks ledgers until nodes have written them again.
MISSING_LEDGER_SECONDS = 10.0
# Maximum number of ledgers that a node knows. The oldest are forgotten first.
MAX_KNOWN_LEDGERS = 4_096


@dataclass(frozen=True, slots=True)
class SendOutcome:
    """The outcome of a request's sends that have ended.

    Attributes:
        permits: Permits of the sends.
        crashed: Runners that crashed under them, also under a send without a permit.
    """

    permits: frozenset[str] = frozenset()
    crashed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CrashLedger:
    """The ledger of one request.

    Attributes:
        crashed: Runners that crashed under the request.
        permits: Identifiers of the sends under way, each of which may crash a runner.
    """

    crashed: frozenset[str] = frozenset()
    permits: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        return bool(self.crashed or self.permits)

    def is_exhausted(self, known_crashed: Iterable[str]) -> bool:
        """Return whether no further send is allowed, whatever the sends under way come to."""
        return len(self.crashed.union(known_crashed)) >= MAX_CRASHES

    def allows_send(
        self,
        known_crashed: Iterable[str],
        *,
        alone: bool,
        own_permits: frozenset[str] = frozenset(),
    ) -> bool:
        """Return whether a further send is within the bound.

        Args:
            alone: Whether the send is only allowed if no other one is under way.
            known_crashed: Runners that crashed under the request according to this node, some of
                which the ledger may not contain yet.
            own_permits: Permits of earlier sends that this one replaces, which don't count as under
                way, but as possible crashes.
        """
        if alone and self.permits - own_permits:
            return False
        return self._possible_crashes(known_crashed) < MAX_CRASHES

    def needs_peers(self, known_crashed: Iterable[str]) -> bool:
        """Return whether a further send would be the last one, which needs the peer permit."""
        return self._possible_crashes(known_crashed) >= MAX_LEDGER_CRASHES

    def _possible_crashes(self, known_crashed: Iterable[str]) -> int:
        return len(self.crashed.union(known_crashed)) + len(self.permits)

    def with_permit(self, permit: str) -> CrashLedger:
        """Return the ledger with a further send under way."""
        return CrashLedger(self.crashed, self.permits | {permit})

    def with_outcome(self, outcome: SendOutcome) -> CrashLedger:
        """Return the ledger after sends have ended."""
        return CrashLedger(self.crashed | outcome.crashed, self.permits - outcome.permits)

    def without_survivors(self, has_survived: Callable[[str], bool]) -> CrashLedger:
        """Return the ledger without the runners that turned out not to have crashed."""
        crashed = frozenset(name for name in self.crashed if not has_survived(name))
        return CrashLedger(crashed, self.permits)


class KnownLedgers:
    """The ledgers according to the changes of the store that this node has applied.

    Args:
        retention_seconds: How long a ledger is stored after its last change at most.
    """

    def __init__(self, retention_seconds: float = MAX_RETENTION_SECONDS) -> None:
        self._retention = retention_seconds
        # Each ledger with the time at which it expires.
        self._known: OrderedDict[int, tuple[CrashLedger, float]] = OrderedDict()
        # Since when this node knows that a ledger contains a runner, by ledger and runner.
        self._named_at: dict[int, dict[str, float]] = {}
        # Ledgers that the store has no longer.
        self._missing: set[int] = set()

    def __bool__(self) -> bool:
        return bool(self._known)

    def update(self, fingerprint: int, ledger: CrashLedger | None, now: float) -> None:
        """Apply a change of the store; None if there is no ledger any more."""
        named_at = self._named_at.get(fingerprint, {})
        self._remove(fingerprint)
        if ledger is not None:
            self._known[fingerprint] = ledger, now + self._retention
            self._named_at[fingerprint] = {name: named_at.get(name, now) for name in ledger.crashed}
        while len(self._known) > MAX_KNOWN_LEDGERS:
            self._remove(next(iter(self._known)))

    def note_missing(self, fingerprint: int, now: float) -> None:
        """Keep a ledger only for a while that the store has no longer."""
        ledger, expires_at = self._known.get(fingerprint, (None, -math.inf))
        if ledger is not None:
            self._known[fingerprint] = ledger, min(expires_at, now + MISSING_LEDGER_SECONDS)
            self._missing.add(fingerprint)

    def is_missing(self, fingerprint: int) -> bool:
        """Return whether the store has a known ledger no longer."""
        return fingerprint in self._missing

    def unchanged_for(self, seconds: float, now: float) -> list[tuple[int, CrashLedger]]:
        """Return the ledgers in the store whose latest change this node applied so long ago."""
        latest_expiry = now + self._retention - seconds
        return [
            (name, ledger)
            for name, (ledger, expires_at) in self._known.items()
            if expires_at <= latest_expiry and name not in self._missing
        ]

    def crashes(self, fingerprint: int, latest_contact: Callable[[str], float]) -> dict[str, float]:
        """Return the crashed runners in a ledger, and since when this node knows of them.

        Args:
            fingerprint: The request or part.
            latest_contact: Returns the time of the latest contact with a runner. Later contact than
                the entry shows that the runner has not crashed, and leaves it out.
        """
        named_at = self._named_at.get(fingerprint, {})
        return {name: at for name, at in named_at.items() if latest_contact(name) < at}

    def survivors(self, fingerprint: int, latest_contact: Callable[[str], float]) -> set[str]:
        """Return the runners in a ledger that have not crashed (see ``crashes``)."""
        named_at = self._named_at.get(fingerprint, {})
        return named_at.keys() - self.crashes(fingerprint, latest_contact).keys()

    def names(self) -> list[int]:
        """Return the requests or parts that have ledgers."""
        return list(self._known)

    def expire(self, now: float) -> list[int]:
        """Forget the ledgers that have expired; return their requests or parts."""
        expired = [name for name, (_, expires_at) in self._known.items() if now >= expires_at]
        for name in expired:
            self._remove(name)
        return expired

    def get(self, fingerprint: int, now: float) -> CrashLedger | None:
        """Return the ledger of a request, or None if it has none."""
        ledger, expires_at = self._known.get(fingerprint, (None, -math.inf))
        return ledger if now < expires_at else None

    def _remove(self, fingerprint: int) -> None:
        self._known.pop(fingerprint, None)
        self._named_at.pop(fingerprint, None)
        self._missing.discard(fingerprint)
