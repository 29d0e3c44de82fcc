"""Answers and checks shared by completions and application routes."""

from __future__ import annotations

from starlette.responses import JSONResponse
from starlette.types import Send

from hillstack.core.admission import Refusal, RefusalReason
from hillstack.core.attempt import Outcome
from hillstack.core.request_router import RequestRouter
from hillstack.daemon.node import Node
from hillstack.daemon.ports import Answer
from hillstack.errors import BackendBrokenError
from hillstack.gateway.errors import CallerError, ErrorAnswer


def refusal_answer(refusal: Refusal) -> ErrorAnswer:
    """Return the answer to a request that was not admitted."""
    status = 504 if refusal.reason is RefusalReason.DEADLINE else 429
    return ErrorAnswer(
        status,
        refusal.reason.value,
        "not admitted",
        Outcome.NOT_RUN,
        "admit",
        retry_after=refusal.retry_after,
    )


def not_ready_answer(outcome: Outcome = Outcome.NOT_RUN) -> ErrorAnswer:
    """Return the answer while no bundle is in force."""
    return ErrorAnswer(
        503, "not_ready", "no bundle in force yet", outcome, "admit", retry_after=1.0
    )


def refuse_if_stale(node: Node, outcome: Outcome = Outcome.NOT_RUN) -> None:
    """Refuse a request if the bundle demands it after a long network partition.

    Raises:
        CallerError: The node was cut off from most zones for longer than the bundle allows.
    """
    if node.control.is_too_stale(node.clock()):
        answer = ErrorAnswer(
            503, "cut_off", "cut off from most zones", outcome, "admit", retry_after=5.0
        )
        raise CallerError(answer)


async def read_whole(answer: Answer, limit: int, backend_id: str) -> bytes:
    """Return the whole body of a back end's answer, of at most ``limit`` bytes.

    Raises:
        BackendBrokenError: The body is longer than the limit, or the connection broke.
    """
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > limit:
            raise BackendBrokenError("answer too long", step="read answer", peer=backend_id)
    return bytes(body)


async def send_json(send: Send, answer: ErrorAnswer, request_id: str) -> None:
    """Send an error answer over ASGI."""
    response = JSONResponse(
        answer.body(),
        status_code=answer.status,
        headers=answer.headers() | {"x-request-id": request_id},
    )
    start = {
        "type": "http.response.start",
        "status": answer.status,
        "headers": response.raw_headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": response.body})


def router_of(node: Node) -> RequestRouter:
    """Return the request router of a node that has a bundle in force."""
    assert node.router is not None
    return node.router
