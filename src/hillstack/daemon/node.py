"""One router node: its state and the tasks that keep it up to date."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Coroutine
from random import Random, SystemRandom

from hillstack.addresses import split_address
from hillstack.backends.http_client import BackendClient
from hillstack.config.bundle import Bundle
from hillstack.config.settings import RouterSettings
from hillstack.core.bundle_index import BundleIndex, index_bundle
from hillstack.core.cache_index import CacheIndex
from hillstack.core.claims import ClaimLimits, ClaimTable, OwnershipHistory
from hillstack.core.fleet import Fleet
from hillstack.core.membership import Datagram, Membership, MembershipTiming
from hillstack.core.request_router import RequestRouter
from hillstack.core.rollout import BundleAdopter
from hillstack.daemon.backend_watch import BackendWatch
from hillstack.daemon.bundle_sync import BundleSync
from hillstack.daemon.claim_coordinator import ClaimCoordinator, apply_to_table
from hillstack.daemon.metrics import RouterMetrics
from hillstack.daemon.peer_transport import GossipProtocol, PeerClient, PeerServer
from hillstack.errors import PeerError
from hillstack.logs import error_fields
from hillstack.messages.codec import Codec
from hillstack.messages.types import (
    Ack,
    BundleReply,
    BundleRequest,
    ClaimComplete,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Done,
    Failure,
    Member,
    MemberState,
    Message,
    Ping,
    PingRequest,
    SyncReply,
    SyncRequest,
)
from hillstack.platform.key_value import KeyValueClient

logger = logging.getLogger(__name__)

TICKS_PER_PROBE_INTERVAL = 4
SYNC_TIMEOUT_SECONDS = 2.0
SYNC_INTERVAL_SECONDS = 30.0
FIRST_SYNC_RETRY_SECONDS = 0.5
MILLISECONDS = 1_000


class Node:
    """The state of one router, and its background tasks.

    Args:
        settings: Checked settings.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.rng = Random(SystemRandom().getrandbits(64))
        self.metrics = RouterMetrics()
        self.fleet = Fleet()
        self.index = CacheIndex()
        self.adopter = BundleAdopter(settings.trust, settings.node.zone)
        self.membership = Membership(
            self._own_member(),
            settings.peers.seeds,
            MembershipTiming(settings.peers.probe_interval_seconds, settings.peers.suspect_seconds),
            self.rng,
        )
        self._ownership = OwnershipHistory(settings.node.id)
        self._refutations = 0
        self.claims = ClaimTable(self._ownership)
        self.router: RequestRouter | None = None
        self.bundle_index: BundleIndex | None = None
        self.stopping = False
        codec = Codec(bytes.fromhex(settings.peers.key))
        self.gossip = GossipProtocol(codec, self._on_gossip)
        self._peer_server = PeerServer(codec, self._on_peer_request)
        self._peer_client = PeerClient(codec)
        self.coordinator = ClaimCoordinator(
            self.membership, self.claims, self._peer_client, self.wall_clock
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._backends: BackendClient | None = None
        self._bundles: BundleSync | None = None
        self._majority_seen_at = self.clock()

    @staticmethod
    def clock() -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    @staticmethod
    def wall_clock() -> float:
        """Return seconds since the epoch."""
        return time.time()

    @property
    def backends(self) -> BackendClient:
        """The client of the back ends; only while started."""
        assert self._backends is not None
        return self._backends

    @property
    def bundle(self) -> Bundle | None:
        """The bundle in force, if any."""
        current = self.adopter.current
        return current.bundle if current else None

    def is_ready(self) -> bool:
        """Return whether requests can be served."""
        return self.router is not None and not self.stopping

    def claim_limits(self, bundle: Bundle) -> ClaimLimits:
        """Return the claim limits of a bundle."""
        claims = bundle.claims
        return ClaimLimits(claims.horizon_seconds, claims.max_clock_skew_seconds)

    def is_too_stale(self, bundle: Bundle) -> bool:
        """Return whether this node was cut off for so long that the bundle bids it to refuse."""
        if bundle.staleness.action == "serve":
            return False
        return self.clock() - self._majority_seen_at > bundle.staleness.after_seconds

    async def start(self) -> None:
        """Open sockets and start all tasks."""
        settings = self.settings
        self._backends = BackendClient(
            settings.backends.connect_timeout_seconds, settings.backends.silence_timeout_seconds
        )
        session = self._backends.session
        key_value = KeyValueClient(settings.platform.key_value, session)
        self._bundles = BundleSync(
            self.adopter,
            self.membership,
            self._peer_client,
            key_value,
            self._on_bundle,
            settings.platform.bundle_poll_seconds,
            self.clock,
            self.rng,
        )
        watch = BackendWatch(
            self.fleet,
            self.index,
            session,
            settings.platform.machine_list,
            settings.platform.machine_poll_seconds,
            settings.backends.load_poll_seconds,
            self.clock,
            self.rng,
        )
        await self._listen()
        self._spawn(self._bundles.first_bundle(settings.peers.seeds))
        self._spawn(self._bundles.poll())
        self._spawn(self._bundles.watch())
        self._spawn(watch.run())
        self._spawn(self._run_membership())
        self._spawn(self._run_sync())

    async def leave(self) -> None:
        """Tell the others that this node leaves; it keeps serving."""
        self.stopping = True
        self._send(self.membership.leave())

    async def stop(self) -> None:
        """End all tasks and close all sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.gossip.close()
        await self._peer_client.close()
        await self._peer_server.close()
        if self._backends is not None:
            await self._backends.close()

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

    async def _listen(self) -> None:
        address = self.settings.listen.peers
        await self._peer_server.start(address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.gossip, local_addr=split_address(address))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_failure)
        self._tasks.append(task)

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
            self._send(self.membership.on_tick(now))
            self._after_membership_change()
            self.index.expire(now)
            await asyncio.sleep(interval)

    async def _run_sync(self) -> None:
        """Exchange whole member lists: with the seeds at the start, then now and then."""
        while True:
            serving = [m.address for m in self.membership.serving() if m is not self.membership.own]
            candidates = serving or list(self.settings.peers.seeds)
            reached = [await self._sync_with(address) for address in self._sample(candidates)]
            pause = SYNC_INTERVAL_SECONDS if any(reached) else FIRST_SYNC_RETRY_SECONDS
            await asyncio.sleep(pause * (0.5 + self.rng.random()))

    def _sample(self, addresses: list[str]) -> list[str]:
        return self.rng.sample(addresses, min(2, len(addresses)))

    async def _sync_with(self, address: str) -> bool:
        if address == self.settings.listen.peers:
            return False
        try:
            request = SyncRequest(self.membership.snapshot())
            reply = await self._peer_client.call(address, request, SYNC_TIMEOUT_SECONDS)
        except PeerError as error:
            logger.debug("no member list", extra=error_fields(error))
            return False
        if not isinstance(reply, SyncReply):
            return False
        self.membership.on_synchronized(reply.members, self.clock())
        return True

    def _on_gossip(self, message: Message, address: str) -> None:
        if not isinstance(message, Ping | Ack | PingRequest):
            return
        now = self.clock()
        self._send(self.membership.on_message(message, address, now))
        self._after_membership_change()
        if self._bundles is not None:
            self._bundles.on_announced(address, message.sender.bundle_version)

    def _after_membership_change(self) -> None:
        """Bring what depends on the member list up to date."""
        membership = self.membership
        now_wall = self.wall_clock()
        if membership.refutations != self._refutations:
            self._refutations = membership.refutations
            self._ownership.restart(now_wall)
        by_zone = membership.by_zone()
        if membership.is_known_to_zone():
            self._ownership.record(by_zone.get(membership.own.zone, []), now_wall)
        bundle = self.bundle
        if bundle is None:
            return
        self._ownership.trim(now_wall - 2 * bundle.claims.horizon_seconds)
        if sum(1 for zone in bundle.zones if by_zone.get(zone)) > len(bundle.zones) // 2:
            self._majority_seen_at = self.clock()
        self.claims.expire(now_wall, self.claim_limits(bundle))

    async def _on_peer_request(self, message: Message, address: str) -> Message:
        if isinstance(message, SyncRequest):
            self.membership.merge(message.members, self.clock())
            return SyncReply(self.membership.snapshot())
        if isinstance(message, BundleRequest):
            return self._bundle_reply(message)
        if isinstance(message, ClaimRequest):
            return self._claim_reply(message)
        if isinstance(message, ClaimRelease | ClaimComplete):
            apply_to_table(self.claims, message)
            return Done()
        return Failure(f"unexpected message {type(message).__name__}")

    def _bundle_reply(self, request: BundleRequest) -> BundleReply:
        current = self.adopter.current
        if current is None or current.bundle.version <= request.above_version:
            return BundleReply("")
        return BundleReply(current.signed.model_dump_json())

    def _claim_reply(self, request: ClaimRequest) -> ClaimReply:
        bundle = self.bundle
        if bundle is None:
            return ClaimReply(ClaimStatus.CANNOT_VOUCH)
        return self.claims.claim(request, self.wall_clock(), self.claim_limits(bundle))

    def _send(self, datagrams: list[Datagram]) -> None:
        for datagram in datagrams:
            self.gossip.send(datagram.address, datagram.message)


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("background task failed", exc_info=task.exception())
