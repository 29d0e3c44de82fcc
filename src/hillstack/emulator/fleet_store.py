"""An emulated metadata store of the platform, for tests of a fleet's node.

The store has items, revisions, leases and a history, and injects faults: outages, lost answers,
silence, a lost history, and a restore from an older copy. The paths and headers of the protocol
come from the platform adapter.
"""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hillstack.platform import names
from hillstack.platform.bodies import (
    LeaseBody,
    LeaseRequest,
    RangeBody,
    StoreItem,
    TxnBody,
    TxnRequest,
    WatchBody,
)

EXPIRY_CHECK_SECONDS = 0.05
WATCH_POLL_SECONDS = 0.01
UNAVAILABLE = 503


@dataclass(slots=True)
class _Lease:
    ttl_seconds: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store's content.

    Attributes:
        compacted_revision: Revision up to which the history is lost.
        leases: Time to live of each lease in seconds.
    """

    revision: int
    items: dict[str, StoreItem]
    history: list[StoreItem]
    compacted_revision: int
    leases: dict[int, float]


class FleetStore:
    """The state and the request handlers of the store.

    Attributes:
        down: Whether the store refuses every call.
        lose_answers: Whether the store executes calls without answering them.
        calls: Number of calls, including refused ones.
        era: Number of restores from a copy; None if answers carry no era.
        era_override: Value that answers carry instead of the era; None to send the era.
        page_items: Maximum number of items in a page of a list; None for no limit.
        on_page: Called after each page except the last.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._items: dict[str, StoreItem] = {}
        self._history: list[StoreItem] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self.revision = 1
        self.down = False
        self.lose_answers = False
        self._is_silent = False
        self._silences = 0
        self.calls = 0
        self.era: int | None = 0
        self.era_override: str | None = None
        self.page_items: int | None = None
        self.on_page: Callable[[], None] = lambda: None

    def copy(self) -> StoreCopy:
        """Return a copy of the content, from which ``restore`` can restart the store."""
        leases = {lease_id: lease.ttl_seconds for lease_id, lease in self._leases.items()}
        history = list(self._history)
        return StoreCopy(
            self.revision, dict(self._items), history, self._compacted_revision, leases
        )

    def restore(self, copy: StoreCopy) -> None:
        """Restore an earlier copy.

        Items and leases written since the copy are lost, and the leases in the copy start a new
        time to live. Revisions fall back, so that later writes reuse revision numbers.
        """
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._compacted_revision = copy.compacted_revision
        now = self._clock()
        self._leases = {lease_id: _Lease(ttl, now + ttl) for lease_id, ttl in copy.leases.items()}
        if self.era is not None:
            self.era += 1

    def silence(self) -> None:
        """Accept calls without answering them, also the pending ones, and also after the silence.

        The calls are executed.
        """
        self._is_silent = True
        self._silences += 1

    def end_silence(self) -> None:
        """Answer the calls that arrive from now on."""
        self._is_silent = False

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return its revision."""
        self.revision += 1
        existing = self._items.get(key)
        created = existing.created if existing is not None else self.revision
        text = base64.b64encode(value).decode()
        item = StoreItem(key, self.revision, text, created=created, lease=lease)
        self._items[key] = item
        self._history.append(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._history.append(StoreItem(key, self.revision, gone=True))

    def value(self, key: str) -> bytes | None:
        """Return an item's value, or None."""
        self._expire()
        item = self._items.get(key)
        return base64.b64decode(item.value) if item is not None else None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys below a prefix."""
        self._expire()
        return sorted(key for key in self._items if key.startswith(prefix))

    def clear_history(self) -> None:
        """Clear the history, so that watches from an earlier revision get 410."""
        self._compacted_revision = self.revision
        self._history.clear()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        keep_path = names.LEASE_RENEWAL_PATH + "/{lease:int}"
        end_path = names.LEASE_END_PATH + "/{lease:int}"
        return Starlette(
            routes=[
                Route(names.RANGE_PATH, self._guarded(self._range)),
                Route(names.KEY_PATH, self._guarded(self._read)),
                Route(names.WATCH_PATH, self._guarded(self._watch)),
                Route(names.TXN_PATH, self._guarded(self._transact), methods=["POST"]),
                Route(names.LEASE_PATH, self._guarded(self._grant), methods=["POST"]),
                Route(keep_path, self._guarded(self._renew), methods=["POST"]),
                Route(end_path, self._guarded(self._revoke), methods=["DELETE"]),
            ]
        )

    def _guarded(self, handler: Callable[[Request], object]) -> Callable[[Request], object]:
        async def guarded(request: Request) -> Response:
            self.calls += 1
            if self.down:
                return self._with_era(Response(status_code=UNAVAILABLE))
            self._expire()
            silences = self._silences
            answer = handler(request)
            if asyncio.iscoroutine(answer):
                answer = await answer
            if self.lose_answers or self._is_silent or silences != self._silences:
                await _wait_for_disconnect(request)
            assert isinstance(answer, Response)
            return self._with_era(answer)

        return guarded

    def _with_era(self, response: Response) -> Response:
        if self.era is not None and names.ERA_HEADER not in response.headers:
            response.headers[names.ERA_HEADER] = self.era_override or str(self.era)
        return response

    def _expire(self) -> None:
        now = self._clock()
        for lease_id in [n for n, lease in self._leases.items() if now >= lease.ends_at]:
            self._drop_lease(lease_id)

    def _drop_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        for key in [item.key for item in self._items.values() if item.lease == lease_id]:
            self.remove(key)

    def _range(self, request: Request) -> Response:
        prefix = request.query_params.get(names.PREFIX_PARAMETER, "")
        after = request.query_params.get(names.AFTER_PARAMETER, "")
        keys = [key for key in self.keys(prefix) if key > after]
        page = [self._items[key] for key in keys[: self.page_items]]
        answer = self._with_era(_json(RangeBody(page, len(page) < len(keys), self.revision)))
        if len(page) < len(keys):
            self.on_page()
        return answer

    def _read(self, request: Request) -> Response:
        item = self._items.get(request.query_params[names.KEY_PARAMETER])
        return _json(item) if item is not None else Response(status_code=404)

    async def _watch(self, request: Request) -> Response:
        query = request.query_params
        after = int(query[names.AFTER_PARAMETER])
        prefix = query.get(names.PREFIX_PARAMETER, "")
        ends_at = self._clock() + int(query.get(names.WAIT_PARAMETER, "0")) / 1000
        while True:
            if self.down:
                return Response(status_code=UNAVAILABLE)
            if after < self._compacted_revision or after > self.revision:
                return Response(status_code=410)
            self._expire()
            events = self._events(prefix, after)
            if events or self._clock() >= ends_at:
                return _json(WatchBody(events, self.revision))
            await asyncio.sleep(WATCH_POLL_SECONDS)

    def _events(self, prefix: str, after: int) -> list[StoreItem]:
        # Each watch polls a hundred times a second. With many nodes, scanning the whole history at
        # each poll would use too much CPU.
        if self.revision <= after:
            return []
        return [i for i in self._history if i.rev > after and i.key.startswith(prefix)]

    async def _transact(self, request: Request) -> Response:
        body = msgspec.json.decode(await request.body(), type=TxnRequest)
        for condition in body.expected_count:
            existing = self._items.get(condition.key)
            if (existing.rev if existing is not None else 0) != condition.rev:
                return Response(status_code=412)
        if any(put.lease and put.lease not in self._leases for put in body.put):
            return Response(status_code=404)
        for put in body.put:
            self.put(put.key, base64.b64decode(put.value), put.lease)
        for key in body.remove:
            self.remove(key)
        return _json(TxnBody(self.revision))

    async def _grant(self, request: Request) -> Response:
        ttl = msgspec.json.decode(await request.body(), type=LeaseRequest).ttl_ms / 1000
        self.revision += 1
        self._leases[self.revision] = _Lease(ttl, self._clock() + ttl)
        return _json(LeaseBody(self.revision, ttl * 1000))

    def _renew(self, request: Request) -> Response:
        lease = self._leases.get(request.path_params["lease"])
        if lease is None:
            return Response(status_code=404)
        lease.ends_at = self._clock() + lease.ttl_seconds
        return _json(LeaseBody(request.path_params["lease"], lease.ttl_seconds * 1000))

    def _revoke(self, request: Request) -> Response:
        self._drop_lease(request.path_params["lease"])
        return Response()


async def _wait_for_disconnect(request: Request) -> None:
    message = await request.receive()
    while message["type"] != "http.disconnect":
        message = await request.receive()


def _json(body: object) -> Response:
    return Response(msgspec.json.encode(body), media_type="application/json")
