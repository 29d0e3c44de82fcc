"""The protocol of one connection to a runner or the store, with checks that aiohttp does not make.

- An answer without a length that ends in a connection reset is an error, not a complete answer.
- An answer that does not name its request is discarded, as is that of a request to a call.
- An answer that is longer than an answer may be is cut, and its connection is closed.
- A connection to a silent machine, which neither acknowledges nor sends bytes, is recorded.
"""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp

from hillstack import clock
from hillstack.answer_bodies import AnswerTooLongError
from hillstack.decoding import parse_whole_number
from hillstack.framing_meter import MAX_FRAMING_BYTES, FramingMeter
from hillstack.immediate_close import close_at_once, unsent_bytes
from hillstack.platform import names
from hillstack.platform.connection_log import ConnectionLog, UnfinishedRun
from hillstack.reset_aware import ResetAwareHandler

# If sent bytes stay unacknowledged for this long, the machine is down or cut off. Ordinary packet
# loss is repaired sooner.
UNACKNOWLEDGED_LIMIT_MS = 1_200
# Idle limit of a connection whose answers announce no keep-alive time. Runners close an idle
# connection after some seconds, and a request that meets a closed connection has to be retried.
DEFAULT_IDLE_SECONDS = 4.0
# Fraction of a runner's announced keep-alive time during which its connection is reused. The time
# starts when the runner sends the answer. A request that arrives while the runner closes the
# connection may have run, and fails if it must not run twice.
KEEP_ALIVE_SHARE = 0.75
# Upper bound of the idle limit, whatever a runner announces. Connections that stay idle for longer
# hold file descriptors without use.
MAX_IDLE_SECONDS = 30.0
# A connection that is closed while an answer is due, and that delivered no bytes for this long,
# counts as silent. The time equals TCP_USER_TIMEOUT. Calls with a shorter limit report their own
# time-outs through ``record_silent_address``.
UNANSWERED_LIMIT_SECONDS = UNACKNOWLEDGED_LIMIT_MS / 1000
# Addresses whose last silence is recorded: several times the runners of the largest deployment.
MAX_SILENT_ADDRESSES = 8_192

# Bytes that one read from a socket takes: with the shortest chunks, parsing them takes some
# milliseconds of the event loop.
READ_BYTES = 65_536

# Requests that failed over one connection. The connection is not used after so many, which bounds
# the memory for them.
MAX_FAILED_IDS = 64
FAILURE_STATUS = 400
# Latest requests over one connection whose late answers are recognized when a call follows.
MAX_SENT_IDS = 64

Endpoint = tuple[str, int]
NO_ENDPOINT: Endpoint = ("", 0)


class SilentAddresses:
    """Records when a connection to an address was last found silent.

    A connection that has received nothing since then is not reused. Opening a new one costs some
    milliseconds, while each reuse of a silent connection would cost a request its whole time-out.
    """

    def __init__(self) -> None:
        self._silent_at: dict[Endpoint, float] = {}

    def record(self, endpoint: Endpoint) -> None:
        """Record that a connection to the endpoint is silent as of now."""
        if len(self._silent_at) >= MAX_SILENT_ADDRESSES:
            self._silent_at.clear()
        self._silent_at[endpoint] = clock.seconds()

    def is_reusable(self, endpoint: Endpoint, received_at: float) -> bool:
        """Return whether a connection that last received bytes at ``received_at`` may be reused."""
        return received_at > self._silent_at.get(endpoint, float("-inf"))


class ConnectionObserver(Protocol):
    """Observes what direct connections show of the path to their address."""

    def handle_contact(self, address: str) -> None:
        """Handle bytes that arrived from ``IP:PORT``."""
        ...

    def handle_broken(self, address: str) -> None:
        """Handle that a connection to ``IP:PORT`` broke while an answer was due."""
        ...


@dataclass(frozen=True, slots=True)
class _Closing:
    """This node's decision to close a connection while an answer is due.

    Attributes:
        since: Monotonic time of the decision.
        unsent_bytes: Bytes of the request that were not sent.
    """

    since: float
    unsent_bytes: int


