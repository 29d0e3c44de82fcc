"""Entry point of a fleet node, without the libraries of the command line.

The settings file is the first argument or the environment variable ``HILLSTACK_CONFIG``. The node
listens before it loads its libraries, so this module imports only light modules at its top.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

from hillstack import clock
from hillstack.daemon.early_listeners import open_early_listeners
from hillstack.errors import SettingsError

SETTINGS_VARIABLE = "HILLSTACK_CONFIG"
EXIT_INVALID_SETTINGS = 2


def main() -> None:
    """Run a node until it is stopped."""
    path = Path(sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        run_node(path)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        raise SystemExit(EXIT_INVALID_SETTINGS) from None


def run_node(path: Path) -> None:
    """Run a node with a settings file.

    Raises:
        SettingsError: The settings are invalid, or listening on an address failed.
    """
    entered_at = clock.seconds()
    # SIGHUP requests a reload, but would end the process before the node has installed its signal
    # handlers. It stays blocked until then.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # The loaded modules are never freed; scanning them for garbage repeatedly takes a tenth of the
    # loading time.
    gc.disable()
    listeners = open_early_listeners(path)
    from hillstack.daemon.plain_http import load_http_client, load_http_server

    load_http_client()
    load_http_server()
    from hillstack.daemon.fleet_process import run_process
    from hillstack.daemon.start_times import StartTimes

    times = StartTimes(entered_at, listeners.listening_at, loaded_at=clock.seconds())
    gc.freeze()
    gc.enable()
    run_process(path, listeners, times)


if __name__ == "__main__":
    main()
