"""Commands of a fleet node: ``run --check`` and the trace of a request."""

from __future__ import annotations

import json
import re
from pathlib import Path

from typer.testing import CliRunner

from hillstack.cli.exits import ExitCode
from hillstack.cli.main import app
from tests.fleet.test_settings import GOOD

LINES: list[tuple[str, str, str, dict[str, object]]] = [
    ("10:00:01,000", "node-1", "runner suspected", {"runner": "i-1"}),
    ("10:00:01,500", "node-1", "attempt", {"request": "r-1", "runner": "i-1", "weights": 2}),
    ("10:00:01,600", "node-2", "runner gone", {"runner": "i-1"}),
    ("10:00:01,700", "node-1", "runner gone", {"runner": "i-1"}),
    ("10:00:01,800", "node-1", "runner gone", {"runner": "i-9"}),
    ("10:00:02,000", "node-1", "attempt ended", {"request": "r-1", "runner": "i-1"}),
    ("10:00:03,000", "node-1", "attempt", {"request": "r-2", "runner": "i-1"}),
]


def write_log(path: Path) -> None:
    lines = [
        json.dumps({"time": f"2026-01-01 {time}", "node": node, "message": message, **fields})
        for time, node, message, fields in LINES
    ]
    path.write_text("\n".join([f"prefix {lines[0]}", *lines[1:], "not json {", ""]))


def test_a_trace_has_the_lines_of_the_request_and_events_of_its_runners(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    write_log(log)
    result = CliRunner().invoke(app, ["fleet", "trace", "r-1", str(log)])
    assert result.exit_code == 0
    messages = [re.split(r"  +", line)[2] for line in result.output.splitlines()]
    assert messages == ["runner suspected", "attempt", "runner gone", "attempt ended"]


def test_an_unknown_request_is_an_error(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    write_log(log)
    result = CliRunner().invoke(app, ["fleet", "trace", "r-7", str(log)])
    assert result.exit_code == ExitCode.INVALID and "r-7" in result.output


def test_settings_are_checked_without_starting(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(GOOD)
    result = CliRunner().invoke(app, ["fleet", "run", "--settings", str(path), "--check"])
    assert result.exit_code == 0 and "valid" in result.output
    path.write_text(GOOD.replace("peers_port = 7340", 'peers_port = "x"'))
    result = CliRunner().invoke(app, ["fleet", "run", "--settings", str(path), "--check"])
    assert result.exit_code == ExitCode.INVALID and "peers_port" in result.output
