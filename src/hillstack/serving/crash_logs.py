"""Log lines and log fields of runner crashes."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable

from hillstack.core.part_crashes import PartCrashes
from hillstack.core.run_at_crash import RunAtCrash
from hillstack.core.runner_crashes import FatalRequest, RunnerCrash
from hillstack.core.runner_pool import Runner
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.job import Job
from hillstack.serving.request_names import (
    content_of,
    fingerprint_of,
    shared_part_ids,
    shared_part_names,
)

logger = logging.getLogger(__name__)

# Runs of a crash that are logged: the largest runners have 64 slots.
MAX_LOGGED_RUNS = 16
# Shared prompt parts of a crash that are logged.
MAX_LOGGED_PARTS = 24


def log_crash(runner: Runner, runs: dict[int, RunAtCrash]) -> None:
    """Log this node's requests at a runner that crashed, the youngest runs first."""
    youngest = sorted(runs.items(), key=lambda item: item[1].age)[:MAX_LOGGED_RUNS]
    fields = {
        "runner": runner.runner_id,
        "requests": {f"{name:016x}": round(run.age * 1000) for name, run in youngest},
        "running": len(runs),
        "parts": _count_parts(runs.values()),
    }
    logger.info("runner ended", extra=fields)


def log_reported_crash(notice: RunnerEndNotice, peer: str) -> None:
    """Log a crash that a peer reports and that this node did not know."""
    fields = {
        "runner": notice.runner_id,
        "by": peer,
        "ended_ms_ago": notice.ended_ms_ago,
        "requests": [f"{run.fingerprint:016x}" for run in notice.requests[:MAX_LOGGED_RUNS]],
    }
    logger.info("runner end reported", extra=fields)


def _count_parts(runs: Iterable[RunAtCrash]) -> dict[str, int]:
    """Return in how many of the runs that had not settled each shared part was."""
    counts = Counter(part for run in runs if not run.is_settled for part in run.part_ids)
    return dict(counts.most_common(MAX_LOGGED_PARTS))


def log_suspect(job: Job, runner: Runner, crashes: Iterable[RunnerCrash], count: int) -> None:
    """Log that a suspect is sent, with the crashes that this node knows and the permits.

    Args:
        job: The suspect.
        runner: The runner to which it is sent.
        crashes: All crashes that this node knows.
        count: Number of runners that it crashed, according to the count.
    """
    fingerprint = fingerprint_of(job)
    latest = job.permitted.sends[-1] if job.permitted.sends else None
    fields = {
        "request": job.request.request_id,
        "fingerprint": f"{fingerprint:016x}",
        "content": f"{content_of(job):016x}",
        "runner": runner.runner_id,
        "ended": [crash.runner_id for crash in crashes if fingerprint in crash.runs],
        "ends": count,
        "permit": latest.permit if latest is not None else None,
        "peer_permit": latest.peer_permit if latest is not None else None,
    }
    logger.info("suspect sent", extra=fields)


def evidence_fields(found: FatalRequest) -> dict[str, object]:
    """Return the log fields of the evidence against a fatal request."""
    return {
        "fingerprint": f"{found.fingerprint:016x}",
        "runners": list(found.runner_ids),
        "ages_ms": [round(age * 1000) for age in found.ages],
        "share": round(found.share, 3),
    }


def log_part(message: str, job: Job, part: int, **fields: object) -> None:
    """Log an event of a request that concerns one of its prompt parts, by the part's name."""
    ids = dict(zip(shared_part_names(job), shared_part_ids(job), strict=True))
    named = {"part": ids.get(part, ""), "part_name": f"{part:016x}"}
    logger.info(message, extra={"request": job.request.request_id} | named | fields)


def log_fatal_part(part: int, crashes: PartCrashes) -> None:
    """Log that a part was found fatal."""
    fields = {"part_name": f"{part:016x}", "runners": list(crashes.crashes(part))}
    logger.warning("part ends runners", extra=fields)


def log_part_refused(job: Job, part: int, crashes: PartCrashes) -> None:
    """Log that a request is not sent because of a fatal part, with the evidence."""
    runners, trials = list(crashes.crashes(part)), sorted(crashes.trials(part))
    message = "request with a fatal part not sent"
    log_part(message, job, part, runners=runners, trials=trials)


def log_part_corrected(part: int, removed: str) -> None:
    """Log that what was concluded from crashes that were none leaves the ledger of a part."""
    fields = {"part_name": f"{part:016x}", "removed": removed}
    logger.info("ledger of a part corrected", extra=fields)
