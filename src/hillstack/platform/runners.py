"""Calls to runners: callers' requests, state reports and orders to load weights."""

from __future__ import annotations

import asyncio
import errno

import aiohttp
import msgspec
from yarl import URL

from hillstack.answer_bodies import BodyReader, is_unframed
from hillstack.core.runner_limit import AnswerKind
from hillstack.daemon.weights_orders import (
    OrderOutcome,
    RunnerReport,
    RunningRequests,
    WeightsOrder,
)
from hillstack.decoding import MalformedDataError, decode_json, parse_whole_number
from hillstack.errors import (
    BackendBrokenError,
    BackendStatusError,
    ConnectionLostError,
    OtherProcessError,
    UnreadableAnswerError,
)
from hillstack.platform import names
from hillstack.platform.answer_ends import AnswerEnds
from hillstack.platform.bodies import OrderBody, ReportBody
from hillstack.platform.connections import OutgoingCall, send_call
from hillstack.platform.runner_identifiers import check_runner_process, instance_of
from hillstack.platform.runner_signals import SentCall, SignalListener, SignalReader
from hillstack.serving.types import (
    Dispatch,
    HeaderList,
    RefusalCause,
    RunnerRefusedError,
    ServingRequest,
)

REFUSAL_STATUSES = frozenset({429, 503})
OK = 200
MISDIRECTED = 421
# Errors of the operating system for a connection that the peer closed. A connection to a silent
# peer fails with other errors.
CONNECTION_LOST_ERRNOS = frozenset({errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED})
# Errors of aiohttp for such a connection if there is no error of the operating system.
CONNECTION_LOST_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
    ConnectionResetError,
)
# A report takes some milliseconds, and a load of weights waits for it.
REPORT_LIMIT_SECONDS = 0.4
# A runner answers an order either at once or much later. In the second case the next report shows
# whether the runner accepted the order.
ORDER_LIMIT_SECONDS = 0.25
ORDER_MODES = {
    RunningRequests.FINISH: names.FINISH_MODE,
    RunningRequests.RESET: names.RESET_MODE,
    RunningRequests.CONTINUE: names.CONTINUE_MODE,
}
ORDER_OUTCOMES = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.TAKEN,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_INSTANCE,
}


