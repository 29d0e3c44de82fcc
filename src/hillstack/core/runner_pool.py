"""What a node believes of each runner: liveness, weights, load.

Beliefs come from five sources: the directory of runners, what runners say of themselves in their
answers, what this node's own requests show, what peers tell, and what the node that orders weights
tells. The directory lags, and says nothing new while its store is away: a runner that fails
requests is avoided before the directory says so, and what a runner says of itself holds against the
directory's word (``runner_signals``).
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hillstack.core.runner_limit import AnswerSource, RunnerLimit
from hillstack.core.runner_load import OwnAttempt, OwnAttempts, ReportedLoads, RunnerLoad
from hillstack.core.runner_signals import ReceivedSignals, RunnerSignals, SignalRecord
from hillstack.core.store_revision import StoreRevision

# A runner that broke a request is tried again after a restart's usual time, longer each time.
SUSPECT_SECONDS = 0.6
# No longer than the store takes to drop a silent runner: three heartbeats of 1.2 s.
SUSPECT_MAX_SECONDS = 4.0
# A machine that takes no connections is mostly gone: until the store can have dropped it.
UNREACHABLE_SECONDS = 3.0
# A queue of a few requests shrinks by one in about that time.
SHED_SECONDS = 0.12
# A runner at work sends an event each step of 5 to 10 ms; 0.5 s is the shortest allowed pause.
SILENCE_SECONDS = 0.4
# Beside a long prefill: pieces of 4,096 tokens, several in a row, hold all streams up.
BUSY_SILENCE_SECONDS = 0.9
# Entries that lapsed in an outage come back within some seconds of its end.
UNLISTED_MEMORY_SECONDS = 15.0
# A load takes 0.57 to 0.76 s on the deployments seen; its end is told, this is for a lost word.
LOADING_SECONDS = 0.7
# A peer's word that a runner leaves is repeated after the shorter time while the directory does not
# say so, and lapses after the longer one: two repetitions may be lost.
HINT_AGAIN_SECONDS = 2.0
HINT_SECONDS = 6.0
# Tokens a second until prefills were seen (``RunnerPlacement._learn_rate``): the slowest of the
# engines seen, so that a delay is rather thought too long.
DEFAULT_PREFILL_RATE = 38_000.0


@dataclass(frozen=True, slots=True)
class RunnerEntry:
    """A runner as the directory lists it.

    Attributes:
        runner_id: Names one process: one that starts again has another one.
        revision: Revision of the entry; a later one replaces an earlier one.
        draining: Whether it has said that it will leave.
        weights: Version of the weights by model.
        software: Version of the runner's software; empty if it does not say.
        listed_as: Its name in the directory, under which a later process may be listed; empty if
            that is ``runner_id``.
        started_ms: When its process started, by its own clock: it is compared with others of the
            same name only. 0 if it does not say.
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
        """Its name in the directory."""
        return self.listed_as or self.runner_id


