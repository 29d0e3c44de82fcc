"""An emulated platform: the etcd v3 JSON gateway and the machine list.

The key-value service has revisions, compare-and-swap transactions, leases and watches, as etcd
documents them, and a rate limit. Tests can inject outages, delays and lost answers.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from hillstack.core.store_revision import StoreRevision
from hillstack.daemon.key_value import Condition, Entry, Put, RevisionIs

COMPARE_FIELDS = {"VERSION": "version", "CREATE": "create_revision", "MOD": "mod_revision"}
LEASE_CHECK_SECONDS = 0.1
GRPC_UNAVAILABLE = 14
GRPC_RESOURCE_EXHAUSTED = 8


class PlatformFaults(BaseModel):
    """Faults that tests inject.

    Attributes:
        outage: Answer every request with 503.
        delay: Seconds added to each answer.
        lose_answers: Number of transactions that take effect but whose answer is lost.
    """

    model_config = ConfigDict(extra="forbid")

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0


@dataclass(slots=True)
class KeyValue:
    """A key's value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0

    def as_json(self) -> dict[str, str]:
        """Return the JSON form of the gateway: bytes as base64, numbers as strings."""
        return {
            "key": base64.b64encode(self.key).decode(),
            "value": base64.b64encode(self.value).decode(),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
            "lease": str(self.lease),
        }


@dataclass(slots=True)
class Lease:
    """A lease and the keys bound to it."""

    lease_id: int
    ttl: float
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class Watcher:
    """A watch on a range of keys."""

    start: bytes
    end: bytes
    events: asyncio.Queue[dict[str, Any]] = field(default_factory=asyncio.Queue)


@dataclass(frozen=True, slots=True)
class KeyValueSnapshot:
    """A snapshot of the key-value service."""

    revision: int
    values: dict[bytes, KeyValue]
    next_lease: int


