"""Serves one request: admission, tenant limit, placement, attempts, relay of the answer, outcome.

The pipeline tracks whether a request may have run. Only a request that certainly has not run is
refused with the promise that it has not, and only such a request is sent again if it may run at
most once.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import asdict

from hillstack.core.overload import overload_retry_after
from hillstack.core.routing_table import RouteKind
from hillstack.core.runner_pool import Runner
from hillstack.errors import BackendBrokenError, ConnectionLostError
from hillstack.serving.abandoned_answers import end_attempt
from hillstack.serving.admission import RequestAdmission
from hillstack.serving.backoff_waits import BackoffWaits
from hillstack.serving.begin_bounds import CHECK_SECONDS
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import (
    Job,
    PlacedAttempt,
    WholeAnswer,
    attempt_fields,
    log_outcome,
    log_refusal,
    older_weights_fields,
)
from hillstack.serving.metrics import FleetMetrics
from hillstack.serving.placement import RunnerPlacement
from hillstack.serving.ports import (
    AttemptObserver,
    NoObserver,
    ResponseSink,
    RunnerAnswer,
    RunnerClient,
    TenantLimiter,
)
from hillstack.serving.request_ends import RequestEnds
from hillstack.serving.returning_requests import choose_runner, note_failed_run
from hillstack.serving.run_supervision import MIN_REMAINING_SECONDS, RunSupervisor
from hillstack.serving.runner_crashes import RunnerCrashMonitor
from hillstack.serving.runner_limits import RunnerLimits
from hillstack.serving.signal_receiver import log_held_back
from hillstack.serving.stream_continuation import wait_for_attempt
from hillstack.serving.stream_versions import StreamVersions
from hillstack.serving.types import (
    SERVER_ERROR,
    SUCCESS,
    AttemptAbandonedError,
    CutCause,
    Dispatch,
    RefusalCause,
    RejectedError,
    RunnerRefusedError,
    ServingRequest,
    StreamCutError,
    Verdict,
)

logger = logging.getLogger(__name__)

# A timer may fire this much early, while the backoff is still in effect.
BACKOFF_END_MARGIN_SECONDS = 0.002
# An answer that a runner completes at the deadline is accepted this much later: twice the one-way
# latency between regions, which is 8 to 20 ms on known deployments.
DEADLINE_TRANSIT_SECONDS = 0.05
# Extra time for the body once the head of a complete answer has arrived, in case a packet is lost:
# the minimum retransmission timeout of TCP.
BODY_TRANSIT_SECONDS = 0.2
# How long a caller may take to read an answer that is ready, also past its deadline: ten
# retransmissions of a lost packet. A slower caller occupies memory, so its connection is cut.
DELIVERY_SECONDS = 2.0


class RequestPipeline:
    """Serves requests of one node.

    Args:
        state: State of the node.
        client: Sends attempts to runners.
        placement: Chooses runners.
        clock: Monotonic seconds.
        limiter: Enforces the rate limits of tenants.
        metrics: Counts results and latencies.
        observer: Observes attempts during a rollout; None to observe nothing.
        runner_limits: Enforces the rate limits that runners announce; None to ignore them.
        streams: Keeps streams at the version that began them; None to take up any stream.
    """

    def __init__(
        self,
        state: FleetState,
        client: RunnerClient,
        placement: RunnerPlacement,
        clock: Callable[[], float],
        limiter: TenantLimiter,
        metrics: FleetMetrics | None = None,
        observer: AttemptObserver | None = None,
        runner_limits: RunnerLimits | None = None,
        streams: StreamVersions | None = None,
    ) -> None:
        self._streams = streams
        self._runner_limits = runner_limits
        self._limiter = limiter
        self._observer = observer or NoObserver()
        self._metrics = metrics or FleetMetrics()
        self._state = state
        self._client = client
        self._placement = placement
        self._clock = clock
        self._admission = RequestAdmission(state, clock)
        self._ends = RequestEnds(state, self._metrics, clock)
        self._supervisor = RunSupervisor(state, placement, clock)
        self._backoff_waits = BackoffWaits(state, placement)
        self.runner_crashes = RunnerCrashMonitor(state, placement, clock, self._metrics)
        self.active = 0
        self._jobs: set[Job] = set()

    @property
    def waiting(self) -> int:
        """Requests being served whose answer has not begun."""
        return sum(not job.head_sent for job in self._jobs)

    def stop_accepting(self) -> None:
        """Reject all further requests, because the node is shutting down."""
        self._admission.stop_accepting()

    def end_waiting(self) -> None:
        """Answer all requests whose answer has not begun, because the process is about to end."""
        for job in self._jobs:
            if not job.head_sent:
                job.is_ending = True
                job.expire_now()

    async def serve(self, request: ServingRequest, sink: ResponseSink) -> None:
        """Serve a request.

        Raises:
            RejectedError: The router answers the request itself.
            StreamCutError: The answer has begun and can't be completed.
        """
        self.active += 1
        result = "error"
        job: Job | None = None
        try:
            await self._state.start_gate.wait_for_first_read(_useful_patience(request))
            job = self._admission.admit(request)
            await self._run(job, sink)
            result = "served"
        except RejectedError as error:
            result = error.verdict.value
            self._ends.rejected(request, error)
            raise
        except StreamCutError as error:
            result = "cut"
            assert job is not None
            self._ends.cut(job, error)
            raise
        except asyncio.CancelledError:
            result = "left"
            self._ends.left(request, accepting=self._admission.is_accepting)
            raise
        except Exception:
            logger.exception("request failed", extra={"request": request.request_id})
            raise
        finally:
            self.active -= 1
            self._metrics.requests.labels(result).inc()
            self._metrics.answer.observe(self._clock() - request.arrived_at)

    async def _run(self, job: Job, sink: ResponseSink) -> None:
        self._jobs.add(job)
        try:
            await self._run_in_time(job, sink)
        except RejectedError:
            if job.failure_answer is None:
                raise
            await self._deliver_failure(job, job.failure_answer, sink)
        finally:
            self._jobs.discard(job)

    async def _deliver_failure(self, job: Job, answer: WholeAnswer, sink: ResponseSink) -> None:
        """Pass on the failure answer of a runner after all other attempts have failed."""
        job.time_limit = None
        try:
            async with asyncio.timeout(DELIVERY_SECONDS):
                await self._deliver(job, answer, sink)
        except TimeoutError:
            text = "the caller does not read its answer"
            raise StreamCutError(text, step="relay", cause=CutCause.UNREAD) from None

    async def _run_in_time(self, job: Job, sink: ResponseSink) -> None:
        try:
            async with asyncio.timeout(max(0.0, job.deadline - self._clock())) as job.time_limit:
                await self.runner_crashes.check(job)
                if self._streams is not None:
                    await self._streams.restrict(job)
                await self._charge_tenant_limit(job)
                if not self._state.start_gate.caches_known:
                    # Peers report runner crashes to a node that has just started before they report
                    # cached parts, so requests known to be fatal are known by then.
                    await self._state.start_gate.wait_for_caches()
                    await self.runner_crashes.check(job)
                await self._attempt_until_done(job, sink)
        except TimeoutError:
            if job.is_fatal:
                raise self.runner_crashes.fatal_error(job) from None
            if job.is_ending:
                raise job.stopping_error() from None
            raise job.give_up_error(Verdict.TIMED_OUT, "the deadline passed") from None
        finally:
            self.runner_crashes.ended(job)
            if job.charged_cost and not job.runs and not job.may_have_run:
                self._limiter.give_back(job.tenant_name, job.charged_cost)

    async def _charge_tenant_limit(self, job: Job) -> None:
        """Charge a request to its tenant's limit, or reject it if the limit is exhausted."""
        limit = job.tenant.limit if job.tenant is not None else None
        if limit is None:
            return
        cost = limit.cost(job.request.tokens)
        wait = await self._limiter.take(job.tenant_name, limit, cost, job.route.priority)
        self._metrics.count_limited(job.tenant_name, cost, admitted=wait <= 0)
        if wait <= 0:
            job.charged_cost = cost
            return
        text = f"over the limit of {job.tenant_name}: {cost:.0f} {limit.unit} have no room"
        raise RejectedError(Verdict.OVER_LIMIT, text, step="limit", retry_after=wait)

    async def _attempt_until_done(self, job: Job, sink: ResponseSink) -> None:
        while True:
            await self.runner_crashes.prepare_send(job)
            try:
                placed = await self._place(job)
            except StreamCutError as error:
                await wait_for_attempt(job, error)
                continue
            job.sends += 1
            job.has_claimed_retry = False
            try:
                done = await self._attempt(job, placed, sink)
            except RunnerRefusedError as error:
                self._handle_refusal(job, placed.runner, error)
            except BackendBrokenError as error:
                self._handle_broken(job, placed.runner, error)
            else:
                if done:
                    return

    async def _place(self, job: Job) -> PlacedAttempt:
        if job.sends and not self._supervisor.claim_retry(job):
            raise job.give_up_error(Verdict.UNAVAILABLE, "no further attempt allowed")
        placed = await self._choose(job)
        if placed is None and await self._wait_for_backoff(job, self._clock()):
            placed = await self._choose(job)
        now = self._clock()
        if placed is None:
            fields: dict[str, object] = {"request": job.request.request_id, "service": job.service}
            fields |= asdict(self._placement.census(job, now))
            logger.info("no runner", extra=fields)
            wait = self._placement.available_in_seconds(job, now)
            raise job.give_up_error(Verdict.UNAVAILABLE, "no runner takes work", wait)
        self._check_overload(job, placed, now)
        return placed

    async def _choose(self, job: Job) -> PlacedAttempt | None:
        """Return a runner for the next attempt, charged to its rate limit; None if there is none.

        A runner whose limit is exhausted accepts no work for a while, so each runner is chosen at
        most once here.
        """
        while True:
            placed = choose_runner(self._placement, self._state, job, self._clock())
            if placed is None or self._runner_limits is None:
                return placed
            if await self._runner_limits.admits(job, placed.runner):
                return placed

    async def _wait_for_backoff(self, job: Job, now: float) -> bool:
        """Wait for a runner's backoff to end if the request can be served in time after it.

        A request waits at most once.

        Returns:
            Whether the request waited.
        """
        runner = self._backoff_waits.runner_for(job, now) if not job.has_waited else None
        if runner is None:
            return False
        job.has_waited = True
        # This runner may have refused the request when it asked for the backoff.
        job.excluded.discard(runner.runner_id)
        wait = runner.ready_at - now
        fields = {"request": job.request.request_id, "runner": runner.runner_id}
        logger.info("waits for backoff to end", extra=fields | {"wait_ms": round(wait * 1000, 1)})
        self._backoff_waits.begin(runner)
        try:
            await asyncio.sleep(wait + BACKOFF_END_MARGIN_SECONDS)
        finally:
            self._backoff_waits.end(runner)
        return True

    def _check_overload(self, job: Job, placed: PlacedAttempt, now: float) -> None:
        """Reject a request that certainly has not run and would certainly be late."""
        if job.may_have_run or placed.salt is None:
            return
        retry_after = overload_retry_after(
            placed.waiting,
            placed.delay - placed.waiting,
            job.route.target_seconds,
            job.deadline - now,
        )
        if retry_after is not None and not self._placement.has_room(job, now):
            text = f"would wait {placed.waiting:.2f} s"
            raise RejectedError(Verdict.OVERLOADED, text, step="place", retry_after=retry_after)

    async def _attempt(self, job: Job, placed: PlacedAttempt, sink: ResponseSink) -> bool:
        """Send an attempt and relay its answer; return False if another attempt should follow."""
        now = self._clock()
        attempt_id = f"{job.request.request_id}/{job.sends}"
        dispatch = self._dispatch(job, placed, now)
        job.watch = self._observer.watch(job, placed, now)
        self._placement.sent(job, placed, attempt_id, now)
        self.runner_crashes.sent(job, placed.runner, attempt_id, now)
        logger.info("attempt", extra=attempt_fields(job, placed, dispatch))
        log_held_back(self._state.pool, self._metrics, job.request.request_id, placed.runner, now)
        self._log_older_weights("sent on older weights", job, placed)
        self._count_tokens(job, placed)
        self._metrics.count_regions(placed.borrowed, placed.fetch_from, placed.fetches_across)
        answer: RunnerAnswer | None = None
        may_still_run = True
        job.runs += 1
        job.extend_until(job.deadline + DEADLINE_TRANSIT_SECONDS, now)
        try:
            answer = await self._receive_head(job, placed, dispatch)
            answered_at = self._clock()
            job.note_bytes(answered_at)
            if answer.status in SUCCESS:
                self._log_older_weights("began on older weights", job, placed)
                self._count_older_weights(job, placed)
            job.watch.head(answer.status, answered_at, signed=answer.signed)
            self._state.pool.record_contact(placed.runner, answered_at)
            self._placement.answered(job, placed, attempt_id, answered_at)
            done = await self._relay(job, placed, attempt_id, answer, sink)
            may_still_run = False
            return done
        except BaseException as error:
            job.watch.raised(error)
            may_still_run = not isinstance(error, RunnerRefusedError)
            raise
        finally:
            self._placement.finished(placed, attempt_id)
            self.runner_crashes.finished(attempt_id, may_still_run=may_still_run)
            self._observer.ended(job, self._clock())
            if answer is not None:
                answer.close()

    def _count_older_weights(self, job: Job, placed: PlacedAttempt) -> None:
        """Count a request that starts on weights older than the newest."""
        versions, version = self._state.versions, placed.weights_version
        if version is None or version >= versions.newest(job.request.model):
            return
        is_late = self._clock() > versions.deadline(job.request.model, version)
        self._metrics.older_weights.labels("late" if is_late else "in_time").inc()

    def _log_older_weights(self, message: str, job: Job, placed: PlacedAttempt) -> None:
        fields = older_weights_fields(job, placed, self._state.versions, self._clock())
        if fields is not None:
            logger.info(message, extra=fields)

    def _count_tokens(self, job: Job, placed: PlacedAttempt) -> None:
        shape = job.request.shape
        if shape is None or placed.salt is None:
            return
        fetched = shape.prompt_tokens - placed.matched_tokens - placed.prefill_tokens
        self._metrics.tokens.labels("cached").inc(placed.matched_tokens)
        self._metrics.tokens.labels("fetched").inc(max(0, fetched))
        self._metrics.tokens.labels("prefilled").inc(placed.prefill_tokens)
        self._metrics.tokens.labels("repeated").inc(placed.repeated_tokens)

    def _dispatch(self, job: Job, placed: PlacedAttempt, now: float) -> Dispatch:
        return Dispatch(
            runner_id=placed.runner.runner_id,
            address=placed.runner.address,
            remaining_seconds=max(MIN_REMAINING_SECONDS, job.deadline - now),
            tenant=job.tenant_name or None,
            priority=job.priority if placed.salt is not None else None,
            salt=placed.salt,
            weights_version=placed.weights_version,
            fetch_from=placed.fetch_from,
            save_to=placed.save_to,
            last_event_id=job.framing.last_event_id,
        )

    async def _receive_head(
        self, job: Job, placed: PlacedAttempt, dispatch: Dispatch
    ) -> RunnerAnswer:
        """Send an attempt and return the head of the answer.

        The attempt is abandoned if the runner is silent and another runner may be tried, or if its
        answer has not begun when newer weights are due.
        """
        if dispatch.weights_version is None and not self._supervisor.may_retry(job):
            return await self._client.send(job.request, dispatch)
        sending = asyncio.ensure_future(self._client.send(job.request, dispatch))
        try:
            while True:
                await asyncio.wait({sending}, timeout=CHECK_SECONDS)
                if sending.done():
                    return sending.result()
                self._supervisor.check_silence(job, placed.runner, "await answer")
                self._supervisor.check_weights(job, placed.runner, dispatch)
        except (Exception, asyncio.CancelledError):
            await end_attempt(sending)
            raise

    async def _relay(
        self,
        job: Job,
        placed: PlacedAttempt,
        attempt_id: str,
        answer: RunnerAnswer,
        sink: ResponseSink,
    ) -> bool:
        job.may_have_run = True
        runner = placed.runner
        if answer.status in SUCCESS and not answer.signed:
            raise BackendBrokenError("unsigned answer", step="relay", peer=runner.runner_id)
        if answer.status >= SERVER_ERROR and self._supervisor.may_try_other(job, runner):
            job.excluded.add(runner.runner_id)
            self._metrics.attempts.labels("error").inc()
            log_outcome(job, runner, f"retry after status {answer.status}")
            if not job.head_sent:
                job.failure_answer = await self._read_whole(job, answer)
            return False
        if job.head_sent and answer.status not in SUCCESS:
            raise BackendBrokenError("resume refused", step="resume", peer=runner.runner_id)
        if job.route.kind is RouteKind.STREAM and answer.status in SUCCESS:
            await self._relay_stream(job, placed, attempt_id, answer, sink)
        else:
            await self._deliver(job, await self._read_whole(job, answer), sink)
        self._state.pool.succeeded(runner)
        self.runner_crashes.answered(job, succeeded=answer.status in SUCCESS)
        self._metrics.attempts.labels("answered").inc()
        if job.first_event_at is not None:
            self._metrics.longest_pause.observe(job.longest_gap)
        log_outcome(job, runner, f"status {answer.status}")
        return True

    async def _read_whole(self, job: Job, answer: RunnerAnswer) -> WholeAnswer:
        """Read the whole body of an answer that is not relayed as a stream."""
        job.extend_until(job.deadline + BODY_TRANSIT_SECONDS, self._clock())
        body = await answer.whole_body()
        headers = [*answer.headers, (b"content-length", str(len(body)).encode())]
        return WholeAnswer(answer.status, headers, body)

    async def _deliver(self, job: Job, answer: WholeAnswer, sink: ResponseSink) -> None:
        """Pass on a complete answer, even past the deadline."""
        now = self._clock()
        job.extend_until(now + DELIVERY_SECONDS, now)
        job.answer_ready = True
        job.head_sent = True
        await sink.start(answer.status, answer.headers)
        await sink.write(answer.body)
        await sink.finish()

    async def _relay_stream(
        self,
        job: Job,
        placed: PlacedAttempt,
        attempt_id: str,
        answer: RunnerAnswer,
        sink: ResponseSink,
    ) -> None:
        job.framing.start_attempt()
        started = False
        while True:
            piece = await self._next_piece(job, placed, answer)
            if not piece:
                break
            job.note_bytes(self._clock())
            self._state.pool.record_contact(placed.runner, self._clock())
            events = job.framing.feed(piece, placed.runner.runner_id)
            if not events:
                continue
            if job.note_event(self._clock()):
                self._metrics.first_event.observe(self._clock() - job.request.arrived_at)
            if not started:
                started = True
                job.watch.first_bytes(self._clock())
                self._placement.started(job, placed, attempt_id, self._clock())
                self.runner_crashes.started(job, attempt_id, self._clock())
            if not job.head_sent:
                job.head_sent = True
                await sink.start(answer.status, answer.headers)
            await sink.write(events)
        if job.framing.inside_event:
            text = "the stream ended inside an event"
            raise BackendBrokenError(text, step="relay", peer=placed.runner.runner_id)
        if not job.head_sent:
            job.head_sent = True
            await sink.start(answer.status, answer.headers)
        await sink.finish()

    async def _next_piece(self, job: Job, placed: PlacedAttempt, answer: RunnerAnswer) -> bytes:
        if not job.may_run_again():
            return await answer.next_piece()
        while True:
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    return await answer.next_piece()
            except TimeoutError:
                self._supervisor.check_silence(job, placed.runner, "relay")

    def _handle_refusal(self, job: Job, runner: Runner, error: RunnerRefusedError) -> None:
        now = self._clock()
        pool = self._state.pool
        job.runs -= 1
        self._metrics.attempts.labels(error.cause.value).inc()
        job.excluded.add(runner.runner_id)
        match error.cause:
            case RefusalCause.UNREACHABLE:
                pool.unreachable(runner, now)
                self._placement.lost(runner)
                self.runner_crashes.unreachable(runner, now)
            case RefusalCause.FULL:
                pool.shed(runner, now)
            case RefusalCause.OTHER_INSTANCE:
                pool.note_leaving(runner)
            case RefusalCause.OTHER_WEIGHTS:
                if error.weights_version:
                    pool.correct_weights(runner, job.request.model, error.weights_version)
                    job.excluded.discard(runner.runner_id)
                else:
                    pool.shed(runner, now)
        log_refusal(job, runner, error)

    def _handle_broken(self, job: Job, runner: Runner, error: BackendBrokenError) -> None:
        job.may_have_run = True
        job.failure = f"{error.step}: {error.message}"
        job.has_abandoned_run = isinstance(error, AttemptAbandonedError)
        note_failed_run(self._state, job, runner, self._clock())
        if isinstance(error, ConnectionLostError):
            self.runner_crashes.lost(job, runner, self._clock())
        self._metrics.attempts.labels("broken").inc()
        log_outcome(job, runner, f"broken at {error.step}: {error.message}")
        if not job.may_run_again():
            raise job.give_up_error(Verdict.FAILED, error.message) from error


def _useful_patience(request: ServingRequest) -> float:
    """Return how long a request may wait so that its caller still receives the answer."""
    if request.patience_seconds is None:
        return math.inf
    return max(0.0, request.patience_seconds - MIN_REMAINING_SECONDS)
