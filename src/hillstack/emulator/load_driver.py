"""Sends a workload to a deployment over HTTP and verifies every answer.

Arrivals are open-loop. Streams are compared with the text that an emulated engine must generate;
bookings are compared with the executions that the applications recorded.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from hillstack.core.claims import make_key
from hillstack.emulator.generation import expected_text
from hillstack.simulation.workload import Arrival, Workload, WorkloadGenerator

HISTOGRAM_MAX_MICROSECONDS = 120_000_000
HISTOGRAM_DIGITS = 3
MICROSECONDS = 1_000_000
REQUEST_TIMEOUT_SECONDS = 60.0
KEY_RANDOM_BITS = 80


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The load to send.

    Attributes:
        routers: Addresses at which the routers accept callers.
        tokens: Bearer token by tenant.
        rate: Completions per second.
        booking_rate: Rate of bookings, and of look-ups, per second.
    """

    routers: Sequence[str]
    tokens: dict[str, str]
    workload: Workload
    model: str
    booking_path: str
    lookup_path: str
    rate: float
    booking_rate: float
    seconds: float
    seed: int
    block_tokens: int = 1_000


@dataclass(slots=True)
class LoadResult:
    """Counts of requests and answers, and the problems found.

    Attributes:
        problems: Texts of the first ten wrong or missing answers.
        booking_keys: Outcome reported for each booking key.
        first_token: Times to first token in microseconds.
    """

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    wrong: int = 0
    bookings_sent: int = 0
    bookings_served: int = 0
    lookups_served: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    problems: list[str] = field(default_factory=list)
    booking_keys: dict[str, str] = field(default_factory=dict)
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_MICROSECONDS, HISTOGRAM_DIGITS)
    )

    def first_token_seconds(self, percentile: float) -> float:
        """Return a percentile of the time to the first token."""
        return float(self.first_token.get_value_at_percentile(percentile)) / MICROSECONDS

    def hit_rate(self) -> float:
        """Return the share of prompt tokens found in the engines' caches."""
        return self.cached_tokens / self.prompt_tokens if self.prompt_tokens else 0.0

    def note_problem(self, text: str) -> None:
        """Count a wrong or missing answer and record its text."""
        self.wrong += 1
        if len(self.problems) < 10:
            self.problems.append(text)


