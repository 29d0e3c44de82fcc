"""Calls to runners: requests, reports, orders."""

from __future__ import annotations

import errno

import aiohttp
import msgspec
from yarl import URL

from hillstack.core.runner_limit import AnswerKind
from hillstack.daemon.weights_orders import (
    OrderOutcome,
    RunnerReport,
    RunningRequests,
    WeightsOrder,
)
from hillstack.errors import BackendBrokenError, BackendError, ConnectionLostError
from hillstack.platform import names
from hillstack.platform.bodies import OrderBody, ReportBody
from hillstack.platform.connections import Question, ask
from hillstack.platform.incarnations import check_process, instance_of
from hillstack.platform.runner_signals import Asked, SignalListener, SignalReader
from hillstack.serving.types import (
    Dispatch,
    HeaderList,
    RefusalCause,
    RunnerRefusedError,
    ServingRequest,
)

REFUSALS = frozenset({429, 503})
OK = 200
MISDIRECTED = 421
# What the system says of a connection that its other side closed; a silent one has other causes.
LOST_ERRNOS = frozenset({errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED})
# What the library says of it, where the system says nothing.
LOST_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
    ConnectionResetError,
)
# A report takes some milliseconds; a load waits for it.
REPORT_LIMIT_SECONDS = 0.4
# An order is answered at once or late: the next report tells whether it was taken.
ORDER_LIMIT_SECONDS = 0.25
ORDER_MODES = {
    RunningRequests.FINISH: names.FINISH_RUNS,
    RunningRequests.RESET: names.RESET_RUNS,
    RunningRequests.CONTINUE: names.CONTINUE_RUNS,
}
ORDER_OUTCOMES = {
    200: OrderOutcome.DONE,
    202: OrderOutcome.TAKEN,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_INSTANCE,
}


class HttpRunnerAnswer:
    """An answer of a runner whose head is in."""

    def __init__(self, response: aiohttp.ClientResponse, peer: str) -> None:
        self._response = response
        self._peer = peer

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> HeaderList:
        """Headers that are passed on."""
        return [
            (name, value)
            for name, value in self._response.raw_headers
            if name.lower() not in names.HOP_BY_HOP
        ]

    @property
    def signed(self) -> bool:
        """Whether it carries the runner's signature and answers this request."""
        headers = self._response.headers
        return names.SIGNATURE in headers and names.REQUEST_ID in headers

    async def next_piece(self) -> bytes:
        """Return the next bytes of the body, or ``b""`` after its proper end."""
        try:
            return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            raise self._broken(error) from error

    async def whole_body(self) -> bytes:
        """Return the whole body."""
        try:
            return await self._response.read()
        except (aiohttp.ClientError, OSError) as error:
            raise self._broken(error) from error

    def close(self) -> None:
        """Give the answer up; a complete one leaves its connection in use."""
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()

    def _broken(self, error: Exception) -> BackendBrokenError:
        return _broken(error, "relay", self._peer)


class HttpRunnerClient:
    """Sends requests, questions and orders to runners.

    Args:
        session: HTTP session of ``make_runner_session``; not closed here.
        listener: Takes what runners say of themselves; nobody by default.
    """

    def __init__(
        self, session: aiohttp.ClientSession, listener: SignalListener | None = None
    ) -> None:
        self._session = session
        self._signals = SignalReader(listener)

    async def send(self, request: ServingRequest, dispatch: Dispatch) -> HttpRunnerAnswer:
        """Send a request and return its answer's head.

        Raises:
            RunnerRefusedError: It was not run and never will be.
            BackendBrokenError: It may have run.
        """
        url = URL(f"http://{dispatch.address}{request.target}", encoded=True)
        peer = dispatch.runner_id
        asked = Asked(AnswerKind.REQUEST, request.request_id)
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
            raise _broken(error, "await answer", peer) from error
        self._signals.read(peer, response.status, response.headers, asked)
        self._check_executed(response, dispatch)
        return HttpRunnerAnswer(response, peer)

    async def report(self, runner_id: str, address: str) -> RunnerReport:
        """Return what a runner says of itself, as of some hundred milliseconds ago.

        Raises:
            BackendError: It can't be had.
        """
        headers = {names.EXPECT_INSTANCE: instance_of(runner_id)}
        question = Question("GET", address, names.REPORT_PATH, REPORT_LIMIT_SECONDS, headers)
        asked = Asked(AnswerKind.REPORT)
        reply = await ask(self._session, question)
        if reply.status != OK:
            self._signals.read(runner_id, reply.status, reply.headers, asked)
            raise BackendError(f"status {reply.status}", step="report", peer=runner_id)
        try:
            body = msgspec.json.decode(reply.body, type=ReportBody)
        except msgspec.MsgspecError as error:
            raise BackendError(str(error), step="decode report", peer=runner_id) from error
        check_process(runner_id, body.born, "report")
        self._signals.read(runner_id, reply.status, reply.headers, asked)
        weights = {model.name: model.version for model in body.models}
        return RunnerReport(weights, body.busy, body.seq)

    async def order_weights(self, order: WeightsOrder) -> OrderOutcome:
        """Order a runner to load weights.

        Raises:
            BackendError: The order may or may not have been taken.
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
        question = Question(
            "POST", order.address, names.ORDER_PATH, ORDER_LIMIT_SECONDS, headers, data
        )
        asked = Asked(AnswerKind.ORDER)
        reply = await ask(self._session, question)
        self._signals.read(order.runner_id, reply.status, reply.headers, asked)
        return ORDER_OUTCOMES.get(reply.status, OrderOutcome.REJECTED)

    def _check_executed(self, response: aiohttp.ClientResponse, dispatch: Dispatch) -> None:
        """Raise if the answer says that the request was not run, or must not be passed on."""
        status = response.status
        not_run = names.NOT_EXECUTED in response.headers or status == MISDIRECTED
        if not not_run and status not in REFUSALS:
            return
        version = _version(response)
        instance = response.headers.get(names.INSTANCE)
        response.close()
        peer = dispatch.runner_id
        if not not_run:
            text = f"status {status} without a promise"
            raise BackendBrokenError(text, step="await answer", peer=peer)
        cause = RefusalCause.FULL
        if status == MISDIRECTED:
            other = instance is not None and instance != instance_of(dispatch.runner_id)
            cause = RefusalCause.OTHER_INSTANCE if other else RefusalCause.OTHER_WEIGHTS
        raise RunnerRefusedError(
            f"status {status}",
            step="await answer",
            peer=peer,
            cause=cause,
            weights_version=version,
        )


def _broken(error: Exception, step: str, peer: str) -> BackendBrokenError:
    """Return the error of an answer that broke off, told by what broke it."""
    kind = ConnectionLostError if _is_connection_lost(error) else BackendBrokenError
    return kind(str(error) or type(error).__name__, step=step, peer=peer)


def _is_connection_lost(error: Exception) -> bool:
    """Return whether the runner closed or reset the connection before the answer's end."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno is not None:
            return cause.errno in LOST_ERRNOS
        cause = cause.__cause__
    return isinstance(error, LOST_ERRORS)


def _version(response: aiohttp.ClientResponse) -> int:
    text = response.headers.get(names.VERSIONS, "")
    return int(text) if text.isdigit() else 0


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
