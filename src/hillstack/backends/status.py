"""Status and load pages of back ends."""

from __future__ import annotations

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from hillstack.core.fleet import LoadReport
from hillstack.daemon.ports import BackendStatus
from hillstack.errors import BackendError

RUNNING = "vllm:num_requests_running"
WAITING = "vllm:num_requests_waiting"
CACHE_USAGE = "vllm:kv_cache_usage_perc"
WAITING_TOKENS = "emulator:waiting_prompt_tokens"


async def fetch_status(
    session: aiohttp.ClientSession, address: str, timeout: float
) -> BackendStatus:
    """Return a back end's status.

    Raises:
        BackendError: It could not be read.
    """
    limits = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(f"http://{address}/status", timeout=limits) as response:
            response.raise_for_status()
            content = await response.json()
        return BackendStatus(
            str(content["incarnation"]),
            int(content.get("weights_version", 0)),
            bool(content.get("draining", False)),
        )
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        raise BackendError(repr(error), step="read status", peer=address) from error


async def fetch_load(session: aiohttp.ClientSession, address: str, timeout: float) -> LoadReport:
    """Return an engine's load from its Prometheus page.

    Raises:
        BackendError: The page could not be read or lacks a value.
    """
    limits = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(f"http://{address}/metrics", timeout=limits) as response:
            response.raise_for_status()
            page = await response.text()
        return parse_load(page)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        raise BackendError(repr(error), step="read load", peer=address) from error


def parse_load(page: str) -> LoadReport:
    """Parse a Prometheus page.

    Raises:
        KeyError: A value is missing.
        ValueError: The page is malformed.
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(page):
        for sample in family.samples:
            values[sample.name] = values.get(sample.name, 0.0) + sample.value
    return LoadReport(
        running=int(values[RUNNING]),
        waiting=int(values[WAITING]),
        cache_usage=values[CACHE_USAGE],
        waiting_tokens=values.get(WAITING_TOKENS),
    )
