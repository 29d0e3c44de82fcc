from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.config.settings import LimitsSection
from hillstack.core.attempt import AttemptState, Outcome, RequestAttempts
from hillstack.core.bundle_index import index_bundle
from hillstack.core.prefix import PrefixScope
from hillstack.errors import CodecError, CrossedAnswerError
from hillstack.gateway.errors import CallerError
from hillstack.gateway.parsing import authenticate, parse_completion, request_timeout
from hillstack.gateway.stream_relay import DONE_EVENT, StreamRelay
from hillstack.messages.codec import Codec
from hillstack.messages.types import Ack, ClaimReply, ClaimStatus, Ping, StoredAnswer
from tests.builders import make_bundle, make_member

INDEX = index_bundle(make_bundle())
USAGE = b'data: {"id":"cmpl-r-1","choices":[],"usage":{"cached_tokens":7}}\n\n'


def event(number: int, identifier: str = "r-1") -> bytes:
    content = {"id": f"cmpl-{identifier}", "choices": [{"text": str(number)}]}
    return b"data: " + json.dumps(content, separators=(",", ":")).encode() + b"\n\n"


def relay_all(pieces: list[bytes], include_usage: bool = False) -> tuple[StreamRelay, bytes]:
    relay = StreamRelay("r", False, include_usage)
    relay.start_attempt("r-1", "engine")
    return relay, b"".join(relay.feed(piece) for piece in pieces)


@given(st.lists(st.integers(1, 40), max_size=30))
def test_relay_output_does_not_depend_on_how_the_stream_is_split(sizes: list[int]) -> None:
    stream = b"".join(event(number) for number in range(8)) + USAGE + DONE_EVENT
    pieces, rest = [], stream
    for size in sizes:
        pieces.append(rest[:size])
        rest = rest[size:]
    relay, forwarded = relay_all([*pieces, rest])
    assert relay.done
    assert relay.events_forwarded == 8
    assert relay.cached_tokens == 7
    assert forwarded == b"".join(event(number, "r") for number in range(8))


def test_relay_passes_the_usage_event_to_callers_who_asked() -> None:
    _, forwarded = relay_all([event(0) + USAGE + DONE_EVENT], include_usage=True)
    assert b"usage" in forwarded


def test_relay_discards_an_incomplete_event_of_a_failed_attempt() -> None:
    relay, forwarded = relay_all([event(0) + event(1)[:20]])
    assert relay.events_forwarded == 1
    relay.start_attempt("r-2", "other")
    forwarded += relay.feed(event(1, "r-2") + DONE_EVENT)
    assert forwarded == event(0, "r") + event(1, "r")
    assert relay.done


def test_relay_refuses_an_event_of_another_request() -> None:
    relay, _ = relay_all([event(0)])
    with pytest.raises(CrossedAnswerError):
        relay.feed(event(1, "other-1"))


def test_relay_does_not_accept_an_identifier_inside_the_text() -> None:
    relay, _ = relay_all([])
    crossed = event(0, "q-1").replace(b'"0"', b'"cmpl-r-1"')
    with pytest.raises(CrossedAnswerError):
        relay.feed(crossed)


@given(st.binary(max_size=200))
def test_any_bytes_are_parsed_or_refused_as_a_completion(raw: bytes) -> None:
    with pytest.raises(CallerError) as caught:
        parse_completion(raw, chat=False, index=INDEX)
    assert 400 <= caught.value.answer.status < 500


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=10,
    )
)
def test_any_json_is_parsed_or_refused(content: object) -> None:
    raw = json.dumps({"model": "model", "prompt": content, "max_tokens": content}).encode()
    try:
        parsed = parse_completion(raw, chat=False, index=INDEX)
    except CallerError as error:
        assert error.answer.status == 400
    else:
        assert isinstance(parsed.prompt, str)


def test_an_adapter_is_requested_by_name_and_has_its_own_scope() -> None:
    adapters = [{"name": "forms", "version": 3}]
    model = {"name": "model", "pool": "engines", "weights_version": 2, "adapters": adapters}
    index = index_bundle(make_bundle(models=[model]))
    parsed = parse_completion(b'{"model": "forms", "prompt": "x"}', chat=False, index=index)
    assert parsed.served.model.name == "model"
    assert parsed.served.scope("tenant-a") == PrefixScope("tenant-a", "model", 2, "forms", 3)


@pytest.mark.parametrize("value", ["", "abc", "-1", "0", "nan", "inf"])
def test_bad_deadlines_are_refused(value: str) -> None:
    with pytest.raises(CallerError):
        request_timeout({"x-request-timeout": value}, LimitsSection())


@pytest.mark.parametrize("value", [None, "Basic abc", "Bearer ", "Bearer wrong"])
def test_wrong_tokens_are_refused(value: str | None) -> None:
    headers = {} if value is None else {"authorization": value}
    with pytest.raises(CallerError) as caught:
        authenticate(headers, INDEX)
    assert caught.value.answer.status == 401


def test_not_run_is_reported_only_while_no_bytes_may_have_left() -> None:
    attempts = RequestAttempts("r", repeatable=False)
    first = attempts.start("a")
    first.advance(AttemptState.CONNECTING)
    assert attempts.outcome_of_refusal() is Outcome.NOT_RUN
    assert attempts.may_retry()
    first.advance(AttemptState.BYTES_MAY_HAVE_LEFT)
    assert attempts.outcome_of_refusal() is Outcome.UNKNOWN
    assert not attempts.may_retry()


def test_a_possible_repeat_is_never_reported_as_not_run() -> None:
    attempts = RequestAttempts("r", repeatable=False, may_be_repeat=True)
    assert attempts.outcome_of_refusal() is Outcome.UNKNOWN


MESSAGES: list[Ping | Ack | ClaimReply] = [
    Ping(3, make_member("a"), (make_member("b"),)),
    Ack(4, make_member("a")),
    ClaimReply(ClaimStatus.HELD, StoredAnswer(200, "application/json", b"\x00\xff")),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_codec_round_trip(message: Ping | Ack | ClaimReply) -> None:
    codec = Codec(b"k" * 32)
    assert codec.decode(codec.encode(message), "peer") == message


@given(st.binary(max_size=300))
def test_codec_refuses_frames_that_are_not_authentic(frame: bytes) -> None:
    with pytest.raises(CodecError):
        Codec(b"k" * 32).decode(frame, "peer")


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_codec_refuses_changed_and_truncated_frames(at: int, change: int) -> None:
    codec = Codec(b"k" * 32)
    frame = bytearray(codec.encode(MESSAGES[0]))
    at %= len(frame)
    with pytest.raises(CodecError):
        codec.decode(bytes(frame[:at]), "peer")
    frame[at] ^= change
    with pytest.raises(CodecError):
        codec.decode(bytes(frame), "peer")


def test_codec_refuses_another_key() -> None:
    with pytest.raises(CodecError):
        Codec(b"x" * 32).decode(Codec(b"k" * 32).encode(MESSAGES[0]), "peer")


@given(st.binary(max_size=60))
def test_codec_refuses_an_authentic_frame_with_an_invalid_payload(payload: bytes) -> None:
    codec = Codec(b"k" * 32)
    with pytest.raises(CodecError):
        codec.decode(codec._digest(payload) + payload, "peer")
