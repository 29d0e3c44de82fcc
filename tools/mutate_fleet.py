"""Switches mechanisms of a fleet's node off, one at a time; some test must then fail.

Each mutation replaces one piece of the sources in a copy, and runs the tests without processes
there. A mutation that no test notices ends the tool with an error, and so does one that does not
apply. The tests must pass without a mutation.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORKERS = 4
KNOWN_RED = ROOT / "KNOWN-RED.txt"
RESTORED_MACHINES = (
    "tests/stateful/test_restored_leases.py",
    "tests/stateful/test_restored_store.py",
)


@dataclass(frozen=True, slots=True)
class Mutation:
    """One mechanism, and the replacement that switches it off."""

    name: str
    path: str
    old: str
    new: str


MUTATIONS = (
    Mutation(
        "an unsafe request is sent again after it may have run",
        "serving/job.py",
        "return self.route.repeatable and self.runs < self.route.max_attempts",
        "return self.runs < 9",
    ),
    Mutation(
        "refusals promise although it may have run",
        "serving/job.py",
        "if self.may_have_run or (verdict is Verdict.TIMED_OUT and self.sends):",
        "if False:",
    ),
    Mutation(
        "unsigned answers pass",
        "serving/pipeline.py",
        "if answer.status in SUCCESS and not answer.signed:",
        "if False:",
    ),
    Mutation(
        "stale keys are served",
        "serving/admission.py",
        "if not self._state.freshness.is_fresh(self._clock()):",
        "if False:",
    ),
    Mutation(
        "the retry budget is not asked",
        "core/shared_retry_budget.py",
        "if self.allowed(service, now) < 1.0:",
        "if False:",
    ),
    Mutation(
        "each node takes the whole slack",
        "core/shared_retry_budget.py",
        "self._slack / self._node_count",
        "self._slack",
    ),
    Mutation(
        "half events are passed on",
        "serving/event_framing.py",
        "end = data.rfind(EVENT_END)",
        "end = len(data) - 2",
    ),
    Mutation(
        "streams that begin again are joined",
        "serving/event_framing.py",
        "if previous is not None and newest <= previous:",
        "if False:",
    ),
    Mutation(
        "the salt forgets the version",
        "serving/placement.py",
        'return f"{isolation}|{job.request.model}|{version}"',
        'return f"{isolation}|{job.request.model}"',
    ),
    Mutation(
        "isolated tenants share",
        "serving/placement.py",
        "tenant is not None and tenant.isolated",
        "False",
    ),
    Mutation(
        "draining runners get work",
        "core/runner_pool.py",
        "return self.leaving or self.entry.draining or self.signals.is_leaving",
        "return False",
    ),
    Mutation(
        "entries go back",
        "core/runner_pool.py",
        "return entry.revision < latest.revision",
        "return False",
    ),
    Mutation(
        "requests wait on old weights",
        "serving/pipeline.py",
        "if self._clock() >= due - SILENCE_CHECK_SECONDS:",
        "if False:",
    ),
    Mutation(
        "orders do not name what they expect",
        "daemon/weights_rollout_duty.py",
        "expected = max(report.orders_taken, self._orders_taken.get(runner.runner_id, 0))",
        "expected = 0",
    ),
    Mutation(
        "a holder does not wait for runners ordered lately",
        "daemon/weights_rollout_duty.py",
        "if now < runner.peer_ordered_at + self._other_holder_wait",
        "if False",
    ),
    Mutation(
        "everything loads at once",
        "core/weights_rollout.py",
        "return min(most, self._required_loads(waiting, loading, view)) - loading",
        "return 99",
    ),
    Mutation(
        "an own allowance is told to peers",
        "core/weights_versions.py",
        "NamedVersion(model, entry.version, entry.acknowledged_after, entry.revision)",
        "NamedVersion(model, entry.version, entry.not_before, entry.revision)",
    ),
    Mutation(
        "crossed answers are taken",
        "platform/response_handler.py",
        "return answered_id == self._expected_id",
        "return True",
    ),
    Mutation(
        "a second attempt uses the connection of a refusal",
        "platform/response_handler.py",
        "return request_id not in self._failed_ids",
        "return True",
    ),
    Mutation(
        "a close waits for unsent bytes",
        "immediate_close.py",
        "if not unsent_bytes(transport, connection):",
        "if True:",
    ),
    Mutation(
        "a reset looks like an end",
        "platform/response_handler.py",
        "if exc is None or payload is None or payload.is_eof():",
        "if True:",
    ),
    Mutation(
        "a refused fence is used on",
        "daemon/weights_rollout_duty.py",
        "                self._lease.invalidate()\n",
        "                pass\n",
    ),
    Mutation(
        "parts are a source before they are read",
        "serving/cache_estimates.py",
        "return UNCONFIRMED_PREFILL_SECONDS + UNCONFIRMED_PREFILL_FACTOR * delay",
        "return 0.0",
    ),
    Mutation(
        "evictions are not believed",
        "core/part_index.py",
        "            holder.put(key, part.tokens, -math.inf)\n"
        "            holder.evict(holder.capacity)\n"
        "        else:\n"
        "            holder.remove(key)",
        "            holder.put(key, part.tokens, -math.inf)\n"
        "            holder.evict(holder.capacity)",
    ),
    Mutation(
        "a restart of a holder is not noticed",
        "daemon/cache_follower.py",
        "if changes.epoch != position.epoch:",
        "if False:",
    ),
    Mutation(
        "every node watches every holder",
        "daemon/cache_follower.py",
        "watched = self._assignment.holders_watched_by(self._state.node_id)",
        "watched = list(holders)",
    ),
    Mutation(
        "a silent store of kept cache is asked on",
        "serving/fleet_state.py",
        "return [s for s in stores if now >= self._unavailable_until.get(s.address, now)]",
        "return list(stores)",
    ),
    Mutation(
        "prefills of others are repeated",
        "core/placement/expected_delay.py",
        "cost += REPEATED_PREFILL_SECONDS_PER_TOKEN * repeated",
        "pass",
    ),
    Mutation(
        "placements wait for the loads",
        "daemon/peer_exchange.py",
        "loop.call_later(PLACEMENT_SECONDS, self.flush)",
        "loop.call_later(RELAYED_FLUSH_SECONDS, self.flush)",
    ),
    Mutation(
        "superseded weights are as good as the newest",
        "core/placement/expected_delay.py",
        "cost += SUPERSEDED_PENALTY_SECONDS",
        "pass",
    ),
    Mutation(
        "what the kept store has is saved again",
        "serving/cache_estimates.py",
        "if index.matched_tokens(store.address, salt, parts) >= wanted:",
        "if False:",
    ),
    Mutation(
        "saves do not queue",
        "serving/cache_estimates.py",
        "self._link_free_at[address] = max(self._link_free_at.get(address, now), now) + seconds",
        "pass",
    ),
    Mutation(
        "saves that never came are believed",
        "daemon/cache_follower.py",
        "self._drop_unconfirmed(holder)",
        "pass",
    ),
    Mutation(
        "loads throw prefills away",
        "daemon/weights_rollout_duty.py",
        "wait = min(runner.prefill_wait(now), gives_up_at - now)",
        "wait = 0.0",
    ),
    Mutation(
        "versions are heard of from the store alone",
        "daemon/peer_exchange.py",
        "state.handle_weights_named(self._report_announcements)",
        "pass",
    ),
    Mutation(
        "requests before the first read of the store are refused",
        "serving/pipeline.py",
        "await self._state.start_gate.wait_for_first_read(_useful_patience(request))",
        "pass",
    ),
    Mutation(
        "prompts are placed before caches are known",
        "serving/pipeline.py",
        "await self._state.start_gate.wait_for_caches()",
        "await self._state.start_gate.wait_for_first_read()",
    ),
    Mutation(
        "requests that will be refused wait for what is cached",
        "serving/pipeline.py",
        "await self._state.start_gate.wait_for_first_read(_useful_patience(request))",
        "await self._state.start_gate.wait_for_caches()",
    ),
    Mutation(
        "a starting node holds a request until its caller has left",
        "serving/pipeline.py",
        "return max(0.0, request.patience_seconds - MIN_REMAINING_SECONDS)",
        "return math.inf",
    ),
    Mutation(
        "requests are taken before the runners are known",
        "serving/admission.py",
        "if table is None or not self._state.directory_known:",
        "if table is None:",
    ),
    Mutation(
        "callers are told to come back before they can be in time",
        "core/overload.py",
        "retry_after = waiting - max(0.0, target - own_work)",
        "retry_after = waiting - target",
    ),
    Mutation(
        "what would wait until its deadline is taken",
        "core/overload.py",
        "allowed = min(target, remaining) if target > 0 else remaining",
        "allowed = target if target > 0 else remaining",
    ),
    Mutation(
        "requests are refused while runners have room",
        "serving/pipeline.py",
        "if retry_after is not None and not self._placement.has_room(job, now):",
        "if retry_after is not None:",
    ),
    Mutation(
        "what a runner has refused waits behind others",
        "serving/pipeline.py",
        "if job.may_have_run or placed.salt is None:",
        "if job.sends or placed.salt is None:",
    ),
    Mutation(
        "an answer that ends at the deadline is dropped",
        "serving/pipeline.py",
        "job.extend_until(job.deadline + DEADLINE_TRANSIT_SECONDS, now)",
        "pass",
    ),
    Mutation(
        "the body of an answer is cut at the deadline",
        "serving/pipeline.py",
        "job.extend_until(job.deadline + BODY_TRANSIT_SECONDS, self._clock())",
        "pass",
    ),
    Mutation(
        "a ready answer is cut at the deadline",
        "serving/pipeline.py",
        "job.extend_until(now + DELIVERY_SECONDS, now)",
        "pass",
    ),
    Mutation(
        "a runner's own error is forgotten when another one is tried",
        "serving/pipeline.py",
        "job.failure_answer = await self._read_whole(job, answer)",
        "pass",
    ),
    Mutation(
        "a runner at work is left though no other takes the request",
        "serving/pipeline.py",
        "return self._may_retry(job)"
        " and self._placement.has_alternative(job, runner, self._clock())",
        "return self._may_retry(job)",
    ),
    Mutation(
        "work of application servers is overdue after a fixed time",
        "serving/placement.py",
        "return self._durations[job.service].overdue_seconds()",
        "return FIRST_EVENT_OVERDUE_SECONDS",
    ),
    Mutation(
        "durations of answers are not learned",
        "serving/placement.py",
        "self._durations[job.service].add(now - attempt.sent_at)",
        "pass",
    ),
    Mutation(
        "callers without a runner are not told when one takes work",
        "serving/pipeline.py",
        'raise job.give_up_error(Verdict.UNAVAILABLE, "no runner takes work", wait)',
        'raise job.give_up_error(Verdict.UNAVAILABLE, "no runner takes work")',
    ),
    Mutation(
        "the library repeats requests",
        "platform/connections.py",
        "session._retry_connection = False",
        "pass",
    ),
    Mutation(
        "knowledge of a peer passes for fresh",
        "daemon/store_relay.py",
        "asked_at - answer.age_ms / MILLISECONDS,",
        "asked_at,",
    ),
    Mutation(
        "words do not cross to other zones",
        "daemon/notice_relay.py",
        "self._other_zones_outbox.notices.append(report.notice)",
        "pass",
    ),
    Mutation(
        "a zone's loads hold this node's own twice",
        "daemon/notice_reader.py",
        "load = load.without(runner.attempts.load())",
        "pass",
    ),
    Mutation(
        "a duty that fell free unseen stays held",
        "daemon/store_sync.py",
        "if not listed.has_duty_holder:",
        "if False:",
    ),
    Mutation(
        "no poll starts while an earlier one is unanswered",
        "daemon/store_sync.py",
        "        if self._clock() >= self._next_poll_at:",
        "        if self._clock() >= self._next_poll_at and not self._polls:",
    ),
    Mutation(
        "a peer whose poll is overdue is followed like any other",
        "daemon/store_sync.py",
        "if preceding is not None and not preceding.is_store_overdue:",
        "if preceding is not None:",
    ),
    Mutation(
        "a node that the store turns away asks nobody else",
        "daemon/store_sync.py",
        "chosen = self._rng.sample(others, min(MAX_PEERS_ASKED, len(others)))",
        "others = chosen = []",
    ),
    Mutation(
        "an outage that one peer saw moves the bounds of all",
        "daemon/store_sync.py",
        "if ended_at - self._state.freshness.proved_at() > self._fresh_seconds():",
        "if True:",
    ),
    Mutation(
        "nodes with slow links relay as well",
        "core/node_directory.py",
        "ordered.sort(key=lambda node_id: -self._nodes[node_id].relay_class)",
        "pass",
    ),
    Mutation(
        "nodes that were taken off count no more at once",
        "core/node_directory.py",
        "len(self._nodes) + len(unlisted)",
        "len(self._nodes)",
    ),
    Mutation(
        "silent relays are relied on",
        "core/relay_choice.py",
        "if now - max(since, self._received_at.get(node_id, since)) < SILENT_SECONDS:",
        "if True:",
    ),
    Mutation(
        "the most that may be generated passes for the length",
        "platform/formats.py",
        "output = str(min(int(output or hint), int(hint)))",
        "pass",
    ),
    Mutation(
        "prefills do not weigh against streams",
        "core/placement/expected_delay.py",
        "cost += _interference(load.running, queue, prefill, inputs)",
        "pass",
    ),
    Mutation(
        "reports of loads do not expire",
        "core/runner_load.py",
        "if self._oldest_at < now - PEER_LOAD_SECONDS:",
        "if False:",
    ),
    Mutation(
        "a request over its tenant's limit passes",
        "serving/pipeline.py",
        "if wait <= 0:",
        "if True:",
    ),
    Mutation(
        "what may have run is given back to its tenant's limit",
        "serving/pipeline.py",
        "if job.charged_cost and not job.runs and not job.may_have_run:",
        "if job.charged_cost:",
    ),
    Mutation(
        "a node's time is handed over again",
        "core/token_leases.py",
        "self._contributed_until = now\n        return seconds",
        "return seconds",
    ),
    Mutation(
        "a paused node brings all of its pause",
        "core/token_leases.py",
        "min(MAX_CONTRIBUTED_SECONDS, max(0.0, now - self._contributed_until))",
        "now - self._contributed_until",
    ),
    Mutation(
        "leased tokens last for ever",
        "core/token_leases.py",
        "if now >= lease.ends_at:",
        "if False:",
    ),
    Mutation(
        "returned tokens are kept",
        "core/token_leases.py",
        "tokens, lease.tokens = lease.tokens, 0.0",
        "tokens = lease.tokens",
    ),
    Mutation(
        "leases come on top of the bucket",
        "core/token_buckets.py",
        "min(capacity - bucket.leased, bucket.level + gained)",
        "min(capacity, bucket.level + gained)",
    ),
    Mutation(
        "a holder that was left keeps its tokens",
        "core/token_buckets.py",
        "is_reduced = capacity < bucket.capacity",
        "is_reduced = False",
    ),
    Mutation(
        "tokens that were given away stay",
        "core/token_buckets.py",
        "bucket.level -= given",
        "pass",
    ),
    Mutation(
        "a question that comes twice counts twice",
        "core/token_buckets.py",
        "return number <= known.number",
        "return False",
    ),
    Mutation(
        "every message of a node brings a start",
        "daemon/limit_client.py",
        "is_first, self._is_first_question = self._is_first_question, False",
        "is_first = True",
    ),
    Mutation(
        "limits are shared before the other nodes are known",
        "daemon/limit_client.py",
        "if self._state.table is None or not self._state.peers_known:",
        "if self._state.table is None:",
    ),
    Mutation(
        "tokens that nobody asked for are taken",
        "daemon/limit_holder.py",
        "if answer.number not in self._open_transfers:\n            return\n        del",
        "if answer.number in self._open_transfers:\n            del",
    ),
    Mutation(
        "holders do not ask each other",
        "daemon/limit_holder.py",
        "        asked = [self._ask(node, missing) for node in others]",
        "        asked = [self._ask(node, missing) for node in others[:0]]",
    ),
    Mutation(
        "an entry that is written again is held back from peers",
        "daemon/store_sync.py",
        "self._log.apply([change.item for change in changes.changes], changes.revision)",
        "self._log.apply([change.item for change in changes.changes"
        " if not self._log.has(change.item.key)], changes.revision)",
    ),
    Mutation(
        "a change that a list went beyond is taken back",
        "daemon/change_log.py",
        "if known is not None and known.revision > item.revision:",
        "if False:",
    ),
    Mutation(
        "what is known is not compared with the store",
        "daemon/store_check.py",
        "        if missed:",
        "        if False:",
    ),
    Mutation(
        "the runners that are known are not compared with the list",
        "daemon/store_check.py",
        " or self._missing_from_pool(\n            snapshot.changes\n        )",
        "",
    ),
    Mutation(
        "a list is compared before the node has come as far",
        "daemon/store_check.py",
        "while self._log.revision < revision:",
        "while False:",
    ),
    Mutation(
        "a removal that is older than the entry takes the runner off",
        "serving/fleet_state.py",
        "if revision is not None and runner.entry.revision > revision:",
        "if False:",
    ),
    Mutation(
        "an entry that is told once more does not lift its removal",
        "core/runner_pool.py",
        "if entry.revision == runner.entry.revision and not was_unlisted:",
        "if entry.revision == runner.entry.revision:",
    ),
    Mutation(
        "connections that rest beside a silent one are used again",
        "platform/response_handler.py",
        'return received_at > self._silent_at.get(endpoint, float("-inf"))',
        "return True",
    ),
    Mutation(
        "a call of the store without an answer is forgotten",
        "platform/store.py",
        "record_silent_address(self._session, self._address)",
        "pass",
    ),
    Mutation(
        "the store is not looked at again at once after a silent look",
        "daemon/store_sync.py",
        "may_be_connection = is_first and isinstance(error, PlatformOutcomeUnknownError)",
        "may_be_connection = False",
    ),
    Mutation(
        "a request stays on a connection that is silent while its runner speaks on others",
        "serving/pipeline.py",
        "is_connection_silent = now - job.silent_since >= CONNECTION_SILENCE_SECONDS",
        "is_connection_silent = False",
    ),
    Mutation(
        "a close that waits behind its request is seen only after it was sent",
        "platform/ingress.py",
        "if self._is_lagging():",
        "if False:",
    ),
    Mutation(
        "an attempt that is left is not awaited",
        "serving/pipeline.py",
        "await end_attempt(sending)",
        "sending.cancel()",
    ),
    Mutation(
        "callers that leave are not noticed",
        "platform/ingress.py",
        "            serving_task.cancel()\n            return",
        "            return",
    ),
    Mutation(
        "a node does not see that it reads late",
        "daemon/loop_lag.py",
        "return now < self._behind_until or self._is_late(now)",
        "return now < self._behind_until",
    ),
    Mutation(
        "a node without room for callers stays ready",
        "daemon/connection_limiter.py",
        "return not self.is_full() and self._clock() >= self._exhausted_until",
        "return True",
    ),
    Mutation(
        "a node that can't take connections for a while stays ready",
        "daemon/connection_limiter.py",
        "return not self.is_full() and self._clock() >= self._exhausted_until",
        "return not self.is_full()",
    ),
    Mutation(
        "resting connections are kept where no room is left",
        "daemon/connection_limiter.py",
        "        for connection in idle[:count]:\n            connection.shutdown()\n",
        "",
    ),
    Mutation(
        "a store that stays silent is asked twice each time",
        "daemon/store_sync.py",
        "may_be_connection = is_first and isinstance(error, PlatformOutcomeUnknownError)",
        "may_be_connection = isinstance(error, PlatformOutcomeUnknownError)",
    ),
    Mutation(
        "a word on named weights counts from its arrival",
        "daemon/notice_reader.py",
        "not_before = state.proofs.latest_before(revision)",
        "not_before = now",
    ),
    Mutation(
        "an answer on named weights counts from its arrival",
        "daemon/store_relay.py",
        "NamedVersion(entry.model, entry.version, asked_at - entry.age_ms / MILLISECONDS)",
        "NamedVersion(entry.model, entry.version, asked_at + 0.1 - entry.age_ms / MILLISECONDS)",
    ),
    Mutation(
        "a look that has missed a change proves that it was made later",
        "daemon/store_sync.py",
        "self._state.proofs.latest_before(change.item.revision)",
        "self._state.freshness.proved_at()",
    ),
    Mutation(
        "a starting node asks nobody when weights were named",
        "daemon/store_sync.py",
        "if not self._state.versions.lacks_announcement_time(self._clock()):",
        "if True:",
    ),
    Mutation(
        "any failed call shows an outage",
        "daemon/store_sync.py",
        "is_explained = isinstance(error, PlatformThrottledError) or self._is_lagging()",
        "is_explained = False",
    ),
    Mutation(
        "a runner that starts again is the one before",
        "platform/runner_identifiers.py",
        "    if born:",
        "    if False:",
    ),
    Mutation(
        "attempts at a runner that has started again are waited for",
        "serving/pipeline.py",
        "if not (runner.has_ended or is_silent or is_connection_silent):",
        "if not (is_silent or is_connection_silent):",
    ),
    Mutation(
        "an entry that can't be read is passed over",
        "platform/store.py",
        "return to_event(StoredItem(item.key, item.revision, None))",
        "return None",
    ),
    Mutation(
        "a runner's own word that it leaves is passed over",
        "core/runner_pool.py",
        "return self.leaving or self.entry.draining or self.signals.is_leaving",
        "return self.leaving or self.entry.draining",
    ),
    Mutation(
        "a backoff that a runner asks for is passed over",
        "core/runner_pool.py",
        "return max(self.suspected_until, self.loading_until, self.signals.unavailable_until)",
        "return max(self.suspected_until, self.loading_until)",
    ),
    Mutation(
        "what a runner said is forgotten with its entry",
        "core/runner_pool.py",
        "        signals = self._signals.get(entry.runner_id)\n",
        "        signals = None\n",
    ),
    Mutation(
        "a backoff is cut short by a later refusal",
        "core/runner_signals.py",
        "if signals.backoff_seconds > 0 and until > self.backoff_until:",
        "if signals.backoff_seconds > 0:",
    ),
    Mutation(
        "the word of another one at the address counts",
        "platform/runner_signals.py",
        "if answered_by is not None and answered_by != instance_of(runner_id):",
        "if False:",
    ),
    Mutation(
        "a backoff is as long as it says",
        "platform/runner_signals.py",
        "return min(MAX_BACKOFF_SECONDS, float(text))",
        "return float(text)",
    ),
    Mutation(
        "answers on cached parts are not heard",
        "platform/cache_feed.py",
        "        if not holder.is_store:\n            self._signals",
        "        if False:\n            self._signals",
    ),
    Mutation(
        "a peer's word that a runner leaves refuses requests",
        "serving/placement.py",
        "                return placed\n        return self._choose_usable(job, now)",
        "                return placed\n        return None",
    ),
    Mutation(
        "a peer's word that a runner leaves never lapses",
        "core/runner_pool.py",
        "is not runner or now >= runner.hinted_until:",
        "is not runner:",
    ),
    Mutation(
        "all requests wait for the end of a backoff",
        "serving/backoff_waits.py",
        "if self._waiting[runner.runner_id] >= self._waiting_capacity(runner, now):",
        "if False:",
    ),
    Mutation(
        "requests wait for a backoff after which they are late",
        "serving/backoff_waits.py",
        "return runner.ready_at + work + DELIVERY_MARGIN_SECONDS <= min(\n"
        "            job.deadline, _useful_until(job)\n        )",
        "return True",
    ),
    Mutation(
        "streams that have begun do not wait for a backoff",
        "serving/backoff_waits.py",
        "if job.head_sent and job.last_event_at is not None:",
        "if False:",
    ),
    Mutation(
        "callers all return when a backoff ends",
        "serving/placement.py",
        "wait += self._rng.uniform(0.0, RETURN_SPREAD_SECONDS)",
        "wait += 0.0",
    ),
    Mutation(
        "weights are ordered at runners that leave",
        "core/weights_rollout.py",
        "return not runner.is_leaving and runner.runner_id",
        "return not runner.entry.draining and runner.runner_id",
    ),
    Mutation(
        "a limit that a runner names is passed over",
        "serving/runner_limits.py",
        "        if rate is None:\n            return True\n        if limit.take_probe():",
        "        if True:\n            return True\n        if limit.take_probe():",
    ),
    Mutation(
        "each node has a runner's limit for itself",
        "serving/runner_limits.py",
        "                return await self._limiter.take(runner_id, limit, limit.cost(None), rank)",
        "                return 0.0",
    ),
    Mutation(
        "a runner without room is asked for again at once",
        "serving/runner_limits.py",
        "limit.exhausted_until = self._clock() + min(wait, MAX_PAUSE_SECONDS)",
        "limit.exhausted_until = self._clock() + 0.0001",
    ),
    Mutation(
        "a request waits for a holder that says nothing",
        "serving/runner_limits.py",
        "            async with asyncio.timeout(HOLDER_TIMEOUT_SECONDS):",
        "            async with asyncio.timeout(100.0):",
    ),
    Mutation(
        "buckets of runners overdraw",
        "core/token_buckets.py",
        "return max(cost, needed) if self.requires_full_cost else needed",
        "return needed",
    ),
    Mutation(
        "any answer without a limit ends it",
        "core/runner_limit.py",
        "        if request_sent_at < max(self.last_reported_at, self.hinted_request_sent_at):",
        "        if False:",
    ),
    Mutation(
        "a failure without a limit ends it",
        "core/runner_limit.py",
        "if self.in_force(now) is None or not source.was_carried_out:",
        "if self.in_force(now) is None:",
    ),
    Mutation(
        "an old answer that comes late brings a limit back",
        "core/runner_limit.py",
        "        if request_sent_at < self.request_sent_at:\n            return False\n",
        "",
    ),
    Mutation(
        "a peer's word of a limit never lapses",
        "core/runner_limit.py",
        "        if now >= self.hinted_until:\n            return self.rate\n",
        "        if self.hinted_rate == 0.0:\n            return self.rate\n",
    ),
    Mutation(
        "a peer's word of an end frees a node of the limit",
        "core/runner_limit.py",
        "            self.may_probe = True\n",
        "            self.rate = None\n",
    ),
    Mutation(
        "nobody tells peers of limits",
        "daemon/peer_exchange.py",
        "        self._outbox.add_limit(_limit_notice(runner_id, limit, limit.last_hint_at))\n",
        "",
    ),
    Mutation(
        "peers that tell of a limit which has ended are not told so",
        "daemon/notice_reader.py",
        "            self._on_outdated_limit(limit.runner_id)",
        "            return",
    ),
    Mutation(
        "questions on cached parts go on beside a limit",
        "daemon/limited_calls.py",
        "        await self._pause(holder)\n",
        "",
    ),
    Mutation(
        "orders wait for room for as long as it takes",
        "daemon/limited_calls.py",
        "        await self._limits.room_for_call(order.runner_id, ORDER_PATIENCE_SECONDS)",
        "        await self._limits.room_for_call(order.runner_id, 1_000.0)",
    ),
    Mutation(
        "a runner's limit without a request of slack is passed at a start",
        "daemon/limit_scopes.py",
        "RUNNER_START_SHARE = 0.3",
        "RUNNER_START_SHARE = 3.0",
    ),
    Mutation(
        "a node takes its part before it knows the others",
        "daemon/store_sync.py",
        "            revision = await self._poll_at_once(revision)\n        if",
        "            revision = own.revision\n        if",
    ),
    Mutation(
        "a node that knows no others has the whole retry budget",
        "serving/fleet_state.py",
        "        self.budget.set_node_count(MAX_NODES)\n",
        "",
    ),
    Mutation(
        "the runners that end under a request are not counted",
        "serving/runner_crashes.py",
        "if suspicion is Suspicion.FATAL or not self._is_within_bound(job):",
        "if suspicion is Suspicion.FATAL:",
    ),
    Mutation(
        "a try with another query is another request",
        "serving/runner_crashes.py",
        "                self._counts.note(run.content, crashed)",
        "                pass",
    ),
    Mutation(
        "a run that was left is at no end",
        "serving/runner_crashes.py",
        "if found is not None and may_still_run:",
        "if False:",
    ),
    Mutation(
        "a crash that broke no connection is not told",
        "serving/pipeline.py",
        "                self.runner_crashes.unreachable(runner, now)\n",
        "",
    ),
    Mutation(
        "failures that runners answer set the count of ends back",
        "serving/runner_crashes.py",
        "        if succeeded:\n",
        "        if True:\n",
    ),
    Mutation(
        "bytes of the next process take an end back",
        "serving/runner_crashes.py",
        "if received_at < ended_at + MIN_RESTART_SECONDS:",
        "if True:",
    ),
    Mutation(
        "bytes that were read late take an end back",
        "serving/runner_crashes.py",
        " or received_at < self._lag_free_since()",
        "",
    ),
    Mutation(
        "all nodes try a suspect at the same moment",
        "serving/runner_crashes.py",
        " + self._node_rank(content_of(job))",
        "",
    ),
    Mutation(
        "ends far back are not told to a node that starts",
        "serving/runner_crashes.py",
        "            for notice in earlier_crash_notices(self._counts, self._record, now)\n",
        "            for notice in ()\n",
    ),
    Mutation(
        "streams that are moved along count in full",
        "core/crash_counts.py",
        "LATE_CRASH_WEIGHT = 0.5",
        "LATE_CRASH_WEIGHT = 1.0",
    ),
    Mutation(
        "trials beyond the bound are not counted",
        "core/crash_counts.py",
        "spent = max(crashes.sends_beyond_bound(), crashes.trials)",
        "spent = 0",
    ),
    Mutation(
        "timers do not count the sleep of a machine",
        "daemon/suspensions.py",
        "        return clock.seconds()",
        "        return super().time()",
    ),
    Mutation(
        "ages do not count the sleep of a machine",
        "clock.py",
        "return time.clock_gettime(BOOT_CLOCK)",
        "return time.monotonic()",
    ),
    Mutation(
        "revisions are ordered by their number alone",
        "core/store_revision.py",
        """    def __str__(self) -> str:
