"""A request in the pipeline, its attempts, and the log fields of the attempts."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from hillstack.core.routing_table import Route, TenantEntry
from hillstack.core.runner_pool import Runner
from hillstack.core.store_revision import StoreRevision
from hillstack.core.weights_versions import WeightsVersions
from hillstack.serving.attempt_monitor import UNMONITORED, AttemptMonitor
from hillstack.serving.event_framing import EventFraming
from hillstack.serving.permitted_sends import PermittedSends
from hillstack.serving.types import (
    CutCause,
    Dispatch,
    HeaderList,
    RejectedError,
    RunnerRefusedError,
    ServingRequest,
    StreamCutError,
    Verdict,
)
from hillstack.serving.weights_log import bound_fields

logger = logging.getLogger(__name__)

# Sends of one request, refused ones included: each costs some ms and a unit of the retry budget.
MAX_SENDS = 4
# Further sends of a stream whose run this node has abandoned.
MAX_TAKE_UP_SENDS = 3
# Retry delay for a request that a stopping node rejects: another node accepts it immediately.
STOPPING_RETRY_SECONDS = 0.05
# Why an answer that has begun is cut, by the verdict on its request.
CUT_CAUSES = {
    Verdict.FAILED: CutCause.FAILED,
    Verdict.TIMED_OUT: CutCause.TIMED_OUT,
    Verdict.UNAVAILABLE: CutCause.NO_ATTEMPT,
}
# Retry delay if it is unknown when a runner will accept work: loading weights or a restart is over
# by then.
NO_RUNNER_RETRY_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class PlacedAttempt:
    """A runner chosen for an attempt, and the costs that placement expects.

    Attributes:
        delay: Expected seconds to the first event.
        waiting: Part of the delay that is not the request's own work: time behind other requests,
            and penalties for a recent refusal, full slots or memory, and another zone.
        prefill_tokens: Prompt tokens that the runner will prefill.
        matched_tokens: Prompt tokens that are cached at the runner, by estimate.
        repeated_tokens: Tokens of the prefill that another runner has prefilled or is prefilling.
        borrowed: Why a runner of another region was chosen; None for a runner of the local region.
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
    """A complete answer of a runner, ready to be passed on to the caller."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(slots=True, eq=False)
class Job:
    """A request in the pipeline.

    Attributes:
        sends: Attempts sent, including refused ones.
        runs: Attempts sent, without those that runners refused; limited by the route's
            ``max_attempts``.
        max_sends: How many attempts may be sent; more for a stream that waits for a runner.
        has_claimed_retry: Whether the next attempt was taken from the retry budget.
        waits: How often a stream that had begun has waited for a runner.
        charged_cost: Cost charged to the tenant's limit.
        may_have_run: Whether some runner may have started to run the request.
        silent_since: Time from which the connection of the current attempt counts as silent: when
            the last bytes arrived, or when the first bytes are overdue.
        excluded: Runners that the next attempt is not sent to: those already tried, unless they may
            accept the request now. While a runner is chosen, at first also those that are leaving
            according to peers (``RunnerPlacement.choose``).
        leaving: Those of the excluded runners that were not tried, but leave according to peers.
        failure: How the latest failed attempt failed; empty if none has.
        has_abandoned_run: Whether this node abandoned the latest run that failed.
        returns_to: Runner that the next attempt is sent to if it accepts the request; None for any.
        failure_answer: Failure answer of a runner, received before another runner was tried; passed
            on if no other runner answers.
        time_limit: Timeout after which work on the request ends.
        has_waited: Whether the request has waited for a runner's backoff to end; it waits at most
            once.
        sent_at: When the latest attempt was sent.
        received_at: When bytes last arrived on the connection of the latest attempt, or when the
            attempt was sent.
        answering_since: When the first bytes of the latest attempt's answer arrived; None before.
        fingerprint: Identifies the request across all tries of its caller; None until first used.
        content: Hash of path, tenant and body, which all requests of one content share; None until
            first used.
        suspect_rank: Rank among all requests that may have crashed a runner; None if the request is
            not suspected.
        trial_send: Value of ``sends`` at which one more send is allowed although the request has
            crashed so many runners that it is refused; None if none is allowed.
        permitted: The sends under permits, and the crashes, that its ledger does not contain yet.
        part_names: Names of the parts of its prompt; None until first used.
        part_permits: The sends under permits for a suspected part, by the name of the part.
        answer_ready: Whether the whole answer has been received and is being delivered.
        is_fatal: Whether the request was found to crash runners and was aborted for this reason.
        is_ending: Whether the request is given up because the process is about to end.
        canary_decided_for: Rollout order under which it was decided whether this is a canary.
        is_canary: Whether the next attempt goes to a version that is not trusted yet.
        software: Version of the runner that brought the first event of the stream, to which all
            further attempts are restricted; None before, and for other requests.
        sent_software: Version of the runner of the current attempt when the attempt was sent.
        watch: Monitors the current attempt, as evidence for a rollout.
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
    max_sends: int = MAX_SENDS
    has_claimed_retry: bool = False
    waits: int = 0
    charged_cost: float = 0.0
    may_have_run: bool = False
    head_sent: bool = False
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_gap: float = 0.0
    silent_since: float = 0.0
    excluded: set[str] = field(default_factory=set)
    leaving: set[str] = field(default_factory=set)
    returns_to: str | None = None
    failure: str = ""
    has_abandoned_run: bool = False
    failure_answer: WholeAnswer | None = None
    time_limit: asyncio.Timeout | None = None
    has_waited: bool = False
    sent_at: float = 0.0
    received_at: float = 0.0
    answering_since: float | None = None
    fingerprint: int | None = None
    content: int | None = None
    suspect_rank: int | None = None
    trial_send: int | None = None
    permitted: PermittedSends = field(default_factory=PermittedSends)
    part_names: tuple[int, ...] | None = None
    part_permits: dict[int, PermittedSends] = field(default_factory=dict)
    answer_ready: bool = False
    is_fatal: bool = False
    is_ending: bool = False
    canary_decided_for: StoreRevision | None = None
    is_canary: bool = False
    software: str | None = None
    sent_software: str = ""
    watch: AttemptMonitor = UNMONITORED

    @property
    def tenant_name(self) -> str:
        """Name of the tenant; empty without a tenant."""
        return self.tenant.name if self.tenant is not None else ""

    def extend_until(self, when: float, now: float) -> None:
        """Extend the time limit to a time on the node's clock; never shorten it."""
        if self.is_ending or self.time_limit is None or self.time_limit.expired():
            return
        loop_when = asyncio.get_running_loop().time() + when - now
        ends_at = self.time_limit.when()
        if ends_at is not None and ends_at < loop_when:
            self.time_limit.reschedule(loop_when)

    @property
    def is_suspect(self) -> bool:
        """Whether the request may have crashed a runner."""
        return self.suspect_rank is not None

    def expire_now(self) -> None:
        """End work on the request immediately, as at its deadline."""
        if self.time_limit is not None and not self.time_limit.expired():
            self.time_limit.reschedule(asyncio.get_running_loop().time())

    def may_run_again(self) -> bool:
        """Return whether another runner may run the request after one may have run it."""
        return self.route.repeatable and self.runs < self.route.max_attempts

    def note_bytes(self, now: float) -> None:
        """Record that bytes arrived on the connection of the current attempt."""
        self.silent_since = max(self.silent_since, now)
        self.received_at = now

    def note_event(self, now: float) -> bool:
        """Record that events were passed on; return whether they are the first ones."""
        first = self.first_event_at is None
        if first:
            self.first_event_at = now
        if self.last_event_at is not None:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        return first

    def give_up_error(
        self, verdict: Verdict, reason: str, retry_after: float | None = None
    ) -> RejectedError | StreamCutError:
        """Return the error that ends the request.

        A request that may have run ends as timed out if that is the given verdict, and as failed
        with any other. A request that certainly has not run ends as unavailable, whatever the
        verdict; a request that timed out after a send counts as one that may have run.

        Args:
            verdict: Why work on the request ends.
            reason: Text for people.
            retry_after: Seconds until a runner is expected to accept work; None if not known.
        """
        if self.head_sent:
            return StreamCutError(reason, step="relay", cause=CUT_CAUSES[verdict])
        if self.may_have_run or (verdict is Verdict.TIMED_OUT and self.sends):
            final = Verdict.TIMED_OUT if verdict is Verdict.TIMED_OUT else Verdict.FAILED
            return RejectedError(final, reason, step="attempt")
        wait = NO_RUNNER_RETRY_SECONDS if retry_after is None else retry_after
        return RejectedError(Verdict.UNAVAILABLE, reason, step="place", retry_after=wait)

    def stopping_error(self) -> RejectedError | StreamCutError:
        """Return the error that ends the request because the process is about to end."""
        # An attempt under way may have run.
        self.may_have_run = self.may_have_run or self.runs > 0
        reason = "the node stops"
        return self.give_up_error(Verdict.UNAVAILABLE, reason, STOPPING_RETRY_SECONDS)


