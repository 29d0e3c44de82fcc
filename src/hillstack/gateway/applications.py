"""Serves application routes such as bookings, filings, look-ups and quotes."""

from __future__ import annotations

import asyncio
import hashlib
import logging
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response

from hillstack.config.bundle import Bundle, Route, Tenant
from hillstack.core.attempt import Attempt, AttemptState, Outcome, RequestAttempts
from hillstack.core.claims import ClaimVerdict, key_created_at, make_key
from hillstack.daemon.claim_coordinator import ClaimResult
from hillstack.daemon.node import Node
from hillstack.errors import (
    BackendBrokenError,
    BackendError,
    BackendRefusedError,
    CrossedAnswerError,
)
from hillstack.gateway.answers import not_ready_answer, read_whole, refuse_if_stale, router_of
from hillstack.gateway.errors import CallerError, ErrorAnswer, bad_request
from hillstack.gateway.parsing import authenticate, read_body, request_timeout
from hillstack.logs import error_fields
from hillstack.messages.types import ClaimRequest, StoredAnswer

logger = logging.getLogger(__name__)

KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 200
RETRY_SECONDS = 1.0
KIND = "application"
FORWARDED_HEADERS = ("content-type", "accept", "accept-language")
KEY_RANDOM_BITS = 80
# Larger answers are not stored with the claim, so a repeat does not receive them.
STORED_ANSWER_LIMIT_BYTES = 64 * 1024


@dataclass(slots=True)
class ApplicationJob:
    """An application request and its attempts."""

    route: Route
    tenant: Tenant
    method: str
    target: str
    body: bytes
    headers: dict[str, str]
    request_id: str
    deadline: float
    attempts: RequestAttempts


async def handle_application(node: Node, request: Request) -> Response:
    """Serve a request to a route of the bundle.

    Raises:
        CallerError: The request was refused or failed.
    """
    index = node.bundle_index
    # A request with an idempotency key may repeat a request that ran through another node.
    outcome = Outcome.UNKNOWN if KEY_HEADER in request.headers else Outcome.NOT_RUN
    if index is None:
        raise CallerError(not_ready_answer(outcome))
    route = index.route(request.method, request.url.path)
    if route is None:
        raise bad_request("no_route", f"no route {request.method} {request.url.path}", 404)
    tenant = authenticate(request.headers, index)
    timeout = request_timeout(request.headers, node.settings.limits)
    body = await read_body(request, node.settings.limits)
    refuse_if_stale(node, outcome)
    key = request.headers.get(KEY_HEADER)
    if key is not None and (len(key) > MAX_KEY_LENGTH or not key.isprintable() or not key):
        raise bad_request("bad_key", f"{KEY_HEADER} must be 1 to {MAX_KEY_LENGTH} characters")
    deadline = node.clock() + min(timeout, route.timeout_seconds)
    job = _make_job(node, request, route, tenant, body, key, deadline)
    try:
        async with asyncio.timeout(deadline - node.clock()):
            if route.repeatable:
                return await _run_repeatable(node, job)
            return await _run_once(node, job, index.bundle, key)
    except TimeoutError:
        raise CallerError(
            _unserved_answer(job, "deadline_exceeded", "the deadline passed", 504)
        ) from None


def _make_job(
    node: Node,
    request: Request,
    route: Route,
    tenant: Tenant,
    body: bytes,
    key: str | None,
    deadline: float,
) -> ApplicationJob:
    request_id = f"{node.rng.getrandbits(96):024x}"
    headers = {name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers}
    headers["x-tenant"] = tenant.name
    target = request.url.path
    if request.url.query:
        target += f"?{request.url.query}"
    may_be_repeat = key is not None and not route.repeatable
    return ApplicationJob(
        route,
        tenant,
        request.method,
        target,
        body,
        headers,
        request_id,
        deadline,
        RequestAttempts(request_id, route.repeatable, may_be_repeat),
    )


async def _run_repeatable(node: Node, job: ApplicationJob) -> Response:
    answer = await _attempt_until_done(node, job)
    return _response(job, answer)


async def _run_once(node: Node, job: ApplicationJob, bundle: Bundle, key: str | None) -> Response:
    """Run a non-repeatable request, under a claim if the caller gave a key.

    Without a key, no other request can be a repeat of this one, so there is nothing to claim. The
    application then gets a key that the router generates and never shows to the caller.
    """
    if key is None:
        random_bits = node.rng.getrandbits(KEY_RANDOM_BITS)
        job.headers[KEY_HEADER] = make_key(node.wall_clock(), random_bits)
        return _response(job, await _attempt_until_done(node, job))
    job.headers[KEY_HEADER] = key
    claim = ClaimRequest(
        key=f"{job.tenant.name}/{job.route.name}/{key}",
        attempt_id=job.request_id,
        body_digest=_digest(job),
        created_at=key_created_at(key),
    )
    result = await node.coordinator.claim(claim, bundle.zones)
    if result.verdict is not ClaimVerdict.WON:
        return _unclaimed_response(node, job, claim, result)
    job.attempts.may_be_repeat = False
    try:
        answer = await _attempt_until_done(node, job)
    except (CallerError, TimeoutError, asyncio.CancelledError):
        if not job.attempts.bytes_may_have_left():
            node.coordinator.release(claim, result)
        raise
    if len(answer.body) <= STORED_ANSWER_LIMIT_BYTES:
        await node.coordinator.complete(claim, result, answer)
    return _response(job, answer)


