"""A node whose process ends at once after a planned stop, without closing its connections itself.

How many iterations of the event loop a process makes while it closes its connections depends on
what is open. Nothing that a caller is owed may depend on it.
"""

from __future__ import annotations

from hillstack.daemon.fleet_main import main
from hillstack.daemon.runner_access import RunnerAccess


async def leave_open(_: RunnerAccess) -> None:
    """Leave the connections to runners and relays to the end of the process."""


if __name__ == "__main__":
    setattr(RunnerAccess, "close", leave_open)  # noqa: B010
    main()
