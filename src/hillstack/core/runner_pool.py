"""This node's view of the runners: liveness, weights and load.

The view has five sources: the directory of runners, the signals that runners send in their answers,
the outcome of this node's own requests, reports of peers, and notices of the node that orders
weights. The directory lags and has no updates while its store is unavailable. A runner that fails
requests is therefore avoided before the directory drops it, and the signals of a runner override
its directory entry (``runner_signals``).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from hillstack.core.brittle_runners import BrittleRunners
from hillstack.core.runner_limit import AnswerSource, RunnerLimit
from hillstack.core.runner_load import OwnAttempt, OwnAttempts, ReportedLoads, RunnerLoad
from hillstack.core.runner_signals import ReceivedSignals, RunnerSignals, SignalRecord
from hillstack.core.store_revision import StoreRevision

# Suspicion after the first failure: the time after which a failed runner usually serves again. It
# doubles with each failure.
SUSPECT_SECONDS = 0.6
# Upper bound of the suspicion: about the time in which the store drops a silent runner, three
# heartbeats of 1.2 s.
MAX_SUSPECT_SECONDS = 4.0
# Suspicion of a machine that accepts no connections, which has usually stopped: the time until the
# store can have dropped it.
UNREACHABLE_SECONDS = 3.0
# Time in which a queue of a few requests shrinks by about one.
SHED_SECONDS = 0.12
# A busy runner sends an event every step of 5 to 10 ms; the strictest limit of a route on the pause
# between two events is 0.5 s.
SILENCE_SECONDS = 0.4
# Limit during a long prefill: several chunks of 4,096 tokens in a row delay all streams.
BUSY_SILENCE_SECONDS = 0.9
# Directory entries that expired in an outage return within some seconds of its end.
UNLISTED_MEMORY_SECONDS = 15.0
# Time after the order to load weights from which a runner gets requests again although it has not
# reported the end of the load: the report may be lost. A load takes 0.57 to 0.76 s on the observed
# deployments; a request that arrives before its end is only refused.
LOADING_SECONDS = 0.7
# A hint of a peer that a runner is leaving is repeated every HINT_AGAIN_SECONDS while the directory
# does not list the runner as draining, and expires after HINT_SECONDS: two hints may be lost.
HINT_AGAIN_SECONDS = 2.0
HINT_SECONDS = 6.0
# Prefill rate in tokens per second until prefills were observed (``RunnerPlacement._learn_rate``):
# the rate of the slowest observed engine, so that delays are rather overestimated.
DEFAULT_PREFILL_RATE = 38_000.0


@dataclass(frozen=True, slots=True)
class RunnerEntry:
    """A runner as the directory lists it.

    Attributes:
        runner_id: Identifier of one process; a restarted runner has another identifier.
        slots: Number of requests that run concurrently.
        draining: Whether the runner has announced that it is leaving.
        weights: Version of the weights by model.
        revision: Revision of the entry; an entry with a later revision replaces it.
        software: Version of the runner's software; empty if not reported.
        listed_as: Name in the directory, under which a later process may be listed; empty if the
            name is ``runner_id``.
        started_ms: Start time of the process by its own clock, in milliseconds; compared only with
            entries of the same name. 0 if not reported.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    weights: dict[str, int]
    revision: StoreRevision
    software: str = ""
    listed_as: str = ""
    started_ms: int = 0

    @property
    def directory_name(self) -> str:
        """Name of the runner in the directory."""
        return self.listed_as or self.runner_id


