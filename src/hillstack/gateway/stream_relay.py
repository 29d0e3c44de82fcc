"""Checks and rewrites the chunks of a streamed answer without parsing the JSON in them.

Only complete events are forwarded, as soon as their last byte arrives. Every event must carry the
attempt's identifier, which is replaced by the request's identifier. Events are counted, so that a
broken stream can resume on another engine right after the last event that was forwarded.
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
    """The state of one caller's stream across all attempts.

    Args:
        request_id: Identifier that the caller sees.
        chat: Whether the request is a chat completion.
        include_usage: Whether the caller asked for the usage event.
    """

    def __init__(self, request_id: str, chat: bool, include_usage: bool) -> None:
        self._prefix = CHAT_PREFIX if chat else TEXT_PREFIX
        self._request_mark = self._id_mark(request_id)
        self._attempt_mark = b""
        self._include_usage = include_usage
        self._peer = ""
        self._incomplete_event = b""
        self.events_forwarded = 0
        self.done = False
        self.cached_tokens: int | None = None

    def start_attempt(self, attempt_id: str, peer: str) -> None:
        """Start reading the answer of an attempt; drop an incomplete event of the previous one."""
        self._attempt_mark = self._id_mark(attempt_id)
        self._peer = peer
        self._incomplete_event = b""

    def feed(self, chunk: bytes) -> bytes:
        """Process a chunk of the engine's answer and return the bytes to forward.

        Raises:
            CrossedAnswerError: An event belongs to another request or is too long.
        """
        data = self._incomplete_event + chunk if self._incomplete_event else chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._buffer_incomplete(data)
            return b""
        whole = data[: end + len(EVENT_END)]
        self._buffer_incomplete(data[end + len(EVENT_END) :])
        if whole.endswith(DONE_EVENT):
            self.done = True
            whole = whole[: -len(DONE_EVENT)]
        self._check_ids(whole)
        if USAGE_MARK in whole:
            whole = self._extract_usage(whole)
        self.events_forwarded += whole.count(EVENT_END)
        return whole.replace(self._attempt_mark, self._request_mark)

    def _id_mark(self, identifier: str) -> bytes:
        return f'"id":"{self._prefix}{identifier}"'.encode()

    def _buffer_incomplete(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise CrossedAnswerError("event too long", step="relay", peer=self._peer)
        self._incomplete_event = rest

    def _check_ids(self, whole: bytes) -> None:
        if whole.count(self._attempt_mark) < whole.count(EVENT_END):
            text = "an event lacks the identifier of its attempt"
            raise CrossedAnswerError(text, step="relay", peer=self._peer)

    def _extract_usage(self, whole: bytes) -> bytes:
        """Read the usage event at the end of a stream; drop it unless the caller asked for it."""
        start = whole.rfind(EVENT_END, 0, len(whole) - len(EVENT_END))
        start = start + len(EVENT_END) if start >= 0 else 0
        event = whole[start:]
        if USAGE_MARK not in event:
            return whole
        self.cached_tokens = _read_number(event, CACHED_TOKENS_MARK)
        return whole if self._include_usage else whole[:start]


def _read_number(event: bytes, mark: bytes) -> int | None:
    """Return the number after the first occurrence of the mark, or None."""
    at = event.find(mark)
    if at < 0:
        return None
    digits = event[at + len(mark) : at + len(mark) + 20].lstrip()
    end = 0
    while end < len(digits) and digits[end : end + 1].isdigit():
        end += 1
    return int(digits[:end]) if end else None
