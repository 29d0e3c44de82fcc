"""Checks and rewrites the pieces of a streamed answer without parsing them.

Only whole events are passed on, each piece as it arrives. Every event must carry the attempt's
identifier; the caller sees the request's identifier in its place. Events are counted, so that a
broken stream can resume on another engine right after the last event that the caller has.
"""

from __future__ import annotations

from hillstack.errors import CrossedAnswerError

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
USAGE_MARK = b'"choices":[]'
TEXT_PREFIX = "cmpl-"
CHAT_PREFIX = "chatcmpl-"
CACHED_TOKENS_MARK = b'"cached_tokens":'
MAX_EVENT_BYTES = 1_000_000


class StreamRelay:
    """The state of one caller's stream, over all attempts.

    Args:
        request_id: Identifier that the caller sees.
        chat: Whether it is a chat completion.
        include_usage: Whether the caller asked for the usage event.
    """

    def __init__(self, request_id: str, chat: bool, include_usage: bool) -> None:
        self._prefix = CHAT_PREFIX if chat else TEXT_PREFIX
        self._request_mark = self._id_mark(request_id)
        self._attempt_mark = b""
        self._include_usage = include_usage
        self._peer = ""
        self._rest = b""
        self.events_passed = 0
        self.done = False
        self.cached_tokens: int | None = None

    def start_attempt(self, attempt_id: str, peer: str) -> None:
        """Begin to read the answer of an attempt; half an event of an earlier one is dropped."""
        self._attempt_mark = self._id_mark(attempt_id)
        self._peer = peer
        self._rest = b""

    def feed(self, piece: bytes) -> bytes:
        """Take a piece of the engine's answer and return what to pass on.

        Raises:
            CrossedAnswerError: An event belongs to another request.
        """
        data = self._rest + piece if self._rest else piece
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep_rest(data)
            return b""
        whole = data[: end + len(EVENT_END)]
        self._keep_rest(data[end + len(EVENT_END) :])
        if whole.endswith(DONE_EVENT):
            self.done = True
            whole = whole[: -len(DONE_EVENT)]
        self._check_ids(whole)
        if USAGE_MARK in whole:
            whole = self._take_usage(whole)
        self.events_passed += whole.count(EVENT_END)
        return whole.replace(self._attempt_mark, self._request_mark)

    def _id_mark(self, identifier: str) -> bytes:
        return f'"id":"{self._prefix}{identifier}"'.encode()

    def _keep_rest(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise CrossedAnswerError("event too long", step="relay", peer=self._peer)
        self._rest = rest

    def _check_ids(self, whole: bytes) -> None:
        if whole.count(self._attempt_mark) < whole.count(EVENT_END):
            text = "an event lacks the identifier of its attempt"
            raise CrossedAnswerError(text, step="relay", peer=self._peer)

    def _take_usage(self, whole: bytes) -> bytes:
        """Read the usage event, which ends a stream, and drop it unless the caller wants it."""
        start = whole.rfind(EVENT_END, 0, len(whole) - len(EVENT_END))
        start = start + len(EVENT_END) if start >= 0 else 0
        event = whole[start:]
        if USAGE_MARK not in event:
            return whole
        self.cached_tokens = _read_number(event, CACHED_TOKENS_MARK)
        return whole if self._include_usage else whole[:start]


def _read_number(event: bytes, mark: bytes) -> int | None:
    at = event.find(mark)
    if at < 0:
        return None
    digits = event[at + len(mark) : at + len(mark) + 20].lstrip()
    end = 0
    while end < len(digits) and digits[end : end + 1].isdigit():
        end += 1
    return int(digits[:end]) if end else None
