"""Fakes of runners, peers, limiters and callers, without sockets, for tests in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from hillstack.core.runner_pool import Runner
from hillstack.core.tenant_limits import TenantLimit
from hillstack.errors import BackendBrokenError
from hillstack.messages.peer_notices import PlacementNotice
from hillstack.messages.runner_ends import RunnerEndNotice
from hillstack.serving.types import (
    Dispatch,
    HeaderList,
    RefusalCause,
    RunnerRefusedError,
    ServingRequest,
)

Behaviour = Callable[[ServingRequest, Dispatch], Awaitable["FakeAnswer"]]


@dataclass
class FakeAnswer:
    """An answer made of pieces.

    Bytes are parts of the body, a float is a pause in seconds, an exception breaks the answer off.
    """

    pieces: list[bytes | float | Exception]
    status: int = 200
    signed: bool = True
    closed: bool = False
    headers: HeaderList = field(default_factory=lambda: [(b"signature", b"s")])

    async def next_piece(self) -> bytes:
        while self.pieces:
            piece = self.pieces[0]
            if isinstance(piece, float):
                # A cancelled pause continues with the next call, as a read from a socket would.
                wake_at = asyncio.get_running_loop().time() + piece
                try:
                    await asyncio.sleep(piece)
                except asyncio.CancelledError:
                    remaining = wake_at - asyncio.get_running_loop().time()
                    self.pieces[0] = max(0.0, remaining)
                    raise
                self.pieces.pop(0)
                continue
            self.pieces.pop(0)
            if isinstance(piece, Exception):
                raise piece
            return piece
        return b""

    async def whole_body(self) -> bytes:
        body = b""
        while piece := await self.next_piece():
            body += piece
        return body

    def close(self) -> None:
        self.closed = True


class FakeClient:
    """Answers each dispatch with the behaviour of its runner, and records the dispatches."""

    def __init__(self) -> None:
        self.behaviours: dict[str, Behaviour] = {}
        self.dispatches: list[Dispatch] = []
        self.answers: list[FakeAnswer] = []
        self.cancelled: list[str] = []

    async def send(self, request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        self.dispatches.append(dispatch)
        try:
            answer = await self.behaviours[dispatch.runner_id](request, dispatch)
        except asyncio.CancelledError:
            self.cancelled.append(dispatch.runner_id)
            raise
        self.answers.append(answer)
        return answer


def answers(
    *pieces: bytes | float | Exception, status: int = 200, signed: bool = True
) -> Behaviour:
    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        return FakeAnswer(list(pieces), status=status, signed=signed)

    return behave


def refuses(cause: RefusalCause, weights: int = 0, after: float = 0.0) -> Behaviour:
    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        await asyncio.sleep(after)
        raise RunnerRefusedError(
            "refused", step="test", peer=dispatch.runner_id, cause=cause, weights_version=weights
        )

    return behave


def breaks_off(after: float = 0.0) -> Behaviour:
    """Return a behaviour that breaks off after ``after`` seconds, before the head of an answer."""

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        await asyncio.sleep(after)
        raise BackendBrokenError("broken", step="test", peer=dispatch.runner_id)

    return behave


def answers_after(after: float, *pieces: bytes | float | Exception) -> Behaviour:
    """Return a behaviour that answers with the given pieces after ``after`` seconds."""

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        await asyncio.sleep(after)
        return FakeAnswer(list(pieces))

    return behave


def hangs() -> Behaviour:
    """Return a behaviour that does not answer before any time limit."""

    async def behave(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        await asyncio.sleep(1_000)
        raise AssertionError

    return behave


class FakePeers:
    """Records the notices that a node sends to its peers."""

    def __init__(self) -> None:
        self.placements: list[PlacementNotice] = []
        self.reads: list[int] = []
        self.suspects: list[str] = []
        self.runner_ends: list[RunnerEndNotice] = []
        self.sent_runner_ends: list[tuple[str, RunnerEndNotice]] = []

    def placed(self, notice: PlacementNotice) -> None:
        self.placements.append(notice)

    def prompt_prefilled(self, number: int) -> None:
        self.reads.append(number)

    def load_changed(self, runner: Runner) -> None:
        pass

    def suspected(self, runner: Runner) -> None:
        self.suspects.append(runner.runner_id)

    def report_runner_crash(self, notice: RunnerEndNotice) -> None:
        self.runner_ends.append(notice)

    def send_runner_crashes(self, node_id: str, notices: list[RunnerEndNotice]) -> None:
        self.sent_runner_ends.extend((node_id, notice) for notice in notices)


class FakeLimiter:
    """Records requests for tokens, and returns ``wait`` as the seconds to wait; 0 grants them."""

    def __init__(self) -> None:
        self.wait = 0.0
        self.taken: list[tuple[str, float, int]] = []
        self.returned_tokens: list[tuple[str, float]] = []

    async def take(self, tenant: str, limit: TenantLimit, cost: float, rank: int) -> float:
        self.taken.append((tenant, cost, rank))
        return self.wait

    def give_back(self, tenant: str, cost: float) -> None:
        self.returned_tokens.append((tenant, cost))


@dataclass
class FakeSink:
    """Records the answer to a caller that needs ``reading_seconds`` to read each write."""

    reading_seconds: float = 0.0
    status: int | None = None
    heads: int = 0
    body: bytes = b""
    finished: bool = False

    async def start(self, status: int, headers: HeaderList) -> None:
        self.status = status
        self.heads += 1

    async def write(self, data: bytes) -> None:
        if self.reading_seconds:
            await asyncio.sleep(self.reading_seconds)
        self.body += data

    async def finish(self) -> None:
        self.finished = True
