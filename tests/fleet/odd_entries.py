"""Items of the store that no runner has written, for tests of everything that reads them."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

from tests.fleet.builders import ENGINES, MODEL

# Deeper than the stack of any decoder that calls itself.
DEPTH = 200_000
# More digits than the interpreter converts to a number.
DIGITS = 5_000

ENTRY: dict[str, Any] = {
    "service": ENGINES,
    "address": "10.0.0.9:8000",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "models": [{"name": MODEL, "version": 1}],
    "seq": 4,
    "born": 1_000,
}


def nested_list(depth: int = DEPTH) -> str:
    """Return a JSON list that contains a list, and so on."""
    return "[" * depth + "]" * depth


def nested_object(depth: int = DEPTH) -> str:
    """Return a JSON object that contains an object, and so on."""
    return '{"a":' * depth + "1" + "}" * depth


def entry_text(**changes: str) -> str:
    """Return a runner's entry in which fields are replaced by JSON texts, or added."""
    fields = {name: json.dumps(value) for name, value in ENTRY.items()} | changes
    return "{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}"


def odd_values() -> Iterator[tuple[str, bytes]]:
    """Yield a name and a value for each kind of odd entry of a runner."""
    texts = {
        "nested-list-in-an-unread-field": entry_text(extra=nested_list()),
        "nested-object-in-an-unread-field": entry_text(extra=nested_object()),
        "nested-list-in-a-read-field": entry_text(models=nested_list()),
        "nothing-but-objects": nested_object(),
        "nothing-but-lists": nested_list(),
        "open-lists": "[" * DEPTH,
        "slots-of-19-digits": entry_text(slots="9" * 19),
        "slots-of-5000-digits": entry_text(slots="9" * DIGITS),
        "number-without-end": entry_text(slots="1e999"),
        "port-0": entry_text(address='"10.0.0.9:0"'),
        "port-70000": entry_text(address='"10.0.0.9:70000"'),
        "port-of-5000-digits": entry_text(address=json.dumps("10.0.0.9:" + "9" * DIGITS)),
        "leading-zeros": entry_text(address='"10.0.0.9:0000009999"'),
        "bare-ipv6-address": entry_text(address='"::1:9"'),
        "line-break-in-the-address": entry_text(address='"10.0.0.9\\r\\n:8000"'),
        "lone-surrogate": entry_text(service='"\\ud800"'),
        "version-of-64-bits": entry_text(models=_models(str(2**63 + 5))),
        "version-of-31-digits": entry_text(models=_models(str(10**30))),
        "negative-version": entry_text(models=_models("-5")),
    }
    yield from ((name, text.encode()) for name, text in texts.items())
    yield "no-utf-8", b'{"service":"\xff\xfe"}'
    yield "empty", b""


def _models(version: str) -> str:
    return json.dumps([{"name": MODEL, "version": 0}]).replace("0", version)
