"""Placement across regions: which region serves a request, and what is fetched between regions."""

from __future__ import annotations

import sys
import time
from dataclasses import replace
from random import Random

import pytest

from hillstack.core.freshness import Freshness
from hillstack.core.link_share import BURST_SECONDS, MIN_BURST_BYTES, LinkShare
from hillstack.core.part_index import PromptPart
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import (
    EngineProfile,
    KvCacheStore,
    RequestLimits,
    RouteKind,
    RoutingTable,
    Service,
    TenantEntry,
)
from hillstack.core.runner_load import OwnAttempt, RunnerLoad
from hillstack.core.runner_pool import Runner
from hillstack.core.topology import Topology
from hillstack.core.weights_versions import WeightsVersions
from hillstack.serving.admission import RequestAdmission
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.region_choice import HEAD_BYTES, BorrowReason, RegionChoice
from hillstack.serving.store_events import (
    ConfigurationChanged,
    NodeListed,
    RunnerListed,
    WeightsNamed,
)
from hillstack.serving.types import RefusalCause
from tests.fleet.builders import (
    APPLICATION,
    ENGINES,
    KEY,
    MODEL,
    VERSION_GRACE_SECONDS,
    make_budget,
    make_entry,
    make_request,
    make_route,
    rev,
)
from tests.fleet.fake_runners import FakePeers, answers, answers_after, breaks_off, refuses
from tests.fleet.test_pipeline import EVENTS, Bench

REGIONS = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b", "b-3": "b"}
TWO_REGIONS = Topology("a-1", "a", REGIONS)
RUNNERS_OF_A_ZONE = 3
NODES_OF_A_ZONE = 4
LINK_MEGABITS = 30.0
SALT = f"shared|{MODEL}|1"
SUBJECT = PromptPart("subject", 3_780)
OWN = PromptPart("own", 2_890)
# A transfer of the subject part takes 39 ms within a zone and 0.4 s between regions.
ENGINE = EngineProfile(12, 93_049, 327_680.0, 280_000.0, (MODEL,))
BODY = b"x" * 9_200
# Bytes of a prompt on the link; the direction to the runner carries more than the answer.
PROMPT_BYTES = len(BODY) + HEAD_BYTES
FAR_STORE = KvCacheStore("10.9.9.9:1", "b-1", 1_000_000, 1_500_000.0)
NEAR_STORE = KvCacheStore("10.9.9.8:1", "a-2", 1_000_000, 1_500_000.0)


