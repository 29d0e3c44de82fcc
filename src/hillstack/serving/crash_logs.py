"""Log lines and log fields of runner crashes."""

from __future__ import annotations

import logging

from hillstack.core.runner_crashes import FatalRequest, RunAtCrash
from hillstack.core.runner_pool import Runner

logger = logging.getLogger(__name__)

# Runs of a crash that are logged: the largest runners have 64 slots.
MAX_LOGGED_RUNS = 16


def log_crash(runner: Runner, runs: dict[int, RunAtCrash]) -> None:
    """Log this node's requests at a runner that crashed, the youngest runs first."""
    youngest = sorted(runs.items(), key=lambda item: item[1].age)[:MAX_LOGGED_RUNS]
    fields = {
        "runner": runner.runner_id,
        "requests": {f"{name:016x}": round(run.age * 1000) for name, run in youngest},
        "running": len(runs),
    }
    logger.info("runner ended", extra=fields)


def evidence_fields(found: FatalRequest) -> dict[str, object]:
    """Return the log fields of the evidence against a fatal request."""
    return {
        "fingerprint": f"{found.fingerprint:016x}",
        "runners": list(found.runner_ids),
        "ages_ms": [round(age * 1000) for age in found.ages],
        "share": round(found.share, 3),
    }
