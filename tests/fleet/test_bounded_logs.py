"""The log of a fleet node: limited in rate, and never blocked by its reader."""

from __future__ import annotations

import json
import logging
import os
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from hillstack.logs import BoundedHandler, make_json_formatter
from hillstack.serving.types import Verdict


class Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        os.close(descriptor)


def make_logger(writer: int, rate: int, clock: Clock) -> tuple[logging.Logger, BoundedHandler]:
    handler = BoundedHandler(writer, rate, clock)
    handler.setFormatter(make_json_formatter("node-1"))
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger, handler


def test_lines_are_json_with_their_fields(pipe: tuple[int, int]) -> None:
    logger, _ = make_logger(pipe[1], 10, Clock())
    logger.info("attempt", extra={"request": "r-1"})
    line = json.loads(os.read(pipe[0], 10_000))
    assert (line["message"], line["request"], line["node"]) == ("attempt", "r-1", "node-1")


def test_fields_of_other_types_are_written_as_text(pipe: tuple[int, int]) -> None:
    logger, _ = make_logger(pipe[1], 10, Clock())
    fields = {
        "age_seconds": float("inf"),
        "verdict": Verdict.OVERLOADED,
        "error": ValueError("odd"),
        "path": Path("a/b"),
        "weights": {"model": 1},
        "name_of": "Hämeen\u2028katu",
    }
    logger.info("rejected: %s", "why", extra=fields)
    line = json.loads(os.read(pipe[0], 10_000))
    assert line["message"] == "rejected: why"
    assert line["level"] == "INFO"
    assert line["logger"] == "test"
    assert re.fullmatch(r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}", line["time"])
    assert (line["verdict"], line["error"], line["path"]) == ("overloaded", "odd", "a/b")
    assert (line["weights"], line["name_of"]) == ({"model": 1}, fields["name_of"])
    assert line["age_seconds"] is None


def test_an_exception_is_one_line_with_its_traceback(pipe: tuple[int, int]) -> None:
    logger, _ = make_logger(pipe[1], 10, Clock())
    try:
        raise ValueError("odd")
    except ValueError:
        logger.exception("request failed", extra={"request": "r-1"})
    text = os.read(pipe[0], 10_000)
    assert text.count(b"\n") == 1
    line = json.loads(text)
    assert line["request"] == "r-1"
    assert line["exc_info"].startswith("Traceback") and line["exc_info"].endswith("ValueError: odd")


def test_lines_over_the_rate_are_dropped_and_counted(pipe: tuple[int, int]) -> None:
    clock = Clock()
    logger, handler = make_logger(pipe[1], 10, clock)
    for _ in range(25):
        logger.info("x")
    assert handler.dropped == 15
    clock.now = 1.0
    logger.info("y")
    lines = os.read(pipe[0], 100_000).splitlines()
    assert len(lines) == 11
    assert json.loads(lines[-1])["dropped"] == 15
    assert handler.dropped == 0


def test_a_stalled_reader_does_not_block_the_logger(pipe: tuple[int, int]) -> None:
    logger, handler = make_logger(pipe[1], 1_000_000, Clock())
    for _ in range(3_000):
        logger.info("x" * 200)
    assert handler.dropped > 0
    seen = b""
    while len(seen) < 60_000:
        seen += os.read(pipe[0], 100_000)
    logger.info("after")
    rest = os.read(pipe[0], 100_000)
    for line in (seen + rest).splitlines():
        json.loads(line)
