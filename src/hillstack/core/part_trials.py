"""The outcome of the trials of prompt parts: runners that crashed, and the marks of nodes."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass

# Stands among the crashed runners in the ledger of a part that a node has found fatal, by successes
# that other nodes may lack.
FATAL_MARK = "fatal"


@dataclass(frozen=True, slots=True)
class UnfoundedParts:
    """Parts that retracted crashes have left with too few.

    Attributes:
        cleared: No crash is known under them any more, neither under a trial nor otherwise.
        marked: They were marked as fatal, and may no longer be so.
    """

    cleared: list[int]
    marked: list[int]


class PartTrials:
    """Runners that crashed under the trials of parts, and the marks of nodes, by part.

    They count toward the bound for good, unless a runner turns out not to have crashed.
    """

    def __init__(self) -> None:
        self._crashed: dict[int, frozenset[str]] = {}
        # Parts under which a crash was retracted since ``take_unfounded`` was last called, and
        # whether this node knew of it by more than a ledger.
        self._retracted: dict[int, bool] = {}

    def get(self, part: int) -> frozenset[str]:
        """Return the runners that crashed under trials of a part, and the mark of a node."""
        return self._crashed.get(part, frozenset())

    def record(self, part: int, crashed: Collection[str]) -> None:
        """Record runners that crashed under trials of a part, or the mark of a node."""
        if crashed:
            self._crashed[part] = self.get(part).union(crashed)

    def forget(self, part: int) -> bool:
        """Forget the trials of a part; return whether it had any."""
        return self._crashed.pop(part, None) is not None

    def marked(self) -> list[int]:
        """Return the parts that some node has found fatal, according to their ledgers."""
        return [part for part, crashed in self._crashed.items() if FATAL_MARK in crashed]

    def runner_ids(self) -> Iterator[str]:
        """Yield the runners that crashed under trials."""
        for crashed in self._crashed.values():
            yield from crashed - {FATAL_MARK}

    def retract(self, runner_id: str, parts: Collection[int], kept: Collection[int]) -> None:
        """Remove a runner that has not crashed.

        Args:
            runner_id: The runner.
            parts: Parts under which its crash was recorded, and is retracted.
            kept: Parts under which it has crashed after the contact that refutes earlier reports.
        """
        for part, crashed in list(self._crashed.items()):
            if runner_id in crashed and part not in kept:
                self._retracted.setdefault(part, False)
                self._remove(part, runner_id)
        for part in parts:
            self._retracted[part] = True

    def take_unfounded(
        self, crashes: Mapping[int, Collection[str]], min_crashes: int
    ) -> UnfoundedParts:
        """Return the parts that retracted crashes have left with too few, and remove their marks.

        A node that has just started knows a mark, but not the crashes behind it, and no sends of
        nodes that were killed. So the number of crashes counts only after a retraction, and a
        part is cleared only by a node that had recorded the crash.

        Args:
            crashes: Runners that crashed under each part, whether under a trial or not.
            min_crashes: Number of crashes from which a part may be fatal.
        """
        retracted, self._retracted = self._retracted, {}
        known = {part: {*self.get(part), *crashes.get(part, ())} for part in retracted}
        runners = {part: names - {FATAL_MARK} for part, names in known.items()}
        marked = [
            part
            for part, names in known.items()
            if FATAL_MARK in names and len(runners[part]) < min_crashes
        ]
        for part in marked:
            self._remove(part, FATAL_MARK)
        cleared = [part for part, recorded in retracted.items() if recorded and not runners[part]]
        return UnfoundedParts(cleared, marked)

    def _remove(self, part: int, name: str) -> None:
        left = self._crashed[part] - {name}
        if left:
            self._crashed[part] = left
        else:
            del self._crashed[part]
