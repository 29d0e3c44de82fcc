"""Runners that report that they are brittle: they fail if they reject too many requests.

A runner that has not answered this node yet counts as brittle as another one of its service.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hillstack.core.runner_limit import AnswerSource, RunnerLimit


class BrittleRunners:
    """The processes that are brittle according to their latest answers; usually none."""

    def __init__(self) -> None:
        self._states: dict[str, RunnerLimit] = {}

    def __bool__(self) -> bool:
        return bool(self._states)

    def apply(
        self,
        runner_id: str,
        state: RunnerLimit,
        rejections: float | None,
        source: AnswerSource,
        now: float,
    ) -> bool:
        """Apply an answer of a process; return whether this changed anything.

        Args:
            runner_id: The process.
            state: What the process has reported so far.
            rejections: Rejections in a second that the process tolerates; None if it is not
                brittle.
            source: The answer.
            now: When the answer arrived, on the node's clock.
        """
        changed = state.apply(rejections, source, now)
        if state.rate is None:
            self._states.pop(runner_id, None)
        else:
            self._states[runner_id] = state
        return changed

    def services(self, service_of: Mapping[str, str]) -> set[str]:
        """Return the services with brittle runners, and forget the runners that are gone.

        Args:
            service_of: Service of each known runner.
        """
        for runner_id in self._states.keys() - service_of.keys():
            del self._states[runner_id]
        return {service_of[runner_id] for runner_id in self._states}

    def tolerated_rejections(self, runner_id: str, siblings: Iterable[str]) -> float | None:
        """Return the rejections in a second that a runner tolerates; None if it is not brittle.

        Args:
            runner_id: The runner.
            siblings: The other runners of its service.
        """
        known = self._states.get(runner_id)
        if known is not None:
            return known.rate
        rates = [self._states[name].rate for name in siblings if name in self._states]
        return min((rate for rate in rates if rate is not None), default=None)
