"""Fetches new bundles, so that the newest valid bundle is in force on a node.

A node fetches bundles from the key-value service and from other nodes: at startup, and whenever
another node announces a higher version. Only a few nodes of each zone watch and poll the service;
the other nodes learn of new versions through gossip. The head is the entry in the service that
holds the version and digest of the accepted bundle.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from hillstack.config.signing import SignedBundle, parse_signed_bundle
from hillstack.core.membership import Membership
from hillstack.core.rendezvous import ranked
from hillstack.core.rollout import BundleAdopter
from hillstack.daemon.ports import KeyValue, Peers
from hillstack.errors import BundleError, HillstackError, PeerError, PlatformError
from hillstack.etcd.bundle_store import HEAD_KEY, BundleStore, parse_head
from hillstack.logs import error_fields
from hillstack.messages.types import BundleReply, BundleRequest

logger = logging.getLogger(__name__)

WATCHERS_PER_ZONE = 2
PEER_TIMEOUT_SECONDS = 3.0
FIRST_BUNDLE_RETRY_SECONDS = 0.3
FIRST_BUNDLE_GRACE_SECONDS = 0.3
WATCH_ROLE = "bundle-watch"


class BundleSync:
    """Fetches bundles and passes them to the adopter.

    Args:
        adopter: Verifies bundles and holds the bundle in force.
        membership: The member list.
        peers: Messages to other nodes.
        key_value: The key-value service.
        on_adopted: Called after a new bundle is in force.
        poll_interval: Mean seconds between reads of the head.
        clock: Monotonic seconds.
        rng: Source of randomness.
    """

    def __init__(
        self,
        adopter: BundleAdopter,
        membership: Membership,
        peers: Peers,
        key_value: KeyValue,
        on_adopted: Callable[[], None],
        poll_interval: float,
        clock: Callable[[], float],
        rng: Random,
    ) -> None:
        self._adopter = adopter
        self._membership = membership
        self._peers = peers
        self._key_value = key_value
        self._store = BundleStore(key_value)
        self._on_adopted = on_adopted
        self._poll_interval = poll_interval
        self._clock = clock
        self._rng = rng
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def first_bundle(self, seeds: Sequence[str]) -> None:
        """Ask peers and the key-value service until a bundle is in force.

        After the first answer, the remaining requests get a grace period and the highest version
        wins, so that a restarted node is unlikely to start on an older bundle than it had before.
        """
        while self._adopter.version == 0:
            tasks = [asyncio.create_task(self._fetch_from(seed)) for seed in seeds]
            tasks.append(asyncio.create_task(self._fetch_from_store()))
            for task in tasks:
                self._track(task)
            for signed in await _first_answers(tasks):
                self.consider(signed, "first bundle")
            if self._adopter.version == 0:
                pause = FIRST_BUNDLE_RETRY_SECONDS * (0.5 + self._rng.random())
                await asyncio.sleep(pause)

    def on_announced(self, address: str, version: int) -> None:
        """Fetch the bundle from a node that announced a version, if the version is newer."""
        if version <= self._adopter.version or address in self._fetching:
            return
        self._track(asyncio.create_task(self._fetch_and_consider(address)))

    def consider(self, signed: SignedBundle, source: str) -> None:
        """Adopt a bundle if it is newer and valid; log and discard an invalid bundle."""
        try:
            adopted = self._adopter.consider(signed, self._clock())
        except BundleError as error:
            logger.error("bundle refused", extra=error_fields(error) | {"source": source})
            return
        if adopted:
            fields = {"version": self._adopter.version, "source": source}
            logger.info("bundle in force", extra=fields)
            self._on_adopted()

    async def poll(self) -> None:
        """Poll the head while this node is one of its zone's watchers."""
        while True:
            await asyncio.sleep(self._poll_interval * (0.5 + self._rng.random()))
            if self._is_watcher():
                await self._read_store()

    async def watch(self) -> None:
        """Watch the head while this node is one of its zone's watchers."""
        while True:
            if self._is_watcher():
                with contextlib.suppress(PlatformError, BundleError):
                    await self._follow_head()
            await asyncio.sleep(self._poll_interval * (0.5 + self._rng.random()))

    async def _follow_head(self) -> None:
        async for value in self._key_value.watch(HEAD_KEY):
            if value and parse_head(value).version > self._adopter.version:
                await self._read_store()

    async def _fetch_and_consider(self, address: str) -> None:
        signed = await self._fetch_from(address)
        if signed is not None:
            self.consider(signed, address)

    async def _read_store(self) -> None:
        signed = await self._fetch_from_store()
        if signed is not None:
            self.consider(signed, "platform")

    async def _fetch_from_store(self) -> SignedBundle | None:
        try:
            head = await self._store.head()
            if head is None or head.version <= self._adopter.version:
                return None
            return await self._store.bundle(head.version)
        except (PlatformError, BundleError) as error:
            logger.debug("could not read the bundle from the platform", extra=error_fields(error))
            return None

    async def _fetch_from(self, address: str) -> SignedBundle | None:
        self._fetching.add(address)
        try:
            request = BundleRequest(self._adopter.version)
            reply = await self._peers.call(address, request, PEER_TIMEOUT_SECONDS)
            if isinstance(reply, BundleReply) and reply.signed_bundle:
                return parse_signed_bundle(reply.signed_bundle, address)
        except (PeerError, BundleError) as error:
            logger.debug("could not fetch the bundle from a peer", extra=error_fields(error))
        finally:
            self._fetching.discard(address)
        return None

    def _is_watcher(self) -> bool:
        own = self._membership.own
        nodes = self._membership.by_zone().get(own.zone, [])
        return own.node_id in ranked(WATCH_ROLE, nodes)[:WATCHERS_PER_ZONE]

    def _track(self, task: asyncio.Task[Any]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._log_failure)

    def _log_failure(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        fields = error_fields(error) if isinstance(error, HillstackError) else {}
        logger.error("bundle fetch failed", exc_info=error, extra=fields)


async def _first_answers(tasks: list[asyncio.Task[SignedBundle | None]]) -> list[SignedBundle]:
    """Return the first bundle and those that arrive in the grace period, newest first."""
    pending: set[asyncio.Task[SignedBundle | None]] = set(tasks)
    found: list[SignedBundle] = []
    while pending and not found:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        found += [signed for signed in (task.result() for task in done) if signed is not None]
    if found and pending:
        done, _ = await asyncio.wait(pending, timeout=FIRST_BUNDLE_GRACE_SECONDS)
        found += [signed for signed in (task.result() for task in done) if signed is not None]
    return sorted(found, key=_claimed_version, reverse=True)


def _claimed_version(signed: SignedBundle) -> int:
    try:
        return signed.bundle().version
    except BundleError:
        return 0
