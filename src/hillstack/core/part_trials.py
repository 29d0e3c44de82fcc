"""The outcome of the trials of prompt parts: runners that crashed, and the marks of nodes."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping

# Stands among the crashed runners in the ledger of a part that a node has found fatal, by successes
# that other nodes may lack.
FATAL_MARK = "fatal"


class PartTrials:
    """Runners that crashed under the trials of parts, and the marks of nodes, by part.

    They count toward the bound for good, unless a runner turns out not to have crashed.
    """

    def __init__(self) -> None:
        # Since when this node knows of each runner or mark.
        self._crashed: dict[int, dict[str, float]] = {}
        # Parts under which a crash that this node had recorded was retracted, since the marks were
        # last checked.
        self._retracted: set[int] = set()

    def get(self, part: int) -> frozenset[str]:
        """Return the runners that crashed under trials of a part, and the mark of a node."""
        return frozenset(self._crashed.get(part, ()))

    def record(self, part: int, crashed: Collection[str], known_since: float) -> None:
        """Record runners that crashed under trials of a part, or the mark of a node."""
        for name in crashed:
            self._crashed.setdefault(part, {}).setdefault(name, known_since)

    def forget(self, part: int) -> bool:
        """Forget the trials of a part; return whether it had any."""
        return self._crashed.pop(part, None) is not None

    def marked(self) -> list[int]:
        """Return the parts that some node has found fatal, according to their ledgers."""
        return [part for part, crashed in self._crashed.items() if FATAL_MARK in crashed]

    def runner_ids(self) -> Iterator[str]:
        """Yield the runners that crashed under trials."""
        for crashed in self._crashed.values():
            yield from crashed.keys() - {FATAL_MARK}

    def retract(
        self, runner_id: str, contact_at: float, parts: Collection[int], kept: Collection[int]
    ) -> None:
        """Remove a runner that has not crashed.

        Args:
            runner_id: The runner.
            contact_at: Time of the contact that shows it; what became known later stays.
            parts: Parts under which its crash was recorded, and is retracted.
            kept: Parts under which it has crashed after the contact.
        """
        self._retracted.update(parts)
        for part, crashed in list(self._crashed.items()):
            if crashed.get(runner_id, math.inf) <= contact_at and part not in kept:
                self._remove(part, runner_id)

    def take_unfounded(self, crashes: Mapping[int, Collection[str]], min_crashes: int) -> list[int]:
        """Remove and return the marks of parts that retractions have left with too few crashes.

        A node that has just started knows a mark, but not the crashes behind it. So the number of
        crashes counts only at a node that had recorded one which was retracted.

        Args:
            crashes: Runners that crashed under each part, whether under a trial or not.
            min_crashes: Number of crashes from which a part may be fatal.
        """
        retracted, self._retracted = self._retracted, set()
        unfounded = []
        for part in retracted:
            known = {*self.get(part), *crashes.get(part, ())}
            if FATAL_MARK in known and len(known - {FATAL_MARK}) < min_crashes:
                self._remove(part, FATAL_MARK)
                unfounded.append(part)
        return unfounded

    def _remove(self, part: int, name: str) -> None:
        del self._crashed[part][name]
        if not self._crashed[part]:
            del self._crashed[part]
