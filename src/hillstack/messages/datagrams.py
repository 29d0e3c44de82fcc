"""Kinds of datagrams between nodes; the first byte of a datagram contains its kind."""

from __future__ import annotations

import enum

from hillstack.errors import CodecError


class DatagramKind(enum.IntEnum):
    """Kind of a datagram.

    Attributes:
        NOTICE: A notice that a node sends directly to each of its peers.
        REPORT: A report that a node sends to the relay of its zone, which forwards the report.
        ZONE_BATCH: A batch that the relay of a zone sends to the relay of another zone.
        FINAL_BATCH: A batch that a relay sends to the nodes of its zone.
        CHANGES_QUESTION: A node's request to a peer for changes of the store.
        CHANGES_ANSWER: The answer to ``CHANGES_QUESTION``.
        TOKEN_QUESTION: A node's request to a token bucket holder for tokens of tenants' limits.
        TOKEN_ANSWER: The answer to ``TOKEN_QUESTION``.
        TRANSFER_QUESTION: A bucket holder's request to another holder for tokens of tenants'
            limits.
        TRANSFER_ANSWER: The answer to ``TRANSFER_QUESTION``.
        REGION_BATCH: A batch that the border relay of a region sends to a node of another region.
        RUNNER_TOKEN_QUESTION: As ``TOKEN_QUESTION``, for runners' limits.
        RUNNER_TOKEN_ANSWER: The answer to ``RUNNER_TOKEN_QUESTION``.
        RUNNER_TRANSFER_QUESTION: As ``TRANSFER_QUESTION``, for runners' limits.
        RUNNER_TRANSFER_ANSWER: The answer to ``RUNNER_TRANSFER_QUESTION``.
        REACH_QUESTION: A node's question which runners a peer reaches.
        REACH_ANSWER: The answer to ``REACH_QUESTION``.
        PLACE_QUESTION: A node's report of its places at a brittle runner, and its question for one.
        PLACE_ANSWER: The answer to ``PLACE_QUESTION``.
        PERMIT_QUESTION: A node's question to a voter for the permit to send a suspect request.
        PERMIT_ANSWER: The answer to ``PERMIT_QUESTION``.
        ORIGIN_REPORT: A node's report which software version began its streams.
        ORIGIN_QUESTION: A node's question which version began a stream.
        ORIGIN_ANSWER: The answer to ``ORIGIN_QUESTION``.
    """

    NOTICE = 1
    REPORT = 2
    ZONE_BATCH = 3
    FINAL_BATCH = 4
    CHANGES_QUESTION = 5
    CHANGES_ANSWER = 6
    TOKEN_QUESTION = 7
    TOKEN_ANSWER = 8
    TRANSFER_QUESTION = 9
    TRANSFER_ANSWER = 10
    REGION_BATCH = 11
    RUNNER_TOKEN_QUESTION = 12
    RUNNER_TOKEN_ANSWER = 13
    RUNNER_TRANSFER_QUESTION = 14
    RUNNER_TRANSFER_ANSWER = 15
    REACH_QUESTION = 16
    REACH_ANSWER = 17
    PLACE_QUESTION = 18
    PLACE_ANSWER = 19
    PERMIT_QUESTION = 20
    PERMIT_ANSWER = 21
    ORIGIN_REPORT = 22
    ORIGIN_QUESTION = 23
    ORIGIN_ANSWER = 24


def wrap(kind: DatagramKind, payload: bytes) -> bytes:
    """Return a datagram that consists of the kind and the payload."""
    return bytes((kind,)) + payload


def unwrap(datagram: bytes, peer: str) -> tuple[DatagramKind, bytes]:
    """Return the kind and the payload of a datagram.

    Raises:
        CodecError: The datagram is empty, or this version does not support its kind.
    """
    try:
        return DatagramKind(datagram[0]), datagram[1:]
    except (IndexError, ValueError) as error:
        raise CodecError("unknown kind of datagram", step="decode", peer=peer) from error
