"""Chooses the runners that a request may use by the software version of the runners.

Without a rollout, all runners of a service are equivalent. During a rollout, it is decided once per
request whether the request is a canary. The first attempt of a canary goes only to the target
version; all other attempts, including later attempts of a canary, go only to trusted versions.

Canaries are concentrated on few runners of the target version, so that each of these is as busy as
the runners of the old version. A tenth of the traffic then also finds a version that is bad only
under load. If there are too few canaries to load a single runner, they are sent in bursts.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hillstack.core.rendezvous import ranked
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_pool import Runner
from hillstack.core.software_rollouts import RolloutOrder, RolloutStage, VersionAccess
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job

logger = logging.getLogger(__name__)

# Longest wait of a canary behind other prompts, as a share of its latency objective. If the wait
# would be longer, the next runner of the target version is used.
CANARY_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class UsableRunners:
    """Runners that accept work.

    Attributes:
        candidates: Runners that the next attempt of a request may be sent to.
        holders: Runners from which the attempt may fetch cached parts.
    """

    candidates: list[Runner]
    holders: list[Runner]

    def holders_only(self) -> set[str]:
        """Return the holders that are not candidates."""
        if self.candidates is self.holders:
            return set()
        candidates = {runner.runner_id for runner in self.candidates}
        return {r.runner_id for r in self.holders if r.runner_id not in candidates}


@dataclass(slots=True)
class _ByAccess:
    """Runners of a service that accept work, grouped by the access of their version.

    The field names are the values of ``VersionAccess``.
    """

    open: list[Runner] = field(default_factory=list)
    canary: list[Runner] = field(default_factory=list)
    closed: list[Runner] = field(default_factory=list)


class VersionChoice:
    """Chooses runners by software version for the requests of one node.

    Args:
        state: State of the node.
        rng: Source of randomness.
    """

    def __init__(self, state: FleetState, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._on_began: Callable[[Job, str], None] = lambda job, version: None
        self._may_begin: Callable[[Job, str], bool] = lambda job, version: True
        self._on_canary: Callable[[str, str], None] = lambda service, version: None

    def handle_canaries(self, handler: Callable[[str, str], None]) -> None:
        """Set a handler that is called with service and version for each canary that is sent."""
        self._on_canary = handler

    def handle_may_begin(self, handler: Callable[[Job, str], bool]) -> None:
        """Set the function that returns whether a version may begin the stream of a request."""
        self._may_begin = handler

    def handle_began(self, handler: Callable[[Job, str], None]) -> None:
        """Set a handler that is called with the version that brings a stream's first event."""
        self._on_began = handler

    def started(self, job: Job) -> None:
        """Restrict a stream whose first event has arrived to the version that sent it."""
        if job.route.kind is RouteKind.STREAM and job.software is None:
            job.software = job.sent_software
            self._on_began(job, job.software)

    def usable(self, job: Job, now: float) -> UsableRunners:
        """Return the runners for the next attempt; decide whether the request is a canary."""
        accepting = self._state.pool.accepting(job.service, now)
        if job.software is not None:
            same = _of_version(accepting, job.software)
            return UsableRunners(same, same)
        if not self._may_differ(job.service, now):
            accepting = self._that_may_begin(job, accepting)
            return UsableRunners(accepting, accepting)
        by_access = self._by_access(job.service, accepting, now)
        self._decide(job, by_access, now)
        trusted = self._that_may_begin(job, by_access.open)
        if job.is_canary:
            canary_runners = self._canary_runners(job, by_access, now)
            if canary_runners:
                return UsableRunners(canary_runners, [*trusted, *canary_runners])
            job.is_canary = False
        if self._state.rollouts.stage(job.service) is RolloutStage.SHIFTING:
            # New runners have empty caches; the old runners still hold the parts until they stop.
            return UsableRunners(trusted, accepting)
        return UsableRunners(trusted, trusted)

    def accepting(self, job: Job, now: float) -> list[Runner]:
        """Return the runners that accept work and that the request may use."""
        accepting = self._state.pool.accepting(job.service, now)
        if job.software is not None:
            return _of_version(accepting, job.software)
        if not self._may_differ(job.service, now):
            return self._that_may_begin(job, accepting)
        by_access = self._by_access(job.service, accepting, now)
        usable = [*by_access.open, *by_access.canary] if job.is_canary else by_access.open
        return self._that_may_begin(job, usable)

    def _that_may_begin(self, job: Job, runners: list[Runner]) -> list[Runner]:
        """Return the runners that may begin a stream, or all of them if none may."""
        if job.software is not None or job.route.kind is not RouteKind.STREAM:
            return runners
        versions = {runner.entry.software for runner in runners}
        allowed = {version for version in versions if self._may_begin(job, version)}
        if len(allowed) in (0, len(versions)):
            return runners
        return [runner for runner in runners if runner.entry.software in allowed]

    def may_use(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether a request may use a runner with this version, if it accepts work."""
        if job.software is not None:
            return runner.entry.software == job.software
        if not self._may_differ(job.service, now):
            return True
        match self._access(job.service, runner, now):
            case VersionAccess.OPEN:
                return True
            case VersionAccess.CANARY:
                return job.is_canary
            case VersionAccess.CLOSED:
                return False

    def is_untrusted(self, runner: Runner) -> bool:
        """Return whether a runner's version does not have open access during a rollout.

        That is the target version until it is accepted, but also the old version while traffic
        shifts away from it. Neither is representative of the service, so the timings of these
        runners are not learned.
        """
        service, rollouts = runner.entry.service, self._state.rollouts
        if not rollouts.concerns(service):
            return False
        return rollouts.access(service, runner.entry.software) is not VersionAccess.OPEN

    def drop_canary(self, job: Job) -> None:
        """Treat a canary as an ordinary request because no target runner can accept it."""
        job.is_canary = False

    def sent(self, job: Job, runner: Runner) -> None:
        """Record an attempt that is being sent, and count it if it is a canary."""
        rollouts = self._state.rollouts
        job.is_canary = False
        job.sent_software = runner.entry.software
        if not rollouts.concerns(job.service):
            return
        version = runner.entry.software
        if rollouts.access(job.service, version) is not VersionAccess.CANARY:
            return
        sends = self._state.exposure.on_send(job.service)
        self._on_canary(job.service, version)
        if sends == 1:
            fields = {"service": job.service, "version": version, "runner": runner.runner_id}
            logger.info("first canary", extra=fields | {"request": job.request.request_id})

    def _may_differ(self, service: str, now: float) -> bool:
        """Return whether versions of a service may currently differ in access."""
        return self._state.rollouts.concerns(service) or self._state.arrivals.any_held(now)

    def _access(self, service: str, runner: Runner, now: float) -> VersionAccess:
        version = runner.entry.software
        access = self._state.rollouts.access(service, version)
        if access is not VersionAccess.OPEN:
            return access
        order = self._state.rollouts.order(service)
        is_target = order is not None and order.target == version
        if not is_target and self._state.arrivals.is_held(service, version, now):
            return VersionAccess.CLOSED
        return VersionAccess.OPEN

    def _by_access(self, service: str, accepting: list[Runner], now: float) -> _ByAccess:
        groups = _ByAccess()
        # There are few versions and many runners, so the access of each version is computed once.
        known: dict[str, list[Runner]] = {}
        for runner in accepting:
            group = known.get(runner.entry.software)
            if group is None:
                access = self._access(service, runner, now)
                group = known[runner.entry.software] = getattr(groups, access.value)
            group.append(runner)
        if not groups.open:
            groups.open = self._last_resort(service, groups, now)
        return groups

    def _last_resort(self, service: str, groups: _ByAccess, now: float) -> list[Runner]:
        """Return the closed runners to use when no open runner accepts work.

        While traffic shifts, these are the runners of the old version. Otherwise a version is used
        that was held back because it appeared beside others, if the others have stopped; and so is
        a version whose order was withdrawn undecided, which may be the service's only version.
        """
        rollouts = self._state.rollouts
        if rollouts.stage(service) is RolloutStage.SHIFTING:
            return [
                r
                for r in groups.closed
                if rollouts.may_serve_during_shift(service, r.entry.software)
            ]
        sole_version = self._sole_version(service, now)
        return [
            runner
            for runner in groups.closed
            if runner.entry.software == sole_version
            or rollouts.access(service, runner.entry.software) is VersionAccess.OPEN
        ]

    def _sole_version(self, service: str, now: float) -> str | None:
        """Return the version that may serve because all listed runners have it, or None."""
        runners = self._state.pool.of_service(service)
        versions = {runner.entry.software for runner in runners if runner.will_accept(now)}
        if len(versions) != 1:
            return None
        (version,) = versions
        return version if self._state.rollouts.may_serve_alone(service, version) else None

    def _decide(self, job: Job, groups: _ByAccess, now: float) -> None:
        """Decide once per order whether a request is a canary, and count the request."""
        order = self._state.rollouts.order(job.service)
        if order is None or job.canary_decided_for == order.identity:
            return
        job.canary_decided_for = order.identity
        job.is_canary = False
        if self._state.rollouts.stage(job.service) is not RolloutStage.CANARY or job.sends:
            return
        exposure = self._state.exposure
        exposure.on_request(job.service, job.route.name, job.request.arrived_at)
        if not groups.canary:
            return
        # Without a trusted runner, every canary that the exposure allows is sent.
        draw = 0.0
        if groups.open:
            draw = self._rng.random()
            # A count below 1 is the part of one runner that the canaries make busy. They load that
            # runner fully if they are sent in the same part of the time.
            if not exposure.is_burst(job.service, self._canary_runner_count(groups), now):
                return
        job.is_canary = exposure.admits(job.service, job.route.name, draw, now)

    def _canary_runners(self, job: Job, groups: _ByAccess, now: float) -> list[Runner]:
        """Return the few runners of the target version that canaries are sent to now."""
        order = self._state.rollouts.order(job.service)
        assert order is not None
        available = [
            runner
            for runner in _ranked_runners(order, groups.canary)
            if runner.runner_id not in job.excluded and _has_place(job, runner, now)
        ]
        return available[: max(1, round(self._canary_runner_count(groups)))]

    def _canary_runner_count(self, groups: _ByAccess) -> float:
        """Return how many target runners the canaries make as busy as the trusted runners."""
        share = self._state.exposure.share
        # From a share of one half on, there is one target runner for each trusted runner.
        return share * len(groups.open) / max(1.0 - share, share)


def _of_version(runners: list[Runner], software: str) -> list[Runner]:
    return [runner for runner in runners if runner.entry.software == software]


def _ranked_runners(order: RolloutOrder, runners: list[Runner]) -> list[Runner]:
    """Return runners in an order that all nodes compute alike without communication."""
    by_id = {runner.runner_id: runner for runner in runners}
    return [by_id[name] for name in ranked(f"canaries of {order.revision.number}", by_id)]


def _has_place(job: Job, runner: Runner, now: float) -> bool:
    """Return whether a runner accepts a request without a long wait."""
    if runner.running(now) >= runner.entry.slots or now < runner.shed_until:
        return False
    return runner.prefill_wait(now) <= CANARY_WAIT_SHARE * job.route.target_seconds
