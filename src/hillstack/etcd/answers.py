"""The bodies of answers of the etcd v3 JSON gateway, as far as the client reads them.

Whole numbers are strings in them, and bytes are base64.
"""

from __future__ import annotations

from typing import Any

import msgspec

from hillstack.decoding import WholeNumber


class Header(msgspec.Struct, frozen=True):
    """The header of an answer, with the cluster's revision."""

    revision: WholeNumber | None = None


class Answer(msgspec.Struct, frozen=True):
    """What all answers may contain."""

    header: Header = Header()
    error: Any = None


class KeyValue(msgspec.Struct, frozen=True):
    """An entry; an empty value is missing from an answer."""

    key: bytes
    mod_revision: WholeNumber
    value: bytes = b""


class RangeAnswer(Answer, frozen=True):
    """The entries of a range of keys."""

    kvs: list[KeyValue] = []


class TransactionAnswer(Answer, frozen=True):
    """Whether the conditions of a transaction held."""

    succeeded: bool = False


class LeaseAnswer(Answer, frozen=True, rename={"lease_id": "ID"}):
    """The identifier of a new lease."""

    lease_id: WholeNumber = 0


class Renewal(msgspec.Struct, frozen=True, rename={"ttl_seconds": "TTL"}):
    """The remaining time of a lease; missing if the lease has expired."""

    ttl_seconds: int = 0


class RenewalAnswer(Answer, frozen=True):
    """The result of a renewal."""

    result: Renewal = Renewal()


class WatchedValue(msgspec.Struct, frozen=True):
    """The value of a changed entry; missing if it was deleted."""

    value: bytes = b""


class WatchEvent(msgspec.Struct, frozen=True):
    """A change of an entry."""

    kv: WatchedValue


class WatchResult(msgspec.Struct, frozen=True):
    """Changes of entries."""

    events: list[WatchEvent] = []


class WatchLine(msgspec.Struct, frozen=True):
    """A line of a watch's stream."""

    result: WatchResult = WatchResult()