class StrictResponseHandler(ResetAwareHandler):
    """The protocol of one connection; it checks answers and detects silence.

    Args:
        loop: The event loop.
        silent: Records the addresses whose connections are silent.
        observer: Observes the path of the connection; None if it is not observed.
        log: Records discarded answers and runs that were left.
        relay_id: The peer that relays the connection; None for a direct connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        silent: SilentAddresses,
        observer: ConnectionObserver | None = None,
        log: ConnectionLog | None = None,
        relay_id: str | None = None,
    ) -> None:
        super().__init__(loop)
        self._log = log or ConnectionLog()
        self._relay_id = relay_id
        self._closing: _Closing | None = None
        self._silent = silent
        self._observer = observer
        self._address = ""
        self._endpoint = NO_ENDPOINT
        self._expected_id: str | None = None
        self._read_started_at = 0.0
        self._received_at = 0.0
        self._awaiting_head = False
        self._has_stray_bytes = False
        self._sent_ids: deque[str] = deque(maxlen=MAX_SENT_IDS)
        self._failed_ids: set[str] = set()
        self._idle_limit_seconds = DEFAULT_IDLE_SECONDS
        self._meter = FramingMeter()

    def expect_answer(self) -> None:
        """Note that a request is about to be sent, so that bytes from now on are its answer."""
        self._read_started_at = clock.seconds()
        self._awaiting_head = True

    def begin_answer(self, request_id: str | None) -> None:
        """Prepare for the answer to the next request.

        Args:
            request_id: Identifier of the request; None for a call of the router's own, which has
                none.
        """
        self._meter.begin()
        self._expected_id = request_id
        if request_id is not None:
            self._sent_ids.append(request_id)

    @property
    def reusable_until(self) -> float:
        """Monotonic time after which the idle connection is not reused."""
        return self._received_at + self._idle_limit_seconds

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the address of the peer."""
        super().connection_made(transport)
        host, port = (transport.get_extra_info("peername") or NO_ENDPOINT)[:2]
        self._endpoint = (host, port)
        self._address = f"{host}:{port}"
        self._received_at = clock.seconds()
        # Bounds the time for which one read from this connection occupies the event loop.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Process received bytes, and store the time of receipt."""
        self._received_at = clock.seconds()
        if self._observer is not None:
            self._observer.handle_contact(self._address)
        # Part of a late answer, perhaps; its rest would arrive in the slot of the next one.
        self._has_stray_bytes |= bool(data) and not self._is_answer_due()
        super().data_received(data)
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        if self._meter.add(len(data), body_bytes):
            self._refuse_rest()

    def _refuse_rest(self) -> None:
        """Close the connection, on which an answer has too many bytes that are not in its body."""
        error = AnswerTooLongError(f"answer with {MAX_FRAMING_BYTES} bytes around its body")
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    async def read(self) -> Any:
        """Return the next answer that belongs to the request or call.

        Runners name the request in each answer, so an answer without an identifier, such as a late
        one to a call, proves nothing of a request. Any other answer is discarded, and the
        connection is closed after this one.
        """
        self._read_started_at = clock.seconds()
        while True:
            message, payload = await super().read()
            answered_id = message.headers.get(names.REQUEST_ID)
            if self._belongs(answered_id):
                self._awaiting_head = False
                if message.code >= FAILURE_STATUS and answered_id is not None:
                    self._note_failed(answered_id)
                # Set before the body is read, since the connection becomes idle with its last byte.
                self._idle_limit_seconds = idle_limit_seconds(message.headers.get(names.KEEP_ALIVE))
                return message, payload
            self._log.discarded(self._expected_id, self._address, message.code, answered_id or "")
            self.force_close()

    def _belongs(self, answered_id: str | None) -> bool:
        """Return whether an answer that names a request belongs to the current request or call."""
        if self._expected_id is None:
            return answered_id not in self._sent_ids
        return answered_id == self._expected_id

    def _note_failed(self, request_id: str) -> None:
        """Note that a request was refused or failed over this connection."""
        self._failed_ids.add(request_id)
        if len(self._failed_ids) >= MAX_FAILED_IDS:
            self.force_close()

    def may_take(self, request_id: str | None) -> bool:
        """Return whether the next answer to a request can only be that to its next attempt.

        The runner may repeat the answer to an earlier attempt over this connection, and a repeated
        refusal would name the request, too.
        """
        return request_id not in self._failed_ids

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that the lost connection cut off, and record a silent peer."""
        self._record_if_silent(exc)
        was_due, payload = self._is_answer_due(), self._payload
        self._log_unfinished_run(exc)
        super().connection_lost(exc)
        # An answer without a length ends so; one with a length has failed by now.
        has_ended = exc is None and not self._awaiting_head
        has_ended = has_ended and payload is not None and payload.exception() is None
        if self._observer is not None and was_due and not has_ended:
            self._observer.handle_broken(self._address)

    def close(self) -> None:
        """Close the connection; a silent peer is recorded first, so that no idle one is reused."""
        self._record_if_silent(None)
        self._note_closing()
        if self.transport is not None:
            close_at_once(self.transport)
        super().close()

    def is_connected(self) -> bool:
        """Return whether the connection can take a request.

        The connection must be open, with no bytes outside answers, and within its idle limit. No
        connection to the same address may have been found silent since this one received bytes.
        """
        has_stray_bytes = self._buffer or self._tail or self._has_stray_bytes
        if has_stray_bytes or not super().is_connected():
            return False
        if clock.seconds() >= self.reusable_until:
            return False
        return self._silent.is_reusable(self._endpoint, self._received_at)

    def _is_answer_due(self) -> bool:
        payload = self._payload
        return self._awaiting_head or (payload is not None and not payload.is_eof())

    def _note_closing(self) -> None:
        """Note that this node closes the connection while an answer is due."""
        transport = self.transport
        if self._closing is None and transport is not None and self._is_answer_due():
            unsent = unsent_bytes(transport, transport.get_extra_info("socket"))
            self._closing = _Closing(clock.seconds(), unsent)

    def _log_unfinished_run(self, exc: BaseException | None) -> None:
        closing = self._closing
        if self._expected_id is None or (closing is None and not self._is_answer_due()):
            return
        run = UnfinishedRun(
            request_id=self._expected_id,
            address=self._address,
            relay_id=self._relay_id,
            closed_by_router=closing is not None,
            closing_seconds=clock.seconds() - closing.since if closing is not None else 0.0,
            unsent_bytes=closing.unsent_bytes if closing is not None else 0,
            error=exc,
        )
        self._log.run_left(run)

    def _record_if_silent(self, exc: BaseException | None) -> None:
        silent_since = max(self._read_started_at, self._received_at)
        timed_out = (
            self._is_answer_due() and clock.seconds() - silent_since >= UNANSWERED_LIMIT_SECONDS
        )
        if timed_out or (isinstance(exc, OSError) and exc.errno == errno.ETIMEDOUT):
            self._silent.record(self._endpoint)


class StrictResponse(aiohttp.ClientResponse):
    """A response whose request identifier must be that of its request."""

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        """Prepare the connection for the answer to this request, then read the head."""
        protocol = connection.protocol
        if isinstance(protocol, StrictResponseHandler):
            protocol.begin_answer(self.request_info.headers.get(names.REQUEST_ID))
        return await super().start(connection)


def idle_limit_seconds(announced: str | None) -> float:
    """Return how long a connection may stay idle, from the ``Keep-Alive`` field of an answer."""
    for parameter in (announced or "").split(","):
        name, _, value = parameter.partition("=")
        seconds = parse_whole_number(value.strip())
        if name.strip().lower() == "timeout" and seconds is not None:
            return min(MAX_IDLE_SECONDS, KEEP_ALIVE_SHARE * seconds)
    return DEFAULT_IDLE_SECONDS
