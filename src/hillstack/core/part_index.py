"""Estimates which prompt parts are cached by which holder.

A holder is a runner or a KV cache store. It caches parts under a salt, which separates weights
versions and isolated tenants, and evicts the least recently used part when its memory is full. The
index models these caches from the requests that this node and its peers have sent.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt: its identifier and its length in tokens."""

    part_id: str
    tokens: int


PartKey = tuple[str, str]


class _CachedPart(msgspec.Struct):
    """The estimated state of a part at a holder.

    Attributes:
        tokens: Number of cached tokens.
        ready_at: When the prefill of the part is expected to be done; minus infinity if the part
            was observed at the holder.
    """

    tokens: int
    ready_at: float


class _Holder:
    """Estimated cache contents of one holder, in order of their use.

    Args:
        holder_id: Identifier of the holder.
        capacity_tokens: Size of the holder's cache in tokens.
        holders_by_part: Reverse index from parts to holders. All holders share and update it.
    """

    def __init__(
        self, holder_id: str, capacity_tokens: int, holders_by_part: dict[PartKey, set[str]]
    ) -> None:
        self.holder_id = holder_id
        self.capacity = capacity_tokens
        self.total = 0
        self.parts: OrderedDict[PartKey, _CachedPart] = OrderedDict()
        self._holders_by_part = holders_by_part

    def tokens_of(self, key: PartKey) -> int:
        known = self.parts.get(key)
        return known.tokens if known is not None else 0

    def put(self, key: PartKey, tokens: int, ready_at: float) -> None:
        known = self.parts.get(key)
        if known is None:
            self._holders_by_part.setdefault(key, set()).add(self.holder_id)
            self.total += tokens
            self.parts[key] = _CachedPart(tokens, ready_at)
            return
        if known.tokens < tokens or ready_at < known.ready_at:
            known.ready_at = ready_at
        self.total += tokens - known.tokens
        known.tokens = tokens
        self.parts.move_to_end(key)

    def remove(self, key: PartKey) -> None:
        known = self.parts.pop(key, None)
        if known is not None:
            self.total -= known.tokens
            self._remove_from_reverse_index(key)

    def evict(self, limit: int) -> None:
        while self.total > limit and self.parts:
            key, cached = self.parts.popitem(last=False)
            self.total -= cached.tokens
            self._remove_from_reverse_index(key)

    def clear(self) -> None:
        for key in self.parts:
            self._remove_from_reverse_index(key)
        self.parts.clear()
        self.total = 0

    def _remove_from_reverse_index(self, key: PartKey) -> None:
        holders = self._holders_by_part[key]
        holders.discard(self.holder_id)
        if not holders:
            del self._holders_by_part[key]


