"""Applies the signals in runners' answers, and logs the runners that were skipped because of them.

Runners signal that they are leaving, ask for a backoff or announce a rate limit.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from hillstack.core.runner_limit import AnswerSource, RunnerLimit
from hillstack.core.runner_pool import Runner, RunnerPool
from hillstack.core.runner_signals import ReceivedSignals, RunnerSignals
from hillstack.logs import rounded_seconds
from hillstack.serving.metrics import FleetMetrics

logger = logging.getLogger(__name__)

LEAVING = "leaving"
BACKOFF = "backoff"
LIMIT = "limit"
BRITTLE = "brittle"
# Skipped runners of one attempt that are named in the log: all runners of a small service.
MAX_LOGGED_RUNNERS = 4
# Unknown header fields that are counted by name, and logged characters of their values. Both are
# bounded because an application may send any number of fields.
MAX_UNKNOWN_FIELDS = 32
MAX_VALUE_CHARACTERS = 64


class SignalReceiver:
    """Updates the runner pool with the signals in runners' answers.

    Args:
        pool: All runners.
        metrics: Counts signals.
        clock: Monotonic seconds.
        on_leaving: Called when a runner signals for the first time that it is leaving.
        on_limit: Called with the process and its limit when the announced limit changes or ends.
    """

    def __init__(
        self,
        pool: RunnerPool,
        metrics: FleetMetrics,
        clock: Callable[[], float],
        on_leaving: Callable[[Runner], None] = lambda _: None,
        on_limit: Callable[[str, RunnerLimit], None] = lambda _, limit: None,
    ) -> None:
        self._on_leaving = on_leaving
        self._on_limit = on_limit
        self._pool = pool
        self._metrics = metrics
        self._clock = clock
        self._unknown_fields: set[str] = set()

    def receive(self, runner_id: str, signals: RunnerSignals, source: AnswerSource) -> None:
        """Apply the signals in the head of a process's answer."""
        self._receive_limit(runner_id, signals.limit, source)
        self._receive_brittleness(runner_id, signals.rejections, source)
        if signals.leaving or signals.backoff_seconds > 0:
            self._receive_signals(runner_id, signals, str(source))

    def _receive_limit(self, runner_id: str, rate: float | None, source: AnswerSource) -> None:
        if rate is not None:
            self._metrics.runner_signals.labels(LIMIT).inc()
            self._metrics.limited_calls.labels(source.kind.value).inc()
        if not self._pool.apply_limit(runner_id, rate, source, self._clock()):
            return
        fields = {"runner": runner_id, "limit_per_second": rate, "source": str(source)}
        logger.info("runner limit" if rate is not None else "runner limit ended", extra=fields)
        limit = self._pool.limit_state(runner_id)
        if limit is not None:
            self._on_limit(runner_id, limit)

    def _receive_brittleness(
        self, runner_id: str, rejections: float | None, source: AnswerSource
    ) -> None:
        if rejections is not None:
            self._metrics.runner_signals.labels(BRITTLE).inc()
        if self._pool.apply_brittleness(runner_id, rejections, source, self._clock()):
            fields = {
                "runner": runner_id,
                "tolerated_rejections": rejections,
                "source": str(source),
            }
            is_brittle = rejections is not None
            logger.info("runner brittle" if is_brittle else "runner sound", extra=fields)

    def handle_unknown_field(self, runner_id: str, name: str, value: str) -> None:
        """Count a header field that is not known, and log the first one of each name."""
        if name not in self._unknown_fields:
            if len(self._unknown_fields) >= MAX_UNKNOWN_FIELDS:
                return
            self._unknown_fields.add(name)
            fields = {"runner": runner_id, "field": name, "value": value[:MAX_VALUE_CHARACTERS]}
            logger.info("unknown field in an answer", extra=fields)
        self._metrics.unknown_fields.labels(name).inc()

    def _receive_signals(self, runner_id: str, signals: RunnerSignals, source: str) -> None:
        if signals.leaving:
            self._metrics.runner_signals.labels(LEAVING).inc()
        if signals.backoff_seconds > 0:
            self._metrics.runner_signals.labels(BACKOFF).inc()
        if not self._pool.apply_signals(runner_id, signals, source, self._clock()):
            return
        fields = {
            "runner": runner_id,
            "leaving": signals.leaving,
            "backoff_seconds": signals.backoff_seconds,
            "source": source,
        }
        logger.info("runner signal", extra=fields)
        runner = self._pool.get(runner_id)
        if signals.leaving and runner is not None:
            self._on_leaving(runner)


def log_held_back(
    pool: RunnerPool, metrics: FleetMetrics, request_id: str, chosen: Runner, now: float
) -> None:
    """Count and log the runners that an attempt avoided, or was sent to in spite of a signal.

    Args:
        pool: All runners.
        metrics: Counts these runners.
        request_id: Identifier of the request.
        chosen: The runner that the attempt is sent to.
        now: Time on the node's clock.
    """
    held_back = [
        r
        for r in pool.restricted_runners(chosen.entry.service, now)
        if _active_signals(r.signals, now)
    ]
    if not held_back:
        return
    for runner in held_back:
        counter = metrics.despite_signals if runner is chosen else metrics.held_back
        for signal in _active_signals(runner.signals, now):
            counter.labels(signal).inc()
    fields: dict[str, object] = {
        "request": request_id,
        "runner": chosen.runner_id,
        "sent_despite": any(runner is chosen for runner in held_back),
        "held_back": [_signal_state(runner, now) for runner in held_back[:MAX_LOGGED_RUNNERS]],
        "count": len(held_back),
    }
    logger.info("runners held back", extra=fields)


def _active_signals(received: ReceivedSignals, now: float) -> list[str]:
    signals = []
    if received.is_leaving:
        signals.append(LEAVING)
    if received.remaining_backoff(now) > 0:
        signals.append(BACKOFF)
    if received.limit.in_force(now) is not None and now < received.limit.exhausted_until:
        signals.append(LIMIT)
    return signals


def _signal_state(runner: Runner, now: float) -> dict[str, object]:
    """Return the log fields of a runner's active signals, with their source and age."""
    received = runner.signals
    known: dict[str, object] = {"runner": runner.runner_id}
    if received.leaving_since is not None:
        known["leaving_since_seconds"] = rounded_seconds(now - received.leaving_since)
        known["leaving_source"] = received.leaving_source
    if received.remaining_backoff(now) > 0:
        known["backoff_left_seconds"] = rounded_seconds(received.remaining_backoff(now))
        known["backoff_asked_since_seconds"] = rounded_seconds(now - received.backoff_received_at)
        known["backoff_source"] = received.backoff_source
    limit = received.limit
    if limit.in_force(now) is not None:
        known["limit_per_second"] = limit.in_force(now)
        known["no_room_left_seconds"] = rounded_seconds(max(0.0, limit.exhausted_until - now))
        known["limit_since_seconds"] = rounded_seconds(now - limit.first_reported_at)
        known["limit_source"] = limit.source
    return known