class Region:
    """A node of region a, with the runners of regions a and b."""

    def __init__(
        self,
        *,
        topology: Topology = TWO_REGIONS,
        store: KvCacheStore | None = None,
        kind: RouteKind = RouteKind.SAFE,
    ) -> None:
        streams = make_route(RouteKind.STREAM, prefix="/gen/", service=ENGINES, resumable=True)
        routes = [make_route(kind), replace(streams, target_seconds=0.6)]
        services = [Service(APPLICATION), Service(ENGINES, engine=ENGINE)]
        if store is not None:
            services.append(Service("kept", kv_cache_store=store))
        tenants = {KEY: TenantEntry("tenant-1")}
        table = RoutingTable.build(1, routes, services, tenants, RequestLimits())
        versions = WeightsVersions(VERSION_GRACE_SECONDS)
        self.state = FleetState(
            "node-1", Freshness(4.0), versions, make_budget(), topology=topology
        )
        self.state.apply(ConfigurationChanged(table), 0.0)
        self.state.apply(WeightsNamed(MODEL, 1), -100.0)
        for zone in REGIONS:
            self._list(zone)
        self.state.directory_known = self.state.duty_known = True
        self.state.note_peers_known(0.0)
        self.state.freshness.prove(0.0)
        self.regions = RegionChoice(self.state, LINK_MEGABITS)
        rng = Random(5)
        self.placement = RunnerPlacement(self.state, FakePeers(), "a-1", rng, regions=self.regions)
        self._admission = RequestAdmission(self.state, lambda: 0.0)
        self._numbers = iter(range(10**6))

    def _list(self, zone: str) -> None:
        for number in range(NODES_OF_A_ZONE):
            node_id = f"node-{zone}-{number}"
            self.state.apply(NodeListed(node_id, f"10.0.0.{number}:1", zone, rev(1)), 0.0)
        for number in range(RUNNERS_OF_A_ZONE):
            engine = make_entry(f"engine-{zone}-{number}", ENGINES, zone=zone, weights=1)
            self.state.apply(RunnerListed(engine), 0.0)
        self.state.apply(RunnerListed(make_entry(f"app-{zone}", APPLICATION, zone=zone)), 0.0)

    def prompt(self, subject: str = "subject") -> Job:
        shape = ((subject, SUBJECT.tokens), (f"own-{next(self._numbers)}", OWN.tokens))
        request = make_request("/gen/x", parts=shape, output=9)
        request.body = BODY
        return self._admission.admit(request)

    def call(self) -> Job:
        return self._admission.admit(make_request())

    def place(self, job: Job, now: float = 0.0) -> PlacedAttempt | None:
        return self.placement.choose(job, now)

    def place_and_send(self, job: Job, now: float = 0.0) -> PlacedAttempt | None:
        placed = self.place(job, now)
        if placed is not None:
            self.placement.sent(job, placed, f"attempt-{next(self._numbers)}", now)
        return placed

    def fail_runners(self, region: str, share: float = 1.0) -> None:
        runners = [r for r in self.state.pool.all() if REGIONS[r.entry.zone] == region]
        for place, runner in enumerate(runners):
            if place < share * len(runners):
                runner.suspected_until = 1_000.0

    def fill_engines(self, region: str, queue_seconds: float = 1.0) -> None:
        for runner in self.state.pool.of_service(ENGINES):
            if REGIONS[runner.entry.zone] == region:
                runner.prefill_done_at = queue_seconds

    def fill_applications(self, region: str) -> None:
        for runner in self.state.pool.of_service(APPLICATION):
            if REGIONS[runner.entry.zone] == region:
                for number in range(runner.entry.slots):
                    runner.attempts.add(str(number), OwnAttempt(0, 0, 0.0, 9.0))

    def fill_link(self, job: Job | None = None) -> None:
        """Use up the node's share of the link until it has no room for a job."""
        request = (job or self.prompt()).request
        remote_runner = next(r for r in self.state.pool.all() if REGIONS[r.entry.zone] == "b")
        while self.regions.has_link_room(request, 0.0):
            self.regions.sent(remote_runner, request)

    def cache_part(self, holder: str, part: PromptPart = SUBJECT) -> None:
        self.state.index.record_cached(holder, SALT, [part])


def region_of(placed: PlacedAttempt | None) -> str | None:
    return REGIONS[placed.runner.entry.zone] if placed is not None else None


def test_without_load_all_prompts_stay_in_their_region() -> None:
    region = Region()
    jobs = [region.prompt(f"subject-{number}") for number in range(30)]
    placed = [region.place_and_send(job, 0.1 * place) for place, job in enumerate(jobs)]
    assert {region_of(placed_one) for placed_one in placed} == {"a"}


def test_without_load_all_calls_stay_in_their_region() -> None:
    region = Region()
    assert {region_of(region.place_and_send(region.call())) for _ in range(12)} == {"a"}


def test_a_prompt_follows_a_part_cached_only_in_the_other_region() -> None:
    region = Region()
    region.cache_part("engine-b-1-0")
    placed = region.place(region.prompt())
    assert placed is not None
    assert (region_of(placed), placed.borrowed) == ("b", BorrowReason.CACHED)
    assert placed.repeated_tokens == 0


def test_a_prompt_stays_if_its_part_is_cached_in_both_regions() -> None:
    region = Region()
    region.cache_part("engine-b-1-0")
    region.cache_part("engine-a-3-0")
    assert region_of(region.place(region.prompt())) == "a"


def test_a_small_cached_part_attracts_no_request_to_the_other_region() -> None:
    region = Region()
    region.state.index.record_cached("engine-b-1-0", SALT, [PromptPart("small", 200)])
    shape = PromptShape((PromptPart("small", 200), OWN), 9)
    job = region.prompt()
    job.request.shape = shape
    assert region_of(region.place(job)) == "a"


