"""Which runners load the newest weights next.

A load takes a runner out of use for about a second and pauses the streams that run there; they go
on under the new weights. Loads are paced so that all runners are done before requests must not
begin on the older weights any more, and so that enough of the runners that are alive serve on. A
version that is named meanwhile replaces the one before for all runners that have not begun to load.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from hillstack.core.runner_pool import Runner
from hillstack.core.weights_versions import WeightsVersions

# A version named right after another replaces it for runners that have not begun; 0.1 and 0.3 s
# made no difference (docs/DECISIONS.md, round 5).
START_DELAY_SECONDS = 0.1
# Two loads and their waits: later than that a runner may be too old for use.
URGENT_SECONDS = 2.0
# At most so many of the runners alive load at once: chosen; the pace mostly asks for fewer.
CONCURRENT_SHARE = 0.4
URGENT_SHARE = 1 / 2
# A load that fails once is repeated within that time.
PACE_SAFETY_SECONDS = 1.2
# Keeps the pace finite when the time is over.
MIN_PACE_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class RolloutView:
    """What a decision is based on.

    Attributes:
        runners: All runners of the services that serve the model.
        loading: Runners that load.
        resting: Runners that were not reached just now, and are tried again later.
        load_seconds: Time that a runner is out of use for a load, as seen lately.
        now: Time on the node's clock.
    """

    runners: Sequence[Runner]
    loading: Collection[str]
    resting: Collection[str]
    load_seconds: float
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

    def next_loads(self, view: RolloutView) -> list[Runner]:
        """Return the runners that should load now."""
        staying = [runner for runner in view.runners if self._stays(runner, view)]
        behind = [runner for runner in staying if self._is_behind(runner)]
        waiting = [runner for runner in behind if runner.runner_id not in view.loading]
        due = [runner for runner in waiting if self._is_due(runner, view.now)]
        due.sort(key=lambda runner: self._order(runner, view.now))
        return due[: max(0, self._room(staying, waiting, view))]

    def _room(self, staying: Sequence[Runner], waiting: Sequence[Runner], view: RolloutView) -> int:
        """Return how many more may load now, so that enough of those alive serve on."""
        alive = [runner for runner in staying if view.now >= runner.suspected_until]
        loading = sum(1 for runner in alive if runner.runner_id in view.loading)
        urgent = any(self._is_urgent(runner, view.now) for runner in waiting)
        share = URGENT_SHARE if urgent else CONCURRENT_SHARE
        most = max(1, int(len(alive) * share + 1e-9))
        return min(most, self._pace(waiting, loading, view)) - loading

    def _pace(self, waiting: Sequence[Runner], loading: int, view: RolloutView) -> int:
        """Return how many must load at a time to be done before the first deadline."""
        first = min((self._deadline(runner) for runner in waiting), default=math.inf)
        left = max(MIN_PACE_SECONDS, first - view.now - PACE_SAFETY_SECONDS)
        return max(1, math.ceil((len(waiting) + loading) * view.load_seconds / left - 0.1))

    def _stays(self, runner: Runner, view: RolloutView) -> bool:
        return not runner.leaves and runner.runner_id not in view.resting

    def _is_behind(self, runner: Runner) -> bool:
        return runner.weights_version(self._model) < self._versions.newest(self._model)

    def _is_due(self, runner: Runner, now: float) -> bool:
        version = runner.weights_version(self._model)
        return now >= self._versions.named_after(self._model, version) + START_DELAY_SECONDS

    def _is_urgent(self, runner: Runner, now: float) -> bool:
        return self._deadline(runner) - now < URGENT_SECONDS

    def _deadline(self, runner: Runner) -> float:
        return self._versions.deadline(self._model, runner.weights_version(self._model))

    def _order(self, runner: Runner, now: float) -> tuple[bool, int, int, int, str]:
        version = runner.weights_version(self._model)
        running = runner.committed_tokens(now)
        suspected = now < runner.suspected_until
        return suspected, version, runner.long_running(now), running, runner.runner_id
