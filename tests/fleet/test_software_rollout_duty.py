"""The duty of deciding software rollouts, in virtual time: one failure per test."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from hillstack.core.software_rollouts import RolloutStage, VersionAccess
from hillstack.messages.rollout_reports import RolloutReport
from tests.fleet.builders import APPLICATION
from tests.fleet.rollout_bench import (
    APPLY_SECONDS,
    LEASE_TTL_SECONDS,
    NEW,
    NEWER,
    OLD,
    OVER_SECONDS,
    RUNNERS_PER_VERSION,
    Node,
    RolloutBench,
)

# A rollout may be decided this long after its deadline, since nodes receive the order with a delay.
MARGIN_SECONDS = 1.0
STATES_GOOD = ["running", "complete"]
STATES_BAD = ["running", "reverted"]


@pytest.fixture
def bench() -> Iterator[RolloutBench]:
    made = RolloutBench()
    made.run(1.0)
    yield made
    made.scheduler.close()


def duty_holder(bench: RolloutBench) -> Node:
    holder = bench.holder()
    assert holder is not None
    return holder


def run_until_stage(bench: RolloutBench, stage: RolloutStage) -> None:
    for _ in range(40):
        if bench.stage() is stage:
            return
        bench.run(0.5)
    raise AssertionError(f"never {stage}")


def stages(bench: RolloutBench) -> list[RolloutStage]:
    """Return the recorded stages without consecutive duplicates."""
    found: list[RolloutStage] = []
    for _, record in bench.store.records:
        if not found or found[-1] is not record.stage:
            found.append(record.stage)
    return found


def test_a_good_version_is_complete_in_time(bench: RolloutBench) -> None:
    bench.order()
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD
    assert stages(bench) == [RolloutStage.CANARY, RolloutStage.SHIFTING, RolloutStage.COMPLETE]


def test_a_bad_version_is_reverted_within_seconds(bench: RolloutBench) -> None:
    bench.failing = 0.5
    bench.order()
    bench.run(5.0)
    assert bench.states() == STATES_BAD
    assert bench.store.record is not None
    assert bench.store.record.rejected == (NEW,) and "failed" in bench.store.record.reason


def test_the_status_names_the_target(bench: RolloutBench) -> None:
    bench.order()
    bench.run(OVER_SECONDS)
    assert {target for _, _, target in bench.store.statuses} == {NEW}


def test_only_the_holder_writes(bench: RolloutBench) -> None:
    bench.order()
    bench.run(OVER_SECONDS)
    assert bench.store.refused == 0


def test_a_decided_rollout_needs_no_holder(bench: RolloutBench) -> None:
    bench.order()
    bench.run(OVER_SECONDS + LEASE_TTL_SECONDS)
    assert bench.store.holder() is None


def test_without_an_order_no_node_holds_the_duty(bench: RolloutBench) -> None:
    bench.run(5.0)
    assert bench.store.holder() is None and bench.store.records == []


def test_a_second_order_is_another_rollout(bench: RolloutBench) -> None:
    bench.order()
    bench.run(OVER_SECONDS)
    bench.list_runner("newer-0", NEWER)
    bench.failing = 0.5
    bench.order(NEWER)
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD + STATES_BAD
    assert bench.store.statuses[-1][2] == NEWER


def test_the_same_target_ordered_again_is_complete_at_once(bench: RolloutBench) -> None:
    bench.order()
    bench.run(OVER_SECONDS)
    bench.unlist_runners("old")
    bench.order()
    bench.run(4.0)
    assert bench.states() == STATES_GOOD + STATES_GOOD


def test_an_undecided_target_is_rejected_by_the_next_order(bench: RolloutBench) -> None:
    bench.order()
    bench.run(4.0)
    for n in range(RUNNERS_PER_VERSION):
        bench.list_runner(f"newer-{n}", NEWER)
    bench.order(NEWER)
    bench.run(OVER_SECONDS)
    assert bench.store.record is not None
    assert bench.store.record.rejected == (NEW,)
    assert [(state, target) for _, state, target in bench.store.statuses] == [
        ("running", NEW),
        ("running", NEWER),
        ("complete", NEWER),
    ]


def test_an_undecided_target_without_a_record_is_rejected_by_the_next_order(
    bench: RolloutBench,
) -> None:
    bench.store.is_down = True
    bench.announce_order(bench.order())
    bench.run(2.0)
    bench.announce_order(bench.order(NEWER))
    bench.run(1.0)
    bench.store.is_down = False
    bench.run(4.0)
    assert bench.store.record is not None
    assert bench.store.record.rejected == (NEW,)


def test_an_order_for_the_version_before_is_carried_out(bench: RolloutBench) -> None:
    bench.order()
    bench.run(4.0)
    bench.order(OLD)
    bench.run(OVER_SECONDS)
    assert bench.store.statuses[-1][1:] == ("complete", OLD)
    access = bench.nodes[0].state.rollouts.access
    assert access(APPLICATION, OLD) is VersionAccess.OPEN
    assert access(APPLICATION, NEW) is VersionAccess.CLOSED


@pytest.mark.parametrize("stage", [RolloutStage.CANARY, RolloutStage.SHIFTING])
def test_a_withdrawn_order_is_never_complete(bench: RolloutBench, stage: RolloutStage) -> None:
    bench.order()
    for node in bench.nodes:
        node.old_running = 1
    run_until_stage(bench, stage)
    bench.withdraw()
    bench.run(OVER_SECONDS)
    assert bench.states() == ["running"]
    assert bench.store.holder() is None


def test_a_withdrawn_order_is_not_completed_by_nodes_that_missed_the_withdrawal(
    bench: RolloutBench,
) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.SHIFTING)
    for node in bench.nodes:
        node.receives_store_events = False
    bench.withdraw()
    bench.run(OVER_SECONDS)
    assert bench.states() == ["running"]


@pytest.mark.parametrize("stage", [RolloutStage.CANARY, RolloutStage.SHIFTING])
def test_another_node_continues_after_the_holder_is_killed(
    bench: RolloutBench, stage: RolloutStage
) -> None:
    bench.order()
    run_until_stage(bench, stage)
    bench.kill(duty_holder(bench))
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD
    assert bench.store.statuses[-1][0] <= 1.0 + OVER_SECONDS + MARGIN_SECONDS


def test_a_paused_holder_that_resumes_changes_nothing(bench: RolloutBench) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    paused = duty_holder(bench)
    paused.loop.frozen = True
    bench.run(LEASE_TTL_SECONDS + 2.0)
    assert duty_holder(bench) is not paused
    paused.loop.frozen = False
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD


def test_a_holder_without_store_updates_cannot_write(bench: RolloutBench) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    duty_holder(bench).receives_store_events = False
    bench.list_runner("newer-0", NEWER)
    bench.order(NEWER)
    bench.run(OVER_SECONDS)
    assert ("complete", NEW) not in [status[1:] for status in bench.store.statuses]


@pytest.mark.parametrize("write", range(4))
def test_a_write_whose_answer_was_lost_is_not_repeated(bench: RolloutBench, write: int) -> None:
    bench.order()
    while len(bench.store.records) < write:
        bench.run(0.5)
    bench.store.answers_to_lose = 1
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD


def test_a_late_write_of_an_old_holder_fails(bench: RolloutBench) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    first = duty_holder(bench)
    bench.store.writes_to_delay = 1
    while not bench.store.delayed_writes:
        bench.run(0.5)
    bench.kill(first)
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD
    assert bench.store.apply_write(*bench.store.delayed_writes[0]) is None
    assert bench.states() == STATES_GOOD


def test_a_late_write_of_the_holder_itself_is_not_repeated(bench: RolloutBench) -> None:
    bench.order()
    bench.store.writes_to_delay = 1
    while not bench.store.delayed_writes:
        bench.run(0.5)
    bench.store.apply_write(*bench.store.delayed_writes[0])
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD


@pytest.mark.parametrize("stage", [None, RolloutStage.CANARY, RolloutStage.SHIFTING])
def test_a_rollout_pauses_while_the_store_is_down(
    bench: RolloutBench, stage: RolloutStage | None
) -> None:
    bench.order()
    bench.run(0.5)
    if stage is not None:
        run_until_stage(bench, stage)
    bench.store.is_down = True
    bench.run(2.0)
    assert bench.stage() is stage
    bench.store.is_down = False
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_GOOD


def test_a_version_that_turns_bad_while_the_store_is_down_is_reverted_afterwards(
    bench: RolloutBench,
) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    bench.store.is_down = True
    bench.failing = 0.5
    bench.run(4.0)
    assert bench.states() == ["running"]
    bench.store.is_down = False
    bench.run(4.0)
    assert bench.states() == STATES_BAD


def test_a_target_that_the_holder_condemned_is_reverted(bench: RolloutBench) -> None:
    order = bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    duty_holder(bench).state.rollouts.condemn(APPLICATION, order.revision)
    bench.run(1.5)
    assert bench.states() == STATES_BAD


def test_a_target_that_a_peer_reports_as_bad_is_reverted(bench: RolloutBench) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    other = next(node for node in bench.nodes if node is not duty_holder(bench))
    other.reports_bad = True
    bench.run(2.0)
    assert bench.states() == STATES_BAD


def test_a_target_without_runners_is_reverted(bench: RolloutBench) -> None:
    bench.order(NEWER)
    bench.run(OVER_SECONDS + MARGIN_SECONDS)
    assert bench.states() == STATES_BAD
    assert bench.store.record is not None
    assert "no runner of the target" in bench.store.record.reason


def test_a_target_with_too_few_runners_is_reverted(bench: RolloutBench) -> None:
    bench.unlist_runners("new")
    bench.list_runner("new-9", NEW)
    bench.order()
    bench.run(OVER_SECONDS + MARGIN_SECONDS)
    assert bench.states() == STATES_BAD
    assert bench.store.record is not None and "places" in bench.store.record.reason


def test_a_target_whose_runners_crash_while_it_is_tried_is_reverted(bench: RolloutBench) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    bench.unlist_runners("new")
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_BAD


def test_a_target_whose_runners_crash_while_traffic_shifts_is_reverted_at_once(
    bench: RolloutBench,
) -> None:
    for node in bench.nodes:
        node.old_running = 1
    bench.order()
    run_until_stage(bench, RolloutStage.SHIFTING)
    bench.unlist_runners("new")
    bench.run(3.0)
    assert bench.states() == STATES_BAD


def test_a_rollout_completes_only_after_no_node_uses_old_runners(bench: RolloutBench) -> None:
    bench.nodes[1].old_running = 2
    bench.order()
    run_until_stage(bench, RolloutStage.SHIFTING)
    bench.run(2 * APPLY_SECONDS)
    assert bench.stage() is RolloutStage.SHIFTING
    bench.nodes[1].old_running = 0
    bench.run(1.5)
    assert bench.states() == STATES_GOOD


def test_a_silent_node_gets_the_apply_time_of_a_change(bench: RolloutBench) -> None:
    third = bench.add_node("node-c")
    third.loop.frozen = True
    bench.order()
    run_until_stage(bench, RolloutStage.SHIFTING)
    shifted_at = bench.scheduler.now
    bench.run(APPLY_SECONDS + 1.5)
    assert bench.states() == STATES_GOOD
    assert bench.store.statuses[-1][0] >= shifted_at + APPLY_SECONDS - 0.5


def test_a_target_without_requests_is_reverted(bench: RolloutBench) -> None:
    bench.has_requests = False
    bench.order()
    bench.run(OVER_SECONDS + MARGIN_SECONDS)
    assert bench.states() == STATES_BAD
    assert bench.store.record is not None and "no answers" in bench.store.record.reason


def test_a_node_that_has_only_the_record_keeps_the_deadline(bench: RolloutBench) -> None:
    bench.has_requests = False
    bench.order()
    ordered_at = bench.scheduler.now
    bench.run(7.0)
    for node in list(bench.nodes):
        bench.kill(node)
    bench.add_node("node-c")
    bench.run(OVER_SECONDS)
    assert bench.states() == STATES_BAD
    # The age in the record was written up to 3 s before the holders were killed.
    assert bench.store.statuses[-1][0] <= ordered_at + OVER_SECONDS + 3.0 + MARGIN_SECONDS


def test_repeatedly_replaced_holders_keep_the_deadline(bench: RolloutBench) -> None:
    """A node that received the order keeps running, and only reports the age of the order."""
    bench.has_requests = False
    order = bench.order()
    ordered_at = bench.scheduler.now
    bench.run(1.0)
    while bench.states() != STATES_BAD and bench.scheduler.now < ordered_at + 5 * OVER_SECONDS:
        for node in list(bench.nodes):
            if node.alive:
                bench.kill(node)
        bench.add_node(f"node-{len(bench.nodes)}")
        for _ in range(8):
            bench.run(0.58)
            age_ms = int((bench.scheduler.now - ordered_at) * 1000)
            report = RolloutReport(
                APPLICATION, order.revision.number, "canary", 0, order_age_ms=age_ms
            )
            for node in bench.nodes:
                if node.alive:
                    node.observed.of(order).merge_report("witness", 1, report, bench.scheduler.now)
    assert bench.states() == STATES_BAD
    # The next holder acquires the duty after the lease of the previous holder has expired.
    assert (
        bench.store.statuses[-1][0]
        <= ordered_at + OVER_SECONDS + 2 * LEASE_TTL_SECONDS + MARGIN_SECONDS
    )


def test_a_stopping_holder_releases_the_duty_at_once(bench: RolloutBench) -> None:
    bench.order()
    run_until_stage(bench, RolloutStage.CANARY)
    first = duty_holder(bench)
    bench.scheduler.spawn(first.loop, first.duty.release_on_stop())
    # The others learn that the duty is free, wait for their time slot and acquire it before the
    # lease would have expired.
    bench.run(LEASE_TTL_SECONDS)
    assert duty_holder(bench) is not first


def test_a_stopping_node_does_not_acquire_the_duty(bench: RolloutBench) -> None:
    for node in bench.nodes:
        node.duty.stop_acquiring()
    bench.order()
    bench.run(4.0)
    assert bench.store.holder() is None
