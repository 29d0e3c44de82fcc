"""Calls that return the prompt parts in the cache of a runner or in a KV cache store."""

from __future__ import annotations

from typing import TypeVar

import aiohttp

from hillstack.answer_limits import MAX_ANSWER_BYTES
from hillstack.core.cache_watch import CacheHolder
from hillstack.core.part_index import PromptPart
from hillstack.core.runner_limit import AnswerKind
from hillstack.daemon.cache_follower import CacheChanges, CacheEntry, CacheListing
from hillstack.decoding import MalformedDataError, decode_json
from hillstack.errors import BackendError, BackendRefusedError
from hillstack.platform import names
from hillstack.platform.bodies import CacheEventsBody, CacheListBody
from hillstack.platform.connections import OutgoingCall, Reply, send_call
from hillstack.platform.runner_identifiers import check_runner_process, instance_of
from hillstack.platform.runner_signals import SentCall, SignalListener, SignalReader

OK = 200
# Allows for a list of thousands of parts, from a runner under load.
LIST_LIMIT_SECONDS = 1.5
# Time for the answer, in addition to the time for which a holder may delay it to wait for a change.
ANSWER_MARGIN_SECONDS = 0.7

Body = TypeVar("Body", CacheEventsBody, CacheListBody)


class HttpCacheFeed:
    """Fetches which prompt parts cache holders (runners and KV cache stores) have cached.

    Args:
        session: HTTP session of ``make_runner_session``; not closed here.
        listener: Receives the signals in runners' answers; None to ignore them.
    """

    def __init__(
        self, session: aiohttp.ClientSession, listener: SignalListener | None = None
    ) -> None:
        self._session = session
        self._signals = SignalReader(listener)

    async def listing(self, holder: CacheHolder) -> CacheListing:
        """Return all prompt parts that a holder has cached.

        Raises:
            BackendError: The call failed, or the answer can't be used.
        """
        call = OutgoingCall(
            "GET",
            holder.address,
            names.CACHE_LIST_PATH,
            LIST_LIMIT_SECONDS,
            _headers(holder),
            max_bytes=MAX_ANSWER_BYTES,
        )
        body = await self._fetch(holder, call, CacheListBody)
        entries = [
            CacheEntry(salt, PromptPart(part_id, tokens)) for salt, part_id, tokens, _ in body.held
        ]
        return CacheListing(body.epoch, body.next_token, entries)

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since an event number, waiting for the first one if there is none.

        Raises:
            BackendError: The call failed, or the answer can't be used.
        """
        path = f"{names.CACHE_EVENTS_PATH}?{names.SINCE_PARAMETER}={since}"
        headers = _headers(holder) | {names.WAIT_HEADER: str(int(wait_seconds * 1000))}
        limit = wait_seconds + ANSWER_MARGIN_SECONDS
        call = OutgoingCall("GET", holder.address, path, limit, headers)
        body = await self._fetch(holder, call, CacheEventsBody)
        entries = [
            CacheEntry(salt, PromptPart(part_id, tokens))
            for _, _, salt, part_id, tokens, _ in body.events
        ]
        return CacheChanges(body.epoch, body.next_token, entries, body.lost)

    async def _fetch(self, holder: CacheHolder, call: OutgoingCall, kind: type[Body]) -> Body:
        """Send a call and return the decoded answer.

        The answer of a runner must come from the process that was addressed. A KV cache store has
        no process identifier to check.
        """
        sent = SentCall(AnswerKind.CACHE)
        reply = await send_call(self._session, call)
        if reply.status != OK:
            self._read_signals(holder, reply, sent)
            text = f"status {reply.status}"
            raise BackendRefusedError(text, step="cache feed", peer=call.address)
        try:
            body = decode_json(reply.body, kind)
        except MalformedDataError as error:
            raise BackendError(str(error), step="decode cache feed", peer=call.address) from error
        if not holder.is_store:
            check_runner_process(holder.holder_id, body.born, "cache feed")
        self._read_signals(holder, reply, sent)
        return body

    def _read_signals(self, holder: CacheHolder, reply: Reply, sent: SentCall) -> None:
        if not holder.is_store:
            self._signals.read(holder.holder_id, reply.status, reply.headers, sent)


def _headers(holder: CacheHolder) -> dict[str, str]:
    return {} if holder.is_store else {names.EXPECT_INSTANCE: instance_of(holder.holder_id)}
