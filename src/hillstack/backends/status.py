"""Reads the status of back ends and the load of engines over HTTP."""

from __future__ import annotations

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from hillstack.answer_bodies import BodyReader, read_json
from hillstack.core.fleet import LoadReport
from hillstack.daemon.ports import BackendStatus
from hillstack.errors import BackendError

RUNNING_METRIC = "vllm:num_requests_running"
WAITING_METRIC = "vllm:num_requests_waiting"
CACHE_USAGE_METRIC = "vllm:kv_cache_usage_perc"
WAITING_TOKENS_METRIC = "emulator:waiting_prompt_tokens"


async def fetch_status(
    session: aiohttp.ClientSession, address: str, timeout: float
) -> BackendStatus:
    """Return the status of a back end.

    Raises:
        BackendError: The status could not be read.
    """
    timeouts = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(f"http://{address}/status", timeout=timeouts) as response:
            response.raise_for_status()
            content = await read_json(response)
        return BackendStatus(
            str(content["incarnation"]),
            int(content.get("weights_version", 0)),
            bool(content.get("draining", False)),
        )
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError) as error:
        raise BackendError(repr(error), step="read status", peer=address) from error


async def fetch_load(session: aiohttp.ClientSession, address: str, timeout: float) -> LoadReport:
    """Return the load of an engine, read from its Prometheus metrics.

    Raises:
        BackendError: The metrics could not be read or lack a required value.
    """
    timeouts = aiohttp.ClientTimeout(total=timeout)
    try:
        async with session.get(f"http://{address}/metrics", timeout=timeouts) as response:
            response.raise_for_status()
            page = (await BodyReader().read(response)).decode()
        return parse_load(page)
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        ValueError,
        KeyError,
        OverflowError,
    ) as error:
        raise BackendError(repr(error), step="read load", peer=address) from error


def parse_load(page: str) -> LoadReport:
    """Parse the load of an engine from metrics in the Prometheus text format.

    Raises:
        KeyError: A required value is missing.
        ValueError: The metrics are malformed.
        OverflowError: A number of requests is infinite.
    """
    values: dict[str, float] = {}
    for family in text_string_to_metric_families(page):
        for sample in family.samples:
            values[sample.name] = values.get(sample.name, 0.0) + sample.value
    return LoadReport(
        running=int(values[RUNNING_METRIC]),
        waiting=int(values[WAITING_METRIC]),
        cache_usage=values[CACHE_USAGE_METRIC],
        waiting_tokens=values.get(WAITING_TOKENS_METRIC),
    )
