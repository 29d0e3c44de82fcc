"""The promise that no node logs an internal error."""

from __future__ import annotations

import json
from pathlib import Path

INTERNAL_ERRORS = frozenset(
    {
        "background task failed",
        "item not applied",
        "request failed",
        "rollout task failed",
    }
)
MAX_TEXT = 400


def log_problems(path: Path) -> list[str]:
    """Return the lines of a node's log that show an internal error or aren't JSON."""
    lines = path.read_text().splitlines()
    return [f"{path.name}: {line[:MAX_TEXT]}" for line in lines if _is_problem(line)]


def _is_problem(line: str) -> bool:
    if not line.startswith("{"):
        return True
    try:
        entry = json.loads(line)
    except ValueError:
        return True
    return entry.get("message") in INTERNAL_ERRORS