def test_a_prompt_that_would_be_late_goes_to_the_other_region() -> None:
    region = Region()
    region.fill_engines("a")
    placed = region.place(region.prompt())
    assert placed is not None
    assert (region_of(placed), placed.borrowed) == ("b", BorrowReason.LATE)


def test_a_prompt_that_would_be_later_in_the_other_region_stays() -> None:
    region = Region()
    region.fill_engines("a", 1.0)
    region.fill_engines("b", 2.0)
    placed = region.place(region.prompt())
    assert placed is not None
    assert (region_of(placed), placed.borrowed) == ("a", None)


def test_a_region_without_runners_is_served_by_the_other() -> None:
    region = Region()
    region.fail_runners("a")
    placed = region.place(region.prompt())
    assert placed is not None
    assert (region_of(placed), placed.borrowed) == ("b", BorrowReason.NO_RUNNER)


def test_calls_of_a_region_without_runners_are_served_by_the_other() -> None:
    region = Region()
    region.fail_runners("a")
    placed = region.place(region.call())
    assert placed is not None
    assert (region_of(placed), placed.borrowed) == ("b", BorrowReason.NO_RUNNER)


def test_a_call_goes_to_the_other_region_if_its_own_has_no_room() -> None:
    region = Region()
    region.fill_applications("a")
    placed = region.place(region.call())
    assert placed is not None
    assert (region_of(placed), placed.borrowed) == ("b", BorrowReason.FULL)


def test_a_call_waits_in_its_region_if_no_region_has_room() -> None:
    region = Region()
    region.fill_applications("a")
    region.fill_applications("b")
    assert region_of(region.place(region.call())) == "a"


def test_half_a_region_under_a_burst_uses_its_share_of_the_link() -> None:
    region = Region()
    region.fail_runners("a", 0.5)
    placed = [region.place_and_send(region.prompt(f"s-{n}"), n * 0.001) for n in range(120)]
    carried = [region_of(placed_one) for placed_one in placed].count("b") * PROMPT_BYTES
    at_once = BURST_SECONDS * link_share_bytes()
    assert 0.9 * at_once < carried <= at_once + 0.12 * link_share_bytes()


def test_half_a_region_under_a_burst_serves_the_rest_itself() -> None:
    region = Region()
    region.fail_runners("a", 0.5)
    placed = [region.place_and_send(region.prompt(f"s-{n}"), n * 0.001) for n in range(120)]
    assert {region_of(placed_one) for placed_one in placed} == {"a", "b"}


def test_prompts_of_a_failed_region_stay_within_the_share_of_the_link() -> None:
    region = Region()
    region.fail_runners("a")
    # Callers send three times the load that the node's share of the link can carry.
    seconds, rate = 20, 3 * link_share_bytes() / PROMPT_BYTES
    served = 0
    for number in range(int(seconds * rate)):
        served += region.place_and_send(region.prompt(), number / rate) is not None
    carried = served * PROMPT_BYTES
    most = max(MIN_BURST_BYTES, BURST_SECONDS * link_share_bytes())
    assert 0.9 * seconds * link_share_bytes() < carried <= seconds * link_share_bytes() + most


def link_share_bytes() -> float:
    nodes = NODES_OF_A_ZONE * 3
    return LINK_MEGABITS * 1_000_000 / 8 / 2 / nodes


def test_a_late_prompt_stays_if_the_link_has_no_room() -> None:
    region = Region()
    region.fill_engines("a")
    region.fill_link()
    assert region_of(region.place(region.prompt())) == "a"


def test_requests_within_the_region_use_nothing_of_the_link() -> None:
    region = Region()
    for number in range(200):
        region.place_and_send(region.prompt(), 0.2 * number)
    assert region.regions.has_link_room(region.prompt().request, 40.0)


