"""This node's view of the back ends: state, reported load and work in flight."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hillstack.messages.types import LeavingNotice, Machine

INITIAL_SUSPECT_SECONDS = 0.5
MAX_SUSPECT_SECONDS = 5.0
DEFAULT_PROMPT_TOKENS = 2_000.0
MEAN_PROMPT_SMOOTHING = 0.05
PAUSE_SECONDS = 2.0
MAX_LEAVING_NOTICES = 16


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine reports of itself.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        cache_usage: Share of the cache in use, 0 to 1.
        waiting_tokens: Prompt tokens waiting; None when the engine does not report them.
    """

    running: int
    waiting: int
    cache_usage: float
    waiting_tokens: float | None = None


@dataclass(slots=True)
class InFlight:
    """A request that was sent to a back end.

    Attributes:
        pending_tokens: Uncached prompt tokens that the request still waits for; 0 after the first
            token of its answer.
        sent_at: When the request was sent.
    """

    pending_tokens: float
    sent_at: float


@dataclass(slots=True)
class Backend:
    """One back end.

    Attributes:
        machine: The entry of the machine list.
        incarnation: Identifier of the running process; empty if unknown.
        failures: Failures in a row.
        suspect_until: No new work is sent to the back end before this time.
        report: The latest load report.
        reported_at: When the latest load report arrived.
        in_flight: Attempts of this node, by attempt identifier.
        peer_work: Requests that other nodes have sent.
        mean_prompt_tokens: Moving average of uncached prompt tokens per request.
    """

    machine: Machine
    incarnation: str = ""
    weights_version: int = 0
    draining: bool = False
    failures: int = 0
    suspect_until: float = 0.0
    report: LoadReport = field(default_factory=lambda: LoadReport(0, 0, 0.0))
    reported_at: float = float("-inf")
    in_flight: dict[str, InFlight] = field(default_factory=dict)
    peer_work: list[InFlight] = field(default_factory=list)
    mean_prompt_tokens: float = DEFAULT_PROMPT_TOKENS

    def accepts_work(self, now: float) -> bool:
        """Return whether new work may be sent to the back end."""
        return not self.draining and not self.machine.leaving and now >= self.suspect_until

    def queued_tokens(self, now: float, prefill_rate: float) -> float:
        """Return the estimated prompt tokens waiting for prefill.

        The reported tokens are reduced by the tokens prefilled since the report and raised by the
        tokens sent since. The estimate is never below the tokens for which this node still waits.
        """
        own = sum(entry.pending_tokens for entry in self.in_flight.values())
        sent_since = sum(
            entry.pending_tokens
            for entry in self.in_flight.values()
            if entry.sent_at >= self.reported_at
        )
        reported = self.report.waiting_tokens
        if reported is None:
            reported = self.report.waiting * self.mean_prompt_tokens
        still_waiting = max(0.0, reported - prefill_rate * max(0.0, now - self.reported_at))
        return max(own, still_waiting + sent_since + self._peer_tokens(now, prefill_rate))

    def _peer_tokens(self, now: float, prefill_rate: float) -> float:
        """Return the tokens sent by other nodes since the report, less the tokens prefilled."""
        self.peer_work = [entry for entry in self.peer_work if entry.sent_at >= self.reported_at]
        if not self.peer_work:
            return 0.0
        tokens = sum(entry.pending_tokens for entry in self.peer_work)
        elapsed = now - self.peer_work[0].sent_at
        return max(0.0, tokens - prefill_rate * max(0.0, elapsed))

    def running(self) -> int:
        """Return the estimated number of requests at the back end, running and waiting."""
        sent_since = sum(1 for e in self.in_flight.values() if e.sent_at >= self.reported_at)
        reported = self.report.running + self.report.waiting
        return max(len(self.in_flight), reported + sent_since)


