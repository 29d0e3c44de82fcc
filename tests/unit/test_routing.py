from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from hillstack.config.bundle import Routing
from hillstack.core.admission import Admission, AdmissionRequest, RefusalReason
from hillstack.core.cache_index import CacheIndex
from hillstack.core.fleet import Fleet, LoadReport
from hillstack.core.placement.base import EngineView, PlacementRequest
from hillstack.core.placement.registry import make_policy
from hillstack.core.prefix import FixedHashes, PrefixScope, TextHashes, block_hashes
from hillstack.core.request_router import CompletionRequest, RequestRouter, tenant_shares
from hillstack.core.retry_budget import RetryBudget
from hillstack.core.weights import next_orders
from hillstack.messages.types import BackendKind, LeavingNotice, Machine
from tests.builders import make_bundle

VIEW = EngineView(
    engine_id="engine-0",
    zone="zone-a",
    matched_blocks=0,
    weights_version=1,
    trusted=True,
    queued_tokens=0.0,
    waiting=0,
    running=0,
    max_running=32,
    cache_usage=0.5,
    prefill_rate=1_000.0,
)
REQUEST = PlacementRequest(hashes=(1, 2, 3, 4), prompt_tokens=400, block_tokens=100)


def choose(policy: str, *engines: EngineView) -> str:
    routing = Routing.model_validate({"policy": policy})
    return make_policy(routing).choose(REQUEST, engines, Random(1)).engine_id


def test_hashes_depend_on_every_field_of_the_scope() -> None:
    base = PrefixScope("tenant", "model", 1, "adapter", 1)
    others = [
        replace(base, tenant="other"),
        replace(base, model="other"),
        replace(base, weights_version=2),
        replace(base, adapter="other"),
        replace(base, adapter_version=2),
    ]
    hashes = {block_hashes(b"x" * 100, 100, 1, scope.cache_salt())[0] for scope in (base, *others)}
    assert len(hashes) == 6


def test_hashes_share_exactly_the_common_prefix() -> None:
    first = block_hashes(b"a" * 250 + b"b" * 150, 100, 1, "salt")
    second = block_hashes(b"a" * 250 + b"c" * 150, 100, 1, "salt")
    assert len(first) == 4
    assert first[:2] == second[:2]
    assert not set(first[2:]) & set(second[2:])


def test_full_policy_waits_for_a_warm_engine_only_while_that_is_cheaper() -> None:
    warm = replace(VIEW, engine_id="warm", matched_blocks=4, queued_tokens=200.0)
    assert choose("full", warm, VIEW) == "warm"
    busy = replace(warm, queued_tokens=10_000.0)
    assert choose("full", busy, VIEW) == "engine-0"


def test_full_policy_discounts_untrusted_matches() -> None:
    doubted = replace(VIEW, engine_id="doubted", matched_blocks=4, trusted=False)
    sure = replace(VIEW, engine_id="sure", matched_blocks=3)
    assert choose("full", doubted, sure) == "sure"
    assert choose("cache_aware", doubted, sure) == "doubted"


def test_prefix_hash_leaves_an_overloaded_engine() -> None:
    engines = [replace(VIEW, engine_id=f"engine-{number}") for number in range(4)]
    home = choose("prefix_hash", *engines)
    loaded = [replace(e, running=20) if e.engine_id == home else e for e in engines]
    assert choose("prefix_hash", *loaded) != home


@pytest.mark.parametrize("policy", ["round_robin", "least_loaded"])
def test_baselines_choose_some_engine(policy: str) -> None:
    idle = replace(VIEW, engine_id="idle")
    busy = replace(VIEW, engine_id="busy", queued_tokens=5_000.0)
    assert choose(policy, idle, busy) in ("idle", "busy")


def test_a_new_incarnation_drops_all_blocks() -> None:
    index = CacheIndex()
    index.observe_incarnation("engine", "one")
    index.stored("engine", "one", [1, 2, 3])
    assert index.matched_blocks("engine", (1, 2, 3), 0.0) == 3
    index.observe_incarnation("engine", "two")
    assert index.matched_blocks("engine", (1, 2, 3), 0.0) == 0
    index.stored("engine", "one", [1])
    assert index.matched_blocks("engine", (1, 2, 3), 0.0) == 0


def test_a_partition_is_untrusted_until_its_gap_is_closed() -> None:
    index = CacheIndex()
    assert index.observe_sequence("engine", "one", 0) is None
    gap = index.observe_sequence("engine", "one", 3)
    assert gap is not None
    assert (gap.first, gap.end) == (1, 3)
    partition = index.partition("engine")
    assert partition is not None
    assert not partition.trusted
    index.close_gap("engine")
    assert partition.trusted


