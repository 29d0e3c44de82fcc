"""Client of the key-value service over the etcd v3 JSON gateway.

Errors distinguish the possible outcomes of a write: after a rejection or a failed connection the
write did not take effect; after a lost answer it may have taken effect.

The only sign that a cluster was restored from a snapshot is that its revision has decreased.
"""

from __future__ import annotations

import base64
import logging
from collections.abc import AsyncIterator, Sequence
from typing import Any, TypeVar

import aiohttp

from hillstack.answer_bodies import read_json
from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.key_value import Condition, Entry, Put, RevisionIs
from hillstack.decoding import parse_json, to_typed
from hillstack.errors import PlatformError, PlatformOutcomeUnknownError, PlatformUnavailableError
from hillstack.etcd.answers import (
    Answer,
    KeyValue,
    LeaseAnswer,
    RangeAnswer,
    RenewalAnswer,
    TransactionAnswer,
    WatchLine,
)

logger = logging.getLogger(__name__)

REJECTED_STATUSES = frozenset({429, 503})
WATCH_LINE_LIMIT_BYTES = 64 * 1024 * 1024

AnswerKind = TypeVar("AnswerKind", bound=Answer)


class KeyValueClient:
    """Sends requests to one of several endpoints, and to the next if an endpoint is unavailable.

    Args:
        endpoints: ``IP:PORT`` of each endpoint.
        session: HTTP session; the client does not close it.
        timeout: Time limit for one call to an endpoint, in seconds.
    """

    def __init__(
        self, endpoints: Sequence[str], session: aiohttp.ClientSession, timeout: float = 3.0
    ) -> None:
        self._endpoints = list(endpoints)
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout, sock_connect=timeout / 2)
        self._latest_revision = StoreRevision(0, 0)

    @property
    def era(self) -> int:
        """Number of times that this client has seen the cluster's revision decrease."""
        return self._latest_revision.era

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        body = {"key": _encode(key)}
        answer = await self._call("/v3/kv/range", body, "read key", RangeAnswer)
        entries = [self._entry(item) for item in answer.kvs]
        return entries[0] if entries else None

    async def list_prefix(self, prefix: str, limit: int = 0) -> list[Entry]:
        """Return the entries whose keys start with a prefix, in descending order of keys.

        Args:
            prefix: Prefix of the keys.
            limit: Maximum number of entries; 0 for all.
        """
        body = {
            "key": _encode(prefix),
            "range_end": _encode(prefix_end(prefix)),
            "sort_order": "DESCEND",
            "sort_target": "KEY",
            "limit": str(limit),
        }
        answer = await self._call("/v3/kv/range", body, "list keys", RangeAnswer)
        return [self._entry(item) for item in answer.kvs]

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write all keys in one transaction if all conditions hold.

        Returns:
            The revision of the write, or None if a condition did not hold.

        Raises:
            PlatformUnavailableError: The transaction did not take effect.
            PlatformOutcomeUnknownError: The answer was lost; the transaction may have taken effect.
        """
        body = {
            "compare": [_condition(condition) for condition in conditions],
            "success": [{"request_put": _put(put)} for put in puts],
        }
        answer = await self._call("/v3/kv/txn", body, "transaction", TransactionAnswer)
        if not answer.succeeded:
            return None
        if answer.header.revision is None:
            raise PlatformOutcomeUnknownError("no revision in the answer", step="transaction")
        return StoreRevision(self.era, answer.header.revision)

    async def grant_lease(self, ttl_seconds: float) -> int:
        """Create a lease and return its identifier."""
        body = {"TTL": str(int(ttl_seconds))}
        answer = await self._call("/v3/lease/grant", body, "grant lease", LeaseAnswer)
        if not answer.lease_id:
            raise PlatformOutcomeUnknownError("no lease in the answer", step="grant lease")
        return answer.lease_id

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False if the lease has expired."""
        body = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/keepalive", body, "renew lease", RenewalAnswer)
        return answer.result.ttl_seconds > 0

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which also deletes the keys attached to the lease."""
        await self._call("/v3/lease/revoke", {"ID": str(lease_id)}, "revoke lease", Answer)

    async def watch(self, key: str) -> AsyncIterator[bytes]:
        """Yield each new value of a key until the stream breaks.

        Raises:
            PlatformError: The watch could not be created, or its stream broke.
        """
        body = {"create_request": {"key": _encode(key)}}
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._timeout.sock_connect)
        endpoint = self._endpoints[0]
        try:
            async with self._session.post(
                f"http://{endpoint}/v3/watch",
                json=body,
                timeout=timeout,
                read_bufsize=WATCH_LINE_LIMIT_BYTES,
            ) as response:
                if response.status != 200:
                    raise PlatformUnavailableError("refused", step="watch", peer=endpoint)
                async for line in response.content:
                    for event in to_typed(parse_json(line), WatchLine).result.events:
                        yield event.kv.value
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise PlatformError(repr(error), step="watch", peer=endpoint) from error

    async def _call(
        self, path: str, body: dict[str, Any], step: str, kind: type[AnswerKind]
    ) -> AnswerKind:
        last: PlatformUnavailableError | None = None
        for _ in range(len(self._endpoints)):
            try:
                return await self._call_endpoint(self._endpoints[0], path, body, step, kind)
            except PlatformUnavailableError as error:
                last = error
                self._endpoints.append(self._endpoints.pop(0))
        raise last or PlatformUnavailableError("no endpoints configured", step=step)

    async def _call_endpoint(
        self, endpoint: str, path: str, body: dict[str, Any], step: str, kind: type[AnswerKind]
    ) -> AnswerKind:
        url = f"http://{endpoint}{path}"
        revision_at_send = self._latest_revision
        try:
            async with self._session.post(url, json=body, timeout=self._timeout) as response:
                if response.status in REJECTED_STATUSES:
                    text = f"status {response.status}"
                    raise PlatformUnavailableError(text, step=step, peer=endpoint)
                plain = await read_json(response)
                if response.status != 200:
                    text = f"status {response.status}: {to_typed(plain, Answer).error}"
                    raise PlatformError(text, step=step, peer=endpoint)
                answer = to_typed(plain, kind)
                self._note_revision(answer, revision_at_send, endpoint)
                return answer
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailableError(str(error), step=step, peer=endpoint) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise PlatformOutcomeUnknownError(repr(error), step=step, peer=endpoint) from error

    def _note_revision(
        self, answer: Answer, revision_at_send: StoreRevision, endpoint: str
    ) -> None:
        """Record the cluster's revision; start a new era if the revision has decreased.

        Args:
            answer: Answer that contains the revision.
            revision_at_send: Latest revision that was recorded when the request was sent. The
                answer is compared with this revision because answers can arrive out of order.
            endpoint: Endpoint that sent the answer.
        """
        number = answer.header.revision
        if number is None:
            return
        if number < revision_at_send.number and revision_at_send.era == self._latest_revision.era:
            fields = {"before": revision_at_send.number, "revision": number, "peer": endpoint}
            logger.warning("key-value service was restored: revision decreased", extra=fields)
            self._latest_revision = StoreRevision(self._latest_revision.era + 1, number)
        elif number > self._latest_revision.number:
            self._latest_revision = StoreRevision(self._latest_revision.era, number)

    def _entry(self, item: KeyValue) -> Entry:
        # Keys of other writers may have any bytes; no key of this project is among them.
        key = item.key.decode(errors="replace")
        return Entry(key, item.value, StoreRevision(self.era, item.mod_revision))


def prefix_end(prefix: str) -> str:
    """Return the exclusive end of the key range of all keys that start with an ASCII prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _encode(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def _condition(condition: Condition) -> dict[str, str]:
    key = _encode(condition.key)
    if isinstance(condition, RevisionIs):
        number = str(condition.revision.number)
        return {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": number}
    if condition.value is None:
        return {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}
    value = _encode(condition.value)
    return {"key": key, "target": "VALUE", "result": "EQUAL", "value": value}


def _put(put: Put) -> dict[str, str]:
    body = {"key": _encode(put.key), "value": _encode(put.value)}
    if put.lease_id:
        body["lease"] = str(put.lease_id)
    return body
