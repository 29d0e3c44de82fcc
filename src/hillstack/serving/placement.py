"""Chooses a runner for an attempt and records the attempts that were sent."""

from __future__ import annotations

import itertools
import math
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from hillstack.core.answer_durations import AnswerDurations
from hillstack.core.cache_salt import make_salt
from hillstack.core.overload import MAX_RETRY_SECONDS, MIN_RETRY_SECONDS
from hillstack.core.placement.cached_parts import PlacementInputs
from hillstack.core.placement.expected_delay import (
    Candidate,
    Choice,
    ExpectedDelayPlacement,
)
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import EngineProfile
from hillstack.core.runner_load import OwnAttempt
from hillstack.core.runner_pool import DEFAULT_PREFILL_RATE, Runner
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.serving.begin_bounds import CHECK_SECONDS
from hillstack.serving.cache_estimates import CacheEstimates
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.peers import PeerNotifier
from hillstack.serving.region_choice import (
    DETOUR_SECONDS,
    MIN_REPEATED_TOKENS,
    SECONDS_PER_BYTE,
    BorrowReason,
    RegionChoice,
    exchange_bytes,
    is_late,
)
from hillstack.serving.runner_census import RunnerCensus, take_census
from hillstack.serving.types import ServingRequest
from hillstack.serving.version_choice import UsableRunners, VersionChoice

# Weight of the latest prefill in the moving average, which reflects about the last ten prefills.
RATE_SMOOTHING = 0.1
# Shorter prefills take only a few engine steps, so their rate depends on the step time.
RATE_MIN_TOKENS = 1500
# Tokens per second: several times slower and faster than known engines (38,000 to 57,000).
RATE_RANGE = (5_000.0, 200_000.0)
# A request may start to run this much later than it is sent. This comes on top of the margin by
# which ``fleet_node.VERSION_MARGIN_SECONDS`` shortens the platform's limit.
VERSION_MARGIN_SECONDS = 0.3
# A stream that this node has abandoned is taken up only at weights that may begin requests for this
# much longer: an attempt that waits in the queue of a runner until newer weights are due is
# abandoned too, and the stream would end in the middle. A loaded runner begins within this time.
TAKE_UP_MARGIN_SECONDS = 1.0
# A request is sent with a fetch until this long before its attempt would be abandoned for the fetch
# (``begin_bounds``): a runner without a queue begins in less time.
FETCH_MARGIN_SECONDS = CHECK_SECONDS + 0.05
# Shorter prefills take less than 10 ms and are not reported to peers.
MIN_NOTICE_TOKENS = 400
# Peers' placements that are not reported as prefilled yet: five seconds at 200 a second. If one is
# dropped, its prompt counts as prefilled at the time that its sender expected.
MAX_PEER_PLACEMENTS = 1_024
# A service that uses a smaller share of its slots is not overloaded if some runner has no waiting
# work. Its requests are then not rejected for overload.
LOW_OCCUPANCY_SHARE = 0.5
# Opening a connection to an application server costs as much as a tenth of its slots in use, which
# decides between runners that are about equally busy.
NEW_CONNECTION_PENALTY = 0.1
# The first event of an engine is overdue after 1.5 times its expected delay plus this time.
FIRST_EVENT_OVERDUE_SECONDS = 0.4
FIRST_EVENT_OVERDUE_FACTOR = 1.5
# All nodes give their callers the same end of a backoff as retry time. Retries are spread over this
# time, about half of the shortest objective of known deployments (0.2 to 0.8 s); otherwise they
# would overload the runner again.
RETURN_SPREAD_SECONDS = 0.3
# Expected time of an application server that has not answered yet: the longest work seen.
USUAL_ANSWER_SECONDS = 0.1
# With several regions, a further attempt avoids the zones of runners that were already tried. The
# penalty equals half of an application server's slots in use.
FAILED_ZONE_PENALTY = 0.5


@dataclass(slots=True)
class _VersionTerms:
    """Candidate fields that follow from a weights version; named as in ``Candidate``."""

    salt: str
    begin_before: float
    superseded_at: float
    fetch_until: float


