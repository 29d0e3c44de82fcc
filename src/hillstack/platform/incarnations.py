"""Identifiers of runners' processes.

On the wire a runner has an ``id``, under which it may start again, and says in ``born`` when it
started. The product's identifier of a runner names one process: it holds both. So whatever is
believed or told of a process before never counts for the next one, without a check anywhere else.
"""

from __future__ import annotations

from hillstack.errors import BackendError, RunnerRestartedError

SEPARATOR = "#"


def runner_id_of(instance: str, born: int) -> str:
    """Return the product's identifier of a process.

    Args:
        instance: Its ``id`` on the wire.
        born: When it started, in Unix milliseconds; 0 if it does not say.
    """
    if born:
        return f"{instance}{SEPARATOR}{born}"
    # Otherwise an ``id`` that looks like one with a start would be taken apart.
    return instance + SEPARATOR if SEPARATOR in instance else instance


def instance_of(runner_id: str) -> str:
    """Return the ``id`` on the wire of a process."""
    instance, separator, _ = runner_id.rpartition(SEPARATOR)
    return instance if separator else runner_id


def check_process(runner_id: str, born: int, step: str) -> None:
    """Check that an answer is that of the process that was asked, as far as both can be told.

    Args:
        runner_id: The process that was asked.
        born: When the one that answered started; 0 if it does not say.
        step: What was asked, for the error.

    Raises:
        RunnerRestartedError: A later process of the same ``id`` has answered.
        BackendError: One before it has, late.
    """
    known = runner_id.rpartition(SEPARATOR)[2] if SEPARATOR in runner_id else ""
    if not born or not known or int(known) == born:
        return
    if born > int(known):
        raise RunnerRestartedError(f"started again at {born}", step=step, peer=runner_id)
    raise BackendError(f"answer of the process before, of {born}", step=step, peer=runner_id)
