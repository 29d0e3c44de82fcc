"""Checks the history of a run against the invariants of the system."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from hillstack.simulation.history import (
    Accept,
    Adopt,
    Execute,
    Final,
    History,
    Invoke,
    Leave,
    Order,
    Return,
    Reuse,
    Work,
)

LEAVE_LIMIT_SECONDS = 5.0
REFUSAL_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule and the event that violates it."""

    rule: str
    text: str


Rule = Callable[[History], list[Violation]]


def at_most_once(history: History) -> list[Violation]:
    """A non-repeatable request is executed at most once, counting all its retries."""
    counts = Counter(event.key for event in history.of(Execute))
    return [
        Violation("at_most_once", f"{key} was executed {count} times")
        for key, count in counts.items()
        if count > 1
    ]


def truthful_not_run(history: History) -> list[Violation]:
    """A request answered with ``not_run`` had not been executed by then, and never is later.

    A retry with the same key may be executed later. Each execution must therefore follow at least
    one send of its key that was not answered with ``not_run``.
    """
    executed: dict[str, list[float]] = {}
    for event in history.of(Execute):
        executed.setdefault(event.key, []).append(event.at)
    refused = {event.request for event in history.of(Return) if event.outcome == "not_run"}
    violations = []
    for event in history.of(Return):
        earlier = [at for at in executed.get(event.key, ()) if at <= event.at]
        if event.outcome == "not_run" and earlier:
            text = f"{event.key} was said not to have run at {event.at:.3f}, ran {earlier}"
            violations.append(Violation("truthful_not_run", text))
    first_sent: dict[str, float] = {}
    for event in history.of(Invoke):
        if event.request not in refused:
            first_sent[event.key] = min(event.at, first_sent.get(event.key, event.at))
    for key, times in executed.items():
        if key in first_sent and min(times) >= first_sent[key]:
            continue
        violations.append(Violation("truthful_not_run", f"{key} ran {times} for no sending"))
    return violations


def truthful_ran(history: History) -> list[Violation]:
    """A non-repeatable request that was answered with success was executed."""
    executed = {event.key for event in history.of(Execute)}
    non_repeatable = {event.request for event in history.of(Invoke) if not event.repeatable}
    return [
        Violation("truthful_ran", f"{event.key} was answered, and never ran")
        for event in history.of(Return)
        if event.request in non_repeatable and event.status == 200 and event.key not in executed
    ]


def own_answer(history: History) -> list[Violation]:
    """Each caller gets the answer to its own request."""
    return [
        Violation("own_answer", f"{event.key} got the answer of {event.answer_key}")
        for event in history.of(Return)
        if event.answer_key and event.answer_key != event.key
    ]


def whole_streams(history: History) -> list[Violation]:
    """A stream is in order, without gaps or duplicates, and ends complete or with an error."""
    violations = []
    for event in history.of(Return):
        if not event.expected or event.status != 200:
            continue
        received = event.positions
        if received != tuple(range(len(received))):
            violations.append(Violation("whole_streams", f"{event.request}: order {received}"))
        if event.done and len(received) != event.expected:
            text = f"{event.request}: [DONE] after {len(received)} of {event.expected}"
            violations.append(Violation("whole_streams", text))
        if not event.done and not event.error:
            text = f"{event.request}: ended silently after {len(received)} of {event.expected}"
            violations.append(Violation("whole_streams", text))
    return violations


def refusals_say_when(history: History) -> list[Violation]:
    """A refusal carries a ``Retry-After`` header."""
    return [
        Violation("refusals_say_when", f"{event.request}: status {event.status}")
        for event in history.of(Return)
        if event.status in REFUSAL_STATUSES and not event.retry_after
    ]


def cache_truth(history: History) -> list[Violation]:
    """Cached blocks are reused only for the tenant and in the incarnation that stored them.

    The rule need not check the weights version: the cache salt contains the version, so blocks of
    other weights have other hashes.
    """
    violations = []
    for event in history.of(Reuse):
        if event.tenant != event.stored_tenant:
            text = f"{event.node}: blocks of {event.stored_tenant} served to {event.tenant}"
            violations.append(Violation("cache_truth", text))
        if event.incarnation != event.stored_incarnation:
            text = f"{event.node}: blocks of a dead incarnation"
            violations.append(Violation("cache_truth", text))
    return violations


def leaving_gets_no_work(history: History) -> list[Violation]:
    """A leaving back end gets no new work once ``LEAVE_LIMIT_SECONDS`` have passed."""
    left_at = {event.node: event.at for event in history.of(Leave)}
    return [
        Violation("leaving_gets_no_work", f"{event.node}: work at {event.at:.2f}")
        for event in history.of(Work)
        if event.node in left_at and event.at > left_at[event.node] + LEAVE_LIMIT_SECONDS
    ]


def bundles_never_revert(history: History) -> list[Violation]:
    """The bundle version of a running node only rises, and a version has one digest everywhere."""
    violations = []
    versions: dict[tuple[str, int], int] = {}
    digests: dict[int, str] = {}
    for event in history.of(Adopt):
        process = (event.node, event.incarnation)
        if event.version <= versions.get(process, 0):
            text = f"{event.node}: {versions[process]} to {event.version}"
            violations.append(Violation("bundles_never_revert", text))
        versions[process] = event.version
        if digests.setdefault(event.version, event.digest) != event.digest:
            text = f"{event.node}: another bundle as version {event.version}"
            violations.append(Violation("bundles_never_revert", text))
    return violations


def accepted_bundles_stand(history: History) -> list[Violation]:
    """An accepted version has one digest, and all nodes end with the highest accepted version."""
    violations = []
    digests: dict[int, str] = {}
    accepted = history.of(Accept)
    for event in accepted:
        if digests.setdefault(event.version, event.digest) != event.digest:
            text = f"version {event.version} was accepted twice"
            violations.append(Violation("accepted_bundles_stand", text))
    for event in history.of(Adopt):
        if event.version in digests and digests[event.version] != event.digest:
            text = f"{event.node}: not the accepted bundle of version {event.version}"
            violations.append(Violation("accepted_bundles_stand", text))
    highest = max((event.version for event in accepted), default=0)
    for event in history.of(Final):
        if event.version < highest:
            text = f"{event.node}: {event.version} in force at the end, accepted {highest}"
            violations.append(Violation("accepted_bundles_stand", text))
    return violations


def fences_hold(history: History) -> list[Violation]:
    """An engine accepts no order with a lower fence than an order it accepted before."""
    violations = []
    highest: dict[str, int] = {}
    for event in history.of(Order):
        if event.taken and event.fence < highest.get(event.node, 0):
            text = f"{event.node}: took fence {event.fence} after {highest[event.node]}"
            violations.append(Violation("fences_hold", text))
        if event.taken:
            highest[event.node] = max(event.fence, highest.get(event.node, 0))
    return violations


RULES: tuple[Rule, ...] = (
    at_most_once,
    truthful_not_run,
    truthful_ran,
    own_answer,
    whole_streams,
    refusals_say_when,
    cache_truth,
    leaving_gets_no_work,
    bundles_never_revert,
    accepted_bundles_stand,
    fences_hold,
)


def check(history: History) -> list[Violation]:
    """Return the violations of all rules."""
    return [violation for rule in RULES for violation in rule(history)]
