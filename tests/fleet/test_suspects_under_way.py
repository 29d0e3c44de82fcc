"""A suspected stream under way is not given up for an attempt that needs a permit."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from hillstack.core.crash_ledger import CrashLedger
from hillstack.serving.crash_permits import Grant
from hillstack.serving.request_names import fingerprint_of
from tests.fleet.fake_runners import answers
from tests.fleet.test_given_up_answers import WHOLE, answers_rest, silent_first
from tests.fleet.test_pipeline import make_stream_bench, stream_request


class OnePermit:
    """Issues a permit for the first send, and none while that run is under way."""

    def __init__(self) -> None:
        self.asked = 0

    async def acquire(self, suspect: Any) -> Grant:
        self.asked += 1
        if self.asked == 1:
            return Grant(may_send=True, is_stored=True, permit="p-1")
        return Grant(may_send=False, retry_after=1.0)


# Guards against LOST: a suspected stream that was silent was given up for an attempt that got no
# permit, although its runner would have completed it.
def test_a_silent_suspect_is_not_given_up_for_an_attempt_without_a_permit() -> None:
    bench = make_stream_bench(i_1=answers(), i_22=answers())
    behave = silent_first(bench, answers_rest())
    bench.client.behaviours = dict.fromkeys(("i-1", "i-22"), behave)
    crashes = bench.pipeline.runner_crashes
    permits = OnePermit()
    none = SimpleNamespace()
    knowledge = SimpleNamespace(
        crashed=lambda name: frozenset(),
        noticed=lambda name: frozenset(),
        counted=lambda name: frozenset(),
    )
    recorder = SimpleNamespace(start=lambda work: work.close(), report_success=lambda name: None)
    services = SimpleNamespace(
        knowledge=knowledge,
        permits=permits,
        peers=none,
        recorder=recorder,
        survival=none,
        parts=None,
    )
    crashes.set_permits(services)  # type: ignore[arg-type]
    original = crashes.check

    async def check(job: Any) -> None:
        name = fingerprint_of(job)
        bench.state.crash_ledgers.update(name, CrashLedger(frozenset({"i-9"})), bench.scheduler.now)
        await original(job)

    crashes.check = check  # type: ignore[method-assign]
    sink, error = bench.serve(stream_request(patience=5.0))
    assert error is None
    assert (sink.body, sink.heads, sink.finished) == (WHOLE, 1, True)