def test_runners_beyond_a_full_link_do_not_count_as_room() -> None:
    region = Region()
    region.fill_engines("a")
    job = region.prompt()
    assert region.placement.has_room(job, 0.0)
    region.fill_link()
    assert not region.placement.has_room(job, 0.0)


def test_a_share_of_the_link_refills_over_time() -> None:
    share = LinkShare(LINK_MEGABITS)
    share.allows(1.0, 30, 0.0)
    share.spend(125_000.0)
    assert not share.allows(1.0, 30, 0.0)
    assert share.allows(60_000.0, 30, 2.0)


def test_a_share_of_the_link_does_not_grow_while_the_clock_stands_still() -> None:
    share = LinkShare(LINK_MEGABITS)
    assert share.allows(60_000.0, 30, 5.0)
    share.spend(125_000.0)
    assert not share.allows(1.0, 30, 5.0)


def test_a_part_is_fetched_from_the_other_region_instead_of_prefilled() -> None:
    region = Region()
    region.cache_part("engine-b-1-0")
    region.fill_link()
    placed = region.place(region.prompt())
    assert placed is not None
    assert placed.fetches_across and placed.repeated_tokens == 0


def test_a_part_cached_in_the_region_is_fetched_there() -> None:
    region = Region()
    region.cache_part("engine-b-1-0")
    region.cache_part("engine-a-2-0")
    region.state.pool.of_service(ENGINES)[3].prefill_done_at = 0.4
    region.fill_engines("b")
    placed = region.place(region.prompt())
    assert placed is not None and not placed.fetches_across


def test_a_part_is_prefilled_again_if_a_cross_region_fetch_would_be_late() -> None:
    region = Region()
    region.cache_part("engine-b-1-0")
    region.fill_engines("a", 0.25)
    region.fill_link()
    placed = region.place(region.prompt())
    assert placed is not None and placed.fetch_from is None


def test_runners_save_to_a_store_of_their_region() -> None:
    region = Region(store=NEAR_STORE)
    placed = region.place(region.prompt())
    assert placed is not None and placed.save_to == NEAR_STORE.address


def test_runners_of_a_region_without_a_store_save_nowhere() -> None:
    region = Region(store=FAR_STORE)
    placed = region.place(region.prompt())
    assert placed is not None and placed.save_to is None


def test_the_store_of_the_other_region_is_a_source() -> None:
    region = Region(store=FAR_STORE)
    region.cache_part(FAR_STORE.address)
    region.fill_link()
    placed = region.place(region.prompt())
    assert placed is not None
    assert (placed.fetch_from, placed.fetches_across) == (FAR_STORE.address, True)


def test_a_retry_stays_in_its_region_and_avoids_the_zone() -> None:
    region = Region()
    first = region.place(region.call())
    assert first is not None
    job = region.call()
    job.excluded.add(first.runner.runner_id)
    second = region.place(job)
    assert second is not None and region_of(second) == "a"
    assert second.runner.entry.zone != first.runner.entry.zone


def test_a_retry_of_a_prompt_stays_in_its_region_and_avoids_the_zone() -> None:
    region = Region()
    job = region.prompt()
    first = region.place(job)
    assert first is not None
    job.excluded.add(first.runner.runner_id)
    second = region.place(job)
    assert second is not None and region_of(second) == "a"
    assert second.runner.entry.zone != first.runner.entry.zone