def make_router(engines: int = 2) -> tuple[RequestRouter, Fleet, CacheIndex]:
    fleet, index = Fleet(), CacheIndex()
    fleet.update_machines(
        [
            Machine(f"engine-{n}", BackendKind.ENGINE, "engines", "zone-a", f"10.0.0.{n}:1")
            for n in range(engines)
        ]
    )
    for number in range(engines):
        index.observe_incarnation(f"engine-{number}", "one")
        fleet.observe_status(f"engine-{number}", "one", 1, False)
        fleet.observe_load(f"engine-{number}", LoadReport(0, 0, 0.0, 0.0), 0.0)
    return RequestRouter(make_bundle(), fleet, index, "zone-a", Random(1)), fleet, index


def make_request(weights_version: int = 1) -> CompletionRequest:
    model = make_bundle().models[0].model_copy(update={"weights_version": weights_version})
    return CompletionRequest("tenant-a", model, FixedHashes((1, 2, 3)), 300, 10, 60.0)


def test_concurrent_requests_follow_a_fill_in_flight() -> None:
    router, _, _ = make_router(3)
    first = router.place(make_request(), 0.0)
    assert first is not None
    router.started(make_request(), first, "a-1", 0.0)
    second = router.place(make_request(), 0.0)
    assert second is not None
    assert second.engine_id == first.engine_id


def test_a_node_follows_the_fill_of_another_node() -> None:
    first, _, _ = make_router(3)
    second, _, _ = make_router(3)
    placement = first.place(make_request(), 0.0)
    assert placement is not None
    notice = first.fill_of(make_request(), placement)
    assert notice is not None
    second.observe_fill(notice, 0.0)
    followed = second.place(make_request(), 0.001)
    assert followed is not None
    assert followed.engine_id == placement.engine_id
    assert followed.uncached_tokens == 1
    assert followed.estimated_wait > 0


def test_a_small_fill_is_not_worth_a_notice() -> None:
    router, _, index = make_router(1)
    index.stored("engine-0", "one", [1, 2])
    placement = router.place(make_request(), 0.0)
    assert placement is not None
    assert router.fill_of(make_request(), placement) is None


def test_blocks_of_other_weights_never_match() -> None:
    router, fleet, index = make_router(2)
    scope = PrefixScope("tenant-a", "model", 2)
    prompt = TextHashes(b"x" * 300, 100, 1, scope)
    fleet.observe_status("engine-0", "one", 2, False)
    # engine-1 still serves version 1, so its blocks under the hashes of version 2 do not match.
    index.stored("engine-1", "one", prompt.for_version(2))
    request = replace(make_request(2), hashes=prompt)
    placement = router.place(request, 0.0, excluded=("engine-0",))
    assert placement is not None
    assert placement.weights_version == 1
    assert placement.uncached_tokens == 300
    index.stored("engine-1", "one", prompt.for_version(1))
    placement = router.place(request, 0.0, excluded=("engine-0",))
    assert placement is not None
    assert placement.uncached_tokens == 1


def test_weights_are_ordered_a_few_at_a_time_and_never_on_all_engines() -> None:
    _, fleet, _ = make_router(3)
    bundle = make_bundle(models=[{"name": "model", "pool": "engines", "weights_version": 2}])
    first = next_orders(bundle, fleet, (), 0.0)
    assert len(first) == 2
    assert next_orders(bundle, fleet, [order.engine_id for order in first], 0.0) == []
    for order in first:
        fleet.observe_status(order.engine_id, "one", 2, False)
    assert len(next_orders(bundle, fleet, (), 0.0)) == 1


def test_draining_from_any_source_ends_new_work() -> None:
    router, fleet, _ = make_router(1)
    fleet.observe_draining("engine-0")
    assert router.place(make_request(), 0.0) is None
    fleet.observe_status("engine-0", "one", 1, False)
    assert router.place(make_request(), 0.0) is None
    fleet.observe_status("engine-0", "two", 1, False)
    assert router.place(make_request(), 0.0) is not None


def test_a_leaving_notice_drains_one_incarnation() -> None:
    router, fleet, _ = make_router(1)
    fleet.observe_notices([LeavingNotice("engine-0", "another life")])
    assert router.place(make_request(), 0.0) is not None
    fleet.observe_notices([LeavingNotice("engine-0", "one")])
    assert router.place(make_request(), 0.0) is None
    assert fleet.leaving_notices() == (LeavingNotice("engine-0", "one"),)


