"""Cuts a stream of server-sent events into whole events and follows their identifiers."""

from __future__ import annotations

from hillstack.errors import CrossedAnswerError

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# An event is some hundred bytes; a runner that never ends one must not fill the memory.
MAX_EVENT_BYTES = 1_000_000


class EventFraming:
    """The events of one caller's stream, over all attempts.

    Args:
        last_event_id: Identifier of the last event that the caller has, None for none.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        self.passed_any = False
        self._rest = b""

    def start_attempt(self) -> None:
        """Begin to read another answer; half an event of an earlier one is dropped."""
        self._rest = b""

    @property
    def inside_event(self) -> bool:
        """Return whether the answer has broken off, or ended, inside an event."""
        return bool(self._rest.strip())

    def feed(self, piece: bytes, peer: str) -> bytes:
        """Take a piece of an answer and return the whole events to pass on.

        Raises:
            CrossedAnswerError: It is no stream of events with rising identifiers.
        """
        data = self._rest + piece if self._rest else piece
        end = data.rfind(EVENT_END)
        if end < 0:
            self._keep_rest(data, peer)
            return b""
        end += len(EVENT_END)
        self._keep_rest(data[end:], peer)
        whole = data[:end]
        newest = _last_id(whole)
        if newest is not None:
            self._check_order(whole, newest, peer)
            self.last_event_id = newest
        self.passed_any = True
        return whole

    def _check_order(self, whole: bytes, newest: int, peer: str) -> None:
        previous = self.last_event_id
        if previous is not None and newest <= previous:
            raise CrossedAnswerError("event out of order", step="relay", peer=peer)

    def _keep_rest(self, rest: bytes, peer: str) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise CrossedAnswerError("event too long", step="relay", peer=peer)
        self._rest = rest


def _last_id(whole: bytes) -> int | None:
    """Return the identifier of the last event that has one."""
    at = whole.rfind(b"\n" + ID_FIELD)
    if at >= 0:
        at += 1
    elif whole.startswith(ID_FIELD):
        at = 0
    else:
        return None
    end = whole.find(b"\n", at)
    text = whole[at + len(ID_FIELD) : end].strip()
    return int(text) if text.isdigit() else None
