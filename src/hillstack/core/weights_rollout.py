"""Which runners load the newest weights next.

Half of the runners, a batch, come first, then the others. A runner of the batch gets no long streams
any more, while it still serves short requests; when its long streams have ended, or time presses, it
loads. So a runner is out of use only for its last short requests and the load itself, and the other
half serves on. A version that is named meanwhile replaces the one before for all runners that have
not begun to load.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from hillstack.core.runner_pool import Runner
from hillstack.core.weights_versions import WeightsVersions

START_DELAY_SECONDS = 0.5
CLOSING_LIMIT_SECONDS = 2.2
URGENT_SECONDS = 2.0
CONCURRENT_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What a decision is based on.

    Attributes:
        runners: All runners of the services that serve the model.
        loading: Runners that finish their work or load.
        resting: Runners that were not reached just now, and are tried again later.
        now: Time on the node's clock.
    """

    runners: Sequence[Runner]
    loading: Collection[str]
    resting: Collection[str]
    now: float


class RolloutPlan:
    """The plan for one model.

    Args:
        model: The model.
        versions: The versions that were named.
    """

    def __init__(self, model: str, versions: WeightsVersions) -> None:
        self._model = model
        self._versions = versions
        self._closing_since: dict[str, float] = {}

    def closing(self) -> list[str]:
        """Return the runners that should get no long streams."""
        return list(self._closing_since)

    def next_loads(self, view: RolloutView) -> list[Runner]:
        """Return the runners that should begin to load the newest version now."""
        staying = [runner for runner in view.runners if self._stays(runner, view)]
        behind = [runner for runner in staying if self._is_behind(runner)]
        waiting = [runner for runner in behind if runner.runner_id not in view.loading]
        self._choose_batch(staying, behind, view)
        ready = [runner for runner in waiting if self._is_ready(runner, view.now)]
        ready.sort(key=lambda runner: self._order(runner, view.now))
        urgent = sum(1 for runner in waiting if self._is_urgent(runner, view.now))
        loading = sum(1 for runner in staying if runner.runner_id in view.loading)
        room = max(1, math.ceil(len(staying) * CONCURRENT_SHARE - 1e-9)) - loading
        return ready[: max(0, room, urgent)]

    def _choose_batch(
        self, staying: Sequence[Runner], behind: Sequence[Runner], view: RolloutView
    ) -> None:
        behind_ids = {runner.runner_id for runner in behind}
        for runner_id in list(self._closing_since):
            if runner_id not in behind_ids:
                del self._closing_since[runner_id]
        for runner in behind:
            if self._is_urgent(runner, view.now):
                self._closing_since.setdefault(runner.runner_id, view.now)
        if self._closing_since:
            return
        due = [runner for runner in behind if self._is_due(runner, view.now)]
        due.sort(key=lambda runner: self._order(runner, view.now))
        for runner in due[: max(1, math.ceil(len(staying) / 2))]:
            self._closing_since[runner.runner_id] = view.now

    def _stays(self, runner: Runner, view: RolloutView) -> bool:
        if runner.leaving or runner.entry.draining:
            return False
        return runner.runner_id not in view.resting

    def _is_behind(self, runner: Runner) -> bool:
        return runner.weights_version(self._model) < self._versions.newest(self._model)

    def _is_due(self, runner: Runner, now: float) -> bool:
        version = runner.weights_version(self._model)
        return now >= self._versions.named_after(self._model, version) + START_DELAY_SECONDS

    def _is_ready(self, runner: Runner, now: float) -> bool:
        since = self._closing_since.get(runner.runner_id)
        if since is None:
            return False
        if now - since >= CLOSING_LIMIT_SECONDS or self._is_urgent(runner, now):
            return True
        return now > since and runner.long_running(now) == 0

    def _is_urgent(self, runner: Runner, now: float) -> bool:
        version = runner.weights_version(self._model)
        return self._versions.deadline(self._model, version) - now < URGENT_SECONDS

    def _order(self, runner: Runner, now: float) -> tuple[int, int, int, str]:
        version = runner.weights_version(self._model)
        running = runner.committed_tokens(now)
        return version, runner.long_running(now), running, runner.runner_id
