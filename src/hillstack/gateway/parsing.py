"""Authenticates, checks and parses requests of callers."""

from __future__ import annotations

import hashlib
import hmac
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from starlette.requests import Request

from hillstack.config.bundle import Model, Priority, Tenant, describe_validation
from hillstack.config.settings import LimitsSection
from hillstack.core.bundle_index import BundleIndex, ServedModel
from hillstack.core.prompt import ChatMessage, render_chat
from hillstack.decoding import MalformedDataError, parse_json
from hillstack.gateway.errors import CallerError, ErrorAnswer, bad_request

PRIORITY_HEADER = "x-priority"
TIMEOUT_HEADER = "x-request-timeout"
DEFAULT_OUTPUT_TOKENS = 16
# Bodies are read up to this multiple of the limit before the rest is left unread.
DISCARD_FACTOR = 4


class CompletionBody(BaseModel):
    """The fields of a completion request that the router reads; other fields are forwarded."""

    model_config = ConfigDict(extra="allow")

    model: str
    prompt: str | None = None
    messages: list[dict[str, Any]] | None = None
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    n: int | None = None

    @field_validator("n")
    @classmethod
    def _check_single_choice(cls, value: int | None) -> int | None:
        if value is not None and value != 1:
            raise ValueError("only one choice is supported")
        return value

    def output_tokens(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_OUTPUT_TOKENS

    def prompt_text(self) -> str:
        """Return the prompt as one text."""
        if self.messages is None:
            return self.prompt or ""
        return render_chat([_chat_message(entry) for entry in self.messages])


@dataclass(frozen=True, slots=True)
class ParsedCompletion:
    """A checked completion request."""

    body: CompletionBody
    content: dict[str, Any]
    served: ServedModel
    prompt: str


def authenticate(headers: Mapping[str, str], index: BundleIndex) -> Tenant:
    """Return the tenant of a bearer token.

    Tokens are looked up by their SHA-256, so the duration of the look-up reveals nothing useful
    about a token.

    Raises:
        CallerError: The token is missing or belongs to no tenant.
    """
    scheme, _, token = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token:
        raise bad_request("missing_key", "a bearer token is needed", 401)
    key_hash = hashlib.sha256(token.strip().encode()).hexdigest()
    tenant = index.tenants_by_key_hash.get(key_hash)
    if tenant is None or not hmac.compare_digest(tenant.key_hash, key_hash):
        raise bad_request("invalid_key", "the bearer token is unknown", 401)
    return tenant


def request_timeout(headers: Mapping[str, str], limits: LimitsSection) -> float:
    """Return the timeout of a request in seconds: the caller's, up to the limit, or the default.

    Raises:
        CallerError: The header is not a positive number.
    """
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return limits.default_deadline_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise bad_request("bad_deadline", f"{TIMEOUT_HEADER} must be a positive number of seconds")
    return min(seconds, limits.max_deadline_seconds)


def request_priority(headers: Mapping[str, str], index: BundleIndex) -> Priority:
    """Return the priority class that the caller names, or the class that is served last.

    Raises:
        CallerError: The class is unknown.
    """
    name = headers.get(PRIORITY_HEADER)
    if name is None:
        return index.default_priority
    priority = index.priorities.get(name)
    if priority is None:
        raise bad_request("unknown_priority", f"no priority {name!r}")
    return priority


async def read_body(request: Request, limits: LimitsSection) -> bytes:
    """Return the body of a request.

    Up to ``DISCARD_FACTOR`` times the limit is read, and the excess is discarded: a caller whose
    connection is closed while it still sends would not see the error answer.

    Raises:
        CallerError: The body is too long.
    """
    body = bytearray()
    received = 0
    async for chunk in request.stream():
        received += len(chunk)
        if received <= limits.max_body_bytes:
            body += chunk
        elif received > DISCARD_FACTOR * limits.max_body_bytes:
            break
    if received > limits.max_body_bytes:
        raise bad_request("body_too_long", f"at most {limits.max_body_bytes} bytes", 413)
    return bytes(body)


def parse_completion(raw: bytes, chat: bool, index: BundleIndex) -> ParsedCompletion:
    """Parse a completion request.

    Raises:
        CallerError: The request is malformed or names no model of the bundle.
    """
    try:
        content = parse_json(raw)
    except MalformedDataError as error:
        raise bad_request("invalid_json", f"the body is not JSON: {error}") from error
    try:
        body = CompletionBody.model_validate(content)
    except ValidationError as error:
        raise bad_request("invalid_body", describe_validation(error)) from error
    needed = body.messages if chat else body.prompt
    if needed is None:
        name = "messages" if chat else "prompt"
        raise bad_request("invalid_body", f"{name}: field required")
    served = index.models.get(body.model)
    if served is None:
        raise bad_request("model_not_found", f"no model {body.model!r}", 404)
    return ParsedCompletion(body, content, served, body.prompt_text())


def check_context(prompt_tokens: int, output_tokens: int, model: Model) -> None:
    """Check that prompt and answer fit the context of the model.

    Raises:
        CallerError: Prompt and answer together are too long.
    """
    if prompt_tokens + output_tokens > model.max_context_tokens:
        answer = ErrorAnswer(
            400,
            "context_length_exceeded",
            f"{prompt_tokens} + {output_tokens} tokens exceed {model.max_context_tokens}",
            step="check request",
        )
        raise CallerError(answer)


def _chat_message(entry: dict[str, Any]) -> ChatMessage:
    content = entry.get("content", "")
    if isinstance(content, list):
        content = "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return ChatMessage(str(entry.get("role", "")), str(content))
