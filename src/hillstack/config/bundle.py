"""The bundle: the versioned, signed description of a deployment.

A bundle is canonical JSON: the same content always has the same bytes and therefore the same
digest. Each bundle contains the digest of its parent, so that accepted bundles form a chain.
"""

from __future__ import annotations

import hashlib
import json
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from hillstack.errors import BundleError

# Parent digest of the first bundle of a deployment.
GENESIS_PARENT = "0" * 64

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
HexDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Strict(BaseModel):
    """Base of all bundle parts: immutable, and unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Keyset(Strict):
    """The partners' public keys (Ed25519, hex) and how many of them must sign."""

    version: int = Field(ge=1)
    threshold: int = Field(ge=1)
    keys: dict[Name, HexDigest]

    @model_validator(mode="after")
    def _threshold_is_reachable(self) -> Keyset:
        if self.threshold > len(self.keys):
            raise ValueError(f"threshold {self.threshold} exceeds the {len(self.keys)} keys")
        return self


class Partner(Strict):
    """An organisation that shares the capacity; ``share`` is relative to the other partners."""

    name: Name
    share: float = Field(gt=0)


class Tenant(Strict):
    """A tenant of a partner. ``key_hash`` is the SHA-256 of its bearer token, in hex."""

    name: Name
    partner: Name
    weight: float = Field(default=1.0, gt=0)
    key_hash: HexDigest


class Adapter(Strict):
    """An adapter of a model and the version in force."""

    name: Name
    version: int = Field(ge=1)


class Model(Strict):
    """A model, the pool that serves it and the weights version in force."""

    name: Name
    pool: Name
    weights_version: int = Field(ge=1)
    adapters: tuple[Adapter, ...] = ()
    max_context_tokens: int = Field(default=131_072, gt=0)


class Pool(Strict):
    """A group of interchangeable back ends."""

    name: Name
    kind: Literal["engine", "application"]
    max_concurrent_loads: int = Field(default=3, ge=1)
    prefill_tokens_per_second: float = Field(default=8_000.0, gt=0)
    max_running: int = Field(default=32, ge=1)


class Priority(Strict):
    """A priority class; a lower level is served first, as vLLM orders its queue.

    Urgent classes are exempt from fair shares until the hard limit of admission.
    """

    name: Name
    level: int
    urgent: bool = False


class Route(Strict):
    """An application route; ``path`` is a prefix below the caller interface.

    Args:
        repeatable: Whether running a request twice does no harm.
        echoes_request_id: Whether the application returns ``X-Request-Id``; then answers without
            the right one are discarded.
    """

    name: Name
    method: Literal["GET", "POST", "PUT", "DELETE"]
    path: str = Field(pattern=r"^/[A-Za-z0-9/_.-]*$")
    pool: Name
    repeatable: bool
    priority: Name
    timeout_seconds: float = Field(default=10.0, gt=0)
    echoes_request_id: bool = True


class Routing(Strict):
    """The placement policy and the weights of its cost function."""

    policy: Literal["round_robin", "least_loaded", "prefix_hash", "cache_aware", "full"] = "full"
    recompute_weight: float = Field(default=1.5, ge=0)
    wait_weight: float = Field(default=1.0, ge=0)
    congestion_weight: float = Field(default=10.0, ge=0)
    eviction_weight: float = Field(default=0.1, ge=0)
    home_discount: float = Field(default=0.2, ge=0, le=1)
    untrusted_discount: float = Field(default=0.5, ge=0, le=1)
    follow_fills: bool = True
    share_fills: bool = True


class Admission(Strict):
    """Limits of the fair admission.

    Args:
        target_wait_seconds: Estimated wait above which tenants over their share are refused.
        max_wait_seconds: Estimated wait above which all but urgent work is refused.
    """

    target_wait_seconds: float = Field(default=2.0, gt=0)
    max_wait_seconds: float = Field(default=10.0, gt=0)


class Retries(Strict):
    """Retry budget: retries allowed per request sent, and a floor for quiet tenants."""

    ratio: float = Field(default=0.2, ge=0, le=1)
    minimum_per_second: float = Field(default=0.5, ge=0)
    max_attempts: int = Field(default=3, ge=1)


