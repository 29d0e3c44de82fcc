"""A prompt as placement sees it: its parts and how much may be generated."""

from __future__ import annotations

from dataclasses import dataclass, field

from hillstack.core.part_index import PromptPart

# About 0.6 s of steps of 5 to 6 ms: a stream that a load of weights, as long, catches surely.
LONG_OUTPUT_TOKENS = 100


@dataclass(frozen=True, slots=True)
class PromptShape:
    """A prompt as placement sees it.

    Attributes:
        parts: Parts in order; all but the last are shared with other prompts.
        output_tokens: Tokens that are expected to be generated.
        shared: The parts that other prompts may have too.
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
        """Return the memory that the request may come to use, in tokens."""
        return self.prompt_tokens + self.output_tokens

    @property
    def is_long(self) -> bool:
        """Return whether it is expected to generate for long."""
        return self.output_tokens > LONG_OUTPUT_TOKENS
