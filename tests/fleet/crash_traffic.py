"""Callers that repeatedly send requests that crash runners, and ordinary callers beside them."""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tests.fleet.fatal_world import Outcome, World
from tests.fleet.runner_restarts import RESTART_SECONDS, RunnerRestarts

# Time by which all nodes must know of a crash, and the sends that are allowed after it.
CONTACT_SECONDS = 3.0
CRASHES_BEFORE_LIMIT = 3
MAX_LATE_SENDS = 3
STEP_SECONDS = 0.005

# Returns the changes that distinguish a try from other tries of its content, by its number.
Variation = Callable[[int], dict[str, object]]


def identical_tries(_: int) -> dict[str, object]:
    """Make all tries identical."""
    return {}


def other_parts(number: int) -> dict[str, object]:
    """Send one of two prompts."""
    return {"parts": (("shared", 2_000), (f"own-{number % 2}", 500))}


def other_query(number: int) -> dict[str, object]:
    """Send a different query with each try."""
    return {"query": f"try={number}"}


def other_model(number: int) -> dict[str, object]:
    """Request one of three models."""
    return {"model": f"model-{'abc'[number % 3]}"}


@dataclass
class FatalCaller:
    """Sends one content through random nodes, again some time after each answer."""

    body: bytes
    next_at: float
    tries: int = 0
    sent_at: float = 0.0
    outcome: Outcome | None = None


@dataclass
class CrashTraffic:
    """Runs a world with fatal requests and ordinary requests.

    Attributes:
        others_per_second: Rate of ordinary requests, each with a different body.
        pause: Shortest and longest time from an answer to the caller's next try.
        leaves_after_seconds: Time after which callers of fatal requests leave; None if they stay.
    """

    world: World
    seed: int
    fatal: int
    vary: Variation = identical_tries
    others_per_second: float = 40.0
    pause: tuple[float, float] = (0.4, 1.0)
    leaves_after_seconds: float | None = None
    others: list[Outcome] = field(default_factory=list)
    restart_seconds: float = RESTART_SECONDS

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        now = self.world.scheduler.now
        self.callers = [
            FatalCaller(b"fatal %d" % number, now + self._rng.uniform(0.0, 1.0))
            for number in range(self.fatal)
        ]
        self._restarts = RunnerRestarts(self.world, self.restart_seconds)

    def run(self, seconds: float, each_step: Callable[[float], None] | None = None) -> None:
        """Run for some seconds of virtual time."""
        world = self.world
        until = world.scheduler.now + seconds
        while world.scheduler.now < until:
            now = world.scheduler.now
            self._restarts.step(now)
            for caller in self.callers:
                self._advance(caller, now)
            if self._rng.random() < self.others_per_second * STEP_SECONDS:
                body = b"short %d" % len(self.others)
                self.others.append(world.send(self._any_node(), body))
            if each_step is not None:
                each_step(now)
            world.run(STEP_SECONDS)

    def crashes(self, body: bytes) -> list[float]:
        """Return the times of the crashes of runners that were running a content."""
        return self.world.runners.crashes_under(body)

    def late_sends(self, body: bytes) -> int:
        """Return how many sends of a content reached a runner long after its third crash."""
        crashes = self.crashes(body)
        if len(crashes) < CRASHES_BEFORE_LIMIT:
            return 0
        known_at = crashes[CRASHES_BEFORE_LIMIT - 1] + CONTACT_SECONDS
        arrivals = self.world.runners.arrivals
        return sum(at > known_at and sent == body for at, sent in arrivals)

    def max_late_sends(self) -> int:
        """Return the largest number of late sends of a single content."""
        return max(self.late_sends(caller.body) for caller in self.callers)

    def max_crashes(self) -> int:
        """Return the largest number of crashes of a single content."""
        return max(len(self.crashes(caller.body)) for caller in self.callers)

    def served_others(self) -> int:
        """Return how many ordinary requests were served."""
        return sum(
            outcome.task.done() and outcome.error is None and outcome.is_served
            for outcome in self.others
        )

    def _any_node(self) -> str:
        return self._rng.choice(sorted(self.world.nodes))

    def _advance(self, caller: FatalCaller, now: float) -> None:
        outcome = caller.outcome
        if outcome is None:
            if now >= caller.next_at:
                caller.outcome = self._send(caller)
                caller.sent_at = now
            return
        if outcome.task.done():
            # Read the result, so that the loop does not report an unretrieved exception.
            _ = outcome.task.cancelled() or outcome.error
            caller.outcome = None
            caller.next_at = now + self._rng.uniform(*self.pause)
        elif (
            self.leaves_after_seconds is not None
            and now >= caller.sent_at + self.leaves_after_seconds
        ):
            self.world.loop.call_soon(outcome.task.cancel)

    def _send(self, caller: FatalCaller) -> Outcome:
        caller.tries += 1
        send: Callable[..., Outcome] = functools.partial(self.world.send, self._any_node())
        return send(caller.body, **self.vary(caller.tries))
