"""Permits that the voters of a request grant: at most one at a time, whatever is lost or late."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import replace

import pytest

from hillstack.core.crash_ledger import MAX_RETENTION_SECONDS
from hillstack.core.peer_permits import (
    MAX_VOTERS,
    PeerPermitRequest,
    PeerPermitVotes,
    Vote,
    majority_of,
    voters_of,
)
from tests.fleet.fatal_world import Node, World

FINGERPRINT = 77
REQUEST = PeerPermitRequest(FINGERPRINT, "p-1", frozenset({"i-0"}), 2)
OTHER = replace(REQUEST, permit="p-2")
ANSWERED_SECONDS = 0.05
TIMEOUT_SECONDS = 0.4


def test_a_voter_grants_one_permit_of_a_request_at_a_time() -> None:
    votes = PeerPermitVotes()
    assert votes.vote(REQUEST, set(), 0.0) is Vote.GRANTED
    assert votes.vote(REQUEST, set(), 0.1) is Vote.GRANTED
    assert votes.vote(OTHER, set(), 0.1) is Vote.TAKEN
    votes.withdraw(FINGERPRINT, OTHER.permit)
    assert votes.vote(OTHER, set(), 0.1) is Vote.TAKEN
    votes.withdraw(FINGERPRINT, REQUEST.permit)
    assert votes.vote(OTHER, set(), 0.1) is Vote.GRANTED


def test_a_vote_expires_with_the_ledgers() -> None:
    votes = PeerPermitVotes()
    votes.vote(REQUEST, set(), 0.0)
    assert votes.vote(OTHER, set(), MAX_RETENTION_SECONDS - 1.0) is Vote.TAKEN
    assert votes.vote(OTHER, set(), MAX_RETENTION_SECONDS) is Vote.GRANTED


def test_a_voter_that_knows_of_another_crash_refuses() -> None:
    votes = PeerPermitVotes()
    assert votes.vote(REQUEST, {"i-0"}, 0.0) is Vote.GRANTED
    assert votes.vote(REQUEST, {"i-1"}, 0.0) is Vote.REFUSED


def test_nodes_that_know_the_same_nodes_choose_the_same_voters() -> None:
    names = [f"node-{number}" for number in range(40)]
    assert voters_of(FINGERPRINT, names) == voters_of(FINGERPRINT, reversed(names))
    assert len(voters_of(FINGERPRINT, names)) == MAX_VOTERS
    assert len(voters_of(FINGERPRINT, names[:2])) == 2


@pytest.mark.parametrize("voters", range(1, MAX_VOTERS + 1))
def test_two_majorities_share_a_voter(voters: int) -> None:
    assert 2 * majority_of(voters) > voters


class LossyWorld(World):
    """Three nodes, some of whose datagrams are lost.

    Attributes:
        lost: Number of datagrams that are lost next.
    """

    def __init__(self) -> None:
        super().__init__(runners=2, nodes=3, lists_later_nodes=True)
        self.lost = 0

    def notice_seconds(self, source: str, node: Node) -> float | None:
        if self.lost:
            self.lost -= 1
            return None
        return super().notice_seconds(source, node)

    def ask(self, name: str, request: PeerPermitRequest) -> asyncio.Task[Vote | None]:
        return self.scheduler.spawn(self.loop, self.nodes[name].peers.acquire(request))

    def give_back(self, name: str, permit: str) -> None:
        self.loop.call_soon(self.nodes[name].peers.give_back, FINGERPRINT, permit)
        self.run(ANSWERED_SECONDS)


@pytest.fixture
def world() -> Iterator[LossyWorld]:
    made = LossyWorld()
    yield made
    made.scheduler.close()


def test_one_of_several_nodes_gets_the_permit(world: LossyWorld) -> None:
    asked = [world.ask(name, replace(REQUEST, permit=name)) for name in world.nodes]
    world.run(ANSWERED_SECONDS)
    assert [task.result() for task in asked].count(Vote.GRANTED) <= 1
    again = world.ask("node-0", replace(REQUEST, permit="again"))
    world.run(ANSWERED_SECONDS)
    granted = [task.result() for task in (*asked, again)].count(Vote.GRANTED)
    assert granted == 1


def test_a_returned_permit_is_free(world: LossyWorld) -> None:
    first = world.ask("node-0", REQUEST)
    world.run(ANSWERED_SECONDS)
    second = world.ask("node-1", OTHER)
    world.run(ANSWERED_SECONDS)
    world.give_back("node-0", REQUEST.permit)
    third = world.ask("node-1", replace(OTHER, permit="p-3"))
    world.run(ANSWERED_SECONDS)
    assert first.result() is Vote.GRANTED
    assert second.result() is Vote.TAKEN
    assert third.result() is Vote.GRANTED


def test_a_lost_question_is_repeated(world: LossyWorld) -> None:
    world.lost = 2
    asked = world.ask("node-0", REQUEST)
    world.run(TIMEOUT_SECONDS)
    assert asked.result() is Vote.GRANTED


def test_a_node_without_a_majority_gets_no_permit_and_leaves_no_vote(world: LossyWorld) -> None:
    world.partitioned_nodes = {"node-0"}
    asked = world.ask("node-0", REQUEST)
    world.run(TIMEOUT_SECONDS)
    assert asked.result() is None
    world.partitioned_nodes = set()
    other = world.ask("node-1", OTHER)
    world.run(ANSWERED_SECONDS)
    assert other.result() is Vote.GRANTED


def test_a_request_that_voters_know_as_fatal_gets_no_permit(world: LossyWorld) -> None:
    world.try_until_done("node-0", b"fatal 1")
    world.run(0.2)
    (fingerprint,) = world.nodes["node-1"].state.runner_crashes.fatal()
    request = PeerPermitRequest(fingerprint, "p-1", frozenset({"i-0"}), 3)
    asked = world.ask("node-2", request)
    world.run(ANSWERED_SECONDS)
    assert asked.result() is Vote.REFUSED