class Claims(Strict):
    """Claims on non-repeatable requests.

    Args:
        horizon_seconds: How long a caller may repeat a key; older claims are forgotten.
        max_clock_skew_seconds: Greatest assumed difference between two clocks.
    """

    horizon_seconds: float = Field(default=900.0, gt=0)
    max_clock_skew_seconds: float = Field(default=2.0, ge=0)


class Staleness(Strict):
    """What a node does once it has been cut off from the majority of zones for a while."""

    action: Literal["serve", "refuse"] = "serve"
    after_seconds: float = Field(default=60.0, gt=0)


class Bundle(Strict):
    """One version of a deployment's configuration."""

    version: int = Field(ge=1)
    parent_digest: HexDigest = GENESIS_PARENT
    keyset_version: int = Field(default=1, ge=1)
    signed_by_keyset: int = Field(default=1, ge=1)
    deployment: Name
    zones: tuple[Name, ...] = Field(min_length=1)
    block_tokens: int = Field(default=1_000, ge=16)
    partners: tuple[Partner, ...] = Field(min_length=1)
    tenants: tuple[Tenant, ...]
    models: tuple[Model, ...]
    pools: tuple[Pool, ...]
    priorities: tuple[Priority, ...] = Field(min_length=1)
    routes: tuple[Route, ...] = ()
    routing: Routing = Routing()
    admission: Admission = Admission()
    retries: Retries = Retries()
    claims: Claims = Claims()
    staleness: Staleness = Staleness()

    @model_validator(mode="after")
    def _references_resolve(self) -> Bundle:
        _require_unique("partner", [partner.name for partner in self.partners])
        _require_unique("tenant", [tenant.name for tenant in self.tenants])
        _require_unique("tenant key_hash", [tenant.key_hash for tenant in self.tenants])
        adapters = [adapter.name for model in self.models for adapter in model.adapters]
        _require_unique("model", [model.name for model in self.models] + adapters)
        _require_unique("pool", [pool.name for pool in self.pools])
        _require_unique("priority", [priority.name for priority in self.priorities])
        _require_unique("route", [f"{route.method} {route.path}" for route in self.routes])
        _require_unique("zone", list(self.zones))
        kinds = {pool.name: pool.kind for pool in self.pools}
        partners = {partner.name for partner in self.partners}
        priorities = {priority.name for priority in self.priorities}
        for tenant in self.tenants:
            _require_known("partner", tenant.partner, partners, f"tenant {tenant.name}")
        for model in self.models:
            if kinds.get(model.pool) != "engine":
                raise ValueError(f"model {model.name}: {model.pool!r} is not an engine pool")
        for route in self.routes:
            if kinds.get(route.pool) != "application":
                raise ValueError(f"route {route.name}: {route.pool!r} is not an application pool")
            _require_known("priority", route.priority, priorities, f"route {route.name}")
        return self

    def canonical(self) -> bytes:
        """Return the canonical bytes: JSON with sorted keys and no white space."""
        content = self.model_dump(mode="json")
        return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()

    def digest(self) -> str:
        """Return the SHA-256 of the canonical bytes, in hex."""
        return hashlib.sha256(self.canonical()).hexdigest()


def parse_bundle(payload: bytes | str, source: str) -> Bundle:
    """Parse and check a bundle.

    Args:
        payload: JSON text.
        source: Origin of the text, for the error message.

    Raises:
        BundleError: The text is not a valid bundle; the message gives the key and the reason.
    """
    try:
        return Bundle.model_validate_json(payload)
    except ValidationError as error:
        raise BundleError(describe_validation(error), step="parse bundle", peer=source) from error


def describe_validation(error: ValidationError) -> str:
    """Return the key and the reason of each problem, separated by semicolons."""
    lines = []
    for problem in error.errors(include_url=False):
        key = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
        lines.append(f"{key}: {problem['msg']}")
    return "; ".join(lines)


def _require_unique(kind: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise ValueError(f"{kind} {value!r} stands twice")
        seen.add(value)


def _require_known(kind: str, value: str, known: set[str], where: str) -> None:
    if value not in known:
        raise ValueError(f"{where}: unknown {kind} {value!r}")
