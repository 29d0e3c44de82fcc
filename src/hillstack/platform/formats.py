"""Converts the platform's store items and headers to hillstack's own types."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterable
from typing import TypeVar

from hillstack.core.crash_ledger import CrashLedger
from hillstack.core.part_index import PromptPart
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import (
    EngineProfile,
    KvCacheStore,
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
    TenantEntry,
)
from hillstack.core.runner_pool import RunnerEntry
from hillstack.core.software_rollouts import RolloutOrder, RolloutRecord, RolloutStage
from hillstack.core.store_revision import StoreRevision
from hillstack.core.tenant_limits import LimitUnit, TenantLimit
from hillstack.daemon.change_log import ListedKeys, StoredItem
from hillstack.decoding import MalformedDataError, decode_json, parse_whole_number
from hillstack.errors import PlatformError
from hillstack.platform import names
from hillstack.platform.bodies import (
    ConfigurationBody,
    CrashLedgerBody,
    NodeBody,
    RolloutOrderBody,
    RolloutRecordBody,
    RouteBody,
    RunnerBody,
    ServiceBody,
    ServiceVersionsBody,
    StreamsBody,
    TenantBody,
    WeightsBody,
)
from hillstack.platform.runner_identifiers import runner_id_of
from hillstack.serving.store_events import (
    ConfigurationChanged,
    CrashLedgerChanged,
    DutyHeld,
    NodeListed,
    NodeUnlisted,
    PartLedgerChanged,
    RolloutDutyHeld,
    RolloutOrdered,
    RolloutRecorded,
    RolloutWithdrawn,
    RunnerListed,
    RunnerUnlisted,
    ServiceVersionsRecorded,
    StoreEvent,
    StreamsRecorded,
    WeightsNamed,
)

LIMIT_UNITS = {
    "": LimitUnit.REQUESTS,
    "requests": LimitUnit.REQUESTS,
    "tokens": LimitUnit.TOKENS,
}
ROUTE_KINDS = {"safe": RouteKind.SAFE, "unsafe": RouteKind.UNSAFE, "streaming": RouteKind.STREAM}
DRAINING = "draining"
# Upper bounds for the fields of a runner's entry: 32 bits, and the end of the year 9999. A larger
# value was not written by a runner.
MAX_SLOTS = 2**31 - 1
MAX_START_MS = 253_402_300_799_999
MAX_PORT = 65_535
IPV6 = 6
# Far more than any prompt has. The sums over all requests fit into the messages between nodes.
MAX_REQUEST_TOKENS = 10**12
RUNNER_STATES = frozenset({"ready", DRAINING})

Body = TypeVar("Body")


def to_event(item: StoredItem) -> StoreEvent | None:
    """Convert an item of the store to an event; None for keys that hillstack does not use.

    Raises:
        PlatformError: The value can't be decoded or is invalid.
    """
    key = item.key
    value = item.value
    if key == names.DUTY_KEY:
        if value is None:
            return DutyHeld(None)
        return DutyHeld(value.decode(errors="replace"), item.revision.number)
    if key.startswith(names.RUNNERS_PREFIX):
        instance = key[len(names.RUNNERS_PREFIX) :]
        if value is None:
            return RunnerUnlisted(instance, item.revision)
        return _runner_listed(instance, item, value)
    if key.startswith(names.NODES_PREFIX):
        node_id = key[len(names.NODES_PREFIX) :]
        if value is None:
            return NodeUnlisted(node_id)
        node = _decode(item, value, NodeBody)
        if not node_id or not _is_address(node.address):
            raise PlatformError(
                f"invalid address {node.address!r}", step="read node", peer=item.key
            )
        return NodeListed(node_id, node.address, node.zone, item.revision, node.link_megabits)
    if key.startswith(names.ROLLOUTS_PREFIX):
        service = key[len(names.ROLLOUTS_PREFIX) :]
        if value is None:
            return RolloutWithdrawn(service, item.revision)
        return RolloutOrdered(_rollout_order(service, item, value))
    if key.startswith(names.ROLLOUT_DUTY_PREFIX):
        service = key[len(names.ROLLOUT_DUTY_PREFIX) :]
        return RolloutDutyHeld(
            service, value.decode(errors="replace") if value is not None else None
        )
    if key.startswith(names.CRASH_LEDGERS_PREFIX):
        found = _ledger_of(item, names.CRASH_LEDGERS_PREFIX)
        return CrashLedgerChanged(*found) if found is not None else None
    if key.startswith(names.PART_LEDGERS_PREFIX):
        found = _ledger_of(item, names.PART_LEDGERS_PREFIX)
        return PartLedgerChanged(*found) if found is not None else None
    if key.startswith(names.SERVICE_VERSIONS_PREFIX):
        return _service_versions(key[len(names.SERVICE_VERSIONS_PREFIX) :], item)
    if value is None:
        return None
    if key.startswith(names.STREAMS_PREFIX):
        streams = _decode(item, value, StreamsBody)
        return StreamsRecorded(streams.service, streams.software, tuple(streams.attempts))
    if key.startswith(names.ROLLOUT_RECORDS_PREFIX):
        service = key[len(names.ROLLOUT_RECORDS_PREFIX) :]
        return RolloutRecorded(_rollout_record(service, item, value))
    if key == names.CONFIGURATION_KEY:
        return ConfigurationChanged(_routing_table(_decode(item, value, ConfigurationBody)))
    if key.startswith(names.WEIGHTS_PREFIX):
        body = _decode(item, value, WeightsBody)
        return WeightsNamed(body.model, body.version, item.revision)
    return None


def listed_keys(keys: Iterable[str]) -> ListedKeys:
    """Classify a complete list of the store's keys by runners, nodes, duties and rollouts."""
    keys = set(keys)
    listed = ListedKeys(set(), set(), names.DUTY_KEY in keys)
    for key in keys:
        if key.startswith(names.RUNNERS_PREFIX):
            listed.runner_ids.add(key.removeprefix(names.RUNNERS_PREFIX))
        elif key.startswith(names.NODES_PREFIX):
            listed.node_ids.add(key.removeprefix(names.NODES_PREFIX))
        elif key.startswith(names.ROLLOUTS_PREFIX):
            listed.rollouts.ordered.add(key.removeprefix(names.ROLLOUTS_PREFIX))
        elif key.startswith(names.ROLLOUT_RECORDS_PREFIX):
            listed.rollouts.recorded.add(key.removeprefix(names.ROLLOUT_RECORDS_PREFIX))
        elif key.startswith(names.ROLLOUT_DUTY_PREFIX):
            listed.rollouts.held.add(key.removeprefix(names.ROLLOUT_DUTY_PREFIX))
    return listed


