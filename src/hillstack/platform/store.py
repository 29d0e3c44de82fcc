"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import logging
import urllib.parse
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import TypeGuard, TypeVar

import aiohttp
import msgspec

from hillstack.answer_bodies import BodyReader
from hillstack.answer_limits import MAX_STORE_ANSWER_BYTES
from hillstack.core.node_directory import NodeEntry
from hillstack.core.software_rollouts import RolloutRecord
from hillstack.core.store_era import StoreEra
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.daemon.change_log import ListedKeys, StoreChange, StoredItem
from hillstack.daemon.key_value import Condition, Entry, Put, RevisionIs
from hillstack.decoding import MalformedDataError, decode_json
from hillstack.errors import (
    HistoryLostError,
    OutdatedAnswerError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformThrottledError,
    PlatformUnavailableError,
)
from hillstack.platform import names
from hillstack.platform.bodies import (
    KeyRevision,
    LeaseBody,
    LeaseRequest,
    NodeBody,
    PutBody,
    RangeBody,
    StoreItem,
    TxnBody,
    TxnRequest,
    WatchBody,
)
from hillstack.platform.connections import record_silent_address
from hillstack.platform.formats import listed_keys, to_event
from hillstack.platform.rollouts import (
    RolloutSummary,
    encode_rollout_record,
    encode_rollout_status,
    rollout_duty_key,
    rollout_summaries,
)
from hillstack.platform.unreadable_items import UnreadableItems
from hillstack.serving.store_events import RolloutRecorded, StoreEvent

logger = logging.getLogger(__name__)

OK = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
THROTTLED = 429
REFUSED = 503
# A slow store takes up to a second to answer. A node's data may be at most 4.5 s old, which leaves
# time for two attempts.
CALL_LIMIT_SECONDS = 1.5
# A quarter of the lease, so that an unanswered renewal can be repeated before the lease expires.
LEASE_CALL_LIMIT_SECONDS = 0.5
# Eras are consecutive numbers, so a longer text is not an era.
MAX_ERA_DIGITS = 15
# Replaces a value that is not base64. No item can be decoded from it.
UNREADABLE_VALUE = b""

Body = TypeVar("Body")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All items of the store, read page by page.

    Attributes:
        changes: All items, as changes.
        revision: The earliest revision of any page, from which to watch for changes.
        latest: The latest revision of any page; items may be as new as this.
    """

    changes: list[StoreChange]
    revision: StoreRevision
    latest: StoreRevision


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes since a revision, and the revision up to which they are complete."""

    changes: list[StoreChange]
    revision: StoreRevision


@dataclass(frozen=True, slots=True)
class _Answer:
    """The body of an answer, and the store era in which it is valid."""

    body: bytes
    era: int