class LoadDriver:
    """Sends the requests of a plan and verifies the answers."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self.result = LoadResult()

    async def run(self, on_progress: Callable[[float, LoadResult], None]) -> LoadResult:
        """Run the whole plan; ``on_progress`` is called about once a second."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            started = time.monotonic()
            reporter = asyncio.create_task(self._report(started, on_progress))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._completions(session, started, group))
                group.create_task(self._applications(session, started, group))
            reporter.cancel()
        return self.result

    async def _report(
        self, started: float, on_progress: Callable[[float, LoadResult], None]
    ) -> None:
        while True:
            await asyncio.sleep(1.0)
            on_progress(time.monotonic() - started, self.result)

    async def _completions(
        self, session: aiohttp.ClientSession, started: float, group: asyncio.TaskGroup
    ) -> None:
        plan = self._plan
        generator = WorkloadGenerator(plan.workload, plan.rate, plan.seed)
        for arrival in generator.arrivals(plan.seconds):
            await asyncio.sleep(max(0.0, started + arrival.at - time.monotonic()))
            group.create_task(self._complete(session, arrival))

    async def _applications(
        self, session: aiohttp.ClientSession, started: float, group: asyncio.TaskGroup
    ) -> None:
        plan = self._plan
        while plan.booking_rate > 0 and time.monotonic() - started < plan.seconds:
            await asyncio.sleep(self._rng.expovariate(plan.booking_rate))
            group.create_task(self._book(session))
            group.create_task(self._look_up(session))

    async def _complete(self, session: aiohttp.ClientSession, arrival: Arrival) -> None:
        plan, result = self._plan, self.result
        prompt = arrival.prompt(plan.block_tokens)
        body = {
            "model": plan.model,
            "prompt": prompt,
            "max_tokens": arrival.output_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        headers = self._headers(arrival.tenant) | {"x-priority": arrival.request_class.priority}
        result.sent += 1
        sent_at = time.monotonic()
        try:
            url = f"http://{self._router()}/v1/completions"
            async with session.post(url, json=body, headers=headers) as response:
                if response.status in (429, 503, 504):
                    result.refused += 1
                    return
                if response.status != 200:
                    result.failed += 1
                    return
                text = await self._read_stream(response, sent_at)
        except (aiohttp.ClientError, TimeoutError) as error:
            result.failed += 1
            result.note_problem(f"completion broke: {error!r}")
            return
        if text is None:
            result.failed += 1
        elif text != expected_text(prompt, arrival.output_tokens):
            result.note_problem(f"stream of arrival {arrival.number} has wrong text")
        else:
            result.served += 1

    async def _read_stream(self, response: aiohttp.ClientResponse, sent_at: float) -> str | None:
        """Return the text of a stream, or None if it ended with an error or without ``[DONE]``."""
        texts: list[str] = []
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                return "".join(texts)
            event = json.loads(data)
            if "error" in event:
                return None
            if not texts:
                elapsed = int((time.monotonic() - sent_at) * MICROSECONDS)
                self.result.first_token.record_value(max(1, elapsed))
            if event["choices"]:
                texts.append(event["choices"][0]["text"])
            else:
                self._add_usage(event["usage"])
        self.result.note_problem("a stream ended without [DONE] and without an error")
        return None

    def _add_usage(self, usage: dict[str, object]) -> None:
        details = usage["prompt_tokens_details"]
        assert isinstance(details, dict)
        self.result.prompt_tokens += int(str(usage["prompt_tokens"]))
        self.result.cached_tokens += int(details["cached_tokens"])

    async def _book(self, session: aiohttp.ClientSession) -> None:
        plan, result = self._plan, self.result
        key = make_key(time.time(), self._rng.getrandbits(KEY_RANDOM_BITS))
        headers = self._headers(self._tenant()) | {"idempotency-key": key}
        result.bookings_sent += 1
        url = f"http://{self._router()}{plan.booking_path}"
        try:
            async with session.post(url, json={"visit": key}, headers=headers) as response:
                content = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            result.booking_keys[key] = "unknown"
            result.note_problem(f"booking broke: {error!r}")
            return
        if response.status == 200:
            result.bookings_served += 1
            result.booking_keys[key] = "ran"
            if content.get("key") != key:
                result.note_problem(f"booking {key} got the answer of {content.get('key')}")
        else:
            result.booking_keys[key] = str(content["error"]["outcome"])

    async def _look_up(self, session: aiohttp.ClientSession) -> None:
        url = f"http://{self._router()}{self._plan.lookup_path}/1"
        try:
            async with session.get(url, headers=self._headers(self._tenant())) as response:
                await response.read()
                self.result.lookups_served += response.status == 200
        except (aiohttp.ClientError, TimeoutError) as error:
            self.result.note_problem(f"look-up broke: {error!r}")

    def _headers(self, tenant: str) -> dict[str, str]:
        return {"authorization": f"Bearer {self._plan.tokens[tenant]}"}

    def _router(self) -> str:
        return self._rng.choice(self._plan.routers)

    def _tenant(self) -> str:
        return self._rng.choice([name for name, _ in self._plan.workload.tenants])


def check_executions(result: LoadResult, executed_keys: Sequence[str]) -> None:
    """Compare the reported outcomes of bookings with the recorded executions."""
    counts: dict[str, int] = {}
    for key in executed_keys:
        counts[key] = counts.get(key, 0) + 1
    for key, outcome in result.booking_keys.items():
        count = counts.get(key, 0)
        if count > 1:
            result.note_problem(f"booking {key} ran {count} times")
        if outcome == "not_run" and count:
            result.note_problem(f"booking {key} was said not to have run, and ran")
        if outcome == "ran" and not count:
            result.note_problem(f"booking {key} was said to have run, and did not")
