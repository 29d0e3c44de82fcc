"""Finds out which runners this node does not reach while its peers do, and when it does again.

A broken or silent connection starts a check: this node calls the runner over a new connection,
directly and through a peer at the same time. If only the peer gets through, the path is lost, and
connections go through peers until a direct probe is answered. If the runner answers either call,
it has not crashed and is not silent, whatever its connections to this node suggest.

Without an answer of any peer a check decides nothing: the peers may be unknown to a node that has
just started, or slow. Such a check is repeated while the runner may be suspected for it.
"""

from __future__ import annotations

import asyncio
import enum
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from hillstack.core.runner_paths import RunnerPaths
from hillstack.core.runner_pool import UNREACHABLE_SECONDS
from hillstack.daemon.path_dialer import PathDialer
from hillstack.daemon.relay_targets import RelayTargets
from hillstack.daemon.relayed_link import RelayRoute
from hillstack.logs import rounded_seconds
from hillstack.serving.fleet_state import FleetState

logger = logging.getLogger(__name__)

# Bytes that were in transit when a connection broke are older than this.
SETTLE_SECONDS = 0.03
# A direct call that is answered later than this after the relayed one is not waited for.
DIRECT_ANSWER_SECONDS = 0.15
# Pause between two checks of one path.
CHECK_PAUSE_SECONDS = 0.5
# Answers of peers that are used for a check: a check is about the last moments.
CHECK_ANSWER_SECONDS = 0.1
# Paths checked or probed at a time.
MAX_CONCURRENT_CHECKS = 8
# Interval of the loop that probes lost paths, and of probes of one path.
TICK_SECONDS = 0.1
PROBE_INTERVAL_SECONDS = 0.5
# A lost path that no connection needs is given up after this time.
UNUSED_SECONDS = 30.0


class ProbeResult(enum.Enum):
    """Result of a call over a new connection.

    Attributes:
        SILENT: Nothing answered.
        REFUSED: Nothing listens on the address.
        OTHER: Something answered with a failure.
        OTHER_PROCESS: Another process answered than the one that was called.
        ANSWERED: The process answered.
    """

    SILENT = "silent"
    REFUSED = "refused"
    OTHER = "other"
    OTHER_PROCESS = "other process"
    ANSWERED = "answered"


UNREACHED = frozenset({ProbeResult.SILENT, ProbeResult.REFUSED})


class TargetProbe(Protocol):
    """Calls runners over new connections."""

    async def probe(self, target_id: str, address: str, route: RelayRoute | None) -> ProbeResult:
        """Call a runner.

        Args:
            target_id: The process that should answer.
            address: Its address.
            route: The route through a peer; None for a direct connection.
        """
        ...


AnswerHandler = Callable[[str, float], None]


@dataclass(frozen=True, slots=True)
class _Target:
    target_id: str
    address: str


