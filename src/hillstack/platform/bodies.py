"""Message bodies of the platform's protocol, with the field names used on the wire.

``formats`` converts these bodies to hillstack's own types. Decoding ignores unknown fields, as the
protocol requires.
"""

from __future__ import annotations

import msgspec

from hillstack.decoding import WholeNumber


class ShareBody(msgspec.Struct):
    """A service of a route whose traffic is split, with its share of the requests."""

    service: str
    weight: float = 1.0


class RouteBody(msgspec.Struct):
    """A route in the operator's configuration."""

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
    """The name of a model that an engine serves."""

    name: str


class EngineBody(msgspec.Struct):
    """The inference engine of a service: its slots, KV cache size, link and models."""

    slots: int = 1
    kv_capacity_tokens: int = 0
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0
    models: list[ModelName] = []


class ServiceBody(msgspec.Struct):
    """A service in the operator's configuration."""

    name: str
    max_conns: int = 0
    engine: EngineBody | None = None
    kv_store_addr: str | None = None
    zone: str = ""
    kv_capacity_tokens: int = 0
    link_mbps: float = 0.0


class LimitsBody(msgspec.Struct):
    """Limits on callers' requests in the operator's configuration."""

    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class TenantBody(msgspec.Struct):
    """A tenant in the operator's configuration, with its API keys and its rate limit.

    Attributes:
        rate_per_s: Requests or tokens per second, over all nodes; 0 or None for no limit.
        burst: Requests or tokens that the tenant may send at once in addition to the rate.
        unit: ``tokens`` if ``rate_per_s`` and ``burst`` count tokens; ``requests`` or None if
            they count requests.
        plain_tokens: Tokens charged for a request that does not declare its size.
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
    version: WholeNumber = 0


class RunnerBody(msgspec.Struct):
    """A runner's entry in the store's directory of runners."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    models: list[ModelVersion] = []
    # Version of the runner's software, not of its weights.
    version: str = ""
    # Start time of the process, in Unix milliseconds; 0 if the entry does not state it.
    born: int = 0


class WeightsBody(msgspec.Struct):
    """The version of a model's weights that the operator wants served."""

    model: str
    version: WholeNumber


class RolloutOrderBody(msgspec.Struct):
    """The operator's order to move a service to a version of its software.

    Attributes:
        over_s: Seconds from the order within which the rollout should be decided.
    """

    service: str
    target_version: str
    over_s: float


class RolloutStatusBody(msgspec.Struct):
    """The status of a rollout that the operator reads from the store."""

    state: str
    target_version: str


class RolloutRecordBody(msgspec.Struct):
    """The progress of a rollout, in an item that only hillstack reads and writes.

    Attributes:
        elapsed_s: Age of the order in seconds when the record was written.
    """

    target: str
    order_revision: int
    stage: str
    reason: str = ""
    rejected: list[str] = []
    elapsed_s: float = 0.0


class CrashLedgerBody(msgspec.Struct):
    """The runners that crashed under a request, and the permits for its sends under way."""

    crashed: list[str] = []
    permits: list[str] = []


class ServiceVersionsBody(msgspec.Struct):
    """The software versions that may have begun streams of a service."""

    versions: list[str]


class StreamsBody(msgspec.Struct):
    """The callers' tries that began streams at one software version of a service."""

    service: str
    software: str
    attempts: list[str]


class NodeBody(msgspec.Struct):
    """A hillstack node: the address for its peers, its zone and its link speed in Mbit/s."""

    address: str
    zone: str = ""
    link_megabits: float = 0.0


class CacheEventsBody(msgspec.Struct):
    """Changes of the prompt parts that a cache holder has cached.

    Each event is a tuple of number, sign, salt, part, tokens cached after the change, and model.
    The sign is ``+`` for a part that was cached and ``-`` for one that was dropped.

    Attributes:
        epoch: Changes when the holder restarts and loses its contents.
        next_token: Number of the last event, from which the next call continues.
        lost: Whether some events since the requested number are missing.
        born: Start time of the runner's process, in Unix milliseconds; 0 if it is not stated.
    """

    epoch: int
    next_token: int
    lost: bool = False
    events: list[tuple[int, str, str, str, WholeNumber, str]] = []
    born: int = 0


class CacheListBody(msgspec.Struct):
    """All prompt parts that a cache holder has cached.

    Attributes:
        held: Each part as salt, part, tokens and model.
        epoch: As in ``CacheEventsBody``, like ``next_token`` and ``born``.
    """

    epoch: int
    next_token: int
    held: list[tuple[str, str, WholeNumber, str]] = []
    born: int = 0


class StoreItem(msgspec.Struct):
    """An item of the store, or the notice that a key was removed.

    Attributes:
        rev: Revision of the item's last change.
        value: The value in base64.
        gone: Whether the key was removed.
        created: Revision at which the key was created.
        lease: Lease that the key is attached to; 0 for none.
    """

    key: str
    rev: WholeNumber
    value: str = ""
    gone: bool = False
    created: int = 0
    lease: int = 0


class RangeBody(msgspec.Struct):
    """A page of items, and the store revision at which the page was read (``at``).

    Attributes:
        more: Whether further pages follow.
    """

    items: list[StoreItem] = []
    more: bool = False
    at: WholeNumber = 0


class WatchBody(msgspec.Struct):
    """Changes since a revision, and the revision up to which they are complete (``at``)."""

    events: list[StoreItem] = []
    at: WholeNumber = 0


class LeaseBody(msgspec.Struct):
    """A lease that the store granted."""

    lease: int
    ttl_ms: float = 0.0


class LeaseRequest(msgspec.Struct):
    """A request for a lease."""

    ttl_ms: int


class KeyRevision(msgspec.Struct):
    """Condition of a transaction: the key has this revision, or is absent if it is 0."""

    key: str
    rev: int


class PutBody(msgspec.Struct):
    """A write within a transaction: the value in base64, and the key's lease, 0 for none."""

    key: str
    value: str
    lease: int = 0


class TxnRequest(msgspec.Struct):
    """A transaction: its conditions, its writes and the keys that it removes."""

    expected_count: list[KeyRevision] = []
    put: list[PutBody] = []
    remove: list[str] = []


class OrderBody(msgspec.Struct, omit_defaults=True):
    """An order to a runner to load weights.

    Attributes:
        op: Always ``names.WEIGHTS_OPERATION``.
        mode: What the runner does with its running requests, such as ``names.FINISH_MODE``.
        holder: Node that holds the weights duty.
        fence: Fencing token of the holder; a runner refuses an order with a lower token than it has
            seen.
        expected_count: Number of orders that the runner has accepted before this one; otherwise it
            refuses the order. None for no condition.
    """

    op: str
    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected_count: int | None = None


class TxnBody(msgspec.Struct):
    """The revision of a transaction's last write."""

    rev: WholeNumber


class ReportBody(msgspec.Struct):
    """The state that a runner reports of itself.

    Attributes:
        busy: Whether the runner is executing an order.
        seq: Number of orders accepted since the start of the runner's process.
        born: Start time of the process, in Unix milliseconds; 0 if it is not stated.
    """

    models: list[ModelVersion] = []
    busy: bool = False
    seq: WholeNumber = 0
    queued: int = 0
    running: int = 0
    born: WholeNumber = 0
