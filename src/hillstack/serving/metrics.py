"""Prometheus metrics of a node."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

# Cover the objectives of 0.4 to 0.8 s and the deadlines of 3 to 15 s of known deployments.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.5, 3, 6, 12)
# Cover the allowed pauses of 0.5 and 0.6 s between two events.
PAUSE_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1, 2, 4)

# Tenants with their own label. Each label costs some kilobytes of memory, too much for thousands of
# tenants; the remaining tenants share one label.
MAX_TENANT_LABELS = 32
# Versions of all services with their own label; the remaining versions share one label.
MAX_VERSION_LABELS = 64
OTHER_VERSIONS = ("other", "other")


class FleetMetrics:
    """All metrics of one node, in a separate registry."""

    def __init__(self) -> None:
        self._tenant_labels: set[str] = set()
        self._version_labels: set[tuple[str, str]] = set()
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests by result.", "result")
        self.attempts = self._counter("attempts", "Attempts by outcome.", "outcome")
        self.cut_answers = self._counter(
            "cut_answers", "Answers that ended in the middle, by cause.", "cause"
        )
        self.tokens = self._counter("prompt_tokens", "Prompt tokens sent, by source.", "source")
        self.limited = Counter(
            "hillstack_limited_requests",
            "Requests of tenants with a limit.",
            ["tenant", "result"],
            registry=self.registry,
        )
        self.limit_use = self._counter(
            "limit_use", "What requests took out of the limit of their tenant.", "tenant"
        )
        self.borrowed = self._counter(
            "borrowed_runners", "Attempts sent to another region, by reason.", "reason"
        )
        self.fetches = self._counter("cache_fetches", "Fetches of cached parts.", "distance")
        self.store_errors = self._counter("store_errors", "Failed calls to the store.", "step")
        self._task_failures = self._counter(
            "background_task_failures", "Failures of tasks that run beside requests.", "task"
        )
        self.unframed_answers = self._counter(
            "unframed_answers", "Answers of runners that ended with their connection.", "end"
        )
        self.orders = self._counter("weights_orders", "Orders for weights by outcome.", "outcome")
        self.unreadable_items = Counter(
            "hillstack_unreadable_items",
            "Items of the store that can't be read, once each revision.",
            registry=self.registry,
        )
        self.store_restores = Counter(
            "hillstack_store_restores",
            "Times that the store came back from an older copy of itself.",
            registry=self.registry,
        )
        self.suspended = Counter(
            "hillstack_suspended_seconds",
            "Time for which the machine was suspended.",
            registry=self.registry,
        )
        self.older_weights = self._counter(
            "older_weights_begins",
            "Requests that began on weights older than the newest, by whether it was too late.",
            "when",
        )
        self.runner_ends = self._counter(
            "runner_ends",
            "Runners that ended under requests, and what became of these requests.",
            "event",
        )
        self.runner_signals = self._counter(
            "runner_signals",
            "Answers in which runners say that they leave, ask for a backoff or name a limit.",
            "signal",
        )
        self.limited_calls = self._counter(
            "limited_calls", "Answers of runners that name a limit, by what was asked.", "asked"
        )
        self.unknown_fields = self._counter(
            "unknown_answer_fields", "Header fields of runners' answers that nobody reads.", "field"
        )
        self.limited_attempts = self._counter(
            "limited_attempts", "Attempts asked of the limits that runners name.", "result"
        )
        self.places = self._counter(
            "places", "Places asked for at brittle runners, by answer.", "answer"
        )
        self.held_back = self._counter(
            "held_back_runners",
            "Runners that an attempt was kept from, by what they said of themselves.",
            "signal",
        )
        self.despite_signals = self._counter(
            "attempts_despite_signals",
            "Attempts sent to a runner that leaves, or within a backoff that it asked for.",
            "signal",
        )
        self.dials = self._counter(
            "runner_connections", "Connections to runners through peers, by outcome.", "outcome"
        )
        self.relayed_connections = self._counter(
            "relayed_connections", "Other nodes' requests to relay a connection.", "answer"
        )
        self.discarded_answers = self._counter(
            "discarded_answers",
            "Answers of runners that did not belong to the request, by what they named.",
            "named",
        )
        self.run_close = self._histogram(
            "run_close_seconds",
            "From the decision to leave an unfinished run to the close of its connection.",
            LATENCY_BUCKETS,
        )
        self.first_event = self._histogram(
            "first_event_seconds", "From arrival to the first event.", LATENCY_BUCKETS
        )
        self.answer = self._histogram(
            "answer_seconds", "From arrival to the end of the answer.", LATENCY_BUCKETS
        )
        self.longest_pause = self._histogram(
            "longest_pause_seconds", "Longest pause between two events of a stream.", PAUSE_BUCKETS
        )

        self._version_attempts = self._version_counter(
            "version_attempts", "Attempts during rollouts that were the runner's own doing."
        )
        self._version_failures = self._version_counter(
            "version_failures", "Those of them that ended badly."
        )
        self._canary_sends = self._version_counter(
            "canary_sends", "Requests sent to versions that are not trusted yet."
        )
        self._exposure_left = Gauge(
            "hillstack_exposure_left",
            "Requests that this node may still send to a version that is not trusted yet.",
            ["service", "version"],
            registry=self.registry,
        )
        self.rollout_stage = Gauge(
            "hillstack_rollout_stage",
            "Stage of the rollout that this node follows: 1 for that one, else 0.",
            ["service", "stage"],
            registry=self.registry,
        )

        self.start = Gauge(
            "hillstack_start_seconds",
            "From the program's beginning to the end of a phase of its start.",
            ["phase"],
            registry=self.registry,
        )

    def count_task_failure(self, task: str) -> None:
        """Count a failure of a background task."""
        self._task_failures.labels(task).inc()

    def count_limited(self, tenant: str, cost: float, *, admitted: bool) -> None:
        """Count a request of a tenant that has a limit."""
        label = self._tenant_label(tenant)
        self.limited.labels(label, "admitted" if admitted else "refused").inc()
        if admitted:
            self.limit_use.labels(label).inc(cost)

    def count_outcome(self, service: str, version: str, *, failed: bool) -> None:
        """Count an attempt at a runner of a service under a rollout."""
        labels = self._version_label(service, version)
        self._version_attempts.labels(*labels).inc()
        if failed:
            self._version_failures.labels(*labels).inc()

    def count_canary(self, service: str, version: str) -> None:
        """Count a request sent to a version that is not trusted yet."""
        self._canary_sends.labels(*self._version_label(service, version)).inc()

    def set_exposure_left(self, service: str, version: str, left: float) -> None:
        """Set how many requests may still be sent to a version that is not trusted yet."""
        self._exposure_left.labels(*self._version_label(service, version)).set(left)

    def _version_label(self, service: str, version: str) -> tuple[str, str]:
        label = service, version
        if label not in self._version_labels:
            if len(self._version_labels) >= MAX_VERSION_LABELS:
                return OTHER_VERSIONS
            self._version_labels.add(label)
        return label

    def _version_counter(self, name: str, text: str) -> Counter:
        labels = ["service", "version"]
        return Counter(f"hillstack_{name}", text, labels, registry=self.registry)

    def count_regions(
        self, borrowed: str | None, fetch_from: str | None, is_cross_region: bool
    ) -> None:
        """Count an attempt at a runner of another region, and a fetch of cached parts.

        Args:
            borrowed: Why a runner of another region was chosen; None for one of the local region.
            fetch_from: Address from which parts are fetched; None for no fetch.
            is_cross_region: Whether the parts are fetched from another region.
        """
        if borrowed is not None:
            self.borrowed.labels(borrowed).inc()
        if fetch_from is not None:
            self.fetches.labels("other region" if is_cross_region else "own region").inc()

    def _tenant_label(self, tenant: str) -> str:
        if tenant not in self._tenant_labels:
            if len(self._tenant_labels) >= MAX_TENANT_LABELS:
                return "other"
            self._tenant_labels.add(tenant)
        return tenant

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read whenever the metrics are requested."""
        Gauge(f"hillstack_{name}", text, registry=self.registry).set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, text: str, label: str) -> Counter:
        return Counter(f"hillstack_{name}", text, [label], registry=self.registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(f"hillstack_{name}", text, buckets=buckets, registry=self.registry)
