"""Callers that send requests again and again which crash each runner, beside ordinary ones."""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from tests.fleet.fatal_world import Outcome, World

# Time that all nodes have to hear of an end, and the sends that may still come after it.
CONTACT_SECONDS = 3.0
ENDS_BEFORE_THE_BOUND = 3
SENDS_ALLOWED_LATER = 3
RESTART_SECONDS = 3.0
DIRECTORY_SECONDS = 3.6
STEP_SECONDS = 0.005

# What a try differs in from others of its content, by its number.
Variation = Callable[[int], dict[str, object]]


def all_alike(_: int) -> dict[str, object]:
    """Vary nothing."""
    return {}


def other_parts(number: int) -> dict[str, object]:
    """Name one of two prompts."""
    return {"parts": (("shared", 2_000), (f"own-{number % 2}", 500))}


def other_query(number: int) -> dict[str, object]:
    """Put a query of its own behind the path."""
    return {"query": f"try={number}"}


def other_model(number: int) -> dict[str, object]:
    """Name one of three models."""
    return {"model": f"model-{'abc'[number % 3]}"}


@dataclass
class FatalCaller:
    """Sends one content again some time after each answer, at any node."""

    body: bytes
    next_at: float
    tries: int = 0
    sent_at: float = 0.0
    outcome: Outcome | None = None


@dataclass
class CrashTraffic:
    """Runs a world under fatal requests and others.

    Attributes:
        others_a_second: Ordinary requests, each with a body of its own.
        pause: Shortest and longest time from an answer to the caller's next try.
        leaves_after: Callers of fatal requests leave so long after they sent; None if they stay.
    """

    world: World
    seed: int
    fatal: int
    vary: Variation = all_alike
    others_a_second: float = 40.0
    pause: tuple[float, float] = (0.4, 1.0)
    leaves_after: float | None = None
    others: list[Outcome] = field(default_factory=list)
    restart_seconds: float = RESTART_SECONDS

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        now = self.world.scheduler.now
        self.callers = [
            FatalCaller(b"fatal %d" % number, now + self._rng.uniform(0.0, 1.0))
            for number in range(self.fatal)
        ]
        self._starts: list[tuple[float, str]] = []
        self._drops: list[tuple[float, str]] = []
        self._ended: set[str] = set()
        self._started = 0

    def run(self, seconds: float, each_step: Callable[[float], None] | None = None) -> None:
        """Go on for some seconds."""
        world = self.world
        until = world.scheduler.now + seconds
        while world.scheduler.now < until:
            now = world.scheduler.now
            self._restart_runners(now)
            for caller in self.callers:
                self._go_on(caller, now)
            if self._rng.random() < self.others_a_second * STEP_SECONDS:
                body = b"short %d" % len(self.others)
                self.others.append(world.send(self._any_node(), body))
            if each_step is not None:
                each_step(now)
            world.run(STEP_SECONDS)

    def crashes(self, body: bytes) -> list[float]:
        """Return when runners ended under a content."""
        return self.world.runners.crashes_under(body)

    def sends_later(self, body: bytes) -> int:
        """Return how many sends reached a runner long after the third end under a content."""
        crashes = self.crashes(body)
        if len(crashes) < ENDS_BEFORE_THE_BOUND:
            return 0
        known_at = crashes[ENDS_BEFORE_THE_BOUND - 1] + CONTACT_SECONDS
        arrivals = self.world.runners.arrivals
        return sum(at > known_at and sent == body for at, sent in arrivals)

    def most_sends_later(self) -> int:
        """Return the largest number of late sends of any content."""
        return max(self.sends_later(caller.body) for caller in self.callers)

    def most_crashes(self) -> int:
        """Return the largest number of ends under any content."""
        return max(len(self.crashes(caller.body)) for caller in self.callers)

    def served_others(self) -> int:
        """Return how many ordinary requests were served."""
        return sum(
            outcome.task.done() and outcome.error is None and outcome.is_served
            for outcome in self.others
        )

    def _any_node(self) -> str:
        return self._rng.choice(sorted(self.world.nodes))

    def _go_on(self, caller: FatalCaller, now: float) -> None:
        outcome = caller.outcome
        if outcome is None:
            if now >= caller.next_at:
                caller.outcome = self._send(caller)
                caller.sent_at = now
            return
        if outcome.task.done():
            # Taken, so that the loop does not report it as lost.
            _ = outcome.task.cancelled() or outcome.error
            caller.outcome = None
            caller.next_at = now + self._rng.uniform(*self.pause)
        elif self.leaves_after is not None and now >= caller.sent_at + self.leaves_after:
            self.world.loop.call_soon(outcome.task.cancel)

    def _send(self, caller: FatalCaller) -> Outcome:
        caller.tries += 1
        send: Callable[..., Outcome] = functools.partial(self.world.send, self._any_node())
        return send(caller.body, **self.vary(caller.tries))

    def _restart_runners(self, now: float) -> None:
        for runner in self.world.runners.ended():
            if runner.runner_id not in self._ended:
                self._ended.add(runner.runner_id)
                self._starts.append((now + self.restart_seconds, runner.runner_id))
                self._drops.append((now + DIRECTORY_SECONDS, runner.runner_id))
        for due in [due for due in self._starts if now >= due[0]]:
            self._starts.remove(due)
            self._started += 1
            self.world.start_runner(f"j-{self._started}")
        for due in [due for due in self._drops if now >= due[0]]:
            self._drops.remove(due)
            self.world.unlist_runner(due[1])
