"""Splits a stream of server-sent events into complete events and tracks their identifiers."""

from __future__ import annotations

from hillstack.decoding import parse_whole_number
from hillstack.errors import CrossedAnswerError

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# Events are some hundred bytes; the limit protects the memory from a runner that never ends one.
MAX_EVENT_BYTES = 1_000_000


class EventFraming:
    """Frames the events of one caller's stream across all attempts.

    Args:
        last_event_id: Identifier of the last event that the caller has received; None for none.
    """

    def __init__(self, last_event_id: int | None) -> None:
        self.last_event_id = last_event_id
        self.has_forwarded_events = False
        self._remainder = b""

    def start_attempt(self) -> None:
        """Start reading the answer of another attempt; drop an incomplete event of the last one."""
        self._remainder = b""

    @property
    def inside_event(self) -> bool:
        """Whether the bytes received so far end inside an event."""
        return bool(self._remainder.strip())

    def feed(self, piece: bytes, peer: str) -> bytes:
        """Take a piece of an answer and return the complete events to pass on to the caller.

        Raises:
            CrossedAnswerError: The identifiers do not increase, or an event is too long.
        """
        data = self._remainder + piece if self._remainder else piece
        end = data.rfind(EVENT_END)
        if end < 0:
            self._store_remainder(data, peer)
            return b""
        end += len(EVENT_END)
        self._store_remainder(data[end:], peer)
        events = data[:end]
        newest = _last_id(events)
        if newest is not None:
            self._check_order(events, newest, peer)
            self.last_event_id = newest
        self.has_forwarded_events = True
        return events

    def _check_order(self, events: bytes, newest: int, peer: str) -> None:
        previous = self.last_event_id
        if previous is not None and newest <= previous:
            raise CrossedAnswerError("event out of order", step="relay", peer=peer)

    def _store_remainder(self, remainder: bytes, peer: str) -> None:
        if len(remainder) > MAX_EVENT_BYTES:
            raise CrossedAnswerError("event too long", step="relay", peer=peer)
        self._remainder = remainder


def _last_id(events: bytes) -> int | None:
    """Return the identifier of the last event that has one."""
    at = events.rfind(b"\n" + ID_FIELD)
    if at >= 0:
        at += 1
    elif events.startswith(ID_FIELD):
        at = 0
    else:
        return None
    end = events.find(b"\n", at)
    text = events[at + len(ID_FIELD) : end].strip()
    return parse_whole_number(text)