class Fleet:
    """All back ends known to this node.

    After a pause of the process the view may be out of date: no back end is given work until the
    view has been refreshed.
    """

    def __init__(self) -> None:
        self._backends: dict[str, Backend] = {}
        self._heartbeat_at: float | None = None
        self._is_current = True

    def heartbeat(self, now: float) -> bool:
        """Record that the process runs; return whether it has just resumed after a pause."""
        resumed = self._paused(now)
        self._heartbeat_at = now
        if resumed:
            self._is_current = False
        return resumed

    def refreshed(self) -> None:
        """Record that the view was refreshed after a pause, as far as that was possible."""
        self._is_current = True

    def leaving_notices(self) -> tuple[LeavingNotice, ...]:
        """Return notices of the back ends that are leaving, to be sent to other nodes."""
        leaving = (b for b in self._backends.values() if b.draining or b.machine.leaving)
        notices = [LeavingNotice(b.machine.machine_id, b.incarnation) for b in leaving]
        return tuple(notices[-MAX_LEAVING_NOTICES:])

    def observe_notices(self, notices: Iterable[LeavingNotice]) -> None:
        """Mark back ends as draining that another node reports as leaving."""
        for notice in notices:
            backend = self._backends.get(notice.machine_id)
            if backend is not None and backend.incarnation in ("", notice.incarnation):
                self.observe_draining(notice.machine_id)

    def _paused(self, now: float) -> bool:
        return self._heartbeat_at is not None and now - self._heartbeat_at > PAUSE_SECONDS

    def get(self, backend_id: str) -> Backend | None:
        """Return a back end by identifier."""
        return self._backends.get(backend_id)

    def all(self) -> list[Backend]:
        """Return all back ends."""
        return list(self._backends.values())

    def accepting(self, pool: str, now: float) -> list[Backend]:
        """Return the back ends of a pool that accept new work."""
        if not self._is_current or self._paused(now):
            return []
        return [
            backend
            for backend in self._backends.values()
            if backend.machine.pool == pool and backend.accepts_work(now)
        ]

    def update_machines(self, machines: Iterable[Machine]) -> list[str]:
        """Apply a machine list and return the identifiers of back ends that it no longer has.

        Draining marks from other sources are retained, since the list lags behind.
        """
        listed = {machine.machine_id: machine for machine in machines}
        for machine_id, machine in listed.items():
            backend = self._backends.get(machine_id)
            if backend is None or backend.machine.address != machine.address:
                self._backends[machine_id] = Backend(machine)
            else:
                backend.machine = machine
        removed = [machine_id for machine_id in self._backends if machine_id not in listed]
        for machine_id in removed:
            del self._backends[machine_id]
        return removed

    def observe_status(
        self, backend_id: str, incarnation: str, weights_version: int, draining: bool
    ) -> None:
        """Apply the status that a back end reports; a new incarnation is no longer draining."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return
        if backend.incarnation != incarnation:
            backend.incarnation = incarnation
            backend.draining = False
        backend.weights_version = weights_version
        backend.draining = backend.draining or draining
        backend.failures = 0
        backend.suspect_until = 0.0

    def observe_load(self, backend_id: str, report: LoadReport, now: float) -> None:
        """Apply a load report."""
        backend = self._backends.get(backend_id)
        if backend is not None:
            backend.report = report
            backend.reported_at = now

    def observe_failure(self, backend_id: str, now: float) -> None:
        """Suspect a back end for a time that doubles with each failure in a row."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return
        pause = min(MAX_SUSPECT_SECONDS, INITIAL_SUSPECT_SECONDS * 2.0**backend.failures)
        backend.failures += 1
        backend.suspect_until = now + pause

    def observe_draining(self, backend_id: str) -> None:
        """Mark a back end as draining, whichever source reports it first."""
        backend = self._backends.get(backend_id)
        if backend is not None:
            backend.draining = True

    def sent(self, backend_id: str, attempt_id: str, tokens: float, now: float) -> None:
        """Record an attempt that was sent, with its uncached prompt tokens."""
        backend = self._backends.get(backend_id)
        if backend is None:
            return
        backend.in_flight[attempt_id] = InFlight(tokens, now)
        change = MEAN_PROMPT_SMOOTHING * (tokens - backend.mean_prompt_tokens)
        backend.mean_prompt_tokens += change

    def sent_by_peer(self, backend_id: str, tokens: float, now: float) -> None:
        """Record work that another node reports as sent."""
        backend = self._backends.get(backend_id)
        if backend is not None:
            backend.peer_work.append(InFlight(tokens, now))

    def first_token(self, backend_id: str, attempt_id: str) -> None:
        """Record that an attempt's prefill is done."""
        backend = self._backends.get(backend_id)
        if backend is not None and attempt_id in backend.in_flight:
            backend.in_flight[attempt_id].pending_tokens = 0.0

    def finished(self, backend_id: str, attempt_id: str) -> None:
        """Record the end of an attempt."""
        backend = self._backends.get(backend_id)
        if backend is not None:
            backend.in_flight.pop(attempt_id, None)
