"""Parsing of tenants' rate limits and of request headers, and rejection of invalid limits."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from hillstack.core.tenant_limits import LimitUnit, TenantLimit
from hillstack.daemon.change_log import StoredItem
from hillstack.errors import PlatformError
from hillstack.platform import names
from hillstack.platform.formats import parse_usage, to_event
from hillstack.platform.ingress import Ingress
from hillstack.serving.store_events import ConfigurationChanged
from hillstack.serving.types import ServingRequest
from tests.fleet.builders import rev


def limit_of(**fields: Any) -> TenantLimit | None:
    tenant = {"name": "tenant-1", "api_keys": ["key-1", "key-2"], **fields}
    value = json.dumps({"version": 1, "tenants": [tenant]}).encode()
    event = to_event(StoredItem(names.CONFIGURATION_KEY, rev(1), value))
    assert isinstance(event, ConfigurationChanged)
    keys = event.table.tenants_by_key
    assert keys is not None and keys["key-1"] is keys["key-2"]
    assert event.table.limit_of("tenant-1") == keys["key-1"].limit
    assert event.table.has_limits() == (keys["key-1"].limit is not None)
    return keys["key-1"].limit


def test_limit_in_tokens() -> None:
    limit = limit_of(unit="tokens", plain_tokens=200, rate_per_s=297_131, burst=100_000)
    assert limit == TenantLimit(297_131, 100_000, LimitUnit.TOKENS, 200)


def test_limit_in_requests() -> None:
    limit = limit_of(rate_per_s=20, burst=10)
    assert limit == TenantLimit(20, 10, LimitUnit.REQUESTS, 0)


@pytest.mark.parametrize(
    "fields", [{}, {"rate_per_s": 0, "burst": 5}, {"rate_per_s": None, "unit": None}]
)
def test_tenant_without_a_rate_has_no_limit(fields: dict[str, Any]) -> None:
    assert limit_of(**fields) is None


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"rate_per_s": -1}, "rate_per_s"),
        ({"rate_per_s": "many"}, "rate_per_s"),
        ({"rate_per_s": 5, "burst": -2}, "burst"),
        ({"rate_per_s": 5, "plain_tokens": -1}, "plain_tokens"),
        ({"rate_per_s": 5, "unit": "bytes"}, "unit"),
    ],
)
def test_invalid_limit_is_rejected_with_the_name_of_its_field(
    fields: dict[str, Any], named: str
) -> None:
    with pytest.raises(PlatformError, match=named):
        limit_of(**fields)


@pytest.mark.parametrize(
    ("usage", "tokens"),
    [("1460,80", 1_540), ("1460, 80", 1_540), ("", None), ("1460", None), ("a,b", None)],
)
def test_tokens_charged_for_a_request(usage: str, tokens: int | None) -> None:
    assert parse_usage(usage) == tokens


class RecordingServing:
    """Stores the request that it receives."""

    def __init__(self) -> None:
        self.request: ServingRequest | None = None

    async def serve(self, request: ServingRequest, sink: Any) -> None:
        self.request = request


async def _receive_empty_body() -> dict[str, Any]:
    return {"type": "http.request", "body": b"", "more_body": False}


async def _discard(message: Any) -> None:
    return


def received_request(headers: dict[str, str]) -> ServingRequest:
    """Return the request that the ingress makes of a caller's headers."""
    serving = RecordingServing()
    ingress = Ingress(serving, lambda: 0.0, lambda: 1_000, lambda: False, lambda: False)
    scope = {
        "type": "http",
        "method": "POST",
        "raw_path": b"/gen/x",
        "query_string": b"",
        "headers": [(name.lower().encode(), value.encode()) for name, value in headers.items()],
    }
    asyncio.run(ingress(scope, _receive_empty_body, _discard))
    assert serving.request is not None
    return serving.request


@pytest.mark.parametrize("last_event", [{}, {names.LAST_EVENT_ID: "12"}])
@pytest.mark.parametrize(
    "name",
    [
        names.HOLD,
        names.PIN,
        names.BACKUP_TO,
        names.CONTINUE_FROM,
        names.CACHE_SALT,
        names.FETCH_FROM,
        names.SAVE_TO,
        names.TENANT,
        names.PRIORITY,
        names.API_KEY,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
    ],
)
def test_headers_that_only_the_router_may_set_are_not_forwarded(
    name: str, last_event: dict[str, str]
) -> None:
    request = received_request(
        {names.REQUEST_ID: "r-1", name: "theirs", "X-Own": "kept", **last_event}
    )
    assert request.headers == [(b"x-own", b"kept")]


def test_charged_tokens_are_the_prompt_plus_the_maximum_to_generate() -> None:
    usage = {names.TOKEN_USAGE: "1460,80", names.LENGTH_HINT: "9"}
    request = received_request({names.REQUEST_ID: "r-1", names.PROMPT_PARTS: "a:1460", **usage})
    assert request.tokens == 1_540
    assert request.shape is not None and request.shape.output_tokens == 9
