"""Bodies of the platform's protocol, field by field as they lie on the wire.

``formats`` translates them to the product's types. Unknown fields are passed over, as the protocol
asks.
"""

from __future__ import annotations

import msgspec


class ShareBody(msgspec.Struct):
    """One service of a split route."""

    service: str
    weight: float = 1.0


class RouteBody(msgspec.Struct):
    """A route of the configuration."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_ms: float = 0.0
    priority: int = 0
    service: str = ""
    backends: list[ShareBody] = []
    attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None


class ModelName(msgspec.Struct):
    """A model that an engine serves."""

    name: str


class EngineBody(msgspec.Struct):
    """The engine of a service."""

    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    models: list[ModelName] = []


class ServiceBody(msgspec.Struct):
    """A service of the configuration."""

    name: str
    max_conns: int = 0
    engine: EngineBody | None = None
    kv_store_addr: str | None = None
    zone: str = ""
    kv_capacity_tokens: int = 0
    link_mbps: float = 0.0


class LimitsBody(msgspec.Struct):
    """Limits of the configuration."""

    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class TenantBody(msgspec.Struct):
    """A tenant of the configuration.

    Attributes:
        rate_per_s: What it may send in a second, over all nodes; 0 or nothing for no limit.
        burst: What may come on top of that at once.
        unit: ``tokens`` if both count tokens; requests are counted without it.
        plain_tokens: Tokens that a request without a size counts as.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    rate_per_s: float | None = None
    burst: float | None = None
    unit: str | None = None
    plain_tokens: float | None = None


class ConfigurationBody(msgspec.Struct):
    """The operator's configuration."""

    version: int
    routes: list[RouteBody] = []
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)
    tenants: list[TenantBody] | None = None


class ModelVersion(msgspec.Struct):
    """A model and the version of its weights."""

    name: str
    version: int = 0


class RunnerBody(msgspec.Struct):
    """A runner's entry in the directory."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    models: list[ModelVersion] = []
    # Of the runner's software, not of its weights.
    version: str = ""
    # When its process started, in Unix milliseconds; 0 where it is not told.
    born: int = 0


class WeightsBody(msgspec.Struct):
    """A version of a model's weights that the operator names."""

    model: str
    version: int


class RolloutOrderBody(msgspec.Struct):
    """The operator's order to move a service to a version of its software.

    Attributes:
        over_s: Seconds within which it should be decided.
    """

    service: str
    target_version: str
    over_s: float


class RolloutStatusBody(msgspec.Struct):
    """What the operator is told of a rollout."""

    state: str
    target_version: str


class RolloutRecordBody(msgspec.Struct):
    """How far a rollout is: an item of the system's own.

    Attributes:
        elapsed_s: Age of the order in seconds when it was written.
    """

    target: str
    order_revision: int
    stage: str
    reason: str = ""
    rejected: list[str] = []
    elapsed_s: float = 0.0


class NodeBody(msgspec.Struct):
    """Where a node of this system listens for its peers, its zone and its link in Mbit/s."""

    address: str
    zone: str = ""
    link_megabits: float = 0.0


class CacheEventsBody(msgspec.Struct):
    """Changes of what a holder keeps: number, sign, salt, part, tokens kept now, model."""

    epoch: int
    next_token: int
    lost: bool = False
    events: list[tuple[int, str, str, str, int, str]] = []
    born: int = 0


class CacheListBody(msgspec.Struct):
    """All that a holder keeps: salt, part, tokens, model."""

    epoch: int
    next_token: int
    held: list[tuple[str, str, int, str]] = []
    born: int = 0


class StoreItem(msgspec.Struct):
    """An item of the store, or the news that one is gone."""

    key: str
    rev: int
    value: str = ""
    gone: bool = False
    created: int = 0
    lease: int = 0


class RangeBody(msgspec.Struct):
    """A page of items."""

    items: list[StoreItem] = []
    more: bool = False
    at: int = 0


class WatchBody(msgspec.Struct):
    """Changes since a revision."""

    events: list[StoreItem] = []
    at: int = 0


class LeaseBody(msgspec.Struct):
    """A new lease."""

    lease: int
    ttl_ms: float = 0.0


class LeaseRequest(msgspec.Struct):
    """A wish for a lease."""

    ttl_ms: int


class KeyRevision(msgspec.Struct):
    """Condition of a transaction: the key has this revision, 0 when it is absent."""

    key: str
    rev: int


class PutBody(msgspec.Struct):
    """A write of a transaction."""

    key: str
    value: str
    lease: int = 0


class TxnRequest(msgspec.Struct):
    """A transaction."""

    expected_count: list[KeyRevision] = []
    put: list[PutBody] = []
    remove: list[str] = []


class OrderBody(msgspec.Struct, omit_defaults=True):
    """An order to a runner to load weights."""

    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected_count: int | None = None


class TxnBody(msgspec.Struct):
    """The revision of a transaction."""

    rev: int


class ReportBody(msgspec.Struct):
    """State of a runner."""

    models: list[ModelVersion] = []
    busy: bool = False
    seq: int = 0
    queued: int = 0
    running: int = 0
    born: int = 0
