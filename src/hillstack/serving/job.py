"""A request on its way through the pipeline, and what the log tells of its attempts."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from hillstack.core.routing_table import Route, TenantEntry
from hillstack.core.runner_pool import Runner
from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_versions import WeightsVersions
from hillstack.serving.attempt_watch import NOT_WATCHED, AttemptWatch
from hillstack.serving.event_framing import EventFraming
from hillstack.serving.types import (
    Dispatch,
    HeaderList,
    RejectedError,
    ServingRequest,
    StreamCutError,
    Verdict,
)
from hillstack.serving.weights_log import bound_fields

logger = logging.getLogger(__name__)

# Where nothing is known of when a runner takes work: a load of weights, or a restart, is over by
# then.
NO_RUNNER_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PlacedAttempt:
    """A runner for an attempt, and what placement expects of it.

    Attributes:
        borrowed: Why the runner is one of another region; None if it is not.
        fetches_across: Whether cached parts are fetched from another region.
    """

    runner: Runner
    delay: float = 0.0
    waiting: float = 0.0
    prefill_tokens: int = 0
    matched_tokens: int = 0
    repeated_tokens: int = 0
    salt: str | None = None
    weights_version: int | None = None
    fetch_from: str | None = None
    save_to: str | None = None
    borrowed: str | None = None
    fetches_across: bool = False


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer of a runner, complete and ready to be passed on."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(slots=True)
class Job:
    """A request on its way.

    Attributes:
        charged: What was taken out of its tenant's limit for it.
        may_have_run: Whether some runner may have begun work on it.
        quiet_from: From when on silence counts on the connection of its attempt: its last bytes, or
            when the first ones should surely be there.
        excluded: Runners that are not tried again.
        runner_failure: What a runner answered before another one was tried; it is passed on if no
            other one answers.
        time_limit: When work on it ends.
        has_waited: Whether it has waited for a runner's backoff to end; it does so once.
        sent_at: When its latest attempt was sent.
        answering_since: When the first bytes of that attempt's answer came; None before.
        fingerprint: Names it over all tries of its caller; None until somebody asks.
        content: Its content name, shared with all of the same path, tenant and body; None until
            somebody asks.
        suspect_rank: Its place among all that may have ended a runner; None if it is none of them.
        trial_send: Number of sends before the one that it may do though so many runners ended under
            it that it is refused; None if it may do none.
        answer_ready: Whether its whole answer is there and is being delivered.
        is_fatal: Whether it was found to end runners while it ran, and was ended for that.
        versions_of: Order of a rollout under which it was decided which version it may use.
        is_canary: Whether its next attempt goes to a version that is not trusted yet.
        watch: Notes how its attempt fares, for the judgement of a rollout.
    """

    request: ServingRequest
    route: Route
    service: str
    tenant: TenantEntry | None
    priority: int
    deadline: float
    framing: EventFraming
    sends: int = 0
    runs: int = 0
    charged: float = 0.0
    may_have_run: bool = False
    head_sent: bool = False
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0
    quiet_from: float = 0.0
    excluded: set[str] = field(default_factory=set)
    runner_failure: WholeAnswer | None = None
    time_limit: asyncio.Timeout | None = None
    has_waited: bool = False
    sent_at: float = 0.0
    answering_since: float | None = None
    fingerprint: int | None = None
    content: int | None = None
    suspect_rank: int | None = None
    trial_send: int | None = None
    answer_ready: bool = False
    is_fatal: bool = False
    versions_of: StoreRevision | None = None
    is_canary: bool = False
    watch: AttemptWatch = NOT_WATCHED

    @property
    def tenant_name(self) -> str:
        """Name of its tenant; empty without one."""
        return self.tenant.name if self.tenant is not None else ""

    def allow_until(self, when: float, now: float) -> None:
        """Let work on it go on until a time on the node's clock, if it would end sooner."""
        if self.time_limit is None or self.time_limit.expired():
            return
        loop_when = asyncio.get_running_loop().time() + when - now
        ends_at = self.time_limit.when()
        if ends_at is not None and ends_at < loop_when:
            self.time_limit.reschedule(loop_when)

    @property
    def is_suspect(self) -> bool:
        """Whether it may have ended a runner."""
        return self.suspect_rank is not None

    def end_now(self) -> None:
        """End work on it as its deadline would."""
        if self.time_limit is not None and not self.time_limit.expired():
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def may_run_again(self) -> bool:
        """Return whether another runner may run it, although one may have."""
        return self.route.repeatable and self.runs < self.route.max_attempts

    def note_bytes(self, now: float) -> None:
        """Note that the connection of its attempt lives."""
        self.quiet_from = max(self.quiet_from, now)

    def note_event(self, now: float) -> bool:
        """Note that events were passed on; return whether they are the first ones."""
        first = self.first_event_at is None
        if first:
            self.first_event_at = now
        if self.last_event_at is not None:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        return first

    def gave_up(
        self, verdict: Verdict, reason: str, retry_after: float | None = None
    ) -> RejectedError | StreamCutError:
        """Return the error that ends it: a promise only if nothing may have run.

        Args:
            verdict: Why it ends, if it may have run.
            reason: The same for a person.
            retry_after: Seconds until a runner is expected to take work; None if not known.
        """
        if self.head_sent:
            return StreamCutError(reason, step="relay")
        if self.may_have_run or (verdict is Verdict.TIMED_OUT and self.sends):
            final = Verdict.TIMED_OUT if verdict is Verdict.TIMED_OUT else Verdict.FAILED
            return RejectedError(final, reason, step="attempt")
        wait = NO_RUNNER_RETRY_SECONDS if retry_after is None else retry_after
        return RejectedError(Verdict.UNAVAILABLE, reason, step="place", retry_after=wait)


