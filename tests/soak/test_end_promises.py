"""Answers that end as complete without their end, and errors in nodes' logs, are found."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from tests.processes.unframed_answers import UnframedAnswer
from tests.soak.end_promises import ended_without_its_end
from tests.soak.log_promises import log_problems
from tests.soak.observations import CallerRequest, Observations, ResumedStream
from tests.soak.promises import find_violations
from tests.soak.stream_promises import MIXED_ALLOWED, streams_of_two_versions

EVENTS = b"id: 1\ndata: i-1\n\nid: 2\ndata: i-1\n\n"
STREAM = CallerRequest(
    "r-1", "stream", "node-1", "key-1", 10.0, 200, EVENTS, "i-1.r-1", expected_events=2
)
PLAIN = replace(STREAM, kind="once", body=b"i-1:r-1", expected_events=None)
HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: i-1.r-1\r\n"


@pytest.mark.parametrize(
    "request_",
    [
        replace(STREAM, body=EVENTS[:17]),
        replace(STREAM, body=EVENTS[:-1]),
        replace(STREAM, body=b""),
        replace(PLAIN, body=b"i-1:r-"),
        replace(PLAIN, body=b"i-1:"),
        replace(PLAIN, status=500, body=b"i-1:r"),
        replace(STREAM, status=500, body=b""),
    ],
)
def test_an_answer_that_lacks_its_end_is_found(request_: CallerRequest) -> None:
    assert len(list(ended_without_its_end(request_))) == 1
    assert len(find_violations(Observations([request_]))) == 1


@pytest.mark.parametrize(
    "request_",
    [
        STREAM,
        PLAIN,
        replace(PLAIN, status=500),
        replace(PLAIN, fatal="fatal-1", body=b"i-1:fatal-1"),
        replace(STREAM, status=None, body=EVENTS[:17]),
        replace(STREAM, status=503, body=b"", signature=""),
    ],
)
def test_whole_answers_and_those_that_break_off_are_allowed(request_: CallerRequest) -> None:
    assert list(ended_without_its_end(request_)) == []


def test_streams_that_were_taken_up_at_another_version_are_found() -> None:
    seen = Observations(software={"i-1": "v1", "i-2": "v2"})
    body = b"id: 1\ndata: i-1\n\nid: 2\ndata: i-2\n\n"
    seen.resumed += [ResumedStream(f"r-{n}", body, 1, 1) for n in range(MIXED_ALLOWED)]
    assert list(streams_of_two_versions(seen)) == []
    seen.resumed.append(ResumedStream("r-last", body, 1, 1))
    assert len(list(streams_of_two_versions(seen))) == MIXED_ALLOWED + 1


def test_a_stream_that_is_taken_up_holds_the_events_after_its_break() -> None:
    rest = replace(STREAM, after=1, body=EVENTS[17:])
    assert not any("with events" in text for text in find_violations(Observations([rest])))
    again = replace(rest, body=EVENTS)
    assert any("with events" in text for text in find_violations(Observations([again])))


def test_only_a_refused_take_up_may_lack_the_time_to_come_back() -> None:
    refused = replace(STREAM, status=503, body=b"", signature="")
    assert len(find_violations(Observations([refused]))) == 1
    assert len(find_violations(Observations([replace(refused, status=429, after=1)]))) == 1
    assert find_violations(Observations([replace(refused, after=1)])) == []


# Guards against a check that matches no line: it expected a blank after the colon.
@pytest.mark.parametrize(
    "message",
    ["background task failed", "item not applied", "request failed", "rollout task failed"],
)
@pytest.mark.parametrize("colon", [":", ": "])
def test_an_internal_error_in_a_log_is_found(tmp_path: Path, message: str, colon: str) -> None:
    log = tmp_path / "node-1.log"
    sound = '{"message":"started"}\n'
    log.write_text(sound + f'{{"message"{colon}"{message}"}}\n')
    assert len(log_problems(log)) == 1
    log.write_text(sound + "Traceback\n")
    assert len(log_problems(log)) == 1
    log.write_text(sound)
    assert log_problems(log) == []


@pytest.mark.parametrize("size", [1, 7, 1_000])
@pytest.mark.parametrize(
    "framed",
    [
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        HEAD + b"Content-Length: 5\r\n\r\nabcde",
    ],
)
def test_an_answer_to_a_caller_loses_its_framing(framed: bytes, size: int) -> None:
    answer = UnframedAnswer()
    pieces = [framed[at : at + size] for at in range(0, len(framed), size)]
    rewritten = b"".join(answer.rewrite(piece) for piece in pieces)
    assert rewritten == HEAD + b"Connection: close\r\n\r\nabcde"
    assert answer.has_ended


def test_other_answers_keep_their_framing() -> None:
    framed = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    answer = UnframedAnswer()
    assert answer.rewrite(framed) == framed
    assert answer.passes and not answer.has_ended
