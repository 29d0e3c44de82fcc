"""A planned stop in virtual time: what it waits for before the process ends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from hillstack.daemon.connection_limiter import CallerConnection
from hillstack.daemon.node_stop import SEND_SECONDS, NodeStop
from hillstack.serving.types import Dispatch, RefusalCause, RejectedError, ServingRequest
from hillstack.simulation.virtual_loop import Scheduler
from tests.fleet.builders import make_request
from tests.fleet.fake_runners import FakeAnswer, FakeSink, answers, hangs, refuses
from tests.fleet.test_pipeline import make_bench

GRACE_SECONDS = 8.0


@dataclass
class FakeRequests:
    """Requests of which some never get an answer."""

    active: int = 0
    waiting: int = 0
    ended_at: float | None = None
    scheduler: Scheduler = field(default_factory=Scheduler)

    def stop_accepting(self) -> None:
        pass

    def end_waiting(self) -> None:
        self.ended_at = self.scheduler.now
        self.active -= self.waiting
        self.waiting = 0


class FakeRelay:
    open_count = 0

    def stop_accepting(self) -> None:
        pass


@dataclass
class FakeCycle:
    response_complete: bool = True


@dataclass
class FakeConnection:
    """A connection on which an answer is complete, and sent until a time."""

    scheduler: Scheduler
    sent_at: float
    cycle: FakeCycle = field(default_factory=FakeCycle)

    @property
    def transport(self) -> FakeConnection:
        return self

    def get_write_buffer_size(self) -> int:
        return 1_000 if self.scheduler.now < self.sent_at else 0

    def shutdown(self) -> None:
        pass


def stop(requests: FakeRequests, *connections: CallerConnection) -> float:
    """Carry out a planned stop; return how long it took."""

    async def release_duties() -> None:
        pass

    scheduler = requests.scheduler
    node_stop = NodeStop(
        requests, FakeRelay(), lambda: connections, release_duties, scheduler.clock
    )
    ended_at: list[float] = []

    async def run() -> None:
        await node_stop.run(GRACE_SECONDS)
        ended_at.append(scheduler.now)

    task: asyncio.Task[None] = scheduler.spawn(scheduler.new_loop(), run())
    scheduler.run_until(2 * GRACE_SECONDS)
    assert task.done() and task.exception() is None
    return ended_at[0]


# Guards against LOST: requests that no runner answered ended with the process.
def test_requests_that_still_wait_are_ended_before_the_process() -> None:
    requests = FakeRequests(active=2, waiting=1)
    took = stop(requests)
    assert requests.ended_at is not None
    assert 7.0 <= requests.ended_at <= took < GRACE_SECONDS


# Guards against LOST: bytes of a complete answer were still in the process when it ended.
@pytest.mark.parametrize("late", [0.1, 10.0])
def test_a_process_waits_a_bounded_time_until_answers_are_sent(late: float) -> None:
    requests = FakeRequests()
    ends_at = stop(FakeRequests())
    took = stop(requests, FakeConnection(requests.scheduler, ends_at + late))
    assert took == pytest.approx(ends_at + min(late, SEND_SECONDS), abs=0.05)


# Guards against LOST: a request that its runner refused in the iteration in which the stop ended it
# was sent again, and ended with the process.
@pytest.mark.parametrize("is_ended_first", [False, True])
@pytest.mark.parametrize("iterations", range(10))
def test_a_request_that_is_ended_is_not_sent_again(iterations: int, is_ended_first: bool) -> None:
    bench = make_bench(i_1=answers(b"x"), i_22=answers(b"x"))

    async def refuse_first(request: ServingRequest, dispatch: Dispatch) -> FakeAnswer:
        is_first = len(bench.client.dispatches) == 1
        behave = refuses(RefusalCause.FULL, after=0.5) if is_first else hangs()
        return await behave(request, dispatch)

    async def end_waiting() -> None:
        await asyncio.sleep(0.5)
        for _ in range(iterations):
            await asyncio.sleep(0)
        bench.pipeline.end_waiting()

    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), refuse_first)
    loop = bench.scheduler.new_loop()
    works = [bench.pipeline.serve(make_request(patience=5.0), FakeSink()), end_waiting()]
    if is_ended_first:
        works.reverse()
    tasks = [bench.scheduler.spawn(loop, work) for work in works]
    bench.scheduler.run_until(1.0)
    assert all(task.done() for task in tasks)
    assert [type(task.exception()) for task in tasks].count(RejectedError) == 1