def parse_shape(parts: str, usage: str, hint: str = "") -> PromptShape | None:
    """Return the shape of a prompt from its headers; None if they can't be parsed.

    Args:
        parts: The parts of the prompt as ``ID:TOKENS``, separated by commas.
        usage: Tokens of the prompt and the maximum to generate, separated by a comma.
        hint: The caller's estimate of the tokens that will be generated; empty if there is none.
            It is accurate at the median and usually far below the maximum.
    """
    _, _, output_text = usage.partition(",")
    output = parse_whole_number(output_text.strip() or "0")
    prompt_parts = [_parse_part(entry) for entry in parts.split(",") if entry]
    if output is None or not prompt_parts:
        return None
    known_parts = tuple(part for part in prompt_parts if part is not None)
    if len(known_parts) < len(prompt_parts):
        return None
    estimate = parse_whole_number(hint)
    if estimate is not None:
        output = min(output, estimate) if output_text.strip() else estimate
    shape = PromptShape(known_parts, output)
    return shape if shape.total_tokens <= MAX_REQUEST_TOKENS else None


def parse_usage(usage: str) -> int | None:
    """Return the tokens charged for a request: its prompt plus the maximum to generate.

    Returns None if the header is missing or can't be parsed.
    """
    numbers = [parse_whole_number(text.strip()) for text in usage.split(",")]
    known = [number for number in numbers if number is not None]
    return sum(known) if len(known) == len(numbers) == 2 else None


def _parse_part(entry: str) -> PromptPart | None:
    part_id, separator, tokens_text = entry.partition(":")
    tokens = parse_whole_number(tokens_text.strip())
    return PromptPart(part_id, tokens) if separator and tokens is not None else None


def _decode(item: StoredItem, value: bytes, kind: type[Body]) -> Body:
    try:
        return decode_json(value, kind)
    except MalformedDataError as error:
        raise PlatformError(str(error), step="decode item", peer=item.key) from error


def _service_versions(service: str, item: StoredItem) -> ServiceVersionsRecorded:
    if item.value is None:
        return ServiceVersionsRecorded(service, None)
    return ServiceVersionsRecorded(service, decode_service_versions(item))


def decode_service_versions(item: StoredItem) -> frozenset[str]:
    """Return the versions that an item of the store records of a service.

    Raises:
        PlatformError: The value can't be decoded.
    """
    return frozenset(_decode(item, item.value or b"", ServiceVersionsBody).versions)


def _ledger_of(item: StoredItem, prefix: str) -> tuple[int, CrashLedger | None] | None:
    """Return the name in a ledger's key, and the ledger; None for a removed key without a name."""
    try:
        name = int(item.key.removeprefix(prefix), 16)
    except ValueError as error:
        if item.value is None:
            return None
        raise PlatformError(str(error), step="read crash ledger", peer=item.key) from error
    return name, decode_crash_ledger(item) if item.value is not None else None


def decode_crash_ledger(item: StoredItem) -> CrashLedger:
    """Return the ledger in an item of the store.

    Raises:
        PlatformError: The value can't be decoded.
    """
    body = _decode(item, item.value or b"", CrashLedgerBody)
    return CrashLedger(frozenset(body.crashed), frozenset(body.permits))


