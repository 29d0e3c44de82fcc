"""Prometheus metrics of a router."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_TOKEN_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.39, 0.8, 1.5, 3, 6, 12, 30)


class RouterMetrics:
    """All metrics of one router, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "hillstack_requests",
            "Requests by kind and result.",
            ["kind", "result"],
            registry=registry,
        )
        self.refusals = Counter(
            "hillstack_refusals",
            "Requests not admitted, by reason.",
            ["reason"],
            registry=registry,
        )
        self.attempts = Counter(
            "hillstack_attempts", "Attempts sent to back ends.", ["kind"], registry=registry
        )
        self.resumes = Counter(
            "hillstack_resumes", "Streams resumed on another engine.", registry=registry
        )
        self.crossed_answers = Counter(
            "hillstack_crossed_answers",
            "Answers discarded as another request's.",
            registry=registry,
        )
        self.prompt_tokens = Counter(
            "hillstack_prompt_tokens", "Prompt tokens of finished requests.", registry=registry
        )
        self.cached_tokens = Counter(
            "hillstack_cached_tokens", "Prompt tokens that engines had cached.", registry=registry
        )
        self.expected_cached_tokens = Counter(
            "hillstack_expected_cached_tokens",
            "Prompt tokens believed cached at dispatch.",
            registry=registry,
        )
        self.time_to_first_token = Histogram(
            "hillstack_time_to_first_token_seconds",
            "From arrival to the first piece sent.",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=registry,
        )
        self.bundle_version = Gauge(
            "hillstack_bundle_version", "Bundle version in force.", registry=registry
        )
        self.members = Gauge(
            "hillstack_members", "Other nodes by state.", ["state"], registry=registry
        )
        self.cached_blocks = Gauge(
            "hillstack_believed_blocks", "Blocks believed cached on engines.", registry=registry
        )
        self.claims = Gauge("hillstack_claims", "Claims kept here.", registry=registry)
        self.gossip_sent_bytes = Gauge(
            "hillstack_gossip_sent_bytes",
            "Bytes of gossip sent since the start.",
            registry=registry,
        )
        self.open_requests = Gauge(
            "hillstack_open_requests", "Requests being served.", registry=registry
        )