class KeyValueStore:
    """The state of the key-value service.

    Attributes:
        era: Number of restores from a snapshot; answers do not carry it.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 1
        self.values: dict[bytes, KeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self.watchers: list[Watcher] = []
        self._next_lease = 1

    def range(self, start: bytes, end: bytes) -> list[KeyValue]:
        """Return the entries of a range in key order."""
        return [self.values[key] for key in sorted(self.values) if in_range(key, start, end)]

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        """Set a key at a revision."""
        existing = self.values.get(key)
        created = existing.create_revision if existing else revision
        version = existing.version + 1 if existing else 1
        entry = KeyValue(key, value, created, revision, version, lease)
        self.values[key] = entry
        if lease in self.leases:
            self.leases[lease].keys.add(key)
        self._notify("PUT", entry)

    def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put]
    ) -> StoreRevision | None:
        """Write all keys if all conditions hold; return the revision, or None if one does not."""
        if not all(self._holds(condition) for condition in conditions):
            return None
        self.revision += 1
        for put in puts:
            self.put(put.key.encode(), put.value, put.lease_id, self.revision)
        return StoreRevision(self.era, self.revision)

    def _holds(self, condition: Condition) -> bool:
        existing = self.values.get(condition.key.encode())
        if isinstance(condition, RevisionIs):
            return (existing.mod_revision if existing else 0) == condition.revision.number
        return (existing.value if existing else None) == condition.value

    def snapshot(self) -> KeyValueSnapshot:
        """Return a snapshot, from which ``restore`` can reset the service."""
        return KeyValueSnapshot(self.revision, dict(self.values), self._next_lease)

    def restore(self, snapshot: KeyValueSnapshot) -> None:
        """Restore a snapshot.

        Writes since the snapshot and all leases with their keys are lost; revisions and lease
        identifiers issued since then are issued again.
        """
        self.era += 1
        self.revision = snapshot.revision
        self.values = {key: value for key, value in snapshot.values.items() if not value.lease}
        self.leases = {}
        self._next_lease = snapshot.next_lease

    def entry(self, key: str) -> Entry | None:
        """Return the entry of a key in the form that clients of the service use, or None."""
        existing = self.values.get(key.encode())
        if existing is None:
            return None
        return Entry(key, existing.value, StoreRevision(self.era, existing.mod_revision))

    def delete(self, start: bytes, end: bytes, revision: int) -> int:
        """Delete a range and return the number of keys deleted."""
        matching = self.range(start, end)
        for entry in matching:
            del self.values[entry.key]
            tombstone = KeyValue(entry.key, b"", 0, revision, 0)
            self._notify("DELETE", tombstone)
        return len(matching)

    def grant(self, ttl: float, now: float) -> Lease:
        """Grant a lease."""
        lease = Lease(self._next_lease, ttl, now + ttl)
        self._next_lease += 1
        self.leases[lease.lease_id] = lease
        return lease

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is None or not lease.keys:
            return
        self.revision += 1
        for key in lease.keys:
            entry = self.values.get(key)
            if entry is not None and entry.lease == lease_id:
                self.delete(key, b"", self.revision)

    def expire(self, now: float) -> None:
        """Revoke the leases whose time to live has passed."""
        for lease in list(self.leases.values()):
            if lease.expires_at <= now:
                self.revoke(lease.lease_id)

    def _notify(self, kind: str, entry: KeyValue) -> None:
        for watcher in self.watchers:
            if in_range(entry.key, watcher.start, watcher.end):
                event: dict[str, Any] = {"kv": entry.as_json()}
                if kind == "DELETE":
                    event["type"] = kind
                watcher.events.put_nowait(event)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range as etcd defines it; an empty ``end`` means one key."""
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class EmulatedPlatform:
    """The state and the request handlers of the platform process.

    Args:
        machines: Entries of the machine list.
        requests_per_second: Rate limit of the key-value service.
    """

    def __init__(self, machines: list[dict[str, Any]], requests_per_second: float) -> None:
        self.store = KeyValueStore()
        self.faults = PlatformFaults()
        self._machines = {machine["id"]: dict(machine) for machine in machines}
        self._rate = requests_per_second
        self._rate_tokens = requests_per_second
        self._refilled_at = time.monotonic()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        kv: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }
        routes = [Route(path, self._guarded(call), methods=["POST"]) for path, call in kv.items()]
        routes += [
            Route("/v3/watch", self._watch, methods=["POST"]),
            Route("/v1/machines", self._list_machines),
            Route("/emulator/machines/{id}", self._set_machine, methods=["POST"]),
            Route("/emulator/faults", self._set_faults, methods=["POST"]),
        ]
        return Starlette(routes=routes, lifespan=self._lifespan)

    @contextlib.asynccontextmanager
    async def _lifespan(self, app: Starlette) -> AsyncIterator[None]:
        task = asyncio.create_task(self._expire_leases())
        yield
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            self.store.expire(time.monotonic())

    def _guarded(
        self, call: Callable[[dict[str, Any]], dict[str, Any]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            if self.faults.outage:
                return _grpc_error(503, GRPC_UNAVAILABLE, "etcdserver: no leader")
            if not self._take_rate_token():
                return _grpc_error(429, GRPC_RESOURCE_EXHAUSTED, "etcdserver: too many requests")
            await asyncio.sleep(self.faults.delay)
            try:
                answer = call(json.loads(await request.body()))
            except (KeyError, ValueError, TypeError) as error:
                return _grpc_error(400, 3, f"invalid request: {error!r}")
            if call == self._txn and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                raise ConnectionResetError("emulated loss of the answer")
            header = {"revision": str(self.store.revision)}
            return JSONResponse({"header": header} | answer)

        return handle

    def _take_rate_token(self) -> bool:
        now = time.monotonic()
        gained = (now - self._refilled_at) * self._rate
        self._rate_tokens = min(self._rate, self._rate_tokens + gained)
        self._refilled_at = now
        if self._rate_tokens < 1:
            return False
        self._rate_tokens -= 1
        return True

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        found = self.store.range(_bytes(body, "key"), _bytes(body, "range_end"))
        limit = int(body.get("limit", 0)) or len(found)
        if body.get("sort_order") == "DESCEND":
            found.reverse()
        values = [entry.as_json() for entry in found[:limit]]
        return {"kvs": values, "count": str(len(found))}

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        self.store.revision += 1
        self._put_at(body, self.store.revision)
        return {}

    def _put_at(self, body: dict[str, Any], revision: int) -> None:
        lease = int(body.get("lease", 0))
        if lease and lease not in self.store.leases:
            raise ValueError("requested lease not found")
        self.store.put(_bytes(body, "key"), _bytes(body, "value"), lease, revision)

    def _delete(self, body: dict[str, Any]) -> dict[str, Any]:
        self.store.revision += 1
        count = self.store.delete(
            _bytes(body, "key"), _bytes(body, "range_end"), self.store.revision
        )
        return {"deleted": str(count)}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._compare(entry) for entry in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        writes = any("request_range" not in operation for operation in operations)
        if writes:
            self.store.revision += 1
        responses = [self._operation(operation) for operation in operations]
        return {"succeeded": succeeded, "responses": responses}

    def _operation(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in operation:
            self._put_at(operation["request_put"], self.store.revision)
            return {"response_put": {}}
        if "request_delete_range" in operation:
            body = operation["request_delete_range"]
            count = self.store.delete(
                _bytes(body, "key"), _bytes(body, "range_end"), self.store.revision
            )
            return {"response_delete_range": {"deleted": str(count)}}
        return {"response_range": self._range(operation["request_range"])}

    def _compare(self, entry: dict[str, Any]) -> bool:
        existing = self.store.values.get(_bytes(entry, "key"))
        target = entry["target"]
        if target == "VALUE":
            return existing is not None and existing.value == _bytes(entry, "value")
        name = COMPARE_FIELDS[target]
        current = getattr(existing, name) if existing is not None else 0
        expected = int(entry.get(name, 0))
        result = entry.get("result", "EQUAL")
        if result == "GREATER":
            return bool(current > expected)
        if result == "LESS":
            return bool(current < expected)
        return bool(current == expected)

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.store.grant(float(body["TTL"]), time.monotonic())
        return {"ID": str(lease.lease_id), "TTL": str(int(lease.ttl))}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.store.leases.get(int(body["ID"]))
        if lease is None:
            return {"result": {"ID": str(body["ID"]), "TTL": "0"}}
        lease.expires_at = time.monotonic() + lease.ttl
        return {"result": {"ID": str(lease.lease_id), "TTL": str(int(lease.ttl))}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self.store.revoke(int(body["ID"]))
        return {}

    async def _watch(self, request: Request) -> Response:
        if self.faults.outage:
            return _grpc_error(503, GRPC_UNAVAILABLE, "etcdserver: no leader")
        create = (await request.json())["create_request"]
        watcher = Watcher(_bytes(create, "key"), _bytes(create, "range_end"))
        self.store.watchers.append(watcher)
        return StreamingResponse(self._watch_events(watcher), media_type="application/json")

    async def _watch_events(self, watcher: Watcher) -> AsyncIterator[bytes]:
        try:
            yield _watch_line(self.store.revision, {"created": True})
            while not self.faults.outage:
                with contextlib.suppress(TimeoutError):
                    event = await asyncio.wait_for(watcher.events.get(), LEASE_CHECK_SECONDS)
                    yield _watch_line(self.store.revision, {"events": [event]})
        finally:
            self.store.watchers.remove(watcher)

    async def _list_machines(self, request: Request) -> Response:
        if self.faults.outage:
            return JSONResponse({"error": "unavailable"}, status_code=503)
        return JSONResponse({"machines": list(self._machines.values())})

    async def _set_machine(self, request: Request) -> Response:
        machine_id = request.path_params["id"]
        change = await request.json()
        if change.get("removed"):
            self._machines.pop(machine_id, None)
        else:
            self._machines.setdefault(machine_id, {"id": machine_id}).update(change)
        return JSONResponse({})

    async def _set_faults(self, request: Request) -> Response:
        try:
            self.faults = PlatformFaults.model_validate_json(await request.body())
        except ValidationError as error:
            return JSONResponse({"error": str(error)}, status_code=400)
        return JSONResponse(self.faults.model_dump())


def _bytes(body: dict[str, Any], name: str) -> bytes:
    return base64.b64decode(body.get(name, ""), validate=True)


def _watch_line(revision: int, content: dict[str, Any]) -> bytes:
    result = {"result": {"header": {"revision": str(revision)}} | content}
    return json.dumps(result).encode() + b"\n"


def _grpc_error(status: int, code: int, message: str) -> JSONResponse:
    return JSONResponse({"error": message, "code": code, "message": message}, status_code=status)
