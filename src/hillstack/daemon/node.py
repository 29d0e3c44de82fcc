"""One router node: its state and the background tasks that update it."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Coroutine

from hillstack.config.bundle import Bundle
from hillstack.config.settings import RouterSettings
from hillstack.core.bundle_index import BundleIndex, index_bundle
from hillstack.core.cache_index import CacheIndex
from hillstack.core.control import ControlState
from hillstack.core.fleet import Fleet
from hillstack.core.membership import Datagram, Membership, MembershipTiming
from hillstack.core.placement.base import Placement
from hillstack.core.request_router import MAX_NOTIFIED_PEERS, CompletionRequest, RequestRouter
from hillstack.core.rollout import BundleAdopter
from hillstack.daemon.backend_watch import BackendWatch
from hillstack.daemon.background_tasks import BackgroundTasks
from hillstack.daemon.bundle_sync import BundleSync
from hillstack.daemon.claim_coordinator import ClaimCoordinator
from hillstack.daemon.metrics import RouterMetrics
from hillstack.daemon.ports import Backends, Environment
from hillstack.daemon.weights_duty import WeightsDuty
from hillstack.errors import PeerError
from hillstack.logs import error_fields
from hillstack.messages.types import (
    Ack,
    Failure,
    FillNotice,
    MachineListRequest,
    Member,
    MemberState,
    Message,
    Ping,
    PingRequest,
    SyncDigest,
    SyncReply,
    SyncRequest,
)

logger = logging.getLogger(__name__)

TICKS_PER_PROBE_INTERVAL = 4
SYNC_TIMEOUT_SECONDS = 2.0
SYNC_INTERVAL_SECONDS = 30.0
SYNC_RETRY_SECONDS = 0.5
SYNC_FAN_OUT = 2
REFRESH_TIMEOUT_SECONDS = 1.0
# Task without which the node does not follow the bundles in force.
BUNDLE_TASK = "bundle_poll"
MILLISECONDS = 1_000


class Node:
    """The state of one router, and its background tasks.

    Args:
        settings: Validated settings.
        environment: Clocks, randomness and transports.
        fleet: Back ends and their load.
        index: Estimated contents of the engines' caches.
    """

    def __init__(
        self,
        settings: RouterSettings,
        environment: Environment,
        fleet: Fleet,
        index: CacheIndex,
    ) -> None:
        self.settings = settings
        self.rng = environment.rng
        self.clock = environment.clock
        self.wall_clock = environment.wall_clock
        self.metrics = RouterMetrics()
        self.fleet = fleet
        self.index = index
        self.adopter = BundleAdopter(settings.trust, settings.node.zone)
        timing = MembershipTiming(
            settings.peers.probe_interval_seconds, settings.peers.suspect_seconds
        )
        self.membership = Membership(self._own_member(), settings.peers.seeds, timing, self.rng)
        self.started = self.membership.own.incarnation
        self.control = ControlState(self.membership, self.adopter, self.clock())
        self.router: RequestRouter | None = None
        self.bundle_index: BundleIndex | None = None
        self.stopping = False
        self._environment = environment
        self.coordinator = ClaimCoordinator(self.control, environment.peers, self.wall_clock)
        self._bundles = BundleSync(
            self.adopter,
            self.membership,
            environment.peers,
            environment.key_value,
            self._on_bundle,
            settings.platform.bundle_poll_seconds,
            self.clock,
            self.rng,
        )
        self._backend_watch = BackendWatch(
            fleet,
            index,
            environment,
            settings.platform.machine_poll_seconds,
            settings.backends.load_poll_seconds,
            self._any_peer,
        )
        self._weights = WeightsDuty(self.control, fleet, environment)
        self._tasks = BackgroundTasks(environment.clock)
        # Tasks that end by themselves.
        self._short_tasks: set[asyncio.Task[None]] = set()

    @property
    def backends(self) -> Backends:
        """Client for requests to back ends."""
        return self._environment.backends

    @property
    def gossip_bytes_sent(self) -> int:
        """Bytes of gossip sent so far."""
        return self._environment.peers.gossip_bytes_sent

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, if any."""
        return self.control.bundle

    def announce_fill(self, request: CompletionRequest, placement: Placement) -> None:
        """Announce a prefill that was just sent to some other nodes, preferring the local zone."""
        notice = self.router.fill_of(request, placement) if self.router else None
        if notice is None:
            return
        own = self.membership.own
        peers = [member for member in self.membership.serving() if member.node_id != own.node_id]
        self.rng.shuffle(peers)
        peers.sort(key=lambda member: member.zone != own.zone)
        for member in peers[:MAX_NOTIFIED_PEERS]:
            self._environment.peers.gossip(member.address, notice)

    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self.router is not None and not self.stopping and not self._tasks.failing()

    async def start(self) -> None:
        """Open sockets and start all tasks."""
        await self._environment.listen(self._on_peer_request, self._on_gossip)
        self._spawn(self._bundles.first_bundle(self.settings.peers.seeds))
        for name, run in (
            (BUNDLE_TASK, self._bundles.poll),
            ("bundle_watch", self._bundles.watch),
            ("backends", self._backend_watch.run),
            ("weights", self._weights.run),
            ("membership", self._run_membership),
            ("member_sync", self._run_sync),
        ):
            # Without the others, requests are still served by the bundle in force.
            self._tasks.start(name, run, is_required=name == BUNDLE_TASK)

    async def leave(self) -> None:
        """Release duties and announce that this node leaves; it still serves requests."""
        self.stopping = True
        await self._weights.release_on_stop()
        self._send(self.membership.leave())

    async def stop(self) -> None:
        """Cancel all tasks and close all sockets."""
        for task in self._short_tasks:
            task.cancel()
        await asyncio.gather(*self._short_tasks, return_exceptions=True)
        await self._tasks.cancel()
        await self._environment.close()

    def _own_member(self) -> Member:
        settings = self.settings
        return Member(
            node_id=settings.node.id,
            region=settings.node.region,
            zone=settings.node.zone,
            address=settings.listen.peers,
            incarnation=int(self.wall_clock() * MILLISECONDS),
            state=MemberState.ALIVE,
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run work that ends by itself."""
        task = asyncio.create_task(work)
        task.add_done_callback(_log_failure)
        task.add_done_callback(self._short_tasks.discard)
        self._short_tasks.add(task)

    def _on_bundle(self) -> None:
        bundle = self.bundle
        assert bundle is not None
        self.bundle_index = index_bundle(bundle)
        self.membership.set_bundle_version(bundle.version)
        self.metrics.bundle_version.set(bundle.version)
        if self.router is None:
            zone = self.settings.node.zone
            self.router = RequestRouter(bundle, self.fleet, self.index, zone, self.rng)
        else:
            self.router.apply_bundle(bundle)

    async def _run_membership(self) -> None:
        interval = self.settings.peers.probe_interval_seconds / TICKS_PER_PROBE_INTERVAL
        while True:
            now = self.clock()
            if self.fleet.heartbeat(now):
                logger.warning("resumed after a pause")
                self._spawn(self._refresh_after_pause())
            self.membership.leaving = self.fleet.leaving_notices()
            self._send(self.control.on_tick(now, self.wall_clock()))
            self.index.expire(now)
            await asyncio.sleep(interval)

    async def _refresh_after_pause(self) -> None:
        """Refresh the machine list and the members after a pause, with a timeout."""
        targets = [self._sync_with(address) for address in self._sync_targets()]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFRESH_TIMEOUT_SECONDS):
                await asyncio.gather(self._backend_watch.read_machines(), *targets)
        self.fleet.refreshed()

    async def _run_sync(self) -> None:
        """Exchange complete member lists at startup, later only with peers whose digest differs."""
        sync = self._sync_with
        while True:
            reached = [await sync(address) for address in self._sync_targets()]
            if any(reached):
                sync = self._compare_with
            pause = SYNC_INTERVAL_SECONDS if any(reached) else SYNC_RETRY_SECONDS
            await asyncio.sleep(pause * (0.5 + self.rng.random()))

    def _any_peer(self) -> str | None:
        targets = self._sync_targets()
        return targets[0] if targets else None

    def _sync_targets(self) -> list[str]:
        own = self.settings.listen.peers
        serving = [member.address for member in self.membership.serving()]
        candidates = [address for address in serving if address != own]
        if not candidates:
            candidates = [seed for seed in self.settings.peers.seeds if seed != own]
        return self.rng.sample(candidates, min(SYNC_FAN_OUT, len(candidates)))

    async def _compare_with(self, address: str) -> bool:
        """Exchange member lists with a node if the digests differ; a digest is much smaller."""
        try:
            digest = self.membership.digest()
            reply = await self._call(address, SyncDigest(digest))
        except PeerError as error:
            logger.debug("could not compare member lists", extra=error_fields(error))
            return False
        if isinstance(reply, SyncDigest) and reply.digest == digest:
            return True
        return await self._sync_with(address)

    async def _call(self, address: str, message: Message) -> Message:
        return await self._environment.peers.call(address, message, SYNC_TIMEOUT_SECONDS)

    async def _sync_with(self, address: str) -> bool:
        try:
            reply = await self._call(address, SyncRequest(self.membership.snapshot()))
        except PeerError as error:
            logger.debug("could not exchange member lists", extra=error_fields(error))
            return False
        if not isinstance(reply, SyncReply):
            return False
        self.fleet.observe_notices(reply.leaving)
        self.control.on_synchronized(reply.members, self.clock(), self.wall_clock())
        return True

    def _on_gossip(self, message: Message, address: str) -> None:
        if isinstance(message, FillNotice) and self.router is not None:
            self.router.observe_fill(message, self.clock())
        if not isinstance(message, Ping | Ack | PingRequest):
            return
        effects = self.control.on_gossip(message, address, self.clock(), self.wall_clock())
        self._send(effects)
        self.fleet.observe_notices(message.leaving)
        self._bundles.on_announced(address, message.sender.bundle_version)

    async def _on_peer_request(self, message: Message, address: str) -> Message:
        if isinstance(message, MachineListRequest):
            return self._backend_watch.machine_list() or Failure("no machine list yet")
        return self.control.on_request(message, self.clock(), self.wall_clock())

    def _send(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self._environment.peers.gossip(datagram.address, datagram.message)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("background task failed", exc_info=task.exception())
