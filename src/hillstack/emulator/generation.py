"""The text that an emulated engine generates: a function of prompt and position only.

Any engine gives the same tokens for the same prompt, so a caller can check a whole answer and a
stream can resume on another engine.
"""

from __future__ import annotations

from xxhash import xxh3_64_hexdigest

FINGERPRINT_DIGITS = 8


def prompt_fingerprint(prompt: str) -> str:
    """Return a short fingerprint of the prompt."""
    return xxh3_64_hexdigest(prompt.encode())[:FINGERPRINT_DIGITS]


def token_text(fingerprint: str, position: int) -> str:
    """Return the text of the token at a position, counted from 0."""
    return f" {fingerprint}.{position}"


def expected_text(prompt: str, tokens: int) -> str:
    """Return the whole answer to a prompt."""
    fingerprint = prompt_fingerprint(prompt)
    return "".join(token_text(fingerprint, position) for position in range(tokens))