class HttpRunnerAnswer:
    """An answer of a runner whose head has been received."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        dispatch: Dispatch,
        bodies: BodyReader,
        ends: AnswerEnds,
    ) -> None:
        self._response = response
        self._peer = dispatch.runner_id
        self._address = dispatch.address
        self._bodies = bodies
        self._ends = ends
        self._end: asyncio.Task[None] | None = None

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> HeaderList:
        """Headers that are forwarded to the caller."""
        return [
            (name, value)
            for name, value in self._response.raw_headers
            if name.lower() not in names.HOP_BY_HOP
        ]

    @property
    def signed(self) -> bool:
        """Whether the answer carries the runner's signature and a request identifier."""
        headers = self._response.headers
        return names.SIGNATURE in headers and names.REQUEST_ID in headers

    async def next_piece(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` after the body has ended completely."""
        try:
            piece = await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise self._broken_error(error) from error
        if not piece:
            await self._confirm_end()
        return piece

    async def whole_body(self) -> bytes:
        """Return the whole body."""
        try:
            body = await self._bodies.read(self._response)
        except (aiohttp.ClientError, OSError) as error:
            raise self._broken_error(error) from error
        await self._confirm_end()
        return body

    def close(self) -> None:
        """Release the connection if the answer is complete, else close it."""
        if self._end is not None and not self._end.cancel() and not self._end.cancelled():
            # Retrieves the error of a check whose result nobody awaits any more.
            self._end.exception()
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()

    async def _confirm_end(self) -> None:
        """Check that the answer is complete; may be cancelled and called again."""
        if not is_unframed(self._response):
            return
        if self._end is None:
            confirmation = self._ends.confirm(self._response, self._peer, self._address)
            self._end = asyncio.create_task(confirmation)
        await asyncio.shield(self._end)

    def _broken_error(self, error: Exception) -> BackendBrokenError:
        return _broken_error(error, "relay", self._peer)


class HttpRunnerClient:
    """Sends requests, report calls and orders to runners.

    Args:
        session: HTTP session of ``make_runner_session``; not closed here.
        listener: Receives the signals in runners' answers; None to ignore them.
        bodies: Reads the bodies of answers to callers' requests that are no streams.
        order_session: HTTP session for orders; the other one by default.
        ends: Checks answers that end with their connection; by default they are complete.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        listener: SignalListener | None = None,
        bodies: BodyReader | None = None,
        order_session: aiohttp.ClientSession | None = None,
        ends: AnswerEnds | None = None,
    ) -> None:
        self._ends = ends or AnswerEnds()
        self._session = session
        self._order_session = order_session or session
        self._bodies = bodies or BodyReader()
        self._signals = SignalReader(listener)

    async def send(self, request: ServingRequest, dispatch: Dispatch) -> HttpRunnerAnswer:
        """Send a request and return the answer once its head has been received.

        Raises:
            RunnerRefusedError: The runner did not and will not execute the request.
            BackendBrokenError: The runner may have executed the request.
        """
        url = URL(f"http://{dispatch.address}{request.target}", encoded=True)
        peer = dispatch.runner_id
        sent = SentCall(AnswerKind.REQUEST, request.request_id)
        try:
            response = await self._session.request(
                request.method,
                url,
                data=request.body or None,
                headers=_headers(request, dispatch),
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise RunnerRefusedError(
                str(error), step="connect", peer=peer, cause=RefusalCause.UNREACHABLE
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise _broken_error(error, "await answer", peer) from error
        self._signals.read(peer, response.status, response.headers, sent)
        self._check_executed(response, request, dispatch)
        return HttpRunnerAnswer(response, dispatch, self._bodies, self._ends)

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        """Return the state that a runner reports; it may be some hundred milliseconds old.

        Raises:
            BackendError: The call failed, or the answer can't be used.
        """
        headers = {names.EXPECT_INSTANCE: instance_of(runner_id)}
        call = OutgoingCall("GET", address, names.REPORT_PATH, REPORT_LIMIT_SECONDS, headers)
        sent = SentCall(AnswerKind.REPORT)
        reply = await send_call(self._session, call)
        if reply.status != OK:
            self._signals.read(runner_id, reply.status, reply.headers, sent)
            error = OtherProcessError if reply.status == MISDIRECTED else BackendStatusError
            raise error(f"status {reply.status}", step="report", peer=runner_id)
        try:
            body = decode_json(reply.body, ReportBody)
        except MalformedDataError as error:
            raise UnreadableAnswerError(str(error), step="decode report", peer=runner_id) from error
        check_runner_process(runner_id, body.born, "report")
        self._signals.read(runner_id, reply.status, reply.headers, sent)
        weights = {model.name: model.version for model in body.models}
        return RunnerReport(weights, body.busy, body.seq)

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        """Order a runner to load weights.

        Raises:
            BackendError: No answer was received; the runner may or may not have accepted the order.
        """
        body = OrderBody(
            op=names.WEIGHTS_OPERATION,
            model=order.model,
            version=order.version,
            mode=ORDER_MODES[order.running],
            holder=order.holder,
            fence=order.fence,
            expected_count=order.expected_orders,
        )
        headers = {
            "Content-Type": "application/json",
            names.EXPECT_INSTANCE: instance_of(order.runner_id),
        }
        data = msgspec.json.encode(body)
        call = OutgoingCall(
            "POST", order.address, names.ORDER_PATH, ORDER_LIMIT_SECONDS, headers, data
        )
        sent = SentCall(AnswerKind.ORDER)
        reply = await send_call(self._order_session, call)
        self._signals.read(order.runner_id, reply.status, reply.headers, sent)
        return ORDER_OUTCOMES.get(reply.status, OrderOutcome.REJECTED)

    def _check_executed(
        self, response: aiohttp.ClientResponse, request: ServingRequest, dispatch: Dispatch
    ) -> None:
        """Raise if the request was not executed, or if the answer must not be forwarded."""
        status = response.status
        not_executed = names.NOT_EXECUTED in response.headers or status == MISDIRECTED
        if not not_executed and status not in REFUSAL_STATUSES:
            return
        version = _weights_version(response)
        instance = response.headers.get(names.INSTANCE)
        named = response.headers.get(names.REQUEST_ID)
        response.close()
        peer = dispatch.runner_id
        if not not_executed:
            text = f"status {status} without a promise"
            raise BackendBrokenError(text, step="await answer", peer=peer)
        cause = RefusalCause.FULL
        if status == MISDIRECTED:
            is_other_instance = instance is not None and instance != instance_of(dispatch.runner_id)
            cause = RefusalCause.OTHER_INSTANCE if is_other_instance else RefusalCause.OTHER_WEIGHTS
        proof = "names the request" if named == request.request_id else f"names {named}"
        raise RunnerRefusedError(
            f"status {status}, {proof}",
            step="await answer",
            peer=peer,
            cause=cause,
            weights_version=version,
        )


def _broken_error(error: Exception, step: str, peer: str) -> BackendBrokenError:
    """Return the error for an answer that broke off; its type depends on the cause."""
    kind = ConnectionLostError if _is_connection_lost(error) else BackendBrokenError
    return kind(str(error) or type(error).__name__, step=step, peer=peer)


def _is_connection_lost(error: Exception) -> bool:
    """Return whether the runner closed or reset the connection before the answer was complete."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno is not None:
            return cause.errno in CONNECTION_LOST_ERRNOS
        cause = cause.__cause__
    return isinstance(error, CONNECTION_LOST_ERRORS)


def _weights_version(response: aiohttp.ClientResponse) -> int:
    return parse_whole_number(response.headers.get(names.VERSIONS, "")) or 0


def _headers(request: ServingRequest, dispatch: Dispatch) -> list[tuple[str, str]]:
    headers = [(name.decode("latin-1"), value.decode("latin-1")) for name, value in request.headers]
    headers.append((names.REQUEST_ID, request.request_id))
    headers.append((names.DEADLINE, str(max(1, int(dispatch.remaining_seconds * 1000)))))
    headers.append((names.EXPECT_INSTANCE, instance_of(dispatch.runner_id)))
    optional = (
        (names.TENANT, dispatch.tenant),
        (names.PRIORITY, dispatch.priority),
        (names.CACHE_SALT, dispatch.salt),
        (names.EXPECT_VERSION, dispatch.weights_version),
        (names.FETCH_FROM, dispatch.fetch_from),
        (names.SAVE_TO, dispatch.save_to),
        (names.LAST_EVENT_ID, dispatch.last_event_id),
    )
    headers.extend((name, str(value)) for name, value in optional if value is not None)
    return headers