def _runner_listed(instance: str, item: StoredItem, value: bytes) -> RunnerListed:
    body = _decode(item, value, RunnerBody)
    if body.state not in RUNNER_STATES:
        raise PlatformError(f"unknown state {body.state!r}", step="read runner", peer=item.key)
    is_in_range = 0 <= body.slots <= MAX_SLOTS and 0 <= body.born <= MAX_START_MS
    if not instance or not _is_address(body.address) or not is_in_range:
        text = f"address {body.address!r}, slots {body.slots}, born {body.born}"
        raise PlatformError(text, step="read runner", peer=item.key)
    weights = {model.name: model.version for model in body.models if model.version}
    entry = RunnerEntry(
        runner_id=runner_id_of(instance, body.born),
        service=body.service,
        address=body.address,
        zone=body.zone,
        slots=body.slots,
        draining=body.state == DRAINING,
        weights=weights,
        revision=item.revision,
        software=body.version,
        listed_as=instance,
        started_ms=body.born,
    )
    return RunnerListed(entry)


def _is_address(text: str) -> bool:
    """Return whether a text is ``IP:PORT``, with an IPv6 address in brackets."""
    host, _, port_text = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    port = parse_whole_number(port_text)
    is_port = port is not None and 0 < port <= MAX_PORT and str(port) == port_text
    return is_port and is_bracketed == (address.version == IPV6)


def _rollout_order(service: str, item: StoredItem, value: bytes) -> RolloutOrder:
    body = _decode(item, value, RolloutOrderBody)
    if body.over_s < 0 or not math.isfinite(body.over_s):
        text = f"over_s can't be {body.over_s!r}"
        raise PlatformError(text, step="read rollout order", peer=item.key)
    return RolloutOrder(service, body.target_version, body.over_s, item.revision)


def _rollout_record(service: str, item: StoredItem, value: bytes) -> RolloutRecord:
    body = _decode(item, value, RolloutRecordBody)
    try:
        stage = RolloutStage(body.stage)
    except ValueError as error:
        raise PlatformError(str(error), step="read rollout record", peer=item.key) from error
    return RolloutRecord(
        service,
        body.target,
        StoreRevision(item.revision.era, body.order_revision),
        stage,
        body.reason,
        tuple(body.rejected),
        item.revision,
        body.elapsed_s,
    )


def _routing_table(body: ConfigurationBody) -> RoutingTable:
    tenants: dict[str, TenantEntry] | None = None
    if body.tenants is not None:
        tenants = {}
        for tenant in body.tenants:
            entry = TenantEntry(
                tenant.name, tenant.priority, tenant.isolated, _tenant_limit(tenant)
            )
            tenants.update(dict.fromkeys(tenant.api_keys, entry))
    limits = RequestLimits(body.limits.max_body_bytes, body.limits.idle_timeout_ms / 1000)
    return RoutingTable.build(
        body.version,
        [_route(route) for route in body.routes],
        [_service(service) for service in body.services],
        tenants,
        limits,
    )


def _tenant_limit(body: TenantBody) -> TenantLimit | None:
    """Return the rate limit of a tenant; None if it has none.

    Raises:
        PlatformError: A field of the limit is invalid.
    """
    unit = LIMIT_UNITS.get(body.unit or "")
    if unit is None:
        raise _limit_error(body, "unit", body.unit)
    rate = _non_negative(body, "rate_per_s", body.rate_per_s)
    burst = _non_negative(body, "burst", body.burst)
    default_tokens = _non_negative(body, "plain_tokens", body.plain_tokens)
    return TenantLimit(rate, burst, unit, default_tokens) if rate > 0 else None


def _non_negative(body: TenantBody, name: str, value: float | None) -> float:
    value = value or 0.0
    if not 0.0 <= value < math.inf:
        raise _limit_error(body, name, value)
    return value


def _limit_error(body: TenantBody, name: str, value: object) -> PlatformError:
    text = f"tenant {body.name}: {name} can't be {value!r}"
    return PlatformError(text, step="read limit", peer=names.CONFIGURATION_KEY)


def _route(body: RouteBody) -> Route:
    if body.backends:
        shares = tuple(ServiceShare(share.service, share.weight) for share in body.backends)
    else:
        shares = (ServiceShare(body.service),)
    return Route(
        name=body.name,
        host=body.host,
        path_prefix=body.path_prefix,
        kind=ROUTE_KINDS.get(body.kind, RouteKind.UNSAFE),
        timeout_seconds=body.timeout_ms / 1000,
        target_seconds=body.target_ms / 1000,
        max_attempts=max(1, body.attempts),
        priority=body.priority,
        public=body.public,
        sticky=body.sticky,
        resumable=body.resumable,
        shares=shares,
        gap_seconds=body.gap_target_ms / 1000 if body.gap_target_ms else None,
    )


def _service(body: ServiceBody) -> Service:
    engine = None
    if body.engine is not None:
        engine = EngineProfile(
            slots=body.engine.slots,
            kv_capacity_tokens=max(1, body.engine.kv_capacity_tokens),
            kv_token_bytes=body.engine.kv_token_bytes,
            link_megabits=max(1.0, body.engine.link_mbps),
            models=tuple(model.name for model in body.engine.models),
        )
    cache_store = None
    if body.kv_store_addr:
        cache_store = KvCacheStore(
            body.kv_store_addr, body.zone, body.kv_capacity_tokens, body.link_mbps
        )
    return Service(body.name, body.max_conns, engine, cache_store)