@dataclass(slots=True)
class Runner:
    """A runner and this node's view of its state.

    Attributes:
        entry: The latest directory entry.
        weights: Known version of the weights by model.
        attempts: Attempts of this node at the runner.
        peer_loads: Load that peers report.
        prefill_done_at: When the prefills sent so far are expected to be done.
        suspected_until: The runner gets no new request before this time.
        shed_until: Placement penalizes the runner until this time, since it refused a request.
        loading_until: When a load of weights is expected to be done.
        ordered_weights: Versions that the runner was ordered to load, by model.
        peer_ordered_at: When a peer is last known to have sent the runner an order.
        leaving: Whether the runner has stopped or its address belongs to another runner; not
            whether it announces that it is leaving (``entry.draining``, ``signals``).
        has_ended: Whether the process has ended, since a later process of the same name is known.
        unlisted_until: The directory has dropped the runner, but it may be used until this time;
            None if it is listed.
        unlisted_at: Revision at which the directory had dropped the runner; None if not known.
        failures: Failures in a row.
        last_contact_at: When bytes last arrived from the runner.
        signals: Signals that the runner sent to this node; directory updates do not change them.
        hinted_until: Peers report the runner as leaving: until this time it is used only if no
            other runner is available.
        leave_hinted_at: When a peer or this node last sent that hint.
        path_lost_at: When this node's connections to the runner were last found cut off while a
            peer reached the runner; attempts sent before say nothing about the runner.
        is_peer_suspicion: Whether only peers suspect the runner.
    """

    entry: RunnerEntry
    weights: dict[str, int] = field(default_factory=dict)
    attempts: OwnAttempts = field(default_factory=OwnAttempts)
    peer_loads: ReportedLoads = field(default_factory=ReportedLoads)
    prefill_done_at: float = 0.0
    suspected_until: float = 0.0
    shed_until: float = 0.0
    loading_until: float = 0.0
    ordered_weights: dict[str, int] = field(default_factory=dict)
    peer_ordered_at: float = float("-inf")
    leaving: bool = False
    has_ended: bool = False
    unlisted_until: float | None = None
    unlisted_at: StoreRevision | None = None
    failures: int = 0
    last_contact_at: float = float("-inf")
    signals: ReceivedSignals = field(default_factory=ReceivedSignals)
    hinted_until: float = float("-inf")
    leave_hinted_at: float = float("-inf")
    path_lost_at: float = float("-inf")
    is_peer_suspicion: bool = False

    @property
    def runner_id(self) -> str:
        """Return the identifier of the process."""
        return self.entry.runner_id

    @property
    def address(self) -> str:
        """Return the address on which the runner listens."""
        return self.entry.address

    def accepts(self, now: float) -> bool:
        """Return whether the runner may get new work."""
        return self.will_accept(now) and now >= self.ready_at

    @property
    def ready_at(self) -> float:
        """When the runner is expected to accept new work, if it does not leave."""
        return max(self.suspected_until, self.loading_until, self.signals.unavailable_until)

    @property
    def is_leaving(self) -> bool:
        """Whether the runner is leaving or has left, by any source.

        The runner's own signal is not undone by a directory entry that lists it as ready: while the
        store is unavailable the entry may be older than the signal.
        """
        return self.leaving or self.entry.draining or self.signals.is_leaving

    def will_accept(self, now: float) -> bool:
        """Return whether the runner will accept work now or later: it has not left or expired."""
        if self.is_leaving:
            return False
        return self.unlisted_until is None or now < self.unlisted_until

    def is_silent(self, now: float) -> bool:
        """Return whether an attempt expects bytes and the runner has sent none for too long."""
        # A long prefill delays all streams by several steps.
        busy = self.prefill_done_at > now - SILENCE_SECONDS
        limit = BUSY_SILENCE_SECONDS if busy else SILENCE_SECONDS
        if not self.attempts or now - self.last_contact_at < limit:
            return False
        return any(
            attempt.sent_at >= self.path_lost_at and (attempt.started or now > attempt.due_at)
            for attempt in self.attempts.all()
        )

    def weights_version(self, model: str) -> int:
        """Return the version of a model's weights that the runner is known to serve."""
        return self.weights.get(model, 0)

    def likely_weights(self, model: str, now: float) -> int:
        """Return the version of a model's weights that the runner most likely serves.

        A runner that was ordered to load weights has probably loaded them by ``loading_until``,
        even if the end of the load was not reported. Each request contains the version that it
        needs, so after a wrong guess it is refused and does not run on other weights.
        """
        if now < self.loading_until:
            return self.weights.get(model, 0)
        return self.weights_after_load(model)

    def weights_after_load(self, model: str) -> int:
        """Return the version that the runner serves once all ordered loads are done."""
        return max(self.weights.get(model, 0), self.ordered_weights.get(model, 0))

    def load(self, now: float) -> RunnerLoad:
        """Return the estimated load that all nodes put on the runner."""
        peers = self.peer_loads.total(now)
        return peers.plus(self.attempts.load()) if len(self.attempts) else peers

    def running(self, now: float) -> int:
        """Return the estimated number of requests at the runner, including waiting ones."""
        return self.peer_loads.total(now).running + self.attempts.load().running

    def long_running(self, now: float) -> int:
        """Return the estimated number of long streams at the runner."""
        return self.load(now).long_running

    def committed_tokens(self, now: float) -> int:
        """Return the memory that the requests at the runner may use in total, in tokens."""
        peers = self.peer_loads.total(now).committed_tokens
        return peers + self.attempts.load().committed_tokens

    def prefill_wait(self, now: float) -> float:
        """Return the seconds until the prefills sent so far are expected to be done."""
        return max(0.0, self.prefill_done_at - now)


