"""The text that an emulated engine generates, which depends on prompt and position only.

All engines generate the same tokens for the same prompt. A caller can therefore verify a complete
answer, and a stream can resume on another engine.
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
    """Return the complete answer to a prompt."""
    fingerprint = prompt_fingerprint(prompt)
    return "".join(token_text(fingerprint, position) for position in range(tokens))
