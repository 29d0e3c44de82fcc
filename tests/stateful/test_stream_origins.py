"""Stateful test of what a node knows of the versions that began streams.

The model keeps when each version was last listed, what the store records, and which version the
node learned first for each stream.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hillstack.core.stream_origins import (
    STREAM_SECONDS,
    UNRECORDED_SECONDS,
    StreamOrigin,
    StreamOrigins,
)

SERVICES = ("service", "other")
VERSIONS = ("v1", "v2", "v3")
ATTEMPTS = ("a", "b", "c", "d")

services = st.sampled_from(SERVICES)
versions = st.sampled_from(VERSIONS)
version_sets = st.frozensets(versions)


class OriginsMachine(RuleBasedStateMachine):
    """Compares the origins and versions with a model."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.origins = StreamOrigins(self.now)
        # The first origin of each stream that has not expired.
        self.first: dict[str, StreamOrigin] = {}
        self.listed_at: dict[tuple[str, str], float] = {}
        # Since when a version is listed without a gap of the length of a stream.
        self.came_at: dict[tuple[str, str], float] = {}
        self.recorded: dict[str, frozenset[str]] = {}

    def recent(self, service: str) -> set[str]:
        """Return the versions that were listed lately."""
        return {
            version
            for (name, version), at in self.listed_at.items()
            if name == service and self.now < at + STREAM_SECONDS
        }

    @rule(seconds=st.floats(0.0, 1.3 * STREAM_SECONDS))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        for attempt_id, origin in list(self.first.items()):
            if self.now >= origin.began_at + STREAM_SECONDS:
                del self.first[attempt_id]

    @rule(seconds=st.floats(0.0, 1.0))
    def wait_briefly(self, seconds: float) -> None:
        self.wait(seconds)

    @rule(service=services, listed=version_sets)
    def list_versions(self, service: str, listed: frozenset[str]) -> None:
        for version in listed:
            if version not in self.recent(service):
                self.came_at[service, version] = self.now
            self.listed_at[service, version] = self.now
        self.origins.note_versions(service, listed, self.now)

    @rule(service=services, recorded=st.none() | version_sets)
    def read_record(self, service: str, recorded: frozenset[str] | None) -> None:
        # Versions that were recorded may have begun streams, so they need not be held back.
        for version in self.recorded.get(service, frozenset()) - (recorded or frozenset()):
            self.came_at.pop((service, version), None)
        self.recorded[service] = recorded or frozenset()
        self.origins.apply_record(service, recorded)

    @rule(
        attempt_id=st.sampled_from(ATTEMPTS),
        service=services,
        software=versions,
        is_local=st.booleans(),
    )
    def begin(self, attempt_id: str, service: str, software: str, is_local: bool) -> None:
        # As at each node: an origin that has expired is dropped before another one is added.
        self.origins.find(attempt_id, service, self.now)
        origin = StreamOrigin(attempt_id, service, software, self.now, is_local)
        self.first.setdefault(attempt_id, origin)
        self.origins.record(origin)

    @invariant()
    def the_first_version_of_a_stream_stays(self) -> None:
        for attempt_id in ATTEMPTS:
            for service in SERVICES:
                origin = self.first.get(attempt_id)
                is_known = origin is not None and origin.service == service
                expected = origin.software if origin is not None and is_known else None
                assert self.origins.find(attempt_id, service, self.now) == expected

    @invariant()
    def versions_agree_with_the_lists_and_the_record(self) -> None:
        for service in SERVICES:
            recent = self.recent(service)
            recorded = self.recorded.get(service, frozenset())
            assert self.origins.recorded(service) == recorded
            assert self.origins.possible_versions(service, self.now) == recent | recorded
            assert self.origins.is_mixed(service, self.now) == (len(recent | recorded) > 1)
            assert self.origins.unrecorded(service, self.now) == recent - recorded

    @invariant()
    def a_removal_leaves_a_version(self) -> None:
        for service in SERVICES:
            outdated = self.origins.outdated(service, self.now)
            assert not outdated & self.recent(service)
            recorded = self.origins.recorded(service)
            added = self.origins.unrecorded(service, self.now)
            assert not outdated or (recorded | added) - outdated

    @invariant()
    def a_recorded_version_may_always_begin(self) -> None:
        for service in SERVICES:
            for version in self.recorded.get(service, frozenset()):
                assert self.origins.may_begin(service, version, self.now)

    @invariant()
    def a_version_is_held_back_for_a_bounded_time(self) -> None:
        for service in SERVICES:
            for version in self.recent(service):
                if self.now >= self.listed_at[service, version] + UNRECORDED_SECONDS:
                    assert self.origins.may_begin(service, version, self.now)

    @invariant()
    def a_new_version_is_held_back_until_it_is_recorded(self) -> None:
        for service in SERVICES:
            recorded = self.recorded.get(service, frozenset())
            for version in self.recent(service) - recorded:
                if self.came_at.get((service, version)) == self.now:
                    assert not self.origins.may_begin(service, version, self.now)


OriginsMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
TestStreamOrigins = OriginsMachine.TestCase
