"""Chooses a runner for an attempt and keeps the books of what was sent."""

from __future__ import annotations

import itertools
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from hillstack.core.answer_durations import AnswerDurations
from hillstack.core.overload import MAX_RETRY_SECONDS, MIN_RETRY_SECONDS
from hillstack.core.placement.expected_delay import (
    Candidate,
    Choice,
    ExpectedDelayPlacement,
)
from hillstack.core.placement.kept_parts import Surroundings
from hillstack.core.prompt_shape import PromptShape
from hillstack.core.routing_table import EngineProfile
from hillstack.core.runner_load import OwnAttempt
from hillstack.core.runner_pool import DEFAULT_PREFILL_RATE, Runner
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.serving.cache_beliefs import CacheBeliefs
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job, PlacedAttempt
from hillstack.serving.peers import PeerNotices
from hillstack.serving.region_choice import (
    DETOUR_SECONDS,
    LEAST_REPEATED_TOKENS,
    SECONDS_PER_BYTE,
    BorrowReason,
    RegionChoice,
    exchange_bytes,
    is_late,
)
from hillstack.serving.types import ServingRequest
from hillstack.serving.version_choice import UsableRunners, VersionChoice

SHARED_SALT = "shared"
# Weight of the latest prefill: the last ten count most.
RATE_SMOOTHING = 0.1
# Shorter prefills take a few steps: their rate is that of the steps.
RATE_MIN_TOKENS = 1500
# Several times slower and faster than any engine seen (38,000 to 57,000).
RATE_RANGE = (5_000.0, 200_000.0)
# A request may begin that much later than it is sent.
VERSION_MARGIN_SECONDS = 0.3
# Prefills of under 10 ms hold nobody up: not told.
MIN_NOTICE_TOKENS = 400
# Placements of peers that are not told to be read yet: five seconds of 200 a second; what drops out
# is believed to be read when its sender expected it to be.
MAX_PEER_PLACEMENTS = 1_024
# Below this share of all places taken a runner without waiting work takes a request: callers are
# told of an overload only where there is one.
FEW_PLACES_SHARE = 0.5
# A new connection to an application weighs like a tenth of its places taken: it decides between
# runners that are about as busy.
NEW_CONNECTION_PENALTY = 0.1
# The first event of an engine is overdue after its expected delay, half as much again and this.
DUE_SECONDS = 0.4
DUE_FACTOR = 1.5
# Callers of all nodes are told of the same end of a backoff: they return over half of the shortest
# objective seen (0.2 to 0.8 s), or a runner that was overrun is overrun again.
RETURN_SPREAD_SECONDS = 0.3
# An answer of an application server, where none was seen yet: the longest work of those seen.
USUAL_ANSWER_SECONDS = 0.1
# A further attempt avoids the zones of runners that were tried, where there are several regions: as
# much as half the places of an application server taken.
FAILED_ZONE_PENALTY = 0.5


CENSUS_REASONS = (
    "leaving",
    "backing_off",
    "limited",
    "suspected",
    "loading",
    "too_old",
    "closed",
    "tried",
)


@dataclass(frozen=True, slots=True)
class RunnerCensus:
    """Why the runners of a service do or do not take a request; a runner counts once.

    Attributes:
        known: All runners.
        leaving: They drain, or are gone.
        backing_off: They asked not to be sent anything for a while.
        limited: This node has no part left of the limits that they name.
        suspected: They failed or were silent.
        loading: They load weights.
        too_old: Their weights must not be used any more.
        closed: Their version must not be used.
        tried: They were tried for this request.
    """

    known: int = 0
    leaving: int = 0
    backing_off: int = 0
    limited: int = 0
    suspected: int = 0
    loading: int = 0
    too_old: int = 0
    closed: int = 0
    tried: int = 0


@dataclass(slots=True)
class _VersionTerms:
    """What a version of weights means for one request; the fields are those of ``Candidate``."""

    salt: str
    begin_before: float
    superseded_at: float


