"""Notices of runner crashes to the peers, and the runs in the notices of peers."""

from __future__ import annotations

from hillstack.core.crash_counts import CrashCounts
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_crashes import RunnerCrash, RunnerCrashRecord
from hillstack.messages.runner_ends import RequestAtEnd, RunnerEndNotice

# Requests in one notice: they fit a datagram of 1,400 bytes, at about 30 bytes each.
MAX_NOTICE_REQUESTS = 32


def crash_notices(crash: RunnerCrash, now: float) -> list[RunnerEndNotice]:
    """Return the notices of a crash, one per datagram; usually a single one."""
    parts = range(0, max(1, len(crash.runs)), MAX_NOTICE_REQUESTS)
    return [crash_notice(crash, now, first) for first in parts]


def crash_notice(crash: RunnerCrash, now: float, first: int = 0) -> RunnerEndNotice:
    """Return one notice of a crash with some of its runs, the most suspected first."""
    runs = sorted(crash.runs.items(), key=lambda item: (-item[1].weight, item[0]))
    reported = runs[first : first + MAX_NOTICE_REQUESTS]
    requests = [_request_at_end(fingerprint, run) for fingerprint, run in reported]
    ended_ms_ago = max(0, round((now - crash.crashed_at) * 1000))
    return RunnerEndNotice(crash.runner_id, ended_ms_ago, requests, crash.running)


def earlier_crash_notices(
    counts: CrashCounts, record: RunnerCrashRecord, now: float
) -> list[RunnerEndNotice]:
    """Return notices of crashes that are no longer in the record but still counted."""
    crashed_at: dict[str, float] = {}
    requests: dict[str, list[RequestAtEnd]] = {}
    for fingerprint, run in counts.repeated():
        if record.get(run.runner_id) is not None:
            continue
        crashed_at[run.runner_id] = run.crashed_at
        age_ms = round((run.crashed_at - run.began_at) * 1000)
        answering_ms = age_ms if run.is_settled else 0
        reported = requests.setdefault(run.runner_id, [])
        reported.append(RequestAtEnd(fingerprint, age_ms, run.is_settled, answering_ms))
    return [
        RunnerEndNotice(
            runner_id,
            round((now - crashed_at[runner_id]) * 1000),
            reported[first : first + MAX_NOTICE_REQUESTS],
        )
        for runner_id, reported in requests.items()
        for first in range(0, len(reported), MAX_NOTICE_REQUESTS)
    ]


def run_at_crash(request: RequestAtEnd) -> RunAtCrash:
    """Return the run of a request in a notice."""
    answering = request.answering_ms / 1000 if request.started else None
    return RunAtCrash(request.age_ms / 1000, answering, request.content)


def _request_at_end(fingerprint: int, run: RunAtCrash) -> RequestAtEnd:
    answering_ms = 0 if run.answering is None else round(run.answering * 1000)
    return RequestAtEnd(
        fingerprint,
        round(run.age * 1000),
        started=run.answering is not None,
        answering_ms=answering_ms,
        content=run.content,
    )
