"""Checks and admits completions."""

from __future__ import annotations

from starlette.requests import Request

from hillstack.config.bundle import Priority
from hillstack.core.attempt import RequestAttempts
from hillstack.core.prefix import TextHashes
from hillstack.core.prompt import ByteTokenizer, Tokenizer
from hillstack.core.request_router import CompletionRequest
from hillstack.daemon.node import Node
from hillstack.gateway.answers import (
    not_ready_answer,
    refusal_answer,
    refuse_if_stale,
    router_of,
)
from hillstack.gateway.completion_job import CompletionJob
from hillstack.gateway.completion_response import CompletionResponse
from hillstack.gateway.errors import CallerError
from hillstack.gateway.parsing import (
    ParsedCompletion,
    authenticate,
    check_context,
    parse_completion,
    read_body,
    request_priority,
    request_timeout,
)

TOKENIZER: Tokenizer = ByteTokenizer()


async def handle_completion(node: Node, request: Request, chat: bool) -> CompletionResponse:
    """Check and admit a completion and return the response that runs it.

    Raises:
        CallerError: The request is invalid or refused.
    """
    index = node.bundle_index
    if index is None:
        raise CallerError(not_ready_answer())
    tenant = authenticate(request.headers, index)
    timeout = request_timeout(request.headers, node.settings.limits)
    priority = request_priority(request.headers, index)
    arrived_at = node.clock()
    raw = await read_body(request, node.settings.limits)
    parsed = parse_completion(raw, chat, index)
    refuse_if_stale(node)
    job = _make_job(node, request, parsed, priority, tenant.name, chat, arrived_at, timeout)
    check_context(job.request.prompt_tokens, job.request.output_tokens, parsed.served.model)
    router = router_of(node)
    refusal = router.admit(job.request, node.clock())
    if refusal is not None:
        node.metrics.refusals.labels(refusal.reason.value).inc()
        raise CallerError(refusal_answer(refusal))
    router.retry_budget.on_request(tenant.name, node.clock())
    return CompletionResponse(node, job)


def _make_job(
    node: Node,
    request: Request,
    parsed: ParsedCompletion,
    priority: Priority,
    tenant: str,
    chat: bool,
    arrived_at: float,
    timeout: float,
) -> CompletionJob:
    bundle = node.bundle
    assert bundle is not None
    scope = parsed.served.scope(tenant)
    tokens = TOKENIZER.encode(parsed.prompt)
    request_id = f"{node.rng.getrandbits(96):024x}"
    completion = CompletionRequest(
        tenant=tenant,
        model=parsed.served.model,
        hashes=TextHashes(tokens, bundle.block_tokens, TOKENIZER.width, scope),
        prompt_tokens=max(1, len(tokens) // TOKENIZER.width),
        output_tokens=parsed.body.output_tokens(),
        deadline=arrived_at + timeout,
        urgent=priority.urgent,
    )
    return CompletionJob(
        completion,
        parsed,
        priority,
        scope,
        request_id,
        request.url.path,
        chat,
        arrived_at,
        RequestAttempts(request_id, repeatable=True),
    )