def attempt_fields(job: Job, placed: PlacedAttempt, dispatch: Dispatch) -> dict[str, object]:
    """Return the log fields of an attempt that is being sent."""
    shape = job.request.shape
    return {
        "request": job.request.request_id,
        "route": job.route.name,
        "part": shape.shared[-1].part_id if shape is not None and shape.shared else None,
        "attempt": job.sends,
        "runner": placed.runner.runner_id,
        "software": placed.runner.entry.software,
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
    """Return the log fields of an attempt on older weights; None if the weights are the newest."""
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


def log_refusal(job: Job, runner: Runner, error: RunnerRefusedError) -> None:
    """Log the end of an attempt that was not run, with what proved that it was not."""
    outcome = f"not run: {error.cause}"
    log_outcome(job, runner, outcome, error.weights_version, proof=f"{error.step}: {error.message}")


def log_outcome(
    job: Job, runner: Runner, outcome: str, weights: int = 0, proof: str | None = None
) -> None:
    """Log the end of an attempt."""
    fields: dict[str, object] = {
        "request": job.request.request_id,
        "attempt": job.sends,
        "runner": runner.runner_id,
        "outcome": outcome,
    }
    if weights:
        fields["weights"] = weights
    if proof is not None:
        fields["proof"] = proof
    if job.first_event_at is not None:
        fields["first_event_ms"] = round((job.first_event_at - job.request.arrived_at) * 1000, 1)
        fields["longest_gap_ms"] = round(job.longest_gap * 1000, 1)
    logger.info("attempt ended", extra=fields)
