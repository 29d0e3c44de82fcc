"""Requests with a prompt part that crashes runners, and sound ones that share everything else.

No two requests are alike: each has a body and a last part of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hillstack.serving.types import RejectedError, StreamCutError
from tests.fleet.fatal_world import FATAL_PART, Node, Outcome, World
from tests.fleet.runner_restarts import RunnerRestarts

# Time by which all nodes must know of a crash, and the sends that are allowed after it.
CONTACT_SECONDS = 3.0
CRASHES_BEFORE_LIMIT = 5
MAX_LATE_SENDS = 3
MAX_TRIES = 3
RETRY_SECONDS = 0.3
STEP_SECONDS = 0.005
FIRST_PART = "system"

Parts = tuple[tuple[str, int], ...]


@dataclass
class FatalPart:
    """A part that crashes runners.

    Attributes:
        part_id: Its identifier, which begins with ``FATAL_PART``.
        per_second: New requests with it in a second.
        before: Number of shared parts before it; None to draw it for each request.
        after: Number of shared parts after it.
    """

    part_id: str = FATAL_PART
    per_second: float = 3.0
    before: int | None = 1
    after: int = 0


@dataclass
class _Caller:
    """A caller that sends one request, and again if it fails."""

    body: bytes
    parts: Parts
    outcome: Outcome
    tries: int = 1
    next_at: float = float("inf")


@dataclass
class SoundRequest:
    """A sound request, and when it was sent."""

    sent_at: float
    outcome: Outcome


@dataclass
class PartTraffic:
    """Sends both kinds of requests through random nodes of a world, whose runners start again.

    Attributes:
        sound_per_second: Rate of sound requests, which share path and first part.
        path: Path of all requests.
        fatal_at: The node that gets all requests with fatal parts; empty for random nodes.
        sound_at: The same for sound requests.
    """

    world: World
    seed: int
    fatal: list[FatalPart] = field(default_factory=lambda: [FatalPart()])
    sound_per_second: float = 40.0
    path: str = ""
    fatal_at: str = ""
    sound_at: str = ""
    sound: list[SoundRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._callers: list[_Caller] = []
        self._fatal_bodies: dict[bytes, str] = {}
        self._sent = 0
        self._restarts = RunnerRestarts(self.world)
        # The repeated notices of each node.
        self._repeats: dict[Node, asyncio.Task[None]] = {}

    def run(self, seconds: float, each_step: Callable[[float], None] | None = None) -> None:
        """Run for some seconds of virtual time."""
        world = self.world
        until = world.scheduler.now + seconds
        while world.scheduler.now < until:
            now = world.scheduler.now
            self._restarts.step(now)
            self._repeat_notices()
            for part in self.fatal:
                if self._rng.random() < part.per_second * STEP_SECONDS:
                    self._send_fatal(part)
            if self._rng.random() < self.sound_per_second * STEP_SECONDS:
                self._send_sound(now)
            for caller in self._callers:
                self._advance(caller, now)
            if each_step is not None:
                each_step(now)
            world.run(STEP_SECONDS)

    def _repeat_notices(self) -> None:
        """Let each node repeat its notices, as it does in a process, until it is gone."""
        world = self.world
        nodes = list(world.nodes.values())
        for node in [node for node in self._repeats if node not in nodes]:
            world.loop.call_soon(self._repeats.pop(node).cancel)
        for node in nodes:
            if node not in self._repeats:
                repeat = node.pipeline.runner_crashes.run()
                self._repeats[node] = world.scheduler.spawn(world.loop, repeat)

    def crashes(self, part_id: str = FATAL_PART) -> list[float]:
        """Return the times of the crashes of runners that ran requests with a part, in order."""
        bodies = {body for body, part in self._fatal_bodies.items() if part == part_id}
        return sorted(
            runner.crashed_at
            for runner in self.world.runners.ended()
            if runner.crashed_at is not None and not bodies.isdisjoint(runner.bodies_at_crash)
        )

    def late_sends(self, part_id: str = FATAL_PART) -> int:
        """Return how many sends with a part reached runners long after its fifth crash."""
        crashes = self.crashes(part_id)
        if len(crashes) < CRASHES_BEFORE_LIMIT:
            return 0
        known_at = crashes[CRASHES_BEFORE_LIMIT - 1] + CONTACT_SECONDS
        return sum(
            at > known_at and self._fatal_bodies.get(body) == part_id
            for at, body in self.world.runners.arrivals
        )

    def served_share(self, since: float, until: float) -> float:
        """Return which share of the sound requests of some seconds was served at first."""
        outcomes = [
            sound.outcome.is_served for sound in self.sound if since <= sound.sent_at < until
        ]
        return sum(outcomes) / len(outcomes)

    def unexpected_errors(self) -> list[BaseException]:
        """Return the errors that no request may end with."""
        allowed = RejectedError, StreamCutError
        return [error for error in self._errors() if not isinstance(error, allowed)]

    def read_errors(self) -> None:
        """Read the errors of all requests, so that the loop does not report them."""
        self._errors()

    def _errors(self) -> list[BaseException]:
        outcomes = [caller.outcome for caller in self._callers]
        outcomes += [sound.outcome for sound in self.sound]
        errors = [outcome.error for outcome in outcomes if outcome.task.done()]
        return [error for error in errors if error is not None]

    def _send_fatal(self, part: FatalPart) -> None:
        self._sent += 1
        body = b"begin %d" % self._sent
        self._fatal_bodies[body] = part.part_id
        before = self._rng.randrange(4) if part.before is None else part.before
        shared = [FIRST_PART, *(f"shared-{number}" for number in range(1, before))][:before]
        shared += [part.part_id, *(f"later-{number}" for number in range(part.after))]
        parts = self._parts(shared)
        outcome = self._send(body, parts, self.fatal_at)
        self._callers.append(_Caller(body, parts, outcome))

    def _send_sound(self, now: float) -> None:
        self._sent += 1
        shared = [
            FIRST_PART,
            *(f"shared-{number}" for number in range(1, self._rng.randrange(1, 4))),
        ]
        outcome = self._send(b"short %d" % self._sent, self._parts(shared), self.sound_at)
        self.sound.append(SoundRequest(now, outcome))

    def _parts(self, shared: list[str]) -> Parts:
        return tuple((part_id, 500) for part_id in [*shared, f"own-{self._sent}"])

    def _send(self, body: bytes, parts: Parts, node: str) -> Outcome:
        node = node or self._rng.choice(sorted(self.world.nodes))
        return self.world.send(node, body, path=self.path, parts=parts)

    def _advance(self, caller: _Caller, now: float) -> None:
        task = caller.outcome.task
        if not task.done():
            return
        if caller.tries >= MAX_TRIES or caller.outcome.is_served:
            return
        if caller.next_at == float("inf"):
            caller.next_at = now + self._rng.uniform(0.5, 1.5) * RETRY_SECONDS
        if now >= caller.next_at:
            caller.tries += 1
            caller.next_at = float("inf")
            caller.outcome = self._send(caller.body, caller.parts, self.fatal_at)