def _unclaimed_response(
    node: Node, job: ApplicationJob, claim: ClaimRequest, result: ClaimResult
) -> Response:
    """Return the stored answer of an earlier run, or raise the reason why the claim was lost."""
    if result.verdict is ClaimVerdict.OTHER_BODY:
        raise bad_request("key_reused", "the key was used with another request", 422)
    if result.answer is not None:
        response = _response(job, result.answer)
        response.headers["x-repeated"] = "true"
        return response
    node.coordinator.release(claim, result)
    if result.verdict is ClaimVerdict.HELD:
        answer = ErrorAnswer(
            409,
            "already_claimed",
            "the request may be running or may have run",
            Outcome.UNKNOWN,
            "claim",
            retry_after=RETRY_SECONDS,
        )
        raise CallerError(answer)
    raise CallerError(
        _unserved_answer(job, "no_majority", "no majority of zones to claim the key", 503)
    )


async def _attempt_until_done(node: Node, job: ApplicationJob) -> StoredAnswer:
    bundle = node.bundle
    assert bundle is not None
    excluded: set[str] = set()
    router = router_of(node)
    router.retry_budget.on_request(job.tenant.name, node.clock())
    while True:
        backend_id = router.place_application(job.route.pool, node.clock(), excluded)
        if backend_id is None:
            raise CallerError(
                _unserved_answer(job, "no_application", "no application takes work", 503)
            )
        attempt = job.attempts.start(backend_id)
        try:
            return await _attempt(node, job, attempt)
        except BackendError as error:
            excluded.add(backend_id)
            node.fleet.observe_failure(backend_id, node.clock())
            _log_failure(node, job, error)
            if not _may_retry(node, job, bundle):
                raise CallerError(_failure_answer(job, error)) from error


def _may_retry(node: Node, job: ApplicationJob, bundle: Bundle) -> bool:
    if not job.attempts.may_retry():
        return False
    if len(job.attempts.attempts) >= bundle.retries.max_attempts:
        return False
    return router_of(node).retry_budget.try_retry(job.tenant.name, node.clock())


async def _attempt(node: Node, job: ApplicationJob, attempt: Attempt) -> StoredAnswer:
    backend = node.fleet.get(attempt.backend_id)
    if backend is None:
        raise BackendRefusedError("application gone", step="place", peer=attempt.backend_id)
    node.fleet.sent(attempt.backend_id, attempt.attempt_id, 0.0, node.clock())
    node.metrics.attempts.labels(KIND).inc()
    headers = job.headers | {"x-request-id": attempt.attempt_id}
    url = f"http://{backend.machine.address}{job.target}"
    remaining = max(0.001, job.deadline - node.clock())
    incarnation = backend.incarnation
    limit = node.settings.limits.max_answer_bytes
    try:
        async with node.backends.send(
            attempt, job.method, url, job.body, headers, single_use=True, timeout=remaining
        ) as response:
            body = await read_whole(response, limit, attempt.backend_id)
            await node.backends.confirm_end(response, backend.machine.address, incarnation)
            content_type = response.headers.get("content-type", "application/octet-stream")
            answer = StoredAnswer(response.status, content_type, body)
            _check_echo(job, attempt, response.headers.get("x-request-id"))
            if job.route.repeatable and response.status in (502, 503):
                text = f"status {response.status}"
                raise BackendRefusedError(text, step="send", peer=attempt.backend_id)
    finally:
        node.fleet.finished(attempt.backend_id, attempt.attempt_id)
    attempt.advance(AttemptState.ANSWERED)
    return answer


def _check_echo(job: ApplicationJob, attempt: Attempt, echoed: str | None) -> None:
    if job.route.echoes_request_id and echoed != attempt.attempt_id:
        text = f"the answer carries the identifier {echoed!r}"
        raise CrossedAnswerError(text, step="read answer", peer=attempt.backend_id)


def _response(job: ApplicationJob, answer: StoredAnswer) -> Response:
    headers = {"content-type": answer.content_type, "x-request-id": job.request_id}
    return Response(answer.body, status_code=answer.status, headers=headers)


def _digest(job: ApplicationJob) -> str:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{job.method} {job.target}\n".encode())
    digest.update(job.body)
    return digest.hexdigest()


def _unserved_answer(job: ApplicationJob, code: str, message: str, status: int) -> ErrorAnswer:
    """Return the error for a request that ended without an answer of an application."""
    outcome = job.attempts.outcome_of_refusal()
    attempts = job.attempts.attempts
    peer = attempts[-1].backend_id if attempts else ""
    step = "wait for answer" if attempts else "dispatch"
    return ErrorAnswer(status, code, message, outcome, step, peer, RETRY_SECONDS)


def _failure_answer(job: ApplicationJob, error: BackendError) -> ErrorAnswer:
    outcome = job.attempts.outcome_of_refusal()
    code = "application_broke" if isinstance(error, BackendBrokenError) else "application_refused"
    return ErrorAnswer(502, code, error.message, outcome, error.step, error.peer, RETRY_SECONDS)


def _log_failure(node: Node, job: ApplicationJob, error: BackendError) -> None:
    if isinstance(error, CrossedAnswerError):
        node.metrics.crossed_answers.inc()
    fields = error_fields(error) | {"request": job.request_id, "tenant": job.tenant.name}
    logger.warning("attempt failed", extra=fields)
