"""Identifiers of runner processes.

On the wire a runner has an ``id``, which it keeps across restarts, and reports its start time in
``born``. Hillstack's runner identifier combines both and so names one process. State recorded for
one process therefore never applies to the next process of the same ``id``, and no other code has
to check for restarts.
"""

from __future__ import annotations

from hillstack.errors import BackendError, RunnerRestartedError

SEPARATOR = "#"


def runner_id_of(instance: str, born: int) -> str:
    """Return hillstack's identifier of a runner process.

    Args:
        instance: The runner's ``id`` on the wire.
        born: Start time of the process in Unix milliseconds; 0 if the runner does not state it.
    """
    if born:
        return f"{instance}{SEPARATOR}{born}"
    # An ``id`` that contains the separator itself gets an empty start time, so that
    # ``instance_of`` does not split the ``id``.
    return instance + SEPARATOR if SEPARATOR in instance else instance


def instance_of(runner_id: str) -> str:
    """Return the ``id`` on the wire of a runner process."""
    instance, separator, _ = runner_id.rpartition(SEPARATOR)
    return instance if separator else runner_id


def check_runner_process(runner_id: str, born: int, step: str) -> None:
    """Check that the process that answered is the one that was addressed.

    The check passes if the start time of either process is unknown.

    Args:
        runner_id: The process that was addressed.
        born: Start time of the process that answered; 0 if the answer does not state it.
        step: The kind of call, for the error.

    Raises:
        RunnerRestartedError: A later process of the same ``id`` answered.
        BackendError: The answer is a late one from an earlier process of the same ``id``.
    """
    expected_born = runner_id.rpartition(SEPARATOR)[2] if SEPARATOR in runner_id else ""
    if not born or not expected_born or int(expected_born) == born:
        return
    if born > int(expected_born):
        raise RunnerRestartedError(f"runner restarted at {born}", step=step, peer=runner_id)
    raise BackendError(
        f"answer from an earlier process, started at {born}", step=step, peer=runner_id
    )
