"""What a node retains of its state when the store is restored from an older copy."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hillstack.core.software_rollouts import (
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    SoftwareRollouts,
    VersionAccess,
)
from hillstack.core.store_proofs import StoreProofs
from hillstack.core.store_revision import NO_REVISION, StoreRevision
from hillstack.core.unconfirmed_entries import LAPSE_SECONDS
from hillstack.serving.fleet_state import (
    REWRITE_WAIT_SECONDS,
    FleetState,
)
from hillstack.serving.store_events import (
    ListedRollouts,
    RolloutOrdered,
    RolloutWithdrawn,
    RunnerListed,
    RunnerUnlisted,
)
from tests.fleet.builders import (
    APPLICATION,
    make_entry,
    make_route,
    make_state,
    make_table,
    rev,
)

SERVICE = "app"
ORDER = RolloutOrder(SERVICE, "v2", 12.0, rev(83, era=3))
REVERTED = RolloutRecord(
    SERVICE, "v2", rev(83, era=3), RolloutStage.REVERTED, "bad", ("v2",), rev(85, era=3)
)
NOTHING_LISTED = ListedRollouts(set(), set(), set())


@pytest.fixture
def state() -> FleetState:
    return make_state(make_table(make_route()), make_entry("i-1", revision=50, era=3))


def apply_entry(state: FleetState, revision: int, era: int, *, draining: bool = False) -> None:
    """Apply the entry of runner ``i-1`` as the store lists it."""
    entry = make_entry("i-1", revision=revision, era=era, draining=draining)
    state.apply(RunnerListed(entry), 0.0)


def accepts(state: FleetState, now: float = 0.0) -> bool:
    """Return whether the node sends requests to runner ``i-1``."""
    return [runner.runner_id for runner in state.pool.accepting(APPLICATION, now)] == ["i-1"]


def test_a_leave_that_the_copy_lacks_stays_in_effect(state: FleetState) -> None:
    apply_entry(state, 60, 3, draining=True)
    apply_entry(state, 50, 4)
    assert not accepts(state)


def test_a_runner_that_writes_that_it_is_ready_after_a_restore_is_used_again(
    state: FleetState,
) -> None:
    apply_entry(state, 60, 3, draining=True)
    apply_entry(state, 50, 4)
    apply_entry(state, 61, 4)
    assert accepts(state)


def test_an_entry_with_a_lower_revision_is_applied_after_a_restore(state: FleetState) -> None:
    apply_entry(state, 40, 4, draining=True)
    assert not accepts(state)


def test_a_removed_runner_is_used_if_its_restored_entry_does_not_lapse(state: FleetState) -> None:
    state.apply(RunnerUnlisted("i-1", rev(60, era=3)), 0.0)
    apply_entry(state, 50, 4)
    assert not accepts(state)
    state.expire(LAPSE_SECONDS)
    assert accepts(state, LAPSE_SECONDS)


def test_a_removed_runner_that_writes_again_is_used_at_once(state: FleetState) -> None:
    state.apply(RunnerUnlisted("i-1", rev(60, era=3)), 0.0)
    apply_entry(state, 50, 4)
    apply_entry(state, 58, 4)
    assert accepts(state)


def test_a_removed_runner_whose_restored_entry_lapses_stays_removed(state: FleetState) -> None:
    state.apply(RunnerUnlisted("i-1", rev(60, era=3)), 0.0)
    apply_entry(state, 50, 4)
    state.apply(RunnerUnlisted("i-1", rev(55, era=4)), 1.0)
    state.expire(2 * LAPSE_SECONDS)
    assert not accepts(state, 2 * LAPSE_SECONDS)


def test_an_ended_process_does_not_replace_its_successor(state: FleetState) -> None:
    first = replace(make_entry("i-1/1", revision=50, era=3), listed_as="i-1", started_ms=1)
    second = replace(make_entry("i-1/2", revision=60, era=3), listed_as="i-1", started_ms=2)
    for entry in (first, second, replace(first, revision=rev(50, era=4))):
        state.apply(RunnerListed(entry), 0.0)
    latest = state.pool.listed_as("i-1")
    assert latest is not None and latest.runner_id == "i-1/2" and latest.accepts(0.0)


def test_a_runner_that_the_copy_lacks_is_used_until_it_writes_again(state: FleetState) -> None:
    state.note_restored(0.0)
    state.retain_runners(set(), 0.1, rev(40, era=4))
    assert accepts(state, 0.2)
    apply_entry(state, 41, 4)
    state.expire(5.0)
    assert accepts(state, 5.0)


@pytest.fixture
def rollouts() -> SoftwareRollouts:
    known = SoftwareRollouts()
    known.apply_order(ORDER)
    return known


# Guards against a rejected version that gets requests again because the store lost the verdict.
def test_a_rejected_version_stays_closed_when_its_order_is_written_again(
    rollouts: SoftwareRollouts,
) -> None:
    rollouts.condemn(SERVICE, ORDER.identity)
    assert not rollouts.apply_order(replace(ORDER, revision=rev(81, era=4)))
    assert rollouts.access(SERVICE, "v2") is VersionAccess.CLOSED


def test_a_verdict_that_the_store_has_lost_is_written_again(rollouts: SoftwareRollouts) -> None:
    rollouts.apply_record(REVERTED)
    rollouts.mark_unlisted_records_lost(set(), rev(70, era=4))
    again = replace(ORDER, revision=rev(81, era=4))
    rollouts.apply_order(again)
    assert rollouts.stage(SERVICE) is RolloutStage.REVERTED
    assert rollouts.has_lost_record(SERVICE)
    lost = rollouts.record(SERVICE)
    assert lost is not None and lost.revision == NO_REVISION
    rollouts.apply_record(replace(lost, revision=rev(90, era=4)))
    assert not rollouts.has_lost_record(SERVICE)


def test_an_earlier_stage_in_the_copy_does_not_undo_a_revert(rollouts: SoftwareRollouts) -> None:
    rollouts.apply_record(REVERTED)
    rollouts.apply_order(replace(ORDER, revision=rev(83, era=4)))
    canary = replace(
        REVERTED,
        order_revision=rev(83, era=4),
        stage=RolloutStage.CANARY,
        rejected=(),
        revision=rev(84, era=4),
    )
    rollouts.apply_record(canary)
    assert rollouts.stage(SERVICE) is RolloutStage.REVERTED
    assert rollouts.has_lost_record(SERVICE)
    retained = rollouts.record(SERVICE)
    assert retained is not None and retained.revision == rev(84, era=4)


def test_another_order_after_a_restore_is_another_rollout(rollouts: SoftwareRollouts) -> None:
    rollouts.condemn(SERVICE, ORDER.identity)
    rollouts.apply_record(REVERTED)
    assert rollouts.apply_order(replace(ORDER, target="v3", revision=rev(80, era=4)))
    started = replace(
        REVERTED,
        target="v3",
        order_revision=rev(80, era=4),
        stage=RolloutStage.CANARY,
        revision=rev(82, era=4),
    )
    assert rollouts.apply_record(started)
    assert rollouts.access(SERVICE, "v3") is VersionAccess.CANARY
    assert rollouts.access(SERVICE, "v2") is VersionAccess.CLOSED


def test_an_order_that_is_written_again_grants_no_second_exposure(state: FleetState) -> None:
    state.exposure.share, state.exposure._slack = 0.05, 40.0
    state.apply(RolloutOrdered(ORDER), 0.0)
    for _ in range(10):
        state.exposure.on_send(SERVICE)
    before = state.exposure.left(SERVICE, 5.0)
    state.retain_rollouts(NOTHING_LISTED, 1.0, rev(70, era=4))
    state.apply(RolloutOrdered(replace(ORDER, revision=rev(81, era=4))), 3.0)
    assert state.exposure.left(SERVICE, 5.0) == before


def test_an_order_that_is_not_written_again_ends(state: FleetState) -> None:
    state.apply(RolloutOrdered(ORDER), 0.0)
    state.store_era.observe(4, "store")
    state.retain_rollouts(NOTHING_LISTED, 0.0, rev(70, era=4))
    state.expire(REWRITE_WAIT_SECONDS - 0.1)
    assert state.rollouts.order(SERVICE) is not None
    state.expire(REWRITE_WAIT_SECONDS)
    assert state.rollouts.order(SERVICE) is None


def test_an_order_that_is_withdrawn_after_a_restore_ends_at_once(state: FleetState) -> None:
    state.apply(RolloutOrdered(ORDER), 0.0)
    state.apply(RolloutWithdrawn(SERVICE, rev(20, era=4)), 0.0)
    assert state.rollouts.order(SERVICE) is None


@given(st.data())
def test_a_change_was_acknowledged_after_what_is_proved(data: st.DataObject) -> None:
    """No change is dated later than it was made, even if revisions are lost and assigned again."""
    proofs = StoreProofs()
    era, number, now = 0, 1, 0.0
    acknowledged = {1: 0.0}
    for _ in range(data.draw(st.integers(1, 30))):
        now += 0.5
        match data.draw(st.sampled_from(["write", "prove", "restore"])):
            case "write":
                number += 1
                acknowledged[number] = now
            case "prove":
                proofs.note(StoreRevision(era, number), now)
            case _:
                number = data.draw(st.integers(max(1, number - 4), number))
                acknowledged = {n: at for n, at in acknowledged.items() if n <= number}
                era += 1
    for change, at in acknowledged.items():
        proved = proofs.latest_before(StoreRevision(era, change))
        assert proved == -math.inf or proved <= at
