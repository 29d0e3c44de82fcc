"""Runs a completion: sends attempts to engines and relays the answer to the caller."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from starlette.types import Receive, Scope, Send

from hillstack.core.attempt import Attempt, AttemptState, Outcome
from hillstack.core.placement.base import Placement
from hillstack.daemon.node import Node
from hillstack.daemon.ports import Answer
from hillstack.decoding import MalformedDataError, parse_json
from hillstack.errors import BackendError, BackendRefusedError, CrossedAnswerError
from hillstack.gateway.answers import read_whole, router_of, send_json
from hillstack.gateway.completion_job import CompletionJob
from hillstack.gateway.errors import CallerError, ErrorAnswer
from hillstack.gateway.stream_relay import DONE_EVENT, StreamRelay
from hillstack.logs import error_fields

logger = logging.getLogger(__name__)

NO_ENGINE_RETRY_SECONDS = 1.0
RETRY_BUDGET_SECONDS = 2.0
DEADLINE_RETRY_SECONDS = 1.0
KIND = "completion"
RESUME_HEADER = "x-resume-from"
RESUMED_HEADER = "x-resumed-from"

AnswerHandler = Callable[[Answer, Attempt], Awaitable[int | None]]


class CompletionResponse:
    """An ASGI response that runs a completion and stops when the caller disconnects."""

    def __init__(self, node: Node, job: CompletionJob) -> None:
        self._node = node
        self._job = job
        stream_options = job.parsed.body.stream_options or {}
        include_usage = bool(stream_options.get("include_usage"))
        self._relay = StreamRelay(job.request_id, job.chat, include_usage)
        self._started = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run until the answer is sent or the caller disconnects."""
        work = asyncio.create_task(self._run(send))
        watch = asyncio.create_task(_wait_for_disconnect(receive))
        watch.add_done_callback(lambda _: work.cancel())
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await work
        finally:
            work.cancel()
            watch.cancel()

    async def _run(self, send: Send) -> None:
        job = self._job
        metrics = self._node.metrics
        try:
            async with asyncio.timeout(job.request.deadline - self._node.clock()):
                await self._serve(send)
            metrics.requests.labels(KIND, "served").inc()
        except TimeoutError:
            await self._send_error(send, self._deadline_answer())
        except CallerError as error:
            await self._send_error(send, error.answer)

    async def _serve(self, send: Send) -> None:
        if self._job.parsed.body.stream:
            await self._attempt_until_done(lambda r, a: self._relay_stream(r, a, send))
            await send({"type": "http.response.body", "body": DONE_EVENT})
        else:
            await self._attempt_until_done(lambda r, a: self._relay_whole(r, a, send))

    async def _attempt_until_done(self, handle_answer: AnswerHandler) -> None:
        job, node = self._job, self._node
        while True:
            placement = router_of(node).place(job.request, node.clock(), job.excluded)
            if placement is None:
                raise CallerError(self._no_engine_answer())
            try:
                await self._attempt(placement, handle_answer)
                return
            except BackendError as error:
                self._record_failure(placement, error)
                self._require_retry(error)

    async def _attempt(self, placement: Placement, handle_answer: AnswerHandler) -> None:
        job, node = self._job, self._node
        router = router_of(node)
        attempt = job.attempts.start(placement.engine_id)
        backend = node.fleet.get(placement.engine_id)
        if backend is None:
            raise BackendRefusedError("engine gone", step="place", peer=placement.engine_id)
        router.started(job.request, placement, attempt.attempt_id, node.clock())
        node.announce_fill(job.request, placement)
        node.metrics.attempts.labels(KIND).inc()
        cached_tokens: int | None = None
        try:
            url = f"http://{backend.machine.address}{job.path}"
            async with node.backends.send(
                attempt, "POST", url, self._engine_body(placement), self._engine_headers(attempt)
            ) as response:
                if response.status in (429, 500, 502, 503):
                    text = f"status {response.status}"
                    raise BackendRefusedError(text, step="send", peer=placement.engine_id)
                cached_tokens = await handle_answer(response, attempt)
            attempt.advance(AttemptState.ANSWERED)
        finally:
            router.finished(job.request, placement, attempt.attempt_id, cached_tokens)
        self._count_tokens(placement, cached_tokens)

    def _count_tokens(self, placement: Placement, cached_tokens: int | None) -> None:
        metrics, prompt = self._node.metrics, self._job.request.prompt_tokens
        metrics.prompt_tokens.inc(prompt)
        metrics.cached_tokens.inc(cached_tokens or 0)
        metrics.expected_cached_tokens.inc(max(0, prompt - placement.uncached_tokens))

    def _record_failure(self, placement: Placement, error: BackendError) -> None:
        node, job = self._node, self._job
        job.excluded.add(placement.engine_id)
        node.fleet.observe_failure(placement.engine_id, node.clock())
        if isinstance(error, CrossedAnswerError):
            node.metrics.crossed_answers.inc()
        fields = error_fields(error) | {"request": job.request_id, "tenant": job.request.tenant}
        logger.warning("attempt failed", extra=fields)

    def _require_retry(self, error: BackendError) -> None:
        """Check that the request may be retried.

        A stream that has begun resumes without using the retry budget, because the work done so
        far would be lost otherwise. The maximum number of attempts still applies.

        Raises:
            CallerError: The attempts or the retry budget are used up.
        """
        job, node = self._job, self._node
        bundle = node.bundle
        assert bundle is not None
        if len(job.attempts.attempts) >= bundle.retries.max_attempts:
            raise CallerError(self._failure_answer(error, NO_ENGINE_RETRY_SECONDS)) from error
        if self._relay.events_forwarded:
            node.metrics.resumes.inc()
            return
        if not router_of(node).retry_budget.try_retry(job.request.tenant, node.clock()):
            raise CallerError(self._failure_answer(error, RETRY_BUDGET_SECONDS)) from error

    async def _relay_stream(self, response: Answer, attempt: Attempt, send: Send) -> int | None:
        if response.status != 200:
            raise CallerError(await self._engine_error(response))
        relay = self._relay
        self._require_resume(response, attempt)
        relay.start_attempt(attempt.attempt_id, attempt.backend_id)
        async for chunk in response.content.iter_any():
            forwarded = relay.feed(chunk)
            if forwarded:
                if not self._started:
                    await self._start_stream(send, attempt)
                await send({"type": "http.response.body", "body": forwarded, "more_body": True})
        if not relay.done:
            text = "the stream ended without [DONE]"
            raise BackendError(text, step="relay", peer=attempt.backend_id)
        return relay.cached_tokens

    def _require_resume(self, response: Answer, attempt: Attempt) -> None:
        """Check that an engine which was asked to resume a stream confirms it.

        An engine that ignores the request starts from the first token, and the caller would get
        tokens twice.

        Raises:
            BackendError: The engine did not confirm that it resumes.
        """
        forwarded = self._relay.events_forwarded
        if forwarded and response.headers.get(RESUMED_HEADER) != str(forwarded):
            text = "the engine does not resume streams"
            raise BackendError(text, step="resume", peer=attempt.backend_id)

    async def _start_stream(self, send: Send, attempt: Attempt) -> None:
        self._started = True
        node, job = self._node, self._job
        router_of(node).first_token(attempt.backend_id, attempt.attempt_id)
        node.metrics.time_to_first_token.observe(node.clock() - job.arrived_at)
        headers = [
            (b"content-type", b"text/event-stream; charset=utf-8"),
            (b"cache-control", b"no-cache"),
            (b"x-request-id", job.request_id.encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})

    async def _relay_whole(self, response: Answer, attempt: Attempt, send: Send) -> int | None:
        limit = self._node.settings.limits.max_answer_bytes
        body = await read_whole(response, limit, attempt.backend_id)
        if response.status != 200:
            raise CallerError(await self._engine_error(response, body))
        answer = _parse_answer(body, attempt)
        text = body.replace(attempt.attempt_id.encode(), self._job.request_id.encode())
        headers = [
            (b"content-type", b"application/json"),
            (b"x-request-id", self._job.request_id.encode()),
        ]
        self._started = True
        self._node.metrics.time_to_first_token.observe(self._node.clock() - self._job.arrived_at)
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": text})
        details = (answer.get("usage") or {}).get("prompt_tokens_details") or {}
        cached = details.get("cached_tokens")
        return int(cached) if isinstance(cached, int) else None

    async def _engine_error(self, response: Answer, body: bytes | None = None) -> ErrorAnswer:
        text = body if body is not None else await response.content.read(4_096)
        message = text[:500].decode(errors="replace")
        return ErrorAnswer(
            response.status, "engine_error", message, Outcome.RAN, "engine", self._last_peer()
        )

    def _engine_body(self, placement: Placement) -> bytes:
        job = self._job
        content = dict(job.parsed.content)
        scope = replace(job.scope, weights_version=placement.weights_version)
        content["cache_salt"] = scope.cache_salt()
        content["priority"] = job.priority.level
        if job.parsed.body.stream:
            options = job.parsed.body.stream_options or {}
            content["stream_options"] = options | {"include_usage": True}
        return json.dumps(content).encode()

    def _engine_headers(self, attempt: Attempt) -> dict[str, str]:
        headers = {"content-type": "application/json", "x-request-id": attempt.attempt_id}
        if self._relay.events_forwarded:
            headers[RESUME_HEADER] = str(self._relay.events_forwarded)
        return headers

    def _deadline_answer(self) -> ErrorAnswer:
        return ErrorAnswer(
            504,
            "deadline_exceeded",
            "the deadline passed",
            self._job.attempts.outcome_of_refusal(),
            "wait for engine",
            self._last_peer(),
            DEADLINE_RETRY_SECONDS,
        )

    def _no_engine_answer(self) -> ErrorAnswer:
        return ErrorAnswer(
            503,
            "no_engine",
            "no engine takes work",
            self._job.attempts.outcome_of_refusal(),
            "place",
            self._last_peer(),
            NO_ENGINE_RETRY_SECONDS,
        )

    def _failure_answer(self, error: BackendError, retry_after: float) -> ErrorAnswer:
        outcome = self._job.attempts.outcome_of_refusal()
        return ErrorAnswer(
            502, "engine_failed", error.message, outcome, error.step, error.peer, retry_after
        )

    def _last_peer(self) -> str:
        attempts = self._job.attempts.attempts
        return attempts[-1].backend_id if attempts else ""

    async def _send_error(self, send: Send, answer: ErrorAnswer) -> None:
        self._node.metrics.requests.labels(KIND, answer.code).inc()
        if not self._started:
            await send_json(send, answer, self._job.request_id)
            return
        if not self._job.parsed.body.stream:
            return
        # The stream has begun, so it ends with an error event and without [DONE].
        await send({"type": "http.response.body", "body": answer.event()})


def _parse_answer(body: bytes, attempt: Attempt) -> dict[str, Any]:
    try:
        answer = parse_json(body)
    except MalformedDataError as error:
        raise BackendError(
            "the answer is not JSON", step="read answer", peer=attempt.backend_id
        ) from error
    identifier = str(answer.get("id", "")) if isinstance(answer, dict) else ""
    if not identifier.endswith(attempt.attempt_id):
        text = f"the answer carries the identifier {identifier!r}"
        raise CrossedAnswerError(text, step="read answer", peer=attempt.backend_id)
    return dict(answer)


async def _wait_for_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
