"""Simulated callers and operators, which record in the history what they send and receive."""

from __future__ import annotations

import asyncio
import json
from random import Random

from hillstack.config.bundle import Bundle
from hillstack.core.claims import make_key
from hillstack.errors import BundleError, PlatformError
from hillstack.etcd.bundle_store import BundleStore
from hillstack.simulation.asgi import AsgiCall, AsgiReply
from hillstack.simulation.cluster import MODEL, TENANTS, SimCluster, tenant_token
from hillstack.simulation.environment import SimKeyValue
from hillstack.simulation.history import Accept, Invoke, Return
from hillstack.simulation.network import ConnectionBroken, ConnectionRefused, SimProcess
from hillstack.simulation.services import BLOCK_TOKENS, KEY_LENGTH

CALL_TIMEOUT_SECONDS = 8.0
BOOKING_ATTEMPTS = 4
KEY_RANDOM_BITS = 80
STREAM_TOKENS = 12
SHARED_BLOCKS = 3
NEW_WEIGHTS_SHARE = 0.3


class Callers:
    """Callers that send bookings, look-ups and streamed completions to random routers.

    A failed booking is retried with the same key, and a router is drawn for each retry.
    """

    def __init__(self, cluster: SimCluster, rng: Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self._number = 0

    async def run(self, until: float, mean_pause: float) -> None:
        """Send requests until the given virtual time."""
        async with asyncio.TaskGroup() as group:
            while self._cluster.scheduler.now < until:
                await asyncio.sleep(self._rng.expovariate(1 / mean_pause))
                work = self._rng.choice((self._book, self._book, self._complete, self._look_up))
                group.create_task(work())

    async def _book(self) -> None:
        """Send a booking, and retry with the same key until it succeeds or attempts run out."""
        rng, cluster = self._rng, self._cluster
        key = make_key(cluster.wall_clock(), rng.getrandbits(KEY_RANDOM_BITS))
        tenant = rng.choice(TENANTS)
        headers = _headers(tenant) | {"idempotency-key": key}
        call = AsgiCall("POST", "/bookings", headers, json.dumps({"visit": key}).encode())
        for _ in range(BOOKING_ATTEMPTS):
            reply = await self._send(call, key, "booking", repeatable=False)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(rng.uniform(0.1, 2.0))

    async def _look_up(self) -> None:
        call = AsgiCall("GET", "/bookings/1", _headers(self._rng.choice(TENANTS)))
        await self._send(call, self._next_name(), "look-up", repeatable=True)

    async def _complete(self) -> None:
        tenant = self._rng.choice(TENANTS)
        # The prompt ends with the key. The first character of the key identifies the tenant, which
        # the engine records with the blocks it stores.
        key = f"{tenant[-1]}{self._next_name()}".ljust(KEY_LENGTH, ".")
        shared = f"shared {self._rng.randrange(4)} ".ljust(SHARED_BLOCKS * BLOCK_TOKENS, "s")
        body = {
            "model": MODEL,
            "prompt": shared + key,
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        headers = _headers(tenant)
        call = AsgiCall("POST", "/v1/completions", headers, json.dumps(body).encode())
        await self._send(call, key, "completion", repeatable=True)

    async def _send(
        self, call: AsgiCall, key: str, kind: str, *, repeatable: bool
    ) -> AsgiReply | None:
        cluster = self._cluster
        name = self._next_name()
        router = self._rng.choice(cluster.router_names())
        now = cluster.scheduler.now
        cluster.history.add(Invoke(now, router, name, key, kind, repeatable))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                reply = await cluster.http(router, call)
        except (TimeoutError, ConnectionRefused, ConnectionBroken):
            cluster.history.add(Return(cluster.scheduler.now, router, name, key, 0))
            return None
        event = _return_event(reply, kind, cluster.scheduler.now, router, name, key)
        cluster.history.add(event)
        return reply

    def _next_name(self) -> str:
        self._number += 1
        return f"r{self._number:06d}"


class Operator:
    """An operator that rolls out new bundles, concurrently with other operators."""

    def __init__(self, cluster: SimCluster, name: str, process: SimProcess, rng: Random) -> None:
        self._cluster = cluster
        self._name = name
        self._rng = rng
        key_value = SimKeyValue(process, cluster.network, cluster.services.platform)
        self._store = BundleStore(key_value)

    async def run(self, until: float, mean_pause: float) -> None:
        """Roll out bundles until the given virtual time."""
        while self._cluster.scheduler.now < until:
            await asyncio.sleep(self._rng.expovariate(1 / mean_pause))
            try:
                await self._roll_out_next()
            except (PlatformError, BundleError):
                continue

    def _next_model(self, parent: Bundle) -> dict[str, object]:
        """Return the model, sometimes with the next weights version."""
        model = parent.models[0]
        next_version = model.weights_version + (self._rng.random() < NEW_WEIGHTS_SHARE)
        return model.model_dump() | {"weights_version": next_version}

    async def _roll_out_next(self) -> None:
        latest = await self._store.latest()
        assert latest is not None
        parent = latest.bundle()
        child = Bundle.model_validate(
            parent.model_dump()
            | {
                "version": parent.version + 1,
                "parent_digest": parent.digest(),
                "retries": {"ratio": round(self._rng.uniform(0.2, 0.6), 6)},
                "models": [self._next_model(parent)],
            }
        )
        await self._store.roll_out(self._cluster.partners.sign(child), child)
        now = self._cluster.scheduler.now
        self._cluster.history.add(Accept(now, self._name, child.version, child.digest()))


def _headers(tenant: str) -> dict[str, str]:
    return {"authorization": f"Bearer {tenant_token(tenant)}", "x-request-timeout": "6"}


def _return_event(
    reply: AsgiReply, kind: str, now: float, router: str, name: str, key: str
) -> Return:
    if reply.status != 200:
        error = reply.content().get("error", {})
        outcome = str(error.get("outcome", ""))
        has_retry_after = "retry-after" in reply.headers
        return Return(now, router, name, key, reply.status, outcome, retry_after=has_retry_after)
    if kind != "completion":
        answer_key = str(reply.content().get("key", "")) if kind == "booking" else ""
        return Return(now, router, name, key, 200, "ran", answer_key)
    return _stream_return(reply, now, router, name, key)


def _stream_return(reply: AsgiReply, now: float, router: str, name: str, key: str) -> Return:
    positions: list[int] = []
    answer_key = ""
    done = error = False
    for line in reply.body.decode().split("\n\n"):
        data = line.removeprefix("data: ")
        if data == "[DONE]":
            done = True
        elif data:
            event = json.loads(data)
            if "error" in event:
                error = True
                continue
            text_key, _, position = event["choices"][0]["text"].rpartition(":")
            answer_key = answer_key if answer_key not in ("", key) else text_key
            positions.append(int(position))
    return Return(
        now,
        router,
        name,
        key,
        200,
        "ran",
        answer_key,
        tuple(positions),
        STREAM_TOKENS,
        done,
        error,
    )