@dataclass(frozen=True, slots=True)
class _UnlistedRunner:
    """A runner that the directory has dropped, retained for a while in case it is listed again.

    Attributes:
        revision: Revision at which the directory had dropped the runner; None if not known.
        forget_at: When the runner is removed for good.
    """

    runner: Runner
    revision: StoreRevision | None
    forget_at: float


class RunnerPool:
    """All runners, by identifier.

    Attributes:
        generation: Increases with each runner that is added or removed.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._runners: dict[str, Runner] = {}
        self._unlisted: dict[str, _UnlistedRunner] = {}
        self._signals = SignalRecord()
        # Listed runners whose signals may keep requests away from them; usually empty.
        self._restricted_runners: dict[str, Runner] = {}
        # Limits that processes or peers have reported; usually empty.
        self._limits: dict[str, RunnerLimit] = {}
        self._brittle = BrittleRunners()
        # Services of which a runner has answered, or is known to a peer not to be brittle.
        self._answered: set[str] = set()
        # Rejections that the latest answers of a service tolerate, also of runners that are gone.
        self._latest_rejections: dict[str, float] = {}
        # Runners that a peer has reported as leaving; usually empty.
        self._hinted: dict[str, Runner] = {}
        # The latest directory entry of each name, also after the directory has dropped it.
        self._latest: dict[str, RunnerEntry] = {}
        self._on_newer_weights: Callable[[Runner], None] = lambda _: None

    def handle_newer_weights(self, handler: Callable[[Runner], None]) -> None:
        """Set the handler for each runner that is found to serve newer weights than known."""
        self._on_newer_weights = handler

    def get(self, runner_id: str) -> Runner | None:
        """Return a runner, or None if it is not known."""
        return self._runners.get(runner_id)

    def listed_as(self, name: str) -> Runner | None:
        """Return the latest process listed under a directory name, or None if not known."""
        latest = self._latest.get(name)
        return self._runners.get(latest.runner_id) if latest is not None else None

    def other_process(self, entry: RunnerEntry) -> Runner | None:
        """Return the earlier process that a new entry of the same name replaces, or None."""
        known = self.listed_as(entry.directory_name)
        if known is None or known.runner_id == entry.runner_id or self.is_outdated(entry):
            return None
        return known

    def lacks_start_time(self, entry: RunnerEntry) -> bool:
        """Return whether an entry lacks the start time that the latest entry of its name has."""
        latest = self._latest.get(entry.directory_name)
        return latest is not None and latest.started_ms > 0 and entry.started_ms == 0

    def is_outdated(self, entry: RunnerEntry) -> bool:
        """Return whether an entry is older than the latest known entry of its name.

        Entries are ordered by revision, not by start time, since a clock may be set back between
        two starts. A late write of a process that has ended may therefore win, until the next
        heartbeat of the running process overwrites it. After a restore of the store, an old entry
        from the backup has a new era, so entries of a later era are ordered by start time: the
        running process writes its entry again.
        """
        latest = self._latest.get(entry.directory_name)
        if latest is None:
            return False
        if entry.revision.era > latest.revision.era:
            return entry.started_ms < latest.started_ms
        return entry.revision < latest.revision

    def was_dropped_in_earlier_era(self, entry: RunnerEntry) -> bool:
        """Return whether a runner was dropped in an earlier store era than that of its entry."""
        dropped = self._unlisted.get(entry.runner_id)
        if dropped is None or dropped.revision is None:
            return False
        return dropped.revision.era < entry.revision.era

    def all(self) -> list[Runner]:
        """Return all runners."""
        return list(self._runners.values())

    def of_service(self, service: str) -> list[Runner]:
        """Return the runners of a service."""
        return [runner for runner in self._runners.values() if runner.entry.service == service]

    def accepting(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service that accept new work."""
        return [runner for runner in self.of_service(service) if runner.accepts(now)]

    def update(self, entry: RunnerEntry) -> Runner | None:
        """Apply a directory entry; return the runner if its state changed.

        The caller must first unlist another process with the same name (``other_process``).
        """
        if self.is_outdated(entry):
            return None
        entry = self._with_known_draining(entry)
        self._latest[entry.directory_name] = entry
        runner = self._runners.get(entry.runner_id) or self._relist(entry.runner_id)
        if runner is None:
            runner = self._add(entry)
            self.generation += 1
            return runner
        was_unlisted = runner.unlisted_until is not None
        # A repeated entry lists the runner again after an older removal.
        if entry.revision == runner.entry.revision and not was_unlisted:
            return None
        changed = entry.draining != runner.entry.draining or entry.weights != runner.entry.weights
        changed = changed or was_unlisted
        runner.unlisted_until = None
        runner.entry = entry
        for model, version in entry.weights.items():
            self.observe_weights(runner, model, version)
        return runner if changed else None

    def _with_known_draining(self, entry: RunnerEntry) -> RunnerEntry:
        """Return the entry, marked as draining if the process was draining in an earlier store era.

        The entry in a restored store may come from a backup made before the process was draining.
        """
        known = self._latest.get(entry.directory_name)
        if known is None or known.runner_id != entry.runner_id or not known.draining:
            return entry
        return replace(entry, draining=True) if entry.revision.era > known.revision.era else entry

    def _add(self, entry: RunnerEntry) -> Runner:
        signals = self._signals.get(entry.runner_id)
        runner = Runner(entry, dict(entry.weights), signals=signals or ReceivedSignals())
        self._runners[entry.runner_id] = runner
        if signals is not None:
            self._restricted_runners[entry.runner_id] = runner
        return runner

    def apply_signals(
        self, runner_id: str, signals: RunnerSignals, source: str, now: float
    ) -> bool:
        """Apply the signals in an answer of a process; return whether they changed anything.

        Args:
            runner_id: The process, whether it is listed or not.
            signals: The signals.
            source: The answer, for the log.
            now: When the answer arrived, on the node's clock.
        """
        return self._received(runner_id).apply(signals, source, now)

    def apply_limit(
        self, runner_id: str, rate: float | None, source: AnswerSource, now: float
    ) -> bool:
        """Apply the limit in an answer of a process; return whether the limit changed.

        Args:
            runner_id: The process, whether it is listed or not.
            rate: Requests per second that the process accepts from all nodes; None without a limit.
            source: The answer.
            now: When the answer arrived, on the node's clock.
        """
        received = self._signals.get(runner_id)
        if rate is None:
            return received is not None and received.limit.apply(None, source, now)
        return self._limit(runner_id).apply(rate, source, now)

    def apply_brittleness(
        self, runner_id: str, rejections: float | None, source: AnswerSource, now: float
    ) -> bool:
        """Apply whether an answer reports its process as brittle; return whether this changed.

        Args:
            runner_id: The process, whether it is listed or not.
            rejections: Rejections in a second that the process tolerates; None if it is not
                brittle.
            source: The answer.
            now: When the answer arrived, on the node's clock.
        """
        runner = self._known(runner_id)
        if runner is not None:
            self._answered.add(runner.entry.service)
            self._note_rejections(runner.entry.service, rejections, source)
        received = self._signals.get(runner_id)
        if received is None and rejections is None:
            return False
        state = (received or self._received(runner_id)).brittleness
        return self._brittle.apply(runner_id, state, rejections, source, now)

    def has_answered(self, service: str) -> bool:
        """Return whether this node knows from answers whether a service's runners are brittle."""
        return service in self._answered

    def note_sound(self, service: str) -> None:
        """Record that the answers to a peer report no runner of a service as brittle."""
        self._answered.add(service)

    def _note_rejections(
        self, service: str, rejections: float | None, source: AnswerSource
    ) -> None:
        if rejections is not None:
            self._latest_rejections[service] = rejections
        elif source.was_carried_out:
            self._latest_rejections.pop(service, None)

    def brittle_runners(self) -> list[Runner]:
        """Return the runners of all services of which some runner is brittle."""
        if not self._brittle:
            return []
        runners = self._runners.values()
        services = self._brittle.services({r.runner_id: r.entry.service for r in runners})
        return [runner for runner in runners if runner.entry.service in services]

    def tolerated_rejections(self, runner: Runner) -> float | None:
        """Return the rejections in a second that a runner tolerates; None if it is not brittle."""
        if not self._brittle:
            return self._latest_rejections.get(runner.entry.service)
        siblings = [other.runner_id for other in self.of_service(runner.entry.service)]
        known = self._brittle.tolerated_rejections(runner.runner_id, siblings)
        return self._latest_rejections.get(runner.entry.service) if known is None else known

    def apply_limit_hint(self, runner_id: str, rate: float, age_seconds: float, now: float) -> bool:
        """Apply a peer's hint that a process reports a limit.

        Returns:
            Whether this node knows that the limit has ended, from a later answer without a limit.
        """
        if self._known(runner_id) is None:
            return False
        return self._limit(runner_id).apply_hint(rate, age_seconds, now)

    def apply_limit_end_hint(self, runner_id: str, age_seconds: float, now: float) -> None:
        """Apply a peer's hint that the limit of a process has ended."""
        limit = self._limits.get(runner_id)
        if limit is not None:
            limit.apply_end_hint(age_seconds, now)

    def limit_state(self, runner_id: str) -> RunnerLimit | None:
        """Return the state of a process's limit; None if no signals of the process are stored."""
        received = self._signals.get(runner_id)
        return received.limit if received is not None else None

    def limit_of(self, runner_id: str, now: float) -> float | None:
        """Return the requests per second that all nodes may send to a process, or None."""
        limit = self._limits.get(runner_id)
        return limit.rate_to_use(now) if limit is not None else None

    def active_limits(self, now: float) -> dict[str, RunnerLimit]:
        """Return the limits in effect by process, and drop the limits that have ended."""
        for runner_id, limit in list(self._limits.items()):
            if limit.in_force(now) is None or self._known(runner_id) is None:
                del self._limits[runner_id]
        return self._limits

    def directly_reported_limits(self, now: float) -> dict[str, RunnerLimit]:
        """Return the limits that processes have reported to this node directly."""
        active_limits = self.active_limits(now).items()
        return {runner_id: limit for runner_id, limit in active_limits if limit.rate is not None}

    def limit_hints_due(self, now: float) -> dict[str, RunnerLimit]:
        """Return the directly reported limits of which no hint was sent lately."""
        return {
            runner_id: limit
            for runner_id, limit in self.directly_reported_limits(now).items()
            if now >= limit.last_hint_at + HINT_AGAIN_SECONDS
        }

    def _limit(self, runner_id: str) -> RunnerLimit:
        limit = self._limits.get(runner_id)
        if limit is None:
            limit = self._limits[runner_id] = self._received(runner_id).limit
        return limit

    def _received(self, runner_id: str) -> ReceivedSignals:
        """Return the signals of a process; from now on they are stored for it."""
        received = self._signals.get(runner_id)
        if received is None:
            runner = self._known(runner_id)
            received = runner.signals if runner is not None else ReceivedSignals()
        self._signals.store(runner_id, received)
        if runner_id in self._runners:
            self._restricted_runners[runner_id] = self._runners[runner_id]
        return received

    def restricted_runners(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service whose own signals may keep requests away from them."""
        found: list[Runner] = []
        for runner_id, runner in list(self._restricted_runners.items()):
            if self._runners.get(runner_id) is not runner or not runner.signals.restricts_requests(
                now
            ):
                del self._restricted_runners[runner_id]
            elif runner.entry.service == service:
                found.append(runner)
        return found

    def apply_leaving_hint(self, runner: Runner, now: float) -> None:
        """Apply a peer's hint that a runner is leaving.

        The hint applies to one process and expires. If it is lost, late or wrong, a request may get
        a worse placement, but is never refused.
        """
        runner.hinted_until = now + HINT_SECONDS
        runner.leave_hinted_at = now
        self._hinted[runner.runner_id] = runner

    def hinted(self, service: str, now: float) -> set[str]:
        """Return the runners of a service that peers report as leaving."""
        found: set[str] = set()
        for runner_id, runner in list(self._hinted.items()):
            if self._runners.get(runner_id) is not runner or now >= runner.hinted_until:
                del self._hinted[runner_id]
            elif runner.entry.service == service:
                found.add(runner_id)
        return found

    def leaving_hints_due(self, now: float) -> list[Runner]:
        """Return the leaving runners of which a hint to peers is due.

        These have signalled that they are leaving, but the directory does not list them as draining
        yet. Runners of which a hint was sent or received lately are left out.
        """
        return [
            runner
            for runner_id, runner in self._restricted_runners.items()
            if self._runners.get(runner_id) is runner
            and runner.signals.is_leaving
            and not runner.entry.draining
            and now >= runner.leave_hinted_at + HINT_AGAIN_SECONDS
        ]

    def _known(self, runner_id: str) -> Runner | None:
        """Return a runner that is listed, or was listed until recently."""
        unlisted = self._unlisted.get(runner_id)
        return self._runners.get(runner_id) or (unlisted.runner if unlisted is not None else None)

    def unlist(
        self,
        runner_id: str,
        now: float,
        grace_seconds: float,
        revision: StoreRevision | None = None,
    ) -> Runner | None:
        """Record that the directory has dropped a runner.

        The state of the runner is retained for a while, since the directory may list the same
        process again.

        Args:
            runner_id: The runner.
            now: Time on the node's clock.
            grace_seconds: How long the runner may still be used.
            revision: Revision at which the directory had dropped the runner; None if not known.
        """
        runner = self._runners.get(runner_id)
        if runner is None:
            return None
        if grace_seconds > 0:
            runner.unlisted_until = now + grace_seconds
            runner.unlisted_at = revision
        else:
            self.note_leaving(runner)
            del self._runners[runner_id]
            forget_at = now + UNLISTED_MEMORY_SECONDS
            self._unlisted[runner_id] = _UnlistedRunner(runner, revision, forget_at)
        return runner

    def note_leaving(self, runner: Runner) -> None:
        """Record that a runner has stopped, or that its address belongs to another runner now."""
        runner.leaving = True
        self.generation += 1

    def expire_unlisted(self, now: float) -> list[Runner]:
        """Remove runners after their grace period, then drop the state of those removed long ago.

        Returns:
            The runners whose state was dropped.
        """
        for runner in self.all():
            if runner.unlisted_until is not None and now >= runner.unlisted_until:
                self.unlist(runner.runner_id, now, 0.0, runner.unlisted_at)
        dropped = self._unlisted.values()
        forgotten = [unlisted.runner for unlisted in dropped if now >= unlisted.forget_at]
        for runner in forgotten:
            del self._unlisted[runner.runner_id]
            latest = self._latest.get(runner.entry.directory_name)
            if latest is not None and latest.runner_id == runner.runner_id:
                del self._latest[runner.entry.directory_name]
        return forgotten

    def _relist(self, runner_id: str) -> Runner | None:
        found = self._unlisted.pop(runner_id, None)
        if found is None:
            return None
        runner = self._runners[runner_id] = found.runner
        if runner_id in self._signals:
            self._restricted_runners[runner_id] = runner
        runner.leaving = runner.has_ended = False
        self.generation += 1
        return runner

    def observe_weights(self, runner: Runner, model: str, version: int) -> bool:
        """Record the version that a runner serves, if it is newer; return whether it is newer."""
        if version <= runner.weights.get(model, 0):
            return False
        runner.weights[model] = version
        runner.loading_until = 0.0
        self._on_newer_weights(runner)
        return True

    def correct_weights(self, runner: Runner, model: str, version: int) -> None:
        """Set the version that a runner reported when it refused a request for another version."""
        is_newer = version > runner.weights.get(model, 0)
        runner.weights[model] = version
        runner.ordered_weights.pop(model, None)
        if is_newer:
            self._on_newer_weights(runner)

    def sent(self, runner: Runner, attempt_id: str, attempt: OwnAttempt, rate: float) -> None:
        """Record an attempt that is being sent."""
        runner.attempts.add(attempt_id, attempt)
        self.add_prefill(runner, attempt.prefill_tokens, rate, attempt.sent_at)

    def add_prefill(self, runner: Runner, tokens: int, rate: float, now: float) -> None:
        """Add prefill work of this node or of a peer."""
        runner.prefill_done_at = max(runner.prefill_done_at, now) + tokens / rate

    def started(self, runner: Runner, attempt_id: str, now: float) -> None:
        """Record the first event of an attempt: its prefill and the prefills before it are done."""
        attempt = runner.attempts.get(attempt_id)
        if attempt is None or attempt.started:
            return
        attempt.started = True
        pending = sum(a.prefill_tokens for a in runner.attempts.all() if not a.started)
        if not pending and not runner.peer_loads.total(now).running:
            runner.prefill_done_at = min(runner.prefill_done_at, now)
        runner.failures = 0

    def finished(self, runner: Runner, attempt_id: str) -> None:
        """Record the end of an attempt."""
        runner.attempts.remove(attempt_id)

    def failed(self, runner: Runner, now: float, sent_at: float = float("inf")) -> None:
        """Suspect a runner that failed a request, for a time that doubles with each failure.

        An attempt that was sent before the path to the runner was found lost is ignored.
        """
        if sent_at < runner.path_lost_at:
            return
        runner.is_peer_suspicion = False
        runner.failures += 1
        pause = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2 ** (runner.failures - 1))
        runner.suspected_until = max(runner.suspected_until, now + pause)

    def unreachable(self, runner: Runner, now: float) -> None:
        """Suspect a runner that accepts no connections: it has stopped or is disconnected."""
        runner.is_peer_suspicion = False
        runner.failures += 1
        runner.suspected_until = max(runner.suspected_until, now + UNREACHABLE_SECONDS)

    def record_contact(self, runner: Runner, now: float) -> None:
        """Record bytes from a runner, which ends a suspicion: it is alive."""
        runner.last_contact_at = now
        if runner.suspected_until > now:
            runner.suspected_until = now
            runner.failures = 0

    def apply_peer_suspicion(self, runner: Runner, now: float) -> None:
        """Apply a peer's suspicion, unless this node received bytes from the runner recently."""
        if now - runner.last_contact_at < SILENCE_SECONDS:
            return
        if now >= runner.suspected_until:
            runner.is_peer_suspicion = True
        runner.suspected_until = max(runner.suspected_until, now + SUSPECT_SECONDS)

    def end_peer_suspicions(self, service: str, now: float) -> bool:
        """End the suspicions that this node does not share; return whether there were any.

        A peer may be cut off from runners that this node reaches. Its suspicions may make this node
        prefer other runners, but must not leave it without one.
        """
        suspected = [
            runner
            for runner in self.of_service(service)
            if runner.is_peer_suspicion and now < runner.suspected_until
        ]
        for runner in suspected:
            runner.suspected_until = now
        return bool(suspected)

    def note_path_lost(self, runner: Runner, now: float) -> None:
        """Record that this node is cut off from a runner that a peer reaches.

        The runner is alive, so this ends a suspicion. Attempts on the lost connections are ignored.
        """
        runner.path_lost_at = now
        runner.suspected_until = min(runner.suspected_until, now)
        runner.failures = 0

    def succeeded(self, runner: Runner) -> None:
        """Record an answer, which ends a suspicion: the runner is alive."""
        runner.failures = 0
        runner.suspected_until = 0.0

    def shed(self, runner: Runner, now: float) -> None:
        """Record that a runner refused a request because it is full or loading weights."""
        runner.shed_until = now + SHED_SECONDS

    def note_loading(self, runner: Runner, model: str, version: int, now: float) -> None:
        """Record that a runner is loading weights or is about to load them."""
        runner.loading_until = now + LOADING_SECONDS
        runner.ordered_weights[model] = version

    def note_peer_load(self, runner: Runner, peer: str, load: RunnerLoad, now: float) -> None:
        """Apply a peer's report of its load on a runner."""
        runner.peer_loads.report(peer, load, now)
