"""Entry of a node of the fleet, without the command line's libraries.

The settings file is the first argument, or named by the variable ``HILLSTACK_CONFIG``. The node
listens before it loads its libraries, so only light modules are imported up here.
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
        SettingsError: The settings are invalid, or an address can't be listened on.
    """
    entered_at = clock.seconds()
    # A reload that is asked for before the node handles signals would end the process. It waits
    # until the node lets it through.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # What is loaded now stays: looking through it for garbage again and again costs a tenth of it.
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
