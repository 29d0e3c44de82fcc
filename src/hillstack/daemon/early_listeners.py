"""Listening sockets that a node opens before it loads its libraries.

Loading the libraries takes most of the startup time. Callers who connect during this time wait in
the backlog instead of being refused. This module therefore imports only light modules of the
standard library.
"""

from __future__ import annotations

import errno
import socket
import time
import tomllib
from dataclasses import dataclass
from pathlib import Path

from hillstack import clock
from hillstack.addresses import LISTEN_BACKLOG, split_address
from hillstack.errors import SettingsError

# How long to wait for an address that the previous process still uses: longer than its grace period
# of 8 s.
ADDRESS_WAIT_SECONDS = 10.0
# A caller that acknowledges no data for this long is taken as disconnected: its connection and its
# request end. Callers abandon a stream after a gap of 3 to 4 s, so no waiting caller is cut off.
CALLER_SILENCE_MS = 10_000
# An idle connection is probed after 10 s and ends at the next probe time, after about 15 s, if the
# probe was not acknowledged. On Linux ``CALLER_SILENCE_MS`` takes the place of the probe count
# (TCP_USER_TIMEOUT in tcp(7)).
CALLER_PROBE_IDLE_SECONDS = 10
CALLER_PROBE_INTERVAL_SECONDS = 5
CALLER_PROBE_COUNT = 2
# Pause between attempts to listen: callers are refused for at most a fiftieth of a second longer.
ADDRESS_RETRY_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class EarlyListeners:
    """Listening sockets of a node, which its servers use later.

    Attributes:
        callers: Socket for requests of callers.
        readiness: Socket for readiness checks.
        listening_at: When both sockets were listening, in seconds of the node's clock.
    """

    callers: socket.socket
    readiness: socket.socket
    listening_at: float


def open_early_listeners(settings_path: Path) -> EarlyListeners:
    """Listen on the addresses of a settings file, before the whole file is validated.

    Raises:
        SettingsError: The file can't be read, or listening on an address failed.
    """
    addresses = _listen_addresses(settings_path)
    opened = [_listen(address) for address in addresses]
    return EarlyListeners(opened[0], opened[1], clock.seconds())


def _listen_addresses(settings_path: Path) -> tuple[str, str]:
    try:
        with settings_path.open("rb") as file:
            section = tomllib.load(file)["listen"]
        return str(section["callers"]), str(section["readiness"])
    except OSError as error:
        text = f"{settings_path}: {error.strerror}"
        raise SettingsError(text, step="read settings") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{settings_path}: not TOML: {error}", step="read settings") from error
    except (KeyError, TypeError) as error:
        text = f"{settings_path}: [listen] must name callers and readiness"
        raise SettingsError(text, step="read settings") from error


def _listen(address: str) -> socket.socket:
    """Listen on an address; wait while another process, such as a stopping one, still uses it."""
    family = socket.AF_INET6 if address.startswith("[") else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _enable_keepalive(opened)
    gives_up_at = clock.seconds() + ADDRESS_WAIT_SECONDS
    while True:
        try:
            opened.bind(split_address(address))
            opened.listen(LISTEN_BACKLOG)
        except (OSError, ValueError, OverflowError) as error:
            held = isinstance(error, OSError) and error.errno == errno.EADDRINUSE
            if held and clock.seconds() < gives_up_at:
                time.sleep(ADDRESS_RETRY_SECONDS)
                continue
            opened.close()
            raise SettingsError(str(error), step="listen", peer=address) from error
        opened.setblocking(False)
        return opened


def _enable_keepalive(listener: socket.socket) -> None:
    """Let the kernel close connections of silent callers; accepted sockets inherit the options."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_USER_TIMEOUT, CALLER_SILENCE_MS),
        (socket.TCP_KEEPIDLE, CALLER_PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, CALLER_PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, CALLER_PROBE_COUNT),
    )
    for option, value in options:
        listener.setsockopt(socket.IPPROTO_TCP, option, value)
