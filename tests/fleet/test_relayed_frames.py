"""The bytes that origin and relay exchange."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.errors import CodecError
from hillstack.messages.peer_notices import PROTOCOL_VERSION
from hillstack.messages.relayed_connections import (
    FrameKind,
    FrameReader,
    RelayRequest,
    decode_request,
    encode_frame,
    encode_request,
)

REQUEST = RelayRequest(PROTOCOL_VERSION, "node-1", "i-1")


@given(st.lists(st.binary(max_size=40), max_size=6), st.lists(st.integers(0, 300), max_size=6))
def test_frames_give_the_same_bytes_wherever_they_are_split(
    payloads: list[bytes], cuts: list[int]
) -> None:
    sent = b"".join(encode_frame(FrameKind.DATA, payload) for payload in payloads)
    sent += encode_frame(FrameKind.CLOSING) + encode_frame(FrameKind.RESET)
    places = sorted({min(cut, len(sent)) for cut in cuts} | {0, len(sent)})
    reader = FrameReader()
    pieces = [sent[begin:end] for begin, end in itertools.pairwise(places)]
    frames = [frame for piece in pieces for frame in reader.feed(piece)]
    data = b"".join(payload for kind, payload in frames if kind is FrameKind.DATA)
    assert data == b"".join(payloads)
    others = [kind for kind, _ in frames if kind is not FrameKind.DATA]
    assert others == [FrameKind.CLOSING, FrameKind.RESET]


@pytest.mark.parametrize("frame", [b"\x09\x00\x00\x00\x00", b"\x02\x00\x00\x00\x01"])
def test_a_malformed_frame_is_an_error(frame: bytes) -> None:
    with pytest.raises(CodecError):
        list(FrameReader().feed(frame))


def test_a_request_may_arrive_in_parts() -> None:
    encoded = encode_request(REQUEST)
    assert all(decode_request(encoded[:end], "peer") is None for end in range(len(encoded)))
    assert decode_request(encoded, "peer") == REQUEST


def test_bytes_behind_a_request_are_an_error() -> None:
    with pytest.raises(CodecError):
        decode_request(encode_request(REQUEST) + b"x", "peer")


def test_a_request_that_is_no_message_is_an_error() -> None:
    with pytest.raises(CodecError):
        decode_request(b"\x00\x03abc", "peer")
