"""Decoding of what other processes have written.

Decoders raise errors of several kinds: a number may have too many digits for the interpreter, and
nested values exceed the depth of a decoder that calls itself. Whoever reads from outside the
process decodes here, and has to handle one error.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, TypeVar

import msgspec

# Digits of the longest whole number that is read from a text: those of 63 bits, without the last.
MAX_DIGITS = 18
# A whole number that fits into the messages between nodes.
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

Body = TypeVar("Body")


class MalformedDataError(ValueError):
    """Data that another process has written can't be decoded."""


def decode_json(data: bytes | str, kind: type[Body]) -> Body:
    """Decode JSON to a typed value.

    Raises:
        MalformedDataError: The data are no JSON, are nested too deeply, or have another type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (ValueError, RecursionError) as error:
        raise MalformedDataError(str(error)) from error


def parse_json(data: bytes | str) -> Any:
    """Decode JSON to plain values.

    Raises:
        MalformedDataError: The data are no JSON, or are nested too deeply.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MalformedDataError(str(error)) from error


def to_typed(value: Any, kind: type[Body]) -> Body:
    """Convert plain values to a typed one; whole numbers may be texts, and bytes are base64.

    Raises:
        MalformedDataError: The values have another type.
    """
    try:
        return msgspec.convert(value, kind, strict=False)
    except (ValueError, RecursionError) as error:
        raise MalformedDataError(str(error)) from error


def parse_whole_number(text: str | bytes) -> int | None:
    """Return the number in a text of at most ``MAX_DIGITS`` decimal digits; None for others."""
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None