@dataclass(slots=True)
class Runner:
    """A runner and what is believed of it.

    Attributes:
        prefill_done_at: When the prefills sent so far are expected to be done.
        suspected_until: It gets no new request before.
        ordered_weights: Versions that it was ordered to load, by model.
        peer_ordered_at: When a peer is last known to have ordered it.
        has_ended: Whether its process has ended, since a later one of its name was heard of.
        signals: What it has told this node of itself; the directory does not change them.
        unlisted_until: The directory dropped it, but it may be used until then; None if listed.
        unlisted_at: Revision at which the directory had dropped it; None if it is not known.
        hinted_until: Peers say that it leaves: until then it is used only where no other one is.
        hinted_at: When a peer last said so, or this node did.
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
    last_heard_at: float = float("-inf")
    signals: ReceivedSignals = field(default_factory=ReceivedSignals)
    hinted_until: float = float("-inf")
    hinted_at: float = float("-inf")

    @property
    def runner_id(self) -> str:
        """Return the identifier of this incarnation."""
        return self.entry.runner_id

    @property
    def address(self) -> str:
        """Return where it listens."""
        return self.entry.address

    def accepts(self, now: float) -> bool:
        """Return whether it may get new work."""
        return self.stays(now) and now >= self.ready_at

    @property
    def ready_at(self) -> float:
        """When it is expected to take new work, if it stays."""
        return max(self.suspected_until, self.loading_until, self.signals.asked_until)

    @property
    def leaves(self) -> bool:
        """Whether it leaves or has left, by whichever word came first.

        Its own is not undone by an entry that says that it is ready: while the store is away the
        directory tells of the time before.
        """
        return self.leaving or self.entry.draining or self.signals.leaves

    def stays(self, now: float) -> bool:
        """Return whether it gets work again, if not now: it neither leaves nor is gone."""
        if self.leaves:
            return False
        return self.unlisted_until is None or now < self.unlisted_until

    def is_silent(self, now: float) -> bool:
        """Return whether it owes bytes to some attempt and has sent none for a while."""
        # A long prefill holds all streams up for several steps.
        busy = self.prefill_done_at > now - SILENCE_SECONDS
        limit = BUSY_SILENCE_SECONDS if busy else SILENCE_SECONDS
        if not self.attempts or now - self.last_heard_at < limit:
            return False
        return any(attempt.started or now > attempt.due_at for attempt in self.attempts.all())

    def weights_version(self, model: str) -> int:
        """Return the version of a model's weights that it is known to serve."""
        return self.weights.get(model, 0)

    def likely_weights(self, model: str, now: float) -> int:
        """Return the version that it most likely serves.

        A runner that was ordered to load, and of which no end of the load was told, has probably
        loaded. A request names the version that it wants, so a wrong guess is refused, not run.
        """
        if now < self.loading_until:
            return self.weights.get(model, 0)
        return self.weights_after_load(model)

    def weights_after_load(self, model: str) -> int:
        """Return the version that it serves when the load that it was ordered to do is over."""
        return max(self.weights.get(model, 0), self.ordered_weights.get(model, 0))

    def load(self, now: float) -> RunnerLoad:
        """Return the load that all nodes are believed to have put on it."""
        peers = self.peer_loads.total(now)
        return peers.plus(self.attempts.load()) if len(self.attempts) else peers

    def running(self, now: float) -> int:
        """Return the requests believed to be at it."""
        return self.peer_loads.total(now).running + self.attempts.load().running

    def long_running(self, now: float) -> int:
        """Return the long streams believed to be at it."""
        return self.load(now).long_running

    def committed_tokens(self, now: float) -> int:
        """Return the memory that the requests at it may come to use, in tokens."""
        peers = self.peer_loads.total(now).committed_tokens
        return peers + self.attempts.load().committed_tokens

    def prefill_wait(self, now: float) -> float:
        """Return the seconds until the prefills sent so far are expected to be done."""
        return max(0.0, self.prefill_done_at - now)


@dataclass(frozen=True, slots=True)
class _UnlistedRunner:
    """A runner that the directory has dropped, and what is kept of it for a while.

    Attributes:
        revision: At which the directory had dropped it; None if it is not known.
    """

    runner: Runner
    revision: StoreRevision | None
    forget_at: float


