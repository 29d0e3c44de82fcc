"""Decides which runners load the newest weights next.

A load takes a runner out of use for less than a second (0.57 to 0.76 s on the observed deployments)
and pauses its streams, which continue under the new weights. Loads are paced so that all runners
finish before the deadline from which no request may begin on older weights, and so that enough live
runners continue to serve. If another version is announced meanwhile, it replaces the earlier one
for all runners that have not begun to load.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from hillstack.core.runner_pool import Runner
from hillstack.core.weights_versions import WeightsVersions

# A version announced right after another one replaces it for runners that have not begun to load.
# 0.1 s and 0.3 s made no difference (docs/DECISIONS.md).
START_DELAY_SECONDS = 0.1
# A load is urgent this long before the runner's deadline: two loads and their waits.
URGENT_SECONDS = 2.0
# Greatest share of the live runners that load at once; the pace usually requires fewer.
CONCURRENT_SHARE = 0.4
URGENT_SHARE = 1 / 2
# Time reserved before the deadline, in which a load that failed once can be repeated.
PACE_SAFETY_SECONDS = 1.2
# Keeps the pace finite after the deadline.
MIN_PACE_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class WeightsLoadView:
    """State on which a decision is based.

    Attributes:
        runners: All runners of the services that serve the model.
        loading: Identifiers of runners that are loading.
        unreachable: Identifiers of runners that were unreachable lately; they are retried later.
        load_seconds: Recent duration for which a load takes a runner out of use.
        now: Time on the node's clock.
    """

    runners: Sequence[Runner]
    loading: Collection[str]
    unreachable: Collection[str]
    load_seconds: float
    now: float


class WeightsLoadPlan:
    """Plans the loads of one model's weights.

    Args:
        model: The model.
        versions: The announced versions.
        all_nodes_know: Returns whether all nodes know a version or a newer one.
    """

    def __init__(
        self,
        model: str,
        versions: WeightsVersions,
        all_nodes_know: Callable[[int], bool] = lambda version: False,
    ) -> None:
        self._model = model
        self._versions = versions
        self._all_nodes_know = all_nodes_know

    def next_loads(self, view: WeightsLoadView) -> list[Runner]:
        """Return the runners that should load now."""
        available = [runner for runner in view.runners if self._is_available(runner, view)]
        behind = [runner for runner in available if self._is_behind(runner)]
        waiting = [runner for runner in behind if runner.runner_id not in view.loading]
        due = self.due_runners(waiting, view.now)
        due.sort(key=lambda runner: self._order(runner, view.now))
        return due[: max(0, self._load_allowance(available, waiting, view))]

    def due_runners(self, runners: Sequence[Runner], now: float) -> list[Runner]:
        """Return those of the runners that should load the newest version and have not left."""
        behind = [runner for runner in runners if not runner.is_leaving and self._is_behind(runner)]
        # Most runners have the same version, so it is decided once for each.
        versions = {runner.weights_version(self._model) for runner in behind}
        due = {version for version in versions if self.is_due(version, now)}
        return [runner for runner in behind if runner.weights_version(self._model) in due]

    def _load_allowance(
        self, available: Sequence[Runner], waiting: Sequence[Runner], view: WeightsLoadView
    ) -> int:
        """Return how many more runners may load now, so that enough live runners still serve."""
        alive = [runner for runner in available if view.now >= runner.suspected_until]
        loading = sum(1 for runner in alive if runner.runner_id in view.loading)
        urgent = any(self._is_urgent(runner, view.now) for runner in waiting)
        share = URGENT_SHARE if urgent else CONCURRENT_SHARE
        most = max(1, int(len(alive) * share + 1e-9))
        return min(most, self._required_loads(waiting, loading, view)) - loading

    def _required_loads(
        self, waiting: Sequence[Runner], loading: int, view: WeightsLoadView
    ) -> int:
        """Return how many runners must load at a time to finish before the first deadline."""
        first = min((self._deadline(runner) for runner in waiting), default=math.inf)
        left = max(MIN_PACE_SECONDS, first - view.now - PACE_SAFETY_SECONDS)
        return max(1, math.ceil((len(waiting) + loading) * view.load_seconds / left - 0.1))

    def _is_available(self, runner: Runner, view: WeightsLoadView) -> bool:
        return not runner.is_leaving and runner.runner_id not in view.unreachable

    def _is_behind(self, runner: Runner) -> bool:
        return runner.weights_version(self._model) < self._versions.newest(self._model)

    def is_due(self, version: int, now: float) -> bool:
        """Return whether runners with a version may be ordered to load a newer one."""
        following = self._versions.superseding(self._model, version)
        if following is None or now < following.not_before + START_DELAY_SECONDS:
            return False
        if now >= self._versions.may_order_from(self._model, version):
            return True
        return self._all_nodes_know(following.version)

    def _is_urgent(self, runner: Runner, now: float) -> bool:
        return self._deadline(runner) - now < URGENT_SECONDS

    def _deadline(self, runner: Runner) -> float:
        return self._versions.deadline(self._model, runner.weights_version(self._model))

    def _order(self, runner: Runner, now: float) -> tuple[bool, int, int, int, str]:
        version = runner.weights_version(self._model)
        committed = runner.committed_tokens(now)
        suspected = now < runner.suspected_until
        return suspected, version, runner.long_running(now), committed, runner.runner_id
