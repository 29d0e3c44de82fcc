"""Drives real processes with load and records a history for the checker."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from local_fleet import LocalFleet, get_json

from hillstack.core.claims import make_key
from hillstack.emulator.generation import prompt_fingerprint
from hillstack.simulation.checker import Violation, check
from hillstack.simulation.history import Adopt, Execute, History, Invoke, Return

CALL_TIMEOUT_SECONDS = 20.0
REPEATS = 3
STREAM_TOKENS = 30
PAUSE_SECONDS = 0.03
KEY_RANDOM_BITS = 80
STATUS_PAUSE_SECONDS = 0.1

Faults = Callable[[], Coroutine[Any, Any, None]]


@dataclass(slots=True)
class Driver:
    """Applies load and faults together and records what is needed to check the guarantees.

    Attributes:
        fleet: The deployment under test.
        seed: Seed of the load.
        history: Requests, answers, executions and adopted bundle versions, checked at the end.
        counts: Number of answers by status and outcome.
    """

    fleet: LocalFleet
    seed: int = 1
    history: History = field(default_factory=History)
    counts: dict[str, int] = field(default_factory=dict)
    _number: int = 0

    def run(self, seconds: float, faults: Faults) -> list[Violation]:
        """Apply load for some seconds while faults are injected; return the violations found."""
        asyncio.run(self._run(seconds, faults))
        self._collect_executions()
        return check(self.history)

    async def _run(self, seconds: float, faults: Faults) -> None:
        rng = random.Random(self.seed)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        end = time.monotonic() + seconds
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            watching = asyncio.create_task(self._poll_versions(session))
            async with asyncio.TaskGroup() as group:
                group.create_task(faults())
                while time.monotonic() < end:
                    await asyncio.sleep(PAUSE_SECONDS)
                    work = rng.choice((self._book, self._stream))
                    group.create_task(work(session, random.Random(rng.getrandbits(64))))
            watching.cancel()

    async def _book(self, session: aiohttp.ClientSession, rng: random.Random) -> None:
        key = make_key(time.time(), rng.getrandbits(KEY_RANDOM_BITS))
        headers = self._headers() | {"idempotency-key": key}
        body = json.dumps({"visit": key}).encode()
        for _ in range(REPEATS):
            request, address = self._invoke(rng, key, "booking", repeatable=False)
            url = f"http://{address}{self.fleet.plan['booking_path']}"
            try:
                async with session.post(url, data=body, headers=headers) as response:
                    content = await response.json()
            except (aiohttp.ClientError, TimeoutError, ValueError):
                self._return(Return(time.monotonic(), address, request, key, 0))
                continue
            if response.status == 200:
                answer_key = str(content.get("key"))
                self._return(
                    Return(time.monotonic(), address, request, key, 200, "ran", answer_key)
                )
                return
            self._return(self._refusal(request, address, key, response, content))
            await asyncio.sleep(rng.uniform(0.1, 1.5))

    async def _stream(self, session: aiohttp.ClientSession, rng: random.Random) -> None:
        key = f"stream-{rng.getrandbits(64)}"
        request, address = self._invoke(rng, key, "completion", repeatable=True)
        prompt = f"{rng.randrange(4)}" * 3_000 + key
        body = {
            "model": self.fleet.plan["model"],
            "prompt": prompt,
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        url = f"http://{address}/v1/completions"
        try:
            async with session.post(url, json=body, headers=self._headers()) as response:
                if response.status != 200:
                    content = await response.json()
                    self._return(self._refusal(request, address, key, response, content))
                    return
                text = (await response.read()).decode()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            self._return(Return(time.monotonic(), address, request, key, 0))
            return
        self._return(_describe_stream(text, prompt, address, request, key))

    def _refusal(
        self,
        request: str,
        address: str,
        key: str,
        response: aiohttp.ClientResponse,
        content: dict[str, dict[str, str]],
    ) -> Return:
        outcome = content["error"]["outcome"]
        has_retry_after = "retry-after" in response.headers
        now = time.monotonic()
        return Return(
            now, address, request, key, response.status, outcome, retry_after=has_retry_after
        )

    async def _poll_versions(self, session: aiohttp.ClientSession) -> None:
        last: dict[tuple[str, int], int] = {}
        while True:
            for router in self.fleet.routers:
                status = await _status(session, router.callers)
                if status is None or not status["bundle"]["version"]:
                    continue
                node, bundle = status["node"], status["bundle"]
                process = (str(node["id"]), int(node["started"]))
                if last.get(process) != bundle["version"]:
                    last[process] = bundle["version"]
                    now, digest = time.monotonic(), str(bundle["digest"])
                    self.history.add(Adopt(now, *process, bundle["version"], digest))
            await asyncio.sleep(STATUS_PAUSE_SECONDS)

    def _invoke(
        self, rng: random.Random, key: str, kind: str, *, repeatable: bool
    ) -> tuple[str, str]:
        self._number += 1
        request = f"r{self._number}"
        address = rng.choice(self.fleet.routers).callers
        self.history.add(Invoke(time.monotonic(), address, request, key, kind, repeatable))
        return request, address

    def _return(self, event: Return) -> None:
        self.history.add(event)
        name = f"{event.status} {event.outcome}".strip()
        self.counts[name] = self.counts.get(name, 0) + 1

    def _headers(self) -> dict[str, str]:
        tenant = self.fleet.plan["tenants"][0]
        return {"authorization": f"Bearer {self.fleet.token(tenant)}"}

    def _collect_executions(self) -> None:
        shift = time.monotonic() - time.time()
        for name in self.fleet.application_ids():
            for entry in get_json(self.fleet.addresses[name], "/emulator/executions") or []:
                if entry["method"] == "POST":
                    self.history.add(Execute(entry["at"] + shift, name, entry["key"]))


async def _status(session: aiohttp.ClientSession, address: str) -> dict[str, dict[str, Any]] | None:
    try:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with session.get(f"http://{address}/status", timeout=timeout) as response:
            content: dict[str, dict[str, Any]] = await response.json()
            return content
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return None


def _describe_stream(text: str, prompt: str, address: str, request: str, key: str) -> Return:
    positions: list[int] = []
    done = error = False
    answer_key = key
    for event in text.split("\n\n"):
        data = event.removeprefix("data: ")
        if data == "[DONE]":
            done = True
        elif data:
            content = json.loads(data)
            if "error" in content:
                error = True
                continue
            fingerprint, _, position = content["choices"][0]["text"].strip().partition(".")
            if fingerprint != prompt_fingerprint(prompt):
                answer_key = f"of {fingerprint}"
            positions.append(int(position))
    return Return(
        time.monotonic(),
        address,
        request,
        key,
        200,
        "ran",
        answer_key,
        tuple(positions),
        STREAM_TOKENS,
        done,
        error,
    )