class RunnerPool:
    """All runners, by identifier.

    Attributes:
        generation: Rises with each runner that comes or goes.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._runners: dict[str, Runner] = {}
        self._unlisted: dict[str, _UnlistedRunner] = {}
        self._signals = SignalRecord()
        # Those of the runners above whose signals may keep requests away from them: mostly none.
        self._held_back: dict[str, Runner] = {}
        # The limits of processes that name one, or of which a peer says so: mostly none.
        self._limits: dict[str, RunnerLimit] = {}
        # Those of which a peer has said that they leave: mostly none.
        self._hinted: dict[str, Runner] = {}
        # The latest process of each name in the directory, also while it is not listed.
        self._latest: dict[str, RunnerEntry] = {}

    def get(self, runner_id: str) -> Runner | None:
        """Return a runner, or None if it is not known."""
        return self._runners.get(runner_id)

    def listed_as(self, name: str) -> Runner | None:
        """Return the latest process of a name in the directory, or None if it is not known."""
        latest = self._latest.get(name)
        return self._runners.get(latest.runner_id) if latest is not None else None

    def other_process(self, entry: RunnerEntry) -> Runner | None:
        """Return the process that is known under the name of a later entry of another one."""
        known = self.listed_as(entry.directory_name)
        if known is None or known.runner_id == entry.runner_id or self.is_outdated(entry):
            return None
        return known

    def lacks_start(self, entry: RunnerEntry) -> bool:
        """Return whether an entry does not say when its process started, as others before did."""
        latest = self._latest.get(entry.directory_name)
        return latest is not None and latest.started_ms > 0 and entry.started_ms == 0

    def is_outdated(self, entry: RunnerEntry) -> bool:
        """Return whether an entry is older than the latest one of its name.

        The directory's order counts, not that of the starts: a clock may have been set back between
        two of them. A write of a process that has ended, carried out late, lasts until the next
        heartbeat of the one that lives. Only what a restored store has from its copy goes by the
        starts: the process that lives writes its entry again.
        """
        latest = self._latest.get(entry.directory_name)
        if latest is None:
            return False
        if entry.revision.era > latest.revision.era:
            return entry.started_ms < latest.started_ms
        return entry.revision < latest.revision

    def is_gone_before(self, entry: RunnerEntry) -> bool:
        """Return whether a runner was known to be gone in an earlier era than that of its entry."""
        gone = self._unlisted.get(entry.runner_id)
        if gone is None or gone.revision is None:
            return False
        return gone.revision.era < entry.revision.era

    def all(self) -> list[Runner]:
        """Return all runners."""
        return list(self._runners.values())

    def of_service(self, service: str) -> list[Runner]:
        """Return the runners of a service."""
        return [runner for runner in self._runners.values() if runner.entry.service == service]

    def accepting(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service that may get new work."""
        return [runner for runner in self.of_service(service) if runner.accepts(now)]

    def update(self, entry: RunnerEntry) -> Runner | None:
        """Take over a directory entry; return the runner if something of it changed.

        Another process that is known under its name is unlisted first (``other_process``).
        """
        if self.is_outdated(entry):
            return None
        entry = self._with_known_leave(entry)
        self._latest[entry.directory_name] = entry
        runner = self._runners.get(entry.runner_id) or self._relist(entry.runner_id)
        if runner is None:
            runner = self._add(entry)
            self.generation += 1
            return runner
        was_unlisted = runner.unlisted_until is not None
        # The same entry once more says that the runner is listed, after a removal that was older.
        if entry.revision == runner.entry.revision and not was_unlisted:
            return None
        changed = entry.draining != runner.entry.draining or entry.weights != runner.entry.weights
        changed = changed or was_unlisted
        runner.unlisted_until = None
        runner.entry = entry
        for model, version in entry.weights.items():
            self.observe_weights(runner, model, version)
        return runner if changed else None

    def _with_known_leave(self, entry: RunnerEntry) -> RunnerEntry:
        """Return the first entry of a process in an era, as leaving if it said so before.

        A restored store may have it from a copy that is older than the leave.
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
            self._held_back[entry.runner_id] = runner
        return runner

    def hear(self, runner_id: str, signals: RunnerSignals, source: str, now: float) -> bool:
        """Take over what a process says of itself in an answer; return whether it is news.

        Args:
            runner_id: The process, whether it is listed or not.
            signals: What it says.
            source: Which answer, for the log.
            now: When it came, on the node's clock.
        """
        return self._received(runner_id).take(signals, source, now)

    def hear_limit(
        self, runner_id: str, rate: float | None, source: AnswerSource, now: float
    ) -> bool:
        """Take over what an answer says of a process's limit; return whether it is news.

        Args:
            runner_id: The process, whether it is listed or not.
            rate: Requests a second that it takes from all nodes; None if it names no limit.
            source: Which answer.
            now: When it came, on the node's clock.
        """
        received = self._signals.get(runner_id)
        if rate is None:
            return received is not None and received.limit.take(None, source, now)
        return self._limit(runner_id).take(rate, source, now)

    def hint_limit(self, runner_id: str, rate: float, age_seconds: float, now: float) -> bool:
        """Take over a peer's word that a process names a limit.

        Returns:
            Whether this node knows better: a later answer named none.
        """
        if self._known(runner_id) is None:
            return False
        return self._limit(runner_id).hint(rate, age_seconds, now)

    def hint_limit_end(self, runner_id: str, age_seconds: float, now: float) -> None:
        """Take over a peer's word that a process names no limit any more."""
        limit = self._limits.get(runner_id)
        if limit is not None:
            limit.hint_end(age_seconds, now)

    def limit_state(self, runner_id: str) -> RunnerLimit | None:
        """Return all that is known of a process's limit; None if it never named one."""
        received = self._signals.get(runner_id)
        return received.limit if received is not None else None

    def limit_of(self, runner_id: str, now: float) -> float | None:
        """Return the requests a second that all nodes send to a process; None without a limit."""
        limit = self._limits.get(runner_id)
        return limit.rate_to_use(now) if limit is not None else None

    def limited(self, now: float) -> dict[str, RunnerLimit]:
        """Return the limits that are in force, by the process that names them."""
        for runner_id, limit in list(self._limits.items()):
            if limit.in_force(now) is None or self._known(runner_id) is None:
                del self._limits[runner_id]
        return self._limits

    def own_limits(self, now: float) -> dict[str, RunnerLimit]:
        """Return the limits that processes have named to this node itself."""
        limited = self.limited(now).items()
        return {runner_id: limit for runner_id, limit in limited if limit.rate is not None}

    def limits_to_tell(self, now: float) -> dict[str, RunnerLimit]:
        """Return the limits that this node heard itself and of which peers were not told lately."""
        return {
            runner_id: limit
            for runner_id, limit in self.own_limits(now).items()
            if now >= limit.told_at + HINT_AGAIN_SECONDS
        }

    def _limit(self, runner_id: str) -> RunnerLimit:
        limit = self._limits.get(runner_id)
        if limit is None:
            limit = self._limits[runner_id] = self._received(runner_id).limit
        return limit

    def _received(self, runner_id: str) -> ReceivedSignals:
        """Return the signals of a process, which are kept from now on."""
        received = self._signals.get(runner_id)
        if received is None:
            runner = self._known(runner_id)
            received = runner.signals if runner is not None else ReceivedSignals()
        self._signals.keep(runner_id, received)
        if runner_id in self._runners:
            self._held_back[runner_id] = self._runners[runner_id]
        return received

    def held_back(self, service: str, now: float) -> list[Runner]:
        """Return the runners of a service from which their own signals keep requests away."""
        found: list[Runner] = []
        for runner_id, runner in list(self._held_back.items()):
            if self._runners.get(runner_id) is not runner or not runner.signals.hold_back(now):
                del self._held_back[runner_id]
            elif runner.entry.service == service:
                found.append(runner)
        return found

    def hint_leaving(self, runner: Runner, now: float) -> None:
        """Take over a peer's word that a runner leaves.

        It names one process, and it lapses: lost, late or wrong it costs a request a worse place,
        never a refusal.
        """
        runner.hinted_until = now + HINT_SECONDS
        runner.hinted_at = now
        self._hinted[runner.runner_id] = runner

    def hinted(self, service: str, now: float) -> set[str]:
        """Return the runners of a service that leave by the word of peers."""
        found: set[str] = set()
        for runner_id, runner in list(self._hinted.items()):
            if self._runners.get(runner_id) is not runner or now >= runner.hinted_until:
                del self._hinted[runner_id]
            elif runner.entry.service == service:
                found.add(runner_id)
        return found

    def to_hint(self, now: float) -> list[Runner]:
        """Return the runners that peers should be told of: they leave by their own word alone.

        Once the directory says so it tells all. One of which a peer has told lately is left out.
        """
        return [
            runner
            for runner_id, runner in self._held_back.items()
            if self._runners.get(runner_id) is runner
            and runner.signals.leaves
            and not runner.entry.draining
            and now >= runner.hinted_at + HINT_AGAIN_SECONDS
        ]

    def _known(self, runner_id: str) -> Runner | None:
        """Return a runner that is listed, or was not long ago."""
        unlisted = self._unlisted.get(runner_id)
        return self._runners.get(runner_id) or (unlisted.runner if unlisted is not None else None)

    def unlist(
        self,
        runner_id: str,
        now: float,
        grace_seconds: float,
        revision: StoreRevision | None = None,
    ) -> Runner | None:
        """Note that the directory has dropped a runner.

        What is known of it is kept for a while: the directory may list the same process again.

        Args:
            runner_id: The runner.
            now: Time on the node's clock.
            grace_seconds: How long it may still be used.
            revision: At which the directory had dropped it; None if it is not known.
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
        """Note that a runner has ended, or that its address is another one's now."""
        runner.leaving = True
        self.generation += 1

    def expire_unlisted(self, now: float) -> list[Runner]:
        """Drop the runners whose grace is over, and forget those dropped long ago; return these."""
        for runner in self.all():
            if runner.unlisted_until is not None and now >= runner.unlisted_until:
                self.unlist(runner.runner_id, now, 0.0, runner.unlisted_at)
        gone = self._unlisted.values()
        forgotten = [unlisted.runner for unlisted in gone if now >= unlisted.forget_at]
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
            self._held_back[runner_id] = runner
        runner.leaving = runner.has_ended = False
        self.generation += 1
        return runner

    def observe_weights(self, runner: Runner, model: str, version: int) -> bool:
        """Note the version that a runner serves; versions only rise. Return whether it is new."""
        if version <= runner.weights.get(model, 0):
            return False
        runner.weights[model] = version
        runner.loading_until = 0.0
        return True

    def correct_weights(self, runner: Runner, model: str, version: int) -> None:
        """Take over the version that a runner named when it refused another."""
        runner.weights[model] = version
        runner.ordered_weights.pop(model, None)

    def sent(self, runner: Runner, attempt_id: str, attempt: OwnAttempt, rate: float) -> None:
        """Note an attempt that is being sent."""
        runner.attempts.add(attempt_id, attempt)
        self.add_prefill(runner, attempt.prefill_tokens, rate, attempt.sent_at)

    def add_prefill(self, runner: Runner, tokens: int, rate: float, now: float) -> None:
        """Note prefill work, of this node or of a peer."""
        runner.prefill_done_at = max(runner.prefill_done_at, now) + tokens / rate

    def started(self, runner: Runner, attempt_id: str, now: float) -> None:
        """Note the first event of an attempt: its prefill, and those before it, are done."""
        attempt = runner.attempts.get(attempt_id)
        if attempt is None or attempt.started:
            return
        attempt.started = True
        pending = sum(a.prefill_tokens for a in runner.attempts.all() if not a.started)
        if not pending and not runner.peer_loads.total(now).running:
            runner.prefill_done_at = min(runner.prefill_done_at, now)
        runner.failures = 0

    def finished(self, runner: Runner, attempt_id: str) -> None:
        """Note the end of an attempt."""
        runner.attempts.remove(attempt_id)

    def failed(self, runner: Runner, now: float) -> None:
        """Note that a runner broke a request or was not reached: avoid it for a while."""
        runner.failures += 1
        pause = min(SUSPECT_MAX_SECONDS, SUSPECT_SECONDS * 2 ** (runner.failures - 1))
        runner.suspected_until = max(runner.suspected_until, now + pause)

    def unreachable(self, runner: Runner, now: float) -> None:
        """Note that a runner takes no connections: its process is gone or cut off."""
        runner.failures += 1
        runner.suspected_until = max(runner.suspected_until, now + UNREACHABLE_SECONDS)

    def heard(self, runner: Runner, now: float) -> None:
        """Note bytes from a runner: it is alive."""
        runner.last_heard_at = now
        if runner.suspected_until > now:
            runner.suspected_until = now
            runner.failures = 0

    def suspected_by_peer(self, runner: Runner, now: float) -> None:
        """Take over a peer's suspicion, unless this node has heard from the runner just now."""
        if now - runner.last_heard_at >= SILENCE_SECONDS:
            runner.suspected_until = max(runner.suspected_until, now + SUSPECT_SECONDS)

    def succeeded(self, runner: Runner) -> None:
        """Note an answer: the runner is alive."""
        runner.failures = 0
        runner.suspected_until = 0.0

    def shed(self, runner: Runner, now: float) -> None:
        """Note that a runner refused a request because it is full or loading."""
        runner.shed_until = now + SHED_SECONDS

    def note_loading(self, runner: Runner, model: str, version: int, now: float) -> None:
        """Note that a runner is about to load weights, or is loading them."""
        runner.loading_until = now + LOADING_SECONDS
        runner.ordered_weights[model] = version

    def note_peer_load(self, runner: Runner, peer: str, load: RunnerLoad, now: float) -> None:
        """Take over what a peer says of its load on a runner."""
        runner.peer_loads.report(peer, load, now)