def attempt_fields(job: Job, placed: PlacedAttempt, dispatch: Dispatch) -> dict[str, object]:
    """Return the log fields of an attempt that is being sent."""
    shape = job.request.shape
    return {
        "request": job.request.request_id,
        "route": job.route.name,
        "part": shape.shared[-1].part_id if shape is not None and shape.shared else None,
        "attempt": job.sends,
        "runner": placed.runner.runner_id,
        "delay_ms": round(placed.delay * 1000, 1),
        "prefill": placed.prefill_tokens,
        "cached": placed.matched_tokens,
        "repeated": placed.repeated_tokens,
        "fetch": dispatch.fetch_from,
        "save": dispatch.save_to,
        "borrowed": placed.borrowed,
        "fetches_across": placed.fetches_across,
        "weights": dispatch.weights_version,
        "out": shape.output_tokens if shape is not None else 0,
        "left_ms": round(dispatch.remaining_seconds * 1000),
    }


def older_weights_fields(
    job: Job, placed: PlacedAttempt, versions: WeightsVersions, now: float
) -> dict[str, object] | None:
    """Return the log fields of an attempt on weights older than the newest; None if it is not."""
    model = job.request.model
    if placed.weights_version is None:
        return None
    following = versions.superseding(model, placed.weights_version)
    if following is None:
        return None
    return {
        "request": job.request.request_id,
        "attempt": job.sends,
        "runner": placed.runner.runner_id,
        "weights": placed.weights_version,
        "superseded_by": following.version,
        "newest": versions.newest(model),
        **bound_fields(following, versions.grace, now),
    }


def log_outcome(job: Job, runner: Runner, outcome: str, weights: int = 0) -> None:
    """Log the end of an attempt."""
    fields: dict[str, object] = {
        "request": job.request.request_id,
        "attempt": job.sends,
        "runner": runner.runner_id,
        "outcome": outcome,
    }
    if weights:
        fields["weights"] = weights
    if job.first_event_at is not None:
        fields["first_event_ms"] = round((job.first_event_at - job.request.arrived_at) * 1000, 1)
        fields["longest_gap_ms"] = round(job.longest_gap * 1000, 1)
    logger.info("attempt ended", extra=fields)