class PartIndex:
    """Estimated cache contents of all holders.

    Args:
        is_outdated: Returns whether no request may use what a holder, the first argument, caches
            under a salt, the second one. Such parts are not added.
    """

    def __init__(
        self, is_outdated: Callable[[str, str], bool] = lambda holder_id, salt: False
    ) -> None:
        self.is_outdated = is_outdated
        self._holders: dict[str, _Holder] = {}
        self._holders_by_part: dict[PartKey, set[str]] = {}

    def set_capacity(self, holder_id: str, capacity_tokens: int) -> None:
        """Add a holder, or change the size of its cache."""
        holder = self._holders.get(holder_id)
        if holder is None:
            self._holders[holder_id] = _Holder(holder_id, capacity_tokens, self._holders_by_part)
        else:
            holder.capacity = capacity_tokens

    def remove(self, holder_id: str) -> None:
        """Remove a holder."""
        holder = self._holders.pop(holder_id, None)
        if holder is not None:
            holder.clear()

    def clear(self, holder_id: str) -> None:
        """Remove all parts of a holder whose cache was lost."""
        holder = self._holders.get(holder_id)
        if holder is not None:
            holder.clear()

    def remove_outdated(self, holder_id: str) -> None:
        """Remove the parts of a holder that no request may use any more."""
        holder = self._holders.get(holder_id)
        if holder is None:
            return
        salts = {salt for salt, _ in holder.parts}
        outdated = {salt for salt in salts if self.is_outdated(holder_id, salt)}
        for key in [key for key in holder.parts if key[0] in outdated]:
            holder.remove(key)

    def record_cached(
        self,
        holder_id: str,
        salt: str,
        parts: Iterable[PromptPart],
        reserved_tokens: int = 0,
        ready_at: float = -math.inf,
    ) -> None:
        """Record that a holder caches some parts and has just used them.

        Args:
            holder_id: The holder; an unknown holder is ignored.
            salt: Salt under which the parts are cached.
            parts: The parts, in the order of the prompt.
            reserved_tokens: Memory, in tokens, that running requests hold and parts cannot use.
            ready_at: When the prefill of the parts is expected to be done, so that other runners
                can fetch them.
        """
        holder = self._holders.get(holder_id)
        if holder is None or self.is_outdated(holder_id, salt):
            return
        for part in parts:
            holder.put((salt, part.part_id), part.tokens, ready_at)
        holder.evict(max(0, holder.capacity - reserved_tokens))

    def note_ready(
        self, holder_id: str, salt: str, parts: Iterable[PromptPart], ready_at: float
    ) -> bool:
        """Lower the ready time of cached parts to ``ready_at``, where it is later.

        Parts that the holder does not cache, or caches only partly, are left unchanged.

        Returns:
            Whether the holder caches all parts by the estimate; True for an unknown holder.
        """
        holder = self._holders.get(holder_id)
        if holder is None:
            return True
        known = holder.parts
        caches_all = True
        for part in parts:
            cached = known.get((salt, part.part_id))
            if cached is None or cached.tokens < part.tokens:
                caches_all = False
            elif ready_at < cached.ready_at:
                cached.ready_at = ready_at
        return caches_all

    def confirm(self, holder_id: str, salt: str, part: PromptPart) -> int:
        """Record how many tokens of a part were observed at a holder; 0 if it lacks the part.

        Returns:
            The tokens of the part that the index had estimated there.
        """
        holder = self._holders.get(holder_id)
        if holder is None or self.is_outdated(holder_id, salt):
            return 0
        key = (salt, part.part_id)
        estimated = holder.tokens_of(key)
        if part.tokens > 0:
            holder.put(key, part.tokens, -math.inf)
            holder.evict(holder.capacity)
        else:
            holder.remove(key)
        return estimated

    def remove_unlisted(
        self, holder_id: str, listed: Collection[PartKey], read_by: float
    ) -> list[tuple[str, PromptPart]]:
        """Remove the parts that a full listing of a holder lacks; return them with their salts.

        Args:
            holder_id: The holder.
            listed: Salt and identifier of each part in the listing.
            read_by: Time of the listing. Parts whose prefill was expected to be done later than
                that are retained.
        """
        holder = self._holders.get(holder_id)
        if holder is None:
            return []
        removed = [
            (salt, PromptPart(part_id, cached.tokens))
            for (salt, part_id), cached in holder.parts.items()
            if cached.ready_at <= read_by and (salt, part_id) not in listed
        ]
        for salt, part in removed:
            holder.remove((salt, part.part_id))
        return removed

    def remove_unconfirmed(self, holder_id: str, due: float) -> list[tuple[str, PromptPart]]:
        """Remove the parts due by a time that were never observed at the holder.

        Returns:
            Salt and part of each removed part.
        """
        holder = self._holders.get(holder_id)
        if holder is None:
            return []
        unobserved = [
            (salt, PromptPart(part_id, cached.tokens))
            for (salt, part_id), cached in holder.parts.items()
            if -math.inf < cached.ready_at <= due
        ]
        for salt, part in unobserved:
            holder.remove((salt, part.part_id))
        return unobserved

    def is_cached_anywhere(self, salt: str, part_id: str) -> bool:
        """Return whether any holder caches a part, by the estimate."""
        return (salt, part_id) in self._holders_by_part

    def holders_with_part(self, salt: str, part_id: str) -> Collection[str]:
        """Return the holders that cache a part, by the estimate; callers must not modify them."""
        return self._holders_by_part.get((salt, part_id), ())

    def cached_parts_of(self, holder_id: str, min_tokens: int) -> list[tuple[str, PromptPart]]:
        """Return salt and part of each cached part of a holder with at least ``min_tokens``."""
        holder = self._holders.get(holder_id)
        if holder is None:
            return []
        return [
            (salt, PromptPart(part_id, cached.tokens))
            for (salt, part_id), cached in holder.parts.items()
            if cached.tokens >= min_tokens
        ]

    def matched_tokens(
        self,
        holder_id: str,
        salt: str,
        parts: Sequence[PromptPart],
        ready_by: float = math.inf,
    ) -> int:
        """Return the tokens of the leading parts that a holder caches, by the estimate.

        Args:
            holder_id: The holder.
            salt: Salt under which the parts are cached.
            parts: The parts, in the order of the prompt.
            ready_by: Parts whose prefill is expected to be done later do not count.
        """
        holder = self._holders.get(holder_id)
        if holder is None:
            return 0
        matched = 0
        for part in parts:
            cached = holder.parts.get((salt, part.part_id))
            if cached is None or cached.ready_at > ready_by:
                break
            matched += min(cached.tokens, part.tokens)
            if cached.tokens < part.tokens:
                break
        return matched

    def part_count(self) -> int:
        """Return the estimated number of cached parts, summed over all holders."""
        return sum(len(holder.parts) for holder in self._holders.values())
