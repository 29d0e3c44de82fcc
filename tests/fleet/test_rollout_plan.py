"""The next stage of a rollout, decided from the state that its lease holder knows."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hillstack.core.rollout_evidence import ReporterState
from hillstack.core.rollout_judge import Verdict
from hillstack.core.rollout_plan import (
    AGE_UPDATE_SECONDS,
    DECIDE_MARGIN_SECONDS,
    MIN_PLACES_SHARE,
    ONLY_VERSION_SECONDS,
    UNUSABLE_SECONDS,
    Places,
    RolloutView,
    is_decided,
    next_step,
    waited_for,
)
from hillstack.core.software_rollouts import (
    MAX_UNTRUSTED_VERSIONS,
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    SoftwareRollouts,
    VersionAccess,
)
from hillstack.core.store_revision import NO_REVISION
from tests.fleet.builders import rev

APPLY_SECONDS = 2.0
OVER_SECONDS = 12.0
ORDER = RolloutOrder("app", "v2", OVER_SECONDS, rev(5))
CANARY = RolloutRecord("app", "v2", rev(5), RolloutStage.CANARY, "ordered", (), rev(6), 5.0)
SHIFTING = replace(CANARY, stage=RolloutStage.SHIFTING)
SHIFTED = ReporterState("shifting", 0, 0.0)
VIEW = RolloutView(
    order=ORDER,
    record=CANARY,
    age_seconds=6.0,
    stage_seconds=1.0,
    verdict=Verdict.UNDECIDED,
    finding="nothing against it so far",
    reporters={"node-1": SHIFTED, "node-2": SHIFTED},
    live_nodes={"node-1", "node-2"},
    places=Places(24, 24),
    apply_seconds=APPLY_SECONDS,
)
SHIFTING_VIEW = replace(VIEW, record=SHIFTING)


def next_stage(view: RolloutView) -> RolloutStage | None:
    step = next_step(view)
    return step.record.stage if step is not None else None


def test_an_order_without_a_record_begins_with_the_canary() -> None:
    step = next_step(replace(VIEW, record=None))
    assert step is not None and step.notifies_operator
    assert step.record.stage is RolloutStage.CANARY and step.record.revision == NO_REVISION


def test_a_record_of_another_order_does_not_apply() -> None:
    complete = replace(CANARY, order_revision=rev(3), stage=RolloutStage.COMPLETE, target="v1")
    step = next_step(replace(VIEW, record=complete, verdict=Verdict.BAD))
    assert step is not None
    assert step.record.stage is RolloutStage.CANARY
    assert step.record.revision == complete.revision


def test_an_undecided_version_stays_a_canary() -> None:
    assert next_step(VIEW) is None


def test_a_bad_version_is_reverted_and_rejected() -> None:
    step = next_step(replace(VIEW, verdict=Verdict.BAD, finding="9 of 12 failed"))
    assert step is not None and step.notifies_operator
    assert step.record.stage is RolloutStage.REVERTED
    assert step.record.rejected == ("v2",) and step.record.reason == "9 of 12 failed"


def test_a_good_version_gets_the_traffic_without_notifying_the_operator() -> None:
    step = next_step(replace(VIEW, verdict=Verdict.GOOD))
    assert step is not None and not step.notifies_operator
    assert step.record.stage is RolloutStage.SHIFTING


def test_a_good_version_with_too_few_places_waits() -> None:
    too_few = Places(int(24 * MIN_PLACES_SHARE) - 1, 24)
    assert next_step(replace(VIEW, verdict=Verdict.GOOD, places=too_few)) is None


@pytest.mark.parametrize("verdict", [Verdict.UNDECIDED, Verdict.GOOD])
def test_a_version_that_has_no_traffic_by_the_deadline_is_reverted(verdict: Verdict) -> None:
    late = OVER_SECONDS - DECIDE_MARGIN_SECONDS
    view = replace(VIEW, age_seconds=late, verdict=verdict, places=Places(2, 24))
    step = next_step(view)
    assert step is not None and step.record.stage is RolloutStage.REVERTED
    assert "not trusted in time" in step.record.reason


def test_a_short_order_keeps_most_of_its_time() -> None:
    short = replace(ORDER, over_seconds=2.0)
    assert next_step(replace(VIEW, order=short, age_seconds=1.7, record=CANARY)) is None


def test_the_only_usable_version_gets_the_traffic_after_a_while() -> None:
    alone = replace(VIEW, places=Places(24, 0, has_alternative=False))
    assert next_step(replace(alone, stage_seconds=ONLY_VERSION_SECONDS / 2)) is None
    assert next_stage(replace(alone, stage_seconds=ONLY_VERSION_SECONDS)) is RolloutStage.SHIFTING


def test_unreachable_old_runners_are_an_alternative() -> None:
    view = replace(VIEW, places=Places(24, 0, has_alternative=True), stage_seconds=9.0)
    assert next_step(view) is None


def test_a_rollout_is_complete_once_all_nodes_have_shifted() -> None:
    step = next_step(SHIFTING_VIEW)
    assert step is not None and step.notifies_operator
    assert step.record.stage is RolloutStage.COMPLETE


def test_the_deadline_does_not_revert_a_version_that_has_the_traffic() -> None:
    busy = {"node-1": SHIFTED, "node-2": ReporterState("shifting", 3, 0.0)}
    late = replace(SHIFTING_VIEW, age_seconds=OVER_SECONDS + 1.0, reporters=busy)
    step = next_step(replace(late, record=replace(SHIFTING, elapsed_seconds=OVER_SECONDS)))
    assert step is None


@pytest.mark.parametrize(
    "reporter",
    [
        ReporterState("canary", 0, 0.0),
        ReporterState("canary", 2, 0.0),
        ReporterState("shifting", 1, 0.0),
        None,
    ],
)
def test_a_live_node_that_may_use_old_runners_is_waited_for(
    reporter: ReporterState | None,
) -> None:
    reporters = {"node-1": SHIFTED} | ({"node-2": reporter} if reporter is not None else {})
    view = replace(SHIFTING_VIEW, reporters=reporters)
    assert waited_for(view) == ["node-2"]
    assert next_step(view) is None


def test_a_live_node_without_reports_is_waited_for_until_the_change_is_in_force() -> None:
    view = replace(SHIFTING_VIEW, reporters={"node-1": SHIFTED}, stage_seconds=APPLY_SECONDS)
    assert next_stage(view) is RolloutStage.COMPLETE


def test_a_node_that_stopped_reporting_is_waited_for_until_the_change_is_in_force() -> None:
    view = replace(SHIFTING_VIEW, live_nodes={"node-1"})
    assert waited_for(view) == ["node-2"]
    assert waited_for(replace(view, stage_seconds=APPLY_SECONDS)) == []


def test_attempts_at_old_runners_are_waited_for_however_long() -> None:
    busy = {"node-1": SHIFTED, "node-2": ReporterState("shifting", 1, 0.0)}
    view = replace(SHIFTING_VIEW, reporters=busy, stage_seconds=10 * APPLY_SECONDS)
    assert waited_for(view) == ["node-2"]


def test_a_version_that_turns_bad_under_the_traffic_is_reverted() -> None:
    assert next_stage(replace(SHIFTING_VIEW, verdict=Verdict.BAD)) is RolloutStage.REVERTED


def test_a_target_without_usable_runners_is_reverted_while_traffic_shifts() -> None:
    unusable = Places(0, 24, unusable_seconds=UNUSABLE_SECONDS)
    assert next_stage(replace(SHIFTING_VIEW, places=unusable)) is RolloutStage.REVERTED


def test_a_target_that_is_briefly_unusable_is_not_reverted() -> None:
    assert next_step(replace(SHIFTING_VIEW, places=Places(0, 24, unusable_seconds=0.3))) is None


@pytest.mark.parametrize("stage", [RolloutStage.COMPLETE, RolloutStage.REVERTED])
def test_a_decided_rollout_has_no_next_step(stage: RolloutStage) -> None:
    record = replace(CANARY, stage=stage)
    assert is_decided(ORDER, record)
    assert next_step(replace(VIEW, record=record, verdict=Verdict.BAD, age_seconds=99.0)) is None


def test_the_age_of_an_order_is_updated_in_the_record() -> None:
    step = next_step(replace(VIEW, age_seconds=CANARY.elapsed_seconds + AGE_UPDATE_SECONDS))
    assert step is not None and not step.notifies_operator
    assert step.record.stage is RolloutStage.CANARY
    assert step.record.elapsed_seconds == CANARY.elapsed_seconds + AGE_UPDATE_SECONDS


def test_an_undecided_target_is_rejected_with_all_earlier_rejected_versions() -> None:
    before = replace(CANARY, order_revision=rev(3), target="v1a", rejected=("v0",))
    step = next_step(replace(VIEW, record=before, untrusted_targets=frozenset({"v1b"})))
    assert step is not None
    assert step.record.rejected == ("v0", "v1a", "v1b")


def test_a_target_that_was_trusted_is_not_rejected_by_the_next_order() -> None:
    before = replace(SHIFTING, order_revision=rev(3), target="v1")
    step = next_step(replace(VIEW, record=before))
    assert step is not None and step.record.rejected == ()


def test_a_version_that_is_ordered_again_is_tried_again() -> None:
    before = replace(CANARY, order_revision=rev(3), stage=RolloutStage.REVERTED, rejected=("v2",))
    step = next_step(replace(VIEW, record=before, untrusted_targets=frozenset({"v2"})))
    assert step is not None and step.record.rejected == ()


def test_a_late_report_does_not_close_the_target_of_a_complete_rollout() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(replace(CANARY, stage=RolloutStage.COMPLETE))
    rollouts.condemn("app", ORDER.revision)
    assert rollouts.stage("app") is RolloutStage.COMPLETE


def test_a_condemned_version_is_closed_although_its_record_trusts_it() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(SHIFTING)
    rollouts.condemn("app", ORDER.revision)
    assert rollouts.stage("app") is RolloutStage.REVERTED


def test_a_version_that_already_has_the_traffic_skips_the_canary_stage() -> None:
    before = replace(SHIFTING, order_revision=rev(3), stage=RolloutStage.COMPLETE)
    step = next_step(replace(VIEW, record=before))
    assert step is not None and step.notifies_operator
    assert step.record.stage is RolloutStage.SHIFTING
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(before)
    assert rollouts.access("app", "v2") is VersionAccess.OPEN


def test_a_reverted_version_is_a_canary_again_under_the_next_order() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(replace(CANARY, order_revision=rev(3), stage=RolloutStage.REVERTED))
    assert rollouts.access("app", "v2") is VersionAccess.CANARY


def test_a_condemnation_does_not_apply_to_a_later_order() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(replace(ORDER, revision=rev(3)))
    rollouts.condemn("app", rev(3))
    rollouts.apply_order(ORDER)
    assert rollouts.stage("app") is RolloutStage.CANARY


@pytest.mark.parametrize(
    ("before", "stage"),
    [
        (RolloutStage.SHIFTING, RolloutStage.REVERTED),
        (RolloutStage.COMPLETE, RolloutStage.SHIFTING),
    ],
)
def test_a_bad_version_ordered_again_is_closed_unless_the_old_runners_may_have_stopped(
    before: RolloutStage, stage: RolloutStage
) -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(replace(CANARY, order_revision=rev(3), stage=before))
    rollouts.condemn("app", ORDER.revision)
    assert rollouts.stage("app") is stage


def test_the_target_of_a_withdrawn_order_without_a_record_stays_closed() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.withdraw("app", rev(6))
    assert rollouts.concerns("app")
    assert rollouts.access("app", "v2") is VersionAccess.CLOSED
    assert rollouts.access("app", "v1") is VersionAccess.OPEN


def test_the_target_of_a_replaced_order_without_a_record_stays_closed() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_order(replace(ORDER, target="v3", revision=rev(7)))
    assert rollouts.access("app", "v2") is VersionAccess.CLOSED
    assert rollouts.access("app", "v3") is VersionAccess.CANARY
    assert not rollouts.may_serve_during_shift("app", "v2")


def test_a_target_condemned_while_shifting_stays_closed_when_its_order_is_withdrawn() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(SHIFTING)
    rollouts.condemn("app", ORDER.revision)
    rollouts.withdraw("app", rev(7))
    assert rollouts.access("app", "v2") is VersionAccess.CLOSED


def test_a_trusted_target_is_open_when_its_order_is_withdrawn() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.apply_record(SHIFTING)
    rollouts.withdraw("app", rev(7))
    assert rollouts.access("app", "v2") is VersionAccess.OPEN


def test_an_untrusted_target_is_a_canary_when_ordered_again_and_open_once_trusted() -> None:
    rollouts = SoftwareRollouts()
    rollouts.apply_order(ORDER)
    rollouts.withdraw("app", rev(6))
    again = replace(ORDER, revision=rev(8))
    rollouts.apply_order(again)
    assert rollouts.access("app", "v2") is VersionAccess.CANARY
    rollouts.apply_record(replace(SHIFTING, order_revision=rev(8), revision=rev(9)))
    rollouts.withdraw("app", rev(10))
    assert rollouts.access("app", "v2") is VersionAccess.OPEN


def test_the_number_of_stored_untrusted_targets_is_bounded() -> None:
    rollouts = SoftwareRollouts()
    for number in range(MAX_UNTRUSTED_VERSIONS + 2):
        rollouts.apply_order(replace(ORDER, target=f"v{number}", revision=rev(2 * number + 1)))
        rollouts.withdraw("app", rev(2 * number + 2))
    left = rollouts.untrusted_targets("app")
    assert len(left) == MAX_UNTRUSTED_VERSIONS
    assert "v0" not in left and f"v{MAX_UNTRUSTED_VERSIONS + 1}" in left
    for number in range(MAX_UNTRUSTED_VERSIONS + 2):
        rollouts.apply_order(replace(ORDER, service=f"app-{number}"))
        rollouts.withdraw(f"app-{number}", rev(6))
    assert not rollouts.untrusted_targets("app")
