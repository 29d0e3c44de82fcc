"""What a datagram between nodes holds: its first byte says it."""

from __future__ import annotations

import enum

from hillstack.errors import CodecError


class DatagramKind(enum.IntEnum):
    """Kind of a datagram.

    Attributes:
        NOTICE: What one node tells its peers, sent to each of them.
        REPORT: What a node tells its zone's relay, which hands it on.
        ZONE_BATCH: What the relay of a zone tells the relay of another one.
        FINAL_BATCH: What a relay tells the nodes of its zone.
        CHANGES_QUESTION: A node asks another one for changes of the store.
        CHANGES_ANSWER: The answer to that.
        TOKEN_QUESTION: A node asks a holder of token buckets for tokens of tenants' limits.
        TOKEN_ANSWER: The answer to that.
        TRANSFER_QUESTION: A holder of token buckets asks another one for tokens.
        TRANSFER_ANSWER: The answer to that.
        REGION_BATCH: What one region tells another one.
        RUNNER_TOKEN_QUESTION: A node asks a holder of token buckets for tokens of runners' limits.
        RUNNER_TOKEN_ANSWER: The answer to that.
        RUNNER_TRANSFER_QUESTION: A holder asks another one for tokens of runners' limits.
        RUNNER_TRANSFER_ANSWER: The answer to that.
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


def wrap(kind: DatagramKind, payload: bytes) -> bytes:
    """Return the datagram of a payload."""
    return bytes((kind,)) + payload


def unwrap(datagram: bytes, peer: str) -> tuple[DatagramKind, bytes]:
    """Return kind and payload of a datagram.

    Raises:
        CodecError: It is empty or of a kind that this version does not know.
    """
    try:
        return DatagramKind(datagram[0]), datagram[1:]
    except (IndexError, ValueError) as error:
        raise CodecError("unknown kind of datagram", step="decode", peer=peer) from error
