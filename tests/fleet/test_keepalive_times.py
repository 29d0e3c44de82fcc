"""When the operating system gives up a connection without bytes.

On Linux a TCP_USER_TIMEOUT that is set replaces the count of keepalive probes: the connection ends
at the first probe time, after at least one probe, at which nothing was received for that long.
"""

from __future__ import annotations

import socket

import pytest

from hillstack.daemon.early_listeners import _enable_keepalive
from hillstack.platform.connections import make_socket
from hillstack.serving.silent_attempts import CONNECTION_SILENCE_SECONDS

# Callers of known deployments abandon a stream after this time without an event.
CALLER_PATIENCE_SECONDS = 3.2


def end_seconds(connection: socket.socket) -> float:
    """Return after how many seconds without bytes the system gives up a connection that waits."""
    options = (socket.TCP_USER_TIMEOUT, socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL)
    limit_ms, idle, interval = (
        connection.getsockopt(socket.IPPROTO_TCP, option) for option in options
    )
    assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    probe_at = idle + interval
    while probe_at * 1_000 < limit_ms:
        probe_at += interval
    return float(probe_at)


def test_a_silent_connection_to_a_runner_ends_before_its_request_gives_it_up() -> None:
    made = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1)))
    try:
        assert end_seconds(made) <= CONNECTION_SILENCE_SECONDS < CALLER_PATIENCE_SECONDS
    finally:
        made.close()


@pytest.mark.parametrize("count", [1, 9])
def test_the_count_of_probes_decides_nothing(count: int) -> None:
    made = make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1)))
    try:
        before = end_seconds(made)
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count)
        assert end_seconds(made) == before
    finally:
        made.close()


def test_a_caller_that_is_gone_is_noticed_after_its_patience() -> None:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _enable_keepalive(listener)
        assert CALLER_PATIENCE_SECONDS < end_seconds(listener) <= 15.0
    finally:
        listener.close()
