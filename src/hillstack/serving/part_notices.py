"""Prompt parts of the runs at a crash: those of this node, and in notices to and from peers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from hillstack.core.part_crash import PartCrash
from hillstack.core.request_fingerprint import part_name
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.messages.runner_ends import PartAtEnd, RunnerEndNotice

# Parts in one notice: they fit a datagram of 1,400 bytes, at about 15 bytes each.
MAX_NOTICE_PARTS = 64


def part_runs(runs: Iterable[RunAtCrash]) -> dict[int, RunAtCrash]:
    """Return the oldest run with each shared part, of the runs that had not settled."""
    found: dict[int, RunAtCrash] = {}
    for run in runs:
        if run.is_settled:
            continue
        for part in map(part_name, run.part_ids):
            known = found.get(part)
            if known is None or run.age > known.age:
                found[part] = run
    return found


def reported_part_runs(notice: RunnerEndNotice) -> dict[int, RunAtCrash]:
    """Return the oldest run with each part in a peer's notice."""
    return {
        part.name: RunAtCrash(part.age_ms / 1000, part.answering_ms / 1000) for part in notice.parts
    }


def part_notices(
    runner_id: str, crashes: Mapping[int, PartCrash], now: float
) -> Iterator[RunnerEndNotice]:
    """Yield the notices of one crash with its parts, one per datagram."""
    names = sorted(crashes)
    for first in range(0, len(names), MAX_NOTICE_PARTS):
        named = names[first : first + MAX_NOTICE_PARTS]
        crashed_at = min(crashes[name].crashed_at for name in named)
        ended_ms_ago = max(0, round((now - crashed_at) * 1000))
        parts = [_part_at_end(name, crashes[name].run) for name in named]
        yield RunnerEndNotice(runner_id, ended_ms_ago, [], parts=parts)


def _part_at_end(name: int, run: RunAtCrash) -> PartAtEnd:
    return PartAtEnd(name, round(run.age * 1000), round((run.answering or 0.0) * 1000))