""",
        """    def __lt__(self, other: tuple[int, ...]) -> bool:
        return self.number < other[1]

    def __gt__(self, other: tuple[int, ...]) -> bool:
        return self.number > other[1]

    def __le__(self, other: tuple[int, ...]) -> bool:
        return self.number <= other[1]

    def __ge__(self, other: tuple[int, ...]) -> bool:
        return self.number >= other[1]

    def __str__(self) -> str:
""",
    ),
    Mutation(
        "a peer's knowledge of an earlier era is fresh",
        "daemon/store_sync.py",
        "if relayed.revision.era < self._state.store_era.current:",
        "if False:",
    ),
    Mutation(
        "a watch goes on over a restore",
        "platform/store.py",
        "if answer.era != revision.era:",
        "if False:",
    ),
    Mutation(
        "conditions of an earlier era are asked for",
        "platform/store.py",
        "if condition_eras - {self.era}:",
        "if False:",
    ),
    Mutation(
        "pages of two eras are one list",
        "platform/store.py",
        "if len(eras) > 1:",
        "if False:",
    ),
    Mutation(
        "answers of an earlier era count",
        "core/store_era.py",
        "if allow_stale or era_at_request < self.current:",
        "if False:",
    ),
    Mutation(
        "peers are not asked while history is lost",
        "daemon/store_sync.py",
        "            if relayed is None:\n                raise\n            loaded",
        "            raise\n            loaded",
    ),
    Mutation(
        "answers of earlier builds are taken for whole",
        "daemon/store_relay.py",
        "answer.is_complete and answer.era is not None",
        "answer.is_complete",
    ),
    Mutation(
        "a leave that the copy lacks is forgotten",
        "core/runner_pool.py",
        "replace(entry, draining=True) if entry.revision.era > known.revision.era else entry",
        "entry",
    ),
    Mutation(
        "a runner that was gone is used from the copy",
        "core/runner_pool.py",
        "return dropped.revision.era < entry.revision.era",
        "return False",
    ),
    Mutation(
        "a process that ended comes back with the copy",
        "core/runner_pool.py",
        "return entry.started_ms < latest.started_ms",
        "return False",
    ),
    Mutation(
        "runners that the copy lacks are dropped at once",
        "serving/fleet_state.py",
        "        self.note_calls_failed(now)\n\n    def note_store_recovered",
        "        del now\n\n    def note_store_recovered",
    ),
    Mutation(
        "a lease outlives its era",
        "daemon/duty_lease.py",
        "        if self._lease_era != self._key_value.era:\n            return None\n",
        "",
    ),
    Mutation(
        "a lease of another is ended by its number",
        "daemon/duty_lease.py",
        "if self._lease_era == self._key_value.era:",
        "if True:",
    ),
    Mutation(
        "a duty is taken before its holder has heard of the restore",
        "daemon/duty_lease.py",
        "self._may_acquire_from = now + self._ttl",
        "self._may_acquire_from = now",
    ),
    Mutation(
        "a fence falls with the store's revision",
        "daemon/duty_lease.py",
        "if raised is None or raised.number > highest:",
        "if True:",
    ),
    Mutation(
        "an order that is written again is a new one",
        "core/software_rollouts.py",
        "if order.revision.era == known.revision.era:\n            return False",
        "if True:\n            return False",
    ),
    Mutation(
        "an earlier stage of the copy counts",
        "core/software_rollouts.py",
        "return record.revision.era > known.revision.era and _is_behind(record, known)",
        "return False",
    ),
    Mutation(
        "a record that the store has lost is not written again",
        "core/software_rollouts.py",
        "            if service not in listed and record.revision.era < revision.era:",
        "            if False:",
    ),
    Mutation(
        "an order that the store has lost is withdrawn at once",
        "serving/fleet_state.py",
        "if order.revision.era < revision.era:",
        "if False:",
    ),
    Mutation(
        "a change is proved by a later era",
        "core/store_proofs.py",
        "if known.era <= revision.era and known.number < revision.number:",
        "if known < revision:",
    ),
    Mutation(
        "a late report undoes a verdict",
        "core/runner_crashes.py",
        "        self._settle_verdicts(now)\n",
        "",
    ),
    Mutation(
        "ages count up to the report of a crash",
        "core/runner_crashes.py",
        "        if delay <= tolerance:\n            return run\n",
        "        return run\n",
    ),
    Mutation(
        "a suspect is sent without a permit",
        "serving/runner_crashes.py",
        "                await self._permits.acquire(job)\n",
        "                pass\n",
    ),
    Mutation(
        "the outcome of a suspect's send is not recorded",
        "serving/suspect_permits.py",
        "        self._permits.report_outcome(fingerprint, outcome, delay)\n",
        "",
    ),
    Mutation(
        "a new node is not told which weights runners serve",
        "daemon/peer_exchange.py",
        "        if self._reports_weights_to(node, now):\n",
        "        if False:\n",
    ),
    Mutation(
        "the zone of a leaving runner counts as failed",
        "serving/placement.py",
        "        failed_zones = self._regions.failed_zones(job.excluded - job.leaving)\n",
        "        failed_zones = self._regions.failed_zones(job.excluded)\n",
    ),
)


def main() -> int:
    """Try all mutations; return 0 when each was noticed."""
    if is_noticed(Mutation("none", "__init__.py", "", "")):
        print("the tests fail without a mutation")
        return 1
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(is_noticed, MUTATIONS))
    for mutation, noticed in zip(MUTATIONS, results, strict=True):
        print(f"{'noticed' if noticed else 'MISSED '}  {mutation.name}")
    print(f"{sum(results)} of {len(results)} noticed")
    return 0 if all(results) else 1


def is_noticed(mutation: Mutation) -> bool:
    """Return whether some test fails with the mutation."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        shutil.copytree(ROOT / "src", copy / "src")
        shutil.copytree(ROOT / "tests", copy / "tests")
        shutil.copy(ROOT / "pyproject.toml", copy)
        if KNOWN_RED.exists():
            shutil.copy(KNOWN_RED, copy)
        path = copy / "src" / "hillstack" / mutation.path
        text = path.read_text()
        if mutation.old and text.count(mutation.old) != 1:
            raise SystemExit(f"{mutation.name}: does not apply to {mutation.path}")
        if mutation.old:
            path.write_text(text.replace(mutation.old, mutation.new))
        command = [sys.executable, "-m", "pytest", "-q", "-x", "--tb=no", "-p", "no:cacheprovider"]
        command += ["tests/fleet", "tests/unit/test_lease.py", *RESTORED_MACHINES]
        command += ["-k", "not process and not settings and not adapter"]
        environment = os.environ | {"PYTHONPATH": str(copy / "src")}
        finished = subprocess.run(
            command, cwd=copy, env=environment, capture_output=True, timeout=900, check=False
        )
        if finished.returncode not in (0, 1):
            raise SystemExit(f"{mutation.name}: {finished.stdout.decode()[-2000:]}")
        return finished.returncode == 1


if __name__ == "__main__":
    sys.exit(main())
