"""The life of one request.

Route, tenant, freshness, placement, attempts, relay, outcome. What may have run is kept apart from
what surely has not: only the latter is refused with a promise, or sent again if it may run only
once.
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
from hillstack.serving.admission import RequestAdmission
from hillstack.serving.backoff_waits import BackoffWaits
from hillstack.serving.fleet_state import FleetState
from hillstack.serving.job import (
    Job,
    PlacedAttempt,
    WholeAnswer,
    attempt_fields,
    log_outcome,
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
from hillstack.serving.runner_ends import RunnerEndWatch
from hillstack.serving.runner_limits import RunnerLimits
from hillstack.serving.signal_intake import show_held_back
from hillstack.serving.types import (
    SERVER_ERROR,
    SUCCESS,
    Dispatch,
    RefusalCause,
    RejectedError,
    RunnerGivenUpError,
    RunnerRefusedError,
    ServingRequest,
    StreamCutError,
    Verdict,
)

logger = logging.getLogger(__name__)

# Runners that a request is offered to, refusals included: each costs some ms and the shared budget.
MAX_SENDS = 4
# Less is not worth a try: the way there and back.
MIN_REMAINING_SECONDS = 0.02
# A timer may fire that much before the moment that it was set for, when the backoff still holds.
BACKOFF_END_SECONDS = 0.002
# How late a silent runner is noticed by a request that waits for it.
SILENCE_CHECK_SECONDS = 0.15
# A request leaves a runner that is silent for longer than the allowed pauses of 0.5 and 0.6 s.
SILENCE_LIMIT_SECONDS = 0.7
# An answer that a runner ends at the deadline is taken that late: twice the way between regions,
# of 8 to 20 ms on the deployments seen.
TRANSIT_SECONDS = 0.05
# Once the head of a whole answer is in, a packet of its body may be lost and sent again: the
# shortest time after which TCP repeats.
BODY_TRANSIT_SECONDS = 0.2
# How long a caller may take to read an answer that is ready, also past its deadline: ten
# repetitions of a lost packet. Who reads slower holds up memory and is cut.
DELIVERY_SECONDS = 2.0
# A request leaves a connection that is silent while its runner speaks on others. The system's own
# time-outs take up to 2.2 s (1.2 s for bytes sent, two probes for a wait); callers leave a stream
# after 3.2 s on the deployments seen.
CONNECTION_SILENCE_SECONDS = 2.5


class RequestPipeline:
    """Serves requests of one node.

    Args:
        state: What the node knows.
        client: Sends attempts to runners.
        placement: Chooses runners.
        clock: Monotonic seconds.
        limiter: Keeps requests within the limits of their tenants.
        metrics: Where results and latencies are counted.
        observer: Sees how attempts fare; nobody by default.
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
    ) -> None:
        self._runner_limits = runner_limits
        self._limiter = limiter
        self._observer = observer or NoObserver()
        self._metrics = metrics or FleetMetrics()
        self._state = state
        self._client = client
        self._placement = placement
        self._clock = clock
        self._admission = RequestAdmission(state, clock)
        self._backoff_waits = BackoffWaits(state, placement)
        self.runner_ends = RunnerEndWatch(state, placement, clock, self._metrics)
        self.active = 0

    def stop_accepting(self) -> None:
        """Refuse all further requests: the node ends before it could finish them."""
        self._admission.stop_accepting()

    async def serve(self, request: ServingRequest, sink: ResponseSink) -> None:
        """Serve a request.

        Raises:
            RejectedError: It gets an answer of the router's own.
            StreamCutError: Its answer has begun and can't be completed.
        """
        self.active += 1
        result = "error"
        try:
            await self._state.start_gate.passed(_useful_patience(request))
            job = self._admission.admit(request)
            await self._run(job, sink)
            result = "served"
        except RejectedError as error:
            result = error.verdict.value
            self._log_rejection(request, error)
            raise
        except StreamCutError:
            result = "cut"
            raise
        except asyncio.CancelledError:
            result = "left"
            logger.info("caller left", extra={"request": request.request_id})
            raise
        except Exception:
            logger.exception("request failed", extra={"request": request.request_id})
            raise
        finally:
            self.active -= 1
            self._metrics.requests.labels(result).inc()
            self._metrics.answer.observe(self._clock() - request.arrived_at)

    def _log_rejection(self, request: ServingRequest, error: RejectedError) -> None:
        now = self._clock()
        fields = {
            "request": request.request_id,
            "verdict": error.verdict,
            "step": error.step,
            "held_ms": round((now - request.arrived_at) * 1000, 1),
            "retry_after": error.retry_after,
            "store_age_ms": round(min(self._state.freshness.age(now), 1e6) * 1000),
            "configuration": self._state.table.version if self._state.table is not None else None,
        }
        logger.info("rejected: " + error.message, extra=fields)

    async def _run(self, job: Job, sink: ResponseSink) -> None:
        try:
            await self._run_in_time(job, sink)
        except RejectedError:
            if job.runner_failure is None:
                raise
            await self._deliver_failure(job, job.runner_failure, sink)

    async def _deliver_failure(self, job: Job, answer: WholeAnswer, sink: ResponseSink) -> None:
        """Pass a runner's failure on after all other attempts have ended."""
        job.time_limit = None
        try:
            async with asyncio.timeout(DELIVERY_SECONDS):
                await self._deliver(job, answer, sink)
        except TimeoutError:
            raise StreamCutError("the caller does not read its answer", step="relay") from None

    async def _run_in_time(self, job: Job, sink: ResponseSink) -> None:
        try:
            async with asyncio.timeout(max(0.0, job.deadline - self._clock())) as job.time_limit:
                await self.runner_ends.check(job)
                await self._keep_within_limit(job)
                if not self._state.start_gate.caches_known:
                    # Peers tell a node that has just started what ended runners, then what is
                    # cached: a request that they know as fatal must not be sent before that.
                    await self._state.start_gate.passed_by_prompt()
                    await self.runner_ends.check(job)
                await self._attempt_until_done(job, sink)
        except TimeoutError:
            if job.is_fatal:
                raise self.runner_ends.ended_for_good(job) from None
            raise job.gave_up(Verdict.TIMED_OUT, "the deadline passed") from None
        finally:
            if job.charged and not job.runs and not job.may_have_run:
                self._limiter.give_back(job.tenant_name, job.charged)

    async def _keep_within_limit(self, job: Job) -> None:
        """Refuse a request for which its tenant's limit has no room, before any runner is asked."""
        limit = job.tenant.limit if job.tenant is not None else None
        if limit is None:
            return
        cost = limit.cost(job.request.tokens)
        wait = await self._limiter.take(job.tenant_name, limit, cost, job.route.priority)
        self._metrics.count_limited(job.tenant_name, cost, admitted=wait <= 0)
        if wait <= 0:
            job.charged = cost
            return
        text = f"over the limit of {job.tenant_name}: {cost:.0f} {limit.unit} have no room"
        raise RejectedError(Verdict.OVER_LIMIT, text, step="limit", retry_after=wait)

    async def _attempt_until_done(self, job: Job, sink: ResponseSink) -> None:
        while True:
            await self.runner_ends.check(job)
            placed = await self._place(job)
            job.sends += 1
            try:
                done = await self._attempt(job, placed, sink)
            except RunnerRefusedError as error:
                self._refused(job, placed.runner, error)
            except BackendBrokenError as error:
                self._broken(job, placed.runner, error)
            else:
                if done:
                    return

    async def _place(self, job: Job) -> PlacedAttempt:
        now = self._clock()
        if job.sends and not self._may_send_again(job, now):
            raise job.gave_up(Verdict.UNAVAILABLE, "no further attempt allowed")
        placed = await self._choose(job)
        if placed is None and await self._backoff_ended(job, self._clock()):
            placed = await self._choose(job)
        now = self._clock()
        if placed is None:
            fields: dict[str, object] = {"request": job.request.request_id, "service": job.service}
            fields |= asdict(self._placement.census(job, now))
            logger.info("no runner", extra=fields)
            wait = self._placement.available_in(job, now)
            raise job.gave_up(Verdict.UNAVAILABLE, "no runner takes work", wait)
        self._check_overload(job, placed, now)
        return placed

    async def _choose(self, job: Job) -> PlacedAttempt | None:
        """Return a runner for the next attempt, taken out of its limit; None if none takes it.

        A runner whose limit has no room accepts no work for a while, so each is asked once.
        """
        while True:
            placed = self._placement.choose(job, self._clock())
            if placed is None or self._runner_limits is None:
                return placed
            if await self._runner_limits.admits(job, placed.runner):
                return placed

    async def _backoff_ended(self, job: Job, now: float) -> bool:
        """Wait until a runner wants requests again if this one is in time then; once each.

        Returns:
            Whether it waited.
        """
        runner = self._backoff_waits.runner_for(job, now) if not job.has_waited else None
        if runner is None:
            return False
        job.has_waited = True
        # It may be the one that has refused this request, and asked for the backoff.
        job.excluded.discard(runner.runner_id)
        wait = runner.ready_at - now
        fields = {"request": job.request.request_id, "runner": runner.runner_id}
        logger.info("waits for backoff to end", extra=fields | {"wait_ms": round(wait * 1000, 1)})
        self._backoff_waits.begin(runner)
        try:
            await asyncio.sleep(wait + BACKOFF_END_SECONDS)
        finally:
            self._backoff_waits.end(runner)
        return True

    def _check_overload(self, job: Job, placed: PlacedAttempt, now: float) -> None:
        """Refuse a request that surely has not run if it would surely be late."""
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

    def _may_send_again(self, job: Job, now: float) -> bool:
        if not _has_send_left(job, now):
            return False
        if job.may_have_run and not job.may_run_again():
            return False
        return self._state.budget.try_retry(job.service, now)

    async def _attempt(self, job: Job, placed: PlacedAttempt, sink: ResponseSink) -> bool:
        """Send one attempt and relay its answer; return False if another one should follow."""
        now = self._clock()
        attempt_id = f"{job.request.request_id}/{job.sends}"
        dispatch = self._dispatch(job, placed, now)
        job.watch = self._observer.watch(job, placed, now)
        self._placement.sent(job, placed, attempt_id, now)
        self.runner_ends.sent(job, placed.runner, attempt_id, now)
        logger.info("attempt", extra=attempt_fields(job, placed, dispatch))
        show_held_back(self._state.pool, self._metrics, job.request.request_id, placed.runner, now)
        self._log_older_weights("sent on older weights", job, placed)
        self._count_tokens(job, placed)
        self._metrics.count_regions(placed.borrowed, placed.fetch_from, placed.fetches_across)
        answer: RunnerAnswer | None = None
        may_work_on = True
        job.runs += 1
        job.allow_until(job.deadline + TRANSIT_SECONDS, now)
        try:
            answer = await self._head(job, placed, dispatch)
            answered_at = self._clock()
            job.note_bytes(answered_at)
            if answer.status in SUCCESS:
                self._log_older_weights("began on older weights", job, placed)
                self._count_older_weights(job, placed)
            job.watch.head(answer.status, answered_at, signed=answer.signed)
            self._state.pool.heard(placed.runner, answered_at)
            self._placement.answered(job, placed, attempt_id, answered_at)
            done = await self._relay(job, placed, attempt_id, answer, sink)
            may_work_on = False
            return done
        except BaseException as error:
            job.watch.raised(error)
            may_work_on = not isinstance(error, RunnerRefusedError)
            raise
        finally:
            self._placement.finished(placed, attempt_id)
            self.runner_ends.finished(attempt_id, may_work_on=may_work_on)
            self._observer.ended(job, self._clock())
            if answer is not None:
                answer.close()

    def _count_older_weights(self, job: Job, placed: PlacedAttempt) -> None:
        """Count a request that begins on weights older than the newest."""
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

    async def _head(self, job: Job, placed: PlacedAttempt, dispatch: Dispatch) -> RunnerAnswer:
        """Return the head of the answer.

        A silent runner is left if another may be tried, and a request that has not begun when
        newer weights are due is taken back.
        """
        if dispatch.weights_version is None and not self._may_follow(job):
            return await self._client.send(job.request, dispatch)
        sending = asyncio.ensure_future(self._client.send(job.request, dispatch))
        try:
            while True:
                await asyncio.wait({sending}, timeout=SILENCE_CHECK_SECONDS)
                if sending.done():
                    return sending.result()
                self._check_silence(job, placed.runner, "await answer")
                self._check_weights(job, placed.runner, dispatch)
        except asyncio.CancelledError:
            _give_up_answer(sending)
            raise
        finally:
            sending.cancel()

    def _check_weights(self, job: Job, runner: Runner, dispatch: Dispatch) -> None:
        if dispatch.weights_version is None:
            return
        model = job.request.model
        due = self._state.versions.deadline(model, dispatch.weights_version)
        if self._clock() >= due - SILENCE_CHECK_SECONDS:
            text = "not begun before newer weights were due"
            raise RunnerGivenUpError(text, step="await answer", peer=runner.runner_id)

    def _check_silence(self, job: Job, runner: Runner, step: str) -> None:
        """Leave a silent runner where the request can go on elsewhere: it may speak again."""
        now = self._clock()
        is_silent = runner.is_silent(now) and now - runner.last_heard_at >= SILENCE_LIMIT_SECONDS
        is_cut_off = now - job.quiet_from >= CONNECTION_SILENCE_SECONDS
        if not (runner.has_ended or is_silent or is_cut_off):
            return
        if self._may_try_other(job, runner):
            if runner.has_ended:
                text = "the runner has started again"
                raise ConnectionLostError(text, step=step, peer=runner.runner_id)
            text = "the runner is silent" if is_silent else "the connection is silent"
            raise RunnerGivenUpError(text, step=step, peer=runner.runner_id)

    def _may_try_other(self, job: Job, runner: Runner) -> bool:
        """Return whether another runner would take an attempt that is given up at this one."""
        return self._may_follow(job) and self._placement.has_other(job, runner, self._clock())

    def _may_follow(self, job: Job) -> bool:
        """Return whether rules and budget allow a further attempt."""
        now = self._clock()
        if not job.may_run_again() or not _has_send_left(job, now):
            return False
        return self._state.budget.allowed(job.service, now) >= 1.0

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
        if answer.status >= SERVER_ERROR and self._may_try_other(job, runner):
            job.excluded.add(runner.runner_id)
            self._metrics.attempts.labels("error").inc()
            log_outcome(job, runner, f"retry after status {answer.status}")
            if not job.head_sent:
                job.runner_failure = await self._whole(job, answer)
            return False
        if job.head_sent and answer.status not in SUCCESS:
            raise BackendBrokenError("resume refused", step="resume", peer=runner.runner_id)
        if job.route.kind is RouteKind.STREAM and answer.status in SUCCESS:
            await self._relay_stream(job, placed, attempt_id, answer, sink)
        else:
            await self._deliver(job, await self._whole(job, answer), sink)
        self._state.pool.succeeded(runner)
        self.runner_ends.answered(job, succeeded=answer.status in SUCCESS)
        self._metrics.attempts.labels("answered").inc()
        if job.first_event_at is not None:
            self._metrics.longest_pause.observe(job.longest_gap)
        log_outcome(job, runner, f"status {answer.status}")
        return True

    async def _whole(self, job: Job, answer: RunnerAnswer) -> WholeAnswer:
        """Read an answer that its runner has completed, as its head shows."""
        job.allow_until(job.deadline + BODY_TRANSIT_SECONDS, self._clock())
        body = await answer.whole_body()
        headers = [*answer.headers, (b"content-length", str(len(body)).encode())]
        return WholeAnswer(answer.status, headers, body)

    async def _deliver(self, job: Job, answer: WholeAnswer, sink: ResponseSink) -> None:
        """Pass a ready answer on, also past the deadline."""
        now = self._clock()
        job.allow_until(now + DELIVERY_SECONDS, now)
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
            self._state.pool.heard(placed.runner, self._clock())
            events = job.framing.feed(piece, placed.runner.runner_id)
            if not events:
                continue
            if job.note_event(self._clock()):
                self._metrics.first_event.observe(self._clock() - job.request.arrived_at)
            if not started:
                started = True
                job.watch.first_bytes(self._clock())
                self._placement.started(job, placed, attempt_id, self._clock())
                self.runner_ends.started(job, attempt_id, self._clock())
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
                async with asyncio.timeout(SILENCE_CHECK_SECONDS):
                    return await answer.next_piece()
            except TimeoutError:
                self._check_silence(job, placed.runner, "relay")

    def _refused(self, job: Job, runner: Runner, error: RunnerRefusedError) -> None:
        now = self._clock()
        pool = self._state.pool
        job.runs -= 1
        self._metrics.attempts.labels(error.cause.value).inc()
        job.excluded.add(runner.runner_id)
        match error.cause:
            case RefusalCause.UNREACHABLE:
                pool.unreachable(runner, now)
                self._placement.lost(runner)
                self.runner_ends.unreachable(runner, now)
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
        log_outcome(job, runner, f"not run: {error.cause}", error.weights_version)

    def _broken(self, job: Job, runner: Runner, error: BackendBrokenError) -> None:
        job.may_have_run = True
        job.excluded.add(runner.runner_id)
        self._state.pool.failed(runner, self._clock())
        if isinstance(error, ConnectionLostError):
            self.runner_ends.lost(job, runner, self._clock())
        self._metrics.attempts.labels("broken").inc()
        log_outcome(job, runner, f"broken at {error.step}: {error.message}")
        if not job.may_run_again():
            raise job.gave_up(Verdict.FAILED, error.message) from error


def _has_send_left(job: Job, now: float) -> bool:
    """Return whether the number of sends and the time left allow another one."""
    return job.sends < MAX_SENDS and job.deadline - now >= MIN_REMAINING_SECONDS


def _useful_patience(request: ServingRequest) -> float:
    """Return how long a request may wait and its caller still gets the answer."""
    if request.patience_seconds is None:
        return math.inf
    return max(0.0, request.patience_seconds - MIN_REMAINING_SECONDS)


def _give_up_answer(sending: asyncio.Future[RunnerAnswer]) -> None:
    """Close an answer whose head came in the turn in which its caller left, to end its run."""
    if sending.done() and not sending.cancelled() and sending.exception() is None:
        sending.result().close()