class RunnerPlacement:
    """Placement for one node.

    Args:
        state: What the node knows.
        peers: Where peers are told what was sent.
        zone: Zone of the node.
        rng: Source of randomness.
        resting: Until when a resting connection of this node to an address may be used.
        regions: Which requests may leave the region.
    """

    def __init__(
        self,
        state: FleetState,
        peers: PeerNotices,
        zone: str,
        rng: Random,
        resting: Mapping[str, float] | None = None,
        regions: RegionChoice | None = None,
    ) -> None:
        self._resting = resting if resting is not None else {}
        self._state = state
        self._peers = peers
        self._zone = zone
        self._rng = rng
        self._regions = regions or RegionChoice(state)
        self._policy = ExpectedDelayPlacement(state.index)
        self._beliefs = CacheBeliefs(state)
        self.versions = VersionChoice(state, rng)
        self._rates: dict[str, float] = {}
        self._durations: defaultdict[str, AnswerDurations] = defaultdict(AnswerDurations)
        self._numbers = itertools.count(1)
        self._told: dict[str, int] = {}
        self._peer_placements: OrderedDict[tuple[str, int], PlacementNotice] = OrderedDict()

    @property
    def peers(self) -> PeerNotices:
        """Where peers are told."""
        return self._peers

    def choose(self, job: Job, now: float) -> PlacedAttempt | None:
        """Return a runner for the next attempt, or None when none takes work.

        One that leaves by the word of peers is chosen where no other one takes the request.
        """
        doubtful = self._state.pool.hinted(job.service, now) - job.excluded
        if doubtful:
            job.excluded |= doubtful
            placed = self._choose_usable(job, now)
            job.excluded -= doubtful
            if placed is not None:
                return placed
        return self._choose_usable(job, now)

    def _choose_usable(self, job: Job, now: float) -> PlacedAttempt | None:
        placed = self._choose_among(job, self.versions.usable(job, now), now)
        if placed is None and job.is_canary:
            self.versions.keep_to_trusted(job)
            placed = self._choose_among(job, self.versions.usable(job, now), now)
        return placed

    def _choose_among(self, job: Job, usable: UsableRunners, now: float) -> PlacedAttempt | None:
        engine = self._state.engine_of(job.service)
        if engine is None or job.request.shape is None:
            return self._choose_application(job, usable, now)
        return self._choose_engine(job, job.request.shape, engine, usable, now)

    def has_room(self, job: Job, now: float) -> bool:
        """Return whether few places are taken and no work waits at a runner that may take it.

        A penalty for a recent refusal or for memory says that a runner may be slow, not that the
        request would wait there.
        """
        runners = self._reachable(job, self.versions.accepting(job, now), now)
        taken = sum(runner.running(now) for runner in runners)
        places = sum(runner.entry.slots for runner in runners)
        if taken >= FEW_PLACES_SHARE * places:
            return False
        return any(
            runner.prefill_wait(now) <= 0 and runner.running(now) < runner.entry.slots
            for runner in self._reachable(job, self._open_to(job, now), now)
        )

    def _reachable(self, job: Job, runners: Iterable[Runner], now: float) -> list[Runner]:
        """Return the runners to which the link between regions, if it is needed, has room."""
        if self._regions.has_link_room(job.request, now):
            return list(runners)
        return [runner for runner in runners if not self._regions.is_across(runner)]

    def census(self, job: Job, now: float) -> RunnerCensus:
        """Return why runners do not take the request, for the log."""
        model = job.request.model
        oldest = self._state.versions.oldest_allowed(model, now + VERSION_MARGIN_SECONDS)
        counts = dict.fromkeys(CENSUS_REASONS, 0)
        runners = self._state.pool.of_service(job.service)
        for runner in runners:
            if runner.leaves:
                counts["leaving"] += 1
            elif runner.signals.backoff_left(now) > 0:
                counts["backing_off"] += 1
            elif now < runner.signals.limit.no_room_until:
                counts["limited"] += 1
            elif now < runner.suspected_until:
                counts["suspected"] += 1
            elif now < runner.loading_until:
                counts["loading"] += 1
            elif model and runner.likely_weights(model, now) < oldest:
                counts["too_old"] += 1
            elif not self.versions.may_use(job, runner, now):
                counts["closed"] += 1
            elif runner.runner_id in job.excluded:
                counts["tried"] += 1
        return RunnerCensus(known=len(runners), **counts)

    def available_in(self, job: Job, now: float) -> float | None:
        """Return after how many seconds the first runner is expected to take the request.

        None if that is not known: no runner is there to stay, or all have weights that are too old.
        """
        first = min(self._staying(job, now), key=_takes_at, default=None)
        if first is None:
            return None
        wait = _takes_at(first) - now
        if first.signals.asked_until >= _takes_at(first):
            wait += self._rng.uniform(0.0, RETURN_SPREAD_SECONDS)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))

    def first_after_backoff(self, job: Job, now: float) -> Runner | None:
        """Return the runner that takes the request first once it wants one again, or None.

        It asked for a backoff, or this node has no part left of its limit.
        """
        backing_off = (
            runner
            for runner in self._staying(job, now)
            if runner.signals.asked_until >= runner.ready_at > now
        )
        return min(backing_off, key=_takes_at, default=None)

    def expected_work(self, job: Job) -> float:
        """Return the seconds that a request takes at an idle runner until it counts as served."""
        shape = job.request.shape
        if shape is None or self._state.engine_of(job.service) is None:
            return self.usual_seconds(job.service) or USUAL_ANSWER_SECONDS
        return shape.prompt_tokens / self.prefill_rate(job.service)

    def _staying(self, job: Job, now: float) -> Iterator[Runner]:
        """Return the runners that take the request, if not now."""
        oldest = self._oldest_allowed(job, now)
        for runner in self._state.pool.of_service(job.service):
            if not runner.stays(now) or not self.versions.may_use(job, runner, now):
                continue
            if runner.weights_after_load(job.request.model) >= oldest:
                yield runner

    def sent(self, job: Job, placed: PlacedAttempt, attempt_id: str, now: float) -> None:
        """Note an attempt that is being sent, and when it is due, and tell the peers."""
        shape = job.request.shape
        total = shape.total_tokens if shape is not None and placed.salt is not None else 0
        is_long = shape is not None and shape.is_long
        job.quiet_from = due_at = now + self._due_seconds(job, placed)
        attempt = OwnAttempt(placed.prefill_tokens, total, now, due_at, is_long)
        self._state.pool.sent(placed.runner, attempt_id, attempt, self.prefill_rate(job.service))
        self.versions.sent(job, placed.runner)
        self._peers.load_changed(placed.runner)
        self._regions.sent(placed.runner, job.request)
        if shape is None or placed.salt is None:
            return
        self._beliefs.sent(placed, shape, now)
        if _is_news(placed, shape):
            self._told[attempt_id] = number = next(self._numbers)
            self._peers.placed(_notice(placed, shape, number))

    def answered(self, job: Job, placed: PlacedAttempt, attempt_id: str, now: float) -> None:
        """Note that the head of an answer has come: an application server has done its work."""
        attempt = placed.runner.attempts.get(attempt_id)
        is_usual = not self.versions.is_untrusted(placed.runner)
        if attempt is not None and placed.salt is None and is_usual:
            self._durations[job.service].add(now - attempt.sent_at)

    def has_other(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether another runner than this one would take a further attempt."""
        return any(other is not runner for other in self._open_to(job, now))

    def _open_to(self, job: Job, now: float) -> Iterator[Runner]:
        """Return the runners that may take a further attempt of a request."""
        oldest = self._oldest_allowed(job, now)
        for runner in self.versions.accepting(job, now):
            if runner.runner_id in job.excluded:
                continue
            if runner.likely_weights(job.request.model, now) >= oldest:
                yield runner

    def must_share(self, job: Job, now: float) -> bool:
        """Return whether each runner that may take a suspect has another one."""
        taken = self._state.probations.runner_ids(now)
        if not taken:
            return False
        open_ids = [runner.runner_id for runner in self._open_to(job, now)]
        return bool(open_ids) and taken.issuperset(open_ids)

    def _oldest_allowed(self, job: Job, now: float) -> int:
        """Return the oldest weights that a runner may have; application servers need none."""
        if self._state.engine_of(job.service) is None:
            return 0
        return self._state.versions.oldest_allowed(job.request.model, now + VERSION_MARGIN_SECONDS)

    def started(self, job: Job, placed: PlacedAttempt, attempt_id: str, now: float) -> None:
        """Note the first event of an attempt."""
        attempt = placed.runner.attempts.get(attempt_id)
        if attempt is not None and not self.versions.is_untrusted(placed.runner):
            self._learn_rate(job.service, placed, attempt, now)
        self._state.pool.started(placed.runner, attempt_id, now)
        shape = job.request.shape
        if shape is None or placed.salt is None:
            return
        self._beliefs.read(placed, shape, now)
        number = self._told.pop(attempt_id, None)
        if number is not None:
            self._peers.prompt_read(number)

    def finished(self, placed: PlacedAttempt, attempt_id: str) -> None:
        """Note the end of an attempt."""
        self._told.pop(attempt_id, None)
        self._state.pool.finished(placed.runner, attempt_id)
        self._peers.load_changed(placed.runner)

    def lost(self, runner: Runner) -> None:
        """Tell the peers of a runner that takes no connections."""
        self._peers.suspected(runner)

    def observe_placement(self, peer: str, notice: PlacementNotice, now: float) -> None:
        """Take over what a peer has sent."""
        self._peer_placements[peer, notice.number] = notice
        while len(self._peer_placements) > MAX_PEER_PLACEMENTS:
            self._peer_placements.popitem(last=False)
        runner = self._state.pool.get(notice.runner_id)
        if runner is None:
            return
        rate = self.prefill_rate(runner.entry.service)
        self._state.pool.add_prefill(runner, notice.prefill_tokens, rate, now)
        self._beliefs.peer_sent(notice, now)

    def observe_read(self, peer: str, number: int, now: float) -> None:
        """Take over that a prompt that a peer has sent is read; one not heard of is passed over."""
        notice = self._peer_placements.pop((peer, number), None)
        if notice is not None:
            self._beliefs.peer_read(notice, now)

    def usual_seconds(self, service: str) -> float | None:
        """Return the median time to an answer of an application; None if it is not known."""
        durations = self._durations.get(service)
        return durations.median_seconds() if durations is not None else None

    def prefill_rate(self, service: str) -> float:
        """Return the tokens a second that runners of a service are seen to prefill."""
        return self._rates.get(service, DEFAULT_PREFILL_RATE)

    def _due_seconds(self, job: Job, placed: PlacedAttempt) -> float:
        if placed.salt is None:
            return self._durations[job.service].overdue_seconds()
        return DUE_SECONDS + DUE_FACTOR * placed.delay

    def _choose_application(
        self, job: Job, usable: UsableRunners, now: float
    ) -> PlacedAttempt | None:
        candidates = [
            runner for runner in usable.candidates if runner.runner_id not in job.excluded
        ]
        other_zones = self._regions.other_zones()
        own = [runner for runner in candidates if runner.entry.zone not in other_zones]
        other = [runner for runner in candidates if runner.entry.zone in other_zones]
        failed_zones = self._regions.failed_zones(job.excluded)
        order = partial(self._application_order, failed_zones=failed_zones, now=now)
        borrowed = self._application_borrows(job, own, other, now) if other else None
        chosen = other if borrowed else own
        if not chosen:
            return None
        suited = self._state.probations.suited(chosen, job.suspect_rank, now)
        return PlacedAttempt(min(suited, key=order), borrowed=borrowed)

    def _application_borrows(
        self, job: Job, own: list[Runner], other: list[Runner], now: float
    ) -> BorrowReason | None:
        """Return why a request goes to another region; None if it waits in its own."""
        if any(_has_place(runner, now) for runner in own):
            return None
        if own and not any(_has_place(runner, now) for runner in other):
            return None
        if not self._regions.has_link_room(job.request, now):
            return None
        return BorrowReason.FULL if own else BorrowReason.NO_RUNNER

    def _application_order(
        self, runner: Runner, failed_zones: frozenset[str], now: float
    ) -> tuple[float, float]:
        zone = runner.entry.zone
        running = runner.running(now) / max(1, runner.entry.slots)
        shed = 1.0 if now < runner.shed_until else 0.0
        remote = 0.2 if zone != self._zone else 0.0
        failed = FAILED_ZONE_PENALTY if zone in failed_zones else 0.0
        is_connected = self._resting.get(runner.address, 0.0) > now
        connect = 0.0 if is_connected else NEW_CONNECTION_PENALTY
        return shed + running + remote + failed + connect, self._rng.random()

    def _choose_engine(
        self,
        job: Job,
        shape: PromptShape,
        engine: EngineProfile,
        usable: UsableRunners,
        now: float,
    ) -> PlacedAttempt | None:
        model = job.request.model
        oldest = self._state.versions.oldest_allowed(model, now + VERSION_MARGIN_SECONDS)
        other_zones = self._regions.other_zones()
        accepting: list[Runner] = []
        own: list[Candidate] = []
        other: list[Candidate] = []
        # Most runners have the same version: what follows from it is worked out once.
        versions: dict[int, _VersionTerms] = {}
        passed_over = job.excluded | usable.holders_only()
        for runner in usable.holders:
            version = runner.likely_weights(model, now)
            if version < oldest:
                continue
            accepting.append(runner)
            if runner.runner_id in passed_over:
                continue
            terms = versions.get(version)
            if terms is None:
                terms = versions[version] = self._terms(job, version)
            (other if runner.entry.zone in other_zones else own).append(
                Candidate(runner, terms.salt, version, terms.begin_before, terms.superseded_at)
            )
        around = self._surroundings(job, engine, now)
        choice = self._choose_suited(job, shape, own, around, accepting)
        reason = self._borrow_reason(job, choice, now) if other else None
        if reason is not None:
            far_around = _far(around, job.request)
            far = self._choose_suited(job, shape, other, far_around, accepting)
            if far is not None and (choice is None or far.cost < choice.cost):
                return replace(self._placed(far, shape, now), borrowed=reason)
        return self._placed(choice, shape, now) if choice is not None else None

    def _choose_suited(
        self,
        job: Job,
        shape: PromptShape,
        candidates: list[Candidate],
        around: Surroundings,
        holders: list[Runner],
    ) -> Choice | None:
        """Return the best choice that keeps suspects apart, or among all if that one is late."""
        suited = self._suited(job, candidates, around.now)
        choice = self._policy.choose(shape, suited, around, holders)
        is_in_time = choice is not None and choice.delay <= around.target_seconds
        if is_in_time or len(suited) == len(candidates) or job.is_suspect:
            return choice
        return self._policy.choose(shape, candidates, around, holders)

    def _borrow_reason(self, job: Job, choice: Choice | None, now: float) -> BorrowReason | None:
        """Return why runners of another region are weighed too; None if they are not."""
        if choice is None:
            reason = BorrowReason.NO_RUNNER
        elif is_late(choice.delay, job.route.target_seconds):
            reason = BorrowReason.LATE
        elif choice.repeated_tokens >= LEAST_REPEATED_TOKENS or choice.fetches_across:
            reason = BorrowReason.CACHED
        else:
            return None
        return reason if self._regions.has_link_room(job.request, now) else None

    def _suited(self, job: Job, candidates: list[Candidate], now: float) -> list[Candidate]:
        """Return the candidates that keep suspects apart, from each other and from the rest."""
        if not job.is_suspect and not self._state.probations:
            return candidates
        runners = [candidate.runner for candidate in candidates]
        suited = self._state.probations.suited(runners, job.suspect_rank, now)
        ids = {runner.runner_id for runner in suited}
        return [candidate for candidate in candidates if candidate.runner.runner_id in ids]

    def _terms(self, job: Job, version: int) -> _VersionTerms:
        model = job.request.model
        due = self._state.versions.deadline(model, version)
        superseded_at = self._state.versions.superseded_at(model, version)
        return _VersionTerms(self._salt(job, version), due, superseded_at)

    def _surroundings(self, job: Job, engine: EngineProfile, now: float) -> Surroundings:
        table = self._state.table
        assert table is not None
        return Surroundings(
            zone=self._zone,
            engine=engine,
            prefill_rate=self.prefill_rate(job.service),
            stores=self._state.kept_cache_stores(now),
            now=now,
            target_seconds=job.route.target_seconds,
            gap_seconds=table.shortest_gap(job.service),
            resting=self._resting,
            topology=self._state.topology,
            failed_zones=self._regions.failed_zones(job.excluded),
        )

    def _placed(self, choice: Choice, shape: PromptShape, now: float) -> PlacedAttempt:
        runner = choice.candidate.runner
        salt = choice.candidate.salt
        store = self._state.kept_cache_store(runner.entry.zone, now)
        if store is not None and not self._beliefs.worth_saving(store, salt, shape, now):
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

    def _salt(self, job: Job, version: int) -> str:
        tenant = job.tenant
        wall = f"t:{tenant.name}" if tenant is not None and tenant.isolated else SHARED_SALT
        return f"{wall}|{job.request.model}|{version}"

    def _learn_rate(
        self, service: str, placed: PlacedAttempt, attempt: OwnAttempt, now: float
    ) -> None:
        """Follow the prefill rate from large prefills that found no other work ahead."""
        if attempt.prefill_tokens < RATE_MIN_TOKENS or placed.fetch_from is not None:
            return
        if placed.borrowed is not None:
            # The way to the other region is no work of the runner.
            return
        if placed.delay > 1.3 * attempt.prefill_tokens / self.prefill_rate(service):
            return
        seen = attempt.prefill_tokens / max(0.001, now - attempt.sent_at)
        low, high = RATE_RANGE
        rate = self.prefill_rate(service)
        rate += RATE_SMOOTHING * (min(high, max(low, seen)) - rate)
        self._rates[service] = rate


def _takes_at(runner: Runner) -> float:
    """Return when a runner is expected to take work, its pause after a refusal included."""
    return max(runner.ready_at, runner.shed_until)


def _has_place(runner: Runner, now: float) -> bool:
    """Return whether an application server is believed to begin a request at once."""
    return now >= runner.shed_until and runner.running(now) < runner.entry.slots


def _far(around: Surroundings, request: ServingRequest) -> Surroundings:
    """Return the surroundings of candidates in another region."""
    cost = SECONDS_PER_BYTE * exchange_bytes(request)
    return replace(around, detour_seconds=DETOUR_SECONDS, detour_cost=cost)


def _is_news(placed: PlacedAttempt, shape: PromptShape) -> bool:
    """Return whether peers should be told of an attempt: it has much to read, or shared parts."""
    missing_shared = placed.matched_tokens < shape.shared_tokens
    return placed.prefill_tokens >= MIN_NOTICE_TOKENS or missing_shared


def _notice(placed: PlacedAttempt, shape: PromptShape, number: int) -> PlacementNotice:
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