class RunnerPlacement:
    """Places the requests of one node.

    Args:
        state: State of the node.
        peers: Sends notices of placements and loads to the peers.
        zone: Zone of the node.
        rng: Source of randomness.
        resting: Until when an idle connection of this node may be reused, by address.
        regions: Decides which requests may go to another region.

    Attributes:
        versions: Chooses runners by their software version. Weights versions are in
            ``FleetState.versions``.
    """

    def __init__(
        self,
        state: FleetState,
        peers: PeerNotifier,
        zone: str,
        rng: Random,
        resting: Mapping[str, float] | None = None,
        regions: RegionChoice | None = None,
    ) -> None:
        self._idle_until = resting if resting is not None else {}
        self._state = state
        self._peers = peers
        self._zone = zone
        self._rng = rng
        self._regions = regions or RegionChoice(state)
        self._policy = ExpectedDelayPlacement(state.index)
        self._cache_estimates = CacheEstimates(state)
        self.versions = VersionChoice(state, rng)
        self._rates: dict[str, float] = {}
        self._durations: defaultdict[str, AnswerDurations] = defaultdict(AnswerDurations)
        self._notice_numbers = itertools.count(1)
        self._announced: dict[str, int] = {}
        self._peer_placements: OrderedDict[tuple[str, int], PlacementNotice] = OrderedDict()

    @property
    def peers(self) -> PeerNotifier:
        """Sender of notices to the peers."""
        return self._peers

    def choose(self, job: Job, now: float) -> PlacedAttempt | None:
        """Return a runner for the next attempt, or None if no runner accepts work.

        A runner that is leaving or suspected according to peers is chosen only if no other runner
        accepts the request. In the first pass one that is leaving counts as excluded, but its zone
        does not count as a failed one.
        """
        hinted_ids = self._state.pool.hinted(job.service, now) - job.excluded
        if hinted_ids:
            job.excluded |= hinted_ids
            job.leaving = hinted_ids
            placed = self._choose_usable(job, now)
            job.excluded -= hinted_ids
            job.leaving = set()
            if placed is not None:
                return placed
        placed = self._choose_usable(job, now)
        if placed is None and self._state.pool.end_peer_suspicions(job.service, now):
            placed = self._choose_usable(job, now)
        return placed

    def _choose_usable(self, job: Job, now: float) -> PlacedAttempt | None:
        placed = self._choose_among(job, self.versions.usable(job, now), now)
        if placed is None and job.is_canary:
            self.versions.drop_canary(job)
            placed = self._choose_among(job, self.versions.usable(job, now), now)
        return placed

    def _choose_among(self, job: Job, usable: UsableRunners, now: float) -> PlacedAttempt | None:
        engine = self._state.engine_of(job.service)
        if engine is None or job.request.shape is None:
            return self._choose_application(job, usable, now)
        return self._choose_engine(job, job.request.shape, engine, usable, now)

    def has_room(self, job: Job, now: float) -> bool:
        """Return whether few slots are in use and some eligible runner has no waiting work.

        A penalty for a recent refusal or for memory only means that a runner may be slow, not that
        the request would wait there.
        """
        runners = self._reachable(job, self.versions.accepting(job, now), now)
        taken = sum(runner.running(now) for runner in runners)
        places = sum(runner.entry.slots for runner in runners)
        if taken >= LOW_OCCUPANCY_SHARE * places:
            return False
        return any(
            runner.prefill_wait(now) <= 0 and runner.running(now) < runner.entry.slots
            for runner in self._reachable(job, self._runners_available_now(job, now), now)
        )

    def _reachable(self, job: Job, runners: Iterable[Runner], now: float) -> list[Runner]:
        """Return the runners that are in the local region, or reachable over the regions' link."""
        if self._regions.has_link_room(job.request, now):
            return list(runners)
        return [runner for runner in runners if not self._regions.is_cross_region(runner)]

    def census(self, job: Job, now: float) -> RunnerCensus:
        """Return why runners don't accept the request, for the log."""
        runners = self._state.pool.of_service(job.service)
        oldest = self._oldest_allowed(job, now)
        return take_census(job, runners, oldest, self.versions.may_use, now)

    def available_in_seconds(self, job: Job, now: float) -> float | None:
        """Return the seconds until the first runner is expected to accept the request.

        None if the time is unknown: all runners are leaving or have weights that are too old.
        """
        first = min(self._runners_available_later(job, now), key=_available_at, default=None)
        if first is None:
            return None
        wait = _available_at(first) - now
        if first.signals.unavailable_until >= _available_at(first):
            wait += self._rng.uniform(0.0, RETURN_SPREAD_SECONDS)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def first_after_backoff(self, job: Job, now: float) -> Runner | None:
        """Return the runner in backoff that will accept the request first, or None.

        A runner is in backoff if it asked for one, or if its rate limit has no room for this node.
        """
        backing_off = (
            runner
            for runner in self._runners_available_later(job, now)
            if runner.signals.unavailable_until >= runner.ready_at > now
        )
        return min(backing_off, key=_available_at, default=None)

    def expected_work_seconds(self, job: Job) -> float:
        """Return the seconds for which an idle runner prefills a prompt or works on a call."""
        shape = job.request.shape
        if shape is None or self._state.engine_of(job.service) is None:
            return self.median_answer_seconds(job.service) or USUAL_ANSWER_SECONDS
        return shape.prompt_tokens / self.prefill_rate(job.service)

    def _runners_available_later(self, job: Job, now: float) -> Iterator[Runner]:
        """Return the runners that accept the request now or are expected to accept it later."""
        oldest = self._oldest_allowed(job, now)
        for runner in self._state.pool.of_service(job.service):
            if not runner.will_accept(now) or not self.versions.may_use(job, runner, now):
                continue
            if runner.weights_after_load(job.request.model) >= oldest:
                yield runner

    def sent(self, job: Job, placed: PlacedAttempt, attempt_id: str, now: float) -> None:
        """Record an attempt that is being sent and when it is overdue, and notify the peers."""
        shape = job.request.shape
        total = shape.total_tokens if shape is not None and placed.salt is not None else 0
        is_long = shape is not None and shape.is_long
        job.silent_since = due_at = now + self._overdue_seconds(job, placed)
        attempt = OwnAttempt(placed.prefill_tokens, total, now, due_at, is_long)
        self._state.pool.sent(placed.runner, attempt_id, attempt, self.prefill_rate(job.service))
        self.versions.sent(job, placed.runner)
        self._peers.load_changed(placed.runner)
        self._regions.sent(placed.runner, job.request)
        if shape is None or placed.salt is None:
            return
        self._cache_estimates.sent(placed, shape, now)
        if _should_announce(placed, shape):
            self._announced[attempt_id] = number = next(self._notice_numbers)
            self._peers.placed(_placement_notice(placed, shape, number))

    def answered(self, job: Job, placed: PlacedAttempt, attempt_id: str, now: float) -> None:
        """Record that the head of an answer arrived; an application server is then finished."""
        attempt = placed.runner.attempts.get(attempt_id)
        is_usual = not self.versions.is_untrusted(placed.runner)
        if attempt is not None and placed.salt is None and is_usual:
            self._durations[job.service].add(now - attempt.sent_at)

    def has_alternative(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether a runner other than this one would accept another attempt."""
        return any(other is not runner for other in self._runners_available_now(job, now))

    def may_take_up(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether another runner would accept a stream, with weights that stay allowed."""
        later = now + TAKE_UP_MARGIN_SECONDS
        oldest = self._oldest_allowed(job, later)
        model = job.request.model
        available = self._runners_available_now(job, now)
        return any(
            other is not runner and other.likely_weights(model, now) >= oldest
            for other in available
        )

    def _runners_available_now(self, job: Job, now: float) -> Iterator[Runner]:
        """Return the runners that accept another attempt of a request now."""
        oldest = self._oldest_allowed(job, now)
        for runner in self.versions.accepting(job, now):
            if runner.runner_id in job.excluded:
                continue
            if runner.likely_weights(job.request.model, now) >= oldest:
                yield runner

    def must_share_runner(self, job: Job, now: float) -> bool:
        """Return whether every runner that may run a suspect already runs another suspect."""
        taken = self._state.probations.runner_ids(now)
        if not taken:
            return False
        open_ids = [runner.runner_id for runner in self._runners_available_now(job, now)]
        return bool(open_ids) and taken.issuperset(open_ids)

    def _oldest_allowed(self, job: Job, now: float) -> int:
        """Return the oldest weights version that a runner may have; 0 for application servers."""
        if self._state.engine_of(job.service) is None:
            return 0
        return self._state.versions.oldest_allowed(job.request.model, now + VERSION_MARGIN_SECONDS)

    def started(self, job: Job, placed: PlacedAttempt, attempt_id: str, now: float) -> None:
        """Record the first event of an attempt."""
        self.versions.started(job)
        attempt = placed.runner.attempts.get(attempt_id)
        if attempt is not None and not self.versions.is_untrusted(placed.runner):
            self._learn_rate(job.service, placed, attempt, now)
        self._state.pool.started(placed.runner, attempt_id, now)
        shape = job.request.shape
        if shape is None or placed.salt is None:
            return
        self._cache_estimates.prefilled(placed, shape, now)
        number = self._announced.pop(attempt_id, None)
        if number is not None:
            self._peers.prompt_prefilled(number)

    def finished(self, placed: PlacedAttempt, attempt_id: str) -> None:
        """Record the end of an attempt."""
        self._announced.pop(attempt_id, None)
        self._state.pool.finished(placed.runner, attempt_id)
        self._peers.load_changed(placed.runner)

    def lost(self, runner: Runner) -> None:
        """Notify the peers of a runner that accepts no connections."""
        self._peers.suspected(runner)

    def observe_placement(self, peer: str, notice: PlacementNotice, now: float) -> None:
        """Record a request that a peer has sent to a runner."""
        self._peer_placements[peer, notice.number] = notice
        while len(self._peer_placements) > MAX_PEER_PLACEMENTS:
            self._peer_placements.popitem(last=False)
        runner = self._state.pool.get(notice.runner_id)
        if runner is None:
            return
        rate = self.prefill_rate(runner.entry.service)
        self._state.pool.add_prefill(runner, notice.prefill_tokens, rate, now)
        self._cache_estimates.peer_sent(notice, now)

    def observe_prefilled(self, peer: str, number: int, now: float) -> None:
        """Record that the prompt of a peer's placement is prefilled; ignore unknown placements."""
        notice = self._peer_placements.pop((peer, number), None)
        if notice is not None:
            self._cache_estimates.peer_prefilled(notice, now)

    def median_answer_seconds(self, service: str) -> float | None:
        """Return the median time to an answer of an application; None if unknown."""
        durations = self._durations.get(service)
        return durations.median_seconds() if durations is not None else None

    def prefill_rate(self, service: str) -> float:
        """Return the observed prefill rate of a service's runners in tokens per second."""
        return self._rates.get(service, DEFAULT_PREFILL_RATE)

    def _overdue_seconds(self, job: Job, placed: PlacedAttempt) -> float:
        if placed.salt is None:
            return self._durations[job.service].overdue_seconds()
        return FIRST_EVENT_OVERDUE_SECONDS + FIRST_EVENT_OVERDUE_FACTOR * placed.delay

    def _choose_application(
        self, job: Job, usable: UsableRunners, now: float
    ) -> PlacedAttempt | None:
        candidates = [
            runner for runner in usable.candidates if runner.runner_id not in job.excluded
        ]
        other_zones = self._regions.other_zones()
        local = [runner for runner in candidates if runner.entry.zone not in other_zones]
        remote = [runner for runner in candidates if runner.entry.zone in other_zones]
        failed_zones = self._regions.failed_zones(job.excluded - job.leaving)
        order = partial(self._application_order, failed_zones=failed_zones, now=now)
        borrowed = self._application_borrows(job, local, remote, now) if remote else None
        chosen = remote if borrowed else local
        if not chosen:
            return None
        selected = self._state.probations.select_runners(chosen, job.suspect_rank, now)
        return PlacedAttempt(min(selected, key=order), borrowed=borrowed)

    def _application_borrows(
        self, job: Job, local: list[Runner], remote: list[Runner], now: float
    ) -> BorrowReason | None:
        """Return why a request goes to another region; None if it stays in the local region."""
        if any(_has_place(runner, now) for runner in local):
            return None
        if local and not any(_has_place(runner, now) for runner in remote):
            return None
        if not self._regions.has_link_room(job.request, now):
            return None
        return BorrowReason.FULL if local else BorrowReason.NO_RUNNER

    def _application_order(
        self, runner: Runner, failed_zones: frozenset[str], now: float
    ) -> tuple[float, float]:
        zone = runner.entry.zone
        running = runner.running(now) / max(1, runner.entry.slots)
        shed_penalty = 1.0 if now < runner.shed_until else 0.0
        zone_penalty = 0.2 if zone != self._zone else 0.0
        failure_penalty = FAILED_ZONE_PENALTY if zone in failed_zones else 0.0
        is_connected = self._idle_until.get(runner.address, 0.0) > now
        connection_penalty = 0.0 if is_connected else NEW_CONNECTION_PENALTY
        return (
            shed_penalty + running + zone_penalty + failure_penalty + connection_penalty,
            self._rng.random(),
        )

    def _choose_engine(
        self,
        job: Job,
        shape: PromptShape,
        engine: EngineProfile,
        usable: UsableRunners,
        now: float,
    ) -> PlacedAttempt | None:
        model = job.request.model
        taken_up = job.head_sent and job.has_abandoned_run
        begins_by = now + (TAKE_UP_MARGIN_SECONDS if taken_up else 0.0)
        oldest = self._oldest_allowed(job, begins_by)
        other_zones = self._regions.other_zones()
        accepting: list[Runner] = []
        local: list[Candidate] = []
        remote: list[Candidate] = []
        # By weights version. Most runners have the same one, so its terms are computed once.
        versions: dict[int, _VersionTerms] = {}
        excluded_ids = job.excluded | usable.holders_only()
        for runner in usable.holders:
            version = runner.likely_weights(model, now)
            if version < oldest:
                continue
            accepting.append(runner)
            if runner.runner_id in excluded_ids:
                continue
            version_terms = versions.get(version)
            if version_terms is None:
                version_terms = versions[version] = self._version_terms(job, version, now)
            (remote if runner.entry.zone in other_zones else local).append(
                Candidate(
                    runner,
                    version_terms.salt,
                    version,
                    version_terms.begin_before,
                    version_terms.superseded_at,
                    version_terms.fetch_until,
                )
            )
        inputs = self._inputs(job, engine, now)
        choice = self._choose_separated(job, shape, local, inputs, accepting)
        reason = self._borrow_reason(job, choice, now) if remote else None
        if reason is not None:
            cross_region_inputs = _cross_region_inputs(inputs, job.request)
            cross_region = self._choose_separated(
                job, shape, remote, cross_region_inputs, accepting
            )
            if cross_region is not None and (choice is None or cross_region.cost < choice.cost):
                return replace(self._placed(cross_region, shape, now), borrowed=reason)
        return self._placed(choice, shape, now) if choice is not None else None

    def _choose_separated(
        self,
        job: Job,
        shape: PromptShape,
        candidates: list[Candidate],
        inputs: PlacementInputs,
        holders: list[Runner],
    ) -> Choice | None:
        """Return the best choice that keeps suspects apart from each other and from other requests.

        If that choice is late for a request that is no suspect, all candidates are considered.
        """
        selected = self._separate_suspects(job, candidates, inputs.now)
        choice = self._policy.choose(shape, selected, inputs, holders)
        is_in_time = choice is not None and choice.delay <= inputs.target_seconds
        if is_in_time or len(selected) == len(candidates) or job.is_suspect:
            return choice
        return self._policy.choose(shape, candidates, inputs, holders)

    def _borrow_reason(self, job: Job, choice: Choice | None, now: float) -> BorrowReason | None:
        """Return why runners of another region are considered too; None if they are not."""
        if choice is None:
            reason = BorrowReason.NO_RUNNER
        elif is_late(choice.delay, job.route.target_seconds):
            reason = BorrowReason.LATE
        elif choice.repeated_tokens >= MIN_REPEATED_TOKENS or choice.fetches_across:
            reason = BorrowReason.CACHED
        else:
            return None
        return reason if self._regions.has_link_room(job.request, now) else None

    def _separate_suspects(
        self, job: Job, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates that keep suspects apart from each other and other requests."""
        if not job.is_suspect and not self._state.probations:
            return candidates
        runners = [candidate.runner for candidate in candidates]
        selected = self._state.probations.select_runners(runners, job.suspect_rank, now)
        ids = {runner.runner_id for runner in selected}
        return [candidate for candidate in candidates if candidate.runner.runner_id in ids]

    def _version_terms(self, job: Job, version: int, now: float) -> _VersionTerms:
        model = job.request.model
        due = self._state.versions.deadline(model, version)
        superseded_at = self._state.versions.superseded_at(model, version)
        tenant = job.tenant
        isolated = tenant.name if tenant is not None and tenant.isolated else None
        salt = make_salt(isolated, model, version).text()
        return _VersionTerms(salt, due, superseded_at, self._fetch_until(model, version, now))

    def _fetch_until(self, model: str, version: int, now: float) -> float:
        """Return until when a request for a version may be sent with a fetch.

        No request of a node that has just started fetches: the holder of the duty may not know the
        node, and does not wait for it before it orders loads.
        """
        if now < self._state.bounds_enforced_from:
            return -math.inf
        proved_at = self._state.freshness.proved_at()
        return self._state.versions.fetch_until(model, version, proved_at) - FETCH_MARGIN_SECONDS

    def _inputs(self, job: Job, engine: EngineProfile, now: float) -> PlacementInputs:
        table = self._state.table
        assert table is not None
        return PlacementInputs(
            zone=self._zone,
            engine=engine,
            prefill_rate=self.prefill_rate(job.service),
            stores=self._state.kv_cache_stores(now),
            now=now,
            target_seconds=job.route.target_seconds,
            gap_seconds=table.shortest_gap(job.service),
            idle_until=self._idle_until,
            topology=self._state.topology,
            failed_zones=self._regions.failed_zones(job.excluded - job.leaving),
        )

    def _placed(self, choice: Choice, shape: PromptShape, now: float) -> PlacedAttempt:
        runner = choice.candidate.runner
        salt = choice.candidate.salt
        store = self._state.kv_cache_store_for(runner.entry.zone, now)
        is_newest = choice.candidate.superseded_at == math.inf
        if store is not None and not (
            is_newest and self._cache_estimates.should_save(store, salt, shape, now)
        ):
            store = None
        return PlacedAttempt(
            runner=runner,
            delay=choice.delay,
            waiting=choice.waiting,
            prefill_tokens=choice.prefill_tokens,
            matched_tokens=choice.matched_tokens,
            repeated_tokens=choice.repeated_tokens,
            salt=salt,
            weights_version=choice.candidate.weights_version,
            fetch_from=choice.fetch_from,
            save_to=store.address if store is not None else None,
            fetches_across=choice.fetches_across,
        )

    def _learn_rate(
        self, service: str, placed: PlacedAttempt, attempt: OwnAttempt, now: float
    ) -> None:
        """Update the prefill rate from a large prefill that had no other work ahead."""
        if attempt.prefill_tokens < RATE_MIN_TOKENS or placed.fetch_from is not None:
            return
        if placed.borrowed is not None:
            # The measured time includes the round trip to the other region.
            return
        if placed.delay > 1.3 * attempt.prefill_tokens / self.prefill_rate(service):
            return
        seen = attempt.prefill_tokens / max(0.001, now - attempt.sent_at)
        low, high = RATE_RANGE
        rate = self.prefill_rate(service)
        rate += RATE_SMOOTHING * (min(high, max(low, seen)) - rate)
        self._rates[service] = rate


def _available_at(runner: Runner) -> float:
    """Return when a runner is expected to accept work, including its pause after a refusal."""
    return max(runner.ready_at, runner.shed_until)


def _has_place(runner: Runner, now: float) -> bool:
    """Return whether an application server probably starts a request immediately."""
    return now >= runner.shed_until and runner.running(now) < runner.entry.slots


def _cross_region_inputs(inputs: PlacementInputs, request: ServingRequest) -> PlacementInputs:
    """Return the inputs of candidates in another region, with the costs of the link."""
    cost = SECONDS_PER_BYTE * exchange_bytes(request)
    return replace(inputs, round_trip_seconds=DETOUR_SECONDS, round_trip_cost=cost)


def _should_announce(placed: PlacedAttempt, shape: PromptShape) -> bool:
    """Return whether to notify peers of an attempt: a long prefill, or new shared parts."""
    missing_shared = placed.matched_tokens < shape.shared_tokens
    return placed.prefill_tokens >= MIN_NOTICE_TOKENS or missing_shared


def _placement_notice(placed: PlacedAttempt, shape: PromptShape, number: int) -> PlacementNotice:
    assert placed.salt is not None
    return PlacementNotice(
        placed.runner.runner_id,
        placed.salt,
        [(part.part_id, part.tokens) for part in shape.shared],
        placed.prefill_tokens,
        int(placed.delay * 1000),
        number,
        save_to=placed.save_to,
    )
