"""Rendering of prompts and their tokens.

The byte-level tokenizer makes one token of each UTF-8 byte. It is used where no vocabulary is
configured. Block boundaries then differ from the engine's, which costs cache hits but never
correctness.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a chat prompt."""

    role: str
    content: str


class Tokenizer(Protocol):
    """Turns text into tokens of a fixed width in bytes."""

    width: int

    def encode(self, text: str) -> bytes:
        """Return the tokens, ``width`` bytes each."""
        ...


class ByteTokenizer:
    """One token for each UTF-8 byte."""

    width = 1

    def encode(self, text: str) -> bytes:
        """Return the UTF-8 bytes of the text."""
        return text.encode()


def render_chat(messages: Sequence[ChatMessage]) -> str:
    """Return the prompt text of a chat, which is a prefix of the text of its continuation."""
    return "".join(f"<|{message.role}|>\n{message.content}\n" for message in messages)
