"""Block hashes of a prompt prefix.

A block hash covers its parent hash and its tokens, so equal hashes mean equal prefixes. The root
hash covers tenant, model, weights version and adapter: prefixes of another tenant or of older
weights have other hashes and can never match.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Protocol

from xxhash import xxh3_64_intdigest


@dataclass(frozen=True, slots=True)
class PrefixScope:
    """The properties that two prompts must have in common to share cached blocks."""

    tenant: str
    model: str
    weights_version: int
    adapter: str = ""
    adapter_version: int = 0

    def cache_salt(self) -> str:
        """Return the salt sent to engines, so that they separate the scopes in their caches too."""
        parts = (
            self.tenant,
            self.model,
            str(self.weights_version),
            self.adapter,
            str(self.adapter_version),
        )
        return "/".join(parts)


def root_hash(cache_salt: str) -> int:
    """Return the hash that is the parent of a prompt's first block."""
    return xxh3_64_intdigest(cache_salt.encode())


def block_hashes(tokens: bytes, block_tokens: int, width: int, cache_salt: str) -> list[int]:
    """Return the hash of each full block of a prompt, first block first.

    Args:
        tokens: The tokens, ``width`` bytes each.
        block_tokens: Tokens in a block.
        width: Bytes in a token.
        cache_salt: The salt of the prompt's scope.
    """
    size = block_tokens * width
    parent = root_hash(cache_salt)
    hashes = []
    for start in range(0, len(tokens) - size + 1, size):
        parent = xxh3_64_intdigest(tokens[start : start + size], parent)
        hashes.append(parent)
    return hashes


class PromptHashes(Protocol):
    """The block hashes of one prompt, which depend on the weights version."""

    def for_version(self, weights_version: int) -> tuple[int, ...]:
        """Return the hashes under a weights version."""
        ...


@dataclass(slots=True)
class TextHashes:
    """Hashes of a tokenized prompt, computed on first use for each weights version.

    Args:
        tokens: The tokens, ``width`` bytes each.
        block_tokens: Tokens in a block.
        width: Bytes in a token.
        scope: Scope of the prompt; its weights version is replaced by the requested version.
    """

    tokens: bytes
    block_tokens: int
    width: int
    scope: PrefixScope
    _by_version: dict[int, tuple[int, ...]] = field(default_factory=dict)

    def for_version(self, weights_version: int) -> tuple[int, ...]:
        """Return the hashes under a weights version."""
        known = self._by_version.get(weights_version)
        if known is None:
            salt = replace(self.scope, weights_version=weights_version).cache_salt()
            known = tuple(block_hashes(self.tokens, self.block_tokens, self.width, salt))
            self._by_version[weights_version] = known
        return known


@dataclass(frozen=True, slots=True)
class FixedHashes:
    """Hashes that do not depend on the weights version, for use with a single version."""

    hashes: tuple[int, ...]

    def for_version(self, weights_version: int) -> tuple[int, ...]:
        """Return the hashes."""
        return self.hashes
