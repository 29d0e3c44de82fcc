"""Calls that tell which parts of prompts a runner, or a store of kept KV cache, keeps."""

from __future__ import annotations

from typing import TypeVar

import aiohttp
import msgspec

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.part_index import PromptPart
from hillstack.core.runner_limit import AnswerKind
from hillstack.daemon.cache_follower import CacheChanges, CacheEntry, CacheListing
from hillstack.errors import BackendError, BackendRefusedError
from hillstack.platform import names
from hillstack.platform.bodies import CacheEventsBody, CacheListBody
from hillstack.platform.connections import Question, Reply, ask
from hillstack.platform.incarnations import check_process, instance_of
from hillstack.platform.runner_signals import Asked, SignalListener, SignalReader

OK = 200
# A list of thousands of parts, at a runner that is at work.
LIST_LIMIT_SECONDS = 1.5
# Beyond the time that a holder may hold a question back.
ANSWER_LIMIT_SECONDS = 0.7

Body = TypeVar("Body", CacheEventsBody, CacheListBody)


class HttpCacheFeed:
    """Asks holders what they keep.

    Args:
        session: HTTP session of ``make_runner_session``; not closed here.
        listener: Takes what runners say of themselves; nobody by default.
    """

    def __init__(
        self, session: aiohttp.ClientSession, listener: SignalListener | None = None
    ) -> None:
        self._session = session
        self._signals = SignalReader(listener)

    async def listing(self, holder: CacheHolder) -> CacheListing:
        """Return all that a holder keeps.

        Raises:
            BackendError: It can't be had.
        """
        question = Question(
            "GET", holder.address, names.CACHE_LIST_PATH, LIST_LIMIT_SECONDS, _headers(holder)
        )
        body = await self._ask(holder, question, CacheListBody)
        entries = [
            CacheEntry(salt, PromptPart(part_id, tokens)) for salt, part_id, tokens, _ in body.held
        ]
        return CacheListing(body.epoch, body.next_token, entries)

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since a number, waiting for one for a while.

        Raises:
            BackendError: They can't be had.
        """
        path = f"{names.CACHE_EVENTS_PATH}?{names.SINCE_PARAMETER}={since}"
        headers = _headers(holder) | {names.WAIT_HEADER: str(int(wait_seconds * 1000))}
        limit = wait_seconds + ANSWER_LIMIT_SECONDS
        question = Question("GET", holder.address, path, limit, headers)
        body = await self._ask(holder, question, CacheEventsBody)
        entries = [
            CacheEntry(salt, PromptPart(part_id, tokens))
            for _, _, salt, part_id, tokens, _ in body.events
        ]
        return CacheChanges(body.epoch, body.next_token, entries, body.lost)

    async def _ask(self, holder: CacheHolder, question: Question, kind: type[Body]) -> Body:
        """Return the answer of the process that is watched; stores have no name to check."""
        asked = Asked(AnswerKind.CACHE)
        reply = await ask(self._session, question)
        if reply.status != OK:
            self._read_signals(holder, reply, asked)
            text = f"status {reply.status}"
            raise BackendRefusedError(text, step="cache feed", peer=question.address)
        try:
            body = msgspec.json.decode(reply.body, type=kind)
        except msgspec.MsgspecError as error:
            raise BackendError(
                str(error), step="decode cache feed", peer=question.address
            ) from error
        if not holder.is_store:
            check_process(holder.holder_id, body.born, "cache feed")
        self._read_signals(holder, reply, asked)
        return body

    def _read_signals(self, holder: CacheHolder, reply: Reply, asked: Asked) -> None:
        if not holder.is_store:
            self._signals.read(holder.holder_id, reply.status, reply.headers, asked)


def _headers(holder: CacheHolder) -> dict[str, str]:
    return {} if holder.is_store else {names.EXPECT_INSTANCE: instance_of(holder.holder_id)}