def test_a_resumed_process_places_no_work_before_a_refresh() -> None:
    router, fleet, _ = make_router(1)
    assert not fleet.heartbeat(0.0)
    assert router.place(make_request(), 10.0) is None
    assert fleet.heartbeat(10.0)
    assert router.place(make_request(), 10.1) is None
    fleet.refreshed()
    assert router.place(make_request(), 10.1) is not None


def test_a_suspicion_expires() -> None:
    router, fleet, _ = make_router(1)
    fleet.observe_failure("engine-0", 0.0)
    assert router.place(make_request(), 0.1) is None
    assert router.place(make_request(), 1.0) is not None


def test_shares_split_by_partner_then_by_weight() -> None:
    shares = tenant_shares(make_bundle())
    assert shares == {"tenant-a": 1.0, "tenant-b": 1.0}


def admission_request(tenant: str, wait: float, **changes: object) -> AdmissionRequest:
    fields: dict[str, object] = {
        "tenant": tenant,
        "cost_tokens": 100.0,
        "estimated_wait": wait,
        "mean_wait": wait,
        "deadline_in": 60.0,
    }
    return AdmissionRequest(**(fields | changes))  # type: ignore[arg-type]


def test_admission_is_work_conserving_while_no_request_waits() -> None:
    admission = Admission({"a": 1.0, "b": 1.0}, 1.0, 10.0)
    admission.try_admit(admission_request("b", 0.0), 0.0)
    for _ in range(100):
        assert admission.try_admit(admission_request("a", 0.001), 0.0) is None


# Guards against a tenant without a weight that is refused although no request waits.
def test_a_tenant_without_a_weight_is_admitted_while_no_request_waits() -> None:
    admission = Admission({"a": 1.0}, 1.0, 10.0)
    for _ in range(3):
        assert admission.try_admit(admission_request("unweighted", 0.0), 0.0) is None


def test_only_a_tenant_over_its_share_is_refused() -> None:
    admission = Admission({"a": 1.0, "b": 1.0}, 1.0, 10.0)
    for _ in range(100):
        admission.try_admit(admission_request("a", 0.5), 0.0)
    admission.try_admit(admission_request("b", 0.5), 0.0)
    refusal = admission.try_admit(admission_request("a", 2.0), 0.0)
    assert refusal is not None
    assert refusal.reason is RefusalReason.OVER_SHARE
    assert admission.try_admit(admission_request("b", 2.0), 0.0) is None


def test_tenants_further_over_their_share_are_refused_at_shorter_waits() -> None:
    admission = Admission({"a": 1.0, "b": 1.0, "c": 8.0}, 1.0, 10.0)
    for tenant, requests in (("a", 60), ("b", 12), ("c", 60)):
        for _ in range(requests):
            admission.try_admit(admission_request(tenant, 0.0), 0.0)
    assert admission.try_admit(admission_request("a", 0.3), 0.0) is not None
    assert admission.try_admit(admission_request("b", 0.3), 0.0) is None
    assert admission.try_admit(admission_request("c", 2.0), 0.0) is None


def test_a_retry_after_the_retry_delay_is_admitted() -> None:
    admission = Admission({"a": 1.0, "b": 1.0}, 1.0, 10.0)
    for _ in range(30):
        admission.try_admit(admission_request("a", 0.5), 0.0)
    for _ in range(20):
        admission.try_admit(admission_request("b", 0.5), 0.0)
    refusal = admission.try_admit(admission_request("a", 2.0), 0.0)
    assert refusal is not None
    later = refusal.retry_after
    for _ in range(20):
        admission.try_admit(admission_request("b", 0.5), later)
    assert admission.try_admit(admission_request("a", 2.0), later) is None


def test_an_unreachable_deadline_is_refused_at_once() -> None:
    admission = Admission({"a": 1.0}, 1.0, 10.0)
    refusal = admission.try_admit(admission_request("a", 3.0, deadline_in=2.0), 0.0)
    assert refusal is not None
    assert refusal.reason is RefusalReason.DEADLINE


def test_urgent_requests_are_admitted_up_to_the_hard_limit() -> None:
    admission = Admission({"a": 1.0}, 1.0, 10.0)
    assert admission.try_admit(admission_request("a", 9.0, urgent=True), 0.0) is None
    refusal = admission.try_admit(admission_request("a", 11.0, urgent=True), 0.0)
    assert refusal is not None
    assert refusal.reason is RefusalReason.OVERLOADED


def test_retry_budget_bounds_retries_to_a_share_of_requests() -> None:
    budget = RetryBudget(ratio=0.1, minimum_per_second=0.0, capacity=1.0)
    assert budget.try_retry("a", 0.0)
    granted = 0
    for _ in range(1_000):
        budget.on_request("a", 0.0)
        granted += budget.try_retry("a", 0.0)
    assert granted <= 100
