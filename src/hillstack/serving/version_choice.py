"""Which runners a request may use, by the version of their software.

Without a rollout all runners of a service are alike. Under one, a request is decided once to be a
canary or not: its first attempt then goes to the target version only, or to trusted versions only.
Whatever follows a canary's first attempt goes to trusted versions.

Canaries are gathered on so few runners of the target version that each is as busy as the runners of
the old one: a version that is bad only under load is found by a tenth of the traffic too. Where all
of them are too few for one runner, they come in bursts.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hillstack.core.rendezvous import ranked
from hillstack.core.runner_pool import Runner
from hillstack.core.software_rollouts import RolloutOrder, RolloutStage, VersionAccess
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import Job

logger = logging.getLogger(__name__)

# A canary may wait behind other prompts for that part of its objective; where it would wait longer
# the next runner of the target version takes it.
CANARY_WAIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class UsableRunners:
    """Runners that accept work.

    Attributes:
        candidates: Those that the next attempt of a request may go to.
        holders: Those from which it may fetch cached parts.
    """

    candidates: list[Runner]
    holders: list[Runner]

    def holders_only(self) -> set[str]:
        """Return the runners from which parts may be fetched and that get no request."""
        if self.candidates is self.holders:
            return set()
        candidates = {runner.runner_id for runner in self.candidates}
        return {r.runner_id for r in self.holders if r.runner_id not in candidates}


@dataclass(slots=True)
class _ByAccess:
    """The runners of a service that accept work, by what their version may get.

    The fields are named like the values of ``VersionAccess``.
    """

    open: list[Runner] = field(default_factory=list)
    canary: list[Runner] = field(default_factory=list)
    closed: list[Runner] = field(default_factory=list)


class VersionChoice:
    """Decides for the requests of one node.

    Args:
        state: What the node knows.
        rng: Source of randomness.
    """

    def __init__(self, state: FleetState, rng: Random) -> None:
        self._state = state
        self._rng = rng
        self._on_canary: Callable[[str, str], None] = lambda service, version: None

    def handle_canaries(self, handler: Callable[[str, str], None]) -> None:
        """Call a handler with service and version for each send to an untrusted version."""
        self._on_canary = handler

    def usable(self, job: Job, now: float) -> UsableRunners:
        """Return the runners for the next attempt of a request, which may become a canary."""
        accepting = self._state.pool.accepting(job.service, now)
        if not self._differ(job.service, now):
            return UsableRunners(accepting, accepting)
        by_access = self._by_access(job.service, accepting, now)
        self._decide(job, by_access, now)
        trusted = by_access.open
        if job.is_canary:
            focus = self._focus(job, by_access, now)
            if focus:
                return UsableRunners(focus, [*trusted, *focus])
            job.is_canary = False
        if self._state.rollouts.stage(job.service) is RolloutStage.SHIFTING:
            # New runners have empty caches: the old ones, which finish, still have the parts.
            return UsableRunners(trusted, accepting)
        return UsableRunners(trusted, trusted)

    def accepting(self, job: Job, now: float) -> list[Runner]:
        """Return the runners that accept work and that the request may use, decided or not."""
        accepting = self._state.pool.accepting(job.service, now)
        if not self._differ(job.service, now):
            return accepting
        by_access = self._by_access(job.service, accepting, now)
        return [*by_access.open, *by_access.canary] if job.is_canary else by_access.open

    def may_use(self, job: Job, runner: Runner, now: float) -> bool:
        """Return whether a request may use a runner of that version, if it accepts work."""
        if not self._differ(job.service, now):
            return True
        match self._access(job.service, runner, now):
            case VersionAccess.OPEN:
                return True
            case VersionAccess.CANARY:
                return job.is_canary
            case VersionAccess.CLOSED:
                return False

    def is_untrusted(self, runner: Runner) -> bool:
        """Return whether a runner's version is not trusted yet: it says nothing of the others."""
        service, rollouts = runner.entry.service, self._state.rollouts
        if not rollouts.concerns(service):
            return False
        return rollouts.access(service, runner.entry.software) is not VersionAccess.OPEN

    def keep_to_trusted(self, job: Job) -> None:
        """Note that no runner of the target version can take a canary: it is none any more."""
        job.is_canary = False

    def sent(self, job: Job, runner: Runner) -> None:
        """Note an attempt that is being sent."""
        rollouts = self._state.rollouts
        job.is_canary = False
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

    def _differ(self, service: str, now: float) -> bool:
        """Return whether runners of a service may differ in what their versions may get."""
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
        # Few versions, many runners: what a version may get is worked out once.
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
        """Return the closed runners that help out where no other one takes any work at all.

        While a service shifts these are the old ones; a version that was held back since it
        appeared beside others is used where the others are gone. So is one whose order was
        withdrawn undecided: it may be the only one that the service ever had.
        """
        rollouts = self._state.rollouts
        if rollouts.stage(service) is RolloutStage.SHIFTING:
            return [
                r for r in groups.closed if rollouts.may_finish_shift(service, r.entry.software)
            ]
        alone = self._alone(service, now)
        return [
            runner
            for runner in groups.closed
            if runner.entry.software == alone
            or rollouts.access(service, runner.entry.software) is VersionAccess.OPEN
        ]

    def _alone(self, service: str, now: float) -> str | None:
        """Return the version that may serve since all runners that are listed have it."""
        runners = self._state.pool.of_service(service)
        versions = {runner.entry.software for runner in runners if runner.stays(now)}
        if len(versions) != 1:
            return None
        (version,) = versions
        return version if self._state.rollouts.may_serve_alone(service, version) else None

    def _decide(self, job: Job, groups: _ByAccess, now: float) -> None:
        """Decide once under an order whether a request is a canary, and count it."""
        order = self._state.rollouts.order(job.service)
        if order is None or job.versions_of == order.identity:
            return
        job.versions_of = order.identity
        job.is_canary = False
        if self._state.rollouts.stage(job.service) is not RolloutStage.CANARY or job.sends:
            return
        exposure = self._state.exposure
        exposure.on_request(job.service, job.route.name, job.request.arrived_at)
        if not groups.canary:
            return
        # With no trusted runner at work each canary that the account allows is worth it.
        draw = 0.0
        if groups.open:
            draw = self._rng.random()
            if not exposure.is_burst(job.service, self._focus_count(groups), now):
                return
        job.is_canary = exposure.admits(job.service, job.route.name, draw, now)

    def _focus(self, job: Job, groups: _ByAccess, now: float) -> list[Runner]:
        """Return the few runners of the target version that canaries go to now."""
        order = self._state.rollouts.order(job.service)
        assert order is not None
        able = [
            runner
            for runner in _ranked(order, groups.canary)
            if runner.runner_id not in job.excluded and _has_place(job, runner, now)
        ]
        return able[: max(1, round(self._focus_count(groups)))]

    def _focus_count(self, groups: _ByAccess) -> float:
        """Return how many runners all canaries together make as busy as the trusted ones are."""
        share = self._state.exposure.share
        # From a half on there is one for each trusted runner.
        return share * len(groups.open) / max(1.0 - share, share)


def _ranked(order: RolloutOrder, runners: list[Runner]) -> list[Runner]:
    """Return runners in an order on which all nodes agree without a word."""
    by_id = {runner.runner_id: runner for runner in runners}
    return [by_id[name] for name in ranked(f"canaries of {order.revision.number}", by_id)]


def _has_place(job: Job, runner: Runner, now: float) -> bool:
    """Return whether a runner takes a request without a long wait."""
    if runner.running(now) >= runner.entry.slots or now < runner.shed_until:
        return False
    return runner.prefill_wait(now) <= CANARY_WAIT_SHARE * job.route.target_seconds