def test_runners_of_the_other_region_are_not_considered_without_need(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    region = Region()
    loaded_regions: list[str] = []
    load = RunnerLoad(0, 0, 0)

    def record_load(runner: Runner, now: float) -> RunnerLoad:
        loaded_regions.append(REGIONS[runner.entry.zone])
        return load

    monkeypatch.setattr(Runner, "load", record_load)
    region.place(region.prompt())
    assert set(loaded_regions) == {"a"}


@pytest.mark.parametrize("seed", range(5))
def test_placement_with_one_named_region_equals_placement_without_regions(seed: int) -> None:
    named = Topology("a-1", "a", dict.fromkeys(REGIONS, "a"))
    choices = []
    for topology in (Topology("a-1"), named):
        region = Region(topology=topology)
        rng = Random(seed)
        placed = []
        for number in range(40):
            job = region.prompt(f"subject-{rng.randrange(8)}")
            placed_one = region.place_and_send(job, number * 0.01)
            assert placed_one is not None
            placed.append((placed_one.runner.runner_id, placed_one.fetch_from, placed_one.borrowed))
        choices.append(placed)
    assert choices[0] == choices[1]


@pytest.mark.parametrize("is_prompt", [False, True])
def test_no_choice_reads_the_time_of_day(monkeypatch: pytest.MonkeyPatch, is_prompt: bool) -> None:
    read_time = time.time

    def refuse() -> float:
        # Libraries read the time of day for log records and counters only.
        if sys._getframe(1).f_globals["__name__"].startswith("hillstack"):
            raise AssertionError("the time of day was read")
        return read_time()

    region = Region()
    region.state.start_gate.open()
    region.state.start_gate.open_for_prompts()
    bench = Bench(region.state)
    for runner in region.state.pool.all():
        is_engine = runner.entry.service == ENGINES
        bench.client.behaviours[runner.runner_id] = (
            answers_after(0.1, *EVENTS) if is_engine else answers()
        )
    request = region.prompt().request if is_prompt else region.call().request
    monkeypatch.setattr(time, "time", refuse)
    _, error = bench.serve(request)
    assert error is None


def test_an_unsafe_call_that_may_have_run_is_not_sent_to_the_other_region() -> None:
    region = Region(kind=RouteKind.UNSAFE)
    region.state.start_gate.open()
    bench = Bench(region.state)
    for runner in region.state.pool.all():
        bench.client.behaviours[runner.runner_id] = breaks_off()
    bench.serve(region.call().request)
    assert len(bench.client.dispatches) == 1


def test_an_unsafe_call_that_was_not_run_goes_to_another_server_of_its_region() -> None:
    region = Region(kind=RouteKind.UNSAFE)
    region.state.start_gate.open()
    bench = Bench(region.state)
    behaviours = [refuses(RefusalCause.FULL), answers()]
    for runner in region.state.pool.of_service(APPLICATION):
        zone = runner.entry.zone
        bench.client.behaviours[runner.runner_id] = behaviours[zone != "a-1"]
    bench.serve(region.call().request)
    sent_to = [dispatch.runner_id for dispatch in bench.client.dispatches]
    assert sent_to[0] == "app-a-1" and sent_to[1] in ("app-a-2", "app-a-3")


def test_calls_of_a_failed_region_stay_within_the_share_of_the_link() -> None:
    region = Region()
    region.fail_runners("a")
    region.fill_link(region.call())
    assert region.place(region.call()) is None


def test_borrowed_runners_and_cross_region_fetches_are_counted() -> None:
    metrics = FleetMetrics()
    metrics.count_regions(BorrowReason.LATE, "10.0.0.1:1", is_cross_region=True)
    text = metrics.text().decode()
    counted = [
        'hillstack_borrowed_runners_total{reason="late"} 1.0',
        'hillstack_cache_fetches_total{distance="other region"} 1.0',
    ]
    assert all(line in text for line in counted)


# Guards against requests that avoid a whole zone because one of its runners leaves.
@pytest.mark.parametrize("kind", ["call", "prompt"])
def test_the_zone_of_a_leaving_runner_is_not_a_failed_zone(
    kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    region = Region()
    leaving = next(
        runner
        for runner in region.state.pool.of_service(APPLICATION if kind == "call" else ENGINES)
        if runner.entry.zone == "a-1"
    )
    region.state.pool.apply_leaving_hint(leaving, 0.0)
    failed: list[frozenset[str]] = []
    find_failed_zones = region.regions.failed_zones

    def failed_zones(tried_ids: set[str]) -> frozenset[str]:
        failed.append(find_failed_zones(tried_ids))
        return failed[-1]

    monkeypatch.setattr(region.regions, "failed_zones", failed_zones)
    placed = region.place(region.call() if kind == "call" else region.prompt())
    assert placed is not None
    assert placed.runner is not leaving
    assert failed
    assert set(failed) == {frozenset()}
