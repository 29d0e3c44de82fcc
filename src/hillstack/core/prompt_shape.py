"""The input of placement about a prompt: its parts and the expected output length."""

from __future__ import annotations

from dataclasses import dataclass, field

from hillstack.core.part_index import PromptPart

# About 0.6 s at 5 to 6 ms per step, which is also the duration of a load of weights: a longer
# stream is sure to overlap with a load of its runner and hold it up.
LONG_OUTPUT_TOKENS = 100


@dataclass(frozen=True, slots=True)
class PromptShape:
    """The parts of a prompt and its expected output length.

    Attributes:
        parts: Parts in order; all but the last are shared with other prompts.
        output_tokens: Expected number of generated tokens.
        shared: The parts that other prompts may contain too.
        prompt_tokens: Tokens of all parts.
        shared_tokens: Tokens of the shared parts.
    """

    parts: tuple[PromptPart, ...]
    output_tokens: int
    shared: tuple[PromptPart, ...] = field(init=False)
    prompt_tokens: int = field(init=False)
    shared_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        shared = self.parts[:-1]
        object.__setattr__(self, "shared", shared)
        object.__setattr__(self, "prompt_tokens", sum(part.tokens for part in self.parts))
        object.__setattr__(self, "shared_tokens", sum(part.tokens for part in shared))

    @property
    def total_tokens(self) -> int:
        """Return the memory that the request may use in total, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Return whether the expected output is long."""
        return self.output_tokens > LONG_OUTPUT_TOKENS
