"""Responses of the emulated engine to completion requests, streamed or complete."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, ConfigDict
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Receive, Scope, Send

from hillstack.core.prompt import ChatMessage, render_chat
from hillstack.emulator.generation import prompt_fingerprint, token_text
from hillstack.simulation.engine_model import EngineRequest

if TYPE_CHECKING:
    from hillstack.emulator.engine import EmulatedEngine


class CompletionBody(BaseModel):
    """The part of an OpenAI completion request that the emulator reads."""

    model_config = ConfigDict(extra="ignore")

    model: str
    prompt: str | None = None
    messages: list[dict[str, Any]] | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    priority: int = 0
    cache_salt: str = ""


@dataclass(slots=True)
class CompletionStream:
    """A running completion, with a queue of the positions of its generated tokens."""

    request: EngineRequest
    tokens: asyncio.Queue[int] = field(default_factory=asyncio.Queue)


class CompletionResponse(Response):
    """Generates a completion and sends it, streamed or complete."""

    def __init__(self, engine: EmulatedEngine, request: Request, body: CompletionBody) -> None:
        super().__init__()
        self._engine = engine
        self._body = body
        self._chat = request.url.path.endswith("chat/completions")
        self._prompt = _prompt_of(body)
        self._fingerprint = prompt_fingerprint(self._prompt)
        request_id = request.headers.get("x-request-id", uuid.uuid4().hex)
        self._echoed_id = "crossed" if engine.faults.cross_answers else request_id
        self._resume_from = int(request.headers.get("x-resume-from", "0"))
        prefix = "chatcmpl-" if self._chat else "cmpl-"
        self._completion_id = prefix + self._echoed_id

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Generate the answer until it is complete or the caller disconnects."""
        stream = self._engine.submit(self._prompt, self._body, self._resume_from)
        generate = self._send_stream if self._body.stream else self._send_complete
        work = asyncio.create_task(generate(stream, send))
        disconnect = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait({work, disconnect}, return_when=asyncio.FIRST_COMPLETED)
            if work.done():
                work.result()
        finally:
            work.cancel()
            disconnect.cancel()
            await asyncio.gather(work, disconnect, return_exceptions=True)
            self._engine.close(stream)

    async def _send_stream(self, stream: CompletionStream, send: Send) -> None:
        await send(self._start("text/event-stream"))
        crash_after = self._engine.faults.crash_after_tokens
        sent = 0
        position = self._resume_from - 1
        while position + 1 < stream.request.output_tokens:
            position = await stream.tokens.get()
            last = position + 1 >= stream.request.output_tokens
            await send(_body_part(self._chunk(position, last), more=True))
            sent += 1
            if crash_after and sent >= crash_after:
                raise ConnectionResetError("emulated crash")
        if (self._body.stream_options or {}).get("include_usage"):
            usage_chunk = self._envelope([]) | {"usage": self._usage(stream.request)}
            await send(_body_part(_event(usage_chunk), more=True))
        await send(_body_part(b"data: [DONE]\n\n", more=False))
        self._record(stream.request)

    async def _send_complete(self, stream: CompletionStream, send: Send) -> None:
        position = -1
        while position + 1 < stream.request.output_tokens:
            position = await stream.tokens.get()
        texts = [token_text(self._fingerprint, at) for at in range(stream.request.output_tokens)]
        text = "".join(texts)
        choice: dict[str, object] = {"index": 0, "finish_reason": "length"}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = self._envelope([choice]) | {"usage": self._usage(stream.request)}
        await send(self._start("application/json"))
        await send(_body_part(json.dumps(answer).encode(), more=False))
        self._record(stream.request)

    def _record(self, request: EngineRequest) -> None:
        entry = {
            "request": self._echoed_id,
            "salt": self._body.cache_salt,
            "weights_version": self._engine.weights_version,
            "from": self._resume_from,
            "to": request.output_tokens,
        }
        self._engine.executions.append(entry)

    def _start(self, content_type: str) -> dict[str, Any]:
        headers = [
            (b"content-type", content_type.encode()),
            (b"x-request-id", self._echoed_id.encode()),
        ]
        if self._resume_from:
            headers.append((b"x-resumed-from", str(self._resume_from).encode()))
        return {"type": "http.response.start", "status": 200, "headers": headers}

    def _envelope(self, choices: list[dict[str, object]]) -> dict[str, object]:
        kind = "text_completion"
        if self._chat:
            kind = "chat.completion.chunk" if self._body.stream else "chat.completion"
        return {
            "id": self._completion_id,
            "object": kind,
            "created": int(time.time()),
            "model": self._body.model,
            "choices": choices,
        }

    def _chunk(self, position: int, last: bool) -> bytes:
        text = token_text(self._fingerprint, position)
        choice: dict[str, object] = {"index": 0, "finish_reason": "length" if last else None}
        if self._chat:
            choice["delta"] = {"content": text}
        else:
            choice["text"] = text
        return _event(self._envelope([choice]))

    def _usage(self, request: EngineRequest) -> dict[str, object]:
        cached = request.cached_blocks * self._engine.options.profile.block_tokens
        return {
            "prompt_tokens": request.prompt_tokens,
            "completion_tokens": request.output_tokens,
            "total_tokens": request.prompt_tokens + request.output_tokens,
            "prompt_tokens_details": {"cached_tokens": min(cached, request.prompt_tokens)},
        }


async def _wait_for_disconnect(receive: Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


def _prompt_of(body: CompletionBody) -> str:
    if body.messages is None:
        return body.prompt or ""
    messages = [
        ChatMessage(str(entry.get("role", "")), str(entry.get("content", "")))
        for entry in body.messages
    ]
    return render_chat(messages)


def _event(content: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(content, separators=(",", ":")).encode() + b"\n\n"


def _body_part(content: bytes, *, more: bool) -> dict[str, Any]:
    return {"type": "http.response.body", "body": content, "more_body": more}
