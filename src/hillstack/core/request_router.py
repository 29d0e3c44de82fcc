"""Admission and placement of requests on one node."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from hillstack.config.bundle import Bundle, Model, Pool
from hillstack.core.admission import Admission, AdmissionRequest, Refusal
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Backend, Fleet
from hillstack.core.placement.base import (
    EngineView,
    Placement,
    PlacementRequest,
    estimated_wait,
    uncached_tokens,
)
from hillstack.core.placement.registry import make_policy
from hillstack.core.prefix import PromptHashes
from hillstack.core.retry_budget import RetryBudget
from hillstack.messages.types import FillNotice

EXPECTATION_MARGIN_SECONDS = 5.0
VIEW_REUSE_SECONDS = 0.005
MIN_NOTICE_BLOCKS = 2
MAX_NOTICE_BLOCKS = 32
MAX_NOTIFIED_PEERS = 12


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """The properties of a completion request that routing uses.

    Attributes:
        hashes: Block hashes of the prompt, by weights version.
        deadline: Deadline of the request, on this node's clock.
        urgent: Whether the request is exempt from fair sharing.
    """

    tenant: str
    model: Model
    hashes: PromptHashes
    prompt_tokens: int
    output_tokens: int
    deadline: float
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class _Admitted:
    """The request admitted last, with the engine views of its admission, for reuse by placement."""

    request: CompletionRequest
    at: float
    views: list[EngineView]


class RequestRouter:
    """Decides which requests are admitted, and which back end gets them.

    Args:
        bundle: The current bundle.
        fleet: Back ends and their load.
        index: Estimated cache contents of the engines.
        zone: Zone of this node, which is preferred for applications.
        rng: Source of randomness.
    """

    def __init__(
        self, bundle: Bundle, fleet: Fleet, index: CacheIndex, zone: str, rng: Random
    ) -> None:
        self._fleet = fleet
        self._index = index
        self._zone = zone
        self._rng = rng
        self._admission = Admission({}, 1.0, 1.0)
        self._admitted: _Admitted | None = None
        self.retry_budget = RetryBudget(0.0, 0.0)
        self.apply_bundle(bundle)

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply the limits and the placement policy of a bundle."""
        self._bundle = bundle
        self._pools = {pool.name: pool for pool in bundle.pools}
        self._policy = make_policy(bundle.routing)
        limits = bundle.admission
        self._admission.reconfigure(
            tenant_shares(bundle), limits.target_wait_seconds, limits.max_wait_seconds
        )
        self.retry_budget.ratio = bundle.retries.ratio
        self.retry_budget.minimum_per_second = bundle.retries.minimum_per_second

    def admit(self, request: CompletionRequest, now: float) -> Refusal | None:
        """Admit a completion, or return the refusal with its reason and retry delay."""
        views = self._views(request, now, ())
        self._admitted = _Admitted(request, now, views)
        waits = [estimated_wait(view) for view in views]
        best_match = max((view.matched_blocks for view in views), default=0)
        uncached = request.prompt_tokens - best_match * self._bundle.block_tokens
        admission = AdmissionRequest(
            tenant=request.tenant,
            cost_tokens=max(0, uncached) + request.output_tokens,
            estimated_wait=min(waits, default=0.0),
            mean_wait=sum(waits) / max(1, len(waits)),
            deadline_in=request.deadline - now,
            urgent=request.urgent,
        )
        return self._admission.try_admit(admission, now)

    def place(
        self, request: CompletionRequest, now: float, excluded: Collection[str] = ()
    ) -> Placement | None:
        """Choose an engine, or return None when no engine accepts work."""
        views = self._admitted_views(request, now) if not excluded else None
        if views is None:
            views = self._views(request, now, excluded)
        if not views:
            return None
        placement_request = self._placement_request(request)
        chosen = self._policy.choose(placement_request, views, self._rng)
        return Placement(
            chosen.engine_id,
            estimated_wait(chosen),
            uncached_tokens(placement_request, chosen),
            chosen.weights_version,
        )

    def place_application(
        self, pool: str, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        """Choose an application: the local zone first, then the fewest requests in flight."""
        candidates = [
            backend
            for backend in self._fleet.accepting(pool, now)
            if backend.machine.machine_id not in excluded
        ]
        if not candidates:
            return None
        best = min(candidates, key=self._application_order)
        return best.machine.machine_id

    def started(
        self, request: CompletionRequest, placement: Placement, attempt_id: str, now: float
    ) -> None:
        """Record that an attempt is being sent to its engine."""
        tokens = placement.uncached_tokens
        self._fleet.sent(placement.engine_id, attempt_id, tokens, now)
        if not self._bundle.routing.follow_fills:
            return
        pool = self._pools[request.model.pool]
        prefill = tokens / pool.prefill_tokens_per_second
        until = now + placement.estimated_wait + prefill + EXPECTATION_MARGIN_SECONDS
        hashes = request.hashes.for_version(placement.weights_version)
        self._index.expect(placement.engine_id, hashes, until)

    def fill_of(self, request: CompletionRequest, placement: Placement) -> FillNotice | None:
        """Return the notice to other nodes of an attempt just sent; None if it fills few blocks."""
        blocks = placement.uncached_tokens // self._bundle.block_tokens
        if blocks < MIN_NOTICE_BLOCKS or not self._bundle.routing.share_fills:
            return None
        hashes = request.hashes.for_version(placement.weights_version)
        new = hashes[max(0, len(hashes) - blocks) :][:MAX_NOTICE_BLOCKS]
        return FillNotice(placement.engine_id, placement.uncached_tokens, new)

    def observe_fill(self, notice: FillNotice, now: float) -> None:
        """Record a fill that another node started: its queued tokens and its expected blocks."""
        self._fleet.sent_by_peer(notice.engine_id, notice.tokens, now)
        until = now + EXPECTATION_MARGIN_SECONDS
        self._index.expect(notice.engine_id, notice.hashes, until)

    def first_token(self, engine_id: str, attempt_id: str) -> None:
        """Record the first token of an attempt."""
        self._fleet.first_token(engine_id, attempt_id)

    def finished(
        self,
        request: CompletionRequest,
        placement: Placement,
        attempt_id: str,
        cached_tokens: int | None = None,
    ) -> None:
        """Record the end of an attempt, with the cached tokens that the engine reported."""
        self._fleet.finished(placement.engine_id, attempt_id)
        if cached_tokens is not None:
            blocks = cached_tokens // self._bundle.block_tokens
            hashes = request.hashes.for_version(placement.weights_version)
            self._index.correct(placement.engine_id, hashes, blocks)

    def _admitted_views(self, request: CompletionRequest, now: float) -> list[EngineView] | None:
        """Return the views of this request's admission, if they are recent enough for reuse."""
        admitted, self._admitted = self._admitted, None
        if admitted is None or admitted.request is not request:
            return None
        return admitted.views if now - admitted.at <= VIEW_REUSE_SECONDS else None

    def _placement_request(self, request: CompletionRequest) -> PlacementRequest:
        return PlacementRequest(
            request.hashes.for_version(request.model.weights_version),
            request.prompt_tokens,
            self._bundle.block_tokens,
        )

    def _application_order(self, backend: Backend) -> tuple[bool, int, float]:
        remote = backend.machine.zone != self._zone
        return remote, len(backend.in_flight), self._rng.random()

    def _views(
        self, request: CompletionRequest, now: float, excluded: Collection[str]
    ) -> list[EngineView]:
        pool = self._pools[request.model.pool]
        return [
            self._view(backend, pool, request, now)
            for backend in self._fleet.accepting(pool.name, now)
            if backend.machine.machine_id not in excluded
        ]

    def _view(
        self, backend: Backend, pool: Pool, request: CompletionRequest, now: float
    ) -> EngineView:
        engine_id = backend.machine.machine_id
        partition = self._index.partition(engine_id)
        load = backend.running()
        # The hashes cover the weights version that the engine serves. During a rollout of weights
        # all engines stay in use, and blocks of other weights versions never match.
        version = backend.weights_version or request.model.weights_version
        hashes = request.hashes.for_version(version)
        return EngineView(
            engine_id=engine_id,
            zone=backend.machine.zone,
            matched_blocks=self._index.matched_blocks(engine_id, hashes, now),
            weights_version=version,
            trusted=partition is None or partition.trusted,
            queued_tokens=backend.queued_tokens(now, pool.prefill_tokens_per_second),
            waiting=max(0, load - pool.max_running),
            running=min(load, pool.max_running),
            max_running=pool.max_running,
            cache_usage=backend.report.cache_usage,
            prefill_rate=pool.prefill_tokens_per_second,
        )


def tenant_shares(bundle: Bundle) -> dict[str, float]:
    """Return each tenant's share: its partner's share, split by the tenants' weights."""
    shares = {partner.name: partner.share for partner in bundle.partners}
    totals: dict[str, float] = {}
    for tenant in bundle.tenants:
        totals[tenant.partner] = totals.get(tenant.partner, 0.0) + tenant.weight
    return {
        tenant.name: shares[tenant.partner] * tenant.weight / totals[tenant.partner]
        for tenant in bundle.tenants
    }