class MetadataStore:
    """Reads, watches and writes the items of the store.

    Args:
        address: ``IP:PORT`` of the store.
        session: HTTP session of ``make_store_session``; not closed here.
        on_unreadable: Called once for each revision of an item that can't be decoded.
        store_era: Tracks the eras that answers name; a new tracker by default.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        on_unreadable: Callable[[], None] = lambda: None,
        store_era: StoreEra | None = None,
    ) -> None:
        self._era = store_era or StoreEra()
        self._last_invalid_era: str | None = None
        self._unreadable = UnreadableItems(on_unreadable)
        self._base_url = f"http://{address}"
        self._address = address
        self._session = session
        self._bodies = BodyReader(MAX_STORE_ANSWER_BYTES, 2 * MAX_STORE_ANSWER_BYTES)

    @property
    def era(self) -> int:
        """The latest known era of the store."""
        return self._era.current

    async def snapshot(self, *, allow_stale: bool = False) -> Snapshot:
        """Return all items of the store.

        The pages are read at different revisions, so a watch has to start from the earliest one.

        Args:
            allow_stale: Whether the answer may be some seconds old, at a tenth of the cost.

        Raises:
            PlatformError: A call failed, or the store was restored between two pages.
        """
        era, pages = await self._pages("", allow_stale)
        revisions = [StoreRevision(era, page.at) for page in pages]
        items = [_to_stored_item(item, era) for page in pages for item in page.items]
        return Snapshot(self.read_items(items), min(revisions), max(revisions))

    async def _list(self, prefix: str) -> list[StoredItem]:
        """Return all items whose keys start with a prefix."""
        era, pages = await self._pages(prefix, allow_stale=False)
        return [_to_stored_item(item, era) for page in pages for item in page.items]

    async def _pages(self, prefix: str, allow_stale: bool) -> tuple[int, list[RangeBody]]:
        """Return all pages of items whose keys start with a prefix, and the era of the pages."""
        pages: list[RangeBody] = []
        eras: set[int] = set()
        after = ""
        while True:
            query = {names.PREFIX_PARAMETER: prefix}
            query |= {names.AFTER_PARAMETER: after} if after else {}
            query |= {names.STALE_PARAMETER: "1"} if allow_stale else {}
            answer = await self._call(
                "GET", names.RANGE_PATH, "list", query=query, allow_stale=allow_stale
            )
            page = self._decode(answer, RangeBody)
            pages.append(page)
            eras.add(answer.era)
            if len(eras) > 1:
                text = "store restored between two pages"
                raise OutdatedAnswerError(text, step="list", peer=self._address)
            if not page.more or not page.items:
                return answer.era, pages
            after = page.items[-1].key

    async def changes(self, revision: StoreRevision, wait_seconds: float) -> Changes:
        """Return the changes after a revision, waiting for the first one if there is none.

        Raises:
            HistoryLostError: The store no longer has the changes, or was restored since then.
            PlatformError: The call failed.
        """
        query = {
            names.PREFIX_PARAMETER: "",
            names.AFTER_PARAMETER: str(revision.number),
            names.WAIT_PARAMETER: str(int(wait_seconds * 1000)),
        }
        limit = wait_seconds + CALL_LIMIT_SECONDS
        answer = await self._call("GET", names.WATCH_PATH, "watch", query=query, limit=limit)
        if answer.era != revision.era:
            # In the new era the requested revision number belongs to a different change.
            text = f"store restored since {revision}"
            raise HistoryLostError(text, step="watch", peer=self._address)
        body = self._decode(answer, WatchBody)
        changes = self.read_items(_to_stored_item(item, answer.era) for item in body.events)
        return Changes(changes, max(revision, StoreRevision(answer.era, body.at)))

    def read_items(self, items: Iterable[StoredItem]) -> list[StoreChange]:
        """Convert items to changes.

        An item that can't be decoded is logged and counts as removed; the others are unaffected.
        """
        return [StoreChange(item, self._to_event(item)) for item in items]

    def listed(self, keys: Iterable[str]) -> ListedKeys:
        """Classify a complete list of the store's keys by runners, nodes, duties and rollouts."""
        return listed_keys(keys)

    async def announce_node(self, node: NodeEntry) -> StoreRevision:
        """Write a node's entry: its address for peers, its zone and its link speed.

        Returns:
            The revision of the entry.
        """
        value = msgspec.json.encode(NodeBody(node.address, node.zone, node.link_megabits))
        revision = await self.transact([], [Put(names.NODES_PREFIX + node.node_id, value)])
        if revision is None:
            raise PlatformError("node entry not written", step="announce node", peer=self._address)
        return revision

    async def remove_node(self, node_id: str, revision: StoreRevision) -> bool:
        """Remove a node's entry if it has this revision; return whether it was removed."""
        key = names.NODES_PREFIX + node_id
        return await self._transact([RevisionIs(key, revision)], [], [key]) is not None

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None."""
        try:
            answer = await self._call(
                "GET", names.KEY_PATH, "read key", query={names.KEY_PARAMETER: key}
            )
        except _StatusError as error:
            if error.status == NOT_FOUND:
                return None
            raise
        item = _to_stored_item(self._decode(answer, StoreItem), answer.era)
        return Entry(item.key, item.value or UNREADABLE_VALUE, item.revision)

    async def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        await self._transact([], [], [key])

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write if all conditions hold and the leases of the writes exist.

        Returns:
            The revision of the last write, or None if a condition does not hold or a lease has
            ended.

        Raises:
            PlatformError: The call failed, or a condition requires a value: the store compares only
                revisions.
        """
        return await self._transact(conditions, puts, [])

    def _to_key_revision(self, condition: Condition) -> KeyRevision:
        """Convert a condition to the format of the store."""
        if isinstance(condition, RevisionIs):
            return KeyRevision(condition.key, condition.revision.number)
        if condition.value is None:
            return KeyRevision(condition.key, 0)
        text = f"unsupported condition on the value of {condition.key}"
        raise PlatformError(text, step="transact", peer=self._address)

    async def _transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], removed: Sequence[str]
    ) -> StoreRevision | None:
        """Execute a transaction; the result is that of ``transact``.

        A condition on a revision of an earlier era counts as not met. It is not sent, since in the
        current era the number may belong to a different change.
        """
        expected = [self._to_key_revision(condition) for condition in conditions]
        condition_eras = {c.revision.era for c in conditions if _requires_revision(c)}
        if condition_eras - {self.era}:
            return None
        body = TxnRequest(expected, [_to_put_body(put) for put in puts], list(removed))
        try:
            answer = await self._call("POST", names.TXN_PATH, "transact", body=body)
        except _StatusError as error:
            if error.status in (CONDITION_FAILED, NOT_FOUND):
                return None
            raise
        if condition_eras - {answer.era}:
            text = "store restored during a conditional write"
            raise PlatformOutcomeUnknownError(text, step="transact", peer=self._address)
        return StoreRevision(answer.era, self._decode(answer, TxnBody).rev)

    async def write_rollout(
        self, record: RolloutRecord, fence: StoreRevision, update_operator_status: bool
    ) -> StoreRevision | None:
        """Replace a rollout's record, and optionally the status that the operator reads.

        The write requires that the order, the record and the duty's key still have the expected
        revisions; see ``RolloutStore``.

        Returns:
            The revision of the new record, or None if a condition does not hold.
        """
        service = record.service
        record_key = names.ROLLOUT_RECORDS_PREFIX + service
        conditions = [
            RevisionIs(names.ROLLOUTS_PREFIX + service, record.order_revision),
            RevisionIs(record_key, record.revision),
            RevisionIs(rollout_duty_key(service), fence),
        ]
        puts = [Put(record_key, encode_rollout_record(record))]
        if update_operator_status:
            status = Put(names.ROLLOUT_STATUS_PREFIX + service, encode_rollout_status(record))
            # The record comes last, since a transaction returns the revision of its last write.
            puts.insert(0, status)
        return await self.transact(conditions, puts)

    async def read_rollout(self, service: str) -> RolloutRecord | None:
        """Return the record of a service's rollout, or None."""
        entry = await self.get(names.ROLLOUT_RECORDS_PREFIX + service)
        if entry is None:
            return None
        event = to_event(StoredItem(entry.key, entry.mod_revision, entry.value))
        return event.record if isinstance(event, RolloutRecorded) else None

    async def rollout_summaries(self) -> list[RolloutSummary]:
        """Return the order, record and status of each service's rollout."""
        return rollout_summaries(
            await self._list(names.ROLLOUTS_PREFIX),
            await self._list(names.ROLLOUT_RECORDS_PREFIX),
            await self._list(names.ROLLOUT_STATUS_PREFIX),
        )

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Request a lease from the store and return its identifier."""
        body = LeaseRequest(int(ttl_seconds * 1000))
        answer = await self._call(
            "POST", names.LEASE_PATH, "grant lease", body=body, limit=LEASE_CALL_LIMIT_SECONDS
        )
        return self._decode(answer, LeaseBody).lease

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if the lease has ended."""
        try:
            path = f"{names.LEASE_RENEWAL_PATH}/{lease_id}"
            await self._call("POST", path, "renew lease", limit=LEASE_CALL_LIMIT_SECONDS)
        except _StatusError as error:
            if error.status == NOT_FOUND:
                return False
            raise
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease; the store removes the keys attached to it."""
        await self._call("DELETE", f"{names.LEASE_END_PATH}/{lease_id}", "end lease")

    def _to_event(self, item: StoredItem) -> StoreEvent | None:
        """Convert an item to an event; an item that can't be decoded counts as removed."""
        try:
            return to_event(item)
        except PlatformError as error:
            self._unreadable.report(item, error)
            # A configuration without a value gives no event, so the last valid one stays in force.
            return to_event(StoredItem(item.key, item.revision, None))

    def _decode(self, answer: _Answer, kind: type[Body]) -> Body:
        try:
            return decode_json(answer.body, kind)
        except MalformedDataError as error:
            raise PlatformError(str(error), step="decode", peer=self._address) from error

    async def _call(
        self,
        method: str,
        path: str,
        step: str,
        *,
        query: dict[str, str] | None = None,
        body: object = None,
        limit: float = CALL_LIMIT_SECONDS,
        allow_stale: bool = False,
    ) -> _Answer:
        url = self._base_url + path
        if query:
            url += "?" + urllib.parse.urlencode(query)
        data = msgspec.json.encode(body) if body is not None else None
        headers = {"Content-Type": "application/json"} if data is not None else {}
        timeout = aiohttp.ClientTimeout(total=limit, sock_connect=CALL_LIMIT_SECONDS)
        era_before_call = self.era
        try:
            async with self._session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as response:
                raw = await self._bodies.read(response)
                status = response.status
                named_era = self._parse_era(response.headers.get(names.ERA_HEADER))
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailableError(str(error), step=step, peer=self._address) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if isinstance(error, TimeoutError):
                record_silent_address(self._session, self._address)
            text = str(error) or type(error).__name__
            raise PlatformOutcomeUnknownError(text, step=step, peer=self._address) from error
        era = self._era.era_of_answer(named_era, era_before_call, allow_stale=allow_stale)
        if era is None:
            raise OutdatedAnswerError(
                "answer from an earlier store era", step=step, peer=self._address
            )
        if status == OK:
            return _Answer(raw, era)
        if status == THROTTLED:
            raise PlatformThrottledError(f"status {status}", step=step, peer=self._address)
        if status == REFUSED:
            raise PlatformUnavailableError(f"status {status}", step=step, peer=self._address)
        if status == GONE:
            raise HistoryLostError("store no longer has the changes", step=step, peer=self._address)
        raise _StatusError(status, step, self._address)

    def _parse_era(self, text: str | None) -> int | None:
        """Return the era in an answer's header; None if the header is missing or invalid."""
        if text is None:
            return None
        if text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
            return int(text)
        if text != self._last_invalid_era:
            self._last_invalid_era = text
            shortened = text[:MAX_ERA_DIGITS]
            logger.error("store era can't be read", extra={"era": shortened, "peer": self._address})
        return None


class _StatusError(PlatformError):
    """The store answered with a status that callers of ``_call`` may handle."""

    def __init__(self, status: int, step: str, peer: str) -> None:
        super().__init__(f"status {status}", step=step, peer=peer)
        self.status = status


def _requires_revision(condition: Condition) -> TypeGuard[RevisionIs]:
    """Return whether a condition requires a revision of the key, not the key's absence."""
    return isinstance(condition, RevisionIs) and condition.revision != NO_REVISION


def _to_stored_item(item: StoreItem, era: int) -> StoredItem:
    """Convert an item from the wire; a value that is not base64 becomes an unreadable one."""
    revision = StoreRevision(era, item.rev)
    if item.gone:
        return StoredItem(item.key, revision, None)
    try:
        return StoredItem(item.key, revision, base64.b64decode(item.value, validate=True))
    except ValueError:
        return StoredItem(item.key, revision, UNREADABLE_VALUE)


def _to_put_body(put: Put) -> PutBody:
    return PutBody(put.key, base64.b64encode(put.value).decode(), put.lease_id)