class PathMonitor:
    """Checks paths that look broken, and probes lost ones until they work again.

    Args:
        state: State of this node.
        paths: Which paths are lost.
        targets: Finds what listens on an address.
        dialer: Knows the routes through peers; reports the paths that it finds lost to the monitor.
        probe: Calls a runner over a new connection.
        record_silent: Called with an address whose idle connections must not be reused.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        state: FleetState,
        paths: RunnerPaths,
        targets: RelayTargets,
        dialer: PathDialer[Any],
        probe: TargetProbe,
        record_silent: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._paths = paths
        self._targets = targets
        self._dialer = dialer
        self._probe = probe
        self._record_silent = record_silent
        self._clock = clock
        self._on_answered: AnswerHandler = lambda runner_id, called_at: None
        self._checked_at: dict[str, float] = {}
        # Addresses that this node does not reach and about which no peer has answered, with the
        # time until which they are checked again.
        self._undecided: dict[str, float] = {}
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)
        dialer.handle_lost_paths(self)

    def handle_answered(self, handler: AnswerHandler) -> None:
        """Set the handler for each runner whose process answers a call, and when it was called."""
        self._on_answered = handler

    def handle_contact(self, address: str) -> None:
        """Record bytes that arrived over a direct connection."""
        self._paths.record_contact(address, self._clock())

    def handle_broken(self, address: str) -> None:
        """Check a path on which a connection broke while an answer was due."""
        self.check(address, "connection broke", after=SETTLE_SECONDS)

    def is_lost(self, address: str) -> bool:
        """Return whether this node reaches an address only through peers."""
        return self._paths.is_lost(address)

    def check(self, address: str, cause: str, after: float = 0.0) -> asyncio.Task[None] | None:
        """Start a check of a path, unless one runs or ran shortly before.

        Args:
            address: Address of the runner.
            cause: Why the path is checked, for the log.
            after: Seconds until the check begins; it is not made if bytes arrive in the meantime.

        Returns:
            The check; None if none was started.
        """
        target = self._claim_check(address)
        if target is None:
            return None
        # The latest relay may be what is silent.
        self._paths.pause_latest_relay(address, self._clock())
        return self._start(address, self._check(target, cause, after))

    def _claim_check(self, address: str) -> _Target | None:
        """Return the target to check now; None if a check runs, or ran shortly before."""
        now = self._clock()
        for checked, at in list(self._checked_at.items()):
            if now >= at + CHECK_PAUSE_SECONDS:
                del self._checked_at[checked]
        target_id = self._targets.target_id(address)
        if address in self._checked_at or address in self._checks or target_id is None:
            return None
        self._checked_at[address] = now
        return _Target(target_id, address)

    def _start(self, address: str, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._checks[address] = task
        task.add_done_callback(lambda _: self._checks.pop(address, None))
        return task

    async def _check(self, target: _Target, cause: str, after: float) -> None:
        began_at = self._clock()
        await asyncio.sleep(after)
        address = target.address
        if self._paths.contact_at(address) > began_at and not self._paths.is_lost(address):
            return
        if not await self._decide(target, cause):
            self.handle_unreached(address)

    async def _check_again(self, target: _Target) -> None:
        if await self._decide(target, "connect: no peer had answered"):
            self._undecided.pop(target.address, None)

    async def _decide(self, target: _Target, cause: str) -> bool:
        """Call a runner directly and through a peer, and handle the result.

        Returns:
            Whether that decides the state of the path: the runner or at least a peer has answered.
        """
        address = target.address
        async with self._slots:
            direct = asyncio.create_task(self._probe_target(target, None))
            try:
                relay_id = await self._first_relay(target)
                timeout = DIRECT_ANSWER_SECONDS if relay_id is not None else None
                await asyncio.wait({direct}, timeout=timeout)
                is_reached = direct.done() and direct.result()
            finally:
                direct.cancel()
        if is_reached:
            self._restore(address)
        elif relay_id is not None:
            self._handle_relayed_only(address, cause, relay_id)
        return is_reached or self._paths.has_relays(address, self._clock())

    async def _probe_target(self, target: _Target, route: RelayRoute | None) -> bool:
        """Call a runner; return whether anything answered."""
        called_at = self._clock()
        result = await self._probe.probe(target.target_id, target.address, route)
        now = self._clock()
        if result in UNREACHED:
            return False
        if route is None:
            self._paths.record_contact(target.address, now)
        runner = self._state.pool.get(target.target_id)
        if runner is not None and result is ProbeResult.ANSWERED:
            self._state.pool.record_contact(runner, now)
            self._on_answered(runner.runner_id, called_at)
        return True

    async def _first_relay(self, target: _Target) -> str | None:
        """Return the first peer through which a runner answers."""
        routes = await self._dialer.routes(target.address, CHECK_ANSWER_SECONDS)
        probes = [asyncio.create_task(self._probe_relay(target, route)) for route in routes]
        try:
            for probe in asyncio.as_completed(probes):
                relay_id = await probe
                if relay_id is not None:
                    return relay_id
            return None
        finally:
            for each in probes:
                each.cancel()

    async def _probe_relay(self, target: _Target, route: RelayRoute) -> str | None:
        """Return the peer of a route if a runner answers through it."""
        if not await self._probe_target(target, route):
            self._paths.pause_relay(route.node_id, target.address, self._clock())
            return None
        self._paths.record_relayed_contact(route.node_id, target.address, self._clock())
        return route.node_id

    def _handle_relayed_only(self, address: str, cause: str, relay_id: str) -> None:
        if self._paths.is_lost(address):
            # The relay used so far has failed, and another one reaches the runner.
            self._give_up_connections(address)
        self._dialer.mark_lost(address, cause, relay_id)

    def handle_lost(self, address: str, cause: str, relay_id: str) -> None:
        """Handle that a path was found lost: check the paths to the service's other runners."""
        self._give_up_connections(address)
        target_id = self._targets.target_id(address)
        siblings = self._targets.siblings(address)
        fields: dict[str, object] = {
            "runner": target_id,
            "cause": cause,
            "relay": relay_id,
            "lost_paths": len(self._paths.lost),
            "runners_of_service": len(siblings) + 1,
        }
        logger.warning("runner not reached, but a peer reaches it", extra=fields)
        still_direct = [each for each in siblings if not self._paths.is_lost(each)]
        if not still_direct:
            logger.warning("no runner of a service reached, but peers reach them", extra=fields)
        for sibling in still_direct:
            self.check(sibling, f"path to {target_id} lost", after=SETTLE_SECONDS)

    def handle_unreached(self, address: str) -> None:
        """Handle that no connection opened: check the path again unless a peer has answered."""
        now = self._clock()
        if not self._paths.has_relays(address, now):
            self._undecided[address] = now + UNREACHABLE_SECONDS

    def _give_up_connections(self, address: str) -> None:
        """Let attempts on silent connections to a runner be abandoned, and reuse none of them."""
        self._record_silent(address)
        runner = self._targets.runner_at(address)
        if runner is not None:
            self._state.pool.note_path_lost(runner, self._clock())

    async def run(self) -> None:
        """Probe lost paths, and check undecided ones again, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock()
            self._check_undecided(now)
            if not self._paths.lost:
                continue
            self._paths.retain(self._targets.addresses(), now)
            for address in self._paths.probes_due(
                now, PROBE_INTERVAL_SECONDS, MAX_CONCURRENT_CHECKS
            ):
                self._start_probe(address, now)

    def _check_undecided(self, now: float) -> None:
        for address, until in list(self._undecided.items()):
            if now >= until or self._paths.is_lost(address):
                del self._undecided[address]
                continue
            target = self._claim_check(address)
            if target is not None:
                self._start(address, self._check_again(target))

    def _start_probe(self, address: str, now: float) -> None:
        target_id = self._targets.target_id(address)
        if target_id is None or now - self._paths.lost[address].used_at >= UNUSED_SECONDS:
            self._restore(address)
        elif address not in self._checks:
            self._start(address, self._probe_directly(_Target(target_id, address)))

    async def _probe_directly(self, target: _Target) -> None:
        async with self._slots:
            if await self._probe_target(target, None):
                self._restore(target.address)

    def _restore(self, address: str) -> None:
        """Let connections to an address be opened directly again."""
        path = self._paths.restore(address)
        if path is None:
            return
        fields = {
            "runner": self._targets.target_id(address),
            "lost_seconds": rounded_seconds(self._clock() - path.since),
            "lost_paths": len(self._paths.lost),
        }
        logger.warning("runner reached directly again", extra=fields)
